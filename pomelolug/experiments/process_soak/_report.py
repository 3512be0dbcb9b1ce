"""Report of one run."""

import dataclasses
import json

__all__ = ["ProcessSoakReport"]


@dataclasses.dataclass(kw_only=True)
class ProcessSoakReport:
    """Counts, violations and fault history of one run.

    Parameters
    ----------
    seed : int
        Seed of the load and the faults.
    requests, runs : int
        Number of requests sent by callers and of executions started by servers.
    outcomes, faults : dict
        Number of calls by outcome and of faults by kind.
    served_after : float
        Share of calls that were served after the recovery period.
    violations : list of str
        Violated guarantees, empty if there are none.
    history : list of str
        Faults and operator actions with their times.
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
