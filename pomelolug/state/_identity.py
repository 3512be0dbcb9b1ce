"""Identity of the log that a reader follows."""

import enum

from pomelolug.ids import Offset
from pomelolug.infrastructure import LogPage

__all__ = ["LogComparison", "LogIdentity"]


class LogComparison(enum.Enum):
    """Result of comparing the log of a peer with the log of this reader.

    ``SAME``: both are the same log, or the log of this reader is unknown.
    ``OTHER``: the peer has read another log.
    ``CONTRADICTS``: as ``OTHER``, but it is unknown which log is right.
    """

    SAME = "same"
    OTHER = "other"
    CONTRADICTS = "contradicts"


class LogIdentity:
    """Identity of the log that the applied records belong to.

    Parameters
    ----------
    expected_log_id : str
        Identity declared by an operator; if empty, any log is accepted.
    """

    def __init__(self, expected_log_id: str) -> None:
        self._is_declared = bool(expected_log_id)
        self._log_id = expected_log_id
        self._has_log_answered = False

    @property
    def log_id(self) -> str:
        """Identity of the log, empty while unknown."""
        return self._log_id

    def accept_page(self, page: LogPage, min_end: Offset) -> bool:
        """Return whether `page` can be of the same log, and store its identity.

        It is not if its identity differs or the log ends before `min_end`.

        Parameters
        ----------
        page : LogPage
            Response of the log.
        min_end : Offset
            Offset after the last one applied when the read was sent.
        """
        if self._log_id and page.log_id != self._log_id:
            return False
        self._log_id = page.log_id
        self._has_log_answered = True
        return page.end >= min_end

    def compare(self, log_id: str) -> LogComparison:
        """Compare the log with the one that a peer has read.

        Without a declared identity, two different logs contradict each other:
        one has replaced the other, and it is unknown which one to follow.
        """
        if not self._log_id or log_id == self._log_id:
            return LogComparison.SAME
        if self._has_log_answered and not self._is_declared:
            return LogComparison.CONTRADICTS
        return LogComparison.OTHER

    def set_log_id(self, log_id: str) -> None:
        """Set the identity to that of a peer's log."""
        self._log_id = log_id
