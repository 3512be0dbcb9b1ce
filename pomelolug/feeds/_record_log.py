"""Log of the records that a node has read, served to other nodes."""

import asyncio
import collections
import contextlib
import datetime

from pomelolug.errors import ErrorCode
from pomelolug.feeds._packing import PackedValue, pack_value
from pomelolug.feeds._source import HistoryLostError, Record, RecordBatch, era_of
from pomelolug.ids import Offset

__all__ = ["RecordLog"]

_MAX_RECORDS = 4096
_MAX_RECENT_BYTES = 8 * 1024 * 1024
"""Bytes of the recent records, so that a node of 160 MB keeps large ones too."""
_MAX_PACKED = 8
"""Packed values kept, since the nodes of a zone ask for the same ones."""


class RecordLog:
    """The newest record of each key, and the most recent records in order."""

    def __init__(self) -> None:
        self._newest: dict[str, Record] = {}
        self._recent: collections.deque[Record] = collections.deque()
        self._recent_bytes = 0
        self._packed: dict[tuple[Offset | None, Offset], PackedValue] = {}
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

        A snapshot that ends before the last record that was read is stale: all that it
        contains was read before, and may have been removed since. It changes nothing.
        """
        if batch.end < self._end:
            return []
        self._is_loaded = True
        known = set(self._newest)
        present = {record.key for record in batch.records}
        missing = sorted(known - present)
        is_lost = era_of(batch.end) != era_of(self._end)
        removals = [
            Record(Offset(batch.end - 1), key, None, is_lost) for key in missing
        ]
        self._recent.clear()
        self._recent_bytes = 0
        for record in [*batch.records, *removals]:
            self._update_newest(record)
        for record in self.snapshot(age_s=0.0).records:
            # No reader gets these records, but differences to them can be sent.
            self._append_recent(record)
        self._end = batch.end
        self._first_kept = self._end
        self.wake_readers()
        return removals

    def extend(self, batch: RecordBatch) -> None:
        """Append records; those that were already read are skipped."""
        for record in batch.records:
            if record.offset < self._end:
                continue
            self._append_recent(record)
            self._update_newest(record)
        if batch.end > self._end:
            self._end = batch.end
            self.wake_readers()

    def snapshot(self, *, age_s: float) -> RecordBatch:
        """Return the newest record of each key."""
        records = sorted(self._newest.values(), key=lambda record: record.offset)
        return RecordBatch(tuple(records), self._end, age_s)

    def newest(self, key: str) -> Record | None:
        """Return the newest record of a key, None without a value."""
        return self._newest.get(key)

    def pack(
        self, record: Record, *, read_up_to: Offset | None
    ) -> tuple[PackedValue, Offset | None]:
        """Return the value of a record for a reader, packed.

        Parameters
        ----------
        record : Record
            Record with a value.
        read_up_to : Offset or None
            Offset up to which the reader has read; None if the value has to be
            complete in itself.

        Returns
        -------
        tuple of PackedValue and Offset or None
            The packed value, and the offset of the record of the same key to which it
            is the difference, None if it is complete.
        """
        base = None if read_up_to is None else self._find_base(record.key, read_up_to)
        key = (base.offset if base else None, record.offset)
        packed = self._packed.get(key)
        if packed is None:
            packed = pack_value(record.value or b"", base=base.value if base else None)
            while len(self._packed) >= _MAX_PACKED:
                del self._packed[next(iter(self._packed))]
            self._packed[key] = packed
        return packed, base.offset if base and packed.copies else None

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
            # A record may come between the end of the wait and the next step of this
            # coroutine, so the records are looked up however the wait has ended.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait.total_seconds()):
                    await self._changed.wait()
        if first < self._first_kept:
            raise HistoryLostError(
                ErrorCode.LOG_INCOMPLETE,
                f"records before offset {self._first_kept} are no longer in the log",
            )
        records = tuple(record for record in self._recent if record.offset >= first)
        return RecordBatch(records, max(first, self._end), age_s)

    def _find_base(self, key: str, read_up_to: Offset) -> Record | None:
        """Return the record of a key that is the newest one of such a reader."""
        newest = (r for r in reversed(self._recent) if r.key == key)
        base = next((r for r in newest if r.offset < read_up_to), None)
        return base if base is not None and base.value is not None else None

    def _append_recent(self, record: Record) -> None:
        self._recent.append(record)
        self._recent_bytes += len(record.value or b"")
        while len(self._recent) > 1 and (
            len(self._recent) > _MAX_RECORDS or self._recent_bytes > _MAX_RECENT_BYTES
        ):
            dropped = self._recent.popleft()
            self._recent_bytes -= len(dropped.value or b"")
            self._first_kept = max(self._first_kept, Offset(dropped.offset + 1))

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
