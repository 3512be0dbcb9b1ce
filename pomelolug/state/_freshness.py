"""Times at which a reader last received a response from the log."""

import datetime
import math

from pomelolug.clock import Clock

__all__ = ["Freshness"]

# Longer than a long poll with its timeout, so that an idle stream is not stale.
_STALE_AFTER = datetime.timedelta(seconds=15)


class Freshness:
    """Times of the last response and of the last read that reached the end.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._requested_at_s = -math.inf
        self._responded_at_s = -math.inf
        self._last_full_read_s = -math.inf

    @property
    def last_full_read_s(self) -> float:
        """Monotonic time at which the last read that reached the end was sent.

        Minus infinity if there was none.
        """
        return self._last_full_read_s

    @property
    def is_silent(self) -> bool:
        """Whether the log has not responded for 15 s."""
        silence_s = self._clock.monotonic() - self._responded_at_s
        return silence_s > _STALE_AFTER.total_seconds()

    def record_request(self) -> None:
        """Record that a read is about to be sent."""
        self._requested_at_s = self._clock.monotonic()

    def record_response(self) -> None:
        """Record that the log has responded to the read."""
        self._responded_at_s = self._clock.monotonic()

    def record_full_read(self) -> None:
        """Record that all records up to the end seen by the read are applied."""
        self._last_full_read_s = self._requested_at_s
