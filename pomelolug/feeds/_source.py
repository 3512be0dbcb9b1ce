"""Interface of the sources of records."""

import abc
import dataclasses
import datetime

from pomelolug.errors import PlatformError
from pomelolug.ids import Offset

__all__ = [
    "OFFSETS_PER_ERA",
    "HistoryLostError",
    "Record",
    "RecordBatch",
    "RecordSource",
    "SourceUnavailableError",
    "StoreRestoredError",
    "era_of",
]

OFFSETS_PER_ERA = 1 << 40
"""Difference between equal offsets of two eras of the store.

The store starts a new era when it goes back to an older copy and gives out offsets
again. Offsets that contain the era grow all the same.
"""


class SourceUnavailableError(PlatformError):
    """The source did not respond, or rejected the call."""


class HistoryLostError(PlatformError):
    """The requested records were dropped; the newest of each key are still there."""


class StoreRestoredError(HistoryLostError):
    """The store went back to an older copy, so records were lost or replaced."""


def era_of(offset: Offset) -> int:
    """Return the era of the store in which an offset was given out.

    Examples
    --------
    >>> era_of(Offset(7))
    0
    """
    return offset // OFFSETS_PER_ERA


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One record of a keyed topic; a value of None removes the key.

    `is_lost` is true if nobody removed the key, but the store went back to a copy
    without it.
    """

    offset: Offset
    key: str
    value: bytes | None
    is_lost: bool = False


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
    is_stale : bool
        Whether the source is a relay that may have lost the store.
    """

    records: tuple[Record, ...]
    end: Offset
    age_s: float = 0.0
    is_stale: bool = False


class RecordSource(abc.ABC):
    """A source of the records of keyed topics."""

    @property
    @abc.abstractmethod
    def name(self) -> str:
        """Name of the source in the log."""

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
