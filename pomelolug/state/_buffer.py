"""Raw records that a node can relay to peers without the log."""

import collections

from pomelolug.ids import Offset
from pomelolug.infrastructure import LogRecord

__all__ = ["RecordBuffer"]


class RecordBuffer:
    """The last raw records of a stream, consecutive and bounded in bytes.

    Parameters
    ----------
    limit_bytes : int
        Bound on the sum of the records' sizes.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit = limit_bytes
        self._records: collections.deque[LogRecord] = collections.deque()
        self._size = 0

    @property
    def oldest_offset(self) -> Offset | None:
        """Offset of the oldest record kept."""
        return self._records[0].offset if self._records else None

    def add(self, record: LogRecord) -> None:
        """Keep `record` and drop the oldest ones beyond the bound."""
        self._records.append(record)
        self._size += len(record.data)
        while self._size > self._limit:
            self._size -= len(self._records.popleft().data)

    def page(self, first: Offset, max_bytes: int) -> list[LogRecord]:
        """Return records from `first` on, `max_bytes` in all at the most."""
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
