"""A request that crashes each server that runs it is stopped after three losses."""

import asyncio
import signal

import pytest

from pomelolug.entry.tests.harness import (
    API_KEY,
    MODEL,
    Harness,
    ProcessNode,
    encode_caller_request,
    encode_event,
    send_response,
    start_stream,
)
from pomelolug.testing import LinkFault, LoopbackProxy
from pomelolug.transport import HttpConnectionError

LOSS_BOUND = 3
KNOWLEDGE_BOUND_S = 3.0
"""Time after a loss, after the start of a node, or after it reaches the store again,
by which the node has to know of all losses."""
KINDS = ("stream", "safe", "once")
ENDS = ("reset", "closed", "cut", "silent", "left", "pooled")


class CrashingServers:
    """Servers that end when they run a request whose path ends with "crash".

    `end` says what the entry process sees of it: the connection is reset or closed
    before a response, the response is cut inside, the server falls silent, its caller
    leaves before that is noticed, or a kept connection is closed.
    """

    def __init__(self, harness: Harness, kind: str, end: str) -> None:
        self.harness = harness
        self.kind = kind
        self.end = end
        self.runs: list[str] = []
        self._names: list[str] = []
        self._crashed: list[int] = []
        self._starts = 1

    async def add(self, count: int) -> None:
        for number in range(count):
            script = self._script(number)
            service = "llm" if self.kind == "stream" else "plain"
            self._names.append(await self.harness.add_server(script, service=service))

    def restart_crashed(self) -> None:
        """Publish the entries of the servers that crashed, after their restart."""
        self._starts += 1
        for number in set(self._crashed):
            self.harness.publish_server(
                self._names[number],
                self.harness.servers[number].address,
                service="llm" if self.kind == "stream" else "plain",
                born=self._starts,
            )
        self._crashed.clear()

    def _script(self, number: int):
        async def script(request):
            if not request.target.startswith(f"/{self.kind}/"):
                # A report or an order of the controller.
                request.send("404 Not Found", {})
            elif request.target.endswith("/crash"):
                self.runs.append(request.request_id)
                self._crashed.append(number)
                await self._crash(request)
            elif self.kind == "stream":
                start_stream(request)
                request.send_chunk(encode_event(0))
                request.send_chunk(b"")
            else:
                send_response(request)

        return script

    async def _crash(self, request) -> None:
        if self.end in ("silent", "left"):
            await request.wait_closed()
            request.reset()
            return
        if self.end == "begun":
            last = request.headers.get("last-event-id")
            start_stream(request)
            request.send_chunk(encode_event(int(last) + 1 if last else 0))
            await request.writer.drain()
            # A reset may overtake what has just been sent.
            await asyncio.sleep(0.05)
            request.reset()
            return
        if self.end == "cut" and self.kind == "stream":
            start_stream(request)
            request.send_chunk(encode_event(0)[:9])
            request.send_chunk(b"")
        elif self.end == "cut":
            headers = {"Request-Id": request.request_id, "Response-Seal": "s"}
            request.send_head("200 OK", headers | {"Content-Length": "100"})
            request.writer.write(b"half")
        if self.end != "reset":
            await request.writer.drain()
            request.writer.close()
        else:
            request.reset()


async def send_crashing(
    h: Harness | ProcessNode, servers: CrashingServers, name: str, **headers: str
) -> int | None:
    """Send the request under a new id; return its status, None without an answer."""
    connection = await h.connect()
    method = b"GET" if servers.kind == "safe" else b"POST"
    headers = {"Model": MODEL, "Token_Count": "100,50"} | headers
    connection.send(
        encode_caller_request(
            f"/{servers.kind}/crash",
            method=method,
            body=b"" if servers.kind == "safe" else b"same",
            request_id=name,
            key=API_KEY,
            deadline_ms=800,
            **headers if servers.kind == "stream" else {},
        )
    )
    patience_s = 0.3 if servers.end == "left" else 3.0
    try:
        async with asyncio.timeout(patience_s):
            head = await connection.read_head()
            await connection.read_body(1 << 20)
            return head.status
    except (HttpConnectionError, TimeoutError):
        return None
    finally:
        connection.abort()
        await asyncio.sleep(0.02)


