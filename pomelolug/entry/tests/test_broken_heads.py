"""Servers that close the connection, or reset it, in the middle of a response head."""

import pytest

from pomelolug.entry.tests.harness import (
    Harness,
    encode_event,
    send_response,
    start_stream,
)
from pomelolug.entry.tests.stating_server import KINDS, send

EVENT = encode_event(0)
CUTS = {
    "version": b"HTTP/1",
    "status": b"HTTP/1.1 20",
    "status_line": b"HTTP/1.1 200 OK\r\n",
    "field_name": b"\r\nResponse-",
    "field_value": b"\r\nResponse-Seal: s",
    "length_name": b"\r\nContent-Len",
    "length_value": b"\r\nContent-Length: ",
    "field_end": b"\r\nContent-Length: 5\r",
    "last_field": b"\r\nContent-Length: 5\r\n",
    "blank_line": b"\r\nContent-Length: 5\r\n\r",
}
"""Last bytes of a head that a server sends."""


def encode_head(kind: str, request_id: str) -> bytes:
    """Return a response head whose last field tells the length of the body."""
    kind_field = b"Content-Type: text/event-stream\r\n" if kind == "stream" else b""
    return (
        b"HTTP/1.1 200 OK\r\nRequest-Id: %b\r\n" % request_id.encode()
        + kind_field
        + b"Response-Seal: s.1\r\nContent-Length: 5\r\n\r\n"
    )


class BreakingServer:
    """Server that ends each response within its head, and counts the runs."""

    def __init__(self, kind: str, *, cut: str, ends: str) -> None:
        self._kind = kind
        self._last_bytes = CUTS[cut]
        self._ends = ends
        self.runs: list[str] = []

    async def run(self, request) -> None:
        if not request.target.startswith(f"/{self._kind}/"):
            request.send("404 Not Found", {})
            return
        self.runs.append(request.request_id)
        head = encode_head(self._kind, request.request_id)
        sent = head[: head.index(self._last_bytes) + len(self._last_bytes)]
        assert b"\r\n\r\n" not in sent
        request.writer.write(sent)
        await request.writer.drain()
        if self._ends == "reset":
            request.reset()
        else:
            request.writer.close()


async def serve(request) -> None:
    """Answer as a sound server does."""
    if request.target.startswith("/stream/"):
        start_stream(request)
        request.send_chunk(EVENT)
        request.send_chunk(b"")
    elif request.target.startswith("/-/"):
        request.send("404 Not Found", {})
    else:
        send_response(request)


@pytest.mark.parametrize("ends", ["closed", "reset"])
@pytest.mark.parametrize("cut", CUTS)
@pytest.mark.parametrize("kind", KINDS)
async def test_head_that_breaks_off_is_not_passed_on_as_a_response(kind, cut, ends):
    # Guards against an empty or short body that looks whole to the caller, and against
    # a request that may run only once and is sent again.
    server = BreakingServer(kind, cut=cut, ends=ends)
    service = "llm" if kind == "stream" else "plain"
    async with Harness() as h:
        for _ in range(2):
            await h.add_server(server.run, service=service)
        await h.start()
        answer = await send(h, kind, "r1")
        assert answer.status == 502
        assert b'"outcome":"outcome_unknown"' in answer.body
        assert server.runs
        if kind == "once":
            assert server.runs == ["r1"]


@pytest.mark.parametrize("ends", ["closed", "reset"])
@pytest.mark.parametrize("cut", CUTS)
@pytest.mark.parametrize("kind", ["stream", "safe"])
async def test_request_is_repeated_elsewhere_after_a_broken_head(kind, cut, ends):
    # Guards against a body of another server behind a head that broke off.
    server = BreakingServer(kind, cut=cut, ends=ends)
    service = "llm" if kind == "stream" else "plain"
    async with Harness() as h:
        await h.add_server(server.run, service=service)
        await h.add_server(serve, service=service)
        await h.start()
        whole = EVENT if kind == "stream" else b"whole"
        for number in range(4):
            answer = await send(h, kind, f"r{number}")
            assert (answer.status, answer.body) == (200, whole)
