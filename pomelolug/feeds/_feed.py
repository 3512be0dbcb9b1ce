"""Continuous reading of one topic."""

import asyncio
import dataclasses
import datetime
from collections.abc import Callable, Iterable

import structlog

from pomelolug.clock import Clock
from pomelolug.errors import ErrorCode, PlatformError
from pomelolug.feeds._record_log import RecordLog
from pomelolug.feeds._source import (
    HistoryLostError,
    Record,
    RecordBatch,
    RecordSource,
    StoreRestoredError,
)
from pomelolug.ids import Offset

__all__ = ["FeedStatus", "TopicFeed"]

_log = structlog.get_logger(__name__)

_SOURCE_CHECK_INTERVAL = datetime.timedelta(milliseconds=250)
"""Interval at which a feed that waits after a failure looks for another source."""
_STALE_AFTER_S = 3.0
"""Age of the last response of the store above which the store counts as lost."""
_OVERDUE_AFTER = datetime.timedelta(milliseconds=400)
"""Delay of a response beyond the requested wait after which a source may be lost.

A store that is slow responds within it.
"""


@dataclasses.dataclass(slots=True)
class FeedStatus:
    """Monotonic time, in seconds, at which the store itself last responded."""

    last_contact_s: float = float("-inf")


class TopicFeed:
    """Keeps a local copy of one topic up to date.

    Parameters
    ----------
    topic : str
        Name of the topic.
    select_source : callable
        Returns the source to read from next and how long a read may wait there.
    clock : Clock
        Source of monotonic time.
    read_pause : callable
        Returns the pause after a read, which lets one read collect changes that
        come close together.
    on_records : callable
        Called with the new records, in order.
    on_batch : callable, optional
        Called first with each batch that was read, with or without records, and with
        whether it is a snapshot of all keys.
    on_failure : callable
        Called with a source that failed or returned stale data.
    on_success : callable, optional
        Called with a source that responded.
    retry_delay : callable
        Returns the pause before a source that failed is read again, given the source
        and the time for which all reads have failed.
    restore_delay : datetime.timedelta
        Time for which the records are kept as they are after the store went back to
        an older copy, until their writers have written again.
    """

    def __init__(
        self,
        *,
        topic: str,
        select_source: Callable[[], tuple[RecordSource, datetime.timedelta]],
        clock: Clock,
        read_pause: Callable[[], datetime.timedelta],
        on_records: Callable[[Iterable[Record]], None],
        on_failure: Callable[[RecordSource], None],
        retry_delay: Callable[[RecordSource, datetime.timedelta], datetime.timedelta],
        on_success: Callable[[RecordSource], None] = lambda source: None,
        on_batch: Callable[[RecordBatch, bool], None] = lambda batch, is_snapshot: None,
        restore_delay: datetime.timedelta = datetime.timedelta(0),
    ) -> None:
        self._topic = topic
        self._select_source = select_source
        self._clock = clock
        self._read_pause = read_pause
        self._on_records = on_records
        self._on_batch = on_batch
        self._on_failure = on_failure
        self._on_success = on_success
        self._retry_delay = retry_delay
        self._restore_delay = restore_delay
        self._log = RecordLog()
        self._offset: Offset | None = None
        self._status = FeedStatus()
        self._store_lost = False
        self._last_read_failed = False
        self._failing_since_s = float("inf")
        self._is_overdue = False
        self._is_source_stale = False
        self._source_name = ""

    @property
    def log(self) -> RecordLog:
        """Log of the records that were read."""
        return self._log

    @property
    def age_s(self) -> float:
        """Seconds since the store itself last responded, directly or to a relay."""
        return self._clock.monotonic() - self._status.last_contact_s

    @property
    def is_fresh(self) -> bool:
        """Whether records of the store arrive here without delay, as far as known.

        Readers of this node go to the store otherwise, before the records here are out
        of date.
        """
        may_be_lost = (
            self._last_read_failed or self._is_overdue or self._is_source_stale
        )
        return not may_be_lost and self.age_s < _STALE_AFTER_S

    async def run(self) -> None:
        """Read the topic until cancelled."""
        while True:
            source, wait = self._select_source()
            if not self.is_fresh or source.name != self._source_name:
                # A response shows that the source is there, also without new records.
                wait = datetime.timedelta(0)
            try:
                batch = await self._read_watched(source, wait)
            except StoreRestoredError:
                _log.warning("store_restored", topic=self._topic)
                self._last_read_failed = False
                self._status.last_contact_s = self._clock.monotonic()
                self._offset = None
                await self._clock.sleep(self._restore_delay)
                continue
            except HistoryLostError:
                self._offset = None
                continue
            except PlatformError as error:
                self._last_read_failed = True
                self._log.wake_readers()
                self._log_availability(lost=True, reason=str(error))
                self._on_failure(source)
                await self._pause_after_failure(source)
                continue
            self._last_read_failed = False
            self._failing_since_s = float("inf")
            self._is_source_stale = batch.is_stale
            # A relay may have heard of the store longer ago than this node.
            self._status.last_contact_s = max(
                self._status.last_contact_s, self._clock.monotonic() - batch.age_s
            )
            self._on_success(source)
            self._log_source(source)
            self._log_availability(
                lost=not self.is_fresh, reason="the relay has lost the store"
            )
            if not self.is_fresh:
                self._on_failure(source)
                if self._select_source()[0] is not source:
                    continue
            await self._clock.sleep(self._read_pause())

    async def _read_watched(
        self, source: RecordSource, wait: datetime.timedelta
    ) -> RecordBatch:
        """Read from a source; tell the readers of this node if it takes too long."""
        watch = asyncio.create_task(self._report_overdue(source, wait))
        try:
            return await self._read(source, wait)
        finally:
            watch.cancel()
            self._is_overdue = False

    async def _report_overdue(
        self, source: RecordSource, wait: datetime.timedelta
    ) -> None:
        await self._clock.sleep(wait + _OVERDUE_AFTER)
        _log.info("read_overdue", topic=self._topic, source=source.name)
        self._is_overdue = True
        self._log.wake_readers()

    async def _pause_after_failure(self, failed: RecordSource) -> None:
        """Wait until a source may be read again, or until there is another one."""
        now_s = self._clock.monotonic()
        self._failing_since_s = min(self._failing_since_s, now_s)
        failing_for = datetime.timedelta(seconds=now_s - self._failing_since_s)
        left = self._retry_delay(failed, failing_for)
        while left > datetime.timedelta(0) and self._select_source()[0] is failed:
            step = min(left, _SOURCE_CHECK_INTERVAL)
            await self._clock.sleep(step)
            left -= step

    async def _read(
        self, source: RecordSource, wait: datetime.timedelta
    ) -> RecordBatch:
        is_snapshot = self._offset is None
        if self._offset is None:
            batch = await source.read_newest(self._topic)
            removals = self._log.reset(batch)
            records = [*batch.records, *removals]
        else:
            batch = await source.read(self._topic, self._offset, wait=wait)
            self._check_complete(source, batch, self._offset)
            self._log.extend(batch)
            records = list(batch.records)
        self._offset = max(batch.end, self._offset or batch.end)
        self._on_batch(batch, is_snapshot)
        if records:
            self._on_records(records)
        return batch

    def _check_complete(
        self, source: RecordSource, batch: RecordBatch, first: Offset
    ) -> None:
        """Raise `HistoryLostError` if a batch leaves out records from `first` on.

        The store numbers the records of a topic without gaps.
        """
        offsets = {record.offset for record in batch.records}
        missing = max(batch.end - first, 0) - len(offsets)
        if missing > 0:
            _log.warning(
                "records_skipped",
                topic=self._topic,
                source=source.name,
                first=first,
                end=batch.end,
                missing=missing,
            )
            raise HistoryLostError(
                ErrorCode.LOG_INCOMPLETE,
                f"{source.name} left out {missing} records before offset {batch.end}",
            )

    def _log_source(self, source: RecordSource) -> None:
        if source.name != self._source_name:
            self._source_name = source.name
            _log.info(
                "feed_source",
                topic=self._topic,
                source=source.name,
                age_s=round(self.age_s, 3),
            )

    def _log_availability(self, *, lost: bool, reason: str) -> None:
        if lost == self._store_lost:
            return
        self._store_lost = lost
        if lost:
            _log.warning("store_lost", topic=self._topic, reason=reason)
        else:
            _log.info("store_regained", topic=self._topic)
