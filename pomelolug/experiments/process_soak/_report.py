"""Result of one run."""

import dataclasses
import json

__all__ = ["ProcessSoakReport"]


@dataclasses.dataclass(kw_only=True)
class ProcessSoakReport:
    """What happened in one run.

    Parameters
    ----------
    seed : int
        Seed of load and faults.
    requests, runs : int
        Requests that callers sent, and runs that servers began.
    outcomes, faults : dict
        Count of each outcome that callers saw, and of each kind of fault.
    served_after : float
        Share of calls served after the time for recovery.
    violations : list of str
        Broken promises, empty if there are none.
    history : list of str
        Faults with their times.
    """

    seed: int
    requests: int
    runs: int
    outcomes: dict[str, int]
    faults: dict[str, int]
    served_after: float
    violations: list[str]
    history: list[str]

    def to_json(self) -> str:
        """Return the report without its history as one JSON object."""
        fields = dataclasses.asdict(self)
        del fields["history"]
        return json.dumps(fields)
