"""Identity of the log that a reader follows."""

import enum

from pomelolug.ids import Offset
from pomelolug.infrastructure import LogPage

__all__ = ["LogIdentity", "PeerLog"]


class PeerLog(enum.Enum):
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
        self._answered = False

    @property
    def log_id(self) -> str:
        """Identity of the log, empty before one is known."""
        return self._log_id

    def accepts(self, page: LogPage, needed: Offset) -> bool:
        """Return whether `page` may be of the same log, and remember it.

        Parameters
        ----------
        page : LogPage
            Answer of the log.
        needed : Offset
            Offset after the last one that was applied before the read.
        """
        if self._log_id and page.log_id != self._log_id:
            return False
        self._log_id = page.log_id
        self._answered = True
        return page.end >= needed

    def compare(self, log_id: str) -> PeerLog:
        """Compare with the log that a peer has read.

        Two undeclared logs contradict each other: one of them has replaced the
        other and it is not known which one is meant to be followed.
        """
        if not self._log_id or log_id == self._log_id:
            return PeerLog.SAME
        if self._answered and not self._declared:
            return PeerLog.CONTRADICTS
        return PeerLog.OTHER

    def adopt(self, log_id: str) -> None:
        """Follow the log of a peer."""
        self._log_id = log_id
