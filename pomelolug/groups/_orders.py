"""Orders to members, each sent only under a fresh proof of ownership."""

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
    """Sends assign and release orders.

    Parameters
    ----------
    fold : GroupsFold
        Ownership.
    engine : EngineClient
        Access to the backend servers.
    clock : Clock
        Source of time.
    limits : GroupLimits
        Durations.
    log_proof : callable
        Returns the monotonic time before the newest log read that reached the
        end of the groups stream was sent. Up to then the fold was complete.
    counted : callable
        Takes the reason why an order was not sent or failed, to count it.
    """

    def __init__(
        self,
        *,
        fold: GroupsFold,
        engine: EngineClient,
        clock: Clock,
        limits: GroupLimits,
        log_proof: Callable[[], float],
        counted: Callable[[str], None],
    ) -> None:
        self._fold = fold
        self._engine = engine
        self._clock = clock
        self._limits = limits
        self._log_proof = log_proof
        self._counted = counted

    @property
    def has_lease(self) -> bool:
        """Whether the newest complete log read is younger than the lease."""
        age = self._clock.monotonic() - self._log_proof()
        return age < self._limits.lease.total_seconds()

    def _may_order(self, group: Group, vm: VmId) -> bool:
        owner = self._fold.owner(vm)
        if owner is None or (owner.id, owner.token) != (group.id, group.token):
            self._counted("order_not_owner")
            return False
        if not self.has_lease:
            self._counted("order_without_lease")
            return False
        return True

    async def assign(
        self, group: Group, vm: VmId, entries: Mapping[VmId, VmEntry]
    ) -> bool:
        """Order a member to join its group; return whether it confirmed."""
        if any(other not in entries for other in group.vms):
            self._counted("order_without_address")
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
        # No await may stand between this check and the call: a pause there
        # would make the proof older than the successor wait allows.
        if not self._may_order(group, vm):
            return False
        return await self._send(
            self._engine.assign, entries[vm].address, order, self._limits.order_bound
        )

    async def release(
        self, group: Group, status: EngineStatus, entries: Mapping[VmId, VmEntry]
    ) -> bool:
        """Order a member of `group` to leave the group that it reports."""
        vm = VmId(status.vm)
        order = ReleaseOrder(group=status.group, token=status.token)
        if vm not in entries or not self._may_order(group, vm):
            return False
        return await self._send(
            self._engine.release, entries[vm].address, order, self._limits.order_bound
        )

    async def release_free(
        self, status: EngineStatus, entries: Mapping[VmId, VmEntry]
    ) -> bool:
        """Order a VM that no group owns to leave the group that it reports."""
        vm = VmId(status.vm)
        order = ReleaseOrder(group=status.group, token=status.token)
        stale = status.token <= self._fold.offset
        if vm not in entries or self._fold.owner(vm) is not None or not stale:
            return False
        if not self.has_lease:
            self._counted("order_without_lease")
            return False
        return await self._send(
            self._engine.release, entries[vm].address, order, self._limits.order_bound
        )

    async def _send(
        self, call: Callable, address: str, order: object, timeout: datetime.timedelta
    ) -> bool:
        try:
            await call(address, order, timeout=timeout)
        except EngineRefusedError as error:
            self._counted(f"order_refused_{error.reason}")
            _log.warning("order_refused", address=address, reason=error.reason)
            return False
        except EngineUnavailableError:
            self._counted("order_unanswered")
            return False
        return True
