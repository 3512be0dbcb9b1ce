"""Messages between control processes.

Generated from schema/messages/peer.toml.
"""

from pomelolug.messages._codec import Message

__all__ = ["Heartbeat", "Hello", "LossReport", "RecordsRequest", "StreamRecords"]


class Hello(Message, frozen=True, kw_only=True):
    """First message of a connection; proves knowledge of a named key."""

    protocol: int
    """Protocol version."""
    node: str
    """Identifier of the sender."""
    role: str
    """``control``, ``gateway`` or ``operator``."""
    incarnation: int
    """Incarnation of the sender."""
    zone: str
    """Availability zone of the sender."""
    key_name: str
    """Which shared key the proof uses."""
    challenge: bytes
    """16 random bytes that the other side has to sign."""
    proof: bytes = b""
    """HMAC-SHA256 over the other side's challenge and the sender's identity."""


class Heartbeat(Message, frozen=True, kw_only=True):
    """Sign of life, once a second on each peer connection."""

    node: str
    """Identifier of the sender."""
    incarnation: int
    """Incarnation of the sender."""
    zone: str
    """Availability zone of the sender."""
    address: str = ""
    """IP and port of the sender's control process."""
    config_version: int = -1
    """Configuration version in force; -1 if none."""
    groups_offset: int = -1
    """Last applied offset of the groups stream."""
    suspects: tuple[str, ...] = ()
    """Nodes that the sender suspects."""


class StreamRecords(Message, frozen=True, kw_only=True):
    """Signed log records relayed to a peer that cannot reach the log."""

    stream: str
    """Name of the stream."""
    log_id: str
    """Identity of the log."""
    first_offset: int
    """Offset of the first record."""
    stamps_ms: tuple[int, ...]
    """Log time stamp of each record, milliseconds since 1970."""
    records: tuple[bytes, ...]
    """Encoded envelopes in log order."""
    checkpoint: bytes = b""
    """Signed checkpoint that ends before the first record, or empty."""
    end: int = -1
    """Offset after the last record that the sender has applied; -1 if unknown."""


class RecordsRequest(Message, frozen=True, kw_only=True):
    """Asks a peer for records of a stream."""

    stream: str
    """Name of the stream."""
    from_offset: int
    """First offset wanted."""


class LossReport(Message, frozen=True, kw_only=True):
    """A group was lost while requests were in flight on it."""

    loss_id: str
    """Identifier of the loss: group, token and reporting node."""
    node: str
    """Reporting node."""
    group: str
    """Lost group."""
    domain: str
    """Fabric domain of the group."""
    token: int
    """Fencing token of the group."""
    fingerprints: tuple[bytes, ...]
    """Fingerprints of the requests in flight, at most 256."""
    solo: bool = False
    """Whether exactly one struck request was in flight."""
