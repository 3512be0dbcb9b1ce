"""Findings: faults in outside input, each with its place."""

import dataclasses

__all__ = ["Finding"]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Finding:
    """One fault in a document or a settings file.

    Parameters
    ----------
    location : str
        Where the fault is, for example ``gateway.ini [listen] port``.
    value : str
        The offending value, cut to 80 characters.
    problem : str
        What is wrong and, where known, what was expected.

    Examples
    --------
    >>> location = "a.ini [listen] port"
    >>> str(Finding(location=location, value="x", problem="not an integer"))
    "a.ini [listen] port: not an integer (value 'x')"
    """

    location: str
    value: str
    problem: str

    def __str__(self) -> str:
        return f"{self.location}: {self.problem} (value {self.value[:80]!r})"
