"""What callers and servers saw of each request."""

import dataclasses
import enum

from pomelolug.testing import CallerAnswer

__all__ = ["CallKind", "CallOutcome", "SentCall", "ServerRun"]


class CallKind(enum.Enum):
    """Routes of the sample deployment."""

    SAFE = "safe"
    ONCE = "once"
    STREAM = "stream"


class CallOutcome(enum.Enum):
    """How a call ended for its caller."""

    ANSWERED = "answered"
    BROKEN = "broken"
    LEFT = "left"
    OVERDUE = "overdue"
    UNFINISHED = "unfinished"
    """The run ended before the call."""
    NOT_CONNECTED = "not_connected"


@dataclasses.dataclass(kw_only=True)
class SentCall:
    """One call; times are those of the monotonic clock, in seconds."""

    request_id: str
    kind: CallKind
    path: str
    body_digest: str
    account: str
    key: str
    entry: str
    sent_at_s: float
    event_count: int = 0
    is_first_on_connection: bool = True
    """Whether the connection carried no earlier request."""
    answer: CallerAnswer = dataclasses.field(default_factory=CallerAnswer)
    ended_at_s: float = 0.0
    outcome: CallOutcome = CallOutcome.BROKEN


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServerRun:
    """One run that a server began, as the server told it."""

    request_id: str
    vm: str
    account: str
    key: str
    path: str
    body_digest: str
    started_at_s: float
