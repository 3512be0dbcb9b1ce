"""Records and the interface of deterministic folds."""

import abc
import dataclasses
import datetime
import enum

from pomelolug.errors import PomelolugError
from pomelolug.ids import Offset

__all__ = ["Fold", "Record", "RecordKind", "VoidRecordError"]


class RecordKind(enum.Enum):
    """What a record on the log says."""

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
    stamp : datetime.datetime
        Time that the log gave the record.
    kind : RecordKind
        What the record says.
    author : str
        ``node:NAME`` or ``operator:NAME``, proved by the signature.
    nonce : bytes
        Unique to the append.
    body : bytes
        CBOR of a generated message.
    """

    offset: Offset
    stamp: datetime.datetime
    kind: RecordKind
    author: str
    nonce: bytes
    body: bytes


class VoidRecordError(PomelolugError):
    """The fold's rules make the record void; it changes nothing."""


class Fold(abc.ABC):
    """State that is a pure function of the records of one stream.

    An implementation must not read a clock, a random source or anything whose
    order differs between processes: every node has to reach the same state.
    """

    @abc.abstractmethod
    def apply(self, record: Record) -> None:
        """Apply the next record.

        Raises
        ------
        VoidRecordError
            If the record is void; the state is as before the call.
        """

    @abc.abstractmethod
    def dump(self) -> bytes:
        """Return the state as deterministic CBOR, for a checkpoint."""

    @abc.abstractmethod
    def restore(self, data: bytes) -> None:
        """Replace the state by that of a checkpoint."""
