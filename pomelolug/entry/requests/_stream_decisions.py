"""Where a stream goes if no group of this node is chosen, and what its caller gets."""

import datetime
import random

from pomelolug.entry.requests._request_context import (
    RoutedRequest,
    server_wait_error,
)
from pomelolug.entry.requests._request_exits import RequestExits
from pomelolug.entry.servers import ServerOptions, ServerTracker
from pomelolug.errors import ErrorCode, RequestError

__all__ = ["RETRY_AFTER_FULL", "add_jitter", "may_pass_stream_on", "no_head_error"]

RETRY_AFTER_FULL = datetime.timedelta(seconds=1.3)
"""Retry-After time if all groups are full.

Groups fill up when one of them is lost, and a lost group serves again within two
seconds if a spare is ready.
"""
_RETRY_AFTER_NO_GROUP = datetime.timedelta(seconds=2)
"""Retry-After time if no group of the model is open."""
_RETRY_AFTER_JITTER = 0.15
"""Relative jitter of these times, so that callers do not retry simultaneously."""


def may_pass_stream_on(
    request: RoutedRequest,
    *,
    server_tracker: ServerTracker,
    exits: RequestExits,
    unreached_count: int,
) -> bool:
    """Return whether another node may get a stream.

    Parameters
    ----------
    request : RoutedRequest
        The stream, which is passed on only once.
    server_tracker : ServerTracker
        Groups and their suspicions.
    exits : RequestExits
        Other nodes that get requests if this one reaches no server.
    unreached_count : int
        Number of heads to which no connection has opened in a row.
    """
    if request.is_forwarded:
        return False
    model, service = request.request_head.model, request.service.name
    if model is not None and server_tracker.is_left_without_heads(service, model):
        return True
    return exits.may_use(request, unreached_count=unreached_count)


def no_head_error(options: ServerOptions, rng: random.Random) -> RequestError:
    """Return the error of a stream for which no head was selected.

    Parameters
    ----------
    options : ServerOptions
        Heads among which none was selected.
    rng : random.Random
        Jitters the time after which the caller returns.
    """
    if options.wait is not None:
        return server_wait_error(options.wait, rng)
    # All groups are full if none of those that take requests was selected.
    if options.accepting:
        code, message = ErrorCode.QUEUE_FULL, "all groups of the model are full"
        retry_after = RETRY_AFTER_FULL
    else:
        code, message = ErrorCode.NO_GROUP, "no group is open"
        retry_after = _RETRY_AFTER_NO_GROUP
    retry_after = add_jitter(retry_after, rng)
    return RequestError(code, message, status=503, retry_after=retry_after)


def add_jitter(wait: datetime.timedelta, rng: random.Random) -> datetime.timedelta:
    """Return a time for which a caller waits, changed at random."""
    return wait * rng.uniform(1.0 - _RETRY_AFTER_JITTER, 1.0 + _RETRY_AFTER_JITTER)
