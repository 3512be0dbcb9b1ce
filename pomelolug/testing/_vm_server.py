"""HTTP server of one simulated VM, with connection faults."""

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web

from pomelolug.testing._process_connections import ProcessConnections

__all__ = ["VmServer"]

_SHUTDOWN_TIMEOUT_S = 0.05

_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class VmServer:
    """HTTP server of one VM that can stop listening, stop sending or be partitioned.

    Parameters
    ----------
    host : str
        Address to listen on.
    port : int
        Port; with 0, the operating system chooses one.
    is_reachable : callable
        Returns whether the VM sends responses now.
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
        self._classified: set[asyncio.BaseTransport] = set()
        self._partitioned: ProcessConnections | None = None
        self._reachability_changed = asyncio.Event()

    @property
    def address(self) -> str:
        """IP address and port."""
        return f"{self._host}:{self._port}"

    async def start(self, routes: list[web.RouteDef]) -> None:
        """Listen and serve `routes`."""
        app = web.Application(
            middlewares=[self._hold_while_silent], client_max_size=16 * 1024 * 1024
        )
        app.add_routes(routes)
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=_SHUTDOWN_TIMEOUT_S,
        )
        await self._runner.setup()
        await self.listen()

    async def listen(self) -> None:
        """Start to listen, also after `stop_listening`."""
        if self._runner is None or self._site is not None:
            return
        self._site = web.TCPSite(
            self._runner, self._host, self._port, reuse_address=True
        )
        await self._site.start()
        if self._port == 0:
            self._port = self._runner.addresses[0][1]

    async def stop_listening(self) -> None:
        """Close the listening socket and abort every connection."""
        if self._site is not None:
            await self._site.stop()
            self._site = None
        self.abort_connections()

    async def close(self) -> None:
        """Abort every connection and stop the server."""
        if self._runner is not None:
            self.abort_connections()
            await self._runner.cleanup()

    def abort_connections(self) -> None:
        """Abort every open connection."""
        for transport in self._open_transports():
            transport.abort()
        self._silent.clear()
        self.notify()

    def silence_connections(self) -> None:
        """Stop sending on the open connections without closing them."""
        self._silent.update(self._open_transports())

    def set_partition(self, ports: ProcessConnections | None) -> None:
        """Stop sending to the processes of `ports`; None ends the partition."""
        self._partitioned = ports
        self._silent.clear()
        self._classified.clear()
        if ports is not None:
            for transport in self._open_transports():
                self._classified.add(transport)
                if ports.has_connection(_peer_port(transport), self._port):
                    self._silent.add(transport)
        self.notify()

    async def wait_until_sendable(
        self, transport: asyncio.BaseTransport | None
    ) -> None:
        """Wait while the VM is unreachable or `transport` is silenced."""
        while transport in self._silent or not self._is_reachable():
            self._reachability_changed.clear()
            await self._reachability_changed.wait()

    def notify(self) -> None:
        """Wake the waiting streams after a change of reachability."""
        self._reachability_changed.set()

    def _open_transports(self) -> list[asyncio.Transport]:
        if self._runner is None or self._runner.server is None:
            return []
        transports = (
            connection.transport for connection in self._runner.server.connections
        )
        # Not checked with isinstance: uvloop transports do not subclass the asyncio
        # classes.
        return [transport for transport in transports if transport is not None]

    @web.middleware
    async def _hold_while_silent(
        self, request: web.Request, handler: _Handler
    ) -> web.StreamResponse:
        await self._classify_connection(request.transport)
        await self.wait_until_sendable(request.transport)
        response = await handler(request)
        await self.wait_until_sendable(request.transport)
        return response

    async def _classify_connection(
        self, transport: asyncio.BaseTransport | None
    ) -> None:
        if (
            self._partitioned is None
            or transport is None
            or transport in self._classified
        ):
            return
        self._classified.add(transport)
        if await self._partitioned.has_new_connection(
            _peer_port(transport), self._port
        ):
            self._silent.add(transport)


def _peer_port(transport: asyncio.BaseTransport) -> int:
    peer = transport.get_extra_info("peername")
    return peer[1] if peer else 0
