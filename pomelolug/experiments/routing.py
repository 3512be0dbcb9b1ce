"""Group selection by many gateways that have stale load reports.

Run with ``python -m pomelolug.experiments.routing [--seeds N]``. Gateways send
requests to 75 groups without admission control; every second they receive load
reports that are half a second old.
"""

import collections
import concurrent.futures
import dataclasses
import datetime
import itertools
import math
import random
import statistics
from collections.abc import Callable, Sequence

import fire

from pomelolug.experiments._gateways import (
    POOL,
    Chooser,
    least_loaded,
    round_robin,
)
from pomelolug.experiments._simulation import (
    SimulatedGroup,
    Simulation,
    Task,
    quantile,
)
from pomelolug.ids import GroupId, RequestId, ZoneId
from pomelolug.messages import RoutingTable
from pomelolug.routing import RoutingView

__all__ = ["RoutingResult", "main", "run"]

RULES = ("policy", "weighted", "round_robin", "random", "least_loaded")
_GROUP_COUNT = 75
_SLOTS = 64
_SERVICE_S = 2.0
_SERVICE_TIME_SIGMA = 0.5
_OFFERED_LOAD = 0.85
_SLOWDOWN = 1.5
_REPORT_PERIOD_S = 1.0
_WARM_UP_S = 8.0
_END_S = 20.0
_WORKERS = 4


@dataclasses.dataclass(frozen=True, kw_only=True)
class RoutingResult:
    """Result of one run.

    `wait_p99_s` is the p99 time that a request waits for a slot, `herding` the
    ratio of the largest to the mean load of a group, averaged over time.
    """

    wait_p99_s: float
    herding: float


class PolicySender:
    """Gateway that selects groups with the production routing view."""

    def __init__(
        self,
        simulation: Simulation,
        groups: Sequence[SimulatedGroup],
        *,
        index: int,
        gateways: int,
        random_state: random.Random,
    ) -> None:
        self._simulation = simulation
        self._groups = {group.name: group for group in groups}
        self._view = RoutingView(
            zone=ZoneId(f"z{index % 3}"),
            lease=datetime.timedelta(seconds=3),
            clock=simulation,
            random_state=random_state,
        )
        self._view.set_share(1.0 / gateways, span_start=index / gateways)

    def on_table(self, table: RoutingTable) -> None:
        """Receive a routing table."""
        self._view.update(table)

    def send(self, request_id: str, task: Task) -> None:
        """Select a group and submit the task to it."""
        status = self._view.choose(POOL)
        if status is None:
            raise RuntimeError("no group is usable although all are serving")
        group = GroupId(status.group)
        sent_at_s = self._simulation.monotonic()
        self._view.on_dispatch(group, RequestId(request_id))

        def on_end(ok: bool) -> None:
            service_s = self._simulation.monotonic() - sent_at_s
            self._view.on_finish(
                group, RequestId(request_id), ok=ok, service_time_s=service_s
            )

        task.on_end = on_end
        self._groups[status.group].submit(task)


class BaselineSender:
    """Baseline: gateway that selects groups by a rule on the routing table only."""

    def __init__(self, choose: Chooser) -> None:
        self._choose = choose
        self._table: RoutingTable | None = None

    def on_table(self, table: RoutingTable) -> None:
        """Receive a routing table."""
        self._table = table

    def send(self, request_id: str, task: Task) -> None:
        """Select a group and submit the task to it."""
        self._choose(self._table).submit(task)


def _weighted(groups: Sequence[SimulatedGroup], random_state: random.Random) -> Chooser:
    """Return a rule that draws a group, weighted by the reported free slots."""
    by_name = {group.name: group for group in groups}

    def choose(table: RoutingTable | None) -> SimulatedGroup:
        if table is None:
            return random_state.choice(groups)
        weights = [max(status.capacity - status.load, 0.5) for status in table.groups]
        return by_name[random_state.choices(table.groups, weights)[0].group]

    return choose


def _make_sender(
    name: str,
    simulation: Simulation,
    groups: Sequence[SimulatedGroup],
    *,
    index: int,
    gateways: int,
    rng: random.Random,
) -> PolicySender | BaselineSender:
    if name == "policy":
        return PolicySender(
            simulation, groups, index=index, gateways=gateways, random_state=rng
        )
    chooser_factories: dict[str, Callable[[], Chooser]] = {
        "weighted": lambda: _weighted(groups, rng),
        "round_robin": lambda: round_robin(groups, rng),
        "random": lambda: lambda table: rng.choice(groups),
        "least_loaded": lambda: least_loaded(groups, rng),
    }
    return BaselineSender(chooser_factories[name]())


