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
        self._started = clock.monotonic()
        self.history: list[str] = []
        self.violations: list[str] = []
        self.faults: collections.Counter[str] = collections.Counter()
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.codes: collections.Counter[str] = collections.Counter()
        self.requests = 0

    @property
    def elapsed(self) -> float:
        """Virtual seconds since the start."""
        return self._clock.monotonic() - self._started

    def note(self, event: str) -> None:
        """Add an event."""
        self.history.append(f"{self.elapsed:.3f} {event}")

    def violation(self, text: str) -> None:
        """Add a broken promise."""
        line = f"{self.elapsed:.3f} VIOLATION {text}"
        self.history.append(line)
        self.violations.append(line)
