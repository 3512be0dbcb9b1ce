"""State of a caller's request while this node processes it."""

import dataclasses
import datetime
import random

import msgspec

from pomelolug.deployment import Declaration, Route, Service
from pomelolug.entry._request_identity import RequestIdentity
from pomelolug.entry._request_record import RequestRecord
from pomelolug.entry._server_notices import ServerWait, WaitCause
from pomelolug.errors import ErrorCode, Outcome, RequestError
from pomelolug.ids import AccountId, VmId
from pomelolug.platform import RequestHead, forwarded_headers, refusal_headers
from pomelolug.transport import Exchange, encode_request

__all__ = [
    "RequestContext",
    "not_run_error",
    "reply_error",
    "server_wait_error",
    "unknown_outcome_error",
]

_WAIT_CODES = {
    WaitCause.LIMIT: ErrorCode.SERVER_LIMIT,
    WaitCause.PAUSE: ErrorCode.SERVER_PAUSED,
}


@dataclasses.dataclass(slots=True, kw_only=True)
class RequestContext:
    """A caller's request with its route, service and account.

    `arrived_at_s` and `deadline_at_s` are monotonic seconds of the event loop's clock,
    which `SystemClock.monotonic` returns.
    At the deadline, the caller has left or the timeout of the route has passed.
    `identity` identifies the request when its caller sends it again.
    """

    exchange: Exchange
    request_head: RequestHead
    declaration: Declaration
    route: Route
    service: Service
    account: AccountId | None
    urgency: int
    arrived_at_s: float
    deadline_at_s: float
    identity: RequestIdentity
    record: RequestRecord

    @property
    def may_have_run(self) -> bool:
        """Whether the request may have run on any of the servers tried."""
        return any(attempt.may_have_run for attempt in self.record.attempts)

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


def reply_error(
    exchange: Exchange,
    error: RequestError,
    request_head: RequestHead,
    retry_after_s: float | None = None,
) -> None:
    """Send an error response with a JSON body."""
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
    exchange.reply(
        error.status, refusal_headers(request_head.request_id, retry_after_s), body
    )


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


def unknown_outcome_error(
    code: ErrorCode, message: str, *, status: int = 502
) -> RequestError:
    """Return an error stating that the request may have run."""
    return RequestError(code, message, status=status, outcome=Outcome.UNKNOWN)
