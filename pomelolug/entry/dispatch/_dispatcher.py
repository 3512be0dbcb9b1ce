"""Assignment of streams to the groups of a zone by one of its nodes.

The loads that nodes report are about as old as a stream takes, so nodes that choose for
themselves overload single groups while others have room. A dispatcher counts the
streams that it assigns, without a delay.
"""

import collections
import dataclasses
import datetime
import math
import random
from collections.abc import Callable, Mapping, Sequence

from pomelolug.clock import Clock
from pomelolug.deployment import BackendServer, Declaration, Repeatability
from pomelolug.entry.dispatch._ledger import AssignmentLedger, Holder
from pomelolug.entry.performance import DelayEstimator
from pomelolug.fairness import AccountShares
from pomelolug.ids import AccountId, ModelName, ServiceName, VmId, ZoneId
from pomelolug.messages import NodeStatus

__all__ = ["Decision", "GroupDispatcher", "Question"]

_LOAD_COST_S = 0.05
"""Expected delay, in seconds, that counts as much as all slots of a group.

Delays hardly differ while a group has free slots, so streams are spread by load.
"""
_URGENT_RESERVE = 0.05
"""Fraction of all slots that streams leave to more urgent ones, which cannot wait."""
_URGENT_PERIOD_S = 10.0
"""Time in seconds after a stream for which more of its urgency are expected."""
_LEAST_SHARE = 0.5
"""Part of its share of the slots, by questions, that a kind holds without a reserve.

Otherwise streams would not be served at all while more urgent ones fill all groups.
"""
_TIE_TOLERANCE_S = 0.001
_MAX_OVERTIME_S = 2.0
"""Time in seconds by which a stream may outlast the longest timeout of streams."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Question:
    """Stream that needs a group.

    Parameters
    ----------
    service, model : ServiceName, ModelName
        Service and model of the stream.
    prompt_tokens : int
        Size of the prompt, 0 if unknown.
    target_s : float
        Time left to the first event by the latency target, in seconds.
    excluded : sequence of VmId
        Heads that the stream is not sent to.
    account : AccountId
        Client account, empty if there is none.
    urgency : int
        Urgency of the stream; 0 is the most urgent.
    """

    service: ServiceName
    model: ModelName
    prompt_tokens: int
    target_s: float
    excluded: Sequence[VmId] = ()
    account: AccountId = AccountId("")
    urgency: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Head of the assigned group, None if there is none.

    `has_groups` tells whether there are open groups; without a head they have no room
    for the stream. `load` is the number of requests at the group before this one.
    """

    head: VmId | None
    has_groups: bool
    load: int = 0


class _Urgency:
    """Questions for streams of one urgency, and the streams that have a group."""

    def __init__(self) -> None:
        self.held = 0
        self.asked_at_s = 0.0
        self._asked = 0.0

    def record_question(self, *, now_s: float) -> None:
        """Count a question."""
        self._asked = self.asked(now_s=now_s) + 1.0
        self.asked_at_s = now_s

    def asked(self, *, now_s: float) -> float:
        """Return the number of questions, which old ones count for less and less."""
        return self._asked * math.exp((self.asked_at_s - now_s) / _URGENT_PERIOD_S)


