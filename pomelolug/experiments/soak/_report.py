"""Report of a soak."""

import dataclasses
import hashlib
import json

__all__ = ["SoakReport"]


@dataclasses.dataclass(kw_only=True)
class SoakReport:
    """History, counts and measurements of one run.

    Parameters
    ----------
    seed : int
        Seed of the load and the faults.
    virtual_s : float
        Duration in virtual seconds.
    history : list of str
        Events in order, each with its virtual time.
    requests : int
        Requests that callers sent.
    faults : dict
        Number of injected faults by kind.
    violations : list of str
        Violated guarantees, empty if there are none.
    outcomes : dict
        Number of requests by the outcome that callers saw.
    codes : dict
        Number of replies by the error code that callers saw.
    figures : dict
        Further measurements.
    """

    seed: int
    virtual_s: float
    history: list[str]
    requests: int
    faults: dict[str, int]
    violations: list[str]
    outcomes: dict[str, int]
    codes: dict[str, int]
    figures: dict[str, float]

    @property
    def digest(self) -> str:
        """SHA-256 over the event history."""
        return hashlib.sha256("\n".join(self.history).encode()).hexdigest()

    def trace(self, count: int) -> list[str]:
        """Return the violations with the last `count` events before the first."""
        first = next(
            (i for i, line in enumerate(self.history) if " VIOLATION " in line),
            len(self.history),
        )
        relevant = [line for line in self.history[:first] if " answer " not in line]
        return [*relevant[-count:], *self.violations]

    def to_json(self) -> str:
        """Return the report as one JSON object."""
        return json.dumps(
            {
                "seed": self.seed,
                "virtual_s": self.virtual_s,
                "events": len(self.history),
                "requests": self.requests,
                "faults": self.faults,
                "violations": self.violations,
                "outcomes": self.outcomes,
                "codes": self.codes,
                "figures": self.figures,
                "digest": self.digest,
            }
        )
