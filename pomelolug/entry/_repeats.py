"""Budget of requests that are sent to a further server."""

from collections.abc import Callable

from pomelolug.clock import Clock
from pomelolug.entry._request_context import RequestContext
from pomelolug.ids import AccountId, ClassName, PoolId
from pomelolug.retries import RetryBudget

__all__ = ["RetryLimiter"]

_RATIO_SHARE = 0.8
"""Part of the declared ratio that nodes spend, since they count separately."""
_RESERVE_SHARE = 0.5
_MAX_SAVED_FACTOR = 2.0
"""Repeats that a node saves up, as a factor on its part of the reserve; with the
part above, all nodes together save up no more than the reserve.
"""
_MIN_SAVED_LIMIT = 1.0
"""Repeats that each node can save up of what its requests earn."""


class RetryLimiter:
    """Bounds what this node adds to the load of a service.

    The bound holds for all nodes together; each spends its part of the reserve
    and the ratio of its own requests.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    ratio : float
        Repeats for each request, of all nodes together.
    reserve : float
        Further repeats of all nodes in a window.
    node_count : int
        Nodes that share the reserve, as far as known at the start.
    on_denied : callable
        Called when the budget denies a repeat.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        ratio: float,
        reserve: float,
        node_count: int,
        on_denied: Callable[[], None],
    ) -> None:
        self._reserve = reserve
        self._node_count = max(node_count, 1)
        reserve_share = self._reserve_share()
        self._budget = RetryBudget(
            clock=clock,
            ratio=ratio * _RATIO_SHARE,
            reserve=reserve_share,
            most=max(_MAX_SAVED_FACTOR * reserve_share, _MIN_SAVED_LIMIT),
        )
        self._on_denied = on_denied

    def set_node_count(self, node_count: int) -> None:
        """Divide the reserve anew after the number of nodes has changed."""
        if node_count != self._node_count:
            self._node_count = max(node_count, 1)
            reserve_share = self._reserve_share()
            self._budget.resize(
                reserve=reserve_share,
                most=max(_MAX_SAVED_FACTOR * reserve_share, _MIN_SAVED_LIMIT),
            )

    def _reserve_share(self) -> float:
        return self._reserve * _RESERVE_SHARE / self._node_count

    def try_spend(self, context: RequestContext) -> bool:
        """Take one repeat from the budget; return whether there was one."""
        allowed = self._budget.try_spend(*_budget_key(context))
        if not allowed:
            self._on_denied()
        return allowed

    def on_success(self, context: RequestContext) -> None:
        """Earn a part of a repeat for an answered request."""
        self._budget.on_success(*_budget_key(context))


def _budget_key(context: RequestContext) -> tuple[ClassName, AccountId, PoolId]:
    return (
        ClassName(context.route.name),
        AccountId(context.account or ""),
        PoolId(context.service.name),
    )
