"""Cuts of the links of single processes through proxies that all processes share."""

import asyncio
import contextlib
import datetime
import os
import time
from collections.abc import AsyncIterator

import pytest

from pomelolug.testing import LinkCut, LoopbackProxy, ProcessConnections
from pomelolug.transport import RunningTimeLimit

TIMEOUT = datetime.timedelta(seconds=0.3)
"""Time without a byte after which a link is silent, while this process runs."""


@contextlib.asynccontextmanager
async def start_proxy() -> AsyncIterator[LoopbackProxy]:
    async def echo(reader, writer):
        while data := await reader.read(100):
            writer.write(data)
        writer.close()

    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    # The proxy binds a port that was free a moment ago.
    probe = await asyncio.start_server(echo, "127.0.0.1", 0)
    address = f"127.0.0.1:{probe.sockets[0].getsockname()[1]}"
    probe.close()
    await probe.wait_closed()
    proxy = LoopbackProxy(address, f"127.0.0.1:{port}")
    await proxy.start()
    try:
        yield proxy
    finally:
        proxy.stop()
        server.close()


class Client:
    """Connection through the proxy to a server that sends everything back."""

    async def open(self, proxy: LoopbackProxy) -> "Client":
        """Connect."""
        host, _, port = proxy.address.rpartition(":")
        self._reader, self._writer = await asyncio.open_connection(host, int(port))
        return self

    async def exchange(self, data: bytes = b"x") -> str:
        """Return whether the data came back: echoed, silent or reset."""
        try:
            self._writer.write(data)
            async with RunningTimeLimit(TIMEOUT):
                received = await self._reader.readexactly(len(data))
        except TimeoutError:
            return "silent"
        except (ConnectionError, asyncio.IncompleteReadError):
            return "reset"
        return "echoed" if received == data else "garbled"


@pytest.mark.parametrize(
    ("way", "kept", "new"),
    [
        (LinkCut.SILENT, "silent", "silent"),
        (LinkCut.RESET, "reset", "reset"),
        (LinkCut.REFUSES_NEW, "echoed", "reset"),
    ],
)
async def test_cut_affects_the_connections_of_its_processes(way, kept, new):
    # Guards against a cut that leaves a kept or a new connection as it was.
    async with start_proxy() as proxy:
        client = await Client().open(proxy)
        assert await client.exchange() == "echoed"
        cut_off = ProcessConnections([os.getpid()])
        cut_off.read()
        proxy.cut(way, cut_off)
        assert await client.exchange() == kept
        assert await (await Client().open(proxy)).exchange() == new
        proxy.mend()
        assert await (await Client().open(proxy)).exchange() == "echoed"
        if way is LinkCut.SILENT:
            # The byte that was held arrives late, before this one.
            assert await client.exchange() == "echoed"
            assert await client.exchange() == "echoed"


async def test_pause_of_the_test_is_no_silence():
    # Guards against links that these tests take for silent because the process that
    # runs the client, the proxy and the server stood still.
    async with start_proxy() as proxy:
        client = await Client().open(proxy)
        asyncio.get_running_loop().call_soon(time.sleep, 0.5)
        assert await client.exchange() == "echoed"


@pytest.mark.parametrize("way", LinkCut)
async def test_cut_leaves_other_processes_alone(way):
    # Guards against a cut of the links of all processes that share a proxy.
    async with start_proxy() as proxy:
        client = await Client().open(proxy)
        assert await client.exchange() == "echoed"
        cut_off = ProcessConnections([os.getppid()])
        cut_off.read()
        proxy.cut(way, cut_off)
        assert await client.exchange() == "echoed"
        assert await (await Client().open(proxy)).exchange() == "echoed"
