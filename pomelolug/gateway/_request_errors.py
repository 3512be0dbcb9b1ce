"""Errors with which a request ends, each with the outcome to report."""

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
    """Return the error for a request that no backend can serve now."""
    return RequestError(
        ErrorCode.NO_GROUP,
        f"no {what} is available now",
        status=503,
        retry_after=_RETRY_AFTER,
    )


def stream_cut(reason: str) -> RequestError:
    """Return the error for a started response that cannot be completed."""
    return RequestError(
        ErrorCode.STREAM_CUT,
        f"the answer broke off: {reason}",
        status=502,
        outcome=Outcome.UNKNOWN,
        retry_after=_RETRY_AFTER,
    )


def quarantined(*, maybe_ran: bool) -> RequestError:
    """Return the error for a request that crashed its replica groups."""
    return RequestError(
        ErrorCode.QUARANTINED,
        "this request crashed the replica groups that ran it",
        status=422,
        outcome=_outcome(maybe_ran),
    )


def outcome_unknown(reason: str) -> RequestError:
    """Return the error for a non-idempotent request that may have run."""
    return RequestError(
        ErrorCode.OUTCOME_UNKNOWN,
        f"the request may have run: {reason}; it will not be run again",
        status=502,
        outcome=Outcome.UNKNOWN,
    )


def backend_lost(
    reason: str, *, maybe_ran: bool, code: ErrorCode = ErrorCode.BACKEND_LOST
) -> RequestError:
    """Return the error for a request that gets no further attempt."""
    return RequestError(
        code,
        f"no backend server completed the request: {reason}",
        status=503,
        outcome=_outcome(maybe_ran),
        retry_after=_RETRY_AFTER,
    )


def deadline_exceeded(*, maybe_ran: bool) -> RequestError:
    """Return the error for a request whose deadline passed."""
    return RequestError(
        ErrorCode.DEADLINE_EXCEEDED,
        "the deadline of the class passed",
        status=504,
        outcome=_outcome(maybe_ran),
        retry_after=_RETRY_AFTER,
    )
