"""Records of a request and its attempts, for the log line and the metrics."""

import dataclasses
import enum
from typing import Any

from pomelolug.entry.losses import RequestIdentity
from pomelolug.errors import ErrorCode
from pomelolug.ids import AccountId, RequestId, VmId

__all__ = ["AttemptRecord", "GroupChoice", "RequestRecord"]

_RUNNING = "running"
_UNREACHED_RESULTS = frozenset(
    {
        "closed_before_send",
        "connect_refused",
        "connect_timeout",
        "invalid_address",
        "no_descriptor",
    }
)
"""Results of attempts that had no connection to the server on which to send."""


class GroupChoice(enum.Enum):
    """How the group of a run was chosen."""

    OWN = "own"
    """By the node, in a zone without a dispatcher."""
    ASSIGNED = "assigned"
    """By a dispatcher."""
    NO_REPLY = "no_reply"
    """By the node, since no dispatcher replied that has groups."""
    UNUSABLE = "unusable"
    """By the node, since it may not send to the assigned group."""
    REPEATED = "repeated"
    """Not chosen: the server whose kept connection has ended is asked once more."""
    SUSPECTED = "suspected"
    """By the node, among the groups that are suspected, for a stream that has begun."""


@dataclasses.dataclass(slots=True)
class AttemptRecord:
    """Server selected for one attempt, and the result.

    `choice` tells how the group of a stream was chosen. `may_have_run` is set when the
    request has been sent, and cleared if the server refuses it. `limit_per_s` is the
    limit of the server, None if it has none. `is_cold` tells whether the server is
    cold. `node` is the address of the node that the request was passed on to instead
    of a server.
    """

    server: VmId
    in_flight: int
    candidate_count: int
    limit_per_s: float | None = None
    is_cold: bool = False
    choice: GroupChoice = GroupChoice.OWN
    result: str = _RUNNING
    may_have_run: bool = False
    node: str = ""

    @property
    def has_reached_server(self) -> bool:
        """Whether there was a connection to the server on which to send."""
        return self.result not in _UNREACHED_RESULTS

    def log_fields(self) -> dict[str, Any]:
        """Return the fields of the log line."""
        if self.node:
            return {"node": self.node, "result": self.result}
        fields: dict[str, Any] = {
            "server": self.server,
            "in_flight": self.in_flight,
            "candidates": self.candidate_count,
            "choice": self.choice.value,
            "result": self.result,
        }
        if self.limit_per_s is not None:
            fields["limit_per_s"] = self.limit_per_s
        if self.is_cold:
            fields["cold"] = True
        return fields


@dataclasses.dataclass(slots=True)
class RequestRecord:
    """Routing, attempts and result of one request.

    `known_losses` counts the servers that were known, when the request arrived, to have
    been lost while running it. `is_forwarded` is true if another node, rather than a
    caller, sent it.
    """

    request_id: RequestId
    route: str = ""
    account: AccountId | None = None
    declaration_version: int = -1
    registry_age_s: float = 0.0
    identity: RequestIdentity | None = None
    known_losses: int = 0
    is_forwarded: bool = False
    status: int = 0
    code: ErrorCode | None = None
    first_event_s: float | None = None
    event_count: int = 0
    attempts: list[AttemptRecord] = dataclasses.field(default_factory=list)

    @property
    def has_reached_no_server(self) -> bool:
        """Whether the request was tried, and no server could be connected to."""
        return bool(self.attempts) and not any(
            attempt.has_reached_server for attempt in self.attempts
        )

    def mark_last_attempt(self, result: str) -> None:
        """Set the result of an attempt that ended without one."""
        if self.attempts and self.attempts[-1].result == _RUNNING:
            self.attempts[-1].result = result

    def log_fields(self) -> dict[str, Any]:
        """Return the fields of the log line."""
        identity = self.identity
        return {
            "request": self.request_id,
            "route": self.route,
            "account": self.account,
            "version": self.declaration_version,
            "registry_age_s": round(self.registry_age_s, 3),
            "fingerprint": identity.request if identity is not None else "",
            "prompt_parts": identity.prompt_parts if identity is not None else (),
            "known_losses": self.known_losses,
            "forwarded": self.is_forwarded,
            "status": self.status,
            "code": self.code.value if self.code is not None else "",
            "first_s": round(self.first_event_s, 4)
            if self.first_event_s is not None
            else None,
            "events": self.event_count,
            "attempts": [attempt.log_fields() for attempt in self.attempts],
        }
