"""Simulated deployment of groups and gateways with an offered workload."""

import dataclasses
import datetime
import math
import random
from collections.abc import Callable

from pomelolug.admission import CapacityAllocator, DemandMeter
from pomelolug.configuration import WorkClass
from pomelolug.experiments._gateways import (
    POOL,
    Call,
    DirectGateway,
    FifoGateway,
    PolicyGateway,
    SimulatedGateway,
    least_loaded,
    round_robin,
)
from pomelolug.experiments._simulation import SimulatedGroup, Simulation
from pomelolug.ids import AccountId, NodeId
from pomelolug.messages import RoutingTable

__all__ = [
    "SYSTEMS",
    "WORK_CLASSES",
    "CallOutcome",
    "DeploymentSize",
    "SimulatedDeployment",
    "Workload",
]

SYSTEMS = ("policy", "fifo", "round_robin", "least_loaded")
_REPORT_PERIOD_S = 1.0
_PREFILL_S = 0.3
_SERVICE_TIME_SIGMA = 0.5
_MAX_CALLS_PER_REQUEST = 3


def _make_work_class(
    name: str, priority: int, ttft_s: float, deadline_s: float
) -> WorkClass:
    return WorkClass(
        name=name,
        priority=priority,
        ttft_target=datetime.timedelta(seconds=ttft_s),
        gap_target=datetime.timedelta(milliseconds=44),
        deadline=datetime.timedelta(seconds=deadline_s),
        pool=POOL,
        queue_limit=1000,
    )


WORK_CLASSES = (
    _make_work_class("urgent", 10, 0.99, 60.0),
    _make_work_class("normal", 5, 5.0, 90.0),
    _make_work_class("bulk", 1, 20.0, 120.0),
)
_CLASS_SHARES = (0.2, 0.4, 0.4)


@dataclasses.dataclass(frozen=True, kw_only=True)
class DeploymentSize:
    """Size of a simulated deployment.

    `slots` counts the slots of one group, `service_s` is the mean time that a
    request occupies a slot.
    """

    gateways: int = 9
    groups: int = 10
    slots: int = 100
    service_s: float = 18.0

    @property
    def throughput_per_s(self) -> float:
        """Requests per second that the groups can complete."""
        return self.groups * self.slots / self.service_s


@dataclasses.dataclass(frozen=True, kw_only=True)
class Workload:
    """Offered load over time.

    Parameters
    ----------
    load : callable
        Returns the offered load as a fraction of the throughput, at a time in
        seconds.
    demands : tuple of float
        Relative demand of each account.
    failure_probability : callable
        Returns the probability that a group loses a task, at a time in seconds.
    """

    load: Callable[[float], float]
    demands: tuple[float, ...] = (4.0, 3.0, 2.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0)
    failure_probability: Callable[[float], float] = lambda at_s: 0.01


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallOutcome:
    """Outcome of one call; `reason` is empty if it was answered in time.

    `ttft_s` is the time to the first token, nan unless the request started.
    """

    work_class: str
    account: int
    arrived_at_s: float
    ended_at_s: float
    ttft_s: float
    attempts: int
    reason: str


