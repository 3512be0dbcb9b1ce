"""HTTP protocol of the gateway's server, with limits on request headers."""

import asyncio
from collections.abc import Callable
from typing import Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

__all__ = ["HeaderLimitProtocol", "make_protocol_class"]

MAX_HEADER_BYTES = 32 * 1024
MAX_HEADER_COUNT = 100
HEADER_TIMEOUT_S = 10.0
_HEADERS_TOO_LARGE_RESPONSE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"content-type: application/json\r\nconnection: close\r\n"
    b"content-length: %d\r\n\r\n%b"
)
_HEADERS_TOO_LARGE_BODY = (
    b'{"error":{"code":"headers_too_large","message":"the request headers exceed '
    b'the limit","outcome":"not_run","request_id":""}}'
)


class HeaderLimitProtocol(HttpToolsProtocol):
    """Limits the size, number and arrival time of request headers.

    Headers that exceed the size or number are refused with status 431. A new
    connection is closed if its first headers are not complete in time. Uvicorn
    limits neither the size of the headers nor the time that they may take.
    """

    on_refused: Callable[[], None] = staticmethod(lambda: None)

    def connection_made(self, transport: Any) -> None:
        """Start the header timeout of a new connection."""
        super().connection_made(transport)
        self._received_header_bytes = 0
        self._is_refused = False
        loop = asyncio.get_running_loop()
        self._header_timer: asyncio.TimerHandle | None = loop.call_later(
            HEADER_TIMEOUT_S, self._close_on_header_timeout
        )

    def _close_on_header_timeout(self) -> None:
        if not self.transport.is_closing():
            self.transport.close()

    def data_received(self, data: bytes) -> None:
        """Pass data to the parser unless a request was refused."""
        if not self._is_refused:
            super().data_received(data)

    def on_message_begin(self) -> None:
        """Reset the header size for each request."""
        self._received_header_bytes = 0
        super().on_message_begin()

    def on_url(self, url: bytes) -> None:
        """Count the request target towards the header size."""
        self._add_header_bytes(len(url))
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Count a header and keep it unless the request was refused."""
        self._add_header_bytes(len(name) + len(value))
        if not self._is_refused:
            super().on_header(name, value)

    def _add_header_bytes(self, size: int) -> None:
        self._received_header_bytes += size
        has_too_many_headers = len(getattr(self, "headers", ())) >= MAX_HEADER_COUNT
        if not self._is_refused and (
            self._received_header_bytes > MAX_HEADER_BYTES or has_too_many_headers
        ):
            self._is_refused = True
            type(self).on_refused()
            self.transport.write(
                _HEADERS_TOO_LARGE_RESPONSE
                % (len(_HEADERS_TOO_LARGE_BODY), _HEADERS_TOO_LARGE_BODY)
            )
            self.transport.close()

    def on_headers_complete(self) -> None:
        """Cancel the timeout and start the request unless it was refused."""
        self._cancel_header_timer()
        if not self._is_refused:
            super().on_headers_complete()

    def _cancel_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the header timeout."""
        self._cancel_header_timer()
        super().connection_lost(exc)


def make_protocol_class(on_refused: Callable[[], None]) -> type[HeaderLimitProtocol]:
    """Return a protocol class that calls `on_refused` for each refused request.

    Uvicorn creates the protocol objects itself and accepts only a class, so that
    the callback cannot be passed to a constructor.
    """

    class RefusalCountingProtocol(HeaderLimitProtocol):
        """Header-limiting protocol that reports its refusals."""

    RefusalCountingProtocol.on_refused = staticmethod(on_refused)
    return RefusalCountingProtocol
