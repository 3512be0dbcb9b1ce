"""Other ways to order changes, in their simplest form, for comparison."""

import asyncio
import dataclasses
import datetime
import random
import statistics
from collections.abc import Awaitable, Callable
from typing import TypeVar

import looptime

from pomelolug.errors import PlatformError
from pomelolug.messages import RecordsRequest
from pomelolug.state import Appender, KeyRing, RecordKind
from pomelolug.testing import LoopClock, MemoryLog

__all__ = [
    "Figure",
    "append_figures",
    "lease_figures",
    "on_virtual_time",
    "timestamp_figures",
]

T = TypeVar("T")
_STREAM = "baseline"
_SECOND = datetime.timedelta(seconds=1)
_APPENDS = 400
_LOST = 0.05
_LEASE_S = 10.0
_PAUSED = 0.1
_CHANGES = 60
_RACES = 1000
_SKEW_S = 0.05
_RACE_S = 0.1
_WAY_S = (0.002, 0.008)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Figure:
    """One measured value."""

    name: str
    unit: str
    value: float


def on_virtual_time(work: Callable[[], Awaitable[T]]) -> T:
    """Run `work` on an event loop whose time costs nothing."""

    async def main() -> T:
        return await work()

    with asyncio.Runner(loop_factory=lambda: looptime.new_event_loop(start=0)) as run:
        return run.run(main())


def append_figures(random_state: int) -> list[Figure]:
    """Compare reading forward with a second append after a lost answer."""
    return on_virtual_time(lambda: _append_figures(random_state))


async def _append_figures(seed: int) -> list[Figure]:
    clock, source = LoopClock(), random.Random(seed)
    ring = KeyRing.from_options(("k=" + "11" * 32,))
    message = RecordsRequest(stream="", from_offset=0)
    times = []
    log = _lossy_log(clock, source)
    appender = Appender(
        log=log, keyring=ring, author="node:a", clock=clock, random_state=source
    )
    for _ in range(_APPENDS):
        began = clock.monotonic()
        await appender.append(_STREAM, RecordKind.FORMATION, message)
        times.append(clock.monotonic() - began)
    blind = _lossy_log(clock, source)
    for _ in range(_APPENDS):
        await _append_blindly(blind)
    extra = log.appends - _APPENDS
    return [
        Figure(name="read forward: records too many", unit="records", value=extra),
        Figure(name="read forward: slowest append", unit="s", value=max(times)),
        Figure(
            name="blind repeat: records too many",
            unit="records",
            value=blind.appends - _APPENDS,
        ),
    ]


def _lossy_log(clock: LoopClock, source: random.Random) -> MemoryLog:
    log = MemoryLog(clock=clock, random_state=source)
    log.faults.answer_loss_rate = _LOST
    return log


async def _append_blindly(log: MemoryLog) -> None:
    while True:
        try:
            await log.append(_STREAM, b"change", timeout=2 * _SECOND)
            return
        except PlatformError:
            continue


def lease_figures(random_state: int) -> list[Figure]:
    """Measure a single writer that holds a lease kept on the log.

    A change takes the lease, is appended, and gives the lease back. A holder
    that is paused in between keeps the next one waiting for the lease's end.
    """
    return on_virtual_time(lambda: _lease_figures(random_state))


async def _lease_figures(seed: int) -> list[Figure]:
    clock, source = LoopClock(), random.Random(seed)
    log = MemoryLog(clock=clock, random_state=source)
    free_at, times = 0.0, []
    for _ in range(_CHANGES):
        began = clock.monotonic()
        await asyncio.sleep(max(0.0, free_at - began))
        offset = await log.append(_STREAM, b"take", timeout=2 * _SECOND)
        await log.read(_STREAM, offset, limit=1, wait=0 * _SECOND, timeout=2 * _SECOND)
        await log.append(_STREAM, b"change", timeout=2 * _SECOND)
        times.append(clock.monotonic() - began)
        if source.random() < _PAUSED:
            free_at = clock.monotonic() + _LEASE_S
        else:
            await log.append(_STREAM, b"give back", timeout=2 * _SECOND)
    return [
        Figure(
            name="lease: appends for a change",
            unit="appends",
            value=log.appends / _CHANGES,
        ),
        Figure(
            name="lease: time to append, median",
            unit="s",
            value=statistics.median(times),
        ),
        Figure(name="lease: time to append, longest", unit="s", value=max(times)),
    ]


def timestamp_figures(random_state: int) -> list[Figure]:
    """Count verdicts that change when writers' own timestamps decide.

    Two changes on one base are stamped by clocks that differ by up to 50 ms. A
    node shows the first one that arrives and corrects itself if the other one
    has the lower timestamp.
    """
    source = random.Random(random_state)
    changed = 0
    for _ in range(_RACES):
        arrivals = []
        for _ in range(2):
            sent = source.uniform(0.0, _RACE_S)
            stamp = sent + source.uniform(-_SKEW_S, _SKEW_S)
            arrivals.append((sent + source.uniform(*_WAY_S), stamp))
        (_, first), (_, second) = sorted(arrivals)
        changed += second < first
    return [
        Figure(
            name="timestamps: verdicts that changed after being shown",
            unit=f"of {_RACES} races",
            value=changed,
        )
    ]
