"""Budget of requests that are sent to a further server."""

from collections.abc import Callable

from pomelolug.clock import Clock
from pomelolug.entry._call import Call
from pomelolug.ids import AccountId, PoolId, WorkClassName
from pomelolug.retries import RetryBudget

__all__ = ["Repeats"]

_RATIO_PART = 0.8
"""Part of the declared ratio that nodes spend, since they count separately."""
_RESERVE_PART = 0.5
_SAVED = 2.0
"""Repeats that a node saves up, as a factor on its part of the reserve; with the
part above, all nodes together save up no more than the reserve.
"""
_LEAST_SAVED = 1.0
"""Repeats that each node can save up of what its requests earn."""


class Repeats:
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
    nodes : int
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
        nodes: int,
        on_denied: Callable[[], None],
    ) -> None:
        self._reserve = reserve
        self._nodes = max(nodes, 1)
        part = self._part()
        self._budget = RetryBudget(
            clock=clock,
            ratio=ratio * _RATIO_PART,
            reserve=part,
            most=max(_SAVED * part, _LEAST_SAVED),
        )
        self._on_denied = on_denied

    def share_among(self, nodes: int) -> None:
        """Divide the reserve anew after the number of nodes has changed."""
        if nodes != self._nodes:
            self._nodes = max(nodes, 1)
            part = self._part()
            self._budget.resize(reserve=part, most=max(_SAVED * part, _LEAST_SAVED))

    def _part(self) -> float:
        return self._reserve * _RESERVE_PART / self._nodes

    def allow(self, call: Call) -> bool:
        """Take one repeat from the budget; return whether there was one."""
        allowed = self._budget.try_spend(*_key(call))
        if not allowed:
            self._on_denied()
        return allowed

    def answered(self, call: Call) -> None:
        """Earn a part of a repeat for an answered request."""
        self._budget.on_success(*_key(call))


def _key(call: Call) -> tuple[WorkClassName, AccountId, PoolId]:
    return (
        WorkClassName(call.route.name),
        AccountId(call.account or ""),
        PoolId(call.service.name),
    )