class _Pool:
    """Streams of one model of a service in the zone, by account and urgency."""

    def __init__(self) -> None:
        self.accounts = AccountShares()
        self._urgencies: dict[int, _Urgency] = {}

    def record_question(self, question: Question, *, now_s: float) -> None:
        """Record that an account needs a group."""
        self.accounts.on_request(question.account, weight=1.0, now_s=now_s)
        urgency = self._urgencies.setdefault(question.urgency, _Urgency())
        urgency.record_question(now_s=now_s)

    def record_grant(self, question: Question) -> Callable[[], None]:
        """Record that a stream has a group; call what is returned at its end."""
        urgency = self._urgencies[question.urgency]
        self.accounts.on_grant(question.account)
        urgency.held += 1

        def end() -> None:
            self.accounts.on_release(question.account)
            urgency.held -= 1

        return end

    def reserved_slots(
        self, question: Question, *, free: int, slots: int, now_s: float
    ) -> int:
        """Return the free slots that a stream must leave to others.

        Parameters
        ----------
        question : Question
            The stream.
        free, slots : int
            Free slots and all slots of the groups.
        now_s : float
            Current monotonic time in seconds.
        """
        for_accounts = self.accounts.reserved_slots(
            question.account, free=free, now_s=now_s
        )
        asked = {
            urgency: state.asked(now_s=now_s)
            for urgency, state in self._urgencies.items()
            if now_s - state.asked_at_s < _URGENT_PERIOD_S
        }
        if not any(urgency < question.urgency for urgency in asked):
            return for_accounts
        share = asked[question.urgency] / sum(asked.values())
        if self._urgencies[question.urgency].held < _LEAST_SHARE * share * slots:
            return for_accounts
        return max(for_accounts, math.ceil(_URGENT_RESERVE * slots))


