"""Backend servers as they describe themselves."""

import dataclasses
import enum

from pomelolug.ids import DomainId, GroupId, ModelName, ServiceName, VmId, ZoneId

__all__ = ["BackendServer", "GroupMembership", "GroupState", "ServerState"]


class ServerState(enum.Enum):
    """Whether a server takes work."""

    READY = "ready"
    DRAINING = "draining"


class GroupState(enum.Enum):
    """State of a member of a replica group; open only on the head."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


@dataclasses.dataclass(frozen=True, slots=True)
class GroupMembership:
    """Membership of a server; rank 0 is the head.

    `epoch` is the fencing token of the formation.
    """

    group: GroupId
    epoch: int
    rank: int
    state: GroupState


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BackendServer:
    """One server.

    Parameters
    ----------
    vm : VmId
        Id; a restarted server may have the id that it had before.
    start_time_ms : int
        Unix time of its start in milliseconds; differs after a restart.
    service : ServiceName
        Service it belongs to.
    address : str
        IP address and port.
    zone, domain : ZoneId, DomainId
        Availability zone and fabric domain.
    state : ServerState
        Whether it takes work.
    slots : int
        Requests that it runs at once.
    staged : frozenset of ModelName
        Models whose weights are on its host.
    model : ModelName or None
        Model that its group runs.
    membership : GroupMembership or None
        Its replica group.
    """

    vm: VmId
    start_time_ms: int
    service: ServiceName
    address: str
    zone: ZoneId
    domain: DomainId
    state: ServerState
    slots: int
    staged: frozenset[ModelName]
    model: ModelName | None
    membership: GroupMembership | None
