"""HTTP/1.1 connections with exact knowledge of what was sent and received."""

from pomelolug.transport._client import (
    BrokenResponse,
    ClientConnection,
    ResponseHead,
    open_connection,
)
from pomelolug.transport._pool import ConnectionPool
from pomelolug.transport._request import encode_request
from pomelolug.transport._server import Exchange, Handler, ServerConnection, WireLimits

__all__ = [
    "BrokenResponse",
    "ClientConnection",
    "ConnectionPool",
    "Exchange",
    "Handler",
    "ResponseHead",
    "ServerConnection",
    "WireLimits",
    "encode_request",
    "open_connection",
]
