"""Decisions about a request, collected for operators."""

from collections.abc import Callable

from pomelolug.messages import Explanation

__all__ = ["DecisionLog"]

_MAX_REQUESTS = 4096
_MAX_STEPS_PER_REQUEST = 16


class DecisionLog:
    """Collects the steps of each request and passes them on when it ends.

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
        """Add one step of `request_id`, for example a group and its result."""
        if request_id not in self._steps and len(self._steps) >= _MAX_REQUESTS:
            return
        steps = self._steps.setdefault(request_id, [])
        if len(steps) < _MAX_STEPS_PER_REQUEST:
            steps.append(f"{target}: {decision}")

    def finish(self, request_id: str, outcome: str) -> None:
        """Publish and forget the steps of `request_id`."""
        steps = self._steps.pop(request_id, [])
        steps.append(f"outcome: {outcome}")
        self._publish(Explanation(request_id=request_id, steps=tuple(steps)))
