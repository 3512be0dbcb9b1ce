"""Reader that follows one stream of the log and updates its fold."""

import asyncio
import datetime
import random
from collections.abc import Callable, Sequence

from pomelolug.clock import Clock
from pomelolug.errors import PlatformError
from pomelolug.ids import Offset
from pomelolug.infrastructure import LogPage, LogRecord, LogService
from pomelolug.messages import Checkpoint, StreamRecords
from pomelolug.state._fold import Fold
from pomelolug.state._freshness import Freshness
from pomelolug.state._identity import LogComparison, LogIdentity
from pomelolug.state._keys import KeyRing
from pomelolug.state._reader_state import ReaderState
from pomelolug.state._record_applier import RecordApplier
from pomelolug.state._refusal import RecordRefusedError, RefusalReason
from pomelolug.state._relay import decode_relayed_checkpoint, unpack_records
from pomelolug.state._relay_cache import RelayCache
from pomelolug.state._retry import retry_delay
from pomelolug.state._start_position import (
    PAGE_RECORDS,
    READ_TIMEOUT,
    StartPositionFinder,
)
from pomelolug.state._view import StreamView

__all__ = ["StreamReader"]

_LONG_POLL = datetime.timedelta(seconds=10)
_INCOMPLETE_RETRY_INTERVAL = datetime.timedelta(seconds=2)
_BATCH_RECORDS = 10
_RELAY_BYTES = 512 * 1024
_NO_WAIT = datetime.timedelta(0)
_INCOMPLETE_STATES = (ReaderState.STARTING, ReaderState.INCOMPLETE)


