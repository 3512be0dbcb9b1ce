"""Simulated gateways: the production policies and baselines."""

import abc
import collections
import datetime
import random
from collections.abc import Callable, Sequence

from pomelolug.admission import AdmissionQueue, AdmissionRequest, Permit
from pomelolug.configuration import WorkClass
from pomelolug.errors import RequestError
from pomelolug.experiments._simulation import SimulatedGroup, Simulation, Task
from pomelolug.ids import AccountId, GroupId, PoolId, RequestId, WorkClassName, ZoneId
from pomelolug.messages import RoutingTable
from pomelolug.retries import RetryBudget
from pomelolug.routing import RoutingView

__all__ = [
    "Call",
    "DirectGateway",
    "FifoGateway",
    "PolicyGateway",
    "SimulatedGateway",
    "least_loaded",
    "round_robin",
]

POOL = PoolId("model")
_LEASE = datetime.timedelta(seconds=3)


class Call:
    """One call of a client; a client that retries makes a new call.

    `on_done` receives the reason of a refusal or failure, which is empty if the
    call was answered, and the seconds after which to retry.
    """

    __slots__ = (
        "account",
        "arrived_at_s",
        "attempts",
        "deadline_s",
        "done",
        "fails",
        "group",
        "call_id",
        "on_done",
        "permit",
        "service_s",
        "started_at_s",
        "task",
        "weight",
        "dequeue",
        "work_class",
    )

    def __init__(
        self,
        *,
        call_id: str,
        work_class: WorkClass,
        account: AccountId,
        service_s: float,
        deadline_s: float,
        arrived_at_s: float,
        fails: Callable[[], bool],
        on_done: Callable[["Call", str, float], None],
    ) -> None:
        self.call_id = call_id
        self.work_class = work_class
        self.account = account
        self.service_s = service_s
        self.deadline_s = deadline_s
        self.arrived_at_s = arrived_at_s
        self.fails = fails
        self.on_done = on_done
        self.started_at_s: float | None = None
        self.attempts = 0
        self.done = False
        self.group: SimulatedGroup | None = None
        self.task: Task | None = None
        self.permit: Permit | None = None
        self.dequeue: Callable[[], None] | None = None

    def finish(self, reason: str, retry_after_s: float = 1.0) -> None:
        """Report the end of the call; later calls have no effect."""
        if not self.done:
            self.done = True
            self.on_done(self, reason, retry_after_s)


class SimulatedGateway(abc.ABC):
    """A gateway that dispatches calls to simulated groups."""

    def __init__(
        self, simulation: Simulation, groups: Sequence[SimulatedGroup]
    ) -> None:
        self._simulation = simulation
        self._groups = {group.name: group for group in groups}
        self.dispatches = 0

    @abc.abstractmethod
    def submit(self, call: Call) -> None:
        """Accept a call."""

    @abc.abstractmethod
    def on_table(self, table: RoutingTable) -> None:
        """Receive a routing table."""

    @abc.abstractmethod
    def on_abandoned(self, call: Call) -> None:
        """Cancel a call whose caller has given up."""

    def queued(self) -> int:
        """Return how many calls wait in this gateway."""
        return 0

    def _send(
        self,
        call: Call,
        group: SimulatedGroup,
        on_end: Callable[[bool], None],
        *,
        priority: int = 0,
    ) -> None:
        call.attempts += 1
        call.group = group
        self.dispatches += 1

        def on_start() -> None:
            # A retry resumes the stream, so the first token belongs to the first
            # attempt that started.
            if call.started_at_s is None:
                call.started_at_s = self._simulation.monotonic()

        call.task = Task(
            service_s=call.service_s,
            fails=call.fails(),
            on_start=on_start,
            on_end=on_end,
            priority=priority,
        )
        group.submit(call.task)

    def _cancel_task(self, call: Call) -> None:
        if call.task is not None and call.group is not None:
            call.group.cancel(call.task)


