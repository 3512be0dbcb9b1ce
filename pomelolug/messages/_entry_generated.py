"""Messages between entry processes on the users' platform.

Generated from schema/messages/entry.toml.
"""

from pomelolug.messages._codec import Message

__all__ = ["FeedBatch", "FeedRecord", "NodeStatus"]


class NodeStatus(Message, frozen=True, kw_only=True):
    """What a node tells its peers, several times a second, in one datagram."""

    node: str
    """Name of the node."""
    started_ms: int
    """Unix time of the process start in milliseconds."""
    serial: int
    """Number of the message; a lower one arrived late."""
    zone: str
    """Availability zone of the node."""
    address: str
    """Address at which peers fetch the declaration."""
    datagram: str
    """Address for these messages."""
    declaration: int
    """Version in force, -1 before the first one."""
    serving: bool = False
    """Whether a caller has sent a request."""
    stopping: bool = False
    """Whether the node is about to stop."""
    store: bool = True
    """Whether the node reaches the store."""
    relay: bool = False
    """Whether the node reads the store for its zone."""
    nodes: int = 0
    """Nodes of all zones that have registered, as far as the node knows."""
    duty: bool = False
    """Whether the node forms groups."""
    zone_duty: bool = False
    """Whether a node of the relay's zone forms groups."""
    load: dict[str, int] = {}
    """Requests of the node in flight, by server."""
    zone_load: dict[str, int] = {}
    """Those of the relay's whole zone."""
    other_load: dict[str, int] = {}
    """Those of all other zones, as the relay knows them."""
    suspects: tuple[str, ...] = ()
    """Heads whose streams stand still at the node."""
    zone_suspects: tuple[str, ...] = ()
    """Those of the relay's whole zone."""
    other_suspects: tuple[str, ...] = ()
    """Those of all other zones, as the relay knows them."""
    releases: dict[str, float] = {}
    """Seconds since a member left a group with a silent head, by group/epoch."""
    strikes: dict[str, tuple[str, ...]] = {}
    """Servers lost with a request, by its fingerprint."""
    peers: tuple[str, ...] = ()
    """Datagram addresses of some other nodes."""


class FeedRecord(Message, frozen=True, kw_only=True):
    """One record of a keyed topic."""

    offset: int
    """Offset in the store."""
    key: str
    """Key."""
    value: bytes | None = None
    """Value; without one the key is dropped."""


class FeedBatch(Message, frozen=True, kw_only=True):
    """A relay's answer to a node that reads records from it."""

    records: tuple[FeedRecord, ...] = ()
    """Records in the order of their offsets."""
    end: int
    """Offset from which to read on."""
    age_s: float
    """Time since the relay heard the store, in seconds."""
    more: bool = False
    """Whether a snapshot goes on from `end`."""
    lost: bool = False
    """Whether requested records are no longer kept."""
