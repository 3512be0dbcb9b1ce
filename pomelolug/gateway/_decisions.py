"""Recent decisions, kept so that an operator can have one explained."""

import collections

__all__ = ["DecisionLog"]

_MAX_REQUESTS = 2000
_MAX_STEPS = 16


class DecisionLog:
    """Bounded record of what was decided for recent requests.

    Examples
    --------
    >>> log = DecisionLog()
    >>> log.note("r1", "g7", "complete")
    >>> log.explain("r1")
    ('g7: complete',)
    """

    def __init__(self) -> None:
        self._steps: collections.OrderedDict[str, list[str]] = collections.OrderedDict()

    def note(self, request_id: str, place: str, decision: str) -> None:
        """Add one step of `request_id`, for example a group and its result."""
        steps = self._steps.setdefault(request_id, [])
        if len(steps) < _MAX_STEPS:
            steps.append(f"{place}: {decision}")
        if len(self._steps) > _MAX_REQUESTS:
            self._steps.popitem(last=False)

    def explain(self, request_id: str) -> tuple[str, ...]:
        """Return the steps of `request_id`, empty if it is not known."""
        return tuple(self._steps.get(request_id, ()))
