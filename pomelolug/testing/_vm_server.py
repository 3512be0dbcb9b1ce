"""Listening socket of one simulated VM and the faults of its connections."""

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web

from pomelolug.testing._process_connections import ProcessConnections

__all__ = ["VmServer"]

_SHUTDOWN_S = 0.05

_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class VmServer:
    """HTTP server of one VM that can stop, fall silent and be cut off.

    Parameters
    ----------
    host : str
        Address to listen on.
    port : int
        Port; with 0 the system chooses one.
    is_reachable : callable
        Tells whether the VM answers now.
    """

    def __init__(
        self, *, host: str, port: int, is_reachable: Callable[[], bool]
    ) -> None:
        self._host = host
        self._port = port
        self._is_reachable = is_reachable
        self._runner: web.AppRunner | None = None
        self._site: web.TCPSite | None = None
        self._silent: set[asyncio.BaseTransport] = set()
        self._checked: set[asyncio.BaseTransport] = set()
        self._cut: ProcessConnections | None = None
        self._changed = asyncio.Event()

    @property
    def address(self) -> str:
        """IP and port."""
        return f"{self._host}:{self._port}"

    async def start(self, routes: list[web.RouteDef]) -> None:
        """Listen and serve `routes`."""
        app = web.Application(
            middlewares=[self._gate], client_max_size=16 * 1024 * 1024
        )
        app.add_routes(routes)
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=_SHUTDOWN_S,
        )
        await self._runner.setup()
        await self.listen()

    async def listen(self) -> None:
        """Accept connections, again if the VM was down."""
        if self._runner is None or self._site is not None:
            return
        self._site = web.TCPSite(
            self._runner, self._host, self._port, reuse_address=True
        )
        await self._site.start()
        if self._port == 0:
            self._port = self._runner.addresses[0][1]

    async def refuse(self) -> None:
        """Close the listening socket and abort every connection."""
        if self._site is not None:
            await self._site.stop()
            self._site = None
        self.abort_connections()

    async def close(self) -> None:
        """End the server."""
        if self._runner is not None:
            self.abort_connections()
            await self._runner.cleanup()

    def abort_connections(self) -> None:
        """Abort every open connection."""
        for transport in self._transports():
            transport.abort()
        self._silent.clear()
        self.notify()

    def silence_connections(self) -> None:
        """Stop sending on the open connections without closing them."""
        self._silent.update(self._transports())

    def cut(self, ports: ProcessConnections | None) -> None:
        """Fall silent towards the processes of `ports`; None heals."""
        self._cut = ports
        self._silent.clear()
        self._checked.clear()
        if ports is not None:
            for transport in self._transports():
                self._checked.add(transport)
                if ports.has_connection(_peer_port(transport), self._port):
                    self._silent.add(transport)
        self.notify()

    async def wait_sendable(self, transport: asyncio.BaseTransport | None) -> None:
        """Wait while the VM or this connection sends nothing."""
        while transport in self._silent or not self._is_reachable():
            self._changed.clear()
            await self._changed.wait()

    def notify(self) -> None:
        """Tell the waiting streams that the VM's reachability changed."""
        self._changed.set()

    def _transports(self) -> list[asyncio.Transport]:
        if self._runner is None or self._runner.server is None:
            return []
        transports = (item.transport for item in self._runner.server.connections)
        # The transports of uvloop are no instances of the asyncio class.
        return [item for item in transports if item is not None]

    @web.middleware
    async def _gate(
        self, request: web.Request, handler: _Handler
    ) -> web.StreamResponse:
        await self._check_cut(request.transport)
        await self.wait_sendable(request.transport)
        response = await handler(request)
        await self.wait_sendable(request.transport)
        return response

    async def _check_cut(self, transport: asyncio.BaseTransport | None) -> None:
        if self._cut is None or transport is None or transport in self._checked:
            return
        self._checked.add(transport)
        if await self._cut.has_new_connection(_peer_port(transport), self._port):
            self._silent.add(transport)


def _peer_port(transport: asyncio.BaseTransport) -> int:
    peer = transport.get_extra_info("peername")
    return peer[1] if peer else 0
