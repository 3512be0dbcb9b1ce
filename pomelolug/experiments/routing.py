"""Choice of a group by many gateways on stale reports.

Run with ``python -m pomelolug.experiments.routing [--seeds N]``. Gateways send
requests to 75 groups without admission; every second they get reports that are
half a second old.
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

__all__ = ["Spread", "main", "run"]

RULES = ("policy", "weighted", "round_robin", "random", "least_loaded")
_GROUPS = 75
_SLOTS = 64
_SERVICE_S = 2.0
_SIGMA = 0.5
_LOAD = 0.85
_SLOWDOWN = 1.5
_PERIOD_S = 1.0
_WARM_UP_S = 8.0
_END_S = 20.0
_WORKERS = 4


@dataclasses.dataclass(frozen=True, kw_only=True)
class Spread:
    """p99 wait in seconds, and largest over mean load, averaged over time."""

    wait_p99: float
    herding: float


class PolicyRule:
    """The real routing view of one gateway."""

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
        """Take a table."""
        self._view.update(table)

    def send(self, number: str, task: Task) -> None:
        """Choose a group and submit the task."""
        status = self._view.choose(POOL)
        if status is None:
            raise RuntimeError("no usable group although all serve")
        group = GroupId(status.group)
        sent_at = self._simulation.monotonic()
        self._view.on_dispatch(group, RequestId(number))

        def on_end(ok: bool) -> None:
            service_s = self._simulation.monotonic() - sent_at
            self._view.on_finish(
                group, RequestId(number), ok=ok, service_time_s=service_s
            )

        task.on_end = on_end
        self._groups[status.group].submit(task)


class PlainRule:
    """A baseline that looks at the table only."""

    def __init__(self, choose: Chooser) -> None:
        self._choose = choose
        self._table: RoutingTable | None = None

    def on_table(self, table: RoutingTable) -> None:
        """Take a table."""
        self._table = table

    def send(self, number: str, task: Task) -> None:
        """Choose a group and submit the task."""
        self._choose(self._table).submit(task)


def _weighted(groups: Sequence[SimulatedGroup], random_state: random.Random) -> Chooser:
    """Return a rule that draws once by the reported free slots."""
    by_name = {group.name: group for group in groups}

    def choose(table: RoutingTable | None) -> SimulatedGroup:
        if table is None:
            return random_state.choice(groups)
        weights = [max(status.capacity - status.load, 0.5) for status in table.groups]
        return by_name[random_state.choices(table.groups, weights)[0].group]

    return choose


def _rule(
    name: str,
    simulation: Simulation,
    groups: Sequence[SimulatedGroup],
    *,
    index: int,
    gateways: int,
    source: random.Random,
) -> PolicyRule | PlainRule:
    if name == "policy":
        return PolicyRule(
            simulation, groups, index=index, gateways=gateways, random_state=source
        )
    rules: dict[str, Callable[[], Chooser]] = {
        "weighted": lambda: _weighted(groups, source),
        "round_robin": lambda: round_robin(groups, source),
        "random": lambda: lambda table: source.choice(groups),
        "least_loaded": lambda: least_loaded(groups, source),
    }
    return PlainRule(rules[name]())


def run(rule: str, gateways: int, slow: int, seed: int) -> Spread:
    """Run 20 s of one rule at 85% of capacity.

    Parameters
    ----------
    rule : str
        One of `RULES`.
    gateways : int
        Number of gateways.
    slow : int
        Groups that take 1.5 times as long and are not marked as stragglers.
    seed : int
        Seed of every random source.
    """
    source = random.Random(seed)
    simulation = Simulation()
    groups = [
        SimulatedGroup(
            simulation,
            name=f"g{i:02}",
            zone=f"z{i % 3}",
            capacity=_SLOTS,
            slowdown=_SLOWDOWN if i < slow else 1.0,
        )
        for i in range(_GROUPS)
    ]
    senders = [
        _rule(
            rule,
            simulation,
            groups,
            index=index,
            gateways=gateways,
            source=random.Random(source.random()),
        )
        for index in range(gateways)
    ]
    waits: list[float] = []
    herding: list[float] = []
    numbers = itertools.count()
    rate = _LOAD * _GROUPS * _SLOTS / _SERVICE_S
    mean = math.log(_SERVICE_S) - _SIGMA**2 / 2

    def report() -> None:
        age_s = _PERIOD_S / 2
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

    def arrive() -> None:
        now = simulation.monotonic()

        def on_start() -> None:
            if now >= _WARM_UP_S:
                waits.append(simulation.monotonic() - now)

        task = Task(
            service_s=source.lognormvariate(mean, _SIGMA),
            fails=False,
            on_start=on_start,
            on_end=lambda ok: None,
        )
        if now >= _PERIOD_S:
            source.choice(senders).send(str(next(numbers)), task)
        simulation.call_later(source.expovariate(rate), arrive)

    def observe() -> None:
        if simulation.monotonic() >= _WARM_UP_S:
            loads = [group.load for group in groups]
            herding.append(max(loads) / statistics.fmean(loads))

    simulation.every(_PERIOD_S, report)
    simulation.every(_PERIOD_S / 4, observe)
    arrive()
    simulation.run(_END_S)
    return Spread(wait_p99=quantile(waits, 0.99), herding=statistics.fmean(herding))


def main(*, seeds: int = 5, slow: int = 0) -> None:
    """Print the spread of each rule; the worst seed in brackets."""
    cases = list(itertools.product(RULES, (9, 390), (slow,), range(seeds)))
    with concurrent.futures.ProcessPoolExecutor(_WORKERS) as pool:
        results = list(pool.map(run, *zip(*cases, strict=True)))
    found: dict[tuple[str, int], list[Spread]] = collections.defaultdict(list)
    for (rule, gateways, _, _), spread in zip(cases, results, strict=True):
        found[rule, gateways].append(spread)
    print("rule gateways wait_p99_s(max) herding(max)")
    for (rule, gateways), spreads in found.items():
        waits = [spread.wait_p99 for spread in spreads]
        herding = [spread.herding for spread in spreads]
        print(
            f"{rule} {gateways}",
            f"{statistics.fmean(waits):.3f} ({max(waits):.3f})",
            f"{statistics.fmean(herding):.3f} ({max(herding):.3f})",
        )


if __name__ == "__main__":
    fire.Fire(main)
