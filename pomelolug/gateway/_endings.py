"""Errors with which a request ends, each with its honest outcome."""

import datetime

from pomelolug.errors import ErrorCode, Outcome, RequestError

__all__ = [
    "backend_lost",
    "deadline_exceeded",
    "no_backend",
    "outcome_unknown",
    "quarantined",
    "stream_cut",
]

_RETRY_AFTER = datetime.timedelta(seconds=1)


def _outcome(maybe_ran: bool) -> Outcome:
    return Outcome.UNKNOWN if maybe_ran else Outcome.NOT_RUN


def no_backend(what: str) -> RequestError:
    """Nothing can take the request now, and nothing was sent."""
    return RequestError(
        ErrorCode.NO_GROUP,
        f"no {what} is available now",
        status=503,
        retry_after=_RETRY_AFTER,
    )


def stream_cut(reason: str) -> RequestError:
    """The answer has begun and cannot be completed."""
    return RequestError(
        ErrorCode.STREAM_CUT,
        f"the answer broke off: {reason}",
        status=502,
        outcome=Outcome.UNKNOWN,
        retry_after=_RETRY_AFTER,
    )


def quarantined(*, maybe_ran: bool) -> RequestError:
    """The request crashed the groups that ran it."""
    return RequestError(
        ErrorCode.QUARANTINED,
        "this request crashed the replica groups that ran it",
        status=422,
        outcome=_outcome(maybe_ran),
    )


def outcome_unknown(reason: str) -> RequestError:
    """A non-idempotent request may have run and is not tried again."""
    return RequestError(
        ErrorCode.OUTCOME_UNKNOWN,
        f"the request may have run: {reason}; it will not be run again",
        status=502,
        outcome=Outcome.UNKNOWN,
    )


def backend_lost(
    reason: str, *, maybe_ran: bool, code: ErrorCode = ErrorCode.BACKEND_LOST
) -> RequestError:
    """No attempt succeeded and no further one is made."""
    return RequestError(
        code,
        f"no backend server completed the request: {reason}",
        status=503,
        outcome=_outcome(maybe_ran),
        retry_after=_RETRY_AFTER,
    )


def deadline_exceeded(*, maybe_ran: bool) -> RequestError:
    """The class's deadline passed before an answer."""
    return RequestError(
        ErrorCode.DEADLINE_EXCEEDED,
        "the deadline of the class passed",
        status=504,
        outcome=_outcome(maybe_ran),
        retry_after=_RETRY_AFTER,
    )
