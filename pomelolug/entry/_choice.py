"""Selection of a replica group by its expected delay."""

import dataclasses
import random
from collections.abc import Sequence

from pomelolug.deployment import BackendServer, EngineProfile, ModelProfile
from pomelolug.ids import ZoneId

__all__ = [
    "Candidate",
    "estimate_event_interval_s",
    "estimate_first_event_s",
    "select_candidate",
]

CROSS_ZONE_PENALTY_S = 0.04
"""Expected delay, in seconds, that a group in another zone must save.

Traffic between zones is billed, and the load in other zones is known about half a
second later than in the local zone.
"""
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


def select_candidate(
    candidates: Sequence[Candidate], *, zone: ZoneId, rng: random.Random
) -> Candidate | None:
    """Return the candidate with the lowest delay, preferring the local zone.

    Candidates with equal scores are chosen from at random.

    Examples
    --------
    >>> select_candidate([], zone="a", rng=random.Random(0)) is None
    True
    """
    if not candidates:
        return None
    scores_s = [
        c.expected_delay_s + (0.0 if c.server.zone == zone else CROSS_ZONE_PENALTY_S)
        for c in candidates
    ]
    lowest_score_s = min(scores_s)
    best = [
        c
        for c, score_s in zip(candidates, scores_s, strict=True)
        if score_s <= lowest_score_s + _TIE_TOLERANCE_S
    ]
    return rng.choice(best)