async def send_harmless(h: Harness, servers: CrashingServers, name: str) -> int:
    headers = {"Model": MODEL, "Token_Count": "100,50"}
    head, _ = await h.request(
        f"/{servers.kind}/fine",
        method=b"GET" if servers.kind == "safe" else b"POST",
        request_id=name,
        **headers if servers.kind == "stream" else {},
    )
    return head.status


async def crash_until_stopped(h: Harness, servers: CrashingServers) -> None:
    """Send the request often enough to crash more servers than are allowed."""
    for number in range(6):
        if servers.end == "pooled":
            for other in range(4):
                await send_harmless(h, servers, f"before{number}.{other}")
        await send_crashing(h, servers, f"p{number}")
        servers.restart_crashed()
        await asyncio.sleep(0.3)


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("kind", KINDS)
async def test_crashing_request_is_stopped_whatever_its_kind_and_end(kind, end):
    # Guards against a kind of request that nobody counts, and against a server's end
    # that is not taken for one.
    async with Harness() as h:
        servers = CrashingServers(h, kind, end)
        await servers.add(6)
        await h.start()
        await crash_until_stopped(h, servers)
        assert len(servers.runs) == LOSS_BOUND
        assert await send_crashing(h, servers, "again") == 503
        assert len(servers.runs) == LOSS_BOUND
        assert await send_harmless(h, servers, "other") == 200


@pytest.mark.parametrize("kind", KINDS)
async def test_losses_at_several_nodes_add_up_through_the_store(kind):
    # Guards against three losses for each node when their datagrams do not arrive.
    async with Harness() as h, Harness(joins=h) as second, Harness(joins=h) as third:
        servers = CrashingServers(h, kind, "reset")
        await servers.add(8)
        nodes = (h, second, third)
        for node in nodes:
            await node.start(internal_ports=())
        for number in range(9):
            await send_crashing(nodes[number % 3], servers, f"p{number}")
            servers.restart_crashed()
            await asyncio.sleep(KNOWLEDGE_BOUND_S / 2)
        assert len(servers.runs) <= LOSS_BOUND + 1


@pytest.mark.parametrize("kind", KINDS)
async def test_node_started_after_the_losses_refuses_the_request(kind):
    # Guards against three more losses through each node that is restarted or added.
    async with Harness() as h, Harness(joins=h) as late:
        servers = CrashingServers(h, kind, "reset")
        await servers.add(6)
        await h.start()
        await crash_until_stopped(h, servers)
        await asyncio.sleep(KNOWLEDGE_BOUND_S)
        await late.start(seeds=(f"{h.ip}:8003",))
        await asyncio.sleep(KNOWLEDGE_BOUND_S)
        crashed_before = len(servers.runs)
        assert await send_crashing(late, servers, "late") == 503
        assert len(servers.runs) == crashed_before


@pytest.mark.parametrize("kind", KINDS)
async def test_losses_are_known_after_all_nodes_have_lost_power(kind):
    # Guards against losses that are kept only in the memory of the nodes.
    async with Harness() as h, Harness(joins=h) as restarted:
        servers = CrashingServers(h, kind, "reset")
        await servers.add(6)
        await h.start()
        await crash_until_stopped(h, servers)
        await asyncio.sleep(KNOWLEDGE_BOUND_S)
        await h.kill()
        await restarted.start()
        await asyncio.sleep(KNOWLEDGE_BOUND_S)
        crashed_before = len(servers.runs)
        assert await send_crashing(restarted, servers, "late") == 503
        assert len(servers.runs) == crashed_before


