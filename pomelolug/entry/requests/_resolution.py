"""Route, account, urgency, timeout and service of a caller's request."""

import datetime
import random

from pomelolug.deployment import ClientAccount, Declaration, Route, Service
from pomelolug.entry.requests._request_context import not_run_error
from pomelolug.errors import ErrorCode, RequestError
from pomelolug.platform import RequestHead

__all__ = [
    "authenticate",
    "client_error",
    "find_route",
    "select_service",
    "timeout_of",
    "urgency_of",
]

_LOWEST_URGENCY = 9
"""Largest urgency value sent to a server; 0 is the most urgent."""


def find_route(declaration: Declaration, request_head: RequestHead) -> Route:
    """Return the route of a request.

    Raises
    ------
    RequestError
        If no route matches.
    """
    route = declaration.find_route(request_head.host, request_head.path)
    if route is None:
        raise client_error(404, ErrorCode.UNKNOWN_CLASS, "no route matches")
    return route


def authenticate(
    declaration: Declaration, route: Route, request_head: RequestHead
) -> ClientAccount | None:
    """Return the client account of a request, or None if none is required.

    Raises
    ------
    RequestError
        If the route needs an account and the key of the request has none.
    """
    if declaration.accounts_by_key is None:
        return None
    client_account = (
        declaration.accounts_by_key.get(request_head.api_key)
        if request_head.api_key is not None
        else None
    )
    if client_account is None and not route.public:
        raise client_error(401, ErrorCode.UNAUTHENTICATED, "the key is unknown")
    return client_account


def urgency_of(route: Route, client_account: ClientAccount | None) -> int:
    """Return the urgency of a request; 0 is the most urgent."""
    priority = route.priority
    if client_account is not None and client_account.priority is not None:
        priority = client_account.priority
    return min(max(priority, 0), _LOWEST_URGENCY)


def timeout_of(route: Route, request_head: RequestHead) -> datetime.timedelta:
    """Return the time after which a request is given up."""
    if request_head.deadline_s is None:
        return route.timeout
    return min(route.timeout, datetime.timedelta(seconds=request_head.deadline_s))


def select_service(
    declaration: Declaration, route: Route, rng: random.Random
) -> Service:
    """Return a service of the route, chosen at random by weight.

    Raises
    ------
    RequestError
        If the route has no service.
    """
    shares = [s for s in route.shares if s.service in declaration.services]
    weights = [max(s.weight, 0.0) for s in shares]
    if not any(weights):
        raise not_run_error(ErrorCode.UNKNOWN_SERVICE, "the route has no service")
    share = rng.choices(shares, weights)[0]
    return declaration.services[share.service]


def client_error(status: int, code: ErrorCode, message: str) -> RequestError:
    """Return the error of a request that its caller has to change."""
    return RequestError(code, message, status=status)
