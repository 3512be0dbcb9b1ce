"""Whether this node itself reaches the store, not only through the relay."""

import datetime
from collections.abc import Callable

import structlog

from pomelolug.clock import Clock
from pomelolug.errors import PlatformError
from pomelolug.feeds import RecordSource

__all__ = ["StoreContact"]

_log = structlog.get_logger(__name__)

_MIN_PROBE_INTERVAL = datetime.timedelta(seconds=1)


class StoreContact:
    """Result of the latest read of the store by this node.

    A node that has not read the store yet is assumed to reach it. After a failure it
    reads the store periodically until it succeeds, also while it reads from a relay.

    Parameters
    ----------
    store : RecordSource
        The store.
    topic : str
        Topic that the reads to test the store ask for; it should be small.
    is_reading : callable
        Returns whether this node reads the store anyway.
    retry_delay : callable
        Returns the pause between two reads, given the time for which they have failed.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(
        self,
        *,
        store: RecordSource,
        topic: str,
        is_reading: Callable[[], bool],
        retry_delay: Callable[[datetime.timedelta], datetime.timedelta],
        clock: Clock,
    ) -> None:
        self._store = store
        self._topic = topic
        self._is_reading = is_reading
        self._retry_delay = retry_delay
        self._clock = clock
        self._is_available = True
        self._failing_since_s = float("inf")

    @property
    def is_available(self) -> bool:
        """Whether the latest read succeeded."""
        return self._is_available

    def record(self, source: RecordSource, *, succeeded: bool) -> None:
        """Record the result of a read, which counts only if it was of the store."""
        if source is not self._store or succeeded == self._is_available:
            return
        self._is_available = succeeded
        self._failing_since_s = float("inf") if succeeded else self._clock.monotonic()
        _log.info("store_contact", available=succeeded)

    async def run(self) -> None:
        """Read the store after a failure until it responds, until cancelled."""
        while True:
            failing_s = max(self._clock.monotonic() - self._failing_since_s, 0.0)
            pause = self._retry_delay(datetime.timedelta(seconds=failing_s))
            await self._clock.sleep(max(_MIN_PROBE_INTERVAL, pause))
            if self._is_available or self._is_reading():
                continue
            try:
                await self._store.read_newest(self._topic)
            except PlatformError as error:
                _log.debug("store_probe_failed", reason=str(error))
                continue
            self.record(self._store, succeeded=True)