class GroupDispatcher:
    """Assigns streams to the open groups of a zone.

    Parameters
    ----------
    heads : callable
        Returns the heads of the open groups of a service and a model of all zones.
        Nodes exclude those that they suspect.
    estimator : DelayEstimator
        Expected delays at the groups, and how many requests they take well.
    declaration : callable
        Returns the declaration in force, None before the first one.
    zone : ZoneId
        Zone whose groups are assigned.
    clock : Clock
        Source of monotonic time.
    rng : random.Random
        Selects among equal groups.
    """

    def __init__(
        self,
        *,
        heads: Callable[[ServiceName, ModelName], Sequence[BackendServer]],
        estimator: DelayEstimator,
        declaration: Callable[[], Declaration | None],
        zone: ZoneId,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._heads = heads
        self._estimator = estimator
        self._declaration = declaration
        self._zone = zone
        self._clock = clock
        self._rng = rng
        self._ledger = AssignmentLedger()
        self._pools: dict[tuple[ServiceName, ModelName], _Pool] = {}
        self._unassigned: dict[str, int] = {}
        self._zone_processes: set[Holder] = set()
        # Number of each process's latest status, and when it was first seen.
        self._status_times_s: dict[Holder, tuple[int, float]] = {}

    @property
    def open_assignments(self) -> int:
        """Number of assigned streams that have not ended."""
        return len(self._ledger)

    def decide(self, holder: Holder, serial: int, question: Question) -> Decision:
        """Assign a stream to the group that serves it best.

        A repeated question gets the same answer again.
        """
        known = self._ledger.find(holder, serial)
        if known is not None:
            return Decision(known, has_groups=True, load=self.in_flight(known) - 1)
        head, has_groups = self._choose(question)
        if head is None:
            return Decision(None, has_groups)
        load = self.in_flight(head.vm)
        pool = self._pools[question.service, question.model]
        self._ledger.add(
            holder,
            serial,
            head.vm,
            now_s=self._clock.monotonic(),
            on_end=pool.record_grant(question),
        )
        return Decision(head.vm, has_groups=True, load=load)

    def end(self, holder: Holder, serials: Sequence[int]) -> None:
        """Record that assigned streams have ended."""
        self._ledger.end(holder, serials)

    def update(
        self,
        statuses: Sequence[NodeStatus],
        *,
        own: Holder,
        own_unassigned: Mapping[str, int],
        own_load: Mapping[str, int] | None = None,
        is_stand_in: bool = False,
    ) -> None:
        """Apply what the nodes of the zone report.

        Parameters
        ----------
        statuses : sequence of NodeStatus
            Latest status of each live node of the zone.
        own : Holder
            This process.
        own_unassigned : mapping of str to int
            Requests of this node that the dispatcher of the zone has not assigned, by
            server.
        own_load : mapping of str to int, optional
            Requests of this node in flight, by server; the stand-in needs it.
        is_stand_in : bool
            Whether another node is the dispatcher of the zone. What it has assigned
            does not count as unassigned in the statuses.
        """
        now_s = self._clock.monotonic()
        unassigned = collections.Counter(
            self._ledger.subtract(own, own_load or {})
            if is_stand_in
            else own_unassigned
        )
        zone_processes = {own}
        for status in statuses:
            holder = Holder(status.datagram, status.started_ms)
            zone_processes.add(holder)
            self._ledger.reconcile(
                holder, status.load, now_s=self._status_time_s(holder, status, now_s)
            )
            unassigned.update(
                self._ledger.subtract(holder, status.load)
                if is_stand_in
                else status.unassigned
            )
        self._unassigned = dict(unassigned)
        self._status_times_s = {
            holder: seen
            for holder, seen in self._status_times_s.items()
            if holder in zone_processes
        }
        for holder in self._ledger.holders():
            if holder in self._zone_processes and holder not in zone_processes:
                self._ledger.drop_process(holder)
        self._zone_processes = zone_processes
        declaration = self._declaration()
        if declaration is not None:
            longest_s = max(
                (
                    route.timeout.total_seconds()
                    for route in declaration.routes
                    if route.repeatability is Repeatability.STREAM
                ),
                default=0.0,
            )
            self._ledger.expire(before_s=now_s - longest_s - _MAX_OVERTIME_S)

    def forget_server(self, vm: VmId) -> None:
        """Forget the streams at a head that has started again; they have ended."""
        self._ledger.drop_server(vm)
        self._unassigned.pop(vm, None)

    def in_flight(self, vm: VmId) -> int:
        """Return the number of requests at a group."""
        return self._ledger.count(vm) + self._unassigned.get(vm, 0)

    def _status_time_s(self, holder: Holder, status: NodeStatus, now_s: float) -> float:
        """Return when the status of a process was first seen, in seconds."""
        seen = self._status_times_s.get(holder)
        if seen is None or seen[0] != status.serial:
            seen = self._status_times_s[holder] = (status.serial, now_s)
        return seen[1]

    def _choose(self, question: Question) -> tuple[BackendServer | None, bool]:
        declaration = self._declaration()
        service = declaration and declaration.services.get(question.service)
        engine = service.engine if service else None
        model = engine.find_model(question.model) if engine is not None else None
        if engine is None or model is None:
            return None, False
        heads = [
            head
            for head in self._heads(question.service, model.name)
            if head.zone == self._zone
        ]
        pool = self._pools.setdefault((question.service, question.model), _Pool())
        now_s = self._clock.monotonic()
        pool.record_question(question, now_s=now_s)
        limits = {head.vm: self._estimator.limit(head, engine) for head in heads}
        free = sum(max(limits[h.vm] - self.in_flight(h.vm), 0) for h in heads)
        reserved = pool.reserved_slots(
            question, free=free, slots=sum(limits.values()), now_s=now_s
        )
        if reserved and free <= reserved:
            return None, bool(heads)
        scores: list[tuple[float, BackendServer]] = []
        for head in heads:
            if head.vm in question.excluded:
                continue
            in_flight, limit = self.in_flight(head.vm), limits[head.vm]
            delay_s = self._estimator.choice_delay_s(
                head,
                engine,
                model,
                in_flight=in_flight,
                prompt_tokens=question.prompt_tokens,
                target=datetime.timedelta(seconds=question.target_s),
            )
            if in_flight < limit or delay_s <= question.target_s:
                load = in_flight / max(limit, 1)
                scores.append((delay_s + _LOAD_COST_S * load, head))
        if not scores:
            return None, bool(heads)
        lowest_s = min(score_s for score_s, _ in scores)
        best = [h for score_s, h in scores if score_s <= lowest_s + _TIE_TOLERANCE_S]
        return self._rng.choice(best), True
