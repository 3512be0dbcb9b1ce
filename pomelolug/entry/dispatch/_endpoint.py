"""Questions to dispatchers and their answers, as datagrams between nodes."""

import asyncio
import dataclasses
import random
from collections.abc import Callable, Mapping, Sequence
from typing import TypeAlias

import structlog

from pomelolug.clock import Clock
from pomelolug.entry.dispatch._dispatcher import (
    MAX_WAIT_S,
    Decision,
    GroupDispatcher,
    Question,
)
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
    `full_at` is the dispatcher of the zone if it has groups; the stream may wait there.
    `waited_s` is the time in seconds for which the stream has waited for a slot.
    """

    head: VmId | None
    load: int = 0
    on_end: Callable[[], None] | None = None
    unasked: frozenset[ZoneId] = frozenset()
    full_at: str = ""
    waited_s: float = 0.0

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
        self._replies: dict[int, asyncio.Queue[DispatchReply]] = {}
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
        """Return the group for a stream, which does not wait for a slot.

        Returns
        -------
        Assignment or None
            Without a head if the groups of all zones that have any are full; None if
            the dispatchers of the zone have not replied, or none is known that has
            groups, so that the node chooses itself.
        """
        full_at = ""
        question = dataclasses.replace(question, time_left_s=0.0)
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
                full_at = local
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
        return Assignment(None, unasked=frozenset(unasked), full_at=full_at)

    async def wait(self, question: Question, refused: Assignment) -> Assignment | None:
        """Return the group for a stream that waits while it can be on time.

        Parameters
        ----------
        question : Question
            The stream.
        refused : Assignment
            Assignment without a head that the stream has got.

        Returns
        -------
        Assignment or None
            Without a head if the stream is to be refused; None if the dispatcher has
            not replied, so that the node chooses itself.
        """
        if not refused.full_at or question.time_left_s <= 0.0:
            return refused
        reply = await self._ask(refused.full_at, question)
        if reply is None or isinstance(reply, Assignment):
            return reply
        return refused

    def send_grants(self) -> None:
        """Tell the nodes of streams that have waited which groups they have got."""
        for grant in self._dispatcher.take_grants():
            self._reply(grant.holder.address, grant.serial, grant.decision)

    def receive(self, message: DispatchMessage) -> None:
        """Answer a question, or pass a reply to the stream that waits for it."""
        if isinstance(message, DispatchReply):
            replies = self._replies.get(message.serial)
            if replies is not None:
                replies.put_nowait(message)
            return
        holder = Holder(message.sender, message.started_ms)
        if isinstance(message, DispatchEnd):
            self._dispatcher.end(holder, message.serials)
            self.send_grants()
        else:
            # A node that is no dispatcher by its own knowledge has no counts.
            decision = Decision(None, has_groups=False)
            if self._self.address in self._addresses.local:
                question = _decode_question(message)
                decision = self._decide(holder, message.serial, question)
            self._reply(message.sender, message.serial, decision)

    async def _ask(self, address: str, question: Question) -> Assignment | bool | None:
        """Return the assignment of one dispatcher, or whether it has groups.

        None without a reply.
        """
        self._serial += 1
        serial = self._serial
        if address == self._self.address:
            if question.time_left_s <= 0.0:
                decision = self._dispatcher.decide(self._self, serial, question)
                self.send_grants()
                return self._apply(address, serial, decision)
        elif self._avoided_until_s.get(address, 0.0) > self._clock.monotonic():
            return None
        began_s = self._clock.monotonic()
        reply = await self._query(address, serial, question)
        if reply is None:
            return None
        head = VmId(reply.server) if reply.server else None
        applied = self._apply(
            address, serial, Decision(head, reply.has_groups, reply.load)
        )
        if isinstance(applied, Assignment) and question.time_left_s > 0.0:
            applied.waited_s = self._clock.monotonic() - began_s
        return applied

    def _apply(
        self, address: str, serial: int, decision: Decision
    ) -> Assignment | bool:
        if decision.head is None:
            return decision.has_groups
        return self._hold(address, serial, decision.head, decision.load)

    def _decide(self, holder: Holder, serial: int, question: Question) -> Decision:
        """Decide, and answer a stream that waits when its time is over."""
        decision = self._dispatcher.decide(holder, serial, question)
        self.send_grants()
        if decision.wait_s > 0.0:
            asyncio.get_running_loop().call_later(
                decision.wait_s, self._refuse_waiting, holder, serial
            )
        return decision

    def _refuse_waiting(self, holder: Holder, serial: int) -> None:
        if self._dispatcher.stop_waiting(holder, serial):
            self._reply(holder.address, serial, Decision(None, has_groups=True))

    def _reply(self, address: str, serial: int, decision: Decision) -> None:
        reply = DispatchReply(
            serial=serial,
            server=decision.head or "",
            load=decision.load,
            has_groups=decision.has_groups,
            wait_s=round(decision.wait_s, 4),
            started_ms=self._self.started_ms,
        )
        if address == self._self.address:
            self.receive(reply)
        else:
            self._send(reply, address)

    async def _query(
        self, address: str, serial: int, question: Question
    ) -> DispatchReply | None:
        """Return the final reply of a dispatcher, None without one in time."""
        replies: asyncio.Queue[DispatchReply] = asyncio.Queue()
        self._replies[serial] = replies
        is_answered = False
        try:
            if address == self._self.address:
                decision = self._decide(self._self, serial, question)
                self._reply(address, serial, decision)
            else:
                self._send(self._encode_question(serial, question), address)
            reply = await _next_reply(replies, timeout_s=_REPLY_TIMEOUT_S)
            if reply.wait_s > 0.0:
                timeout_s = min(reply.wait_s, MAX_WAIT_S) + _REPLY_TIMEOUT_S
                reply = await _next_reply(
                    replies, timeout_s=timeout_s, is_final=lambda r: r.wait_s <= 0.0
                )
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
                self._withdraw(address, serial)

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
            self._withdraw(address, serial)

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
            time_left_s=round(question.time_left_s, 4),
        )

    def _withdraw(self, address: str, serial: int) -> None:
        """Tell a dispatcher that a stream has ended or no longer needs a group."""
        if address == self._self.address:
            self._dispatcher.end(self._self, [serial])
            self.send_grants()
        else:
            self._send_end(address, serial)

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
        time_left_s=message.time_left_s,
    )


async def _next_reply(
    replies: asyncio.Queue[DispatchReply],
    *,
    timeout_s: float,
    is_final: Callable[[DispatchReply], bool] = lambda reply: True,
) -> DispatchReply:
    """Return the next reply, or the next final one; TimeoutError without one."""
    try:
        async with asyncio.timeout(timeout_s):
            while True:
                reply = await replies.get()
                if is_final(reply):
                    return reply
    except TimeoutError:
        # After a pause of this process, the reply and the timeout are both due.
        while not replies.empty():
            reply = replies.get_nowait()
            if is_final(reply):
                return reply
        raise
