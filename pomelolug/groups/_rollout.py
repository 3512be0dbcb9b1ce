"""Planned changes: selection of the groups that drain, a few at a time."""

from collections.abc import Iterable, Mapping, Sequence, Set

from pomelolug.configuration import Pool
from pomelolug.groups._group import Group, GroupPhase
from pomelolug.ids import DomainId, GroupId, VmId
from pomelolug.messages import GroupStatus

__all__ = ["count_spare_groups", "draining_groups"]

_FORMING = GroupPhase.FORMING.value
_LOADING = GroupPhase.LOADING.value
_SERVING = GroupPhase.SERVING.value
_DRAINING = GroupPhase.DRAINING.value

# Largest share of a pool that planned changes stop at once. Groups load from the
# shared weight store one after the other, so more stopped groups would only wait.
_MAX_STOPPED_SHARE = 0.25


def count_spare_groups(
    groups: Sequence[Group],
    statuses: Mapping[GroupId, GroupStatus],
    *,
    has_replacement: bool,
) -> int:
    """Return how many serving groups of a pool its current load does not need.

    The number of needed groups is the load divided by the capacity of a group,
    rounded up, and at least one. The only group of a pool is spare if it is idle
    and no second group can be formed, because a planned change could otherwise
    never start.
    """
    serving = [statuses[g.id] for g in groups if _phase(g, statuses) == _SERVING]
    load = sum(status.load for status in serving)
    if len(groups) == 1:
        return int(bool(serving) and load == 0 and not has_replacement)
    group_capacity = max([status.capacity for status in serving], default=1)
    needed = max(-(-load // max(group_capacity, 1)), 1)
    return max(len(serving) - needed, 0)


def draining_groups(
    groups: Iterable[Group],
    *,
    pools: Sequence[Pool],
    leaving: Set[VmId],
    drained: Set[VmId],
    statuses: Mapping[GroupId, GroupStatus],
    free_vms: Mapping[DomainId, int],
) -> frozenset[GroupId]:
    """Return the groups that are to get no new work.

    A group with a leaving VM, or whose pool is no longer declared, drains at once.
    A group with a VM that an operator drains, or whose model, version, adapters,
    role or size differ from the declaration of its pool, keeps serving until its
    pool has enough capacity without it.

    Parameters
    ----------
    groups : iterable of Group
        All live groups.
    pools : sequence of Pool
        Declared pools.
    leaving : set of VmId
        VMs that leave according to the VM list or their own status.
    drained : set of VmId
        VMs that an operator is draining.
    statuses : mapping of GroupId to GroupStatus
        Observed status of the groups by id.
    free_vms : mapping of DomainId to int
        Number of VMs of each fabric domain that could join a new group.
    """
    by_pool: dict[str, list[Group]] = {}
    for group in sorted(groups, key=lambda g: g.token):
        by_pool.setdefault(group.pool, []).append(group)
    declared = {pool.name: pool for pool in pools}
    result: set[GroupId] = set()
    for name, pool_groups in by_pool.items():
        pool = declared.get(name)
        immediate = [g for g in pool_groups if pool is None or leaving & set(g.vms)]
        result |= {g.id for g in immediate}
        pending = [
            g
            for g in pool_groups
            if pool is not None
            and g.id not in result
            and (drained & set(g.vms) or not g.matches(pool))
        ]
        has_replacement = pool is not None and pool.members <= max(
            free_vms.values(), default=0
        )
        result |= _select_stoppable(pool_groups, pending, statuses, has_replacement)
    return frozenset(result)


def _select_stoppable(
    pool_groups: Sequence[Group],
    pending: Sequence[Group],
    statuses: Mapping[GroupId, GroupStatus],
    has_replacement: bool,
) -> set[GroupId]:
    """Return the groups of `pending` that may stop now, oldest token first."""
    draining = [g for g in pending if _phase(g, statuses) == _DRAINING]
    serving = [g for g in pending if _phase(g, statuses) == _SERVING]
    not_serving = [g for g in pending if g not in draining and g not in serving]
    loading = [g for g in pool_groups if _phase(g, statuses) == _LOADING]
    limit = (
        max(int(len(pool_groups) * _MAX_STOPPED_SHARE), 1)
        - len(draining)
        - len(loading)
    )
    spare = count_spare_groups(pool_groups, statuses, has_replacement=has_replacement)
    allowed = max(min(limit, spare), 0)
    return {g.id for g in [*draining, *not_serving, *serving[:allowed]]}


def _phase(group: Group, statuses: Mapping[GroupId, GroupStatus]) -> str:
    status = statuses.get(group.id)
    if status is None or status.token != group.token:
        return _FORMING
    return status.phase
