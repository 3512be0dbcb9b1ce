"""Records and the interface of deterministic folds."""

import abc
import dataclasses
import datetime
import enum

from pomelolug.errors import PomelolugError
from pomelolug.ids import Offset

__all__ = ["Fold", "Record", "RecordKind", "VoidRecordError"]


class RecordKind(enum.Enum):
    """Type of a record on the log."""

    CONFIGURATION = "configuration"
    FORMATION = "formation"
    DISSOLUTION = "dissolution"
    DRAIN = "drain"
    CLAIMS = "claims"
    CONTAINMENT = "containment"
    CHECKPOINT = "checkpoint"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Record:
    """An authenticated record.

    Parameters
    ----------
    offset : Offset
        Position in the stream.
    timestamp : datetime.datetime
        Timestamp that the log assigned to the record.
    kind : RecordKind
        Type of the record.
    author : str
        ``node:NAME`` or ``operator:NAME``, authenticated by the signature.
    nonce : bytes
        Unique to the append.
    body : bytes
        Generated message encoded as CBOR.
    """

    offset: Offset
    timestamp: datetime.datetime
    kind: RecordKind
    author: str
    nonce: bytes
    body: bytes


class VoidRecordError(PomelolugError):
    """The record is void by the rules of the fold and has no effect."""


class Fold(abc.ABC):
    """Deterministic state machine over the records of one stream.

    An implementation must not read a clock, a source of randomness or anything
    whose order differs between processes, since every node has to reach the
    same state.
    """

    @abc.abstractmethod
    def apply(self, record: Record) -> None:
        """Apply the next record.

        Raises
        ------
        VoidRecordError
            If the record is void; the state is unchanged.
        """

    @abc.abstractmethod
    def dump(self) -> bytes:
        """Return the state as deterministic CBOR, for a checkpoint."""

    @abc.abstractmethod
    def restore(self, data: bytes) -> None:
        """Replace the state with that of a checkpoint."""
