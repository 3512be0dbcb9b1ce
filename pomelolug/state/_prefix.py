"""A fold together with the offset and nonces of its applied prefix."""

import collections
import datetime

from pomelolug.errors import PeerError
from pomelolug.ids import Offset
from pomelolug.infrastructure import LogRecord
from pomelolug.messages import Checkpoint
from pomelolug.state._checkpoint import make_checkpoint, split_nonces, state_digest
from pomelolug.state._envelope import decode_record
from pomelolug.state._fold import Fold, Record, RecordKind, VoidRecordError
from pomelolug.state._keys import KeyRing
from pomelolug.state._refusal import RecordRefusedError, RefusalReason

__all__ = ["AppliedPrefix", "MAX_DIGESTS", "timestamp_from_ms", "timestamp_to_ms"]

_MAX_NONCES = 2048
MAX_DIGESTS = 64
"""Number of digests kept for comparison with checkpoints of other nodes."""
_EPOCH = datetime.datetime(1970, 1, 1, tzinfo=datetime.UTC)
_MILLISECOND = datetime.timedelta(milliseconds=1)


def timestamp_to_ms(timestamp: datetime.datetime) -> int:
    """Return the milliseconds since the Unix epoch, rounded to the nearest."""
    return round((timestamp - _EPOCH) / _MILLISECOND)


def timestamp_from_ms(milliseconds: int) -> datetime.datetime:
    """Return the time `milliseconds` after the Unix epoch."""
    return _EPOCH + milliseconds * _MILLISECOND


class AppliedPrefix:
    """Applies the records of one stream to a fold in order, each exactly once.

    The nonces of the last 2,048 authenticated records are kept to detect
    duplicates. They are part of a checkpoint, since a reader that starts from it
    has to drop the same duplicates as one that has read the whole prefix.

    Parameters
    ----------
    stream : str
        Name of the stream.
    fold : Fold
        State without any record applied.
    keyring : KeyRing
        Accepted keys.
    """

    def __init__(self, *, stream: str, fold: Fold, keyring: KeyRing) -> None:
        self._stream = stream
        self._fold = fold
        self._keyring = keyring
        self._offset = Offset(-1)
        self._nonces: collections.OrderedDict[bytes, None] = collections.OrderedDict()
        self._digests: collections.OrderedDict[Offset, bytes] = (
            collections.OrderedDict()
        )

    @property
    def offset(self) -> Offset:
        """Last offset of the prefix, -1 if it is empty."""
        return self._offset

    def skip_to(self, offset: Offset) -> None:
        """Skip all records before `offset`."""
        self._offset = Offset(offset - 1)

    def apply(self, record: LogRecord) -> Record:
        """Apply the next record.

        The offset always advances: a refused record is part of the prefix too.

        Returns
        -------
        Record
            The decoded record. A checkpoint does not change the fold.

        Raises
        ------
        RecordRefusedError
            If the record was refused and has not changed the fold.
        """
        self._offset = record.offset
        decoded = decode_record(
            record.data,
            stream=self._stream,
            offset=record.offset,
            timestamp=timestamp_from_ms(timestamp_to_ms(record.timestamp)),
            keyring=self._keyring,
        )
        if decoded.nonce in self._nonces:
            raise RecordRefusedError(RefusalReason.DUPLICATE, "nonce was already used")
        self._store_nonce(decoded.nonce)
        if decoded.kind is not RecordKind.CHECKPOINT:
            self._apply_to_fold(decoded)
        return decoded

    def _store_nonce(self, nonce: bytes) -> None:
        self._nonces[nonce] = None
        if len(self._nonces) > _MAX_NONCES:
            self._nonces.popitem(last=False)

    def _apply_to_fold(self, record: Record) -> None:
        try:
            self._fold.apply(record)
        except VoidRecordError as error:
            raise RecordRefusedError(RefusalReason.VOID, str(error)) from error
        except PeerError as error:
            raise RecordRefusedError(RefusalReason.MALFORMED, str(error)) from error
        except Exception as error:
            # An error here would stop the readers of all nodes at the same record.
            message = f"fold raised {type(error).__name__}: {error}"
            raise RecordRefusedError(RefusalReason.FOLD_FAULT, message) from error

    def checkpoint(self, log_id: str) -> Checkpoint:
        """Return a checkpoint of the current prefix.

        Raises
        ------
        ValueError
            If the prefix is empty.
        """
        if self._offset < 0:
            raise ValueError("an empty prefix has no checkpoint")
        return make_checkpoint(
            stream=self._stream,
            log_id=log_id,
            covered=self._offset,
            nonces=self._nonces,
            state=self._fold.dump(),
        )

    def restore(self, checkpoint: Checkpoint) -> None:
        """Replace an empty prefix with that of `checkpoint`."""
        self._fold.restore(checkpoint.state)
        self._nonces = collections.OrderedDict.fromkeys(split_nonces(checkpoint.nonces))
        self._offset = Offset(checkpoint.covered)
        self._digests = collections.OrderedDict()
        self._digests[self._offset] = checkpoint.digest

    def store_digest(self) -> None:
        """Store the digest at the current offset for comparison."""
        nonces = b"".join(self._nonces)
        digest = state_digest(self._offset, nonces, self._fold.dump())
        self._digests[self._offset] = digest
        if len(self._digests) > MAX_DIGESTS:
            self._digests.popitem(last=False)

    def clear_digests(self) -> None:
        """Remove all stored digests."""
        self._digests.clear()

    def digest_at(self, offset: Offset) -> bytes | None:
        """Return the digest at `offset`, None if it is not stored."""
        return self._digests.get(offset)
