"""WebSocket server for peers, gateways and operators."""

import contextlib
import dataclasses
import datetime
import http
from collections.abc import Awaitable, Callable

from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.datastructures import Headers
from websockets.http11 import Request, Response

from pomelolug.clock import Clock
from pomelolug.errors import PeerError
from pomelolug.membership._connection import (
    QUEUE_SIZE,
    SILENCE_TIMEOUT,
    Connection,
    open_connection,
)
from pomelolug.membership._handshake import Identity
from pomelolug.membership._keys import PeerKeyRing, Side
from pomelolug.membership._metrics import REFUSALS
from pomelolug.membership._transport import WebsocketTransport
from pomelolug.messages import MAX_MESSAGE_BYTES

__all__ = ["HttpReply", "PeerServer"]

MAX_CONNECTIONS = 1024
HANDSHAKE_TIMEOUT = datetime.timedelta(seconds=2)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HttpReply:
    """Response to a plain HTTP GET request."""

    status: int = 200
    content_type: str = "text/plain; charset=utf-8"
    body: bytes = b""


class PeerServer:
    """Accepts authenticated connections and answers plain GET requests.

    Parameters
    ----------
    address : str
        IP and port to listen on. Port 0 selects a free port.
    identity : callable
        Returns the current identity of this process, called at each handshake.
    keys : PeerKeyRing
        Shared keys for authentication.
    on_connection : async callable
        Called with each authenticated connection. Must run it until it ends.
    clock : Clock
        Source of monotonic time.
    http_handler : callable, optional
        Called with the path of each GET request that is not a WebSocket
        handshake. Must not block. None results in status 404.
    max_connections : int
        Maximum number of simultaneous connections, including those still in
        the handshake.
    handshake_timeout : datetime.timedelta
        Timeout of the HTTP upgrade and of the authentication, each.
    silence_timeout, queue_size
        See `Connection`.
    """

    def __init__(
        self,
        *,
        address: str,
        identity: Callable[[], Identity],
        keys: PeerKeyRing,
        on_connection: Callable[[Connection], Awaitable[None]],
        clock: Clock,
        http_handler: Callable[[str], HttpReply | None] | None = None,
        max_connections: int = MAX_CONNECTIONS,
        handshake_timeout: datetime.timedelta = HANDSHAKE_TIMEOUT,
        silence_timeout: datetime.timedelta = SILENCE_TIMEOUT,
        queue_size: int = QUEUE_SIZE,
    ) -> None:
        self._address = address
        self._identity = identity
        self._keys = keys
        self._on_connection = on_connection
        self._clock = clock
        self._http_handler = http_handler
        self._max_connections = max_connections
        self._handshake_timeout = handshake_timeout
        self._silence_timeout = silence_timeout
        self._queue_size = queue_size
        self._server: Server | None = None

    @property
    def port(self) -> int:
        """Port that the server listens on, 0 before `start`."""
        if self._server is None:
            return 0
        return int(next(iter(self._server.sockets)).getsockname()[1])

    async def start(self) -> None:
        """Start listening.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        host, _, port = self._address.rpartition(":")
        self._server = await serve(
            self._serve,
            host,
            int(port),
            process_request=self._process_request,
            compression=None,
            open_timeout=self._handshake_timeout.total_seconds(),
            ping_interval=None,
            close_timeout=1.0,
            max_size=MAX_MESSAGE_BYTES,
        )

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    async def _serve(self, websocket: ServerConnection) -> None:
        with contextlib.suppress(PeerError):
            connection = await open_connection(
                WebsocketTransport(websocket),
                Side.ACCEPTOR,
                self._identity(),
                self._keys,
                clock=self._clock,
                timeout=self._handshake_timeout,
                silence_timeout=self._silence_timeout,
                queue_size=self._queue_size,
            )
            await self._on_connection(connection)

    def _process_request(
        self, websocket: ServerConnection, request: Request
    ) -> Response | None:
        if self._server and len(self._server.handler_tasks) > self._max_connections:
            REFUSALS.labels(reason="too_many_connections").inc()
            return _to_websockets_response(
                HttpReply(status=503, body=b"too many connections\n")
            )
        if request.headers.get("Upgrade", "").lower() == "websocket":
            return None
        reply = (
            self._http_handler(request.path) if self._http_handler is not None else None
        )
        return _to_websockets_response(
            reply or HttpReply(status=404, body=b"not found\n")
        )


def _to_websockets_response(reply: HttpReply) -> Response:
    headers = Headers(
        {
            "Content-Type": reply.content_type,
            "Content-Length": str(len(reply.body)),
            "Connection": "close",
        }
    )
    phrase = http.HTTPStatus(reply.status).phrase
    return Response(reply.status, phrase, headers, reply.body)