class PolicyGateway(SimulatedGateway):
    """Gateway with the production admission, routing and retry code."""

    def __init__(
        self,
        simulation: Simulation,
        groups: Sequence[SimulatedGroup],
        *,
        zone: str,
        random_state: random.Random,
    ) -> None:
        super().__init__(simulation, groups)
        self.view = RoutingView(
            zone=ZoneId(zone), lease=_LEASE, clock=simulation, random_state=random_state
        )
        self.admission = AdmissionQueue(
            clock=simulation,
            free_slots=lambda pool: self.view.free_slots(PoolId(pool)),
            random_state=random_state,
            call_later=simulation.call_later,
        )
        self.retry_budget = RetryBudget(clock=simulation)

    def submit(self, call: Call) -> None:
        """Admit and dispatch a call, or refuse it."""
        request = AdmissionRequest(
            request_id=RequestId(call.call_id),
            work_class=call.work_class,
            account=call.account,
            deadline_s=call.deadline_s,
        )

        def on_settled(result: Permit | RequestError) -> None:
            if isinstance(result, RequestError):
                self._refuse(call, result)
            else:
                self._dispatch(call, result, frozenset())

        try:
            ticket = self.admission.submit(request, on_settled)
        except RequestError as error:
            self._refuse(call, error)
            return
        call.dequeue = lambda: self.admission.cancel(ticket)
        if ticket.permit is not None:
            self._dispatch(call, ticket.permit, frozenset())

    def on_table(self, table: RoutingTable) -> None:
        """Apply a routing table and admit calls to slots that became free."""
        self.view.update(table)
        self.admission.notify()

    def on_abandoned(self, call: Call) -> None:
        """Cancel the call in the admission queue or on its group."""
        if call.group is not None and call.task is not None:
            self._cancel_task(call)
            self.view.on_finish(
                GroupId(call.group.name),
                RequestId(call.call_id),
                ok=True,
                service_time_s=None,
            )
        if call.dequeue is not None:
            call.dequeue()

    def queued(self) -> int:
        """Return how many calls wait in the admission queue."""
        return self.admission.waiting(POOL)

    def _refuse(self, call: Call, error: RequestError) -> None:
        retry = error.retry_after
        call.finish(error.code.value, retry.total_seconds() if retry else 1.0)

    def _dispatch(
        self, call: Call, permit: Permit, exclude: frozenset[GroupId]
    ) -> None:
        status = self.view.choose(POOL, exclude=exclude)
        if status is None:
            permit.release()
            call.finish("no_group")
            return
        group = GroupId(status.group)
        self.view.on_dispatch(group, RequestId(call.call_id))
        permit.mark_dispatched()
        sent_at_s = self._simulation.monotonic()

        def on_end(ok: bool) -> None:
            self.view.on_finish(
                group,
                RequestId(call.call_id),
                ok=ok,
                service_time_s=self._simulation.monotonic() - sent_at_s,
            )
            self._on_end(call, permit, ok, exclude | {group})

        self._send(
            call,
            self._groups[status.group],
            on_end,
            priority=call.work_class.priority,
        )

    def _on_end(
        self, call: Call, permit: Permit, ok: bool, exclude: frozenset[GroupId]
    ) -> None:
        key = (WorkClassName(call.work_class.name), call.account, POOL)
        if ok:
            self.retry_budget.on_success(*key)
            permit.release()
            call.finish("")
        elif self.retry_budget.try_spend(*key):
            self._dispatch(call, permit, exclude)
        else:
            permit.release()
            call.finish("retry_budget_exhausted")


class FifoGateway(SimulatedGateway):
    """Baseline: one first-in, first-out queue, no refusals, three retries."""

    def __init__(
        self,
        simulation: Simulation,
        groups: Sequence[SimulatedGroup],
        *,
        slots: int,
        random_state: random.Random,
    ) -> None:
        super().__init__(simulation, groups)
        self._free_slots = slots
        self._queue: collections.deque[Call] = collections.deque()
        self._choose = round_robin(groups, random_state)
        self._table: RoutingTable | None = None

    def submit(self, call: Call) -> None:
        """Queue a call."""
        self._queue.append(call)
        self._dispatch_queued()

    def on_table(self, table: RoutingTable) -> None:
        """Store the routing table."""
        self._table = table

    def on_abandoned(self, call: Call) -> None:
        """Cancel the call on its group and free its slot."""
        if call.task is not None:
            self._cancel_task(call)
            self._free_slots += 1
            self._dispatch_queued()

    def queued(self) -> int:
        """Return the length of the queue."""
        return len(self._queue)

    def _dispatch_queued(self) -> None:
        while self._free_slots > 0 and self._queue:
            call = self._queue.popleft()
            if not call.done:
                self._free_slots -= 1
                self._dispatch(call)

    def _dispatch(self, call: Call) -> None:
        def on_end(ok: bool) -> None:
            if not ok and call.attempts < 4:
                self._dispatch(call)
                return
            self._free_slots += 1
            call.finish("" if ok else "failed")
            self._dispatch_queued()

        self._send(call, self._choose(self._table), on_end)


Chooser = Callable[[RoutingTable | None], SimulatedGroup]


class DirectGateway(SimulatedGateway):
    """Baseline: sends each call immediately by a fixed rule, three retries."""

    def __init__(
        self,
        simulation: Simulation,
        groups: Sequence[SimulatedGroup],
        *,
        choose: Chooser,
    ) -> None:
        super().__init__(simulation, groups)
        self._choose = choose
        self._table: RoutingTable | None = None

    def submit(self, call: Call) -> None:
        """Send a call."""

        def on_end(ok: bool) -> None:
            if not ok and call.attempts < 4:
                self.submit(call)
            else:
                call.finish("" if ok else "failed")

        self._send(call, self._choose(self._table), on_end)

    def on_table(self, table: RoutingTable) -> None:
        """Store the routing table."""
        self._table = table

    def on_abandoned(self, call: Call) -> None:
        """Cancel the call on its group."""
        self._cancel_task(call)


def round_robin(
    groups: Sequence[SimulatedGroup], random_state: random.Random
) -> Chooser:
    """Return a rule that chooses the groups in turn, from a random start."""
    position = random_state.randrange(len(groups))

    def choose(table: RoutingTable | None) -> SimulatedGroup:
        nonlocal position
        position = (position + 1) % len(groups)
        return groups[position]

    return choose


def least_loaded(
    groups: Sequence[SimulatedGroup], random_state: random.Random
) -> Chooser:
    """Return a rule that chooses the group with the least reported load."""
    by_name = {group.name: group for group in groups}

    def choose(table: RoutingTable | None) -> SimulatedGroup:
        if table is None:
            return random_state.choice(groups)
        status = min(table.groups, key=lambda status: status.load)
        return by_name[status.group]

    return choose
