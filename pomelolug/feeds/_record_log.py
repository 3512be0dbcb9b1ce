"""Records that a node has read, kept for the nodes that read from it."""

import asyncio
import collections
import datetime

from pomelolug.errors import ErrorCode
from pomelolug.feeds._source import HistoryLostError, Record, RecordBatch
from pomelolug.ids import Offset

__all__ = ["RecordLog"]

_MAX_RECORDS = 4096


class RecordLog:
    """Newest record of each key, and the latest records in order."""

    def __init__(self) -> None:
        self._newest: dict[str, Record] = {}
        self._recent: collections.deque[Record] = collections.deque(maxlen=_MAX_RECORDS)
        self._first_kept = Offset(0)
        self._end = Offset(0)
        self._changed = asyncio.Event()

    @property
    def end(self) -> Offset:
        """Offset after the last record."""
        return self._end

    def reset(self, batch: RecordBatch) -> list[Record]:
        """Replace everything by a snapshot; return records that drop lost keys.

        A snapshot that ends before the last record read is stale; it removes
        nothing.
        """
        known = set(self._newest)
        present = {record.key for record in batch.records}
        stale = batch.end < self._end
        dropped = [] if stale else sorted(known - present)
        drops = [Record(Offset(batch.end - 1), key, None) for key in dropped]
        self._recent.clear()
        for record in [*batch.records, *drops]:
            self._update_newest(record)
        self._end = Offset(max(self._end, batch.end))
        self._first_kept = self._end
        self.wake_readers()
        return drops

    def extend(self, batch: RecordBatch) -> None:
        """Add records that follow those already read."""
        for record in batch.records:
            if record.offset < self._end:
                continue
            if len(self._recent) == _MAX_RECORDS:
                self._first_kept = Offset(self._recent[0].offset + 1)
            self._recent.append(record)
            self._update_newest(record)
        if batch.end > self._end:
            self._end = batch.end
            self.wake_readers()

    def snapshot(self, *, age_s: float) -> RecordBatch:
        """Return the newest record of each key."""
        records = sorted(self._newest.values(), key=lambda record: record.offset)
        return RecordBatch(tuple(records), self._end, age_s)

    async def read(
        self, first: Offset, *, wait: datetime.timedelta, age_s: float
    ) -> RecordBatch:
        """Return the records from `first` on, waiting for one if there is none.

        Raises
        ------
        HistoryLostError
            If records from `first` on are no longer kept.
        """
        if first >= self._end:
            try:
                async with asyncio.timeout(wait.total_seconds()):
                    await self._changed.wait()
            except TimeoutError:
                return RecordBatch((), max(first, self._end), age_s)
        if first < self._first_kept:
            raise HistoryLostError(
                ErrorCode.LOG_INCOMPLETE,
                f"records before {self._first_kept} are not kept",
            )
        records = tuple(record for record in self._recent if record.offset >= first)
        return RecordBatch(records, max(first, self._end), age_s)

    def _update_newest(self, record: Record) -> None:
        known = self._newest.get(record.key)
        if known is not None and known.offset > record.offset:
            return
        if record.value is None:
            self._newest.pop(record.key, None)
        else:
            self._newest[record.key] = record

    def wake_readers(self) -> None:
        """Let waiting readers return, with or without new records."""
        self._changed.set()
        self._changed = asyncio.Event()
