"""Choice of a group or server for one request."""

import dataclasses
import random
from collections.abc import Sequence

from pomelolug.deployment import BackendServer, EngineProfile, ModelProfile
from pomelolug.ids import ZoneId

__all__ = ["Candidate", "choose", "first_event_s", "pass_s"]

ZONE_COST_S = 0.04
"""Expected delay, in seconds, that must be saved to leave the zone.

Bytes between zones are paid for, and the load in other zones is known about half a
second later than that of the own zone.
"""
_TIE_S = 0.001
"""Scores closer than this are equal; the load reports are older than that."""


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A server that could run the request, and its expected delay."""

    server: BackendServer
    delay_s: float


def pass_s(engine: EngineProfile, model: ModelProfile, running: float) -> float:
    """Return the time between two events of a stream, in seconds.

    Parameters
    ----------
    engine : EngineProfile
        Timing of the service.
    model : ModelProfile
        Model with its pace.
    running : float
        Requests that the group runs.
    """
    context = engine.mean_prompt_tokens + engine.mean_answer_tokens / 2
    step_ms = engine.step_ms + running * (
        engine.step_ms_per_request + engine.step_ms_per_1000_tokens * context / 1000.0
    )
    return model.time_factor * step_ms * engine.tokens_per_event / 1000.0


def first_event_s(
    engine: EngineProfile, model: ModelProfile, in_flight: int, prompt_tokens: int
) -> float:
    """Return the expected time to the first event, in seconds.

    A request joins the batch at the next pass; beyond the slots it waits until
    as many requests have ended as are before it.
    """
    running = min(in_flight, engine.slots)
    one_pass_s = pass_s(engine, model, running + 1)
    prefill_s = (
        model.time_factor * prompt_tokens / max(engine.prefill_tokens_per_s, 1.0)
    )
    events = engine.mean_answer_tokens / engine.tokens_per_event
    waiting = max(in_flight - engine.slots + 1, 0)
    wait_s = waiting * one_pass_s * events / max(engine.slots, 1)
    return wait_s + 1.5 * one_pass_s + prefill_s


def choose(
    candidates: Sequence[Candidate], *, zone: ZoneId, rng: random.Random
) -> Candidate | None:
    """Return the candidate with the least delay, the own zone preferred.

    Examples
    --------
    >>> choose([], zone="a", rng=random.Random(0)) is None
    True
    """
    if not candidates:
        return None
    scores = [
        c.delay_s + (0.0 if c.server.zone == zone else ZONE_COST_S) for c in candidates
    ]
    least = min(scores)
    best = [
        c
        for c, score in zip(candidates, scores, strict=True)
        if score <= least + _TIE_S
    ]
    return rng.choice(best)
