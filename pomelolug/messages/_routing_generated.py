"""Messages between a gateway and the control process of its VM.

Generated from schema/messages/routing.toml.
"""

from pomelolug.messages._codec import Message

__all__ = [
    "DemandReport",
    "Explanation",
    "GroupStatus",
    "RoutingTable",
    "ServiceStatus",
    "StatusBatch",
    "StatusPull",
    "TablePull",
]


class GroupStatus(Message, frozen=True, kw_only=True):
    """Observed state of one replica group."""

    group: str
    """Identifier of the group."""
    pool: str
    """Pool of the group."""
    model: str
    """Model that the group has loaded."""
    zone: str
    """Availability zone."""
    domain: str
    """Fabric domain."""
    token: int
    """Fencing token."""
    phase: str
    """Value of ``GroupPhase``."""
    leader: str
    """IP and port of the member that receives requests."""
    members: tuple[str, ...]
    """VMs of the group."""
    addresses: tuple[str, ...] = ()
    """IP and port of each member, in the order of `members`."""
    verified_age_s: float
    """Age of the oldest verification or of the evidence when sent, in seconds."""
    contradicted: bool = False
    """Whether a member's own response contradicts the group; silence does not count."""
    capacity: int
    """Number of requests that the group can run concurrently."""
    load: int
    """Number of requests running or waiting in the engine."""
    load_age_s: float = 0.0
    """Age of the load report, in seconds."""
    straggler: bool = False
    """Whether the group is slower than its peers."""
    step_time_s: float = 0.0
    """Duration of one decoding step on the slowest member, in seconds."""
    watcher: str = ""
    """Node that observed the group."""


class ServiceStatus(Message, frozen=True, kw_only=True):
    """Status of a backend server of a plain service."""

    service: str
    """Name of the service."""
    vm: str
    """VM of the backend server."""
    zone: str
    """Availability zone."""
    address: str
    """IP and port of the backend server."""
    leaving: bool
    """Whether the backend server is leaving and gets no new requests."""


class RoutingTable(Message, frozen=True, kw_only=True):
    """Complete routing state of a gateway; replaces the previous table."""

    config_version: int
    """Version of the configuration; -1 if none."""
    config: bytes
    """Encoded configuration, empty if unchanged."""
    groups: tuple[GroupStatus, ...]
    """Status of every known group."""
    services: tuple[ServiceStatus, ...] = ()
    """Backend servers of the plain services."""
    nodes_alive: int = 1
    """Number of gateways that share the capacity."""
    share: float = 0.0
    """This gateway's share of each group's slots, 0 to 1; 0 if unknown."""
    share_begin: float = 0.0
    """Start of that share in the unit interval divided among all gateways, 0 to 1."""
    condemned: tuple[bytes, ...] = ()
    """Fingerprints of quarantined requests."""
    echo_s: float = 0.0
    """`sent_at_s` of the newest `TablePull` that the control process has received."""


class TablePull(Message, frozen=True, kw_only=True):
    """Request to the control process for the routing table."""

    sent_at_s: float
    """Monotonic time of the gateway when sent, in seconds."""
    config_version: int
    """Configuration version that the gateway has; -1 if none."""


class DemandReport(Message, frozen=True, kw_only=True):
    """Load that a gateway puts on the groups."""

    gateway: str
    """Identifier of the gateway's node."""
    admitted: int
    """Number of requests admitted since the last report."""
    queued: int
    """Number of requests waiting in the queue."""
    in_flight: int
    """Number of requests in flight."""


class Explanation(Message, frozen=True, kw_only=True):
    """Decisions that a gateway made for one request."""

    request_id: str
    """Identifier of the caller's request."""
    steps: tuple[str, ...]
    """Decisions in chronological order."""


class StatusPull(Message, frozen=True, kw_only=True):
    """Request to a peer for the status of the groups that it knows."""

    sent_at_s: float
    """Monotonic time of the sender when sent, in seconds."""
    known: int = -1
    """`StatusBatch.version` of the last full batch received from this peer."""


class StatusBatch(Message, frozen=True, kw_only=True):
    """Response to a status pull; brief if only ages and loads changed, else full."""

    echo_s: float
    """`sent_at_s` of the pull, which was sent before the response was created."""
    version: int
    """Version that changes whenever more than the age and load of a group changes."""
    statuses: tuple[GroupStatus, ...] = ()
    """Status of all groups, if the pull did not refer to this version."""
    brief: tuple[tuple[int, int, int], ...] = ()
    """Otherwise the fencing token, age in milliseconds and load of each group."""
