"""Records of requests, as callers and servers saw them."""

import dataclasses
import enum

from pomelolug.testing import CallerResponse

__all__ = [
    "TAINTED_PATH_PART",
    "CallKind",
    "CallOutcome",
    "SentCall",
    "ServerRun",
    "TurnedAwayRequest",
]

TAINTED_PATH_PART = "/tainted/"
"""Marks the paths of calls with a part of the prompt that crashes servers."""


class CallKind(enum.Enum):
    """Kinds of routes of the sample deployment."""

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
    """The run ended before the call did."""
    NOT_CONNECTED = "not_connected"


@dataclasses.dataclass(kw_only=True)
class SentCall:
    """Call that a caller sent; times are in seconds of the monotonic clock."""

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
    answer: CallerResponse = dataclasses.field(default_factory=CallerResponse)
    ended_at_s: float = 0.0
    outcome: CallOutcome = CallOutcome.BROKEN


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServerRun:
    """Execution that a server started, as the server reported it."""

    request_id: str
    vm: str
    account: str
    key: str
    path: str
    body_digest: str
    started_at_s: float
    life: int = 0
    """Number of restarts of the server before."""
    is_server_leaving: bool = False
    """Whether the server stated that it leaves."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class TurnedAwayRequest:
    """Request that a server turned away while it asked for a pause."""

    request_id: str
    vm: str
    life: int
    pause_s: float
    at_s: float
