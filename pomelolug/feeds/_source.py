"""Where records come from."""

import abc
import dataclasses
import datetime

from pomelolug.errors import PlatformError
from pomelolug.ids import Offset

__all__ = [
    "HistoryLostError",
    "Record",
    "RecordBatch",
    "RecordSource",
    "SourceUnavailableError",
]


class SourceUnavailableError(PlatformError):
    """The source did not answer, or turned the call away."""


class HistoryLostError(PlatformError):
    """The requested records have been dropped; the newest ones remain."""


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One record of a keyed topic; a value of None drops the key."""

    offset: Offset
    key: str
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class RecordBatch:
    """Answer to one read.

    Parameters
    ----------
    records : tuple of Record
        Records in the order of their offsets.
    end : Offset
        Offset from which to read on.
    age_s : float
        Time since the store itself was last heard, in seconds.
    """

    records: tuple[Record, ...]
    end: Offset
    age_s: float = 0.0


class RecordSource(abc.ABC):
    """Serves the records of keyed topics."""

    @abc.abstractmethod
    async def read_newest(self, topic: str) -> RecordBatch:
        """Return the newest record of each key.

        Raises
        ------
        SourceUnavailableError
            If the source does not answer.
        """

    @abc.abstractmethod
    async def read(
        self, topic: str, first: Offset, *, wait: datetime.timedelta
    ) -> RecordBatch:
        """Return the records from `first` on, waiting for one if there is none.

        Raises
        ------
        HistoryLostError
            If records from `first` on have been dropped.
        SourceUnavailableError
            If the source does not answer.
        """
