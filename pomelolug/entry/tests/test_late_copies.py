"""A second copy of a response that arrives late, on a connection in use again."""

import asyncio

import pytest

from pomelolug.deployment import OrderResult
from pomelolug.entry.tests.backend import make_backend_server, make_server_control
from pomelolug.entry.tests.harness import (
    MODEL,
    Harness,
    send_response,
    start_stream,
)
from pomelolug.testing import ScriptedServer


class CopyingServer:
    """Server that sends the previous response of a connection before the next one.

    Without `has_id`, its responses are errors that name no request.
    """

    def __init__(self, kind: str, *, has_id: bool) -> None:
        self.kind = kind
        self.has_id = has_id
        self.copies = 0
        self._previous: dict[int, object] = {}

    async def run(self, request) -> None:
        if request.target.startswith("/-/"):
            request.send("404 Not Found", {})
            return
        previous = self._previous.get(request.connection_number)
        if previous is not None:
            self.copies += 1
            previous.writer = request.writer
            self._respond(previous, is_copy=True)
        self._previous[request.connection_number] = request
        self._respond(request, is_copy=False)

    def _respond(self, request, *, is_copy: bool) -> None:
        if not self.has_id and is_copy:
            request.send("500 Internal Server Error", {"Response-Seal": "s.0"}, b"old")
        elif self.kind == "stream":
            start_stream(request)
            name = request.request_id.encode()
            request.send_chunk(b"id: 0\ndata: " + name + b"\n\n")
            request.send_chunk(b"")
        else:
            send_response(request, body=request.request_id.encode())


@pytest.mark.parametrize("has_id", [True, False], ids=["id", "error without id"])
@pytest.mark.parametrize("kind", ["safe", "once"])
async def test_caller_never_gets_the_copy_of_another_response(kind, has_id):
    # Guards against a caller that gets the response, or the failure, of the request
    # that the connection carried before.
    server = CopyingServer(kind, has_id=has_id)
    async with Harness() as h:
        await h.add_server(server.run)
        await h.start()
        for number in range(8):
            head, body = await h.request(
                f"/{kind}/x",
                method=b"GET" if kind == "safe" else b"POST",
                request_id=f"r{number}",
            )
            assert (head.status, body) == (200, f"r{number}".encode())


@pytest.mark.parametrize("has_id", [True, False], ids=["id", "error without id"])
async def test_stream_never_gets_the_copy_of_another_response(has_id):
    # Guards against the same for streams, whose connections are reused as well.
    server = CopyingServer("stream", has_id=has_id)
    async with Harness() as h:
        await h.add_server(server.run, service="llm")
        await h.start()
        for number in range(8):
            head, body = await h.request(
                "/stream/x",
                method=b"POST",
                request_id=f"r{number}",
                Model=MODEL,
                Token_Count="100,50",
            )
            assert head.status == 200
            assert body == b"id: 0\ndata: r%d\n\n" % number
        assert server.copies


async def test_copy_of_an_earlier_response_is_not_taken_for_that_to_an_order():
    # Guards against a controller that believes in an order which the server refused.
    statuses = iter(["202 Accepted", "409 Conflict", "409 Conflict"])
    copies: dict[int, str] = {}

    async def script(request):
        earlier = copies.get(request.connection_number)
        copies[request.connection_number] = next(statuses)
        for status in (earlier, copies[request.connection_number]):
            if status is not None:
                request.send(status, {})
                await request.writer.drain()
                await asyncio.sleep(0.02)

    server = ScriptedServer(script)
    await server.start()
    control = make_server_control()
    backend = make_backend_server(server.address)
    results = [
        await control.stage(backend, model=MODEL, fence=1, orders_begun=0)
        for _ in range(3)
    ]
    server.stop()
    conflict = OrderResult.CONFLICT
    assert results == [OrderResult.BEGUN, conflict, conflict]
