"""Event history, violations and counters of a soak."""

import collections

from pomelolug.clock import Clock

__all__ = ["Journal"]


class Journal:
    """Collects events and violations in order and counts outcomes.

    Parameters
    ----------
    clock : Clock
        Virtual clock.
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
        """Append an event to the history."""
        self.history.append(f"{self.elapsed_s:.3f} {event}")

    def record_violation(self, text: str) -> None:
        """Append a violated guarantee to the history and to the violations."""
        line = f"{self.elapsed_s:.3f} VIOLATION {text}"
        self.history.append(line)
        self.violations.append(line)
