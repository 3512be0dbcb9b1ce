"""Time until a configuration is in force, appends needed, and restart.

Run ``python -m pomelolug.experiments.state``. Nodes and log run on virtual time
with a seeded random source; restarts take the VM's own time. Each line of
standard output is one JSON object: name, unit and value.
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
    Figure,
    append_figures,
    lease_figures,
    on_virtual_time,
    timestamp_figures,
)
from pomelolug.experiments._state_bench import StateBench
from pomelolug.experiments._state_restart import restart_figures
from pomelolug.telemetry import configure_logging

__all__ = ["Figure", "main", "measure_state"]

_DAY_S = 24 * 3600
_CHANGES_A_DAY = 2600
_CHANGES = 30
_BURST = 10
_BURST_S = 16.0
_TODAY = 9
_PLANNED = 390
_SETTLE_S = 40.0
_SLOW_WAY = (datetime.timedelta(seconds=0.5), datetime.timedelta(seconds=1.5))
_OUTAGE_S = 10.0
_RACERS = 3

_Scenario = Callable[[StateBench], Awaitable[None]]


async def _steady(bench: StateBench, changes: int = _CHANGES) -> None:
    """Publish at the planned rate, evenly spread."""
    for number in range(changes):
        await bench.change(number)
        await asyncio.sleep(_DAY_S / _CHANGES_A_DAY)


async def _few(bench: StateBench) -> None:
    """Publish fewer changes, since many nodes take long to simulate."""
    await _steady(bench, _BURST)


async def _lost_answers(bench: StateBench) -> None:
    """Publish while one append in five loses its answer."""
    bench.log.faults.answer_loss_rate = 0.2
    await _steady(bench)


async def _outage(bench: StateBench) -> None:
    """Publish while the log goes down right after each change took effect."""
    for number in range(_CHANGES):
        await bench.change(number)
        bench.log.faults.down = True
        await asyncio.sleep(_OUTAGE_S)
        bench.log.faults.down = False
        await asyncio.sleep(_DAY_S / _CHANGES_A_DAY - _OUTAGE_S)


async def _burst(bench: StateBench) -> None:
    """Publish ten versions within the bound for one."""
    for number in range(_BURST):
        await bench.change(number)
        await asyncio.sleep(_BURST_S / _BURST)


async def _race(bench: StateBench) -> None:
    """Let three operators change the same base at once."""
    for turn in range(_CHANGES):
        await asyncio.gather(
            *(bench.change(turn * _RACERS + number) for number in range(_RACERS))
        )
        await asyncio.sleep(_DAY_S / _CHANGES_A_DAY)


def measure_state(random_state: int = 0) -> list[Figure]:
    """Return all figures.

    Parameters
    ----------
    random_state : int
        Seed of nodes, operators and log.
    """

    def bench(nodes: int, **options: object) -> StateBench:
        return StateBench(nodes=nodes, random_state=random_state, **options)  # type: ignore[arg-type]

    scenarios: tuple[tuple[str, Callable[[], StateBench], _Scenario], ...] = (
        (f"{_TODAY} nodes", lambda: bench(_TODAY), _steady),
        (f"{_PLANNED} nodes", lambda: bench(_PLANNED), _few),
        ("slow log", lambda: bench(_TODAY, latency=_SLOW_WAY), _steady),
        ("lost answers", lambda: bench(_TODAY), _lost_answers),
        ("outage of 10 s after the append", lambda: bench(_TODAY), _outage),
        ("3 of 9 nodes cut off from the log", lambda: bench(_TODAY, cut=3), _steady),
        ("10 versions in 16 s, 390 nodes", lambda: bench(_PLANNED), _burst),
        ("3 operators race", lambda: bench(_TODAY), _race),
    )
    figures: list[Figure] = []
    for name, make, scenario in scenarios:
        figures += on_virtual_time(lambda m=make, s=scenario, n=name: _run(n, m(), s))  # type: ignore[misc]
    figures += append_figures(random_state)
    figures += lease_figures(random_state)
    figures += timestamp_figures(random_state)
    figures += restart_figures(random_state)
    return figures


async def _run(name: str, bench: StateBench, scenario: _Scenario) -> list[Figure]:
    began = bench.clock.monotonic()
    async with bench.running():
        try:
            await scenario(bench)
        except PlatformError as error:
            raise RuntimeError(f"scenario {name!r} failed: {error}") from error
        await asyncio.sleep(_SETTLE_S)
        times = sorted(bench.times_in_force())
    lasted = bench.clock.monotonic() - began
    rank95 = math.ceil(0.95 * len(times)) - 1
    values = (
        ("changes won", "changes", float(len(times))),
        ("in force everywhere, median", "s", statistics.median(times)),
        ("in force everywhere, p95", "s", times[rank95]),
        ("in force everywhere, longest", "s", times[-1]),
        ("appends for a won change", "appends", bench.log.appends / len(times)),
        ("reads of the log", "reads/s", bench.log.reads / lasted),
    )
    return [
        Figure(name=f"{name}: {what}", unit=unit, value=round(value, 4))
        for what, unit, value in values
    ]


def main() -> None:
    """Entry point of the command."""
    configure_logging("error")

    def measure(random_state: int = 0) -> None:
        """Print all figures."""
        for figure in measure_state(random_state):
            print(json.dumps(dataclasses.asdict(figure)))

    fire.Fire(measure, name="pomelolug.experiments.state")


if __name__ == "__main__":
    main()
