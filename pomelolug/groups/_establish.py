"""Brings the members of an accepted group to its token."""

import asyncio
import dataclasses
from collections.abc import Callable, Iterable

from pomelolug.clock import Clock
from pomelolug.engines import EngineStatus, FencingKind
from pomelolug.groups._fold import GroupsFold
from pomelolug.groups._group import Group, GroupLimits
from pomelolug.groups._inventory import Inventory
from pomelolug.groups._orders import OrderSender
from pomelolug.ids import FencingToken, VmId

__all__ = ["Establisher"]


@dataclasses.dataclass(slots=True)
class _Progress:
    """`clear_since` is the time from which no member was in a former group.

    `foreign` are the members that reported one at their last read-back.
    """

    clear_since: float
    foreign: set[VmId] = dataclasses.field(default_factory=set)
    joined: set[VmId] = dataclasses.field(default_factory=set)


class Establisher:
    """Sends the orders of groups, after the successor wait where it is needed.

    The wait starts when the formation is seen in the fold, and again at the
    first read-back of a member that no longer shows it in a former group,
    because routing leases on that group may have been renewed until then.

    Parameters
    ----------
    fold : GroupsFold
        Ownership.
    inventory : Inventory
        Read-backs of the members.
    orders : OrderSender
        Checked orders.
    clock : Clock
        Source of time.
    limits : GroupLimits
        Durations.
    violated : callable
        Takes the name of a violated invariant.
    """

    def __init__(
        self,
        *,
        fold: GroupsFold,
        inventory: Inventory,
        orders: OrderSender,
        clock: Clock,
        limits: GroupLimits,
        violated: Callable[[str], None],
    ) -> None:
        self._fold = fold
        self._inventory = inventory
        self._orders = orders
        self._clock = clock
        self._limits = limits
        self._violated = violated
        self._progress: dict[FencingToken, _Progress] = {}

    def observe(self, groups: Iterable[Group]) -> None:
        """Note the newest read-backs of groups that this node controls."""
        now = self._clock.monotonic()
        known: dict[FencingToken, _Progress] = {}
        for group in groups:
            progress = self._progress.get(group.token) or _Progress(clear_since=now)
            known[group.token] = progress
            for vm in group.vms:
                self._observe(group, vm, progress, now)
        self._progress = known

    def _observe(self, group: Group, vm: VmId, progress: _Progress, now: float) -> None:
        status = self._inventory.status(vm)
        if status is None:
            return
        if _has_joined(group, status):
            progress.joined.add(vm)
        elif status.group and status.token < group.token:
            if vm in progress.joined and not self._restarted(group, status):
                # The wait had ended and the member had joined: an order of a
                # former owner arrived later than the bounds allow.
                self._violated("successor_wait_bound")
                progress.joined.discard(vm)
            progress.foreign.add(vm)
            progress.clear_since = now
            return
        if vm in progress.foreign:
            # A lease on the former group may have been renewed until just
            # before this read-back.
            progress.foreign.discard(vm)
            progress.clear_since = now

    @staticmethod
    def _restarted(group: Group, status: EngineStatus) -> bool:
        known = {member.vm: member.incarnation for member in group.members}
        return known[VmId(status.vm)] != status.incarnation

    def unjoined(self, group: Group) -> list[VmId]:
        """Return the answering members that are not at the group's token."""
        missing = []
        for vm in group.vms:
            status = self._inventory.status(vm)
            if status is not None and not _has_joined(group, status):
                missing.append(vm)
        return missing

    def waits(self, group: Group) -> bool:
        """Return whether the successor wait of the group has not ended."""
        if not any(self._needs_wait(vm) for vm in group.inherited):
            return False
        progress = self._progress.get(group.token)
        if progress is None:
            return True
        elapsed = self._clock.monotonic() - progress.clear_since
        return elapsed < self._limits.successor_wait.total_seconds()

    def _needs_wait(self, vm: VmId) -> bool:
        status = self._inventory.status(vm)
        return status is None or status.fencing is not FencingKind.REFUSES

    async def advance(self, group: Group) -> None:
        """Send the orders that the group needs now."""
        if self._fold.groups.get(group.id) != group:
            return
        missing = self.unjoined(group)
        if self.waits(group):
            await asyncio.gather(*(self._release(group, vm) for vm in missing))
            return
        await asyncio.gather(*(self._assign(group, vm) for vm in missing))

    async def _assign(self, group: Group, vm: VmId) -> None:
        joined = await self._orders.assign(group, vm, self._inventory.entries)
        progress = self._progress.get(group.token)
        if joined and progress is not None:
            progress.joined.add(vm)

    async def _release(self, group: Group, vm: VmId) -> None:
        """End the former membership, so that its read-backs and leases end."""
        status = self._inventory.status(vm)
        if status is not None and status.group and status.token < group.token:
            await self._orders.release(group, status, self._inventory.entries)


def _has_joined(group: Group, status: EngineStatus) -> bool:
    return (status.group, status.token) == (group.id, group.token)
