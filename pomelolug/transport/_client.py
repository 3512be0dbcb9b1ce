"""Client side of one HTTP/1.1 connection."""

import asyncio
import collections
import dataclasses
import datetime
import errno
import socket
from typing import cast

import httptools

from pomelolug.transport._address import split_address
from pomelolug.transport._buffer_budget import BufferBudget
from pomelolug.transport._memory_budget import MemoryBudget
from pomelolug.transport._running_time_limit import RunningTimeLimit

__all__ = [
    "ClientConnection",
    "HttpConnectionError",
    "ResponseHead",
    "connect",
    "open_connection",
]

_MAX_BUFFERED_BYTES = 256 * 1024
_UNCOUNTED_BYTES = 16 * 1024
"""Bytes read ahead that need nothing of the memory budget, so that reading goes on."""
_LEFT_UNREAD_S = 1.0
"""Time in seconds without reading after which a server may cut its response."""
_NO_DESCRIPTOR_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS})
"""Errors that say something about this process, and nothing about the server."""
_MAX_FRAMING_BYTES = 64 * 1024
"""Maximum number of bytes received in a row that are no part of a body.

They are response heads with informational responses before them, chunk sizes with
their extensions, and trailers. A server in trouble may send them without end.
"""
_SMALL_BODY_BYTES = 64 * 1024
"""Size up to which a body needs nothing of the budget, so that it always fits."""
_TCP_USER_TIMEOUT_MS = 3000
"""Time after which a connection with unacknowledged data fails.

It detects a network path that has gone silent.
"""
_TCP_USER_TIMEOUT_OPTION = getattr(socket, "TCP_USER_TIMEOUT", 18)  # 18 on Linux


class HttpConnectionError(Exception):
    """The connection failed or ended, or the response is invalid.

    Parameters
    ----------
    reason : str
        Short name of the cause, from a bounded set so that it can be a metric label.
    was_left_unread : bool
        Whether the response was left unread before, so that the server may have cut
        it for that.
    """

    def __init__(self, reason: str, *, was_left_unread: bool = False) -> None:
        super().__init__(reason)
        self._reason = reason
        self._was_left_unread = was_left_unread

    @property
    def was_left_unread(self) -> bool:
        """Whether the response was left unread before the connection ended."""
        return self._was_left_unread

    @property
    def reason(self) -> str:
        """Short name of the cause."""
        return self._reason


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status code and header fields as received."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header field; names are case-insensitive."""
        wanted = name.lower()
        for key, value in self.headers:
            if key.lower() == wanted:
                return value
        return None


