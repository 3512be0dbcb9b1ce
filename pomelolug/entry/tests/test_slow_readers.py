"""Callers who read slowly, and the bounds of memory and sockets, at a whole node."""

import asyncio
import pathlib
import re
import socket

import msgspec
import pytest

from pomelolug.entry.tests.harness import (
    MODEL,
    CallerOfNode,
    Harness,
    ProcessNode,
    declaration,
    encode_caller_request,
    route,
    send_response,
    start_stream,
)

MB = 1_000_000
HEADERS = {"Model": MODEL, "Token_Count": "100,50"}
EVENT_COUNT = 1000
EVENT_BYTES = 32 * 1024
PATIENCE_S = 1.5
"""Time in seconds after which the servers here cut a response that is not read."""


def encode_large_event(number: int) -> bytes:
    return b"id: %d\ndata: %b\n\n" % (number, b"x" * EVENT_BYTES)


def slow_declaration():
    """Return a declaration whose routes allow for slow callers."""
    routes = [
        route("safe", "/safe/", "safe", "plain", timeout_ms=20_000),
        route("once", "/once/", "unsafe", "plain", max_attempts=1, timeout_ms=20_000),
        route(
            "stream",
            "/stream/",
            "streaming",
            "llm",
            resumable=True,
            sticky=True,
            gap_target_ms=200,
            timeout_ms=20_000,
        ),
    ]
    return declaration(2, routes=routes, limits={"max_body_bytes": 8 * MB})


class UnreadStreamServer:
    """Cuts its stream once it has been left unread for some time."""

    def __init__(self) -> None:
        self.cut_count = 0
        self.first_ids: list[int] = []
        self.cut = asyncio.Event()
        self.closed = asyncio.Event()

    async def run(self, request) -> None:
        first = int(request.headers.get("last-event-id", "-1")) + 1
        self.first_ids.append(first)
        start_stream(request)
        try:
            for number in range(first, EVENT_COUNT):
                request.send_chunk(encode_large_event(number))
                await asyncio.wait_for(request.writer.drain(), PATIENCE_S)
        except TimeoutError:
            self.cut_count += 1
            self.cut.set()
            request.reset()
            raise ConnectionError from None
        except ConnectionError:
            self.closed.set()
            raise
        request.send_chunk(b"")


async def start(h: Harness, **limits) -> None:
    h.publish_declaration(slow_declaration())
    await h.start(**limits)
    async with asyncio.timeout(3.0):
        while h.entry._declarations.version != 2:  # noqa: ASYNC110
            await asyncio.sleep(0.02)


def connect_unread(h: CallerOfNode) -> socket.socket:
    """Return a connection with a small window, which is not read by itself."""
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8 * 1024)
    client.connect((h.ip, 8001))
    client.setblocking(False)
    return client


def stream_request() -> bytes:
    return encode_caller_request(
        "/stream/x", method=b"POST", deadline_ms=20_000, **HEADERS
    )


async def read_to_end(client: socket.socket) -> bytes:
    data = bytearray()
    async with asyncio.timeout(15.0):
        while not data.endswith(b"\r\n0\r\n\r\n"):
            part = await asyncio.get_running_loop().sock_recv(client, 1 << 18)
            if not part:
                break
            data += part
    return bytes(data)


async def test_stream_cut_while_its_caller_did_not_read_goes_on_elsewhere(
    monkeypatch,
):
    # Guards against a slow caller whose request or server is taken for one that
    # crashes, and whose stream is not finished.
    server = UnreadStreamServer()
    async with Harness() as h:
        await h.add_server(server.run, service="llm")
        await h.add_server(server.run, service="llm")
        await start(h)
        # The answer at the other server acquits the request, so watch what is recorded.
        losses, trouble = [], []
        monkeypatch.setattr(
            h.entry._poison_detector,
            "record_loss",
            lambda *args, **options: losses.append(args),
        )
        monkeypatch.setattr(h.entry._server_contact, "report_trouble", trouble.append)
        client = connect_unread(h)
        client.send(stream_request())
        async with asyncio.timeout(8.0):
            await server.cut.wait()
        data = await read_to_end(client)
        assert server.cut_count == 1
        assert server.first_ids[0] == 0 and server.first_ids[1] > 0
        ids = [int(value) for value in re.findall(rb"id: (\d+)\n", data)]
        assert ids == list(range(EVENT_COUNT))
        assert data.endswith(b"\r\n0\r\n\r\n")
        assert not losses
        assert not trouble
        assert not h.entry._server_tracker.suspects()
        assert b'attempts_total{result="left_unread"} 1.0' in h.entry._metrics.render()
        client.close()


