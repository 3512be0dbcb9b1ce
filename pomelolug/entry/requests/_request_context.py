"""State of a caller's request while this node processes it."""

import dataclasses
import datetime
import random

import msgspec

from pomelolug.deployment import Declaration, Route, Service
from pomelolug.entry.losses import RequestIdentity
from pomelolug.entry.requests._peer_forwarding import (
    ForwardedRequest,
    encode_forwarded,
    encode_outcome,
)
from pomelolug.entry.requests._request_record import RequestRecord
from pomelolug.entry.servers import ServerWait, WaitCause
from pomelolug.errors import ErrorCode, Outcome, RequestError
from pomelolug.ids import AccountId, VmId
from pomelolug.platform import (
    RequestHead,
    forwarded_headers,
    implies_not_run,
    outcome_headers,
    peer_headers,
    refusal_headers,
)
from pomelolug.transport import Exchange, encode_request

__all__ = [
    "RequestContext",
    "RoutedRequest",
    "no_room_error",
    "not_run_error",
    "reply_error",
    "server_wait_error",
    "unknown_outcome_error",
]

_RETRY_AFTER_NO_ROOM = datetime.timedelta(seconds=1)
"""Shortest Retry-After time if servers take requests, but others came first."""
_WAIT_CODES = {
    WaitCause.LIMIT: ErrorCode.SERVER_LIMIT,
    WaitCause.COLD: ErrorCode.SERVER_COLD,
    WaitCause.PAUSE: ErrorCode.SERVER_PAUSED,
    WaitCause.EVACUATED: ErrorCode.ZONES_EVACUATED,
}


@dataclasses.dataclass(slots=True, kw_only=True)
class RoutedRequest:
    """What decides where a caller's request goes: its route, service and account.

    `arrived_at_s` and `deadline_at_s` are monotonic seconds of the event loop's clock,
    which `SystemClock.monotonic` returns.
    At the deadline, the caller has left or the timeout of the route has passed.
    `is_forwarded` is true if another node sent the request, which must not be passed
    on again.
    """

    request_head: RequestHead
    declaration: Declaration
    route: Route
    service: Service
    account: AccountId | None
    urgency: int
    arrived_at_s: float
    deadline_at_s: float
    is_forwarded: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class RequestContext(RoutedRequest):
    """A caller's request while this node processes it.

    `identity` identifies the request when its caller sends it again.
    `prior_runs` is the number of runs that may have happened before.
    """

    exchange: Exchange
    identity: RequestIdentity
    record: RequestRecord
    prior_runs: int = 0

    @property
    def may_have_run(self) -> bool:
        """Whether the request may have run on any of the servers tried."""
        return any(attempt.may_have_run for attempt in self.record.attempts)

    def promises_falsely(self, status: int) -> bool:
        """Return whether a status of a server must not be passed on.

        Callers of requests that may run only once take it as the promise that theirs
        has not run, which the server did not state.
        """
        return implies_not_run(status) and not self.route.is_repeatable

    def encode_for_server(
        self, server: VmId, *, now_s: float, last_event_id: int | None
    ) -> bytes:
        """Return the encoded request for a server."""
        headers = forwarded_headers(
            self.exchange.headers,
            server=server,
            remaining_s=self.deadline_at_s - now_s,
            account=self.account,
            last_event_id=last_event_id,
            urgency=self.urgency if self.route.is_model_route else None,
        )
        return encode_request(
            self.exchange.method, self.exchange.target, headers, self.exchange.body
        )

    def encode_for_peer(
        self, *, now_s: float, last_event_id: int | None, possible_runs: int
    ) -> bytes:
        """Return the encoded request for another node.

        Parameters
        ----------
        now_s : float
            Current monotonic time, from which the remaining time follows.
        last_event_id : int or None
            Id of the last event that the caller has.
        possible_runs : int
            Number of times that the request may have run so far.
        """
        forwarded = ForwardedRequest(
            declaration_version=self.declaration.version, possible_runs=possible_runs
        )
        headers = peer_headers(
            self.exchange.headers,
            remaining_s=self.deadline_at_s - now_s,
            last_event_id=last_event_id,
            forwarded=encode_forwarded(forwarded),
        )
        return encode_request(
            self.exchange.method, self.exchange.target, headers, self.exchange.body
        )


def reply_error(
    exchange: Exchange,
    error: RequestError,
    request_head: RequestHead,
    retry_after_s: float | None = None,
    *,
    is_forwarded: bool = False,
) -> None:
    """Send an error response with a JSON body.

    If another node forwarded the request, a header field states the outcome and marks
    the response as an error of this node rather than of a server.
    """
    body = msgspec.json.encode(
        {
            "error": {
                "code": error.code.value,
                "message": str(error),
                "outcome": error.outcome.value,
                "request_id": request_head.request_id,
            }
        }
    )
    headers = refusal_headers(request_head.request_id, retry_after_s)
    if is_forwarded:
        headers += outcome_headers(encode_outcome(error.outcome, error.code))
    exchange.reply(error.status, headers, body)


def not_run_error(code: ErrorCode, message: str) -> RequestError:
    """Return an error stating that the request did not run."""
    return RequestError(code, message, status=503, outcome=Outcome.NOT_RUN)


def server_wait_error(wait: ServerWait, rng: random.Random) -> RequestError:
    """Return an error stating when servers take requests again.

    The Retry-After is longer by a random part of the spread, so that the callers who
    were refused meanwhile do not return simultaneously.
    """
    retry_after_s = wait.wait_s + rng.uniform(0.0, wait.return_spread_s)
    return RequestError(
        _WAIT_CODES[wait.cause],
        f"no server takes requests now: {wait.cause.value}",
        status=503,
        outcome=Outcome.NOT_RUN,
        retry_after=datetime.timedelta(seconds=retry_after_s),
    )


def no_room_error(rng: random.Random) -> RequestError:
    """Return an error stating that other requests took each place that was chosen."""
    return RequestError(
        ErrorCode.BACKEND_REFUSED,
        "no server took the request",
        status=503,
        outcome=Outcome.NOT_RUN,
        retry_after=_RETRY_AFTER_NO_ROOM * rng.uniform(1.0, 2.0),
    )


def unknown_outcome_error(
    code: ErrorCode, message: str, *, status: int = 502
) -> RequestError:
    """Return an error stating that the request may have run."""
    return RequestError(code, message, status=status, outcome=Outcome.UNKNOWN)
