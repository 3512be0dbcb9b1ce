"""Signed log records.

Generated from schema/messages/state.toml.
"""

from pomelolug.messages._codec import Message

__all__ = ["Checkpoint", "Envelope", "RecordPayload"]


class Envelope(Message, frozen=True, kw_only=True):
    """Signed container of a record; identical in every schema version."""

    key: str
    """Name of the signing key."""
    payload: bytes
    """Encoded ``RecordPayload``."""
    signature: bytes
    """HMAC-SHA256 over key name and payload."""


class RecordPayload(Message, frozen=True, kw_only=True):
    """Signed part of a record."""

    version: int
    """Schema version of `kind` and `body`."""
    stream: str
    """Stream for which the record was written."""
    kind: str
    """Value of ``RecordKind``."""
    author: str
    """``node:NAME`` or ``operator:NAME``."""
    nonce: bytes
    """16 bytes, unique to the append operation."""
    body: bytes
    """Encoded message."""


class Checkpoint(Message, frozen=True, kw_only=True):
    """Folded state of a prefix of a stream."""

    stream: str
    """Name of the stream."""
    log_id: str
    """Identity of the log."""
    covered: int
    """Last offset that the state includes."""
    nonces: bytes
    """Nonces of the last records of the prefix, 16 bytes each, in log order."""
    state: bytes
    """Serialized state of the fold."""
    digest: bytes
    """SHA-256 over the other fields except `stream` and `log_id`."""
