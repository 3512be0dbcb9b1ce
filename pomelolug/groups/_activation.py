"""Orders the members of a live group to join it at its fencing token."""

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

__all__ = ["GroupActivator"]


@dataclasses.dataclass(slots=True)
class _Progress:
    """Progress of one group towards its token.

    `clear_since_s` is the monotonic time since which no member has reported a
    former group. `in_former_group` holds the members that reported one in their
    last status. `joined` holds the members that have reported the current group.
    """

    clear_since_s: float
    in_former_group: set[VmId] = dataclasses.field(default_factory=set)
    joined: set[VmId] = dataclasses.field(default_factory=set)


class GroupActivator:
    """Sends release orders during a successor wait and assign orders after it.

    The wait starts when the formation becomes visible to this node. It starts
    again at the first status in which a member has left its former group, because
    routing leases on that group may have been renewed until then.

    Parameters
    ----------
    fold : GroupsFold
        Ownership of VMs.
    inventory : Inventory
        Latest statuses of the members.
    orders : OrderSender
        Sends the orders, with a check of ownership and of the age of the newest
        complete log read, which is another age than that of a routing lease.
    clock : Clock
        Source of time.
    limits : GroupLimits
        Time limits.
    on_violation : callable
        Called with the name of a violated invariant.
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
        """Record the latest member statuses of `groups`; forget all other groups."""
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
                # The member had joined after the wait, so an order of a former
                # owner arrived later than the assumed bounds allow.
                self._on_violation("successor_wait_bound")
                progress.joined.discard(vm)
            progress.in_former_group.add(vm)
            progress.clear_since_s = now_s
            return
        if vm in progress.in_former_group:
            # A routing lease on the former group may have been renewed until
            # just before this status.
            progress.in_former_group.discard(vm)
            progress.clear_since_s = now_s

    @staticmethod
    def _has_restarted(group: Group, status: EngineStatus) -> bool:
        incarnations = {member.vm: member.incarnation for member in group.members}
        return incarnations[VmId(status.vm)] != status.incarnation

    def unjoined_members(self, group: Group) -> list[VmId]:
        """Return the members that respond and are not at the group's token."""
        unjoined = []
        for vm in group.vms:
            status = self._inventory.status(vm)
            if status is not None and not _has_joined(group, status):
                unjoined.append(vm)
        return unjoined

    def is_waiting(self, group: Group) -> bool:
        """Return whether the successor wait of the group is still running."""
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
        """Send the orders that the group needs now.

        During the successor wait members are only released from their former
        groups; afterwards they are assigned to this one.
        """
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
        """Release a member from its former group.

        Status probes then no longer confirm it there, so that routing leases on that
        group end.
        """
        status = self._inventory.status(vm)
        if status is not None and status.group and status.token < group.token:
            await self._orders.release(group, status, self._inventory.entries)


def _has_joined(group: Group, status: EngineStatus) -> bool:
    return (status.group, status.token) == (group.id, group.token)
