"""Identity of the log that a reader follows."""

import enum

from pomelolug.ids import Offset
from pomelolug.infrastructure import LogPage

__all__ = ["LogComparison", "LogIdentity"]


class LogComparison(enum.Enum):
    """How the log of a peer compares with the own one."""

    SAME = "same"
    OTHER = "other"
    CONTRADICTS = "contradicts"


class LogIdentity:
    """Remembers which log the applied records belong to.

    Parameters
    ----------
    expected : str
        Identity that an operator has declared; any if empty.
    """

    def __init__(self, expected: str) -> None:
        self._declared = bool(expected)
        self._log_id = expected
        self._log_has_answered = False

    @property
    def log_id(self) -> str:
        """Identity of the log, empty before one is known."""
        return self._log_id

    def accept_page(self, page: LogPage, min_end: Offset) -> bool:
        """Return whether `page` may be of the same log, and remember it.

        Parameters
        ----------
        page : LogPage
            Answer of the log.
        min_end : Offset
            Offset after the last one that was applied before the read.
        """
        if self._log_id and page.log_id != self._log_id:
            return False
        self._log_id = page.log_id
        self._log_has_answered = True
        return page.end >= min_end

    def compare(self, log_id: str) -> LogComparison:
        """Compare with the log that a peer has read.

        Two undeclared logs contradict each other: one of them has replaced the
        other and it is not known which one is meant to be followed.
        """
        if not self._log_id or log_id == self._log_id:
            return LogComparison.SAME
        if self._log_has_answered and not self._declared:
            return LogComparison.CONTRADICTS
        return LogComparison.OTHER

    def set_log_id(self, log_id: str) -> None:
        """Follow the log of a peer."""
        self._log_id = log_id
