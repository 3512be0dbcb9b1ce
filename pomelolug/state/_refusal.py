"""Reasons for which a record is not applied."""

import enum

from pomelolug.errors import ErrorCode, PomelolugError

__all__ = ["RecordRefusedError", "RefusalReason"]


class RefusalReason(enum.Enum):
    """Why a record was not applied."""

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
    """A record is not acceptable.

    Parameters
    ----------
    reason : RefusalReason
        Label of the counter.
    message : str
        One sentence for the log.
    """

    def __init__(self, reason: RefusalReason, message: str) -> None:
        super().__init__(ErrorCode.PEER_PROTOCOL, message)
        self._reason = reason

    @property
    def reason(self) -> RefusalReason:
        """Why the record was refused."""
        return self._reason
