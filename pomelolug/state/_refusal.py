"""Reasons for refusing a record."""

import enum

from pomelolug.errors import ErrorCode, PomelolugError

__all__ = ["RecordRefusedError", "RefusalReason"]


class RefusalReason(enum.Enum):
    """Reason for which a record was refused."""

    MALFORMED = "malformed"
    BAD_SIGNATURE = "bad_signature"
    UNAUTHORISED = "unauthorised"
    OTHER_STREAM = "other_stream"
    LATER_VERSION = "later_version"
    DUPLICATE = "duplicate"
    VOID = "void"
    FOLD_FAULT = "fold_fault"
    CHECKPOINT_MISMATCH = "checkpoint_mismatch"
    OTHER_LOG = "other_log"
    GAP = "gap"


class RecordRefusedError(PomelolugError):
    """A record or checkpoint was refused.

    Parameters
    ----------
    reason : RefusalReason
        Reason, as counted in the metrics.
    message : str
        Explanation for the program's log.
    """

    def __init__(self, reason: RefusalReason, message: str) -> None:
        super().__init__(ErrorCode.PEER_PROTOCOL, message)
        self._reason = reason

    @property
    def reason(self) -> RefusalReason:
        """Reason for the refusal."""
        return self._reason