async def test_node_that_the_store_refuses_learns_old_losses_from_its_peers():
    # Guards against a node that the store turns away and that starts long after the
    # losses: its peers have to tell it.
    async with Harness() as h, Harness(joins=h) as refused:
        servers = CrashingServers(h, "once", "reset")
        await servers.add(6)
        await h.start()
        await crash_until_stopped(h, servers)
        await asyncio.sleep(2 * KNOWLEDGE_BOUND_S)
        await refused.start(store_address=f"{refused.ip}:9", seeds=(f"{h.ip}:8003",))
        await asyncio.sleep(KNOWLEDGE_BOUND_S)
        crashed_before = len(servers.runs)
        assert await send_crashing(refused, servers, "late") == 503
        assert len(servers.runs) == crashed_before


async def test_node_that_loses_the_store_hears_of_losses_in_another_zone():
    # Guards against a node that knows only what it reads from the store: the relays of
    # the zones have to tell each other.
    async with Harness() as h, Harness(joins=h) as other:
        servers = CrashingServers(h, "once", "reset")
        await servers.add(6)
        await h.start()
        link = LoopbackProxy(f"{other.ip}:7000", h.store.address)
        await link.start()
        await other.start(
            zone="z2", store_address=link.address, seeds=(f"{h.ip}:8003",)
        )
        link.fault = LinkFault.SILENT
        await crash_until_stopped(h, servers)
        await asyncio.sleep(2 * KNOWLEDGE_BOUND_S)
        crashed_before = len(servers.runs)
        assert await send_crashing(other, servers, "late") == 503
        assert len(servers.runs) == crashed_before
        link.stop()


@pytest.mark.parametrize("kind", KINDS)
async def test_node_that_was_frozen_during_the_losses_refuses_the_request(
    kind, tmp_path
):
    # Guards against three more losses through a node that stood still while the others
    # were told, and that wakes up with what it knew before.
    async with Harness() as h:
        servers = CrashingServers(h, kind, "reset")
        await servers.add(6)
        await h.start()
        frozen = ProcessNode(h, tmp_path)
        try:
            await frozen.start()
            frozen.signal(signal.SIGSTOP)
            await crash_until_stopped(h, servers)
            await asyncio.sleep(KNOWLEDGE_BOUND_S)
            frozen.signal(signal.SIGCONT)
            await asyncio.sleep(KNOWLEDGE_BOUND_S)
            assert len(servers.runs) == LOSS_BOUND
            assert await send_crashing(frozen, servers, "late") == 503
            assert len(servers.runs) == LOSS_BOUND
        finally:
            await frozen.kill()


@pytest.mark.parametrize("resumed_by", ["node", "caller"])
async def test_crashing_stream_is_stopped_when_it_is_resumed(resumed_by):
    # Guards against a stream that loses its server after an event and is not recognised
    # as the same request when the node or its caller goes on after that event.
    async with Harness() as h:
        servers = CrashingServers(h, "stream", "begun")
        await servers.add(6)
        await h.start()
        for number in range(6):
            headers = {"Last_Event_Id": f"{number}"} if resumed_by == "caller" else {}
            await send_crashing(h, servers, f"p{number}", **headers)
            servers.restart_crashed()
            await asyncio.sleep(0.3)
        assert len(servers.runs) == LOSS_BOUND
        assert await send_crashing(h, servers, "again") == 503
        assert len(servers.runs) == LOSS_BOUND


async def test_refusal_of_a_crashing_request_says_when_to_come_back():
    # Guards against callers that repeat at once a request that is refused for minutes.
    async with Harness() as h:
        servers = CrashingServers(h, "once", "reset")
        await servers.add(4)
        await h.start()
        await crash_until_stopped(h, servers)
        head, body = await h.request(
            "/once/crash", method=b"POST", body=b"same", request_id="again"
        )
        assert head.status == 503
        assert 290 < float(head.get(b"Retry-After") or b"0") <= 300
        assert b'"outcome":"not_run"' in body
