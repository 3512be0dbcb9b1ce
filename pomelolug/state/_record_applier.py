"""Application of records to a fold, with verification of checkpoints."""

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
from pomelolug.state._prefix import MAX_DIGESTS, AppliedPrefix
from pomelolug.state._refusal import RecordRefusedError, RefusalReason

__all__ = ["RecordApplier"]

_REFUSED = Counter(
    "pomelolug_records_refused_total",
    "Log records that were not applied, by stream family and reason.",
    ["stream", "reason"],
)
_FOLDS_AGREE = "folds_agree"
# Void and duplicate records are normal results of concurrent appends.
_EXPECTED = frozenset({RefusalReason.VOID, RefusalReason.DUPLICATE})


class RecordApplier:
    """Applies the records of one stream and counts refusals.

    Parameters
    ----------
    stream : str
        Name of the stream.
    fold : Fold
        State without any record applied.
    keyring : KeyRing
        Accepted keys.
    keep_digests : bool
        Whether digests are kept for comparison with checkpoints.
    on_violation : callable, optional
        Called with the name of a violated invariant.
    """

    def __init__(
        self,
        *,
        stream: str,
        fold: Fold,
        keyring: KeyRing,
        keep_digests: bool,
        on_violation: Callable[[str], None] | None = None,
    ) -> None:
        self._stream = stream
        self._fold = fold
        self._prefix = AppliedPrefix(stream=stream, fold=fold, keyring=keyring)
        self._keep_digests = keep_digests
        self._on_violation = on_violation
        self._refusals: collections.Counter[RefusalReason] = collections.Counter()
        self._last_record_hash: tuple[Offset, bytes] | None = None
        self._covered_offset = Offset(-1)
        self._checkpoint_timestamp: datetime.datetime | None = None
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
        """Last applied offset, -1 if there is none."""
        return self._prefix.offset

    @property
    def refusals(self) -> Mapping[RefusalReason, int]:
        """Records that were not applied, by reason."""
        return self._refusals

    @property
    def covered_offset(self) -> Offset:
        """Offset that the latest checkpoint covers, -1 without one."""
        return self._covered_offset

    @property
    def checkpoint_timestamp(self) -> datetime.datetime | None:
        """Log time of the latest checkpoint, else of the first record read."""
        return self._checkpoint_timestamp

    def skip_to(self, offset: Offset) -> None:
        """Skip all records before `offset`."""
        self._prefix.skip_to(offset)

    def checkpoint(self, log_id: str) -> Checkpoint:
        """Return the checkpoint of the present state."""
        return self._prefix.checkpoint(log_id)

    def restore(self, checkpoint: Checkpoint) -> bool:
        """Restore the state from `checkpoint`; return whether this succeeded."""
        if self.offset >= 0:
            raise ValueError("a checkpoint never replaces applied records")
        covered = Offset(checkpoint.covered)
        try:
            self._prefix.restore(checkpoint)
        except Exception as error:
            self.count_refusal(RefusalReason.MALFORMED, covered, f"checkpoint: {error}")
            return False
        self.log_event("checkpoint_restored", covered=covered)
        return True

    def apply(self, record: LogRecord, log_id: str, end: Offset) -> None:
        """Apply the next record; `end` is the known end of the stream."""
        if self._checkpoint_timestamp is None:
            self._checkpoint_timestamp = record.timestamp
        self._last_record_hash = record.offset, hashlib.sha256(record.data).digest()
        try:
            decoded = self._prefix.apply(record)
            if decoded.kind is RecordKind.CHECKPOINT:
                self._check_checkpoint(decoded, log_id)
        except RecordRefusedError as error:
            self.count_refusal(error.reason, record.offset, str(error))
        if RefusalReason.LATER_VERSION in self._refusals:
            # The state lacks a record of a later version, so that its digests
            # cannot be compared with checkpoints.
            self._prefix.clear_digests()
        # Digests of records further from the end would be evicted before use.
        elif self._keep_digests and record.offset + 2 * MAX_DIGESTS >= end:
            self._prefix.store_digest()

    def _check_checkpoint(self, record: Record, log_id: str) -> None:
        checkpoint = decode_checkpoint(record, stream=self._stream, log_id=log_id)
        covered = Offset(checkpoint.covered)
        if covered >= record.offset:
            raise RecordRefusedError(
                RefusalReason.MALFORMED, f"checkpoint covers {covered}"
            )
        own_digest = self._prefix.digest_at(covered)
        if own_digest is not None and own_digest != checkpoint.digest:
            self._logger.error(
                "invariant_violated",
                invariant=_FOLDS_AGREE,
                offset=record.offset,
                covered=covered,
                author=record.author,
            )
            if self._on_violation is not None:
                self._on_violation(_FOLDS_AGREE)
            raise RecordRefusedError(
                RefusalReason.CHECKPOINT_MISMATCH,
                f"{record.author} has a different state at offset {covered}",
            )
        if covered > self._covered_offset:
            self._covered_offset = covered
            self._checkpoint_timestamp = record.timestamp

    def is_contradicted_by(self, record: LogRecord) -> bool:
        """Return whether a different record was applied at the same offset."""
        if self._last_record_hash is None or self._last_record_hash[0] != record.offset:
            return False
        return self._last_record_hash[1] != hashlib.sha256(record.data).digest()

    def count_refusal(self, reason: RefusalReason, offset: Offset, detail: str) -> None:
        """Count and log a refused record."""
        self._refusals[reason] += 1
        _REFUSED.labels(self._stream.partition(".")[0], reason.value).inc()
        write = self._logger.info if reason in _EXPECTED else self._logger.warning
        write("record_refused", offset=offset, reason=reason.value, detail=detail)

    def log_event(self, event: str, **fields: Any) -> None:
        """Log a warning event with the stream and offset."""
        self._logger.warning(event, offset=self.offset, **fields)
