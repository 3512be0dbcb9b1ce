"""Routing of claims to the relays of their partitions, and the local relays."""

import asyncio
import contextlib
import datetime
import itertools
import random
from collections.abc import AsyncIterator, Callable

import structlog

from pomelolug.claims import (
    ClaimRelay,
    ClaimsFold,
    Verdict,
    partition_for_key,
    select_relay,
)
from pomelolug.clock import Clock
from pomelolug.ids import NodeId, RegionId
from pomelolug.membership import Mesh, NodeInfo, NodeState
from pomelolug.messages import (
    Claim,
    ClaimRequest,
    ClaimUpdate,
    ClaimVerdict,
    HolderLost,
    Message,
)
from pomelolug.state import Appender, RecordKind, StreamReader

__all__ = ["ClaimRouter"]

_log = structlog.get_logger()
_RELAY_UPDATE_INTERVAL = datetime.timedelta(seconds=1)
# One in this many updates of the relays also checks for claims of dead nodes.
_HOLDER_CHECK_CYCLES = 10
# Between the timeouts of the relay (2 s) and of the gateway (3 s).
_VERDICT_TIMEOUT = datetime.timedelta(milliseconds=2500)
# A relay that is no longer chosen keeps running for a while, so that partitions do
# not move twice when a node is suspected only briefly.
_IDLE_RELAY_TTL = datetime.timedelta(seconds=60)
_MAX_UNSENT_UPDATES = 16384


