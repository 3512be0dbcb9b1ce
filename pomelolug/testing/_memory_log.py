"""In-memory log with the faults of the platform's log service."""

import asyncio
import dataclasses
import datetime
import random

from pomelolug.clock import Clock
from pomelolug.errors import ErrorCode, PlatformError
from pomelolug.ids import Offset
from pomelolug.infrastructure import LogPage, LogRecord, LogService

__all__ = ["LogFaults", "MemoryLog"]

_MAX_POLL_TIME = datetime.timedelta(seconds=5)
_CLOCK_RESOLUTION_S = 0.001


@dataclasses.dataclass(kw_only=True)
class LogFaults:
    """Active faults; a test changes them while the log is in use.

    Parameters
    ----------
    down : bool
        Whether every call fails at once without effect.
    silent : bool
        Whether every call times out without effect.
    answer_loss_rate : float
        Probability that an append takes effect and its answer is lost.
    append_loss_rate : float
        Probability that an append is lost before it takes effect, which its
        sender cannot distinguish from a lost answer.
    apply_delay : datetime.timedelta
        Delay after which an append with a lost answer takes effect.
    """

    down: bool = False
    silent: bool = False
    answer_loss_rate: float = 0.0
    append_loss_rate: float = 0.0
    apply_delay: datetime.timedelta = datetime.timedelta(0)


