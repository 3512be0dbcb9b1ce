"""When the log has last answered a reader."""

import datetime
import math

from pomelolug.clock import Clock

__all__ = ["Freshness"]

# Longer than one long poll with its timeout, so that a quiet stream is not stale.
_STALE_AFTER = datetime.timedelta(seconds=15)


class Freshness:
    """Times of the last answer and of the last read that reached the end.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._asked_at = -math.inf
        self._answered_at = -math.inf
        self._proved_at = -math.inf

    @property
    def proved_at(self) -> float:
        """Monotonic time before the newest read that reached the end was sent."""
        return self._proved_at

    @property
    def is_silent(self) -> bool:
        """Whether the log has not answered for 15 s."""
        silence = self._clock.monotonic() - self._answered_at
        return silence > _STALE_AFTER.total_seconds()

    def asked(self) -> None:
        """Note that a read is about to be sent."""
        self._asked_at = self._clock.monotonic()

    def answered(self) -> None:
        """Note the answer to the read."""
        self._answered_at = self._clock.monotonic()

    def proved(self) -> None:
        """Note that all records up to the end of that read are applied."""
        self._proved_at = self._asked_at
