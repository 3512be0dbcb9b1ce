"""Signed records on the log.

Generated from schema/messages/state.toml.
"""

from pomelolug.messages._codec import Message

__all__ = ["Checkpoint", "Envelope", "RecordPayload"]


class Envelope(Message, frozen=True, kw_only=True):
    """Outer form of a record; the same in every schema version."""

    key: str
    """Name of the key that signed."""
    payload: bytes
    """Encoded ``RecordPayload``."""
    signature: bytes
    """HMAC-SHA256 over key name and payload."""


class RecordPayload(Message, frozen=True, kw_only=True):
    """The signed part of a record."""

    version: int
    """Schema version of kind and body."""
    stream: str
    """Stream that the record was written for."""
    kind: str
    """Value of ``RecordKind``."""
    author: str
    """``node:NAME`` or ``operator:NAME``."""
    nonce: bytes
    """16 bytes, unique to the append."""
    body: bytes
    """Encoded message."""


class Checkpoint(Message, frozen=True, kw_only=True):
    """Folded state of a stream's prefix."""

    stream: str
    """Name of the stream."""
    log_id: str
    """Identity of the log."""
    covered: int
    """Last offset that the state includes."""
    nonces: bytes
    """Last nonces of the prefix, 16 bytes each, in log order."""
    state: bytes
    """Dump of the fold."""
    digest: bytes
    """SHA-256 over the other fields but the stream and log."""
