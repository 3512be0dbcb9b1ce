"""Replica groups, their members, phases and time limits."""

import dataclasses
import datetime
import enum

from pomelolug.configuration import Pool
from pomelolug.ids import (
    DomainId,
    FencingToken,
    GroupId,
    Incarnation,
    ModelName,
    PoolId,
    VmId,
    ZoneId,
)
from pomelolug.messages import Formation

__all__ = ["Group", "GroupLimits", "GroupPhase", "Member", "group_from_record"]


class GroupPhase(enum.Enum):
    """Phase of a replica group as reported by its watchers."""

    FORMING = "forming"
    LOADING = "loading"
    SERVING = "serving"
    BROKEN = "broken"
    DRAINING = "draining"
    DISSOLVED = "dissolved"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """A VM of a group and the incarnation of its backend server at formation."""

    vm: VmId
    incarnation: Incarnation


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Group:
    """A live replica group, as derived from the groups stream.

    Parameters
    ----------
    id : GroupId
        Identifier. A repair keeps it and assigns a new token.
    pool, model, version, adapters, role
        Pool of the group and the model configuration that its members serve.
    members : tuple of Member
        Members in rank order; the first is the leader.
    token : FencingToken
        Fencing token: the offset of the formation record.
    zone, domain
        Availability zone and fabric domain of all members.
    inherited : frozenset of VmId
        Members for which the groups stream has a record before this formation.
        A former group may still send them orders or requests.
    """

    id: GroupId
    pool: PoolId
    model: ModelName
    version: str
    members: tuple[Member, ...]
    token: FencingToken
    zone: ZoneId
    domain: DomainId
    adapters: tuple[str, ...] = ()
    role: str = "both"
    inherited: frozenset[VmId] = frozenset()

    @property
    def vms(self) -> tuple[VmId, ...]:
        """VMs of the members in rank order."""
        return tuple(member.vm for member in self.members)

    def matches(self, pool: Pool) -> bool:
        """Return whether the group has the model and size that `pool` declares."""
        served = (self.model, self.version, self.adapters, self.role, len(self.members))
        return served == (
            pool.model,
            pool.version,
            pool.adapters,
            pool.role,
            pool.members,
        )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GroupLimits:
    """Time limits and counts for watching and controlling groups.

    Parameters
    ----------
    verify_every : datetime.timedelta
        Interval between two status probes of a member.
    verify_timeout : datetime.timedelta
        Timeout of one status probe. Two timeouts and `verify_every` together
        stay below the detection bound of 3 s.
    lease : datetime.timedelta
        Limit of two ages: that of a group's verification, as the watchers judge it,
        and that of the newest complete log read, which permits orders. Gateways
        have a setting of their own for the age of the verification.
    pause_bound : datetime.timedelta
        Longest assumed pause between the lease check and sending the packet.
    order_bound : datetime.timedelta
        Timeout of an order, and longest assumed time until it arrives.
    step_every : datetime.timedelta
        Interval between two control steps, before jitter.
    dead_after : datetime.timedelta
        Time without a response after which a member is replaced instead of
        waited for, unless a watcher still reports the group as serving.
        Measurements: docs/decisions/formation-policy.md.
    load_slots : int
        Groups of the fleet that may load from the weight store at once. With
        one at a time the first group serves sooner than if all loads share the
        rate equally.
    """

    verify_every: datetime.timedelta = datetime.timedelta(seconds=1)
    verify_timeout: datetime.timedelta = datetime.timedelta(seconds=0.8)
    lease: datetime.timedelta = datetime.timedelta(seconds=3)
    pause_bound: datetime.timedelta = datetime.timedelta(seconds=2)
    order_bound: datetime.timedelta = datetime.timedelta(seconds=1)
    step_every: datetime.timedelta = datetime.timedelta(seconds=1)
    dead_after: datetime.timedelta = datetime.timedelta(seconds=2)
    load_slots: int = 1

    @property
    def successor_wait(self) -> datetime.timedelta:
        """Wait after which no order or request of a former owner can arrive."""
        return self.lease + self.pause_bound + self.order_bound


def group_from_record(
    record: Formation, *, token: FencingToken, inherited: frozenset[VmId]
) -> Group:
    """Return the group described by a valid formation record."""
    return Group(
        id=GroupId(record.group),
        pool=PoolId(record.pool),
        model=ModelName(record.model),
        version=record.version,
        members=tuple(
            Member(vm=VmId(m.vm), incarnation=Incarnation(m.incarnation))
            for m in record.members
        ),
        token=token,
        zone=ZoneId(record.zone),
        domain=DomainId(record.domain),
        adapters=record.adapters,
        role=record.role,
        inherited=inherited,
    )