async def test_server_works_no_longer_for_a_caller_who_reads_nothing():
    # Guards against slots and memory that are held for callers who read nothing.
    server = UnreadStreamServer()
    async with Harness() as h:
        await h.add_server(server.run, service="llm")
        await start(h, memory_limit_bytes=200 * MB)
        h.entry._limits.unread_timeout_s = 0.5
        client = connect_unread(h)
        client.send(stream_request())
        async with asyncio.timeout(8.0):
            await server.closed.wait()
        await asyncio.sleep(0.1)
        assert server.cut_count == 0
        assert h.entry._bounds.memory_budget.held_bytes == 0
        assert h.entry._request_handler.in_flight == 0
        assert b"pomelolug_entry_unread_disconnects_total 1.0" in (
            h.entry._metrics.render()
        )
        client.close()


async def test_held_bytes_of_many_callers_who_read_nothing_are_bounded():
    # Guards against a node that is killed because its callers do not read.
    async def script(request):
        send_response(request, body=b"x" * 4 * MB)

    async with Harness() as h:
        await h.add_server(script)
        await start(h, memory_limit_bytes=40 * MB)
        budget = h.entry._bounds.memory_budget
        clients = [connect_unread(h) for _ in range(30)]
        for client in clients:
            client.send(encode_caller_request("/safe/x", deadline_ms=20_000))
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.3)
        # A body that is read already is not dropped, so one may exceed the total.
        assert budget.held_bytes <= 20 * MB + 4 * MB
        assert budget.held_bytes > 4 * MB
        h.entry._limits.unread_timeout_s = 0.5
        async with asyncio.timeout(5.0):
            while budget.held_bytes:  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        connection = await h.connect()
        connection.send(encode_caller_request("/safe/x"))
        assert (await connection.read_head()).status == 200
        assert len(await connection.read_body(4 * MB)) == 4 * MB
        for client in clients:
            client.close()


@pytest.mark.parametrize("path", ["/once/x", "/safe/x"])
async def test_request_beyond_the_memory_is_refused_as_not_run(path):
    # Guards against a refusal that states "not run" of a request that a server got,
    # and against one that comes late.
    async def script(request):
        send_response(request)

    async with Harness() as h:
        await h.add_server(script)
        await start(h, memory_limit_bytes=8 * MB)
        head, body = await h.request(path, method=b"POST", body=b"x" * 2 * MB)
        assert head.status == 503
        error = msgspec.json.decode(body)["error"]
        assert error["code"] == "memory_limit"
        assert error["outcome"] == "not_run"
        assert head.get(b"retry-after") is not None
        # Small ones go on.
        head, body = await h.request(path, method=b"POST", body=b"x" * 1000)
        assert (head.status, body) == (200, b"whole")
        assert len(h.servers[0].requests) == 1
        assert b'code="memory_limit",status="503"} 1.0' in h.entry._metrics.render()


async def test_answer_that_does_not_fit_does_not_claim_not_run():
    # Guards against a request that has run and is told not to have.
    async def script(request):
        send_response(request, body=b"x" * 4 * MB)

    async with Harness() as h:
        await h.add_server(script)
        await start(h, memory_limit_bytes=4 * MB)
        head, body = await h.request("/once/x", method=b"POST")
        assert head.status == 502
        assert msgspec.json.decode(body)["error"]["outcome"] == "outcome_unknown"
        assert not h.entry._poison_detector._losses
        assert h.entry._bounds.memory_budget.held_bytes == 0


async def test_requests_beyond_the_sockets_are_refused_and_running_ones_go_on():
    # Guards against running requests that fail when the descriptors run out.
    proceed = asyncio.Event()

    async def script(request):
        await proceed.wait()
        send_response(request)

    async with Harness() as h:
        await h.add_server(script)
        # Leaves three connections for callers.
        await start(h, socket_limit=606)
        assert h.entry._bounds.max_connections == 3
        running = [
            asyncio.create_task(
                h.request("/once/x", method=b"POST", request_id=f"r{n}")
            )
            for n in range(3)
        ]
        async with asyncio.timeout(3.0):
            while len(h.servers[0].requests) < 3:  # noqa: ASYNC110
                await asyncio.sleep(0.02)
        head, body = await h.request("/once/x", method=b"POST", request_id="r9")
        assert head.status == 503
        error = msgspec.json.decode(body)["error"]
        assert (error["code"], error["outcome"]) == ("connection_limit", "not_run")
        proceed.set()
        assert [(await task)[0].status for task in running] == [200] * 3
        assert len(h.servers[0].requests) == 3
        # Idle connections make room for new ones.
        head, _ = await h.request("/once/x", method=b"POST", request_id="r10")
        assert head.status == 200


