"""A node that loses its links to all servers notices it and takes nothing amiss."""

import asyncio
import contextlib
import itertools
import socket

import msgspec
import pytest

from pomelolug.entry._compose import _EntryProcess
from pomelolug.entry.tests.harness import (
    MODEL,
    Harness,
    encode_caller_request,
    encode_event,
    send_response,
    start_stream,
)
from pomelolug.ids import VmId
from pomelolug.testing import LinkFault, LoopbackProxy, ScriptedServer
from pomelolug.transport import HttpConnectionError

SERVER_COUNT = 3
NOTICED_S = 1.5
"""Time in which a node with requests notices that it is cut off."""
REQUEST_INTERVAL_S = 0.05
FAULTS = ["refused", "reset", "hanging"]


async def serve(request) -> None:
    if request.target == "/-/report":
        request.send("200 OK", {}, msgspec.json.encode({"seq": 1, "born": 1}))
        return
    if request.target.startswith("/stream"):
        start_stream(request)
        for number in range(200):
            request.send_chunk(encode_event(number))
            await request.writer.drain()
            await asyncio.sleep(0.05)
    if request.target.endswith("slow"):
        await asyncio.sleep(5.0)
    send_response(request)


class ServerLinks:
    """Links from the nodes to their servers, which can fail together."""

    def __init__(self, harness: Harness, *, service: str = "plain") -> None:
        self._harness = harness
        self._service = service
        self._proxies: list[LoopbackProxy] = []
        self._full_sockets: list[socket.socket] = []

    async def start(self) -> None:
        for number in range(SERVER_COUNT):
            server = ScriptedServer(serve)
            await server.start()
            self._harness.servers.append(server)
            port = int(server.address.rpartition(":")[2])
            address = self._harness.ip.rpartition(".")[0] + f".{20 + number}:{port}"
            self._proxies.append(LoopbackProxy(address, server.address))
            await self._proxies[-1].start()
            self._harness.publish_server(f"vm-{number}", address, service=self._service)

    async def lose(self, fault: str) -> None:
        for proxy in self._proxies:
            if fault == "accepting":
                proxy.fault = LinkFault.SILENT
                continue
            if fault == "reset":
                proxy.stop()
            else:
                assert proxy._server is not None
                proxy._server.close()
            if fault == "hanging":
                proxy.fault = LinkFault.SILENT
                self._fill_backlog(proxy.address)

    async def restore(self) -> None:
        self.stop()
        for proxy in self._proxies:
            proxy.fault = LinkFault.NONE
            await proxy.start()

    def stop(self) -> None:
        for full_socket in self._full_sockets:
            full_socket.close()
        self._full_sockets.clear()
        for proxy in self._proxies:
            proxy.stop()

    def _fill_backlog(self, address: str) -> None:
        """Listen without accepting, so that further connections hang."""
        host, _, port = address.rpartition(":")
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(0)
        self._full_sockets.append(listener)
        for _ in range(2):
            client = socket.socket()
            client.setblocking(False)
            client.connect_ex((host, int(port)))
            self._full_sockets.append(client)


class Callers:
    """Callers that send requests one after another, and a few that wait for long."""

    def __init__(self, harness: Harness) -> None:
        self._harness = harness
        self._tasks: set[asyncio.Task[None]] = set()
        self._numbers = itertools.count()

    async def __aenter__(self) -> "Callers":
        for _ in range(4):
            self._start("/once/slow")
        self._tasks.add(asyncio.create_task(self._send_all()))
        return self

    async def __aexit__(self, *error) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _start(self, path: str) -> None:
        self._tasks.add(asyncio.create_task(self._send(path)))

    async def _send_all(self) -> None:
        while True:
            self._start("/once/x")
            await asyncio.sleep(REQUEST_INTERVAL_S)

    async def _send(self, path: str) -> None:
        number = next(self._numbers)
        with contextlib.suppress(HttpConnectionError):
            await self._harness.request(
                path, method=b"POST", body=b"%d" % number, request_id=f"r{number}"
            )


def entry(node: Harness) -> _EntryProcess:
    assert node.entry is not None
    return node.entry


async def read(node: Harness, path: str, port: int) -> bytes:
    _, body = await node.request(path, connection=await node.connect(port))
    return body