class StreamReader(StreamView):
    """Reads a stream with long polls and applies its records to a fold.

    Parameters
    ----------
    log : LogService
        The platform's log.
    stream : str
        Name of the stream.
    fold : Fold
        State without any record applied.
    keyring : KeyRing
        Accepted keys.
    clock : Clock
        Source of time.
    expected_log_id : str
        Required identity of the log; if empty, any log is accepted.
    random_state : random.Random, optional
        Source of retry jitter; by default seeded by the operating system.
    author : str
        Author of checkpoints for peers; if empty, none are created.
    window : datetime.timedelta, optional
        Records older than this are skipped at start-up, and no checkpoint is
        needed. By default the fold needs the whole stream.
    relay_bytes : int
        Upper bound on the total size of raw records kept for peers.
    long_poll : datetime.timedelta
        Longest time that the log waits for the next record.
    on_violation : callable, optional
        Called with the name of a violated invariant.
    """

    def __init__(
        self,
        *,
        log: LogService,
        stream: str,
        fold: Fold,
        keyring: KeyRing,
        clock: Clock,
        expected_log_id: str = "",
        random_state: random.Random | None = None,
        author: str = "",
        window: datetime.timedelta | None = None,
        relay_bytes: int = _RELAY_BYTES,
        long_poll: datetime.timedelta = _LONG_POLL,
        on_violation: Callable[[str], None] | None = None,
    ) -> None:
        self._log = log
        super().__init__(
            applier=RecordApplier(
                stream=stream,
                fold=fold,
                keyring=keyring,
                keep_digests=window is None,
                on_violation=on_violation,
            ),
            identity=LogIdentity(expected_log_id),
            freshness=Freshness(clock),
        )
        self._keyring = keyring
        self._clock = clock
        self._random = random_state or random.Random()
        self._window = window
        self._long_poll = long_poll
        self._relay_cache = RelayCache(
            stream=stream, author=author, keyring=keyring, limit_bytes=relay_bytes
        )
        self._finder = StartPositionFinder(
            log=log, stream=stream, keyring=keyring, window=window
        )
        self._has_start = False
        self._should_reread_last = False

    def checkpoint(self) -> Checkpoint:
        """Return a checkpoint of the state at the current offset.

        Raises
        ------
        ValueError
            If no record has been applied.
        """
        return self._applier.checkpoint(self.log_id)

    async def run(self) -> None:
        """Follow the stream until cancelled or until the log regresses."""
        failures = 0
        while self._state is not ReaderState.REGRESSED:
            try:
                await self._read_once()
                failures = 0
            except PlatformError:
                failures += 1
                self._should_reread_last = True
                self._observers.notify()
                await self._clock.sleep(retry_delay(failures, self._random))

    async def _read_once(self) -> None:
        # Records relayed by a peer may advance the offset during the read, so the
        # response is checked against the offset at the time of the request.
        next_offset = Offset(self.offset + 1)
        # After a failed read or relayed records, the last applied record is read again.
        # If the log has another record at its offset, the log has regressed.
        first = (
            Offset(max(next_offset - 1, 0)) if self._should_reread_last else next_offset
        )
        is_caught_up = self._state is ReaderState.FOLLOWING and first == next_offset
        self._freshness.record_request()
        page = await self._log.read(
            self.stream,
            first,
            limit=PAGE_RECORDS,
            wait=self._long_poll if is_caught_up else _NO_WAIT,
            timeout=READ_TIMEOUT,
        )
        if self._state is ReaderState.REGRESSED:
            return
        self._freshness.record_response()
        is_same_log = self._identity.accept_page(page, next_offset)
        if not is_same_log or any(
            map(self._applier.is_contradicted_by, page.records[:1])
        ):
            self._mark_regressed(page.log_id, page.end)
            return
        self._should_reread_last = False
        await self._process_page(page)
        if self._state is ReaderState.FOLLOWING and self.offset + 1 >= page.end:
            self._freshness.record_full_read()

    def _mark_regressed(self, log_id: str, end: int) -> None:
        self._applier.log_event("log_regressed", log_id=log_id, end=end)
        self._set_state(ReaderState.REGRESSED)

    async def _process_page(self, page: LogPage) -> None:
        before = self.offset
        if not self._has_start:
            self._has_start = await self._find_start(page)
            if not self._has_start:
                await self._pause_incomplete(page.oldest, "no usable checkpoint")
                return
            if self.offset > before:
                # The page does not begin at the chosen start; read from there.
                return
        if page.oldest > self.offset + 1:
            await self._pause_incomplete(page.oldest, "records expired")
            return
        gap_offset = await self._apply_page(page)
        is_caught_up = self.offset + 1 >= page.end
        if gap_offset is not None or (self.offset == before and not is_caught_up):
            await self._pause_incomplete(gap_offset or page.end, "records are missing")
            return
        self._is_from_peer = False
        self._update_state(is_caught_up, self.offset > before)
        if self.offset == before:
            # Avoids a busy loop if the log does not implement long polls.
            await self._clock.sleep(retry_delay(1, self._random))

    def _update_state(self, is_caught_up: bool, advanced: bool) -> None:
        state = self._state
        if is_caught_up:
            state = ReaderState.FOLLOWING
        elif state is ReaderState.INCOMPLETE:
            state = ReaderState.STARTING
        if state is not self._state:
            self._set_state(state)
        elif advanced:
            self._observers.notify()

    async def _pause_incomplete(self, offset: Offset, detail: str) -> None:
        if self._state is not ReaderState.INCOMPLETE:
            self._applier.count_refusal(RefusalReason.GAP, offset, detail)
            self._set_state(ReaderState.INCOMPLETE)
        await self._clock.sleep(_INCOMPLETE_RETRY_INTERVAL)

    async def _find_start(self, page: LogPage) -> bool:
        """Choose the start position; return whether there is one."""
        start = await self._finder.find(page)
        if self._has_start:
            # A peer has relayed the state in the meantime.
            return True
        if isinstance(start, Checkpoint):
            restored = self._applier.restore(start)
            if not restored:
                self._finder.reject(start)
            return restored
        if start is not None:
            self._applier.skip_to(start)
        return start is not None

    async def _apply_page(self, page: LogPage) -> Offset | None:
        """Apply a page in batches, so that heartbeats are not delayed by it."""
        for start in range(0, len(page.records), _BATCH_RECORDS):
            if self._state is ReaderState.REGRESSED:
                break
            batch = page.records[start : start + _BATCH_RECORDS]
            gap_offset = self._apply(batch, page.end)
            if gap_offset is not None:
                return gap_offset
            await asyncio.sleep(0)
        return None

    def _apply(self, records: Sequence[LogRecord], end: Offset) -> Offset | None:
        """Apply new records; return the first offset after a gap, if any."""
        for record in records:
            if record.offset <= self.offset:
                continue
            if record.offset > self.offset + 1:
                return record.offset
            self._applier.apply(record, self.log_id, end)
            self._relay_cache.add(record)
        return None

    def apply_relayed(self, message: StreamRecords) -> int:
        """Apply records that a peer has relayed.

        Parameters
        ----------
        message : StreamRecords
            Consecutive records, preceded by a checkpoint if the peer no longer
            holds the beginning of the stream.

        Returns
        -------
        int
            Number of offsets by which the applied prefix has advanced.
        """
        before = self.offset
        try:
            if self._may_apply_relayed(message):
                self._apply_relayed(message)
        except RecordRefusedError as error:
            self._applier.count_refusal(
                error.reason, Offset(message.first_offset), f"from a peer: {error}"
            )
        advanced_by = self.offset - before
        if advanced_by:
            self._has_start = True
            self._is_from_peer = True
            self._should_reread_last = True
        is_complete = self.offset >= 0 and self.offset + 1 >= message.end
        if advanced_by and is_complete and self._state in _INCOMPLETE_STATES:
            self._set_state(ReaderState.STALE)
        elif advanced_by:
            self._observers.notify()
        return advanced_by

    def _may_apply_relayed(self, message: StreamRecords) -> bool:
        if self._state is ReaderState.REGRESSED:
            return False
        if message.stream != self.stream:
            raise RecordRefusedError(RefusalReason.OTHER_STREAM, message.stream[:40])
        comparison = self._identity.compare(message.log_id)
        if comparison is LogComparison.CONTRADICTS:
            self._mark_regressed(message.log_id, message.end)
        if comparison is not LogComparison.SAME:
            raise RecordRefusedError(RefusalReason.OTHER_LOG, message.log_id[:40])
        return True

    def _apply_relayed(self, message: StreamRecords) -> None:
        records = unpack_records(message)
        if message.checkpoint and not self._has_start:
            checkpoint = decode_relayed_checkpoint(message, self._keyring)
            if not self._applier.restore(checkpoint):
                return
        if message.first_offset > self.offset + 1:
            raise RecordRefusedError(
                RefusalReason.GAP, f"gap after offset {self.offset}"
            )
        self._identity.set_log_id(message.log_id)
        self._apply(records, Offset(message.end))

    def records_from(self, offset: Offset) -> StreamRecords | None:
        """Return records from `offset` on for a peer.

        Returns
        -------
        StreamRecords or None
            At most 200 KiB of records. If `offset` is 0 and the beginning of
            the stream is no longer held, a checkpoint and the records after it.
            None if there is nothing to send.
        """
        if offset > self.offset or not self.log_id:
            return None
        end = Offset(self.offset + 1)
        cached = self._relay_cache.records(offset, end, self.log_id)
        cannot_checkpoint = self._window is not None or self._has_later_version()
        if cached is not None or offset > 0 or cannot_checkpoint:
            return cached
        return self._relay_cache.checkpoint(end, self.log_id, self.checkpoint)
