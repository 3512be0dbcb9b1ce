"""One request of a connection and its response."""

import abc
import enum

__all__ = ["REASON_PHRASES", "Exchange", "ExchangeConnection", "RefusalCause"]

REASON_PHRASES = {
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
_STATUSES_WITHOUT_CONTENT = frozenset({204, 304})


class RefusalCause(enum.Enum):
    """Why a request is refused before it is handled."""

    MEMORY = "memory"
    CONNECTIONS = "connections"


class ExchangeConnection(abc.ABC):
    """Connection that carries the response of an exchange."""

    @property
    @abc.abstractmethod
    def is_closing(self) -> bool:
        """Whether the connection closes after the current response."""

    @property
    @abc.abstractmethod
    def is_writable(self) -> bool:
        """Whether the client has read enough to accept more data."""

    @abc.abstractmethod
    def write(self, data: bytes) -> None:
        """Send data to the client."""

    @abc.abstractmethod
    async def drain(self) -> None:
        """Wait until the client has read enough to accept more data."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Close the connection without sending the rest."""

    @abc.abstractmethod
    def on_exchange_finished(self, keep_alive: bool) -> None:
        """Continue with the next request, or close the connection."""


class Exchange:
    """A request and its response."""

    def __init__(
        self,
        connection: ExchangeConnection,
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
        self._refusal: RefusalCause | None = None
        self.held_bytes = 0
        """Bytes of memory that the connection has reserved for the request."""

    @property
    def refusal(self) -> RefusalCause | None:
        """Why the handler has to refuse the request, None if it has not to."""
        return self._refusal

    def refuse(self, cause: RefusalCause) -> None:
        """Make the handler refuse the request, whose body is dropped."""
        self._refusal = cause
        self._keep_alive = False
        self._body.clear()

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
        """Send the response head; without `length` the body is sent chunked.

        A response without content (status 204 or 304) has neither.
        """
        self._started = True
        self._chunked = length is None and status not in _STATUSES_WITHOUT_CONTENT
        lines = [
            b"HTTP/1.1 %d %b\r\n" % (status, REASON_PHRASES.get(status, b"Status"))
        ]
        lines += [b"%b: %b\r\n" % field for field in headers]
        if self._chunked:
            lines.append(b"Transfer-Encoding: chunked\r\n")
        elif length is not None and status not in _STATUSES_WITHOUT_CONTENT:
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
