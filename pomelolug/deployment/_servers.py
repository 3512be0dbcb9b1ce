"""Backend servers, as described by the entries that they publish."""

import dataclasses
import datetime
import enum

from pomelolug.ids import DomainId, GroupId, ModelName, ServiceName, VmId, ZoneId

__all__ = ["BackendServer", "GroupMembership", "GroupState", "ServerState"]


class ServerState(enum.Enum):
    """Whether a server accepts new requests."""

    READY = "ready"
    DRAINING = "draining"


class GroupState(enum.Enum):
    """State of a member of a replica group; only the head can be open."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


@dataclasses.dataclass(frozen=True, slots=True)
class GroupMembership:
    """Membership of a server in a replica group.

    The member of rank 0 is the head. `epoch` is the fencing token with which the
    group was formed.
    """

    group: GroupId
    epoch: int
    rank: int
    state: GroupState


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BackendServer:
    """One backend server.

    Parameters
    ----------
    vm : VmId
        VM id; a server may keep its id across a restart.
    start_time_ms : int
        Unix time of the start in milliseconds; differs after a restart.
    service : ServiceName
        Service that the server belongs to.
    address : str
        IP address and port.
    zone, domain : ZoneId, DomainId
        Availability zone and fabric domain of the VM.
    state : ServerState
        Whether the server accepts new requests.
    slots : int
        Number of requests that the server can run concurrently.
    staged : frozenset of ModelName
        Models whose weights are stored on the VM's host.
    model : ModelName or None
        Model that the server's replica group runs.
    membership : GroupMembership or None
        Membership in a replica group.
    cold_for : datetime.timedelta or None
        Time for which the server stays cold, as of its entry; None if the entry does
        not say it. It falls with each renewal, so it is left out of comparisons.
    has_invalid_cold_time : bool
        Whether the entry names a time that is not a number of 0 or more.
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
    cold_for: datetime.timedelta | None = dataclasses.field(default=None, compare=False)
    has_invalid_cold_time: bool = dataclasses.field(default=False, compare=False)