@pytest.mark.parametrize("service", ["plain", "llm"])
async def test_node_without_descriptors_suspects_no_server(monkeypatch, service):
    # Guards against a node that takes its own lack of descriptors for lost servers,
    # and against a refusal that does not state that nothing was sent.
    async def script(request):
        send_response(request)

    async with Harness() as h:
        await h.add_server(script, service=service)
        await start(h)
        connection = await h.connect()

        async def fail(*args, **kwargs):
            raise OSError(24, "Too many open files")

        with monkeypatch.context() as patch:
            patch.setattr(type(asyncio.get_running_loop()), "create_connection", fail)
            path = "/once/x" if service == "plain" else "/stream/x"
            head, body = await h.request(
                path, method=b"POST", connection=connection, **HEADERS
            )
        assert head.status == 503
        assert msgspec.json.decode(body)["error"]["outcome"] == "not_run"
        assert not h.servers[0].requests
        tracker = h.entry._server_tracker
        assert not tracker.suspects()
        assert tracker.failure_score("vm-1") == 0.0


UNREAD_COUNT = 300
UPLOAD_COUNT = 150


async def test_process_of_200_mb_bears_callers_who_neither_read_nor_finish(
    tmp_path: pathlib.Path,
):
    # Guards against a node that is killed for its memory, or that serves nobody else
    # while callers leave 300 MB of responses unread and 450 MB of bodies unfinished.
    large_ids = set()

    async def script(request):
        is_large = "large" in request.target
        if is_large:
            large_ids.add(request.request_id)
        send_response(request, body=b"x" * MB if is_large else b"small")

    async with Harness() as h:
        h.publish_declaration(slow_declaration())
        await h.add_server(script, slots=2000)
        node = ProcessNode(h, tmp_path)
        await node.start()
        clients = []
        try:
            upload = encode_caller_request(
                "/once/x", method=b"POST", body=b"x" * 4 * MB, deadline_ms=20_000
            )
            for number in range(max(UNREAD_COUNT, UPLOAD_COUNT)):
                client = connect_unread(node)
                clients.append(client)
                client.send(
                    encode_caller_request(
                        "/safe/large", request_id=f"l{number}", deadline_ms=20_000
                    )
                )
                if number < UPLOAD_COUNT:
                    _, writer = await asyncio.open_connection(node.ip, 8001)
                    clients.append(writer)
                    # All but the end of the body.
                    writer.write(upload[: 3 * MB])
                await asyncio.sleep(0.01)
            await asyncio.sleep(1.0)
            statuses = []
            for number in range(20):
                head, _ = await node.request("/safe/small", request_id=f"s{number}")
                statuses.append(head.status)
            assert statuses == [200] * 20
            # What was left unread alone exceeds the memory of the process.
            assert len(large_ids) * MB > 200 * MB
            assert node.peak_memory_bytes < 200 * MB
        finally:
            for client in clients:
                client.close()
            await node.kill()


RUNNING_COUNT = 1650
"""Connections for which 4,100 descriptors are enough, with those to the servers."""


async def test_process_of_4100_descriptors_refuses_what_it_cannot_run(
    tmp_path: pathlib.Path,
):
    # Guards against running requests that fail, or servers that are suspected, since
    # new callers have taken the last descriptors.
    proceed = asyncio.Event()
    arrived = []

    async def script(request):
        if request.method == "GET":
            # A connection that opens late makes the node ask for the health of servers.
            send_response(request)
            return
        arrived.append(request)
        await proceed.wait()
        send_response(request, body=b"small")

    async with Harness() as h:
        h.publish_declaration(slow_declaration())
        for _ in range(2):
            await h.add_server(script, slots=2000)
        node = ProcessNode(h, tmp_path)
        await node.start()
        node.limit_descriptors(4100)
        tasks = []
        try:
            for number in range(RUNNING_COUNT):
                request = node.request(
                    "/once/x",
                    method=b"POST",
                    request_id=f"r{number}",
                    deadline_ms=20_000,
                )
                tasks.append(asyncio.create_task(request))
                if number % 50 == 0:
                    await asyncio.sleep(0.05)
            async with asyncio.timeout(15.0):
                while len(arrived) < RUNNING_COUNT:  # noqa: ASYNC110
                    await asyncio.sleep(0.05)
            further = [
                await node.request("/once/x", method=b"POST", request_id=f"f{number}")
                for number in range(50)
            ]
            assert {head.status for head, _ in further} == {503}
            assert all(b'"connection_limit"' in body for _, body in further)
            proceed.set()
            answers = await asyncio.gather(*tasks)
            assert {head.status for head, _ in answers} == {200}
            assert len(arrived) == RUNNING_COUNT
            assert node.peak_memory_bytes < 200 * MB
        finally:
            for task in tasks:
                task.cancel()
            await node.kill()
