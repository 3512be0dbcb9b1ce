"""Interface of the sources of records."""

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
    """The source did not respond, or rejected the call."""


class HistoryLostError(PlatformError):
    """The requested records were dropped; the newest of each key are still there."""


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One record of a keyed topic; a value of None removes the key."""

    offset: Offset
    key: str
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class RecordBatch:
    """Result of one read.

    Parameters
    ----------
    records : tuple of Record
        Records in the order of their offsets.
    end : Offset
        Offset at which the next read starts.
    age_s : float
        Time since the store itself last responded, in seconds. A relay reports how
        old its own data is.
    """

    records: tuple[Record, ...]
    end: Offset
    age_s: float = 0.0


class RecordSource(abc.ABC):
    """A source of the records of keyed topics."""

    @abc.abstractmethod
    async def read_newest(self, topic: str) -> RecordBatch:
        """Return the newest record of each key.

        Raises
        ------
        SourceUnavailableError
            If the source does not respond.
        """

    @abc.abstractmethod
    async def read(
        self, topic: str, first: Offset, *, wait: datetime.timedelta
    ) -> RecordBatch:
        """Return the records from offset `first`, waiting if there are none yet.

        Raises
        ------
        HistoryLostError
            If records from `first` onwards were dropped.
        SourceUnavailableError
            If the source does not respond.
        """
