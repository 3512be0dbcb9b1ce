"""Per-request log of gateway decisions, published for operators."""

from collections.abc import Callable

from pomelolug.messages import Explanation

__all__ = ["DecisionLog"]

_MAX_REQUESTS = 4096
_MAX_STEPS_PER_REQUEST = 16


class DecisionLog:
    """Collects the steps of each request and publishes them when it ends.

    The number of requests with steps and the number of steps of each request are
    limited; further steps are dropped.

    Parameters
    ----------
    publish : callable
        Called with the `Explanation` of each request that has ended.

    Examples
    --------
    >>> seen = []
    >>> log = DecisionLog(seen.append)
    >>> log.record("r1", "g7", "complete")
    >>> log.finish("r1", "answered")
    >>> seen[0].steps
    ('g7: complete', 'outcome: answered')
    """

    def __init__(self, publish: Callable[[Explanation], object]) -> None:
        self._publish = publish
        self._steps: dict[str, list[str]] = {}

    def record(self, request_id: str, target: str, decision: str) -> None:
        """Add a step to `request_id`, for example a group and the result there."""
        if request_id not in self._steps and len(self._steps) >= _MAX_REQUESTS:
            return
        steps = self._steps.setdefault(request_id, [])
        if len(steps) < _MAX_STEPS_PER_REQUEST:
            steps.append(f"{target}: {decision}")

    def finish(self, request_id: str, outcome: str) -> None:
        """Publish the steps of `request_id` with its outcome and remove them."""
        steps = self._steps.pop(request_id, [])
        steps.append(f"outcome: {outcome}")
        self._publish(Explanation(request_id=request_id, steps=tuple(steps)))