def run(rule: str, gateways: int, slow: int, seed: int) -> RoutingResult:
    """Simulate 20 s of one selection rule at 85% of the groups' throughput.

    Parameters
    ----------
    rule : str
        One of `RULES`.
    gateways : int
        Number of gateways.
    slow : int
        Number of groups that take 1.5 times as long and are not marked as
        stragglers.
    seed : int
        Seed of all random generators.
    """
    rng = random.Random(seed)
    simulation = Simulation()
    groups = [
        SimulatedGroup(
            simulation,
            name=f"g{i:02}",
            zone=f"z{i % 3}",
            capacity=_SLOTS,
            slowdown=_SLOWDOWN if i < slow else 1.0,
        )
        for i in range(_GROUP_COUNT)
    ]
    senders = [
        _make_sender(
            rule,
            simulation,
            groups,
            index=index,
            gateways=gateways,
            rng=random.Random(rng.random()),
        )
        for index in range(gateways)
    ]
    waits_s: list[float] = []
    herding: list[float] = []
    request_numbers = itertools.count()
    rate = _OFFERED_LOAD * _GROUP_COUNT * _SLOTS / _SERVICE_S
    mean_log = math.log(_SERVICE_S) - _SERVICE_TIME_SIGMA**2 / 2

    def publish_table() -> None:
        age_s = _REPORT_PERIOD_S / 2
        table = RoutingTable(
            config_version=1,
            config=b"",
            groups=tuple(
                group.status(pool=POOL, load=group.load, age_s=age_s)
                for group in groups
            ),
            nodes_alive=gateways,
        )

        def deliver() -> None:
            for sender in senders:
                sender.on_table(table)

        simulation.call_later(age_s, deliver)

    def on_arrival() -> None:
        arrived_at_s = simulation.monotonic()

        def on_start() -> None:
            if arrived_at_s >= _WARM_UP_S:
                waits_s.append(simulation.monotonic() - arrived_at_s)

        task = Task(
            service_s=rng.lognormvariate(mean_log, _SERVICE_TIME_SIGMA),
            fails=False,
            on_start=on_start,
            on_end=lambda ok: None,
        )
        if arrived_at_s >= _REPORT_PERIOD_S:
            rng.choice(senders).send(str(next(request_numbers)), task)
        simulation.call_later(rng.expovariate(rate), on_arrival)

    def sample_loads() -> None:
        if simulation.monotonic() >= _WARM_UP_S:
            loads = [group.load for group in groups]
            herding.append(max(loads) / statistics.fmean(loads))

    simulation.call_every(_REPORT_PERIOD_S, publish_table)
    simulation.call_every(_REPORT_PERIOD_S / 4, sample_loads)
    on_arrival()
    simulation.run(_END_S)
    return RoutingResult(
        wait_p99_s=quantile(waits_s, 0.99), herding=statistics.fmean(herding)
    )


def main(*, seeds: int = 5, slow: int = 0) -> None:
    """Print the mean result of each rule, the worst seed in brackets."""
    cases = list(itertools.product(RULES, (9, 390), (slow,), range(seeds)))
    with concurrent.futures.ProcessPoolExecutor(_WORKERS) as pool:
        all_results = list(pool.map(run, *zip(*cases, strict=True)))
    results_by_case: dict[tuple[str, int], list[RoutingResult]] = (
        collections.defaultdict(list)
    )
    for (rule, gateways, _, _), result in zip(cases, all_results, strict=True):
        results_by_case[rule, gateways].append(result)
    print("rule gateways wait_p99_s(max) herding(max)")
    for (rule, gateways), results in results_by_case.items():
        waits_s = [result.wait_p99_s for result in results]
        herding = [result.herding for result in results]
        print(
            f"{rule} {gateways}",
            f"{statistics.fmean(waits_s):.3f} ({max(waits_s):.3f})",
            f"{statistics.fmean(herding):.3f} ({max(herding):.3f})",
        )


if __name__ == "__main__":
    fire.Fire(main)
