"""Messages between a gateway and the control process of its VM.

Generated from schema/messages/routing.toml.
"""

from pomelolug.messages._codec import Message

__all__ = ["DemandReport", "GroupStatus", "RoutingTable", "ServiceStatus"]


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
    verified_age_s: float
    """Age of the oldest member verification when sent, seconds."""
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
    condemned: tuple[bytes, ...] = ()
    """Fingerprints of quarantined requests."""


class DemandReport(Message, frozen=True, kw_only=True):
    """Demand that a gateway saw since its last report."""

    gateway: str
    """Identifier of the gateway's node."""
    admitted: int
    """Requests admitted."""
    queued: int
    """Requests waiting now."""
    in_flight: int
    """Requests in flight now."""
