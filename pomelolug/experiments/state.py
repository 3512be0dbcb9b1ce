"""Propagation time of configuration changes, appends per change, restart cost.

Run ``python -m pomelolug.experiments.state``. Nodes and log run on virtual time
with a seeded random generator; restarts are measured in real time. Each line of
standard output is one JSON object with name, unit and value.
"""

import asyncio
import dataclasses
import datetime
import json
import math
import statistics
from collections.abc import Awaitable, Callable

import fire

from pomelolug.errors import PlatformError
from pomelolug.experiments._state_baselines import (
    Measurement,
    measure_append_retries,
    measure_lease,
    measure_timestamps,
    run_on_virtual_time,
)
from pomelolug.experiments._state_bench import StateBench
from pomelolug.experiments._state_restart import measure_restart
from pomelolug.telemetry import configure_logging

__all__ = ["Measurement", "main", "measure_state"]

_DAY_S = 24 * 3600
_CHANGES_A_DAY = 2600
_CHANGES = 30
_BURST_CHANGES = 10
_BURST_S = 16.0
_CURRENT_NODES = 9
_PLANNED_NODES = 390
_SETTLE_S = 40.0
_SLOW_LATENCY = (datetime.timedelta(seconds=0.5), datetime.timedelta(seconds=1.5))
_OUTAGE_S = 10.0
_RACING_OPERATORS = 3

_Scenario = Callable[[StateBench], Awaitable[None]]


async def _publish_steadily(bench: StateBench, changes: int = _CHANGES) -> None:
    """Publish at the planned rate, at equal intervals."""
    for number in range(changes):
        await bench.publish_change(number)
        await asyncio.sleep(_DAY_S / _CHANGES_A_DAY)


async def _publish_few(bench: StateBench) -> None:
    """Publish fewer changes, because many nodes take long to simulate."""
    await _publish_steadily(bench, _BURST_CHANGES)


async def _publish_with_lost_answers(bench: StateBench) -> None:
    """Publish while one append in five loses its response."""
    bench.log.faults.answer_loss_rate = 0.2
    await _publish_steadily(bench)


async def _publish_through_outages(bench: StateBench) -> None:
    """Publish with an outage of the log right after each publication."""
    for number in range(_CHANGES):
        await bench.publish_change(number)
        bench.log.faults.down = True
        await asyncio.sleep(_OUTAGE_S)
        bench.log.faults.down = False
        await asyncio.sleep(_DAY_S / _CHANGES_A_DAY - _OUTAGE_S)


async def _publish_burst(bench: StateBench) -> None:
    """Publish ten versions within the time allowed for one."""
    for number in range(_BURST_CHANGES):
        await bench.publish_change(number)
        await asyncio.sleep(_BURST_S / _BURST_CHANGES)


async def _publish_racing(bench: StateBench) -> None:
    """Let three operators change the same base version concurrently."""
    for round_number in range(_CHANGES):
        await asyncio.gather(
            *(
                bench.publish_change(round_number * _RACING_OPERATORS + number)
                for number in range(_RACING_OPERATORS)
            )
        )
        await asyncio.sleep(_DAY_S / _CHANGES_A_DAY)


def measure_state(random_state: int = 0) -> list[Measurement]:
    """Return all measurements.

    Parameters
    ----------
    random_state : int
        Seed of the nodes, the operators and the log.
    """

    def bench(nodes: int, **options: object) -> StateBench:
        return StateBench(nodes=nodes, random_state=random_state, **options)  # type: ignore[arg-type]

    scenarios: tuple[tuple[str, Callable[[], StateBench], _Scenario], ...] = (
        (f"{_CURRENT_NODES} nodes", lambda: bench(_CURRENT_NODES), _publish_steadily),
        (f"{_PLANNED_NODES} nodes", lambda: bench(_PLANNED_NODES), _publish_few),
        (
            "slow log",
            lambda: bench(_CURRENT_NODES, latency=_SLOW_LATENCY),
            _publish_steadily,
        ),
        ("lost answers", lambda: bench(_CURRENT_NODES), _publish_with_lost_answers),
        (
            "outage of 10 s after the append",
            lambda: bench(_CURRENT_NODES),
            _publish_through_outages,
        ),
        (
            "3 of 9 nodes cut off from the log",
            lambda: bench(_CURRENT_NODES, cut_off_nodes=3),
            _publish_steadily,
        ),
        (
            "10 versions in 16 s, 390 nodes",
            lambda: bench(_PLANNED_NODES),
            _publish_burst,
        ),
        ("3 operators race", lambda: bench(_CURRENT_NODES), _publish_racing),
    )
    measurements: list[Measurement] = []
    for name, make_bench, scenario in scenarios:
        measurements += run_on_virtual_time(
            lambda m=make_bench, s=scenario, n=name: _run_scenario(n, m(), s)  # type: ignore[misc]
        )
    measurements += measure_append_retries(random_state)
    measurements += measure_lease(random_state)
    measurements += measure_timestamps(random_state)
    measurements += measure_restart(random_state)
    return measurements


async def _run_scenario(
    name: str, bench: StateBench, scenario: _Scenario
) -> list[Measurement]:
    started_s = bench.clock.monotonic()
    async with bench.running():
        try:
            await scenario(bench)
        except PlatformError as error:
            raise RuntimeError(f"scenario {name!r} failed: {error}") from error
        await asyncio.sleep(_SETTLE_S)
        times_s = sorted(bench.propagation_times_s())
    elapsed_s = bench.clock.monotonic() - started_s
    p95_index = math.ceil(0.95 * len(times_s)) - 1
    values = (
        ("changes won", "changes", float(len(times_s))),
        ("in force everywhere, median", "s", statistics.median(times_s)),
        ("in force everywhere, p95", "s", times_s[p95_index]),
        ("in force everywhere, longest", "s", times_s[-1]),
        ("appends for a won change", "appends", bench.log.appends / len(times_s)),
        ("reads of the log", "reads/s", bench.log.reads / elapsed_s),
    )
    return [
        Measurement(name=f"{name}: {metric}", unit=unit, value=round(value, 4))
        for metric, unit, value in values
    ]


def main() -> None:
    """Run the command."""
    configure_logging("error")

    def measure(random_state: int = 0) -> None:
        """Print all measurements as JSON lines."""
        for measurement in measure_state(random_state):
            print(json.dumps(dataclasses.asdict(measurement)))

    fire.Fire(measure, name="pomelolug.experiments.state")


if __name__ == "__main__":
    main()
