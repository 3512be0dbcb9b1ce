"""Questions to dispatchers and their answers, as datagrams between nodes."""

import asyncio
import dataclasses
import random
from collections.abc import Callable, Mapping, Sequence
from typing import TypeAlias

import structlog

from pomelolug.clock import Clock
from pomelolug.entry.dispatch._dispatcher import Decision, GroupDispatcher, Question
from pomelolug.entry.dispatch._ledger import Holder
from pomelolug.ids import AccountId, ModelName, ServiceName, VmId, ZoneId
from pomelolug.messages import (
    DispatchEnd,
    DispatchReply,
    DispatchRequest,
)

__all__ = [
    "Assignment",
    "DispatchEndpoint",
    "DispatchMessage",
    "DispatcherAddresses",
]

DispatchMessage: TypeAlias = DispatchRequest | DispatchReply | DispatchEnd

_log = structlog.get_logger(__name__)

_REPLY_TIMEOUT_S = 0.03
"""Time limit of a question, in seconds.

A reply takes a few milliseconds. Without one the node chooses the group itself.
"""
_MAX_FAILURES = 2
"""Questions in a row without a reply after which a dispatcher is avoided."""
_AVOIDANCE_S = 1.0
_MAX_EXCLUDED = 32
"""Servers that a question excludes at most, so that it fits into a datagram."""


@dataclasses.dataclass(frozen=True, slots=True)
class DispatcherAddresses:
    """Datagram addresses of the dispatchers as known to this node.

    `local` has the dispatcher of the zone and its stand-in, which is asked while the
    dispatcher does not reply. It is empty if the zone has too few nodes.
    `undispatched` has the other zones that have nodes and no dispatcher.
    """

    local: tuple[str, ...] = ()
    others: Mapping[ZoneId, str] = dataclasses.field(default_factory=dict)
    undispatched: frozenset[ZoneId] = frozenset()


@dataclasses.dataclass(slots=True)
class Assignment:
    """Group that a dispatcher has assigned to a stream; `end` must be called once.

    `head` is None if all groups that could be asked for are full. `load` is the number
    of requests at the group before this one. `unasked` has the zones that have no
    dispatcher or whose dispatcher has not replied, so that their groups may have room.
    """

    head: VmId | None
    load: int = 0
    on_end: Callable[[], None] | None = None
    unasked: frozenset[ZoneId] = frozenset()

    def end(self) -> None:
        """Tell the dispatcher that the stream has ended or was not sent."""
        on_end, self.on_end = self.on_end, None
        if on_end is not None:
            on_end()


