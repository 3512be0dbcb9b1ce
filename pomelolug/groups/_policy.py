"""Formation policies, which are pure functions of a snapshot."""

import abc
import dataclasses
import functools
from collections.abc import Callable, Iterable, Sequence

from pomelolug.configuration import Pool
from pomelolug.groups._group import Group, Member
from pomelolug.ids import DomainId, GroupId, Incarnation, VmId, ZoneId

__all__ = [
    "BestFitWithSpare",
    "DissolveProposal",
    "FirstFit",
    "FormProposal",
    "FormationPolicy",
    "FormationSnapshot",
    "Proposal",
    "RepairInPlace",
    "VmView",
]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VmView:
    """What a formation policy needs to know about one VM.

    `is_usable` tells whether the VM may join a group now: it responds, is neither
    leaving nor being drained, and its entries in the VM list agree.
    `held_models` names the models whose weights it has. `is_listed` tells whether
    the platform's VM list still contains it.
    """

    vm: VmId
    zone: ZoneId
    domain: DomainId
    incarnation: Incarnation
    is_usable: bool
    held_models: frozenset[str] = frozenset()
    is_listed: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FormationSnapshot:
    """Input of a formation policy.

    Parameters
    ----------
    vms : sequence of VmView
        VMs of the fabric domains that the caller controls.
    groups : sequence of Group
        Live groups in these domains.
    broken : frozenset of GroupId
        Groups that cannot serve again without a new formation because a member
        is lost, and the groups of `retired`.
    pools : sequence of Pool
        Declared pools.
    retired : frozenset of GroupId
        Groups that have been drained for a planned change and are idle.
    """

    vms: Sequence[VmView]
    groups: Sequence[Group]
    broken: frozenset[GroupId]
    pools: Sequence[Pool]
    retired: frozenset[GroupId] = frozenset()

    def domains(self) -> list[DomainId]:
        """Return the fabric domains, sorted."""
        return sorted({vm.domain for vm in self.vms})

    def free_vms(self, domain: DomainId) -> list[VmView]:
        """Return the usable VMs of a domain that are in no group, sorted by id."""
        owned = {vm for group in self.groups for vm in group.vms}
        free_vms = [
            v
            for v in self.vms
            if v.is_usable and v.domain == domain and v.vm not in owned
        ]
        return sorted(free_vms, key=lambda view: view.vm)

    def broken_groups(self, domain: DomainId) -> list[Group]:
        """Return the groups of `broken` in a domain, sorted by id.

        They include the groups of `retired`, which may have lost no member.
        """
        groups = [g for g in self.groups if g.id in self.broken and g.domain == domain]
        return sorted(groups, key=lambda group: group.id)

    def survivors(self, group: Group) -> list[VmView]:
        """Return the usable VMs of a group in rank order."""
        views = {view.vm: view for view in self.vms if view.is_usable}
        return [views[vm] for vm in group.vms if vm in views]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FormProposal:
    """Proposal to form a group of `members` that replaces the groups `replaces`."""

    group: GroupId
    pool: Pool
    members: tuple[Member, ...]
    zone: ZoneId
    domain: DomainId
    replaces: tuple[GroupId, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DissolveProposal:
    """Proposal to dissolve a group."""

    group: Group
    reason: str


Proposal = FormProposal | DissolveProposal


class FormationPolicy(abc.ABC):
    """Decides which groups to form, repair and dissolve."""

    @abc.abstractmethod
    def propose(self, snapshot: FormationSnapshot) -> list[Proposal]:
        """Return proposals of which no two use the same VM or end the same group.

        The result must depend only on the snapshot.
        """


class FirstFit(FormationPolicy):
    """Dissolves broken groups and forms groups of free VMs in the order of ids.

    A fabric domain gets no new groups while a group of it is broken.
    """

    def propose(self, snapshot: FormationSnapshot) -> list[Proposal]:
        """Return the dissolutions or else the formations of each domain."""
        group_ids = _GroupIdAllocator(snapshot)
        proposals: list[Proposal] = []
        for domain in snapshot.domains():
            broken_groups = snapshot.broken_groups(domain)
            if broken_groups:
                proposals += [_propose_dissolution(group) for group in broken_groups]
                continue
            free_vms = snapshot.free_vms(domain)
            proposals += _propose_groups(snapshot, group_ids, free_vms, sort_key=_by_id)
        return proposals


class BestFitWithSpare(FormationPolicy):
    """Prefers VMs that hold the weights of the model and keeps spare VMs free.

    A broken group is repaired with free VMs if there are enough, and dissolved
    otherwise so that its VMs can join another group.

    Parameters
    ----------
    spares : int
        VMs of a fabric domain that new groups leave free, once the domain has a
        group.
    """

    def __init__(self, *, spares: int = 1) -> None:
        self._spares = spares

    def propose(self, snapshot: FormationSnapshot) -> list[Proposal]:
        """Return the repairs and dissolutions of each domain, then its formations."""
        group_ids = _GroupIdAllocator(snapshot)
        proposals: list[Proposal] = []
        for domain in snapshot.domains():
            free_vms = snapshot.free_vms(domain)
            for group in snapshot.broken_groups(domain):
                repair = _propose_repair(snapshot, group, free_vms)
                proposals.append(repair or _propose_dissolution(group))
            proposals += _propose_groups(
                snapshot, group_ids, free_vms, sort_key=_held_first, spares=self._spares
            )
        return proposals


class RepairInPlace(FormationPolicy):
    """Repairs broken groups, if necessary with the members of another one.

    Members that stay keep their weights. The group with the most surviving
    members is repaired first. If the free VMs do not suffice, it takes members
    from the group with the fewest survivors, which ends. A group that cannot be
    repaired is kept while a later repair is possible.
    """

    def propose(self, snapshot: FormationSnapshot) -> list[Proposal]:
        """Return the repairs and dissolutions of each domain, then its formations."""
        group_ids = _GroupIdAllocator(snapshot)
        proposals: list[Proposal] = []
        for domain in snapshot.domains():
            free_vms = snapshot.free_vms(domain)
            broken_groups = snapshot.broken_groups(domain)
            broken_groups.sort(key=lambda g: (-len(snapshot.survivors(g)), g.token))
            while broken_groups:
                group = broken_groups.pop(0)
                repair = _propose_repair(snapshot, group, free_vms)
                if repair is None and broken_groups:
                    donor = broken_groups[-1]
                    repair = _propose_repair(snapshot, group, free_vms, donor=donor)
                    if repair is not None:
                        broken_groups.pop()
                if repair is not None:
                    proposals.append(repair)
                elif not _can_be_repaired_later(snapshot, group):
                    proposals.append(_propose_dissolution(group))
            proposals += _propose_groups(
                snapshot, group_ids, free_vms, sort_key=_held_first
            )
        return proposals


class _GroupIdAllocator:
    """Allocates unused group ids in a fixed order.

    Two controllers of the same domain then choose the same id, so that conflicting
    formations are detected and all but the first are void.
    """

    def __init__(self, snapshot: FormationSnapshot) -> None:
        self._used = {group.id for group in snapshot.groups}

    def allocate(self, pool: Pool, domain: DomainId) -> GroupId:
        number = 0
        while GroupId(f"{pool.name}.{domain}.{number}") in self._used:
            number += 1
        group_id = GroupId(f"{pool.name}.{domain}.{number}")
        self._used.add(group_id)
        return group_id


def _by_id(pool: Pool, view: VmView) -> tuple[bool, VmId]:
    return (False, view.vm)


def _held_first(pool: Pool, view: VmView) -> tuple[bool, VmId]:
    return (pool.model not in view.held_models, view.vm)


def _members(views: Iterable[VmView]) -> tuple[Member, ...]:
    return tuple(Member(vm=v.vm, incarnation=v.incarnation) for v in views)


def _can_be_repaired_later(snapshot: FormationSnapshot, group: Group) -> bool:
    """Return whether a later repair or the return of its members may complete it.

    When an unreachable fabric domain becomes reachable again, all members still
    have their weights and their token.
    """
    declared = any(pool.name == group.pool for pool in snapshot.pools)
    if not declared or group.id in snapshot.retired:
        return False
    listed_vms = {view.vm for view in snapshot.vms if view.is_listed}
    return any(vm in listed_vms for vm in group.vms)


def _propose_dissolution(group: Group) -> DissolveProposal:
    return DissolveProposal(group=group, reason="member lost")


def _propose_repair(
    snapshot: FormationSnapshot,
    group: Group,
    free_vms: list[VmView],
    *,
    donor: Group | None = None,
) -> FormProposal | None:
    """Return a proposal that completes `group`, or None if that is impossible.

    The VMs that it takes from `free_vms` are removed from that list. Members of
    `donor` are used after all free VMs, and `donor` ends with the repair.
    """
    pool = next((p for p in snapshot.pools if p.name == group.pool), None)
    kept = snapshot.survivors(group)
    if pool is None or len(kept) > pool.members:
        return None
    candidates = sorted(free_vms, key=lambda view: _held_first(pool, view))
    donated = snapshot.survivors(donor) if donor is not None else []
    chosen = (candidates + donated)[: pool.members - len(kept)]
    if not kept or len(kept) + len(chosen) < pool.members:
        return None
    taken = {view.vm for view in chosen}
    free_vms[:] = [view for view in free_vms if view.vm not in taken]
    replaces = (group.id,) if donor is None else (group.id, donor.id)
    return FormProposal(
        group=group.id,
        pool=pool,
        members=_members(kept + chosen),
        zone=group.zone,
        domain=group.domain,
        replaces=replaces,
    )


def _propose_groups(
    snapshot: FormationSnapshot,
    group_ids: _GroupIdAllocator,
    free_vms: list[VmView],
    *,
    sort_key: Callable[[Pool, VmView], tuple[bool, VmId]],
    spares: int = 0,
) -> list[Proposal]:
    """Return formations from the free VMs of one domain.

    The VMs that they use are removed from `free_vms`. The pool whose groups have the
    fewest accelerators comes first.
    """
    accelerators = {p.name: _count_accelerators(snapshot, p) for p in snapshot.pools}
    occupied = {group.domain for group in snapshot.groups}
    proposals: list[Proposal] = []
    while free_vms:
        kept_free = spares if free_vms[0].domain in occupied else 0
        available = len(free_vms) - kept_free
        fitting = [p for p in snapshot.pools if 0 < p.members <= available]
        if not fitting:
            break
        pool = min(fitting, key=lambda p: (accelerators[p.name], p.name))
        free_vms.sort(key=functools.partial(sort_key, pool))
        chosen = free_vms[: pool.members]
        del free_vms[: pool.members]
        accelerators[pool.name] += pool.members * pool.accelerators
        occupied.add(chosen[0].domain)
        proposals.append(
            FormProposal(
                group=group_ids.allocate(pool, chosen[0].domain),
                pool=pool,
                members=_members(chosen),
                zone=chosen[0].zone,
                domain=chosen[0].domain,
            )
        )
    return proposals


def _count_accelerators(snapshot: FormationSnapshot, pool: Pool) -> int:
    groups = [group for group in snapshot.groups if group.pool == pool.name]
    return sum(len(group.members) for group in groups) * pool.accelerators
