"""Checkpoints: the fold's state after a prefix of the stream, with a digest."""

import hashlib
from collections.abc import Iterable

from pomelolug.errors import PeerError
from pomelolug.ids import Offset
from pomelolug.messages import Checkpoint, decode
from pomelolug.state._envelope import NONCE_BYTES
from pomelolug.state._fold import Record
from pomelolug.state._refusal import RecordRefusedError, RefusalReason

__all__ = ["decode_checkpoint", "make_checkpoint", "split_nonces", "state_digest"]

_CONTEXT = b"pomelolug-checkpoint\0"
_OFFSET_BYTES = 8


def state_digest(covered: Offset, nonces: bytes, state: bytes) -> bytes:
    """Return the SHA-256 digest, equal for all readers of the same prefix."""
    digest = hashlib.sha256(_CONTEXT)
    digest.update(covered.to_bytes(_OFFSET_BYTES, "big"))
    digest.update(hashlib.sha256(nonces).digest())
    digest.update(hashlib.sha256(state).digest())
    return digest.digest()


def make_checkpoint(
    *, stream: str, log_id: str, covered: Offset, nonces: Iterable[bytes], state: bytes
) -> Checkpoint:
    """Return the checkpoint of a prefix; it depends on the prefix alone."""
    joined = b"".join(nonces)
    return Checkpoint(
        stream=stream,
        log_id=log_id,
        covered=covered,
        nonces=joined,
        state=state,
        digest=state_digest(covered, joined, state),
    )


def decode_checkpoint(record: Record, *, stream: str, log_id: str) -> Checkpoint:
    """Return the checkpoint in `record`.

    Raises
    ------
    RecordRefusedError
        If the checkpoint is malformed, does not match its digest, or belongs
        to another stream or log.
    """
    try:
        checkpoint = decode(record.body, Checkpoint)
    except PeerError as error:
        raise RecordRefusedError(RefusalReason.MALFORMED, str(error)) from error
    if checkpoint.stream != stream:
        raise RecordRefusedError(
            RefusalReason.OTHER_STREAM, "checkpoint of another stream"
        )
    if checkpoint.log_id != log_id:
        raise RecordRefusedError(RefusalReason.OTHER_LOG, "checkpoint of another log")
    is_well_formed = (
        checkpoint.covered >= 0 and len(checkpoint.nonces) % NONCE_BYTES == 0
    )
    if not is_well_formed or checkpoint.digest != state_digest(
        Offset(checkpoint.covered), checkpoint.nonces, checkpoint.state
    ):
        raise RecordRefusedError(
            RefusalReason.MALFORMED, "checkpoint does not match its digest"
        )
    return checkpoint


def split_nonces(joined: bytes) -> list[bytes]:
    """Return the nonces of a checkpoint in log order."""
    starts = range(0, len(joined), NONCE_BYTES)
    return [joined[start : start + NONCE_BYTES] for start in starts]
