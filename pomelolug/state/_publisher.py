"""Periodic checkpoints on the log, from which a node can start."""

import datetime
import hashlib
import random
from collections.abc import Callable, Collection

import structlog

from pomelolug.clock import Clock
from pomelolug.errors import PomelolugError
from pomelolug.ids import NodeId
from pomelolug.state._append import Appender
from pomelolug.state._fold import RecordKind
from pomelolug.state._reader import StreamReader

__all__ = ["CheckpointPublisher", "publisher_rank"]

_RECORDS_PER_CHECKPOINT = 1000
_INTERVAL_DIVISOR = 4
_MAX_CHECK_INTERVAL = datetime.timedelta(seconds=5)
_MAX_RANK_DELAY = datetime.timedelta(seconds=10)


def publisher_rank(node: NodeId, nodes: Collection[NodeId], key: str) -> int:
    """Return the number of nodes ranked before `node` by rendezvous hashing.

    Examples
    --------
    >>> nodes = [NodeId("a"), NodeId("b"), NodeId("c")]
    >>> sorted(publisher_rank(node, nodes, "config|7") for node in nodes)
    [0, 1, 2]
    """
    own_hash = _rendezvous_hash(node, key)
    return sum(
        _rendezvous_hash(other, key) > own_hash for other in nodes if other != node
    )


def _rendezvous_hash(node: NodeId, key: str) -> bytes:
    return hashlib.sha256(f"{key}|{node}".encode()).digest()


class CheckpointPublisher:
    """Publishes checkpoints of one stream, taking turns with the other nodes.

    A checkpoint is due after 1,000 records or a quarter of the retention. The
    node ranked first by rendezvous hashing publishes immediately; each following
    node waits up to 10 s longer, so that a dead node does not block checkpoints.
    If two nodes publish the same checkpoint, the only cost is an extra record.

    Parameters
    ----------
    reader : StreamReader
        Reader of the stream.
    appender : Appender
        Appender that signs as this node.
    clock : Clock
        Source of time.
    random_state : random.Random
        Source of jitter.
    retention : datetime.timedelta
        Duration for which the log keeps a record.
    node : NodeId
        This node.
    live_nodes : callable
        Returns the nodes currently known to be alive.
    records_per_checkpoint : int
        Number of records after which a checkpoint is due.
    """

    def __init__(
        self,
        *,
        reader: StreamReader,
        appender: Appender,
        clock: Clock,
        random_state: random.Random,
        retention: datetime.timedelta,
        node: NodeId,
        live_nodes: Callable[[], Collection[NodeId]],
        records_per_checkpoint: int = _RECORDS_PER_CHECKPOINT,
    ) -> None:
        self._reader = reader
        self._appender = appender
        self._clock = clock
        self._random = random_state
        self._checkpoint_interval = retention / _INTERVAL_DIVISOR
        self._check_interval = min(
            _MAX_CHECK_INTERVAL, self._checkpoint_interval / _INTERVAL_DIVISOR
        )
        self._rank_delay = min(
            _MAX_RANK_DELAY, self._checkpoint_interval / _INTERVAL_DIVISOR
        )
        self._node = node
        self._live_nodes = live_nodes
        self._records_per_checkpoint = records_per_checkpoint
        self._due_since_s: float | None = None
        self._published_count = 0
        self._logger = structlog.get_logger(__name__).bind(stream=reader.stream)

    @property
    def published_count(self) -> int:
        """Number of checkpoints that this node has appended."""
        return self._published_count

    async def run(self) -> None:
        """Publish checkpoints when it is this node's turn, until cancelled."""
        while True:
            await self._clock.sleep(
                self._check_interval * self._random.uniform(0.5, 1.0)
            )
            if self._should_publish():
                await self._publish()

    def _should_publish(self) -> bool:
        if not self._reader.can_checkpoint or not self._is_due():
            self._due_since_s = None
            return False
        now_s = self._clock.monotonic()
        if self._due_since_s is None:
            self._due_since_s = now_s
        key = f"{self._reader.stream}|{self._reader.covered_offset}"
        rank = publisher_rank(self._node, self._live_nodes(), key)
        return now_s - self._due_since_s >= rank * self._rank_delay.total_seconds()

    def _is_due(self) -> bool:
        covered = self._reader.covered_offset
        if self._reader.offset - covered >= self._records_per_checkpoint:
            return True
        since = self._reader.checkpoint_timestamp
        return (
            since is not None and self._clock.now() - since >= self._checkpoint_interval
        )

    async def _publish(self) -> None:
        try:
            checkpoint = self._reader.checkpoint()
            offset = await self._appender.append(
                self._reader.stream, RecordKind.CHECKPOINT, checkpoint
            )
        except PomelolugError as error:
            # Retried at the next check. If the append took effect after all, the
            # only cost is a second checkpoint.
            self._logger.warning("checkpoint_failed", code=error.code.value)
            return
        self._published_count += 1
        self._logger.info(
            "checkpoint_published", offset=offset, covered=checkpoint.covered
        )
        await self._wait_until_applied(offset)

    async def _wait_until_applied(self, offset: int) -> None:
        """Wait until the record is read back, to avoid publishing it again."""
        try:
            await self._reader.wait_until(
                lambda: self._reader.offset >= offset, self._rank_delay
            )
        except TimeoutError:
            self._logger.warning("checkpoint_not_read_back", offset=offset)
