"""Sending of orders to servers, one at a time per server."""

from collections.abc import Callable

import structlog

from pomelolug.clock import Clock
from pomelolug.deployment import BackendServer, OrderResult, ServerControl
from pomelolug.ids import GroupId, ModelName, VmId
from pomelolug.replicas._group_view import GroupKey, standby_name
from pomelolug.replicas._health import ServerHealth
from pomelolug.replicas._lease import ControllerLease

__all__ = ["GroupEventCallback", "OrderSender"]

_log = structlog.get_logger(__name__)

_ORDER_RETRY_S = 0.6
"""Time after which an order without a visible effect is sent again."""

GroupEventCallback = Callable[[str, str], None]
"""Called with the kind of a decision or order, and its result or reason."""


class OrderSender:
    """Sends orders while this node holds the controller lease, and counts them.

    Parameters
    ----------
    lease : ControllerLease
        Controller lease, which permits orders and issues fencing tokens.
    control : ServerControl
        Transport of the orders.
    health : ServerHealth
        Number of orders that each server has begun.
    clock : Clock
        Source of monotonic time.
    on_event : GroupEventCallback
        Called with each order and its result, for metrics.
    """

    def __init__(
        self,
        *,
        lease: ControllerLease,
        control: ServerControl,
        health: ServerHealth,
        clock: Clock,
        on_event: GroupEventCallback,
    ) -> None:
        self._lease = lease
        self._control = control
        self._health = health
        self._clock = clock
        self._on_event = on_event
        self._reserved_at_s: dict[VmId, float] = {}

    def clear(self) -> None:
        """Discard all reservations and order counts.

        Another node may have sent orders in the meantime.
        """
        self._reserved_at_s.clear()
        self._health.forget_all_order_counts()

    def try_reserve(self, vm: VmId) -> bool:
        """Reserve a server for an order unless its last order is recent.

        Returns
        -------
        bool
            Whether the server was reserved, so that an order may be sent.
        """
        now_s = self._clock.monotonic()
        if now_s - self._reserved_at_s.get(vm, float("-inf")) < _ORDER_RETRY_S:
            return False
        self._reserved_at_s[vm] = now_s
        return True

    def reserve(self, vm: VmId) -> None:
        """Reserve a server for an order even if its last order is recent."""
        self._reserved_at_s[vm] = self._clock.monotonic()

    async def join(
        self,
        server: BackendServer,
        key: GroupKey,
        model: ModelName,
        members: tuple[VmId, ...],
    ) -> None:
        """Order a server to join a group, unless its entry is out of date.

        A predecessor may have given it to another group since the entry was read.
        """
        orders_begun = await self._current_orders_begun(server)
        if orders_begun is None:
            return
        if self._health.contradicts(server):
            _log.info("entry_out_of_date", server=server.vm, group=key[0])
            self._health.forget_order_count(server)
            return
        result = await self._control.join(
            server,
            group=key[0],
            epoch=key[1],
            model=model,
            members=members,
            orders_begun=orders_begun,
        )
        self._record_result("join", key, server, result, model=model)

    async def join_standby(
        self, server: BackendServer, epoch: int, model: ModelName
    ) -> None:
        """Order a spare to join a standby group of its own, which is never opened."""
        await self.join(server, (standby_name(epoch), epoch), model, (server.vm,))

    async def open(self, key: GroupKey, head: BackendServer) -> None:
        """Order the head of a group to start serving requests."""
        orders_begun = await self._current_orders_begun(head)
        if orders_begun is None:
            return
        result = await self._control.open(
            head,
            group=key[0],
            epoch=key[1],
            fence=self._lease.fencing_token,
            orders_begun=orders_begun,
        )
        self._record_result("open", key, head, result)

    async def close(self, key: GroupKey, head: BackendServer) -> None:
        """Order the head of a group to finish its requests and accept no more."""
        orders_begun = await self._current_orders_begun(head)
        if orders_begun is None:
            return
        result = await self._control.close(
            head,
            group=key[0],
            epoch=key[1],
            fence=self._lease.fencing_token,
            finish=True,
            orders_begun=orders_begun,
        )
        self._record_result("close", key, head, result)

    async def leave(self, key: GroupKey, server: BackendServer) -> bool:
        """Order a server to leave its group.

        Returns
        -------
        bool
            Whether it is certain that the server has left or will leave.
        """
        orders_begun = await self._current_orders_begun(server)
        if orders_begun is None:
            return False
        result = await self._control.leave(
            server,
            group=key[0],
            epoch=key[1],
            fence=self._lease.fencing_token,
            orders_begun=orders_begun,
        )
        self._record_result("leave", key, server, result)
        return result.is_accepted

    async def stage(self, server: BackendServer, model: ModelName) -> bool:
        """Order a server to load weights onto its host.

        Returns
        -------
        bool
            Whether the load may have begun.
        """
        orders_begun = await self._current_orders_begun(server)
        if orders_begun is None:
            return False
        result = await self._control.stage(
            server,
            model=model,
            fence=self._lease.fencing_token,
            orders_begun=orders_begun,
        )
        self._record_result("stage", (GroupId(""), 0), server, result, model=model)
        return result.is_accepted or result is OrderResult.UNKNOWN

    async def _current_orders_begun(self, server: BackendServer) -> int | None:
        """Return how many orders a server has begun, or None to send no order.

        The lease is checked here because this is the last wait before an order
        is sent.
        """
        orders_begun = self._health.orders_begun(server)
        if orders_begun is None:
            await self._health.probe([server])
            orders_begun = self._health.orders_begun(server)
        return orders_begun if self._lease.is_held else None

    def _record_result(
        self,
        order: str,
        key: GroupKey,
        server: BackendServer,
        result: OrderResult,
        **fields: str,
    ) -> None:
        # A satisfied order to leave counts as begun. Other satisfied orders leave
        # the count unchanged.
        is_done = result is OrderResult.SATISFIED and order == "leave"
        if result is OrderResult.BEGUN or is_done:
            self._health.count_order(server, left=key if is_done else None)
        elif result is not OrderResult.SATISFIED:
            self._health.forget_order_count(server)
        if result is OrderResult.FENCED:
            self._lease.mark_superseded()
        if result is OrderResult.CONFLICT:
            # Allow a retry at once. The count was discarded above, so the retry
            # needs a new report.
            self._reserved_at_s.pop(server.vm, None)
        self._on_event(f"order_{order}", result.value)
        _log.info(
            "server_order",
            order=order,
            group=key[0],
            epoch=key[1],
            server=server.vm,
            orders=self._health.orders_begun(server),
            result=result.value,
            **fields,
        )
