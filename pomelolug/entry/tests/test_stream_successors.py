"""Answers of a server that is to go on with a stream which has broken off."""

import asyncio

import pytest

from pomelolug.entry.tests.harness import (
    MODEL,
    SEAL_HEADERS,
    CallerOfNode,
    Harness,
    declaration,
    encode_caller_request,
    encode_event,
    send_response,
    start_stream,
)
from pomelolug.entry.tests.server_links import LinkCut, ServerLinks

HEADERS = {"Model": MODEL, "Token_Count": "100,50"}
BROKEN_AFTER = 4
TEXT = b"the engine has failed\n\n"
DETECTION_S = 3.0
SERVICES = {"group": "llm", "plain": "plain"}


def answer_with(status: str, framing: str, *, seal: bool = True, **headers: str):
    """Return a script that sends an error text in a framing."""

    def script(request) -> None:
        fields = {"Request-Id": request.request_id} | headers
        fields |= SEAL_HEADERS if seal else {}
        if framing == "length":
            request.send(status, fields, TEXT)
        elif framing == "chunked":
            request.send_head(status, fields | {"Transfer-Encoding": "chunked"})
            request.send_chunk(TEXT)
            request.send_chunk(b"")
        elif framing == "close":
            request.send_head(status, fields)
            request.writer.write(TEXT)
            request.writer.close()
        elif framing == "cut":
            request.send_head(status, fields | {"Content-Length": "1000"})
            request.writer.write(TEXT)
            request.writer.close()
        elif framing == "none":
            request.send_head(status, fields)
        else:
            request.send(status, fields)

    return script


def end_without_head(request) -> None:
    request.writer.close()


def send_half_a_head(request) -> None:
    request.writer.write(b"HTTP/1.1 500 Internal")
    request.writer.close()


def send_bytes(request) -> None:
    request.writer.write(TEXT)
    request.writer.close()


ANSWERS = {
    "503_length": answer_with("503 Service Unavailable", "length"),
    "503_not_run": answer_with("503 Full", "length", **{"Not-Executed": "1"}),
    "500_length": answer_with("500 Internal Server Error", "length"),
    "500_chunked": answer_with("500 Internal Server Error", "chunked"),
    "500_close": answer_with("500 Internal Server Error", "close"),
    "500_cut": answer_with("500 Internal Server Error", "cut"),
    "500_without_seal": answer_with("500 Error", "length", seal=False),
    "404": answer_with("404 Not Found", "length"),
    "421": answer_with("421 Misdirected Request", "length"),
    "200_text": answer_with("200 OK", "length"),
    "200_text_chunked": answer_with("200 OK", "chunked"),
    "200_text_close": answer_with("200 OK", "close"),
    "200_empty": answer_with("200 OK", "empty"),
    "202_empty": answer_with(
        "202 Accepted", "empty", **{"Content-Type": "text/event-stream"}
    ),
    "204": answer_with("204 No Content", "none"),
    "205": answer_with("205 Reset Content", "empty"),
    "no_head": end_without_head,
    "half_a_head": send_half_a_head,
    "no_response": send_bytes,
}


class Servers:
    """Servers of which the first one breaks a stream off, and the others answer."""

    def __init__(self, answer) -> None:
        self._answer = answer
        self.last_event_ids: list[str | None] = []

    async def run(self, request) -> None:
        if request.target.startswith("/safe/"):
            send_response(request)
            return
        if not request.target.startswith("/stream/"):
            request.send("404 Not Found", {})
            return
        self.last_event_ids.append(request.headers.get("last-event-id"))
        if len(self.last_event_ids) > 1:
            self._answer(request)
            return
        start_stream(request)
        for number in range(BROKEN_AFTER):
            request.send_chunk(encode_event(number))
        await request.writer.drain()
        await asyncio.sleep(0.05)
        request.reset()


def make_declaration(kind: str):
    value = declaration(2)
    value["routes"][2] |= {"service": SERVICES[kind], "max_attempts": 3}
    return value


async def add_servers(h: Harness, servers: Servers, count: int = 3) -> None:
    """Add servers of both services, to which a node notices that it lost its links."""
    for service in SERVICES.values():
        for _ in range(count):
            await h.add_server(servers.run, service=service)


async def receive(node: CallerOfNode) -> bytes:
    """Send a stream and return all bytes of the response, head included."""
    reader, writer = await asyncio.open_connection(node.ip, 8001)
    writer.write(encode_caller_request("/stream/x", method=b"POST", **HEADERS))
    received = b""
    try:
        async with asyncio.timeout(3.0):
            while data := await reader.read(1 << 16):
                received += data
    except ConnectionError:
        pass
    finally:
        writer.close()
    return received


def assert_broken_off(received: bytes) -> None:
    """Check that a response has the first events and neither more nor an end."""
    head, _, body = received.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200")
    assert b"chunked" in head.lower()
    events = b""
    while body:
        size, _, rest = body.partition(b"\r\n")
        length = int(size, 16)
        # A chunk without data ends the response as a whole one.
        assert length
        events += rest[:length]
        body = rest[length + 2 :]
    assert events == b"".join(map(encode_event, range(BROKEN_AFTER)))


@pytest.mark.parametrize("kind", SERVICES)
@pytest.mark.parametrize("answer", ANSWERS.values(), ids=ANSWERS)
async def test_answer_that_is_no_stream_does_not_go_on_with_one(answer, kind):
    # Guards against the text or the head of an error amid a stream, and against a
    # stream that ends as if it were complete.
    servers = Servers(answer)
    async with Harness() as h:
        h.publish_declaration(make_declaration(kind))
        await add_servers(h, servers)
        await h.start()
        assert_broken_off(await receive(h))
        assert servers.last_event_ids[:2] == [None, str(BROKEN_AFTER - 1)]


@pytest.mark.parametrize("kind", SERVICES)
@pytest.mark.parametrize("answer", ANSWERS.values(), ids=ANSWERS)
async def test_such_an_answer_is_not_passed_on_by_another_node(answer, kind):
    # Guards against the same for a stream that a node without links has passed on.
    servers = Servers(answer)
    async with Harness() as h, Harness(joins=h) as other:
        h.publish_declaration(make_declaration(kind))
        await add_servers(h, servers)
        await h.start()
        links = ServerLinks(other, h)
        try:
            await links.start_node(zone="z1", seeds=(f"{h.ip}:8003",))
            await asyncio.sleep(0.5)
            links.cut(LinkCut.RESET)
            assert other.entry is not None
            async with asyncio.timeout(DETECTION_S):
                while not other.entry._server_contact.is_cut_off:
                    await other.request("/safe/x", request_id="before")
                    await asyncio.sleep(0.02)
            assert_broken_off(await receive(other))
        finally:
            links.restore()


@pytest.mark.parametrize("kind", SERVICES)
async def test_stream_that_broke_off_after_its_last_event_is_complete(kind):
    # Guards against a whole stream that looks broken, since its second server has no
    # event left to send.
    def end(request) -> None:
        start_stream(request)
        request.send_chunk(b"")

    servers = Servers(end)
    async with Harness() as h:
        h.publish_declaration(make_declaration(kind))
        await add_servers(h, servers)
        await h.start()
        head, body = await h.request("/stream/x", method=b"POST", **HEADERS)
        assert head.status == 200
        assert body == b"".join(map(encode_event, range(BROKEN_AFTER)))
