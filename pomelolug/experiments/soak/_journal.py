"""Event history and violations of a soak."""

import collections

from pomelolug.clock import Clock

__all__ = ["Journal"]


class Journal:
    """Collects events in order; the checker adds violations.

    Parameters
    ----------
    clock : Clock
        Virtual time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._started_at_s = clock.monotonic()
        self.history: list[str] = []
        self.violations: list[str] = []
        self.faults: collections.Counter[str] = collections.Counter()
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.codes: collections.Counter[str] = collections.Counter()
        self.requests = 0

    @property
    def elapsed_s(self) -> float:
        """Virtual seconds since the start."""
        return self._clock.monotonic() - self._started_at_s

    def record_event(self, event: str) -> None:
        """Add an event."""
        self.history.append(f"{self.elapsed_s:.3f} {event}")

    def record_violation(self, text: str) -> None:
        """Add a broken promise."""
        line = f"{self.elapsed_s:.3f} VIOLATION {text}"
        self.history.append(line)
        self.violations.append(line)
