"""What callers and servers saw of each request."""

import dataclasses
import enum

from pomelolug.testing import CallerResponse

__all__ = ["CallKind", "End", "SentCall", "ServerRun"]


class CallKind(enum.Enum):
    """Routes of the sample deployment."""

    SAFE = "safe"
    ONCE = "once"
    STREAM = "stream"


class End(enum.Enum):
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

    request: str
    kind: CallKind
    path: str
    digest: str
    account: str
    key: str
    entry: str
    sent_at: float
    events: int = 0
    fresh: bool = True
    """Whether the connection carried no earlier request."""
    answer: CallerResponse = dataclasses.field(default_factory=CallerResponse)
    ended_at: float = 0.0
    end: End = End.BROKEN


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServerRun:
    """One run that a server began, as the server told it."""

    request: str
    vm: str
    account: str
    key: str
    path: str
    digest: str
    at: float
