"""Start position of a reader without state."""

import datetime

from pomelolug.ids import Offset
from pomelolug.infrastructure import LogPage, LogRecord, LogService
from pomelolug.messages import Checkpoint
from pomelolug.state._checkpoint import decode_checkpoint
from pomelolug.state._envelope import decode_record
from pomelolug.state._fold import RecordKind
from pomelolug.state._keys import KeyRing
from pomelolug.state._refusal import RecordRefusedError

__all__ = ["PAGE_RECORDS", "READ_TIMEOUT", "StartPositionFinder"]

PAGE_RECORDS = 500
READ_TIMEOUT = datetime.timedelta(seconds=2)
_NO_WAIT = datetime.timedelta(0)


class StartPositionFinder:
    """Finds the checkpoint or offset from which a reader without state starts.

    Parameters
    ----------
    log : LogService
        The platform's log.
    stream : str
        Name of the stream.
    keyring : KeyRing
        Accepted keys.
    window : datetime.timedelta, optional
        Maximum age of the records needed; by default all are needed.
    """

    def __init__(
        self,
        *,
        log: LogService,
        stream: str,
        keyring: KeyRing,
        window: datetime.timedelta | None,
    ) -> None:
        self._log = log
        self._stream = stream
        self._keyring = keyring
        self._window = window
        self._scanned_end = Offset(0)
        self._rejected: set[bytes] = set()

    def reject(self, checkpoint: Checkpoint) -> None:
        """Ignore `checkpoint` in later searches, as it could not be restored."""
        self._rejected.add(checkpoint.digest)

    async def find(self, page: LogPage) -> Checkpoint | Offset | None:
        """Return a checkpoint, the offset to start at, or None if there is none.

        Parameters
        ----------
        page : LogPage
            A recent response, for the identity and bounds of the log.

        Raises
        ------
        PlatformError
            If the log does not respond.
        """
        if self._window is not None:
            return await self._find_window_start(page, self._window)
        if page.oldest == 0:
            return Offset(0)
        return await self._find_checkpoint(page)

    async def _read(self, first: Offset, limit: int) -> LogPage:
        return await self._log.read(
            self._stream, first, limit=limit, wait=_NO_WAIT, timeout=READ_TIMEOUT
        )

    async def _find_checkpoint(self, page: LogPage) -> Checkpoint | None:
        """Return the latest checkpoint with all following records still kept.

        Searches the stream backwards from its end. A checkpoint is due every
        1,000 records, so a few pages are enough regardless of the stream's
        length. A later search stops where an earlier one began.
        """
        upper = page.end
        lowest = max(page.oldest, self._scanned_end)
        while upper > lowest:
            lower = Offset(max(lowest, upper - PAGE_RECORDS))
            answer = await self._read(lower, upper - lower)
            if answer.log_id != page.log_id:
                return None
            for record in reversed(answer.records):
                found = self._decode_usable_checkpoint(record, answer)
                if found is not None:
                    return found
            upper = lower
        self._scanned_end = page.end
        return None

    def _decode_usable_checkpoint(
        self, record: LogRecord, page: LogPage
    ) -> Checkpoint | None:
        try:
            decoded = decode_record(
                record.data,
                stream=self._stream,
                offset=record.offset,
                timestamp=record.timestamp,
                keyring=self._keyring,
            )
            if decoded.kind is not RecordKind.CHECKPOINT:
                return None
            checkpoint = decode_checkpoint(
                decoded, stream=self._stream, log_id=page.log_id
            )
        except RecordRefusedError:
            return None
        is_before_record = checkpoint.covered < record.offset
        has_later_records = checkpoint.covered + 1 >= page.oldest
        is_usable = (
            is_before_record
            and has_later_records
            and checkpoint.digest not in self._rejected
        )
        return checkpoint if is_usable else None

    async def _find_window_start(
        self, page: LogPage, window: datetime.timedelta
    ) -> Offset:
        """Return the first offset inside `window`.

        The window ends at the timestamp of the newest record, which cannot be
        ahead of the log's time as the local clock can. Binary search by
        timestamp, with one record per read.
        """
        newest = await self._timestamp_at(Offset(page.end - 1))
        if newest is None:
            return page.oldest
        since = newest - window
        low, high = page.oldest, page.end
        while low < high:
            middle = Offset((low + high) // 2)
            timestamp = await self._timestamp_at(middle)
            if timestamp is not None and timestamp >= since:
                high = middle
            else:
                low = Offset(middle + 1)
        return low

    async def _timestamp_at(self, offset: Offset) -> datetime.datetime | None:
        """Return the timestamp of the record at `offset`, None if it is not kept."""
        if offset < 0:
            return None
        answer = await self._read(offset, 1)
        found = [r.timestamp for r in answer.records if r.offset == offset]
        return found[0] if found else None
