"""Order in which groups load from the shared weight store."""

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

_INFO_EVERY_S = 30.0
_INFO_TIMEOUT = datetime.timedelta(seconds=1)
# A load that takes longer than this multiple of its share of the rate, plus the
# reserve, has stalled and no longer keeps others from loading.
_PATIENCE = 2.0
_RESERVE_S = 15.0
# Two steps of the other controller and the delay of its group's status.
_TURN_S = 3.0


class LoadQueue:
    """Grants loads by accelerators returned per byte left to load.

    The rate of the weight store is shared, so loads at the same time all end
    late. One after the other, the shortest per accelerator first, has the least
    sum of waiting accelerators (Smith's rule).

    Parameters
    ----------
    weights : WeightStore
        Model sizes and the rate.
    clock : Clock
        Source of time.
    slots : int
        Loads at once in the fleet.

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
        self._asked_at = -_INFO_EVERY_S
        self._until: dict[FencingToken, float] = {}
        self._tries: dict[FencingToken, int] = {}
        self._elsewhere: dict[int, float] = {}
        self._turns: dict[FencingToken, float] = {}

    async def refresh(self) -> None:
        """Read the rate and the sizes again when they are due.

        Without an answer nothing is loaded from the store until it returns.
        """
        now = self._clock.monotonic()
        if self._info is not None and now - self._asked_at < _INFO_EVERY_S:
            return
        self._asked_at = now
        try:
            self._info = await self._weights.info(timeout=_INFO_TIMEOUT)
        except PlatformError:
            self._info = None

    def bytes_left(self, group: Group, inventory: Inventory) -> float:
        """Return how many bytes the members have to load.

        Each member loads its share of the model; the size is infinite if the
        weight store does not tell it.
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

    def granted(
        self,
        waiting: Iterable[Group],
        *,
        inventory: Inventory,
        accelerators: Mapping[GroupId, int],
        statuses: Mapping[GroupId, GroupStatus],
        rivals: Iterable[Group] = (),
    ) -> frozenset[GroupId]:
        """Return the groups of `waiting` that may load now.

        Parameters
        ----------
        waiting : iterable of Group
            Groups whose members all answer and that do not serve yet. A group
            with a silent member is not among them, so that a dark domain takes
            no slot.
        inventory : Inventory
            What the members hold.
        accelerators : mapping of GroupId to int
            Accelerators that the group returns.
        statuses : mapping of GroupId to GroupStatus
            Observed groups of the whole fleet.
        rivals : iterable of Group
            Groups of other controllers that are ready to load as well. Each
            may be ahead of the own ones for a few seconds only, because its
            controller may have ended.
        """
        now = self._clock.monotonic()
        left = {group: self.bytes_left(group, inventory) for group in waiting}
        tokens = {group.token for group in left}
        self._until = {t: u for t, u in self._until.items() if t in tokens}
        self._tries = {t: n for t, n in self._tries.items() if t in tokens}
        running = [g for g in left if self._until.get(g.token, -1.0) > now]
        busy = [g for g in running if left[g]]
        room = self._slots - len(busy) - self._loading_elsewhere(statuses, tokens)
        ahead = {g: self.bytes_left(g, inventory) for g in rivals}
        size = {**ahead, **left}
        queue = [g for g in size if 0 < size[g] < float("inf") and g not in running]
        queue.sort(key=lambda g: self._rank(g, size[g], accelerators.get(g.id, 1)))
        queue = self._without_absent(queue, set(ahead), max(room, 0))
        started = [g for g in queue[: max(room, 0)] if g in left]
        for group in started:
            self._until[group.token] = now + self._patience(left[group])
            self._tries[group.token] = self._tries.get(group.token, 0) + 1
        held = [g for g in left if left[g] == 0]
        return frozenset(group.id for group in [*held, *running, *started])

    def _without_absent(
        self, queue: list[Group], rivals: set[Group], room: int
    ) -> list[Group]:
        """Return the queue without rivals that did not take their turn."""
        now = self._clock.monotonic()
        turns: dict[FencingToken, float] = {}
        kept: list[Group] = []
        for group in queue:
            if group in rivals and len(kept) < room:
                since = self._turns.get(group.token, now)
                turns[group.token] = since
                if now - since >= _TURN_S:
                    continue
            kept.append(group)
        self._turns = turns
        return kept

    def _rank(
        self, group: Group, left: float, accelerators: int
    ) -> tuple[int, float, FencingToken]:
        """Return the sort key; a load that stalled goes behind the others."""
        tries = self._tries.get(group.token, 0)
        return (tries, left / accelerators, group.token)

    def _loading_elsewhere(
        self, statuses: Mapping[GroupId, GroupStatus], mine: set[FencingToken]
    ) -> int:
        """Return how many groups of other controllers are seen to load."""
        now = self._clock.monotonic()
        seen: dict[int, float] = {}
        for status in statuses.values():
            if status.phase == GroupPhase.LOADING.value and status.token not in mine:
                seen[status.token] = self._elsewhere.get(status.token, now)
        self._elsewhere = seen
        size = max(self._info.sizes.values(), default=0) if self._info else 0
        return sum(now - since < self._patience(size) for since in seen.values())

    def _patience(self, size: float) -> float:
        rate = self._info.rate_bytes_per_s if self._info else 1.0
        return _PATIENCE * self._slots * size / max(rate, 1.0) + _RESERVE_S
