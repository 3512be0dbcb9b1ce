"""Server side of one HTTP/1.1 connection."""

import asyncio
import collections
import dataclasses
import socket
from collections.abc import Callable, Coroutine
from typing import Any, cast

import httptools

__all__ = ["Exchange", "Handler", "HttpServerLimits", "ServerConnection"]

_MAX_PIPELINED_REQUESTS = 8
_FIELD_OVERHEAD_BYTES = 4
"""Bytes of a header field besides name and value: colon, space, CR and LF."""
_BODY_TIMEOUT_S = 30.0
_FIRST_REQUEST_WAIT_S = 1.0
"""Time for the first request of a connection, as long as callers wait to connect."""
_REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


@dataclasses.dataclass(slots=True)
class HttpServerLimits:
    """Limits on client input, updated in place when a declaration changes."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Exchange:
    """A request and its response."""

    def __init__(
        self,
        connection: "ServerConnection",
        method: bytes,
        target: bytes,
        headers: tuple[tuple[bytes, bytes], ...],
        keep_alive: bool,
    ) -> None:
        self._connection = connection
        self._method = method
        self._target = target
        self._headers = headers
        self._keep_alive = keep_alive
        self._body = bytearray()
        self._started = False
        self._chunked = False
        self._ended = False

    @property
    def method(self) -> bytes:
        """Request method."""
        return self._method

    @property
    def target(self) -> bytes:
        """Request target including the query string."""
        return self._target

    @property
    def headers(self) -> tuple[tuple[bytes, bytes], ...]:
        """Header fields as received."""
        return self._headers

    @property
    def body(self) -> bytes:
        """Complete request body."""
        return bytes(self._body)

    @property
    def has_started(self) -> bool:
        """Whether the response head has been sent."""
        return self._started

    @property
    def has_ended(self) -> bool:
        """Whether the response was completed or aborted."""
        return self._ended

    def append_body(self, data: bytes) -> None:
        """Append data to the request body."""
        self._body += data

    @property
    def body_size(self) -> int:
        """Number of request body bytes received so far."""
        return len(self._body)

    def start(
        self,
        status: int,
        headers: tuple[tuple[bytes, bytes], ...],
        *,
        length: int | None,
    ) -> None:
        """Send the response head; without `length` the body is sent chunked."""
        self._started = True
        self._chunked = length is None
        lines = [
            b"HTTP/1.1 %d %b\r\n" % (status, _REASON_PHRASES.get(status, b"Status"))
        ]
        lines += [b"%b: %b\r\n" % field for field in headers]
        if length is None:
            lines.append(b"Transfer-Encoding: chunked\r\n")
        else:
            lines.append(b"Content-Length: %d\r\n" % length)
        if not self._keep_alive or self._connection.is_closing:
            self._keep_alive = False
            lines.append(b"Connection: close\r\n")
        lines.append(b"\r\n")
        self._connection.write(b"".join(lines))

    def write(self, data: bytes) -> None:
        """Send a part of the response body."""
        if data:
            if self._chunked:
                data = b"%x\r\n%b\r\n" % (len(data), data)
            self._connection.write(data)

    @property
    def is_writable(self) -> bool:
        """Whether the client has read enough to accept more data."""
        return self._connection.is_writable

    async def drain(self) -> None:
        """Wait until the client has read enough to accept more data."""
        await self._connection.drain()

    def finish(self) -> None:
        """Complete the response."""
        if not self._ended:
            self._ended = True
            if self._chunked:
                self._connection.write(b"0\r\n\r\n")
            self._connection.on_exchange_finished(self._keep_alive)

    def reply(
        self, status: int, headers: tuple[tuple[bytes, bytes], ...], body: bytes
    ) -> None:
        """Send a complete response."""
        self.start(status, headers, length=len(body))
        self._connection.write(body)
        self.finish()

    def abort(self) -> None:
        """Abort the response so that the client cannot take it for complete."""
        if not self._ended:
            self._ended = True
            self._connection.abort()


Handler = Callable[[Exchange], Coroutine[Any, Any, None]]


class ServerConnection(asyncio.Protocol):
    """Reads requests from one client and handles them one after another.

    Each request is handled in its own task, which is cancelled if the client
    disconnects.

    Parameters
    ----------
    handler : Handler
        Coroutine function that handles an exchange.
    limits : HttpServerLimits
        Limits on client input.
    connections : set of ServerConnection
        Open connections, to which the connection adds itself until it is closed.
    on_refused : callable
        Called with the status if a request is refused before it was fully read.
    refusal_headers : tuple of (bytes, bytes)
        Header fields of the response to such a request.
    """

    def __init__(
        self,
        handler: Handler,
        limits: HttpServerLimits,
        connections: "set[ServerConnection]",
        on_refused: Callable[[int], None],
        refusal_headers: tuple[tuple[bytes, bytes], ...] = (),
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._connections = connections
        self._on_refused = on_refused
        self._refusal_headers = refusal_headers
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._queue: collections.deque[Exchange] = collections.deque()
        self._incoming: Exchange | None = None
        self._handler_task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._target = b""
        self._fields: list[tuple[bytes, bytes]] = []
        self._header_bytes = 0
        self._incomplete_head_bytes = 0
        self._refused = False
        self._closing = False
        self._writable = asyncio.Event()
        self._writable.set()
        self._in_head = False
        self._opened_at_s = self._loop.time()
        self._has_received = False

    @property
    def is_closing(self) -> bool:
        """Whether the connection closes after the current response."""
        return self._closing

    @property
    def is_busy(self) -> bool:
        """Whether a request is being read, queued or handled."""
        return bool(
            self._handler_task or self._queue or self._incoming or self._in_head
        )

    @property
    def is_writable(self) -> bool:
        """Whether the client has read enough to accept more data."""
        return self._writable.is_set()

    def close_after_response(self) -> None:
        """Close the connection after the current or next response."""
        self._closing = True

    def close_if_idle(self) -> None:
        """Close now if not busy, otherwise after the current response.

        A connection that has just been opened stays open for its first request, which
        is probably on its way.
        """
        self._closing = True
        age_s = self._loop.time() - self._opened_at_s
        awaits_first_request = not self._has_received and age_s < _FIRST_REQUEST_WAIT_S
        if not self.is_busy and not awaits_first_request and self._transport:
            self._transport.close()

    def write(self, data: bytes) -> None:
        """Send data to the client."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    async def drain(self) -> None:
        """Wait until the client has read enough to accept more data."""
        await self._writable.wait()

    def abort(self) -> None:
        """Close the connection immediately."""
        if self._transport is not None:
            self._transport.abort()

    def on_exchange_finished(self, keep_alive: bool) -> None:
        """Close the connection unless it is kept alive."""
        if not keep_alive or self._closing:
            self._closing = True
            if self._transport is not None:
                self._transport.close()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start the idle timeout."""
        # uvloop transports are not subclasses of the asyncio classes.
        self._transport = cast(asyncio.Transport, transport)
        self._connections.add(self)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._set_timer(self._limits.idle_timeout_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the running handler and drop queued requests."""
        self._connections.discard(self)
        self._writable.set()
        self._cancel_timer()
        self._queue.clear()
        if self._handler_task is not None:
            self._handler_task.cancel()

    def eof_received(self) -> bool:
        """Treat a half-closed connection as a disconnected client."""
        return False

    def pause_writing(self) -> None:
        """Make writers wait because the write buffer is full."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let waiting writers continue."""
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Parse requests and refuse those that are malformed or exceed a limit."""
        if self._refused:
            return
        self._has_received = True
        if not self._in_head and self._incoming is None:
            self._in_head = True
            self._incomplete_head_bytes = 0
            self._set_timer(self._limits.header_timeout_s)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400)
        except httptools.HttpParserError:
            self._refuse(400)
        if self._in_head:
            # An unterminated header field reaches no callback; count its bytes here.
            self._incomplete_head_bytes += len(data)
            if self._incomplete_head_bytes > self._limits.max_header_bytes:
                self._refuse(431)

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Start a new request head."""
        self._in_head = True
        self._header_bytes = 0
        self._target = b""
        self._fields = []

    def on_url(self, url: bytes) -> None:
        """Collect the request target, which may arrive in several parts."""
        self._target += url
        self._count_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header field."""
        self._fields.append((name, value))
        self._count_header_bytes(len(name) + len(value) + _FIELD_OVERHEAD_BYTES)

    def _count_header_bytes(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._limits.max_header_bytes:
            self._refuse(431)

    def on_headers_complete(self) -> None:
        """Create the exchange and prepare to receive the body."""
        self._in_head = False
        self._incomplete_head_bytes = 0
        if self._refused:
            return
        self._set_timer(_BODY_TIMEOUT_S)
        self._incoming = Exchange(
            self,
            self._parser.get_method(),
            self._target,
            tuple(self._fields),
            self._parser.should_keep_alive(),
        )
        if any(k.lower() == b"expect" for k, _ in self._fields):
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Collect a part of the request body."""
        if self._incoming is None or self._refused:
            return
        self._incoming.append_body(data)
        if self._incoming.body_size > self._limits.max_body_bytes:
            self._refuse(413)

    def on_message_complete(self) -> None:
        """Queue a complete request."""
        if self._incoming is None or self._refused:
            return
        self._cancel_timer()
        self._queue.append(self._incoming)
        self._incoming = None
        if len(self._queue) > _MAX_PIPELINED_REQUESTS:
            self._refuse(400)
        self._start_next()

    # internals

    def _start_next(self) -> None:
        if self._handler_task is None and self._queue and not self._refused:
            self._cancel_timer()
            self._handler_task = self._loop.create_task(
                self._run_handler(self._queue.popleft())
            )

    async def _run_handler(self, exchange: Exchange) -> None:
        try:
            await self._handler(exchange)
        finally:
            if not exchange.has_ended:
                exchange.abort()
            self._handler_task = None
            if not self._closing and self._transport is not None:
                if self._queue:
                    self._start_next()
                elif not self._in_head and self._incoming is None:
                    self._set_timer(self._limits.idle_timeout_s)

    def _refuse(self, status: int) -> None:
        """Send an error response to an unreadable request and close the connection."""
        if self._refused:
            return
        self._refused = True
        self._closing = True
        self._on_refused(status)
        if self._handler_task is None and self._transport is not None:
            fields = b"".join(b"%b: %b\r\n" % field for field in self._refusal_headers)
            self.write(
                b"HTTP/1.1 %d %b\r\n%bContent-Length: 0\r\nConnection: close\r\n\r\n"
                % (status, _REASON_PHRASES[status], fields)
            )
            self._transport.close()

    def _on_timeout(self) -> None:
        if self._in_head:
            self._refuse(408)
        elif self._incoming is not None:
            self._refuse(408)
        elif self._handler_task is None and self._transport is not None:
            self._closing = True
            self._transport.close()

    def _set_timer(self, delay_s: float) -> None:
        self._cancel_timer()
        self._timer = self._loop.call_later(delay_s, self._on_timeout)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