async def describe(node: Harness) -> dict:
    return msgspec.json.decode(await read(node, "/status", 8003))


async def wait_for_reach(node: Harness, reaches: bool, *, within_s: float) -> None:
    async with asyncio.timeout(within_s):
        while (await describe(node))["reaches_servers"] != reaches:  # noqa: ASYNC110
            await asyncio.sleep(0.02)


@pytest.mark.parametrize("fault", FAULTS)
async def test_node_notices_that_it_is_cut_off_and_tells_its_peers(fault):
    # Guards against a node that goes on sending to servers out of reach, and against
    # peers that pass requests to it.
    async with Harness() as h, Harness(joins=h) as peer:
        links = ServerLinks(h)
        await links.start()
        await h.start()
        await peer.start(seeds=(f"{h.ip}:8003",))
        await asyncio.sleep(0.5)
        async with Callers(h):
            await asyncio.sleep(0.5)
            await links.lose(fault)
            await wait_for_reach(h, False, within_s=NOTICED_S)
            assert b"pomelolug_entry_servers_out_of_reach 1.0" in await read(
                h, "/metrics", 9464
            )
            await asyncio.sleep(0.5)
            assert entry(peer)._peer_coordinator.forwarding_addresses() == []
            # The peer uses the same links, and gets requests of the first node.
            await wait_for_reach(peer, False, within_s=NOTICED_S)
            await asyncio.sleep(0.5)
            assert entry(h)._peer_coordinator.forwarding_addresses() == []
            await links.restore()
            await wait_for_reach(h, True, within_s=1.5)
        assert b"pomelolug_entry_servers_out_of_reach 0.0" in await read(
            h, "/metrics", 9464
        )
        head, _ = await h.request("/once/x", method=b"POST", request_id="last")
        assert head.status == 200
        links.stop()


@pytest.mark.parametrize("fault", FAULTS)
async def test_lost_links_are_no_losses_of_servers(fault):
    # Guards against harmless requests that are refused on all nodes because one node
    # was cut off while it ran them.
    async with Harness() as h, Harness(joins=h) as peer:
        links = ServerLinks(h)
        await links.start()
        await h.start()
        await peer.start(seeds=(f"{h.ip}:8003",))
        await asyncio.sleep(0.5)
        async with Callers(h):
            await asyncio.sleep(0.5)
            await links.lose(fault)
            await wait_for_reach(h, False, within_s=NOTICED_S)
            await asyncio.sleep(1.0)
            for node in (h, peer):
                assert entry(node)._poison_detector._losses == {}
                assert entry(node)._server_tracker.suspects() == ()
        links.stop()


@pytest.mark.parametrize("fault", ["reset", "hanging"])
async def test_streams_alone_show_that_a_node_is_cut_off(fault):
    # Guards against a node that counts sound groups as stalled, and that notices the
    # loss of its links only with its next requests.
    async with Harness() as h:
        links = ServerLinks(h, service="llm")
        await links.start()
        await h.start()
        connections = [await h.connect() for _ in range(6)]
        for number, connection in enumerate(connections):
            fields = {"Model": MODEL, "Token_Count": "100,50"}
            connection.send(
                encode_caller_request(
                    "/stream/x", method=b"POST", request_id=f"r{number}", **fields
                )
            )
            assert (await connection.read_head()).status == 200
        await asyncio.sleep(0.3)
        await links.lose(fault)
        await wait_for_reach(h, False, within_s=NOTICED_S)
        assert entry(h)._server_tracker.suspects() == ()
        await asyncio.sleep(1.0)
        assert entry(h)._peer_coordinator._build_status(1, ()).suspects == ()
        assert entry(h)._poison_detector._losses == {}
        for connection in connections:
            connection.abort()
        await links.restore()
        await wait_for_reach(h, True, within_s=1.5)
        assert entry(h)._server_tracker.suspects() == ()
        links.stop()


