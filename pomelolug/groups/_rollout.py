"""Planned changes: which groups get no new work, and which of them are idle."""

from collections.abc import Iterable, Mapping, Sequence, Set

from pomelolug.configuration import Pool
from pomelolug.groups._group import Group, GroupPhase
from pomelolug.ids import GroupId, VmId
from pomelolug.messages import GroupStatus

__all__ = ["draining_groups", "spare_groups"]

_SERVING = GroupPhase.SERVING.value
_DRAINING = GroupPhase.DRAINING.value
_COMING = (GroupPhase.FORMING.value, GroupPhase.LOADING.value)


def spare_groups(
    groups: Sequence[Group], statuses: Mapping[GroupId, GroupStatus]
) -> int:
    """Return how many serving groups of a pool its load does not need.

    A group counts as needed for each full or started share of capacity. One
    group of an idle pool of a single group counts as spare, because a rolling
    change could otherwise never start.
    """
    serving = [statuses[g.id] for g in groups if _phase(g, statuses) == _SERVING]
    if not serving:
        return 0
    load = sum(status.load for status in serving)
    if len(groups) == 1:
        return 1 if load == 0 else 0
    size = max(max(status.capacity for status in serving), 1)
    needed = max(-(-load // size), 1)
    return max(len(serving) - needed, 0)


def draining_groups(
    groups: Iterable[Group],
    *,
    pools: Sequence[Pool],
    leaving: Set[VmId],
    drained: Set[VmId],
    statuses: Mapping[GroupId, GroupStatus],
) -> frozenset[GroupId]:
    """Return the groups that are to get no new work.

    A group with a leaving VM drains at once. A group with a VM under an
    operator's drain, or with another version, adapters or role than its pool
    declares, keeps serving until the capacity of its pool allows it to stop.

    Parameters
    ----------
    groups : iterable of Group
        All live groups of the fold.
    pools : sequence of Pool
        Declared pools.
    leaving : set of VmId
        VMs that leave by the platform's list or their own report.
    drained : set of VmId
        VMs under an operator's drain.
    statuses : mapping of GroupId to GroupStatus
        Observed groups.
    """
    by_pool: dict[str, list[Group]] = {}
    for group in sorted(groups, key=lambda g: g.token):
        by_pool.setdefault(group.pool, []).append(group)
    declared = {pool.name: pool for pool in pools}
    result: set[GroupId] = set()
    for name, members in by_pool.items():
        pool = declared.get(name)
        forced = [g for g in members if pool is None or leaving & set(g.vms)]
        result |= {g.id for g in forced}
        wanted = [
            g
            for g in members
            if pool is not None
            and g.id not in result
            and (drained & set(g.vms) or not g.matches(pool))
        ]
        result |= _allowed(members, wanted, statuses)
    return frozenset(result)


def _allowed(
    members: Sequence[Group],
    wanted: Sequence[Group],
    statuses: Mapping[GroupId, GroupStatus],
) -> set[GroupId]:
    """Return the groups of `wanted` that may stop now, oldest token first."""
    started = [g for g in wanted if _phase(g, statuses) == _DRAINING]
    coming = [g for g in members if _phase(g, statuses) in _COMING]
    idle = [g for g in wanted if _phase(g, statuses) == _SERVING]
    if coming:
        return {g.id for g in started}
    room = spare_groups(members, statuses) - len(started)
    return {g.id for g in [*started, *idle[: max(room, 0)]]}


def _phase(group: Group, statuses: Mapping[GroupId, GroupStatus]) -> str:
    status = statuses.get(group.id)
    if status is None or status.token != group.token:
        return GroupPhase.FORMING.value
    return status.phase
