"""Limit on retries that are sent to further servers."""

from collections.abc import Callable

from pomelolug.clock import Clock
from pomelolug.entry.requests._request_context import RequestContext
from pomelolug.ids import AccountId, PoolId, WorkClassName
from pomelolug.retries import RetryBudget

__all__ = ["RetryLimiter"]

_RATIO_SHARE = 0.8
"""Fraction of the configured ratio that nodes spend, since they count separately."""
_RESERVE_SHARE = 0.5
_MAX_SAVED_FACTOR = 2.0
"""Retries that a node may save up, as a multiple of its share of the reserve.

Together with `_RESERVE_SHARE`, this keeps what all nodes save up within the reserve.
"""
_MIN_SAVED_LIMIT = 1.0
"""Retries earned by its own requests that each node may save up in any case."""


class RetryLimiter:
    """Limits the retries that this node adds to the load of a service.

    The limit holds for all nodes together: each node spends its share of the
    reserve, and the ratio of its own requests.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    ratio : float
        Retries per request, over all nodes.
    reserve : float
        Additional retries of all nodes in a window.
    node_count : int
        Number of nodes that share the reserve, as known at the start.
    on_denied : callable
        Called when the budget denies a retry.
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
            capacity=max(_MAX_SAVED_FACTOR * reserve_share, _MIN_SAVED_LIMIT),
        )
        self._on_denied = on_denied

    def set_node_count(self, node_count: int) -> None:
        """Divide the reserve among a new number of nodes."""
        if node_count != self._node_count:
            self._node_count = max(node_count, 1)
            reserve_share = self._reserve_share()
            self._budget.resize(
                reserve=reserve_share,
                capacity=max(_MAX_SAVED_FACTOR * reserve_share, _MIN_SAVED_LIMIT),
            )

    def _reserve_share(self) -> float:
        return self._reserve * _RESERVE_SHARE / self._node_count

    def try_spend(self, context: RequestContext) -> bool:
        """Take one retry from the budget; return whether one was left."""
        allowed = self._budget.try_spend(*_budget_key(context))
        if not allowed:
            self._on_denied()
        return allowed

    def on_success(self, context: RequestContext) -> None:
        """Credit the budget with a fraction of a retry for an answered request."""
        self._budget.on_success(*_budget_key(context))


def _budget_key(context: RequestContext) -> tuple[WorkClassName, AccountId, PoolId]:
    return (
        WorkClassName(context.route.name),
        AccountId(context.account or ""),
        PoolId(context.service.name),
    )
