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
    """IP and port of the member that takes requests."""
    members: tuple[str, ...]
    """VMs of the group."""
    addresses: tuple[str, ...] = ()
    """IP and port of each member, in the order of ``members``."""
    verified_age_s: float
    """Age when sent, seconds: of the oldest verification, or of the evidence."""
    contradicted: bool = False
    """Whether a member's own answer speaks against the group, not only its silence."""
    capacity: int
    """Requests that the group runs at once."""
    load: int
    """Requests running and waiting in the engine."""
    load_age_s: float = 0.0
    """Age of the load report, seconds."""
    straggler: bool = False
    """Whether the group is slower than its peers."""
    step_time_s: float = 0.0
    """Time of one decoding step of the slowest member, seconds."""
    watcher: str = ""
    """Node that observed the group."""


class ServiceStatus(Message, frozen=True, kw_only=True):
    """One backend server of a plain service."""

    service: str
    """Name of the service."""
    vm: str
    """VM of the backend server."""
    zone: str
    """Availability zone."""
    address: str
    """IP and port."""
    leaving: bool
    """Whether the backend server gets no new work."""


class RoutingTable(Message, frozen=True, kw_only=True):
    """All that a gateway needs for routing; replaces the previous table."""

    config_version: int
    """Version of the configuration; -1 if none."""
    config: bytes
    """Encoded configuration, empty if unchanged."""
    groups: tuple[GroupStatus, ...]
    """Status of every known group."""
    services: tuple[ServiceStatus, ...] = ()
    """Backend servers of the plain services."""
    nodes_alive: int = 1
    """Gateways that share the capacity."""
    share: float = 0.0
    """This gateway's part of every group's slots, 0 to 1; 0 if not known."""
    share_begin: float = 0.0
    """Start of that part on the line of all gateways, 0 to 1."""
    condemned: tuple[bytes, ...] = ()
    """Fingerprints of quarantined requests."""
    echo_s: float = 0.0
    """Gateway's clock in the newest `TablePull` that control has received."""


class TablePull(Message, frozen=True, kw_only=True):
    """Asks control for the routing table."""

    sent_at_s: float
    """Gateway's monotonic clock when sent, seconds."""
    config_version: int
    """Configuration version that the gateway has; -1 if none."""


class DemandReport(Message, frozen=True, kw_only=True):
    """What a gateway asks of the groups."""

    gateway: str
    """Identifier of the gateway's node."""
    admitted: int
    """Requests admitted since the last report."""
    queued: int
    """Requests waiting now."""
    in_flight: int
    """Requests in flight now."""


class Explanation(Message, frozen=True, kw_only=True):
    """What a gateway decided for one request."""

    request_id: str
    """Identifier of the caller's request."""
    steps: tuple[str, ...]
    """Decisions in order."""


class StatusPull(Message, frozen=True, kw_only=True):
    """Asks a peer for the groups that it knows."""

    sent_at_s: float
    """Sender's monotonic clock when sent, seconds."""
    known: int = -1
    """`StatusBatch.version` of the last full batch from this peer."""


class StatusBatch(Message, frozen=True, kw_only=True):
    """Answer to a status pull; full, or brief if nothing but age and load changed."""

    echo_s: float
    """`sent_at_s` of the pull; the answer was made after it."""
    version: int
    """Changes whenever more than age and load of a group changes."""
    statuses: tuple[GroupStatus, ...] = ()
    """All groups, if the pull did not know this version."""
    brief: tuple[tuple[int, int, int], ...] = ()
    """Fencing token, age in milliseconds and load of each group, else."""
