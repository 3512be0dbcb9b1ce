"""Planned calls of a trace and what their callers saw."""

import dataclasses
import enum
import hashlib
import random
from typing import Any

import msgspec

from pomelolug.experiments._trace import LoadSpec, Trace
from pomelolug.testing._tokens import AnswerCheck, prompt_digest

__all__ = ["CallPlan", "CallRecord", "Ending", "plan_calls"]

_CHAT_PATH = "/v1/chat/completions"
_SERVICE_PREFIX = "/services/"
_WORDS = "mesh inlet solver residual booking sitter walk visit plan summary".split()


class Ending(enum.Enum):
    """How a call ended from its caller's point of view.

    The first three are outcomes that the caller was told. ``LOST`` means no
    answer and no stated outcome.
    """

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "outcome_unknown"
    LOST = "lost"


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallPlan:
    """One call to be made at `at_s` seconds after the start."""

    call_id: str
    at_s: float
    load: LoadSpec
    path: str
    body: bytes
    digest: str
    tokens: int
    key: str
    deadline_s: float

    @property
    def is_service(self) -> bool:
        """Whether the call goes to a plain service."""
        return self.path.startswith(_SERVICE_PREFIX)


@dataclasses.dataclass(kw_only=True)
class CallRecord:
    """What the caller of `plan` saw through the gateway `gateway`.

    Times are readings of the caller's monotonic clock in seconds; `gaps` holds
    the times between tokens.
    """

    plan: CallPlan
    gateway: str
    sent: float
    first: float | None = None
    ended: float = 0.0
    gaps: list[float] = dataclasses.field(default_factory=list)
    ending: Ending = Ending.LOST
    status: int = 0
    code: str = ""
    request_id: str = ""
    check: AnswerCheck | None = None

    @property
    def crossed(self) -> bool:
        """Whether the answer holds anything of another request."""
        return self.check is not None and self.check.crossed > 0

    @property
    def truncated(self) -> bool:
        """Whether a clean end hides missing, repeated or foreign text."""
        if self.ending is not Ending.ANSWERED or self.check is None:
            return False
        return not self.check.is_exact and not self.crossed


def plan_calls(trace: Trace) -> list[CallPlan]:
    """Return the calls of `trace` in order of time.

    The same trace gives the same calls.
    """
    source = random.Random(trace.random_state)
    plans = []
    for number, load in enumerate(trace.loads):
        end_s = trace.duration_s if load.end_s is None else load.end_s
        at_s = load.start_s + source.expovariate(load.rate_per_s)
        serial = 0
        while at_s < end_s:
            call_id = f"{trace.name}-{number}-{serial}"
            plans.append(_plan_call(trace, load, call_id, at_s, source))
            at_s += source.expovariate(load.rate_per_s)
            serial += 1
    return sorted(plans, key=lambda plan: (plan.at_s, plan.call_id))


def _plan_call(
    trace: Trace, load: LoadSpec, call_id: str, at_s: float, source: random.Random
) -> CallPlan:
    declared = trace.work_class(load.work_class)
    tokens = source.randint(*load.tokens)
    prompt = load.prompt or _prompt(load, call_id)
    content: dict[str, Any]
    path = load.path
    if declared.service:
        path = f"{load.path}?call={call_id}"
        content = {"call": call_id, "text": prompt}
    elif load.path == _CHAT_PATH:
        message = {"role": "user", "content": prompt}
        content = {"model": declared.pool, "messages": [message]}
        content |= {"max_tokens": tokens, "stream": True}
    else:
        content = {"model": declared.pool, "prompt": prompt}
        content |= {"max_tokens": tokens, "stream": True}
    body = msgspec.json.encode(content)
    digest = (
        hashlib.sha256(body).hexdigest() if declared.service else prompt_digest(content)
    )
    non_idempotent = load.non_idempotent or not declared.idempotent
    return CallPlan(
        call_id=call_id,
        at_s=at_s,
        load=load,
        path=path,
        body=body,
        digest=digest,
        tokens=tokens,
        key=f"key-{call_id}-{source.getrandbits(64):x}" if non_idempotent else "",
        deadline_s=declared.deadline_s,
    )


def _prompt(load: LoadSpec, call_id: str) -> str:
    # Calls of one account and class share a prefix, as templates do.
    source = random.Random(f"{load.account} {load.work_class}")
    words = []
    length = 0
    while length < load.prompt_chars:
        words.append(source.choice(_WORDS))
        length += len(words[-1]) + 1
    return f"{' '.join(words)} {call_id}"
