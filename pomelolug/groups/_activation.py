"""Brings the members of an accepted group to its token."""

import asyncio
import dataclasses
from collections.abc import Callable, Iterable

from pomelolug.clock import Clock
from pomelolug.engines import FencingKind, MemberStatus
from pomelolug.groups._fold import GroupsFold
from pomelolug.groups._group import Group, GroupLimits
from pomelolug.groups._inventory import Inventory
from pomelolug.groups._orders import OrderSender
from pomelolug.ids import FencingToken, VmId

__all__ = ["GroupActivator"]


@dataclasses.dataclass(slots=True)
class _Progress:
    """`clear_since_s` is the time from which no member was in a former group.

    `in_former_group` are the members that reported one at their last read-back.
    """

    clear_since_s: float
    in_former_group: set[VmId] = dataclasses.field(default_factory=set)
    joined: set[VmId] = dataclasses.field(default_factory=set)


class GroupActivator:
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
    on_violation : callable
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
        on_violation: Callable[[str], None],
    ) -> None:
        self._fold = fold
        self._inventory = inventory
        self._orders = orders
        self._clock = clock
        self._limits = limits
        self._on_violation = on_violation
        self._progress: dict[FencingToken, _Progress] = {}

    def observe(self, groups: Iterable[Group]) -> None:
        """Note the newest read-backs of groups that this node controls."""
        now_s = self._clock.monotonic()
        progress_by_token: dict[FencingToken, _Progress] = {}
        for group in groups:
            progress = self._progress.get(group.token) or _Progress(clear_since_s=now_s)
            progress_by_token[group.token] = progress
            for vm in group.vms:
                self._observe_member(group, vm, progress, now_s)
        self._progress = progress_by_token

    def _observe_member(
        self, group: Group, vm: VmId, progress: _Progress, now_s: float
    ) -> None:
        status = self._inventory.status(vm)
        if status is None:
            return
        if _has_joined(group, status):
            progress.joined.add(vm)
        elif status.group and status.token < group.token:
            if vm in progress.joined and not self._has_restarted(group, status):
                # The wait had ended and the member had joined: an order of a
                # former owner arrived later than the bounds allow.
                self._on_violation("successor_wait_bound")
                progress.joined.discard(vm)
            progress.in_former_group.add(vm)
            progress.clear_since_s = now_s
            return
        if vm in progress.in_former_group:
            # A lease on the former group may have been renewed until just
            # before this read-back.
            progress.in_former_group.discard(vm)
            progress.clear_since_s = now_s

    @staticmethod
    def _has_restarted(group: Group, status: MemberStatus) -> bool:
        incarnations = {member.vm: member.incarnation for member in group.members}
        return incarnations[VmId(status.vm)] != status.incarnation

    def unjoined_members(self, group: Group) -> list[VmId]:
        """Return the answering members that are not at the group's token."""
        unjoined = []
        for vm in group.vms:
            status = self._inventory.status(vm)
            if status is not None and not _has_joined(group, status):
                unjoined.append(vm)
        return unjoined

    def is_waiting(self, group: Group) -> bool:
        """Return whether the successor wait of the group has not ended."""
        if not any(self._needs_wait(vm) for vm in group.inherited):
            return False
        progress = self._progress.get(group.token)
        if progress is None:
            return True
        elapsed_s = self._clock.monotonic() - progress.clear_since_s
        return elapsed_s < self._limits.successor_wait.total_seconds()

    def _needs_wait(self, vm: VmId) -> bool:
        status = self._inventory.status(vm)
        return status is None or status.fencing is not FencingKind.REFUSES

    async def send_orders(self, group: Group) -> None:
        """Send the orders that the group needs now."""
        if self._fold.groups.get(group.id) != group:
            return
        unjoined = self.unjoined_members(group)
        if self.is_waiting(group):
            await asyncio.gather(*(self._release(group, vm) for vm in unjoined))
            return
        await asyncio.gather(*(self._assign(group, vm) for vm in unjoined))

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


def _has_joined(group: Group, status: MemberStatus) -> bool:
    return (status.group, status.token) == (group.id, group.token)