class DispatchEndpoint:
    """Asks dispatchers for groups, and answers for the dispatcher of this node.

    Parameters
    ----------
    dispatcher : GroupDispatcher
        Decides while this node is the dispatcher of its zone.
    holder : Holder
        This process.
    send : callable
        Sends a message to the datagram address of a node.
    clock : Clock
        Source of monotonic time.
    rng : random.Random
        Order in which the dispatchers of other zones are asked.
    on_restart : callable
        Called when the zone's dispatcher has restarted and needs the load of this node.
    """

    def __init__(
        self,
        *,
        dispatcher: GroupDispatcher,
        holder: Holder,
        send: Callable[[DispatchMessage, str], None],
        clock: Clock,
        rng: random.Random,
        on_restart: Callable[[], None] = lambda: None,
    ) -> None:
        self._dispatcher = dispatcher
        self._on_restart = on_restart
        self._rng = rng
        self._self = holder
        self._send = send
        self._clock = clock
        self._addresses = DispatcherAddresses()
        self._serial = 0
        self._replies: dict[int, asyncio.Future[DispatchReply]] = {}
        self._failures: dict[str, int] = {}
        self._avoided_until_s: dict[str, float] = {}
        # Start of the process of each dispatcher that has replied.
        self._started_ms: dict[str, int] = {holder.address: holder.started_ms}
        # Streams of this node by the process of the dispatcher and by the head.
        self._assigned: dict[tuple[Holder, VmId], int] = {}
        self._timeout_count = 0

    @property
    def holder(self) -> Holder:
        """Process of this node, as dispatchers know it."""
        return self._self

    @property
    def timeout_count(self) -> int:
        """Number of questions without a reply."""
        return self._timeout_count

    @property
    def is_enabled(self) -> bool:
        """Whether the zone has a dispatcher."""
        return bool(self._addresses.local)

    @property
    def local_dispatcher(self) -> str:
        """Datagram address of the zone's dispatcher, empty if there is none."""
        return next(iter(self._addresses.local), "")

    @property
    def other_dispatchers(self) -> Mapping[ZoneId, str]:
        """Datagram addresses of the dispatchers of other zones, empty without one."""
        return {
            **dict.fromkeys(self._addresses.undispatched, ""),
            **self._addresses.others,
        }

    @property
    def is_dispatcher(self) -> bool:
        """Whether this node is the dispatcher of its zone."""
        return self.local_dispatcher == self._self.address

    @property
    def is_stand_in(self) -> bool:
        """Whether this node is asked while the dispatcher does not reply."""
        return self._self.address in self._addresses.local[1:]

    def set_addresses(self, addresses: DispatcherAddresses) -> bool:
        """Use other dispatchers from now on; return whether the zone's has changed."""
        previous = self.local_dispatcher
        self._addresses = addresses
        if self.local_dispatcher == previous:
            return False
        _log.info("dispatcher_changed", dispatcher=self.local_dispatcher)
        return True

    def unassigned(self, own_loads: Mapping[str, int]) -> dict[str, int]:
        """Return the requests that the zone's dispatcher has not assigned, by server.

        Parameters
        ----------
        own_loads : mapping of str to int
            Requests of this node in flight, by server.
        """
        local = self._process_of(self.local_dispatcher)
        counts = {
            vm: count - self._assigned.get((local, VmId(vm)), 0)
            for vm, count in own_loads.items()
        }
        return {vm: count for vm, count in counts.items() if count > 0}

    async def assign(self, question: Question) -> Assignment | None:
        """Return the group for a stream.

        Returns
        -------
        Assignment or None
            Without a head if the groups of all zones that have any are full; None if
            the dispatchers of the zone have not replied, or none is known that has
            groups, so that the node chooses itself.
        """
        has_reply = has_groups = False
        for local in self._addresses.local:
            reply = await self._ask(local, question)
            if reply is None:
                continue
            has_reply = True
            if isinstance(reply, Assignment):
                return reply
            has_groups = reply
            if has_groups:
                break
        if not has_reply:
            return None
        unasked = set(self._addresses.undispatched)
        others = list(self._addresses.others.items())
        self._rng.shuffle(others)
        for zone, address in others:
            reply = await self._ask(address, question)
            if isinstance(reply, Assignment):
                return reply
            if reply is None:
                unasked.add(zone)
            has_groups = has_groups or bool(reply)
        if not has_groups:
            return None
        return Assignment(None, unasked=frozenset(unasked))

    def receive(self, message: DispatchMessage) -> None:
        """Answer a question, or pass a reply to the stream that waits for it."""
        if isinstance(message, DispatchReply):
            future = self._replies.get(message.serial)
            if future is not None and not future.done():
                future.set_result(message)
            return
        holder = Holder(message.sender, message.started_ms)
        if isinstance(message, DispatchEnd):
            self._dispatcher.end(holder, message.serials)
        else:
            # A node that is no dispatcher by its own knowledge has no counts.
            decision = Decision(None, has_groups=False)
            if self._self.address in self._addresses.local:
                question = _decode_question(message)
                decision = self._dispatcher.decide(holder, message.serial, question)
            reply = DispatchReply(
                serial=message.serial,
                server=decision.head or "",
                load=decision.load,
                has_groups=decision.has_groups,
                started_ms=self._self.started_ms,
            )
            self._send(reply, message.sender)

    async def _ask(self, address: str, question: Question) -> Assignment | bool | None:
        """Return the assignment of one dispatcher, or whether it has groups.

        None without a reply.
        """
        self._serial += 1
        serial = self._serial
        if address == self._self.address:
            decision = self._dispatcher.decide(self._self, serial, question)
        else:
            reply = await self._query(address, serial, question)
            if reply is None:
                return None
            head = VmId(reply.server) if reply.server else None
            decision = Decision(head, reply.has_groups, reply.load)
        if decision.head is None:
            return decision.has_groups
        return self._hold(address, serial, decision.head, decision.load)

    async def _query(
        self, address: str, serial: int, question: Question
    ) -> DispatchReply | None:
        """Return the reply of another node, None without one in time."""
        now_s = self._clock.monotonic()
        if self._avoided_until_s.get(address, now_s) > now_s:
            return None
        future: asyncio.Future[DispatchReply]
        future = asyncio.get_running_loop().create_future()
        self._replies[serial] = future
        is_answered = False
        try:
            self._send(self._encode_question(serial, question), address)
            try:
                async with asyncio.timeout(_REPLY_TIMEOUT_S):
                    reply = await future
            except TimeoutError:
                # After a pause of this process, the reply and the timeout are both due.
                if not future.done() or future.cancelled():
                    raise
                reply = future.result()
            is_answered = True
            self._failures.pop(address, None)
            self._record_start(address, reply.started_ms)
            return reply
        except TimeoutError:
            self._record_failure(address)
            return None
        finally:
            del self._replies[serial]
            if not is_answered:
                self._send_end(address, serial)

    def _process_of(self, address: str) -> Holder:
        """Return the process of a dispatcher as last known."""
        return Holder(address, self._started_ms.get(address, 0))

    def _record_start(self, address: str, started_ms: int) -> None:
        """Note which process has replied; a new one knows no streams of before."""
        previous_ms = self._started_ms.get(address)
        if previous_ms == started_ms:
            return
        self._started_ms[address] = started_ms
        if previous_ms is not None and address == self.local_dispatcher:
            _log.info("dispatcher_restarted", dispatcher=address)
            self._on_restart()

    def _record_failure(self, address: str) -> None:
        self._timeout_count += 1
        self._failures[address] = self._failures.get(address, 0) + 1
        if self._failures[address] < _MAX_FAILURES:
            return
        # After the avoidance, one more failure renews it.
        self._failures[address] = _MAX_FAILURES - 1
        self._avoided_until_s = {
            address: self._clock.monotonic() + _AVOIDANCE_S,
            **{
                a: until_s
                for a, until_s in self._avoided_until_s.items()
                if until_s > self._clock.monotonic() and a != address
            },
        }
        _log.info("dispatcher_avoided", dispatcher=address)

    def _hold(self, address: str, serial: int, head: VmId, load: int) -> Assignment:
        key = (self._process_of(address), head)
        self._assigned[key] = self._assigned.get(key, 0) + 1

        def end() -> None:
            self._assigned[key] -= 1
            if not self._assigned[key]:
                del self._assigned[key]
            if address == self._self.address:
                self._dispatcher.end(self._self, [serial])
            else:
                self._send_end(address, serial)

        return Assignment(head, load, end)

    def _encode_question(self, serial: int, question: Question) -> DispatchRequest:
        return DispatchRequest(
            serial=serial,
            sender=self._self.address,
            started_ms=self._self.started_ms,
            service=question.service,
            model=question.model,
            prompt_tokens=question.prompt_tokens,
            target_s=round(question.target_s, 4),
            excluded=tuple(question.excluded[:_MAX_EXCLUDED]),
            account=question.account,
            urgency=question.urgency,
        )

    def _send_end(self, address: str, serial: int) -> None:
        message = DispatchEnd(
            sender=self._self.address,
            started_ms=self._self.started_ms,
            serials=(serial,),
        )
        self._send(message, address)


def _decode_question(message: DispatchRequest) -> Question:
    excluded: Sequence[str] = message.excluded[:_MAX_EXCLUDED]
    return Question(
        service=ServiceName(message.service),
        model=ModelName(message.model),
        prompt_tokens=message.prompt_tokens,
        target_s=message.target_s,
        excluded=[VmId(vm) for vm in excluded],
        account=AccountId(message.account),
        urgency=message.urgency,
    )
