"""Applies records, counts the refused ones and compares checkpoints."""

import collections
import datetime
import hashlib
from collections.abc import Callable, Mapping
from typing import Any

import structlog
from prometheus_client import Counter

from pomelolug.ids import Offset
from pomelolug.infrastructure import LogRecord
from pomelolug.messages import Checkpoint
from pomelolug.state._checkpoint import decode_checkpoint
from pomelolug.state._fold import Fold, Record, RecordKind
from pomelolug.state._keys import KeyRing
from pomelolug.state._prefix import DIGEST_HISTORY, Prefix
from pomelolug.state._refusal import RecordRefusedError, RefusalReason

__all__ = ["Intake"]

_REFUSED = Counter(
    "pomelolug_records_refused_total",
    "Log records that were not applied, by stream family and reason.",
    ["stream", "reason"],
)
_FOLDS_AGREE = "folds_agree"
# Void and duplicate records are the normal outcome of a race.
_EXPECTED = frozenset({RefusalReason.VOID, RefusalReason.DUPLICATE})


class Intake:
    """The prefix of one stream with its counters.

    Parameters
    ----------
    stream : str
        Name of the stream.
    fold : Fold
        State without any record applied.
    keyring : KeyRing
        Accepted keys.
    digests : bool
        Whether digests are kept for comparison with checkpoints.
    violated : callable, optional
        Called with the name of an invariant that was found violated.
    """

    def __init__(
        self,
        *,
        stream: str,
        fold: Fold,
        keyring: KeyRing,
        digests: bool,
        violated: Callable[[str], None] | None = None,
    ) -> None:
        self._stream = stream
        self._fold = fold
        self._prefix = Prefix(stream=stream, fold=fold, keyring=keyring)
        self._digests = digests
        self._violated = violated
        self._refusals: collections.Counter[RefusalReason] = collections.Counter()
        self._last_raw: tuple[Offset, bytes] | None = None
        self._checkpoint_covers = Offset(-1)
        self._checkpoint_stamp: datetime.datetime | None = None
        self._logger = structlog.get_logger(__name__).bind(stream=stream)

    @property
    def stream(self) -> str:
        """Name of the stream."""
        return self._stream

    @property
    def fold(self) -> Fold:
        """The fold that the records are applied to."""
        return self._fold

    @property
    def offset(self) -> Offset:
        """Last applied offset, -1 before."""
        return self._prefix.offset

    @property
    def refusals(self) -> Mapping[RefusalReason, int]:
        """Records that were not applied, by reason."""
        return self._refusals

    @property
    def checkpoint_covers(self) -> Offset:
        """Offset that the latest checkpoint covers, -1 without one."""
        return self._checkpoint_covers

    @property
    def checkpoint_stamp(self) -> datetime.datetime | None:
        """Log time of the latest checkpoint, else of the first record read."""
        return self._checkpoint_stamp

    def skip_to(self, offset: Offset) -> None:
        """Leave out all records before `offset`."""
        self._prefix.skip_to(offset)

    def checkpoint(self, log_id: str) -> Checkpoint:
        """Return the checkpoint of the present state."""
        return self._prefix.checkpoint(log_id)

    def restore(self, checkpoint: Checkpoint) -> bool:
        """Start from `checkpoint`; return whether that was possible."""
        if self.offset >= 0:
            raise ValueError("a checkpoint never replaces applied records")
        covered = Offset(checkpoint.covered)
        try:
            self._prefix.restore(checkpoint)
        except Exception as error:
            self.count(RefusalReason.MALFORMED, covered, f"checkpoint: {error}")
            return False
        self.report("checkpoint_restored", covered=covered)
        return True

    def apply(self, record: LogRecord, log_id: str, end: Offset) -> None:
        """Apply the next record; `end` is the end of the stream as known."""
        if self._checkpoint_stamp is None:
            self._checkpoint_stamp = record.stamp
        self._last_raw = record.offset, hashlib.sha256(record.data).digest()
        try:
            decoded = self._prefix.apply(record)
            if decoded.kind is RecordKind.CHECKPOINT:
                self._compare(decoded, log_id)
        except RecordRefusedError as error:
            self.count(error.reason, record.offset, str(error))
        if RefusalReason.LATER_VERSION in self._refusals:
            # This node's state lacks a record, so its digests prove nothing.
            self._prefix.forget_digests()
        # Digests further back than the history are dropped before their use.
        elif self._digests and record.offset + 2 * DIGEST_HISTORY >= end:
            self._prefix.note_digest()

    def _compare(self, record: Record, log_id: str) -> None:
        checkpoint = decode_checkpoint(record, stream=self._stream, log_id=log_id)
        covered = Offset(checkpoint.covered)
        if covered >= record.offset:
            raise RecordRefusedError(
                RefusalReason.MALFORMED, f"checkpoint covers {covered}"
            )
        known = self._prefix.digest_at(covered)
        if known is not None and known != checkpoint.digest:
            self._logger.error(
                "invariant_violated",
                invariant=_FOLDS_AGREE,
                offset=record.offset,
                covered=covered,
                author=record.author,
            )
            if self._violated is not None:
                self._violated(_FOLDS_AGREE)
            raise RecordRefusedError(
                RefusalReason.CHECKPOINT_MISMATCH,
                f"{record.author} folded another state at {covered}",
            )
        if covered > self._checkpoint_covers:
            self._checkpoint_covers = covered
            self._checkpoint_stamp = record.stamp

    def contradicts(self, record: LogRecord) -> bool:
        """Return whether another record was applied at the same offset."""
        if self._last_raw is None or self._last_raw[0] != record.offset:
            return False
        return self._last_raw[1] != hashlib.sha256(record.data).digest()

    def count(self, reason: RefusalReason, offset: Offset, detail: str) -> None:
        """Count a refused record and log its place."""
        self._refusals[reason] += 1
        _REFUSED.labels(self._stream.partition(".")[0], reason.value).inc()
        write = self._logger.info if reason in _EXPECTED else self._logger.warning
        write("record_refused", offset=offset, reason=reason.value, detail=detail)

    def report(self, event: str, **fields: Any) -> None:
        """Write a log event of the stream."""
        self._logger.warning(event, offset=self.offset, **fields)