class DelayedConnections:
    """Connections from a node to its servers that fail when the test lets them."""

    def __init__(self, node: Harness) -> None:
        self._node = node
        self._acquire_at_once = entry(node)._pool.acquire
        self.waiting_count = 0
        self._may_fail = asyncio.Event()

    def begin(self, monkeypatch) -> None:
        """Let all attempts to connect wait from now until `fail`."""
        monkeypatch.setattr(entry(self._node)._pool, "acquire", self._acquire)

    async def fail(self) -> None:
        """Let those that wait fail, and wait until the node has dealt with it."""
        self._may_fail.set()
        while self.waiting_count:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)

    async def _acquire(self, address: str, *, fresh: bool):
        if self._may_fail.is_set():
            return await self._acquire_at_once(address, fresh=fresh)
        self.waiting_count += 1
        try:
            await self._may_fail.wait()
        finally:
            self.waiting_count -= 1
        raise HttpConnectionError("connect_timeout")


@pytest.mark.parametrize("moment", ["cut_off", "returned"])
@pytest.mark.parametrize("path", ["/stream/x", "/safe/slow"])
async def test_connections_that_fail_late_say_nothing_of_the_servers(
    path, moment, monkeypatch
):
    # Guards against attempts over lost links that count against servers, since they
    # fail after the node has found itself cut off, or after the links have returned.
    async with Harness() as h:
        links = ServerLinks(h, service="llm" if path == "/stream/x" else "plain")
        await links.start()
        await h.start()
        connections = [await h.connect() for _ in range(6)]
        fields = {"Model": MODEL, "Token_Count": "100,50"}
        for number, connection in enumerate(connections):
            connection.send(
                encode_caller_request(
                    path, method=b"POST", request_id=f"r{number}", **fields
                )
            )
        await asyncio.sleep(0.3)
        delayed = DelayedConnections(h)
        delayed.begin(monkeypatch)
        await links.lose("reset")
        await wait_for_reach(h, False, within_s=NOTICED_S)
        if moment == "returned":
            await links.restore()
            await wait_for_reach(h, True, within_s=1.5)
        # The streams and requests that broke off are sent again meanwhile.
        assert delayed.waiting_count > 0
        await delayed.fail()
        tracker = entry(h)._server_tracker
        assert tracker.suspects() == ()
        assert [
            tracker.failure_score(VmId(f"vm-{n}")) for n in range(SERVER_COUNT)
        ] == [0.0] * SERVER_COUNT
        for connection in connections:
            connection.abort()
        links.stop()


async def test_links_that_accept_connections_and_pass_nothing_are_lost():
    # Guards against a node that takes an open connection for a server that it reaches.
    async with Harness() as h:
        links = ServerLinks(h, service="llm")
        await links.start()
        await h.start()
        connections = [await h.connect() for _ in range(6)]
        for number, connection in enumerate(connections):
            fields = {"Model": MODEL, "Token_Count": "100,50"}
            connection.send(
                encode_caller_request(
                    "/stream/x", method=b"POST", request_id=f"r{number}", **fields
                )
            )
            assert (await connection.read_head()).status == 200
        await asyncio.sleep(0.3)
        await links.lose("accepting")
        await wait_for_reach(h, False, within_s=3.0)
        for connection in connections:
            connection.abort()
        links.stop()


async def test_reset_requests_alone_show_that_a_node_is_cut_off():
    # Guards against a node that notices the loss of its links only when it sends its
    # next requests. These may run only once, so they are not sent again.
    async with Harness() as h:
        links = ServerLinks(h)
        await links.start()
        await h.start()
        connections = [await h.connect() for _ in range(SERVER_COUNT)]
        for number, connection in enumerate(connections):
            connection.send(
                encode_caller_request(
                    "/once/slow", method=b"POST", request_id=f"r{number}"
                )
            )
        await asyncio.sleep(0.3)
        await links.lose("reset")
        await wait_for_reach(h, False, within_s=1.0)
        links.stop()


async def test_two_servers_that_end_do_not_cut_a_node_off():
    # Guards against a node that passes its requests on because some servers ended.
    async with Harness() as h:
        links = ServerLinks(h)
        await links.start()
        await h.start()
        async with Callers(h):
            await asyncio.sleep(0.3)
            for proxy in links._proxies[:2]:
                proxy.stop()
            await asyncio.sleep(1.5)
            assert (await describe(h))["reaches_servers"]
        links.stop()
