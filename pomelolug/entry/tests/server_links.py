"""Links of one node to the servers, which a test can cut."""

import asyncio
import collections
import contextvars
import enum
import re
import socket
import struct
import weakref
from collections.abc import Awaitable, Callable
from typing import Any

from pomelolug.entry.tests.harness import Harness

__all__ = ["LinkCut", "ServerLinks"]

_NO_LINGER = struct.pack("ii", 1, 0)
"""SO_LINGER value with which closing a socket sends a TCP reset."""
_USER_TIMEOUT_S = 3.0
"""Time after which unacknowledged data fail a connection, as set in `transport`."""
_REQUEST_ID = re.compile(rb"\r\nrequest-id: ?([^\r]+)\r\n", re.IGNORECASE)


class LinkCut(enum.Enum):
    """How the links of a node fail."""

    SILENT = "silent"
    """No byte passes and nothing is closed; new connections stay unanswered."""
    RESET = "reset"
    """Established connections are reset; new ones are refused."""
    NEW_REFUSED = "new_refused"
    """Established connections work; new ones are refused."""
    ACCEPTED = "accepted"
    """As `SILENT`, but new connections open, and what is sent is acknowledged."""


class ServerLinks:
    """The connections of one node to the servers and to other nodes.

    All connections that the tasks of the node open are intercepted in the event loop,
    whichever pool or function opens them. The node is known by a context variable,
    which its tasks inherit. `cut` concerns those to the servers of the harness only.

    Parameters
    ----------
    harness : Harness
        The node, which has to be started with `start_node`.
    root : Harness
        The harness that has the servers.
    """

    def __init__(self, harness: Harness, root: Harness) -> None:
        self._harness = harness
        self._root = root
        self._kind: LinkCut | None = None
        self._changed = asyncio.Event()
        self._links: set[_Link] = set()
        self.sent_ids: collections.Counter[str] = collections.Counter()
        """How often each request id has passed to a server."""
        self.passed_on_ids: collections.Counter[str] = collections.Counter()
        """How often the node has sent each request id to another address."""

    async def start_node(self, **settings: Any) -> None:
        """Start the node, see `Harness.start`."""
        _intercept_connections(asyncio.get_running_loop())
        token = _LINKS_OF_NODE.set(self)
        try:
            await self._harness.start(**settings)
        finally:
            _LINKS_OF_NODE.reset(token)

    def cut(self, kind: LinkCut) -> None:
        """Cut the links to all servers."""
        self._set_kind(kind)
        for link in list(self._links):
            if kind in (LinkCut.SILENT, LinkCut.ACCEPTED):
                link.silence(acknowledges=kind is LinkCut.ACCEPTED)
            elif kind is LinkCut.RESET:
                link.reset()

    def restore(self) -> None:
        """Restore the links; bytes that were held are delivered."""
        self._set_kind(None)
        for link in list(self._links):
            link.restore()

    async def open(
        self,
        create_connection: Callable[..., Awaitable[Any]],
        protocol_factory: Callable[[], asyncio.Protocol],
        host: str,
        port: int,
        options: dict[str, Any],
    ) -> "tuple[_Link, asyncio.Protocol]":
        """Open a connection for the node as `create_connection` of the loop does."""
        is_to_server = f"{host}:{port}" in {s.address for s in self._root.servers}
        while is_to_server and self._kind not in (None, LinkCut.ACCEPTED):
            if self._kind is not LinkCut.SILENT:
                raise ConnectionRefusedError
            await self._changed.wait()
        link = _Link(
            protocol_factory(), self.sent_ids if is_to_server else self.passed_on_ids
        )
        if is_to_server:
            link.on_lost = self._links.discard
            self._links.add(link)
        try:
            await create_connection(lambda: link, host, port, **options)
        except BaseException:
            self._links.discard(link)
            raise
        if is_to_server and self._kind in (LinkCut.SILENT, LinkCut.ACCEPTED):
            link.silence(acknowledges=self._kind is LinkCut.ACCEPTED)
        elif is_to_server and self._kind is LinkCut.RESET:
            link.reset()
        return link, link.protocol

    def _set_kind(self, kind: LinkCut | None) -> None:
        self._kind = kind
        self._changed.set()
        self._changed = asyncio.Event()