class _RelayedPartition:
    """Reader, fold and relay of one partition, with their tasks."""

    def __init__(
        self, reader: StreamReader, fold: ClaimsFold, relay: ClaimRelay, now_s: float
    ) -> None:
        self.fold = fold
        self.relay = relay
        self.used_at_s = now_s
        self._tasks = (
            asyncio.create_task(reader.run()),
            asyncio.create_task(relay.run()),
        )

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class ClaimRouter:
    """Sends claims to the node that relays their partition.

    Runs the relays of the partitions for which this node is chosen.

    Parameters
    ----------
    node, region : str
        Name and region of this node.
    mesh : Mesh
        Connections to the peers.
    appender : Appender
        Appends to the log.
    make_reader : callable
        Takes the stream and fold of a partition and returns a reader for them.
    partition_count : int
        Number of partitions.
    window, batch_delay : datetime.timedelta
        Time for which keys are remembered, and time for which claims are collected
        before an append.
    clock : Clock
        Time source.
    random_state : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        *,
        node: str,
        region: str,
        mesh: Mesh,
        appender: Appender,
        make_reader: Callable[[str, ClaimsFold], StreamReader],
        partition_count: int,
        window: datetime.timedelta,
        batch_delay: datetime.timedelta,
        clock: Clock,
        random_state: random.Random,
    ) -> None:
        self._node = NodeId(node)
        self._region = RegionId(region)
        self._mesh = mesh
        self._appender = appender
        self._make_reader = make_reader
        self._partition_count = partition_count
        self._window = window
        self._batch_delay = batch_delay
        self._clock = clock
        self._random = random_state
        self._partitions: dict[int, _RelayedPartition] = {}
        self._serial = 0
        self._pending_verdicts: dict[int, asyncio.Future[Verdict]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._unsent_updates: list[ClaimUpdate] = []
        mesh.on(ClaimRequest, self._on_request)
        mesh.on(ClaimVerdict, self._on_verdict)
        mesh.on(ClaimUpdate, self._on_update)
        mesh.on(HolderLost, self._on_holder_lost)
        mesh.on_change(self._on_node_change)

    @property
    def partitions(self) -> tuple[int, ...]:
        """Numbers of the partitions that this node relays."""
        return tuple(sorted(self._partitions))

    async def run(self) -> None:
        """Start and stop the local relays until cancelled."""
        async with self._stop_on_exit():
            for cycle in itertools.count():
                await self._update_relays()
                self._send_updates()
                if cycle % _HOLDER_CHECK_CYCLES == 0:
                    self._report_dead_holders()
                await self._clock.sleep(_RELAY_UPDATE_INTERVAL)

    @contextlib.asynccontextmanager
    async def _stop_on_exit(self) -> AsyncIterator[None]:
        try:
            yield
        finally:
            for task in self._tasks:
                task.cancel()
            for partition in self._partitions.values():
                await partition.stop()

    async def _update_relays(self) -> None:
        now_s = self._clock.monotonic()
        for number in range(self._partition_count):
            if self._relay_node(number) == self._node:
                self._get_or_create_partition(number).used_at_s = now_s
        for number, partition in list(self._partitions.items()):
            is_idle = now_s - partition.used_at_s > _IDLE_RELAY_TTL.total_seconds()
            if is_idle and not partition.relay.queued_update_count:
                del self._partitions[number]
                await partition.stop()

    def _report_dead_holders(self) -> None:
        """Record the outcome of the claims of dead nodes as unknown.

        This repeats the notification at the death of a node, because a relay may
        have taken a partition over only afterwards.
        """
        dead_nodes = {i.node for i in self._mesh.nodes() if i.state is NodeState.DEAD}
        for partition in self._partitions.values():
            for node, _ in sorted(partition.fold.holders()):
                if node in dead_nodes:
                    partition.relay.mark_claims_unknown(node)

    def report_holder_lost(self, node: str, *, before_incarnation: int) -> None:
        """Record that a new gateway process has replaced a holder of claims.

        Parameters
        ----------
        node : str
            Node name of the gateway.
        before_incarnation : int
            Incarnation of the new gateway process.
        """
        lost = HolderLost(node=node, before=before_incarnation)
        self._record_holder_lost(lost)
        self._mesh.broadcast(lost)

    def _record_holder_lost(self, lost: HolderLost) -> None:
        for partition in self._partitions.values():
            partition.relay.mark_claims_unknown(
                lost.node, before_incarnation=lost.before
            )

    async def _on_holder_lost(self, node: str, message: Message) -> None:
        assert isinstance(message, HolderLost)
        self._record_holder_lost(message)

    def _relay_node(self, number: int) -> NodeId | None:
        return select_relay(number, self._mesh.live_nodes(), self._region)

    def _get_or_create_partition(self, number: int) -> _RelayedPartition:
        partition = self._partitions.get(number)
        if partition is None:
            stream = f"claims.{number}"
            fold = ClaimsFold(window=self._window)

            async def append(kind: RecordKind, message: Message) -> int:
                return await self._appender.append(stream, kind, message)

            relay = ClaimRelay(
                partition=number,
                fold=fold,
                append=append,  # type: ignore[arg-type]
                clock=self._clock,
                batch_delay=self._batch_delay,
                random_state=self._random,
            )
            reader = self._make_reader(stream, fold)
            partition = _RelayedPartition(reader, fold, relay, self._clock.monotonic())
            self._partitions[number] = partition
            _log.info("claim_relay_started", partition=number)
        return partition

    async def decide(self, claim: Claim) -> Verdict:
        """Return the verdict on a claim of a gateway of this VM."""
        number = partition_for_key(claim.key, self._partition_count)
        relay = self._relay_node(number)
        if relay is None or relay == self._node:
            return await self._get_or_create_partition(number).relay.decide(claim)
        self._serial += 1
        serial = self._serial
        answer: asyncio.Future[Verdict] = asyncio.get_running_loop().create_future()
        self._pending_verdicts[serial] = answer
        try:
            if not self._mesh.send(relay, ClaimRequest(serial=serial, claim=claim)):
                return Verdict.UNAVAILABLE
            async with asyncio.timeout(_VERDICT_TIMEOUT.total_seconds()):
                return await answer
        except TimeoutError:
            return Verdict.UNAVAILABLE
        finally:
            del self._pending_verdicts[serial]

    def forward_update(self, update: ClaimUpdate) -> None:
        """Send an update to its relay, or keep it until a connection accepts it."""
        if len(self._unsent_updates) < _MAX_UNSENT_UPDATES:
            self._unsent_updates.append(update)
        self._send_updates()

    def _send_updates(self) -> None:
        waiting, self._unsent_updates = self._unsent_updates, []
        for update in waiting:
            number = partition_for_key(update.key, self._partition_count)
            relay = self._relay_node(number)
            if relay is None or relay == self._node:
                self._start_task(
                    self._get_or_create_partition(number).relay.submit_update(update)
                )
            elif not self._mesh.send(relay, update):
                self._unsent_updates.append(update)

    def _start_task(self, coroutine: "asyncio._CoroutineLike[None]") -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _on_request(self, node: str, message: Message) -> None:
        assert isinstance(message, ClaimRequest)
        self._start_task(self._answer(node, message))

    async def _answer(self, node: str, request: ClaimRequest) -> None:
        # The claim is decided even if this node is not the chosen relay: if two
        # relays append, the fold decides between them.
        number = partition_for_key(request.claim.key, self._partition_count)
        partition = self._get_or_create_partition(number)
        partition.used_at_s = self._clock.monotonic()
        verdict = await partition.relay.decide(request.claim)
        self._mesh.send(
            node, ClaimVerdict(serial=request.serial, verdict=verdict.value)
        )

    async def _on_verdict(self, node: str, message: Message) -> None:
        assert isinstance(message, ClaimVerdict)
        answer = self._pending_verdicts.get(message.serial)
        if answer is not None and not answer.done():
            answer.set_result(Verdict(message.verdict))

    async def _on_update(self, node: str, message: Message) -> None:
        assert isinstance(message, ClaimUpdate)
        number = partition_for_key(message.key, self._partition_count)
        await self._get_or_create_partition(number).relay.submit_update(message)

    def _on_node_change(self, info: NodeInfo) -> None:
        if info.state is NodeState.DEAD:
            for partition in self._partitions.values():
                partition.relay.mark_claims_unknown(info.node)
