"""Server side of one HTTP/1.1 connection."""

import asyncio
import collections
import dataclasses
import socket
from collections.abc import Callable, Coroutine
from typing import Any, cast

import httptools

from pomelolug.transport._exchange import (
    REASON_PHRASES,
    Exchange,
    ExchangeConnection,
    RefusalCause,
)
from pomelolug.transport._memory_budget import MemoryBudget
from pomelolug.transport._unread_bytes import UnreadBytes

__all__ = [
    "Handler",
    "HttpServerLimits",
    "ServerConnection",
]

_MAX_PIPELINED_REQUESTS = 8
_FIELD_OVERHEAD_BYTES = 4
"""Bytes of a header field besides name and value: colon, space, CR and LF."""
_BODY_TIMEOUT_S = 30.0
_FIRST_REQUEST_WAIT_S = 1.0
"""Time for the first request of a connection, as long as callers wait to connect."""
_REQUEST_BYTES = 8 * 1024
"""Memory of a request beside its header fields, with a body of the next size."""
_SMALL_BODY_BYTES = 2 * 1024
_COPIES_OF_BODY = 2
"""Times that a request body is held: as received, and as sent to a server."""
_HIGH_WATER_BYTES = 16 * 1024
"""Unread bytes of a caller above which no more are read for it."""
_UNREAD_CHECK_S = 0.5
"""Interval at which is checked whether a caller reads."""
_LINGER_S = 1.0
"""Time to receive the rest of a refused body, without which the refusal is lost."""
_REFUSAL_CONNECTIONS = 200
"""Connections above the limit that stay open until their request is refused."""


