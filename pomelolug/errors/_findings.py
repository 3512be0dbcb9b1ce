"""Problems in external input, each with its location."""

import dataclasses

__all__ = ["Finding"]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Finding:
    """One problem in a document or settings file.

    Parameters
    ----------
    location : str
        Location of the problem, for example ``gateway.ini [listen] port``.
    value : str
        Invalid value; `str` shows its first 80 characters.
    problem : str
        What is wrong and, if known, what was expected.

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