class _Link(asyncio.Protocol, asyncio.Transport):
    """Protocol of a connection, and the transport that its own protocol sees."""

    def __init__(
        self, protocol: asyncio.Protocol, sent_ids: collections.Counter[str]
    ) -> None:
        super().__init__()
        self.protocol = protocol
        self.on_lost: Callable[[_Link], None] = lambda link: None
        self._sent_ids = sent_ids
        self._transport: asyncio.Transport | None = None
        self._is_silent = False
        self._acknowledges = False
        self._is_closed = False
        self._is_lost = False
        self._reads = True
        self._held: list[bytes] = []
        self._error: Exception | None = None

    def silence(self, *, acknowledges: bool) -> None:
        """Let no byte pass; acknowledge what the node sends or not."""
        if self._transport is not None and not self._is_lost:
            self._is_silent = True
            self._acknowledges = acknowledges
            self._transport.pause_reading()

    def reset(self) -> None:
        """Reset the connection at both ends."""
        if self._transport is None or self._is_lost:
            return
        self._error = ConnectionResetError()
        sock = self._transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
        self._transport.abort()

    def restore(self) -> None:
        """Deliver what was held, or the end if the node has closed the connection."""
        if self._transport is None or not self._is_silent:
            return
        self._is_silent = False
        if self._is_closed:
            self._transport.abort()
            return
        for data in self._held:
            self._count_requests(data)
        self._transport.writelines(self._held)
        self._held.clear()
        if self._reads:
            self._transport.resume_reading()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.protocol.connection_made(self)

    def data_received(self, data: bytes) -> None:
        self.protocol.data_received(data)

    def eof_received(self) -> bool | None:
        return self.protocol.eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        self.on_lost(self)
        self._lose(self._error or exc)

    # asyncio.Transport

    def write(self, data: Any) -> None:
        assert self._transport is not None
        if not self._is_silent:
            self._count_requests(bytes(data))
            self._transport.write(data)
        elif not self._is_closed:
            if not self._held and not self._acknowledges:
                loop = asyncio.get_running_loop()
                loop.call_later(_USER_TIMEOUT_S, self._fail_unacknowledged)
            self._held.append(bytes(data))

    def close(self) -> None:
        self._end(abort=False)

    def abort(self) -> None:
        self._end(abort=True)

    def is_closing(self) -> bool:
        assert self._transport is not None
        return self._is_closed or self._transport.is_closing()

    def pause_reading(self) -> None:
        assert self._transport is not None
        self._reads = False
        self._transport.pause_reading()

    def resume_reading(self) -> None:
        assert self._transport is not None
        self._reads = True
        if not self._is_silent:
            self._transport.resume_reading()

    def get_write_buffer_size(self) -> int:
        assert self._transport is not None
        return self._transport.get_write_buffer_size()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        assert self._transport is not None
        return self._transport.get_extra_info(name, default)

    # internals

    def _count_requests(self, data: bytes) -> None:
        for request_id in _REQUEST_ID.findall(data):
            self._sent_ids[request_id.decode()] += 1

    def _end(self, *, abort: bool) -> None:
        """Close the connection; the server learns it when the link is restored."""
        assert self._transport is not None
        self._is_closed = True
        if self._is_silent:
            asyncio.get_running_loop().call_soon(self._lose, None)
        elif abort:
            self._transport.abort()
        else:
            self._transport.close()

    def _fail_unacknowledged(self) -> None:
        if self._is_silent and self._held:
            self._is_closed = True
            self._lose(TimeoutError())

    def _lose(self, error: Exception | None) -> None:
        if not self._is_lost:
            self._is_lost = True
            self.protocol.connection_lost(error)


_LINKS_OF_NODE: contextvars.ContextVar[ServerLinks | None] = contextvars.ContextVar(
    "links_of_node", default=None
)
_INTERCEPTED_LOOPS: weakref.WeakSet[asyncio.AbstractEventLoop] = weakref.WeakSet()


def _intercept_connections(loop: asyncio.AbstractEventLoop) -> None:
    """Let connections of tasks of nodes with `ServerLinks` be opened by these."""
    if loop in _INTERCEPTED_LOOPS:
        return
    _INTERCEPTED_LOOPS.add(loop)
    original = loop.create_connection

    async def create_connection(protocol_factory, host=None, port=None, **options):
        links = _LINKS_OF_NODE.get()
        if links is None:
            return await original(protocol_factory, host, port, **options)
        return await links.open(original, protocol_factory, host, port, options)

    loop.create_connection = create_connection  # type: ignore[method-assign]
