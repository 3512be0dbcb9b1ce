"""Orders to backend servers, sent only while ownership is known to be current."""

import datetime
from collections.abc import Callable, Mapping

import structlog

from pomelolug.clock import Clock
from pomelolug.engines import (
    AssignOrder,
    EngineClient,
    EngineRefusedError,
    EngineStatus,
    EngineUnavailableError,
    ReleaseOrder,
)
from pomelolug.groups._fold import GroupsFold
from pomelolug.groups._group import Group, GroupLimits
from pomelolug.ids import VmId
from pomelolug.infrastructure import VmEntry

__all__ = ["OrderSender"]

_log = structlog.get_logger()


class OrderSender:
    """Sends assign and release orders after a check of ownership and log age.

    Parameters
    ----------
    fold : GroupsFold
        Ownership of VMs.
    engine : EngineClient
        Access to the backend servers.
    clock : Clock
        Source of time.
    limits : GroupLimits
        Time limits.
    last_full_read_s : callable
        Returns the monotonic time, in seconds, at which the newest read of the
        groups stream that reached its end was sent. The fold includes every
        record appended before that time.
    on_finding : callable
        Called with the reason when an order was not sent or failed.
    """

    def __init__(
        self,
        *,
        fold: GroupsFold,
        engine: EngineClient,
        clock: Clock,
        limits: GroupLimits,
        last_full_read_s: Callable[[], float],
        on_finding: Callable[[str], None],
    ) -> None:
        self._fold = fold
        self._engine = engine
        self._clock = clock
        self._limits = limits
        self._last_full_read_s = last_full_read_s
        self._on_finding = on_finding

    @property
    def has_lease(self) -> bool:
        """Whether the newest complete log read is younger than the lease.

        This permits orders. The routing lease is a limit of the age of a group's
        verification instead.
        """
        age_s = self._clock.monotonic() - self._last_full_read_s()
        return age_s < self._limits.lease.total_seconds()

    def _may_send(self, group: Group, vm: VmId) -> bool:
        owner = self._fold.owner(vm)
        if owner is None or (owner.id, owner.token) != (group.id, group.token):
            self._on_finding("order_not_owner")
            return False
        if not self.has_lease:
            self._on_finding("order_without_lease")
            return False
        return True

    async def assign(
        self, group: Group, vm: VmId, entries: Mapping[VmId, VmEntry]
    ) -> bool:
        """Order a member to join its group; return whether it accepted the order."""
        if any(other not in entries for other in group.vms):
            self._on_finding("order_without_address")
            return False
        order = AssignOrder(
            group=group.id,
            token=group.token,
            rank=group.vms.index(vm),
            members=tuple(entries[other].address for other in group.vms),
            model=group.model,
            version=group.version,
            adapters=group.adapters,
            role=group.role,
        )
        # There must be no await between this check and the call: while suspended,
        # the lease could expire by more than the successor wait allows for.
        if not self._may_send(group, vm):
            return False
        return await self._send(
            self._engine.assign, entries[vm].address, order, self._limits.order_bound
        )

    async def release(
        self, group: Group, status: EngineStatus, entries: Mapping[VmId, VmEntry]
    ) -> bool:
        """Order a member of `group` to leave the former group that it reports."""
        vm = VmId(status.vm)
        order = ReleaseOrder(group=status.group, token=status.token)
        if vm not in entries or not self._may_send(group, vm):
            return False
        return await self._send(
            self._engine.release, entries[vm].address, order, self._limits.order_bound
        )

    async def release_unowned(
        self, status: EngineStatus, entries: Mapping[VmId, VmEntry]
    ) -> bool:
        """Order a VM that no live group owns to leave the group that it reports."""
        vm = VmId(status.vm)
        order = ReleaseOrder(group=status.group, token=status.token)
        stale = status.token <= self._fold.offset
        if vm not in entries or self._fold.owner(vm) is not None or not stale:
            return False
        if not self.has_lease:
            self._on_finding("order_without_lease")
            return False
        return await self._send(
            self._engine.release, entries[vm].address, order, self._limits.order_bound
        )

    async def _send(
        self,
        send_order: Callable,
        address: str,
        order: object,
        timeout: datetime.timedelta,
    ) -> bool:
        try:
            await send_order(address, order, timeout=timeout)
        except EngineRefusedError as error:
            self._on_finding(f"order_refused_{error.reason}")
            _log.warning("order_refused", address=address, reason=error.reason)
            return False
        except EngineUnavailableError:
            self._on_finding("order_unanswered")
            return False
        return True