class ClientConnection(asyncio.Protocol):
    """A connection to a server that carries one request at a time.

    It cannot be reused after an incomplete response, after bytes that belong to no
    request, or if the server announced that it will close the connection.

    Parameters
    ----------
    memory_budget : MemoryBudget or None
        Budget that bytes read ahead are charged to.
    """

    def __init__(self, memory_budget: MemoryBudget | None = None) -> None:
        self._account = (memory_budget or _NO_BUDGET).open_account()
        self._paused_at_s: float | None = None
        self._was_left_unread_until_s = float("-inf")
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._heads: collections.deque[ResponseHead] = collections.deque()
        self._chunks: collections.deque[bytes | None] = collections.deque()
        self._fields: list[tuple[bytes, bytes]] = []
        self._waiter: asyncio.Future[None] | None = None
        self._error: HttpConnectionError | None = None
        self._closed = False
        self._in_body = False
        self._body_ends_at_close = False
        self._awaiting_response = False
        self._unexpected_response = False
        self._keep_alive = True
        self._buffered_bytes = 0
        self._framing_bytes = 0
        self._has_progressed = False
        self._reading_paused = False
        self._opened_at_s = self._loop.time()
        self._idle_since_s = 0.0
        self._request_count = 0

    @property
    def is_reused(self) -> bool:
        """Whether more than one request was sent on this connection."""
        return self._request_count > 1

    @property
    def is_reusable(self) -> bool:
        """Whether the connection can carry another request."""
        return (
            self._keep_alive
            and not self._unexpected_response
            and not self._closed
            and not self._in_body
            and not self._awaiting_response
            and not self._chunks
            and not self._heads
            and self._transport is not None
            and self._transport.get_write_buffer_size() == 0
        )

    @property
    def opened_at_s(self) -> float:
        """Event loop time at which the connection was requested, in seconds."""
        return self._opened_at_s

    @property
    def idle_since_s(self) -> float:
        """Event loop time of the last release to the pool, in seconds."""
        return self._idle_since_s

    @idle_since_s.setter
    def idle_since_s(self, loop_time_s: float) -> None:
        self._idle_since_s = loop_time_s

    @property
    def was_left_unread(self) -> bool:
        """Whether the response was not read for so long that the server may cut it.

        An end that arrives while nothing is read shows only when reading goes on.
        """
        now_s = self._loop.time()
        if self._paused_at_s is not None:
            return now_s - self._paused_at_s >= _LEFT_UNREAD_S
        return now_s - self._was_left_unread_until_s < _LEFT_UNREAD_S

    @property
    def is_closed(self) -> bool:
        """Whether the connection has been closed."""
        return self._closed

    def send(self, data: bytes) -> None:
        """Send a complete request.

        Raises
        ------
        HttpConnectionError
            If the connection has been closed; nothing was sent.
        """
        if self._closed or self._transport is None or self._transport.is_closing():
            raise HttpConnectionError("closed_before_send")
        self._awaiting_response = True
        self._request_count += 1
        self._framing_bytes = 0
        self._transport.write(data)

    async def read_head(self) -> ResponseHead:
        """Wait for the status and header fields of the next response."""
        while not self._heads:
            await self._wait_for_data()
        return self._heads.popleft()

    async def read_chunk(self) -> bytes | None:
        """Wait for the next chunk of the body; None marks its end."""
        while not self._chunks:
            await self._wait_for_data()
        chunk = self._chunks.popleft()
        if chunk is not None:
            self._buffered_bytes -= len(chunk)
            self._resume_reading()
        return chunk

    async def read_available(self) -> bytes | None:
        """Wait for a part of the body; return all that has arrived, None at the end."""
        part = await self.read_chunk()
        if part is None or not self._chunks or self._chunks[0] is None:
            return part
        parts = [part]
        while self._chunks and self._chunks[0] is not None:
            parts.append(self._chunks.popleft() or b"")
        self._buffered_bytes -= sum(map(len, parts[1:]))
        self._resume_reading()
        return b"".join(parts)

    async def read_body(
        self, limit: int, *, budget: BufferBudget | None = None
    ) -> bytes:
        """Return the complete body.

        Parameters
        ----------
        limit : int
            Maximum size of the body in bytes.
        budget : BufferBudget or None
            Budget that a large body is charged to while it is read.

        Raises
        ------
        HttpConnectionError
            If the body is incomplete, exceeds `limit` or does not fit in the budget.
        """
        parts: list[bytes] = []
        size = reserved = 0
        try:
            while (part := await self.read_available()) is not None:
                size += len(part)
                is_reserved = True
                if budget is not None and size > _SMALL_BODY_BYTES:
                    is_reserved = budget.try_reserve(len(part))
                    reserved += len(part) if is_reserved else 0
                if size > limit or not is_reserved:
                    self.abort("too_large")
                    raise HttpConnectionError("too_large")
                parts.append(part)
        finally:
            if budget is not None:
                budget.release(reserved)
        return b"".join(parts)

    async def skip_body(self, limit: int) -> None:
        """Read a body that is not needed.

        Raises
        ------
        HttpConnectionError
            If the body is incomplete or exceeds `limit` bytes.
        """
        size = 0
        while (part := await self.read_available()) is not None:
            size += len(part)
            if size > limit:
                self.abort("too_large")
                raise HttpConnectionError("too_large")

    def abort(self, reason: str = "aborted") -> None:
        """Close the connection immediately; a pending read fails with `reason`."""
        self._fail(reason)
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close the connection after flushing sent data."""
        self._fail("closed")
        if self._transport is not None:
            self._transport.close()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set socket options."""
        # uvloop transports are not subclasses of the asyncio classes.
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(
                socket.IPPROTO_TCP, _TCP_USER_TIMEOUT_OPTION, _TCP_USER_TIMEOUT_MS
            )

    def data_received(self, data: bytes) -> None:
        """Parse a response; abort the connection if none is expected."""
        if self._closed:
            return
        if not self._awaiting_response and not self._in_body:
            self.abort("unexpected_bytes")
            return
        self._has_progressed = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort("malformed")
        else:
            self._limit_framing(len(data))
        self._wake_reader()

    def eof_received(self) -> bool:
        """Complete a body that is delimited by the end of the stream."""
        if self._body_ends_at_close and self._in_body:
            self._body_ends_at_close = False
            self._end_body()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the pending read, if any."""
        self._fail("reset" if exc else "closed")

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Start a response; an unexpected one makes the connection unusable.

        The response is still queued, since the one before it may belong to an
        earlier request.
        """
        if not self._awaiting_response:
            self._unexpected_response = True
        self._fields = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header field; trailers are ignored."""
        if not self._in_body:
            self._fields.append((name, value))

    def on_headers_complete(self) -> None:
        """Queue the response head; informational responses are skipped."""
        status = self._parser.get_status_code()
        if status < 200:
            return
        head = ResponseHead(status, tuple(self._fields))
        self._body_ends_at_close = (
            head.get(b"content-length") is None
            and head.get(b"transfer-encoding") is None
            and status not in (204, 304)
        )
        if self._body_ends_at_close or not self._parser.should_keep_alive():
            self._keep_alive = False
        self._in_body = True
        self._awaiting_response = False
        self._has_progressed = True
        self._heads.append(head)

    def on_body(self, data: bytes) -> None:
        """Queue a chunk of the body and pause reading if the buffer is full."""
        self._chunks.append(data)
        self._has_progressed = True
        self._buffered_bytes += len(data)
        if self._buffered_bytes <= _UNCOUNTED_BYTES:
            return
        has_room = self._account.can_reserve(len(data))
        self._charge()
        is_full = self._buffered_bytes > _MAX_BUFFERED_BYTES or not has_room
        if is_full and not self._reading_paused:
            self._reading_paused = True
            self._paused_at_s = self._loop.time()
            if self._transport is not None:
                self._transport.pause_reading()

    def on_message_complete(self) -> None:
        """Mark the end of a body that is not delimited by the end of the stream."""
        if self._in_body and not self._body_ends_at_close:
            self._end_body()

    def expect_another_response(self) -> None:
        """Expect a further response after one that belongs to another request."""
        self._awaiting_response = True
        self._keep_alive = False

    # internals

    def _limit_framing(self, size: int) -> None:
        """Count received bytes, and abort after too many without a part of a body."""
        self._framing_bytes = 0 if self._has_progressed else self._framing_bytes + size
        if self._framing_bytes > _MAX_FRAMING_BYTES:
            self.abort("head_too_large")

    def _end_body(self) -> None:
        self._in_body = False
        self._chunks.append(None)
        self._wake_reader()

    def _charge(self) -> None:
        """Count the bytes read ahead, which are held whether they fit or not."""
        size = self._buffered_bytes
        counted = size if size > _UNCOUNTED_BYTES and not self._closed else 0
        if counted != self._account.held_bytes:
            self._account.add(counted - self._account.held_bytes)

    def _resume_reading(self) -> None:
        """Count the bytes that are left, and read on if they are few."""
        self._charge()
        if self._reading_paused and self._buffered_bytes <= _UNCOUNTED_BYTES:
            self._reading_paused = False
            if self.was_left_unread:
                self._was_left_unread_until_s = self._loop.time()
            self._paused_at_s = None
            if self._transport is not None and not self._closed:
                self._transport.resume_reading()

    def _fail(self, reason: str) -> None:
        if not self._closed:
            self._closed = True
            self._charge()
            self._error = HttpConnectionError(
                reason, was_left_unread=self.was_left_unread
            )
            self._wake_reader()

    def _wake_reader(self) -> None:
        waiter, self._waiter = self._waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    async def _wait_for_data(self) -> None:
        if self._error is not None:
            raise HttpConnectionError(
                self._error.reason, was_left_unread=self._error.was_left_unread
            )
        self._waiter = self._loop.create_future()
        await self._waiter


async def connect(
    address: str,
    *,
    timeout: datetime.timedelta,
    memory_budget: MemoryBudget | None = None,
) -> ClientConnection:
    """Open a connection to the IP address and port of a process.

    Raises
    ------
    HttpConnectionError
        As `open_connection`, and if the address is invalid.
    """
    try:
        host, port = split_address(address)
    except ValueError as error:
        raise HttpConnectionError("invalid_address") from error
    return await open_connection(
        host, port, timeout=timeout, memory_budget=memory_budget
    )


async def open_connection(
    host: str,
    port: int,
    *,
    timeout: datetime.timedelta,
    memory_budget: MemoryBudget | None = None,
) -> ClientConnection:
    """Open a connection to a server.

    Raises
    ------
    HttpConnectionError
        If the connection is not established within `timeout`, in which a pause of this
        process hardly counts.
    """
    loop = asyncio.get_running_loop()
    try:
        async with RunningTimeLimit(timeout):
            _, connection = await loop.create_connection(
                lambda: ClientConnection(memory_budget), host, port
            )
    except TimeoutError as error:
        raise HttpConnectionError("connect_timeout") from error
    except OSError as error:
        has_descriptor = error.errno not in _NO_DESCRIPTOR_ERRORS
        reason = "connect_refused" if has_descriptor else "no_descriptor"
        raise HttpConnectionError(reason) from error
    except UnicodeError as error:
        # The host is no name that can be looked up.
        raise HttpConnectionError("invalid_address") from error
    return connection


_NO_BUDGET = MemoryBudget(None)
"""Budget of connections without a bound."""
