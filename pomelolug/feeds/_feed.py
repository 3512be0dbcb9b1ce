"""Following one topic."""

import dataclasses
import datetime
from collections.abc import Callable, Iterable

import structlog

from pomelolug.clock import Clock
from pomelolug.errors import PlatformError
from pomelolug.feeds._log import RecordLog
from pomelolug.feeds._source import HistoryLostError, Record, RecordBatch, RecordSource
from pomelolug.ids import Offset

__all__ = ["FeedStatus", "TopicFeed"]

_log = structlog.get_logger(__name__)

_RETRY = datetime.timedelta(milliseconds=250)
_STALE_S = 3.0
"""Age of the store's last answer above which it counts as away."""


@dataclasses.dataclass(slots=True)
class FeedStatus:
    """When the store itself was last heard, by the monotonic clock."""

    heard_at: float = float("-inf")


class TopicFeed:
    """Keeps the records of one topic up to date.

    Parameters
    ----------
    topic : str
        The topic.
    source : callable
        Returns where to read next, and how long a read may wait.
    clock : Clock
        Source of monotonic time.
    pause : callable
        Returns the pause after a read, so that changes that come together cost
        one read.
    on_records : callable
        Called with the new records in order.
    on_failure : callable
        Called with a source that did not answer.
    """

    def __init__(
        self,
        *,
        topic: str,
        source: Callable[[], tuple[RecordSource, datetime.timedelta]],
        clock: Clock,
        pause: Callable[[], datetime.timedelta],
        on_records: Callable[[Iterable[Record]], None],
        on_failure: Callable[[RecordSource], None],
    ) -> None:
        self._topic = topic
        self._source = source
        self._clock = clock
        self._pause = pause
        self._on_records = on_records
        self._on_failure = on_failure
        self._log = RecordLog()
        self._offset: Offset | None = None
        self._status = FeedStatus()
        self._away = False
        self._failed = False

    @property
    def log(self) -> RecordLog:
        """Records read so far."""
        return self._log

    @property
    def age_s(self) -> float:
        """Seconds since the store itself was heard, directly or by a relay."""
        return self._clock.monotonic() - self._status.heard_at

    @property
    def told_age_s(self) -> float:
        """Age that readers of this node are told, in seconds.

        It is beyond every bound as soon as a read fails, so that they turn to
        the store before the records here are old.
        """
        return self.age_s + (_STALE_S if self._failed else 0.0)

    @property
    def fresh(self) -> bool:
        """Whether the store was heard lately, and the last read succeeded."""
        return self.told_age_s < _STALE_S

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            source, wait = self._source()
            try:
                batch = await self._read(source, wait)
            except HistoryLostError:
                self._offset = None
                continue
            except PlatformError as error:
                self._failed = True
                self._log.wake()
                self._note(away=True, reason=str(error))
                self._on_failure(source)
                await self._clock.sleep(_RETRY)
                continue
            self._failed = False
            self._status.heard_at = self._clock.monotonic() - batch.age_s
            self._note(away=not self.fresh, reason="the relay's store is away")
            if not self.fresh:
                self._on_failure(source)
            await self._clock.sleep(self._pause())

    async def _read(
        self, source: RecordSource, wait: datetime.timedelta
    ) -> RecordBatch:
        if self._offset is None:
            batch = await source.newest(self._topic)
            drops = self._log.reset(batch)
            records = [*batch.records, *drops]
        else:
            batch = await source.read(self._topic, self._offset, wait=wait)
            self._log.extend(batch)
            records = list(batch.records)
        self._offset = max(batch.end, self._offset or batch.end)
        if records:
            self._on_records(records)
        return batch

    def _note(self, *, away: bool, reason: str) -> None:
        if away == self._away:
            return
        self._away = away
        if away:
            _log.warning("store_lost", topic=self._topic, reason=reason)
        else:
            _log.info("store_regained", topic=self._topic)
