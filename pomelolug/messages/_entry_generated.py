"""Messages between entry processes on the user's platform.

Generated from schema/messages/entry.toml.
"""

from pomelolug.messages._codec import Message

__all__ = [
    "ColdReport",
    "DispatchEnd",
    "DispatchReply",
    "DispatchRequest",
    "FeedBatch",
    "FeedRecord",
    "LeavingReport",
    "LimitReport",
    "NodeStatus",
]


class LimitReport(Message, frozen=True, kw_only=True):
    """Limit on the requests that a server takes, as it last stated it."""

    rate_per_s: float | None = None
    """Requests per second from all nodes; None if no longer limited."""
    age_s: float
    """Time since the server's response, in seconds."""


class ColdReport(Message, frozen=True, kw_only=True):
    """A server that is cold, so that it bears fewer requests."""

    start_time_ms: int
    """Start of the server, in milliseconds since 1970; 0 if unknown."""
    remaining_s: float
    """Time for which the server stays cold, in seconds."""


class LeavingReport(Message, frozen=True, kw_only=True):
    """A server that has stated that it is about to leave."""

    start_time_ms: int
    """Start of the server, in milliseconds since 1970."""
    age_s: float
    """Time since the server's response, in seconds."""


class NodeStatus(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Status datagram that a node sends to its peers several times a second."""

    node: str
    """Name of the node."""
    started_ms: int
    """Start time of the process, in milliseconds since 1970."""
    serial: int
    """Sequence number of the datagram, to detect late arrivals."""
    zone: str
    """Availability zone of the node."""
    address: str
    """Address at which peers fetch the declaration."""
    datagram: str
    """Address that receives status datagrams."""
    declaration: int
    """Version of the declaration in force; -1 before the first one."""
    serving: bool = False
    """Whether the node has received a request from a caller."""
    stopping: bool = False
    """Whether the node is about to stop."""
    store: bool = True
    """Whether the node can reach the store."""
    relay: bool = False
    """Whether the node is the relay that reads the store for its zone."""
    nodes: int = 0
    """Number of registered nodes in all zones, as known to the node."""
    duty: bool = False
    """Whether the node holds the controller lease, which permits it to form groups."""
    zone_duty: bool = False
    """Whether a node in the relay's zone holds the controller lease."""
    load: dict[str, int] = {}
    """The node's requests in flight, by server."""
    zone_load: dict[str, int] = {}
    """Requests in flight from the relay's whole zone, by server."""
    other_load: dict[str, int] = {}
    """Requests in flight from all other zones as known to the relay, by server."""
    suspects: tuple[str, ...] = ()
    """Group heads whose streams are stalled at the node."""
    zone_suspects: tuple[str, ...] = ()
    """Suspected heads reported in the relay's whole zone."""
    other_suspects: tuple[str, ...] = ()
    """Suspected heads reported in all other zones, as known to the relay."""
    releases: dict[str, float] = {}
    """Seconds since a member left a group with an unresponsive head, by group/epoch."""
    cleared: dict[str, tuple[str, ...]] = {}
    """Losses in `strikes` that turned out to be none, by request fingerprint."""
    strikes: dict[str, tuple[str, ...]] = {}
    """Servers lost while running a request, by request fingerprint."""
    limits: dict[str, LimitReport] = {}
    """Limits that servers stated to the node itself."""
    zone_limits: dict[str, LimitReport] = {}
    """Limits that servers stated in the relay's whole zone."""
    other_limits: dict[str, LimitReport] = {}
    """Limits that servers stated in all other zones, as known to the relay."""
    cold: dict[str, ColdReport] = {}
    """Servers that are cold, as known to the node itself."""
    zone_cold: dict[str, ColdReport] = {}
    """Servers that are cold, as known in the relay's whole zone."""
    other_cold: dict[str, ColdReport] = {}
    """Servers that are cold, as known in all other zones to the relay."""
    speeds: bytes = b""
    """Records of the speed of servers, as seen by the node since its last status."""
    zone_speeds: bytes = b""
    """The same of the relay's whole zone."""
    other_speeds: bytes = b""
    """The same of all other zones, as known to the relay."""
    leaving: dict[str, LeavingReport] = {}
    """Servers that have stated that they are about to leave."""
    evacuated_zones: tuple[str, ...] = ()
    """Zones whose servers get no requests, as of `evacuations_read`."""
    evacuations_read: int = -1
    """Offset up to which the node knows the evacuations; -1 if it has seen none."""
    reaches_servers: bool = True
    """Whether the node reaches backend servers."""
    exits: tuple[str, ...] = ()
    """Datagram addresses of at most 8 exits of the relay's zone."""
    other_exits: tuple[str, ...] = ()
    """The same of all other zones, as known to the relay, at most 12."""
    dispatches: bool = False
    """Whether the node can be the dispatcher of its zone."""
    unassigned: dict[str, int] = {}
    """The node's requests that the zone's dispatcher has not assigned, by server."""
    dispatcher: str = ""
    """Datagram address of the dispatcher of the relay's zone; empty without one."""
    other_dispatchers: dict[str, str] = {}
    """The same of other zones as known to the relay, by zone."""
    peers: tuple[str, ...] = ()
    """Datagram addresses of a sample of other nodes."""


class DispatchRequest(Message, frozen=True, kw_only=True):
    """Question of a node to a dispatcher, which group a stream is to go to."""

    sender: str
    """Datagram address of the node."""
    serial: int
    """Number of the question, unique in the life of the node's process."""
    started_ms: int
    """Start time of the node's process, in milliseconds since 1970."""
    service: str
    """Service of the stream."""
    model: str
    """Model of the stream."""
    prompt_tokens: int
    """Size of the prompt; 0 if unknown."""
    target_s: float
    """Time left to the first event by the latency target, in seconds."""
    account: str = ""
    """Client account of the stream; empty if there is none."""
    urgency: int = 0
    """Urgency of the stream; 0 is the most urgent."""
    excluded: tuple[str, ...] = ()
    """Servers that the node does not send this stream to."""


class DispatchReply(Message, frozen=True, kw_only=True):
    """Answer of a dispatcher."""

    serial: int
    """Number of the question."""
    server: str = ""
    """Head of the assigned group; empty if there is none."""
    load: int = 0
    """Requests at that group before this one."""
    has_groups: bool = True
    """Whether the dispatcher knows open groups; without a server, all are full."""
    started_ms: int = 0
    """Start time of the dispatcher's process, in milliseconds since 1970."""


class DispatchEnd(Message, frozen=True, kw_only=True):
    """Notice of a node to a dispatcher that assigned streams have ended."""

    sender: str
    """Datagram address of the node."""
    started_ms: int
    """Start time of the node's process, in milliseconds since 1970."""
    serials: tuple[int, ...]
    """Numbers of the questions that the streams were assigned to."""


class FeedRecord(Message, frozen=True, kw_only=True):
    """Record of a keyed topic."""

    offset: int
    """Offset of the record in the store."""
    key: str
    """Key of the record."""
    value: bytes | None = None
    """Value of the record; None removes the key."""


class FeedBatch(Message, frozen=True, kw_only=True):
    """Response of a relay to a node that reads records from it."""

    records: tuple[FeedRecord, ...] = ()
    """Records in offset order."""
    end: int
    """Offset at which to continue reading."""
    age_s: float
    """Time since the relay last received data from the store, in seconds."""
    stale: bool = False
    """Whether the relay has lost the store, or waits for it longer than usual."""
    log_end: int | None = None
    """Offset after the last record of the relay, for the pages of a snapshot."""
    more: bool = False
    """Whether the snapshot continues at `end`."""
    lost: bool = False
    """Whether requested records are no longer available."""
