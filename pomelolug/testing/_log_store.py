"""In-memory append-only log with retention."""

import asyncio
import dataclasses
import datetime
import uuid

from pomelolug.clock import Clock

__all__ = ["LogStore", "StoredRecord"]


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRecord:
    """One record with the log's own timestamp in milliseconds since 1970."""

    offset: int
    stamp_ms: int
    data: bytes


class _Stream:
    def __init__(self) -> None:
        self.records: list[StoredRecord] = []
        self.end = 0
        self.appended = asyncio.Condition()

    @property
    def oldest_offset(self) -> int:
        return self.records[0].offset if self.records else self.end


class LogStore:
    """Named streams of records with offsets that start at 0.

    Parameters
    ----------
    clock : Clock
        Source of the timestamps.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._streams: dict[str, _Stream] = {}
        self._max_records: int | None = None
        self._log_id = uuid.uuid4().hex
        self._appends = 0

    @property
    def log_id(self) -> str:
        """Identity of the log."""
        return self._log_id

    @property
    def appends(self) -> int:
        """Number of records appended since the start."""
        return self._appends

    def end_offsets(self) -> dict[str, int]:
        """Return the end offset of each stream."""
        return {name: stream.end for name, stream in self._streams.items()}

    async def append(self, name: str, data: bytes) -> int:
        """Append `data` to the stream `name` and return its offset."""
        stream = self._get_stream(name)
        offset = stream.end
        stamp_ms = round(self._clock.now().timestamp() * 1000)
        stream.records.append(StoredRecord(offset, stamp_ms, data))
        stream.end += 1
        self._appends += 1
        self._expire(stream)
        async with stream.appended:
            stream.appended.notify_all()
        return offset

    async def read(
        self, name: str, first: int, *, limit: int, wait: datetime.timedelta
    ) -> tuple[int, int, list[StoredRecord]]:
        """Return the oldest offset, the end, and up to `limit` records.

        Waits up to `wait` if there is no record at or above offset `first`.
        """
        stream = self._get_stream(name)
        if stream.end <= first and wait > datetime.timedelta(0):
            await self._wait_for_append(stream, first, wait)
            stream = self._get_stream(name)
        start = max(0, first - stream.oldest_offset)
        return stream.oldest_offset, stream.end, stream.records[start : start + limit]

    async def _wait_for_append(
        self, stream: _Stream, first: int, wait: datetime.timedelta
    ) -> None:
        try:
            async with asyncio.timeout(wait.total_seconds()):
                async with stream.appended:
                    await stream.appended.wait_for(lambda: stream.end > first)
        except TimeoutError:
            return

    def set_retention(self, count: int | None) -> None:
        """Keep only the newest `count` records of each stream; None keeps all."""
        self._max_records = count
        for stream in self._streams.values():
            self._expire(stream)

    def replace(self) -> None:
        """Replace the log with an empty one that has another identity."""
        self._streams = {}
        self._log_id = uuid.uuid4().hex

    def _expire(self, stream: _Stream) -> None:
        if self._max_records is not None and len(stream.records) > self._max_records:
            del stream.records[: len(stream.records) - self._max_records]

    def _get_stream(self, name: str) -> _Stream:
        return self._streams.setdefault(name, _Stream())
