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

_LONGEST_POLL = datetime.timedelta(seconds=5)
_RESOLUTION_S = 0.001


@dataclasses.dataclass(kw_only=True)
class LogFaults:
    """Faults in force; a test changes them while the log is in use.

    Parameters
    ----------
    down : bool
        Whether every call fails at once without effect.
    silent : bool
        Whether every call runs into its timeout without effect.
    lose_answers : float
        Probability that an append takes effect and its answer is lost.
    drop_appends : float
        Probability that an append is lost before it takes effect, which its
        sender cannot tell from a lost answer.
    apply_after : datetime.timedelta
        Delay after which an append with a lost answer takes effect.
    """

    down: bool = False
    silent: bool = False
    lose_answers: float = 0.0
    drop_appends: float = 0.0
    apply_after: datetime.timedelta = datetime.timedelta(0)


class MemoryLog(LogService):
    """Log service in memory.

    Parameters
    ----------
    clock : Clock
        Source of the records' stamps and of all delays.
    random_state : random.Random
        Source of latencies and faults.
    retention : datetime.timedelta, optional
        Age at which a record expires; by default none does.
    latency : tuple of datetime.timedelta
        Shortest and longest time of a call.
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
        self._grown = asyncio.Event()
        self._late: set[asyncio.Task[None]] = set()
        self._faults = LogFaults()
        self._appends = 0
        self._reads = 0

    @property
    def faults(self) -> LogFaults:
        """Faults in force, to be changed in place."""
        return self._faults

    @property
    def appends(self) -> int:
        """Appends that took effect."""
        return self._appends

    @property
    def reads(self) -> int:
        """Reads that were answered."""
        return self._reads

    def records(self, stream: str) -> list[LogRecord]:
        """Return the records that are kept now."""
        self._expire(stream)
        return list(self._streams.get(stream, ()))

    def put(self, stream: str, data: bytes) -> Offset:
        """Append `data` at once, as any author could."""
        offset = Offset(self._ends.get(stream, 0))
        record = LogRecord(offset=offset, timestamp=self._now(), data=data)
        self._streams.setdefault(stream, []).append(record)
        self._ends[stream] = offset + 1
        self._appends += 1
        self._grown.set()
        self._grown = asyncio.Event()
        return offset

    def replace(self, log_id: str) -> None:
        """Become an empty log of another identity."""
        self._log_id = log_id
        self._streams.clear()
        self._ends.clear()

    def shorten(self, stream: str, end: Offset) -> None:
        """Lose the records from `end` on."""
        kept = [record for record in self.records(stream) if record.offset < end]
        self._streams[stream] = kept
        self._ends[stream] = end

    def lose(self, stream: str, offset: Offset) -> None:
        """Lose one record in the middle of a stream."""
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
        await self._travel(timeout, writes=True)
        if self._random.random() < self._faults.drop_appends:
            await self._clock.sleep(timeout)
            raise _unavailable(maybe_applied=True)
        if self._random.random() < self._faults.lose_answers:
            self._apply_later(stream, data)
            await self._clock.sleep(timeout)
            raise _unavailable(maybe_applied=True)
        offset = self.put(stream, data)
        await self._pause()
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
        await self._travel(timeout)
        until = self._clock.monotonic() + wait.total_seconds()
        while self._ends.get(stream, 0) <= first:
            left = until - self._clock.monotonic()
            # Below the resolution of a loop on virtual time, nothing would pass.
            if left < _RESOLUTION_S or self._faults.down or self._faults.silent:
                break
            await self._wait_growth(min(left, _LONGEST_POLL.total_seconds()))
        page = self._page(stream, first, limit)
        # The answer is on its way while the log goes on.
        await self._travel(timeout)
        self._reads += 1
        return page

    def _page(self, stream: str, first: Offset, limit: int) -> LogPage:
        records = self.records(stream)
        end = Offset(self._ends.get(stream, 0))
        oldest = records[0].offset if records else end
        chosen = [record for record in records if record.offset >= first][:limit]
        return LogPage(log_id=self._log_id, oldest=oldest, end=end, records=chosen)

    async def _wait_growth(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self._grown.wait()
        except TimeoutError:
            pass

    async def _travel(
        self, timeout: datetime.timedelta, *, writes: bool = False
    ) -> None:
        await self._pause()
        if self._faults.down:
            raise _unavailable(maybe_applied=False)
        if self._faults.silent:
            await self._clock.sleep(timeout)
            raise _unavailable(maybe_applied=writes)

    async def _pause(self) -> None:
        shortest, longest = self._latency
        share = self._random.random()
        await self._clock.sleep(shortest + (longest - shortest) * share)

    def _apply_later(self, stream: str, data: bytes) -> None:
        if not self._faults.apply_after:
            self.put(stream, data)
            return
        delay = self._faults.apply_after

        async def apply() -> None:
            await self._clock.sleep(delay)
            self.put(stream, data)

        task = asyncio.get_running_loop().create_task(apply())
        self._late.add(task)
        task.add_done_callback(self._late.discard)

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
