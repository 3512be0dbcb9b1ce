"""Orders to servers, one at a time for each server."""

from collections.abc import Callable

import structlog

from pomelolug.clock import Clock
from pomelolug.deployment import BackendServer, OrderResult, ServerControl
from pomelolug.ids import GroupId, ModelName, VmId
from pomelolug.replicas._duty import DutyHolder
from pomelolug.replicas._health import ServerHealth
from pomelolug.replicas._view import GroupKey, standby_name

__all__ = ["GroupEvent", "OrderDesk"]

_log = structlog.get_logger(__name__)

_ORDER_RETRY_S = 0.6
"""Time after which an order without visible effect is given again."""

GroupEvent = Callable[[str, str], None]
"""Receives the kind of a decision or order, and its result or reason."""


class OrderDesk:
    """Gives orders while the duty is held, and keeps count of them.

    Parameters
    ----------
    duty : DutyHolder
        Whether this node may give orders, and its fencing tokens.
    control : ServerControl
        Sends orders.
    health : ServerHealth
        Keeps the number of orders that each server has begun.
    clock : Clock
        Source of monotonic time.
    on_event : GroupEvent
        Called for each order, for metrics.
    """

    def __init__(
        self,
        *,
        duty: DutyHolder,
        control: ServerControl,
        health: ServerHealth,
        clock: Clock,
        on_event: GroupEvent,
    ) -> None:
        self._duty = duty
        self._control = control
        self._health = health
        self._clock = clock
        self._on_event = on_event
        self._ordered_at: dict[VmId, float] = {}

    def clear(self) -> None:
        """Forget all orders, because another node may have given some."""
        self._ordered_at.clear()
        self._health.forget_all_orders()

    def due(self, vm: VmId) -> bool:
        """Return whether a server may get an order, and note that it gets one."""
        now = self._clock.monotonic()
        if now - self._ordered_at.get(vm, float("-inf")) < _ORDER_RETRY_S:
            return False
        self._ordered_at[vm] = now
        return True

    def take(self, vm: VmId) -> None:
        """Note that a server gets an order although its last one is recent."""
        self._ordered_at[vm] = self._clock.monotonic()

    async def join(
        self,
        server: BackendServer,
        key: GroupKey,
        model: ModelName,
        members: tuple[VmId, ...],
    ) -> None:
        """Make a server a member of a group."""
        begun = await self._begun(server)
        if begun is None:
            return
        result = await self._control.join(
            server,
            group=key[0],
            epoch=key[1],
            model=model,
            members=members,
            orders_begun=begun,
        )
        self._ordered("join", key, server, result, model=model)

    async def join_standby(
        self, server: BackendServer, epoch: int, model: ModelName
    ) -> None:
        """Make a spare the only member of a group that is never opened."""
        await self.join(server, (standby_name(epoch), epoch), model, (server.vm,))

    async def open(self, key: GroupKey, head: BackendServer) -> None:
        """Let the head of a group serve."""
        begun = await self._begun(head)
        if begun is None:
            return
        result = await self._control.open(
            head,
            group=key[0],
            epoch=key[1],
            fence=self._duty.fence,
            orders_begun=begun,
        )
        self._ordered("open", key, head, result)

    async def close(self, key: GroupKey, head: BackendServer) -> None:
        """Let the head of a group finish its work and take no more."""
        begun = await self._begun(head)
        if begun is None:
            return
        result = await self._control.close(
            head,
            group=key[0],
            epoch=key[1],
            fence=self._duty.fence,
            finish=True,
            orders_begun=begun,
        )
        self._ordered("close", key, head, result)

    async def leave(self, key: GroupKey, server: BackendServer) -> bool:
        """Take a server out of its group; return whether it is certain."""
        begun = await self._begun(server)
        if begun is None:
            return False
        result = await self._control.leave(
            server,
            group=key[0],
            epoch=key[1],
            fence=self._duty.fence,
            orders_begun=begun,
        )
        self._ordered("leave", key, server, result)
        return result.is_accepted

    async def stage(self, server: BackendServer, model: ModelName) -> bool:
        """Load weights onto a host; return whether the load may have begun."""
        begun = await self._begun(server)
        if begun is None:
            return False
        result = await self._control.stage(
            server, model=model, fence=self._duty.fence, orders_begun=begun
        )
        self._ordered("stage", (GroupId(""), 0), server, result, model=model)
        return result.is_accepted or result is OrderResult.UNKNOWN

    async def _begun(self, server: BackendServer) -> int | None:
        """Return the orders that a server has begun, None if none may be given.

        The lease is checked after the last wait before an order leaves.
        """
        known = self._health.orders_begun(server)
        if known is None:
            await self._health.probe([server])
            known = self._health.orders_begun(server)
        return known if self._duty.held else None

    def _ordered(
        self,
        order: str,
        key: GroupKey,
        server: BackendServer,
        result: OrderResult,
        **more: str,
    ) -> None:
        done_at_once = result is OrderResult.SATISFIED and order == "leave"
        if result is OrderResult.BEGUN or done_at_once:
            self._health.order_begun(server)
        elif result is not OrderResult.SATISFIED:
            self._health.forget_orders(server)
        if result is OrderResult.FENCED:
            self._duty.superseded()
        if result is OrderResult.CONFLICT:
            # The count of orders was out of date; try again with a new report.
            self._ordered_at.pop(server.vm, None)
        self._on_event(f"order_{order}", result.value)
        _log.info(
            "server_order",
            order=order,
            group=key[0],
            epoch=key[1],
            server=server.vm,
            orders=self._health.orders_begun(server),
            result=result.value,
            **more,
        )
