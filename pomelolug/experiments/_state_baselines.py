"""Alternative ways to order changes, in minimal form, for comparison."""

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
    "Measurement",
    "measure_append_retries",
    "measure_lease",
    "measure_timestamps",
    "run_on_virtual_time",
]

T = TypeVar("T")
_STREAM = "baseline"
_SECOND = datetime.timedelta(seconds=1)
_APPENDS = 400
_LOST_ANSWER_PROBABILITY = 0.05
_LEASE_S = 10.0
_PAUSE_PROBABILITY = 0.1
_LEASE_CHANGES = 60
_RACES = 1000
_MAX_CLOCK_SKEW_S = 0.05
_RACE_WINDOW_S = 0.1
_DELIVERY_DELAY_RANGE_S = (0.002, 0.008)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Measurement:
    """One measured value."""

    name: str
    unit: str
    value: float


def run_on_virtual_time(function: Callable[[], Awaitable[T]]) -> T:
    """Run the awaitable that `function` returns on virtual time."""

    async def main() -> T:
        return await function()

    with asyncio.Runner(
        loop_factory=lambda: looptime.new_event_loop(start=0)
    ) as runner:
        return runner.run(main())


def measure_append_retries(random_state: int) -> list[Measurement]:
    """Compare two ways to resolve a lost answer to an append.

    The appender reads the log forward to see whether its record arrived; the
    baseline appends the record again.
    """
    return run_on_virtual_time(lambda: _measure_append_retries(random_state))


async def _measure_append_retries(seed: int) -> list[Measurement]:
    clock, rng = LoopClock(), random.Random(seed)
    keyring = KeyRing.from_options(("k=" + "11" * 32,))
    message = RecordsRequest(stream="", from_offset=0)
    durations_s = []
    log = _make_lossy_log(clock, rng)
    appender = Appender(
        log=log, keyring=keyring, author="node:a", clock=clock, random_state=rng
    )
    for _ in range(_APPENDS):
        started_s = clock.monotonic()
        await appender.append(_STREAM, RecordKind.FORMATION, message)
        durations_s.append(clock.monotonic() - started_s)
    unchecked_log = _make_lossy_log(clock, rng)
    for _ in range(_APPENDS):
        await _append_with_blind_retry(unchecked_log)
    extra_records = log.appends - _APPENDS
    return [
        Measurement(
            name="read forward: records too many", unit="records", value=extra_records
        ),
        Measurement(
            name="read forward: slowest append", unit="s", value=max(durations_s)
        ),
        Measurement(
            name="blind repeat: records too many",
            unit="records",
            value=unchecked_log.appends - _APPENDS,
        ),
    ]


def _make_lossy_log(clock: LoopClock, rng: random.Random) -> MemoryLog:
    log = MemoryLog(clock=clock, random_state=rng)
    log.faults.answer_loss_rate = _LOST_ANSWER_PROBABILITY
    return log


async def _append_with_blind_retry(log: MemoryLog) -> None:
    while True:
        try:
            await log.append(_STREAM, b"change", timeout=2 * _SECOND)
            return
        except PlatformError:
            continue


def measure_lease(random_state: int) -> list[Measurement]:
    """Measure a single writer that holds a lease recorded on the log.

    Each change acquires the lease, is appended and releases the lease. If the
    holder is paused before the release, the next writer waits until the lease
    expires.
    """
    return run_on_virtual_time(lambda: _measure_lease(random_state))


async def _measure_lease(seed: int) -> list[Measurement]:
    clock, rng = LoopClock(), random.Random(seed)
    log = MemoryLog(clock=clock, random_state=rng)
    free_at_s, durations_s = 0.0, []
    for _ in range(_LEASE_CHANGES):
        started_s = clock.monotonic()
        await asyncio.sleep(max(0.0, free_at_s - started_s))
        offset = await log.append(_STREAM, b"take", timeout=2 * _SECOND)
        await log.read(_STREAM, offset, limit=1, wait=0 * _SECOND, timeout=2 * _SECOND)
        await log.append(_STREAM, b"change", timeout=2 * _SECOND)
        durations_s.append(clock.monotonic() - started_s)
        if rng.random() < _PAUSE_PROBABILITY:
            free_at_s = clock.monotonic() + _LEASE_S
        else:
            await log.append(_STREAM, b"give back", timeout=2 * _SECOND)
    return [
        Measurement(
            name="lease: appends for a change",
            unit="appends",
            value=log.appends / _LEASE_CHANGES,
        ),
        Measurement(
            name="lease: time to append, median",
            unit="s",
            value=statistics.median(durations_s),
        ),
        Measurement(
            name="lease: time to append, longest", unit="s", value=max(durations_s)
        ),
    ]


def measure_timestamps(random_state: int) -> list[Measurement]:
    """Count verdicts that change if the writers' timestamps order the changes.

    Two changes of one base version are stamped by clocks that are each up to
    50 ms off. A node accepts the change that arrives first and reverses its
    verdict if the other one has the lower timestamp.
    """
    rng = random.Random(random_state)
    changed_verdicts = 0
    for _ in range(_RACES):
        arrivals = []
        for _ in range(2):
            sent_at_s = rng.uniform(0.0, _RACE_WINDOW_S)
            timestamp_s = sent_at_s + rng.uniform(-_MAX_CLOCK_SKEW_S, _MAX_CLOCK_SKEW_S)
            arrivals.append(
                (sent_at_s + rng.uniform(*_DELIVERY_DELAY_RANGE_S), timestamp_s)
            )
        (_, first_timestamp_s), (_, second_timestamp_s) = sorted(arrivals)
        changed_verdicts += second_timestamp_s < first_timestamp_s
    return [
        Measurement(
            name="timestamps: verdicts that changed after being shown",
            unit=f"of {_RACES} races",
            value=changed_verdicts,
        )
    ]
