"""Replica groups, their phases and their limits."""

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
    """Phase of a replica group, as its watchers observe it."""

    FORMING = "forming"
    LOADING = "loading"
    SERVING = "serving"
    BROKEN = "broken"
    DRAINING = "draining"
    DISSOLVED = "dissolved"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """A VM of a group and the incarnation that its backend server had."""

    vm: VmId
    incarnation: Incarnation


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Group:
    """A live group of the fold.

    Parameters
    ----------
    id : GroupId
        Identifier; a repair keeps it and gives a new token.
    pool, model, version, adapters, role
        What the members load and serve.
    members : tuple of Member
        Members in rank order; the first is the leader.
    token : FencingToken
        Offset of the formation record.
    zone, domain
        Place of all members.
    inherited : frozenset of VmId
        Members that had belonged to a group before this formation.
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
        """Return whether the group serves what `pool` declares."""
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
    """Durations and counts of group watching and control.

    Parameters
    ----------
    verify_every : datetime.timedelta
        Time between two read-backs of a member.
    verify_timeout : datetime.timedelta
        Longest wait for one read-back. Two of them and `verify_every` stay
        below the detection bound of 3 s.
    lease : datetime.timedelta
        How long a verification or a log read counts.
    pause_bound : datetime.timedelta
        Longest pause between the last lease check and the packet.
    order_bound : datetime.timedelta
        Longest time that an order is under way.
    step_every : datetime.timedelta
        Time between two steps of a controller.
    dead_after : datetime.timedelta
        Silence after which a member is replaced rather than awaited, unless
        a watcher still verifies the group. Measured in
        docs/decisions/formation-policy.md.
    load_slots : int
        Groups of the fleet that load from the weight store at once. One at a
        time returns the first group sooner than an equal division of the rate.
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
        """Time after which no order or request of a former owner can arrive."""
        return self.lease + self.pause_bound + self.order_bound


def group_from_record(
    record: Formation, *, token: FencingToken, inherited: frozenset[VmId]
) -> Group:
    """Return the group that an accepted formation record describes."""
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
