"""Budget of requests that are sent to a further server."""

from collections.abc import Callable

from pomelolug.clock import Clock
from pomelolug.entry._call import Call
from pomelolug.ids import AccountId, ClassName, PoolId
from pomelolug.retries import RetryBudget

__all__ = ["Repeats"]

_RATIO_PART = 0.8
"""Part of the declared ratio that nodes spend, since they count separately."""
_RESERVE_PART = 0.5


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
        Nodes that share the reserve.
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
        part = max(reserve * _RESERVE_PART / max(nodes, 1), 3.0)
        self._budget = RetryBudget(
            clock=clock,
            ratio=ratio * _RATIO_PART,
            reserve=part,
            most=2 * part,
        )
        self._on_denied = on_denied

    def allow(self, call: Call) -> bool:
        """Take one repeat from the budget; return whether there was one."""
        allowed = self._budget.try_spend(*_key(call))
        if not allowed:
            self._on_denied()
        return allowed

    def answered(self, call: Call) -> None:
        """Earn a part of a repeat for an answered request."""
        self._budget.on_success(*_key(call))


def _key(call: Call) -> tuple[ClassName, AccountId, PoolId]:
    return (
        ClassName(call.route.name),
        AccountId(call.account or ""),
        PoolId(call.service.name),
    )
