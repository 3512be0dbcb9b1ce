"""Planned calls of a trace and the records of their results."""

import dataclasses
import enum
import hashlib
import random
from typing import Any

import msgspec

from pomelolug.experiments._trace import LoadSpec, Trace
from pomelolug.testing._tokens import AnswerCheck, prompt_digest

__all__ = ["CallOutcome", "CallPlan", "CallRecord", "plan_calls"]

_CHAT_PATH = "/v1/chat/completions"
_SERVICE_PREFIX = "/services/"
_PROMPT_WORDS = (
    "mesh inlet solver residual booking sitter walk visit plan summary".split()
)


class CallOutcome(enum.Enum):
    """Outcome of a call as seen by its caller.

    The first three are reported to the caller. ``LOST`` means that the caller
    received neither a complete answer nor an outcome.
    """

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "outcome_unknown"
    LOST = "lost"


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallPlan:
    """A call to be made `at_s` seconds after the start."""

    call_id: str
    at_s: float
    load: LoadSpec
    path: str
    body: bytes
    digest: str
    tokens: int
    idempotency_key: str
    deadline_s: float

    @property
    def is_service(self) -> bool:
        """Whether the call is to a plain service rather than a model."""
        return self.path.startswith(_SERVICE_PREFIX)


@dataclasses.dataclass(kw_only=True)
class CallRecord:
    """Result of the call `plan` through the gateway `gateway`.

    Times are seconds on the caller's monotonic clock; `token_gaps_s` holds the
    times between successive tokens.
    """

    plan: CallPlan
    gateway: str
    sent_s: float
    first_token_s: float | None = None
    ended_s: float = 0.0
    token_gaps_s: list[float] = dataclasses.field(default_factory=list)
    outcome: CallOutcome = CallOutcome.LOST
    status: int = 0
    code: str = ""
    request_id: str = ""
    check: AnswerCheck | None = None

    @property
    def crossed(self) -> bool:
        """Whether the answer contains tokens of another request."""
        return self.check is not None and self.check.crossed > 0

    @property
    def truncated(self) -> bool:
        """Whether a regularly ended answer has missing, repeated or garbage text."""
        if self.outcome is not CallOutcome.ANSWERED or self.check is None:
            return False
        return not self.check.is_exact and not self.crossed


def plan_calls(trace: Trace) -> list[CallPlan]:
    """Return the calls of `trace`, sorted by time.

    The result is deterministic: it depends only on the trace.
    """
    rng = random.Random(trace.random_state)
    plans = []
    for load_index, load in enumerate(trace.loads):
        end_s = trace.duration_s if load.end_s is None else load.end_s
        at_s = load.start_s + rng.expovariate(load.rate_per_s)
        call_index = 0
        while at_s < end_s:
            call_id = f"{trace.name}-{load_index}-{call_index}"
            plans.append(_plan_call(trace, load, call_id, at_s, rng))
            at_s += rng.expovariate(load.rate_per_s)
            call_index += 1
    return sorted(plans, key=lambda plan: (plan.at_s, plan.call_id))


def _plan_call(
    trace: Trace, load: LoadSpec, call_id: str, at_s: float, rng: random.Random
) -> CallPlan:
    work_class = trace.work_class(load.work_class)
    tokens = rng.randint(*load.tokens)
    prompt = load.prompt or _generate_prompt(load, call_id)
    content: dict[str, Any]
    path = load.path
    if work_class.service:
        path = f"{load.path}?call={call_id}"
        content = {"call": call_id, "text": prompt}
    elif load.path == _CHAT_PATH:
        message = {"role": "user", "content": prompt}
        content = {"model": work_class.pool, "messages": [message]}
        content |= {"max_tokens": tokens, "stream": True}
    else:
        content = {"model": work_class.pool, "prompt": prompt}
        content |= {"max_tokens": tokens, "stream": True}
    body = msgspec.json.encode(content)
    digest = (
        hashlib.sha256(body).hexdigest()
        if work_class.service
        else prompt_digest(content)
    )
    non_idempotent = load.non_idempotent or not work_class.idempotent
    return CallPlan(
        call_id=call_id,
        at_s=at_s,
        load=load,
        path=path,
        body=body,
        digest=digest,
        tokens=tokens,
        idempotency_key=f"key-{call_id}-{rng.getrandbits(64):x}"
        if non_idempotent
        else "",
        deadline_s=work_class.deadline_s,
    )


def _generate_prompt(load: LoadSpec, call_id: str) -> str:
    # Calls of one account and class share a prefix, as prompt templates do.
    rng = random.Random(f"{load.account} {load.work_class}")
    words = []
    length = 0
    while length < load.prompt_chars:
        words.append(rng.choice(_PROMPT_WORDS))
        length += len(words[-1]) + 1
    return f"{' '.join(words)} {call_id}"
