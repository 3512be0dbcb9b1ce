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
    """Which shared key the sender's proof uses."""
    challenge: bytes
    """16 random bytes that enter both proofs."""
    region: str = ""
    """Region of the sender."""
    address: str = ""
    """IP and port of the sender's control process."""


class Proof(Message, frozen=True, kw_only=True):
    """Second message in each direction; proves knowledge of the named key."""

    mac: bytes
    """HMAC-SHA256 over the sender's side and both hello messages."""


class KeepAlive(Message, frozen=True, kw_only=True):
    """Sent on a connection that has nothing else to send."""


class Heartbeat(Message, frozen=True, kw_only=True):
    """What is known of one node; the sender's own entry or a relayed one."""

    node: str
    """The node."""
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
    """Connections between sender and node; -1 if the node is silent."""
    age_ms: int = 0
    """Milliseconds since the node was heard, if it is silent."""


class VersionUpdate(Message, frozen=True, kw_only=True):
    """Nodes whose versions changed to the same values."""

    config_version: int
    """Configuration version in force."""
    groups_offset: int
    """Last applied offset of the groups stream."""
    nodes: tuple[int, ...]
    """Numbers of the nodes, in order of their first entry on the connection."""


class Digest(Message, frozen=True, kw_only=True):
    """Sign of life; renews each entry last sent with a distance from 0 on."""

    entries: tuple[Heartbeat, ...] = ()
    """Entries that changed since the last digest on the connection."""
    updates: tuple[VersionUpdate, ...] = ()
    """Changes of the versions alone."""


class Relay(Message, frozen=True, kw_only=True):
    """A message to a node without a direct connection, or to all nodes."""

    origin: str
    """Node that sent the message."""
    target: str = ""
    """Node that gets the message; empty for all."""
    serial: int
    """Number of the message at its origin, for duplicate suppression."""
    hops: int
    """How many more nodes may forward the message."""
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


class Suspicion(Message, frozen=True, kw_only=True):
    """Streams broke on a group; it is not known yet whether the group is lost."""

    node: str
    """Reporting node."""
    group: str
    """Group on which the streams broke."""
    token: int
    """Fencing token of the group."""
    fingerprints: tuple[bytes, ...]
    """Fingerprints of the requests whose streams broke, at most 256."""
