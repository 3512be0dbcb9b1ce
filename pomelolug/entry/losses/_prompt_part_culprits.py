"""Which parts of prompts explain the losses of servers.

Each lost server was running several requests, so each loss makes all parts of their
prompts suspect. The part that explains most losses with the fewest requests is taken
for their cause, and these losses then count for no other part.
"""

import dataclasses
from collections.abc import Container, Iterable, Mapping, Sequence

__all__ = ["PartLoss", "find_culprits"]

_MIN_LOSSES = 3
"""Servers, and requests with the part that they ran, that have to be lost."""
_MIN_LOSSES_WITH_TWO_REQUESTS = 5
"""Servers that have to be lost with only two requests, or all at about the same time.

One request alone is refused after three, and a fabric domain usually has fewer groups.
"""
_MIN_LOSSES_IF_ANSWERED = 5
"""Both numbers for a part on which an answer was written lately."""
_MIN_SPAN_S = 1.5
"""Least time between the first and the last of fewer losses.

Groups that are lost at the same moment, with a fabric domain, are noticed up to a
second apart. Requests with a harmless part are answered meanwhile, which clears it.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class PartLoss:
    """Loss of a server that ran a request with a part; `at_s` is a monotonic time."""

    request: str
    loss: str
    at_s: float


def find_culprits(
    losses_by_part: Mapping[str, Sequence[PartLoss]], *, answered: Container[str]
) -> list[frozenset[str]]:
    """Return sets of parts; requests that have all parts of one of them crash servers.

    A set has more than one part if these were lost only together, so that it is not
    known yet which of them is the cause. A request with one of them can tell.

    Parameters
    ----------
    losses_by_part : mapping of str to sequence of PartLoss
        Losses since the last answer on each part.
    answered : container of str
        Parts on which an answer was written lately.
    """
    culprits: list[frozenset[str]] = []
    explained: set[str] = set()
    while True:
        left = {
            part: [loss for loss in losses if loss.loss not in explained]
            for part, losses in losses_by_part.items()
        }
        suspects = [
            part for part, losses in left.items() if _suffices(losses, part in answered)
        ]
        if not suspects:
            return culprits
        first = min(suspects, key=lambda part: _rank(part, left[part]))
        first_losses, first_requests = _losses(left[first]), _requests(left[first])
        culprits.append(
            frozenset(
                part
                for part, losses in left.items()
                if _losses(losses) >= first_losses
                and _requests(losses) >= first_requests
            )
        )
        explained |= first_losses


def _suffices(losses: Sequence[PartLoss], is_answered: bool) -> bool:
    """Return whether losses are enough to refuse requests with a part."""
    if not losses:
        return False
    times_s = [loss.at_s for loss in losses]
    is_span_long = max(times_s) - min(times_s) >= _MIN_SPAN_S
    loss_count, request_count = len(_losses(losses)), len(_requests(losses))
    least_count = min(loss_count, request_count)
    if is_answered:
        return is_span_long and least_count >= _MIN_LOSSES_IF_ANSWERED
    if request_count > 1 and loss_count >= _MIN_LOSSES_WITH_TWO_REQUESTS:
        return True
    return is_span_long and least_count >= _MIN_LOSSES


def _rank(part: str, losses: Sequence[PartLoss]) -> tuple[int, int, str]:
    return -len(_losses(losses)), len(_requests(losses)), part


def _losses(losses: Iterable[PartLoss]) -> set[str]:
    return {loss.loss for loss in losses}


def _requests(losses: Iterable[PartLoss]) -> set[str]:
    return {loss.request for loss in losses}
