"""Selection of a replica group by its expected delay."""

import dataclasses
import math
import random
from collections.abc import Sequence

from pomelolug.deployment import BackendServer, EngineProfile, ModelProfile
from pomelolug.ids import ZoneId

__all__ = [
    "Candidate",
    "GroupSelector",
    "estimate_event_interval_s",
    "estimate_first_event_s",
]

CROSS_ZONE_PENALTY_S = 0.04
"""Expected delay, in seconds, that a group in another zone must save.

Traffic between zones is billed, and the load in other zones is known about half a
second later than in the local zone.
"""
_DRAWS_PER_GROUP = 2
"""Nodes of a zone that may draw a group for requests of the same moment."""
_MIN_SAMPLE = 2
"""Least number of groups drawn; one alone would be chosen whatever its load."""
_TIE_TOLERANCE_S = 0.001
"""Scores closer than this count as equal; the load reports are older than that."""


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A server that could run the request, with its expected delay."""

    server: BackendServer
    expected_delay_s: float


def estimate_event_interval_s(
    engine: EngineProfile, model: ModelProfile, running_requests: float
) -> float:
    """Return the expected time between two events of a stream, in seconds.

    Parameters
    ----------
    engine : EngineProfile
        Timing of the service's groups.
    model : ModelProfile
        Model, whose pace scales all times.
    running_requests : float
        Number of requests running on the group.
    """
    context_tokens = engine.mean_prompt_tokens + engine.mean_answer_tokens / 2
    step_ms = engine.step_ms + running_requests * (
        engine.step_ms_per_request
        + engine.step_ms_per_1000_tokens * context_tokens / 1000.0
    )
    return model.time_factor * step_ms * engine.tokens_per_event / 1000.0


def estimate_first_event_s(
    engine: EngineProfile, model: ModelProfile, in_flight: int, prompt_tokens: int
) -> float:
    """Return the expected time to the first event, in seconds.

    A pass of the engine produces one event for each running request, and a new
    request joins the batch at the next pass. If all slots are taken, it waits until
    enough requests ahead of it have finished.
    """
    running_requests = min(in_flight, engine.slots)
    interval_s = estimate_event_interval_s(engine, model, running_requests + 1)
    prefill_s = (
        model.time_factor * prompt_tokens / max(engine.prefill_tokens_per_s, 1.0)
    )
    events_per_answer = engine.mean_answer_tokens / engine.tokens_per_event
    queued = max(in_flight - engine.slots + 1, 0)
    wait_s = queued * interval_s * events_per_answer / max(engine.slots, 1)
    return wait_s + 1.5 * interval_s + prefill_s


class GroupSelector:
    """Selects the group with the least expected delay among a random sample.

    All nodes of a zone know about the same loads, up to a second late. If each of them
    chose the least loaded of all groups, they would overload it together until they
    learn of it. So each draws a sample, the smaller the more nodes the zone has; a node
    alone draws all groups.

    Parameters
    ----------
    zone : ZoneId
        Zone of this node, which is preferred.
    rng : random.Random
        Draws the samples, and selects among equal candidates.
    """

    def __init__(self, *, zone: ZoneId, rng: random.Random) -> None:
        self._zone = zone
        self._rng = rng
        self._zone_node_count = 1

    def set_zone_node_count(self, count: int) -> None:
        """Set the number of nodes in the zone, this one included."""
        self._zone_node_count = max(count, 1)

    def select(self, candidates: Sequence[Candidate]) -> Candidate | None:
        """Return a candidate with a low expected delay, None if there are none.

        Examples
        --------
        >>> selector = GroupSelector(zone="a", rng=random.Random(0))
        >>> selector.select([]) is None
        True
        """
        local = [c for c in candidates if c.server.zone == self._zone]
        remote = [c for c in candidates if c.server.zone != self._zone]
        size = max(
            math.ceil(_DRAWS_PER_GROUP * len(local) / self._zone_node_count),
            _MIN_SAMPLE,
        )
        sample = self._draw(local, size) + self._draw(remote, max(size // 2, 2))
        if not sample:
            return None
        lowest_score_s = min(map(self._score_s, sample))
        best = [
            c for c in sample if self._score_s(c) <= lowest_score_s + _TIE_TOLERANCE_S
        ]
        return self._rng.choice(best)

    def _draw(self, candidates: list[Candidate], size: int) -> list[Candidate]:
        if size >= len(candidates):
            return candidates
        return self._rng.sample(candidates, size)

    def _score_s(self, candidate: Candidate) -> float:
        is_local = candidate.server.zone == self._zone
        return candidate.expected_delay_s + (0.0 if is_local else CROSS_ZONE_PENALTY_S)
