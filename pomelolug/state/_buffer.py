"""Buffer of raw records for relaying to peers that cannot reach the log."""

import collections

from pomelolug.ids import Offset
from pomelolug.infrastructure import LogRecord

__all__ = ["RecordBuffer"]


class RecordBuffer:
    """Consecutive latest raw records of a stream, bounded in bytes.

    Parameters
    ----------
    limit_bytes : int
        Upper bound on the total size of the records.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._records: collections.deque[LogRecord] = collections.deque()
        self._size_bytes = 0

    @property
    def oldest_offset(self) -> Offset | None:
        """Offset of the oldest buffered record, None if there is none."""
        return self._records[0].offset if self._records else None

    def add(self, record: LogRecord) -> None:
        """Add `record` and evict the oldest records beyond the size limit."""
        self._records.append(record)
        self._size_bytes += len(record.data)
        while self._size_bytes > self._limit_bytes:
            self._size_bytes -= len(self._records.popleft().data)

    def page(self, first: Offset, max_bytes: int) -> list[LogRecord]:
        """Return records starting at `first`, at most `max_bytes` in total."""
        chosen: list[LogRecord] = []
        size = 0
        for record in self._records:
            if record.offset < first:
                continue
            size += len(record.data)
            if size > max_bytes:
                break
            chosen.append(record)
        return chosen
