"""Queue of the groups that load models from the shared weight store."""

import datetime
from collections.abc import Iterable, Mapping

from pomelolug.clock import Clock
from pomelolug.errors import PlatformError
from pomelolug.groups._group import Group, GroupPhase
from pomelolug.groups._inventory import Inventory
from pomelolug.ids import FencingToken, GroupId
from pomelolug.infrastructure import WeightStore, WeightStoreInfo
from pomelolug.messages import GroupStatus

__all__ = ["LoadQueue"]

_INFO_REFRESH_S = 30.0
_INFO_TIMEOUT = datetime.timedelta(seconds=1)
# A load has stalled if it takes longer than this multiple of the time expected
# at its share of the rate, plus the margin. It then no longer blocks others.
_STALL_FACTOR = 2.0
_STALL_MARGIN_S = 15.0
# Two control steps of the other controller plus the delay of its group's status.
_COMPETITOR_TIMEOUT_S = 3.0


class LoadQueue:
    """Grants loads in the order of bytes left to load per accelerator.

    The loads share the rate of the weight store, so concurrent loads all finish
    late. Loading one group after the other, with the fewest bytes per accelerator
    first, minimises the total waiting time of the accelerators (Smith's rule) [1]_.

    Parameters
    ----------
    weights : WeightStore
        Source of the model sizes and the transfer rate.
    clock : Clock
        Source of time.
    slots : int
        Groups of the fleet that may load at once.

    References
    ----------
    .. [1] W. E. Smith, "Various optimizers for single-stage production",
       Naval Research Logistics Quarterly 3, 1956.
    """

    def __init__(self, *, weights: WeightStore, clock: Clock, slots: int) -> None:
        self._weights = weights
        self._clock = clock
        self._slots = slots
        self._info: WeightStoreInfo | None = None
        self._info_requested_at_s = -_INFO_REFRESH_S
        self._granted_until_s: dict[FencingToken, float] = {}
        self._load_attempts: dict[FencingToken, int] = {}
        self._other_loads_since_s: dict[int, float] = {}
        self._competitor_ahead_since_s: dict[FencingToken, float] = {}

    async def refresh(self) -> None:
        """Refresh the rate and the model sizes if they are out of date.

        Without a response no new load is granted until the store responds again.
        """
        now_s = self._clock.monotonic()
        if (
            self._info is not None
            and now_s - self._info_requested_at_s < _INFO_REFRESH_S
        ):
            return
        self._info_requested_at_s = now_s
        try:
            self._info = await self._weights.info(timeout=_INFO_TIMEOUT)
        except PlatformError:
            self._info = None

    def bytes_left(self, group: Group, inventory: Inventory) -> float:
        """Return how many bytes the members still have to load.

        Each member loads an equal share of the model. The result is infinite if
        the size of the model is unknown.
        """
        missing = 0
        for vm in group.vms:
            status = inventory.status(vm)
            if status is None or group.model not in status.held:
                missing += 1
            elif status.version not in ("", group.version):
                missing += 1
        if not missing:
            return 0.0
        if self._info is None or group.model not in self._info.sizes:
            return float("inf")
        return self._info.sizes[group.model] * missing / len(group.members)

    def grant_loads(
        self,
        candidates: Iterable[Group],
        *,
        inventory: Inventory,
        accelerators: Mapping[GroupId, int],
        statuses: Mapping[GroupId, GroupStatus],
        competing: Iterable[Group] = (),
    ) -> frozenset[GroupId]:
        """Grant loads and return the groups of `candidates` that may load now.

        Parameters
        ----------
        candidates : iterable of Group
            Groups whose members all respond and that do not serve yet. The caller
            leaves out groups in their successor wait. Groups with an
            unresponsive member are left out as well, so that an unreachable
            fabric domain takes no slot.
        inventory : Inventory
            Latest statuses, with the models that each member holds.
        accelerators : mapping of GroupId to int
            Number of accelerators of each group.
        statuses : mapping of GroupId to GroupStatus
            Observed status of all groups of the fleet.
        competing : iterable of Group
            Groups of other controllers that are ready to load as well. Each
            can take a slot ahead of the own groups for a few seconds only,
            because its controller may no longer run.
        """
        now_s = self._clock.monotonic()
        own_sizes = {group: self.bytes_left(group, inventory) for group in candidates}
        tokens = {group.token for group in own_sizes}
        self._granted_until_s = {
            t: until_s for t, until_s in self._granted_until_s.items() if t in tokens
        }
        self._load_attempts = {
            t: n for t, n in self._load_attempts.items() if t in tokens
        }
        running = [
            g for g in own_sizes if self._granted_until_s.get(g.token, -1.0) > now_s
        ]
        busy = [g for g in running if own_sizes[g]]
        free_slots = self._slots - len(busy) - self._count_other_loads(statuses, tokens)
        competing_sizes = {g: self.bytes_left(g, inventory) for g in competing}
        sizes = {**competing_sizes, **own_sizes}
        queue = [g for g in sizes if 0 < sizes[g] < float("inf") and g not in running]
        queue.sort(key=lambda g: self._sort_key(g, sizes[g], accelerators.get(g.id, 1)))
        queue = self._skip_inactive_competitors(
            queue, set(competing_sizes), max(free_slots, 0)
        )
        newly_granted = [g for g in queue[: max(free_slots, 0)] if g in own_sizes]
        for group in newly_granted:
            self._granted_until_s[group.token] = now_s + self._stall_timeout_s(
                own_sizes[group]
            )
            self._load_attempts[group.token] = (
                self._load_attempts.get(group.token, 0) + 1
            )
        loaded = [g for g in own_sizes if own_sizes[g] == 0]
        return frozenset(group.id for group in [*loaded, *running, *newly_granted])

    def _skip_inactive_competitors(
        self, queue: list[Group], competing: set[Group], free_slots: int
    ) -> list[Group]:
        """Return the queue without competing groups that did not start in time."""
        now_s = self._clock.monotonic()
        ahead_since_s: dict[FencingToken, float] = {}
        kept: list[Group] = []
        for group in queue:
            if group in competing and len(kept) < free_slots:
                since_s = self._competitor_ahead_since_s.get(group.token, now_s)
                ahead_since_s[group.token] = since_s
                if now_s - since_s >= _COMPETITOR_TIMEOUT_S:
                    continue
            kept.append(group)
        self._competitor_ahead_since_s = ahead_since_s
        return kept

    def _sort_key(
        self, group: Group, remaining_bytes: float, accelerators: int
    ) -> tuple[int, float, FencingToken]:
        """Return the sort key, which puts loads that stalled behind all others."""
        attempts = self._load_attempts.get(group.token, 0)
        return (attempts, remaining_bytes / accelerators, group.token)

    def _count_other_loads(
        self, statuses: Mapping[GroupId, GroupStatus], own_tokens: set[FencingToken]
    ) -> int:
        """Return how many groups of other controllers load and have not stalled."""
        now_s = self._clock.monotonic()
        loads_since_s: dict[int, float] = {}
        for status in statuses.values():
            if (
                status.phase == GroupPhase.LOADING.value
                and status.token not in own_tokens
            ):
                loads_since_s[status.token] = self._other_loads_since_s.get(
                    status.token, now_s
                )
        self._other_loads_since_s = loads_since_s
        largest_model_bytes = (
            max(self._info.sizes.values(), default=0) if self._info else 0
        )
        return sum(
            now_s - since_s < self._stall_timeout_s(largest_model_bytes)
            for since_s in loads_since_s.values()
        )

    def _stall_timeout_s(self, load_bytes: float) -> float:
        rate_bytes_per_s = self._info.rate_bytes_per_s if self._info else 1.0
        return (
            _STALL_FACTOR * self._slots * load_bytes / max(rate_bytes_per_s, 1.0)
            + _STALL_MARGIN_S
        )