class SimulatedDeployment:
    """Gateways and groups under a workload, on virtual time.

    Parameters
    ----------
    size : DeploymentSize
        Number of groups, slots and gateways.
    workload : Workload
        Load that the callers offer.
    system : str
        Kind of the gateways, one of `SYSTEMS`.
    seed : int
        Seed of all random generators.
    """

    def __init__(
        self, *, size: DeploymentSize, workload: Workload, system: str, seed: int
    ) -> None:
        self.simulation = Simulation()
        self.outcomes: list[CallOutcome] = []
        self._size = size
        self._workload = workload
        self._rng = random.Random(seed)
        self._groups = [
            SimulatedGroup(
                self.simulation, name=f"g{i:02}", zone=f"z{i % 3}", capacity=size.slots
            )
            for i in range(size.groups)
        ]
        self._gateways = [self._make_gateway(system, i) for i in range(size.gateways)]
        self._allocator = CapacityAllocator()
        self._demand_meters = [
            DemandMeter(NodeId(f"{i:04}")) for i in range(size.gateways)
        ]
        self._call_count = 0

    @property
    def dispatches(self) -> int:
        """Number of tasks that the gateways sent to groups."""
        return sum(gateway.dispatches for gateway in self._gateways)

    def run(self, until_s: float) -> None:
        """Run the simulation until the virtual time `until_s`."""
        self.simulation.call_every(_REPORT_PERIOD_S, self._publish_table)
        self._on_arrival()
        self.simulation.run(until_s)

    def _make_gateway(self, system: str, index: int) -> SimulatedGateway:
        rng = random.Random(self._rng.random())
        groups = self._groups
        if system == "policy":
            return PolicyGateway(
                self.simulation, groups, zone=f"z{index % 3}", random_state=rng
            )
        if system == "fifo":
            slots = self._size.groups * self._size.slots // self._size.gateways
            return FifoGateway(self.simulation, groups, slots=slots, random_state=rng)
        make_chooser = {"round_robin": round_robin, "least_loaded": least_loaded}[
            system
        ]
        return DirectGateway(self.simulation, groups, choose=make_chooser(groups, rng))

    def _publish_table(self) -> None:
        """Measure all loads now and deliver the table half a period later."""
        age_s = _REPORT_PERIOD_S / 2
        table = RoutingTable(
            config_version=1,
            config=b"",
            groups=tuple(
                group.status(pool=POOL, load=group.load, age_s=age_s)
                for group in self._groups
            ),
            nodes_alive=len(self._gateways),
        )
        demand = [
            meter.report(
                admitted=0,
                queued=gateway.queued(),
                in_flight=gateway.admission.held(POOL),
            )
            for meter, gateway in zip(self._demand_meters, self._gateways, strict=True)
            if isinstance(gateway, PolicyGateway)
        ]

        def deliver() -> None:
            self._allocator.update(demand)
            for index, gateway in enumerate(self._gateways):
                if isinstance(gateway, PolicyGateway):
                    node = NodeId(f"{index:04}")
                    gateway.view.set_share(
                        self._allocator.share(node),
                        span_start=self._allocator.span_start(node),
                    )
                gateway.on_table(table)

        self.simulation.call_later(age_s, deliver)

    def _on_arrival(self) -> None:
        now = self.simulation.monotonic()
        if now > 0:
            self._start_request()
        rate = self._workload.load(now) * self._size.throughput_per_s
        self.simulation.call_later(self._rng.expovariate(rate), self._on_arrival)

    def _start_request(self) -> None:
        work_class = self._rng.choices(WORK_CLASSES, _CLASS_SHARES)[0]
        demands = self._workload.demands
        account = self._rng.choices(range(len(demands)), demands)[0]
        mean_log = math.log(self._size.service_s) - _SERVICE_TIME_SIGMA**2 / 2
        service_s = self._rng.lognormvariate(mean_log, _SERVICE_TIME_SIGMA)
        # Requests that could not complete before their deadline even without
        # queueing are not offered.
        service_s = min(service_s, work_class.deadline.total_seconds() * 0.9)
        self._start_call(
            work_class, account, service_s, calls_left=_MAX_CALLS_PER_REQUEST
        )

    def _start_call(
        self, work_class: WorkClass, account: int, service_s: float, *, calls_left: int
    ) -> None:
        self._call_count += 1
        now = self.simulation.monotonic()
        deadline_s = work_class.deadline.total_seconds()
        gateway = self._rng.choice(self._gateways)
        failure_probability = self._workload.failure_probability

        def on_done(call: Call, reason: str, retry_after_s: float) -> None:
            self._record_outcome(call, account, reason)
            if reason and calls_left > 1:
                self._schedule_retry(
                    work_class, account, service_s, calls_left - 1, retry_after_s
                )

        call = Call(
            call_id=f"r{self._call_count}",
            work_class=work_class,
            account=AccountId(f"account{account}"),
            service_s=service_s,
            deadline_s=deadline_s,
            arrived_at_s=now,
            fails=lambda: (
                self._rng.random() < failure_probability(self.simulation.monotonic())
            ),
            on_done=on_done,
        )

        def on_deadline() -> None:
            if not call.done:
                call.finish("caller_gave_up")
                gateway.on_abandoned(call)

        self.simulation.call_later(deadline_s, on_deadline)
        gateway.submit(call)

    def _schedule_retry(
        self,
        work_class: WorkClass,
        account: int,
        service_s: float,
        calls_left: int,
        retry_after_s: float,
    ) -> None:
        """Schedule the next call; half of the callers ignore ``Retry-After``."""
        delay_s = retry_after_s if self._rng.random() < 0.5 else self._rng.uniform(0, 2)
        self.simulation.call_later(
            delay_s,
            lambda: self._start_call(
                work_class, account, service_s, calls_left=calls_left
            ),
        )

    def _record_outcome(self, call: Call, account: int, reason: str) -> None:
        ttft_s = math.nan
        if call.started_at_s is not None:
            ttft_s = call.started_at_s - call.arrived_at_s + _PREFILL_S
        self.outcomes.append(
            CallOutcome(
                work_class=call.work_class.name,
                account=account,
                arrived_at_s=call.arrived_at_s,
                ended_at_s=self.simulation.monotonic(),
                ttft_s=ttft_s,
                attempts=call.attempts,
                reason=reason,
            )
        )
