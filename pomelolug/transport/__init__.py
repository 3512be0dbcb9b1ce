"""HTTP/1.1 client and server connections that track what was sent and received."""

from pomelolug.transport._address import is_address, split_address
from pomelolug.transport._buffer_budget import BufferBudget
from pomelolug.transport._client import (
    ClientConnection,
    HttpConnectionError,
    ResponseHead,
    connect,
    open_connection,
)
from pomelolug.transport._exchange import Exchange, RefusalCause
from pomelolug.transport._memory_budget import MemoryAccount, MemoryBudget
from pomelolug.transport._pool import ConnectionPool
from pomelolug.transport._request import encode_request
from pomelolug.transport._running_time_limit import RunningTimeLimit
from pomelolug.transport._server import (
    Handler,
    HttpServerLimits,
    ServerConnection,
)

__all__ = [
    "BufferBudget",
    "ClientConnection",
    "ConnectionPool",
    "Exchange",
    "Handler",
    "HttpConnectionError",
    "HttpServerLimits",
    "MemoryAccount",
    "MemoryBudget",
    "RefusalCause",
    "ResponseHead",
    "RunningTimeLimit",
    "ServerConnection",
    "connect",
    "encode_request",
    "is_address",
    "open_connection",
    "split_address",
]