@dataclasses.dataclass(slots=True)
class HttpServerLimits:
    """Limits on client input, updated in place when a declaration changes."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
    unread_timeout_s: float = 10.0
    """Time after which a client that has read nothing is disconnected."""
    max_connections: int | None = None
    """Connections above which requests on further ones are refused."""


Handler = Callable[[Exchange], Coroutine[Any, Any, None]]


class ServerConnection(asyncio.Protocol, ExchangeConnection):
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
    memory_budget : MemoryBudget or None
        Budget that requests and unread responses are charged to.
    on_unread : callable
        Called when a client that reads nothing is disconnected.
    """

    def __init__(
        self,
        handler: Handler,
        limits: HttpServerLimits,
        connections: "set[ServerConnection]",
        on_refused: Callable[[int], None],
        refusal_headers: tuple[tuple[bytes, bytes], ...] = (),
        *,
        memory_budget: MemoryBudget | None = None,
        on_unread: Callable[[], None] = lambda: None,
    ) -> None:
        self._account = (memory_budget or _NO_BUDGET).open_account()
        self._on_unread = on_unread
        self._unread = UnreadBytes()
        self._unread_timer: asyncio.TimerHandle | None = None
        self._is_above_limit = False
        self._is_turned_away = False
        self._discards_body = False
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
        self._idle_since_s = self._opened_at_s

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
        if not self.is_busy and not awaits_first_request:
            self._close()

    def write(self, data: bytes) -> None:
        """Send data to the client."""
        if self._transport is not None and not self._transport.is_closing():
            self._unread.written += len(data)
            self._transport.write(data)
            if not self._writable.is_set():
                self._charge_unread()

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
            if self._discards_body:
                self._set_timer(_LINGER_S)
            else:
                self._close()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start the idle timeout."""
        # uvloop transports are not subclasses of the asyncio classes.
        self._transport = cast(asyncio.Transport, transport)
        max_connections = self._limits.max_connections
        if max_connections is not None:
            excess = len(self._connections) + 1 - max_connections
            self._is_above_limit = excess > 0 and not self._replace_idle()
            if excess > _REFUSAL_CONNECTIONS:
                self._on_refused(503)
                self._transport.abort()
        self._connections.add(self)
        self._transport.set_write_buffer_limits(high=_HIGH_WATER_BYTES)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._set_timer(self._limits.idle_timeout_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the running handler and drop queued requests."""
        self._connections.discard(self)
        self._writable.set()
        self._cancel_timer()
        self._stop_unread_timer()
        self._account.release(self._unread.charged)
        self._unread.charged = 0
        for exchange in (*self._queue, self._incoming):
            if exchange is not None:
                self._release(exchange)
        self._queue.clear()
        self._incoming = None
        if self._handler_task is not None:
            self._handler_task.cancel()

    def eof_received(self) -> bool:
        """Treat a half-closed connection as a disconnected client."""
        return False

    def pause_writing(self) -> None:
        """Make writers wait because the write buffer is full."""
        self._writable.clear()
        self._charge_unread()
        self._watch_unread()

    def resume_writing(self) -> None:
        """Let waiting writers continue, and start the next request."""
        self._writable.set()
        self._charge_unread()
        if not self._closing:
            self._start_next()

    def data_received(self, data: bytes) -> None:
        """Parse requests and refuse those that are malformed or exceed a limit."""
        if self._refused or (self._is_turned_away and not self._discards_body):
            return
        self._has_received = True
        if not self._in_head and self._incoming is None and not self._discards_body:
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
        if self._refused or self._is_turned_away:
            return
        self._set_timer(_BODY_TIMEOUT_S)
        exchange = self._incoming = Exchange(
            self,
            self._parser.get_method(),
            self._target,
            tuple(self._fields),
            self._parser.should_keep_alive(),
        )
        if self._is_above_limit:
            self._turn_away(exchange, RefusalCause.CONNECTIONS)
            return
        expects_continue, length = _announced_body(self._fields)
        if not self._hold(exchange, self._header_bytes + _REQUEST_BYTES) or (
            # What cannot fit is refused before its body has arrived.
            length > _SMALL_BODY_BYTES
            and not self._account.can_reserve(
                _COPIES_OF_BODY * min(length, self._limits.max_body_bytes)
            )
        ):
            self._turn_away(exchange, RefusalCause.MEMORY)
            return
        if expects_continue:
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Collect a part of the request body."""
        if self._incoming is None or self._refused:
            return
        exchange = self._incoming
        size = exchange.body_size + len(data)
        if size > _SMALL_BODY_BYTES and not self._hold(
            exchange, _COPIES_OF_BODY * len(data)
        ):
            self._turn_away(exchange, RefusalCause.MEMORY)
            return
        self._incoming.append_body(data)
        if self._incoming.body_size > self._limits.max_body_bytes:
            self._refuse(413)

    def on_message_complete(self) -> None:
        """Queue a complete request."""
        if self._discards_body:
            self._discards_body = False
            if self._closing:
                self._close()
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
        # A caller who has not read the last response gets no further one.
        if (
            self._handler_task is None
            and self._queue
            and not self._refused
            and self._writable.is_set()
        ):
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
            self._release(exchange)
            self._handler_task = None
            self._idle_since_s = self._loop.time()
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
                % (status, REASON_PHRASES[status], fields)
            )
            self._close()

    def _on_timeout(self) -> None:
        if self._in_head:
            self._refuse(408)
        elif self._incoming is not None:
            self._refuse(408)
        elif self._handler_task is None and self._transport is not None:
            self._closing = True
            if self._queue or self._transport.get_write_buffer_size():
                # It has read nothing of its response since.
                self._abort_unread()
            else:
                self._close()

    def _hold(self, exchange: Exchange, count: int) -> bool:
        """Reserve memory for a request; return whether it was available."""
        if not self._account.try_reserve(count):
            return False
        exchange.held_bytes += count
        return True

    def _release(self, exchange: Exchange) -> None:
        self._account.release(exchange.held_bytes)
        exchange.held_bytes = 0

    def _turn_away(self, exchange: Exchange, cause: RefusalCause) -> None:
        """Have the handler refuse a request at once, and drop what follows."""
        self._is_turned_away = True
        self._discards_body = True
        self._incoming = None
        self._cancel_timer()
        self._release(exchange)
        exchange.refuse(cause)
        self._queue.append(exchange)
        self._start_next()

    def _replace_idle(self) -> bool:
        """Close the connection that is idle longest; return whether there is one."""
        idle = [
            c
            for c in self._connections
            if c._has_received and not c.is_busy and not c.is_closing
        ]
        if not idle:
            return False
        min(idle, key=lambda connection: connection._idle_since_s).close_if_idle()
        return True

    def _close(self) -> None:
        """Close the connection when the client has read what was written."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.close()
            self._watch_unread()

    def _abort_unread(self) -> None:
        self._on_unread()
        self.abort()

    def _charge_unread(self) -> None:
        """Count the unread bytes, which are held whether they fit or not."""
        assert self._transport is not None
        size = 0 if self._writable.is_set() else self._transport.get_write_buffer_size()
        self._account.add(size - self._unread.charged)
        self._unread.charged = size

    def _watch_unread(self) -> None:
        if self._unread_timer is None:
            self._unread.start(self._buffered_bytes(), self._loop.time())
            self._unread_timer = self._loop.call_later(
                _UNREAD_CHECK_S, self._check_unread
            )

    def _check_unread(self) -> None:
        """Disconnect a client that has read nothing for too long."""
        self._unread_timer = None
        size, now_s = self._buffered_bytes(), self._loop.time()
        if not size:
            return
        if not self._writable.is_set():
            self._charge_unread()
        unread_s = self._unread.note_progress(size, now_s)
        if unread_s >= self._limits.unread_timeout_s:
            self._abort_unread()
            return
        self._unread_timer = self._loop.call_later(_UNREAD_CHECK_S, self._check_unread)

    def _stop_unread_timer(self) -> None:
        if self._unread_timer is not None:
            self._unread_timer.cancel()
            self._unread_timer = None

    def _buffered_bytes(self) -> int:
        return self._transport.get_write_buffer_size() if self._transport else 0

    def _set_timer(self, delay_s: float) -> None:
        self._cancel_timer()
        self._timer = self._loop.call_later(delay_s, self._on_timeout)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


_EXPECT_SIZE = len(b"expect")
_CONTENT_LENGTH_SIZE = len(b"content-length")
_NO_BUDGET = MemoryBudget(None)
"""Budget of connections without a bound."""


def _announced_body(fields: list[tuple[bytes, bytes]]) -> tuple[bool, int]:
    """Return whether a client waits to send its body, and the length if announced."""
    expects_continue, length = False, 0
    for name, value in fields:
        size = len(name)
        if size == _EXPECT_SIZE and name.lower() == b"expect":
            expects_continue = True
        elif (
            size == _CONTENT_LENGTH_SIZE
            and name.lower() == b"content-length"
            and value.isdigit()
        ):
            length = int(value[:18])
    return expects_continue, length
