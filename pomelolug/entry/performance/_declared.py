"""Expected delays by the declared figures of an engine."""

from pomelolug.deployment import BackendServer, EngineProfile, ModelProfile
from pomelolug.entry.performance._base import DelayEstimator

__all__ = [
    "DeclaredDelayEstimator",
    "estimate_event_interval_s",
    "estimate_first_event_s",
]


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


class DeclaredDelayEstimator(DelayEstimator):
    """Estimates that rest on the declaration alone; all servers count as equal."""

    def first_event_s(
        self,
        head: BackendServer,
        engine: EngineProfile,
        model: ModelProfile,
        *,
        in_flight: int,
        prompt_tokens: int,
    ) -> float:
        """Return the declared time to the first event, in seconds."""
        return estimate_first_event_s(engine, model, in_flight, prompt_tokens)

    def limit(self, head: BackendServer, engine: EngineProfile) -> int:
        """Return the declared number of slots."""
        return engine.slots
