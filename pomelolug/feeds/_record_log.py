"""Log of the records that a node has read, served to other nodes."""

import asyncio
import collections
import datetime

from pomelolug.errors import ErrorCode
from pomelolug.feeds._source import HistoryLostError, Record, RecordBatch, era_of
from pomelolug.ids import Offset

__all__ = ["RecordLog"]

_MAX_RECORDS = 4096


class RecordLog:
    """The newest record of each key, and the most recent records in order."""

    def __init__(self) -> None:
        self._newest: dict[str, Record] = {}
        self._recent: collections.deque[Record] = collections.deque(maxlen=_MAX_RECORDS)
        self._first_kept = Offset(0)
        self._end = Offset(0)
        self._is_loaded = False
        self._changed = asyncio.Event()

    @property
    def end(self) -> Offset:
        """Offset after the last record that was read."""
        return self._end

    @property
    def is_loaded(self) -> bool:
        """Whether a snapshot of the topic, which may be empty, has been read."""
        return self._is_loaded

    def reset(self, batch: RecordBatch) -> list[Record]:
        """Apply a snapshot and return removal records for the keys missing from it.

        A snapshot that ends before the last record that was read is stale, so no
        key is removed for it.
        """
        self._is_loaded = True
        known = set(self._newest)
        present = {record.key for record in batch.records}
        stale = batch.end < self._end
        missing = [] if stale else sorted(known - present)
        is_lost = era_of(batch.end) != era_of(self._end)
        removals = [
            Record(Offset(batch.end - 1), key, None, is_lost) for key in missing
        ]
        self._recent.clear()
        for record in [*batch.records, *removals]:
            self._update_newest(record)
        self._end = Offset(max(self._end, batch.end))
        self._first_kept = self._end
        self.wake_readers()
        return removals

    def extend(self, batch: RecordBatch) -> None:
        """Append records; those that were already read are skipped."""
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
        """Return the records from offset `first`, waiting if there are none yet.

        Raises
        ------
        HistoryLostError
            If records from `first` onwards are no longer in the log.
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
                f"records before offset {self._first_kept} are no longer in the log",
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
        """Wake all waiting readers, even if there are no new records."""
        self._changed.set()
        self._changed = asyncio.Event()