class MemoryLog(LogService):
    """Log service in memory.

    Parameters
    ----------
    clock : Clock
        Source of the records' timestamps and of all delays.
    random_state : random.Random
        Source of random latencies and faults.
    retention : datetime.timedelta, optional
        Age at which a record expires; by default records do not expire.
    latency : tuple of datetime.timedelta
        Shortest and longest latency of a call.
    log_id : str
        Identity of the log.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        random_state: random.Random,
        retention: datetime.timedelta | None = None,
        latency: tuple[datetime.timedelta, datetime.timedelta] = (
            datetime.timedelta(milliseconds=2),
            datetime.timedelta(milliseconds=8),
        ),
        log_id: str = "log-1",
    ) -> None:
        self._clock = clock
        self._random = random_state
        self._retention = retention
        self._latency = latency
        self._log_id = log_id
        self._streams: dict[str, list[LogRecord]] = {}
        self._ends: dict[str, int] = {}
        self._appended = asyncio.Event()
        self._delayed_appends: set[asyncio.Task[None]] = set()
        self._faults = LogFaults()
        self._appends = 0
        self._reads = 0

    @property
    def faults(self) -> LogFaults:
        """Active faults, to be changed in place."""
        return self._faults

    @property
    def appends(self) -> int:
        """Number of appends that took effect."""
        return self._appends

    @property
    def reads(self) -> int:
        """Number of reads that were answered."""
        return self._reads

    def records(self, stream: str) -> list[LogRecord]:
        """Return the records of `stream` that have not expired."""
        self._expire(stream)
        return list(self._streams.get(stream, ()))

    def put(self, stream: str, data: bytes) -> Offset:
        """Append `data` without latency or faults, as another author would."""
        offset = Offset(self._ends.get(stream, 0))
        record = LogRecord(offset=offset, timestamp=self._now(), data=data)
        self._streams.setdefault(stream, []).append(record)
        self._ends[stream] = offset + 1
        self._appends += 1
        self._appended.set()
        self._appended = asyncio.Event()
        return offset

    def replace(self, log_id: str) -> None:
        """Replace the log with an empty one that has the identity `log_id`."""
        self._log_id = log_id
        self._streams.clear()
        self._ends.clear()

    def truncate(self, stream: str, end: Offset) -> None:
        """Delete the records from `end` on and continue at that offset."""
        kept = [record for record in self.records(stream) if record.offset < end]
        self._streams[stream] = kept
        self._ends[stream] = end

    def remove(self, stream: str, offset: Offset) -> None:
        """Delete one record in the middle of a stream."""
        kept = [record for record in self.records(stream) if record.offset != offset]
        self._streams[stream] = kept

    def expire_before(self, stream: str, oldest: Offset) -> None:
        """Expire the records before `oldest`."""
        kept = [record for record in self.records(stream) if record.offset >= oldest]
        self._streams[stream] = kept

    async def append(
        self, stream: str, data: bytes, *, timeout: datetime.timedelta
    ) -> Offset:
        """Append `data` to `stream` and return its offset."""
        await self._simulate_call(timeout, is_write=True)
        if self._random.random() < self._faults.append_loss_rate:
            await self._clock.sleep(timeout)
            raise _unavailable(maybe_applied=True)
        if self._random.random() < self._faults.answer_loss_rate:
            self._apply_after_delay(stream, data)
            await self._clock.sleep(timeout)
            raise _unavailable(maybe_applied=True)
        offset = self.put(stream, data)
        await self._simulate_latency()
        return offset

    async def read(
        self,
        stream: str,
        first: Offset,
        *,
        limit: int,
        wait: datetime.timedelta,
        timeout: datetime.timedelta,
    ) -> LogPage:
        """Return up to `limit` records from `first` on."""
        await self._simulate_call(timeout)
        deadline_s = self._clock.monotonic() + wait.total_seconds()
        while self._ends.get(stream, 0) <= first:
            remaining_s = deadline_s - self._clock.monotonic()
            # A wait below the resolution of a loop on virtual time would not end.
            if (
                remaining_s < _CLOCK_RESOLUTION_S
                or self._faults.down
                or self._faults.silent
            ):
                break
            await self._wait_for_append(
                min(remaining_s, _MAX_POLL_TIME.total_seconds())
            )
        page = self._page(stream, first, limit)
        # The log may grow while the response is in transit.
        await self._simulate_call(timeout)
        self._reads += 1
        return page

    def _page(self, stream: str, first: Offset, limit: int) -> LogPage:
        records = self.records(stream)
        end = Offset(self._ends.get(stream, 0))
        oldest = records[0].offset if records else end
        chosen = [record for record in records if record.offset >= first][:limit]
        return LogPage(log_id=self._log_id, oldest=oldest, end=end, records=chosen)

    async def _wait_for_append(self, timeout_s: float) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                await self._appended.wait()
        except TimeoutError:
            pass

    async def _simulate_call(
        self, timeout: datetime.timedelta, *, is_write: bool = False
    ) -> None:
        await self._simulate_latency()
        if self._faults.down:
            raise _unavailable(maybe_applied=False)
        if self._faults.silent:
            await self._clock.sleep(timeout)
            raise _unavailable(maybe_applied=is_write)

    async def _simulate_latency(self) -> None:
        shortest, longest = self._latency
        fraction = self._random.random()
        await self._clock.sleep(shortest + (longest - shortest) * fraction)

    def _apply_after_delay(self, stream: str, data: bytes) -> None:
        if not self._faults.apply_delay:
            self.put(stream, data)
            return
        delay = self._faults.apply_delay

        async def apply() -> None:
            await self._clock.sleep(delay)
            self.put(stream, data)

        task = asyncio.get_running_loop().create_task(apply())
        self._delayed_appends.add(task)
        task.add_done_callback(self._delayed_appends.discard)

    def _expire(self, stream: str) -> None:
        if self._retention is None:
            return
        since = self._clock.now() - self._retention
        records = self._streams.get(stream, [])
        self._streams[stream] = [r for r in records if r.timestamp >= since]

    def _now(self) -> datetime.datetime:
        now = self._clock.now()
        return now.replace(microsecond=now.microsecond // 1000 * 1000)


def _unavailable(*, maybe_applied: bool) -> PlatformError:
    return PlatformError(
        ErrorCode.PLATFORM_UNAVAILABLE,
        "no answer from the log",
        maybe_applied=maybe_applied,
    )
