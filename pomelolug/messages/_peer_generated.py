"""Messages between control processes.

Generated from schema/messages/peer.toml.
"""

from pomelolug.messages._codec import Message

__all__ = [
    "Digest",
    "Heartbeat",
    "Hello",
    "KeepAlive",
    "LossReport",
    "Proof",
    "RecordsRequest",
    "Relay",
    "StreamRecords",
    "Suspicion",
    "VersionUpdate",
]


class Hello(Message, frozen=True, kw_only=True):
    """First message in each direction of a connection."""

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
    """Name of the shared key that the sender's proof uses."""
    challenge: bytes
    """16 random bytes that both proofs cover."""
    region: str = ""
    """Region of the sender."""
    address: str = ""
    """IP and port of the sender's control process."""


class Proof(Message, frozen=True, kw_only=True):
    """Second message in each direction; proves knowledge of the named key."""

    mac: bytes
    """HMAC-SHA256 over the sender's side of the connection and both hello messages."""


class KeepAlive(Message, frozen=True, kw_only=True):
    """Message sent on a connection that is otherwise idle."""


class Heartbeat(Message, frozen=True, kw_only=True):
    """Liveness and versions of one node; the sender's own or relayed ones."""

    node: str
    """Identifier of the node."""
    incarnation: int
    """Incarnation of the node."""
    zone: str
    """Availability zone of the node."""
    region: str = ""
    """Region of the node."""
    address: str = ""
    """IP and port of the node's control process."""
    config_version: int = -1
    """Configuration version in force; -1 if none."""
    groups_offset: int = -1
    """Last applied offset of the groups stream."""
    distance: int = 0
    """Number of connections between sender and node; -1 if the node is silent."""
    age_ms: int = 0
    """Milliseconds since the node was last known to be alive, if it is silent."""


class VersionUpdate(Message, frozen=True, kw_only=True):
    """Version change that applies to several nodes."""

    config_version: int
    """Configuration version in force."""
    groups_offset: int
    """Last applied offset of the groups stream."""
    nodes: tuple[int, ...]
    """Numbers of the nodes, in order of their first entries on the connection."""


class Digest(Message, frozen=True, kw_only=True):
    """Periodic liveness message; renews each entry last sent with a distance >= 0."""

    entries: tuple[Heartbeat, ...] = ()
    """Entries that changed since the last digest on the connection."""
    updates: tuple[VersionUpdate, ...] = ()
    """Entries of which only the versions changed."""


class Relay(Message, frozen=True, kw_only=True):
    """Message forwarded to a node without a direct connection, or to all nodes."""

    origin: str
    """Node that sent the message."""
    target: str = ""
    """Destination node; empty for all nodes."""
    serial: int
    """Sequence number assigned by the origin, for duplicate suppression."""
    hops: int
    """Number of further nodes that may forward the message."""
    payload: bytes
    """Encoded message."""


class StreamRecords(Message, frozen=True, kw_only=True):
    """Signed log records relayed to a peer that cannot reach the log."""

    stream: str
    """Name of the stream."""
    log_id: str
    """Identity of the log."""
    first_offset: int
    """Offset of the first record."""
    stamps_ms: tuple[int, ...]
    """Log timestamp of each record, in milliseconds since 1970."""
    records: tuple[bytes, ...]
    """Encoded envelopes in log order."""
    checkpoint: bytes = b""
    """Signed checkpoint that ends before the first record, or empty."""
    end: int = -1
    """Offset after the last record that the sender has applied; -1 if unknown."""


class RecordsRequest(Message, frozen=True, kw_only=True):
    """Request to a peer for records of a stream."""

    stream: str
    """Name of the stream."""
    from_offset: int
    """Offset of the first requested record."""


class LossReport(Message, frozen=True, kw_only=True):
    """Report that a group was lost while requests were in flight on it."""

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
    """Whether exactly one request that already had a strike was in flight."""


class Suspicion(Message, frozen=True, kw_only=True):
    """Report of broken streams on a group that may or may not be lost."""

    node: str
    """Reporting node."""
    group: str
    """Group on which the streams broke."""
    token: int
    """Fencing token of the group."""
    fingerprints: tuple[bytes, ...]
    """Fingerprints of the requests whose streams broke, at most 256."""
