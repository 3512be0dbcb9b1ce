"""Streams of replica groups through a complete entry process."""

import asyncio

import pytest

from pomelolug.entry.tests.harness import (
    MODEL,
    SEAL_HEADERS,
    Harness,
    encode_caller_request,
    encode_event,
    send_response,
    start_stream,
)
from pomelolug.transport import HttpConnectionError

HEADERS = {"Model": MODEL, "Token_Count": "100,50"}


async def send_stream(request, first: int = 0, last: int = 5) -> None:
    start_stream(request)
    for number in range(first, last):
        request.send_chunk(encode_event(number))
    request.send_chunk(b"")


def encode_events(last: int = 5) -> bytes:
    return b"".join(encode_event(n) for n in range(last))


async def test_events_are_forwarded_as_they_arrive():
    # Guards against events that are buffered until the stream ends.
    proceed = asyncio.Event()

    async def script(request):
        start_stream(request)
        request.send_chunk(encode_event(0))
        await proceed.wait()
        request.send_chunk(encode_event(1))
        request.send_chunk(b"")

    async with Harness() as h:
        await h.add_server(script, service="llm")
        await h.start()
        connection = await h.connect()
        connection.send(encode_caller_request("/stream/x", method=b"POST", **HEADERS))
        assert (await connection.read_head()).status == 200
        assert await connection.read_chunk() == encode_event(0)
        proceed.set()
        assert await connection.read_chunk() == encode_event(1)
        assert await connection.read_chunk() is None


@pytest.mark.parametrize("cut", ["reset", "mid_event", "no_end"])
async def test_interrupted_stream_resumes_at_another_group(cut):
    # Guards against missing, duplicate or truncated events after a group is lost.
    async def cut_stream(request):
        start_stream(request)
        request.send_chunk(encode_event(0))
        request.send_chunk(encode_event(1))
        if cut == "mid_event":
            request.send_chunk(encode_event(2)[:9])
        await request.writer.drain()
        await asyncio.sleep(0.05)
        if cut == "no_end":
            request.writer.close()
        else:
            request.reset()

    last_event_ids = []

    async def script(request):
        if not last_event_ids:
            last_event_ids.append("first")
            await cut_stream(request)
            return
        last_event_ids.append(request.headers.get("last-event-id"))
        await send_stream(request, first=2)

    async with Harness() as h:
        await h.add_server(script, service="llm")
        await h.add_server(script, service="llm")
        await h.start()
        head, body = await h.request("/stream/x", method=b"POST", **HEADERS)
        assert head.status == 200
        assert body == encode_events()
        assert last_event_ids == ["first", "1"]


@pytest.mark.parametrize(
    ("sent", "ending", "servers"),
    [
        (encode_events(), "closed", 1),
        (encode_events(2) + encode_event(2)[:9], "closed", 2),
        (encode_events(2) + encode_event(2)[:-1], "closed", 2),
        (encode_events(2), "reset", 2),
    ],
)
async def test_stream_without_length_or_chunks_ends_with_its_connection(
    sent, ending, servers
):
    # Guards against a stream that looks complete although it broke off inside an event,
    # and against a complete one that is run again.
    runs = []

    async def script(request):
        runs.append(request.headers.get("last-event-id"))
        if len(runs) > 1:
            await send_stream(request, first=2)
            return
        headers = {
            "Request-Id": request.request_id,
            "Content-Type": "text/event-stream",
        }
        request.send_head("200 OK", headers | SEAL_HEADERS)
        request.writer.write(sent)
        await request.writer.drain()
        await asyncio.sleep(0.05)
        if ending == "reset":
            request.reset()
        else:
            request.writer.close()

    async with Harness() as h:
        await h.add_server(script, service="llm")
        await h.add_server(script, service="llm")
        await h.start()
        head, body = await h.request("/stream/x", method=b"POST", **HEADERS)
        assert head.status == 200
        assert body == encode_events()
        assert runs == [None, "1"][:servers]


async def test_stream_moves_from_a_stalled_group_before_the_caller_gives_up():
    # Guards against streams that wait 5 s until the head reports a lost member,
    # since callers leave after 2 s.
    requests = []

    async def script(request):
        requests.append(request)
        if len(requests) == 1:
            start_stream(request)
            request.send_chunk(encode_event(0))
            await request.wait_closed()
        else:
            await send_stream(request, first=1)

    async with Harness() as h:
        await h.add_server(script, service="llm")
        await h.add_server(script, service="llm")
        await h.start()
        async with asyncio.timeout(1.5):
            head, body = await h.request("/stream/x", method=b"POST", **HEADERS)
        assert body == encode_events()


async def test_stream_that_cannot_be_resumed_ends_with_an_error():
    # Guards against a truncated stream that looks complete.
    async def script(request):
        start_stream(request)
        request.send_chunk(encode_event(0))
        await request.writer.drain()
        await asyncio.sleep(0.05)
        request.reset()

    async with Harness() as h:
        await h.add_server(script, service="llm")
        await h.start()
        connection = await h.connect()
        connection.send(encode_caller_request("/stream/x", method=b"POST", **HEADERS))
        await connection.read_head()
        assert await connection.read_chunk() == encode_event(0)
        with pytest.raises(HttpConnectionError):
            await connection.read_chunk()


async def test_disconnect_of_the_caller_cancels_the_stream_at_the_group():
    # Guards against batches that fill up with streams that nobody reads.
    closed = asyncio.Event()

    async def script(request):
        start_stream(request)
        request.send_chunk(encode_event(0))
        await request.wait_closed()
        closed.set()

    async with Harness() as h:
        await h.add_server(script, service="llm")
        await h.start()
        connection = await h.connect()
        connection.send(encode_caller_request("/stream/x", method=b"POST", **HEADERS))
        await connection.read_head()
        connection.close()
        async with asyncio.timeout(0.5):
            await closed.wait()


async def test_request_for_a_model_without_a_group_gets_a_retry_after_time():
    # Guards against a caller that waits in vain until its deadline.
    async with Harness() as h:
        await h.add_server(send_stream, service="llm")
        await h.start()
        async with asyncio.timeout(0.3):
            head, _ = await h.request("/stream/x", method=b"POST", Model="other")
        assert head.status == 503
        assert float(head.get(b"Retry-After")) > 0


async def test_streams_fill_all_groups_before_any_is_refused():
    # Guards against a refusal while another group has free slots.
    async def script(request):
        start_stream(request)
        request.send_chunk(encode_event(0))
        await asyncio.sleep(0.3)
        request.send_chunk(b"")

    async with Harness() as h:
        for _ in range(3):
            await h.add_server(script, service="llm")
        await h.start()
        calls = [
            h.request("/stream/x", method=b"POST", request_id=f"r{n}", **HEADERS)
            for n in range(12)
        ]
        statuses = [head.status for head, _ in await asyncio.gather(*calls)]
        assert statuses == [200] * 12
        assert all(len(server.requests) == 4 for server in h.servers)


async def test_closing_group_gets_no_new_streams():
    # Guards against requests to a group that is being torn down.
    async with Harness() as h:
        await h.add_server(send_stream, service="llm", vm="vm-a")
        await h.start()
        assert (await h.request("/stream/x", method=b"POST", **HEADERS))[
            0
        ].status == 200
        import msgspec

        record = {
            "service": "llm",
            "address": h.servers[0].address,
            "state": "ready",
            "domain": "d",
            "group": {"name": "g-vm-a", "epoch": 1, "rank": 0, "state": "closing"},
            "models": [{"name": MODEL}],
        }
        h.store.put("keyed.servers", "vm-a", msgspec.json.encode(record))
        await asyncio.sleep(0.6)
        assert (await h.request("/stream/x", method=b"POST", **HEADERS))[
            0
        ].status == 503


async def test_stale_connection_does_not_count_as_a_run():
    # Guards against streams that use up their attempts on connections that a
    # server has closed while they were idle.
    connections = []

    async def script(request):
        connections.append(request.connection_number)
        if len(connections) in (2, 3) and request.connection_number == connections[0]:
            request.reset()
            return
        await send_stream(request)

    async with Harness() as h:
        await h.add_server(script, service="llm")
        await h.start()
        for number in range(2):
            head, body = await h.request(
                "/stream/x", method=b"POST", request_id=f"r{number}", **HEADERS
            )
            assert (head.status, body) == (200, encode_events())
        assert connections == [1, 1, 2]


async def test_error_response_of_a_group_is_forwarded():
    # Guards against an error of the entry process in place of the group's response.
    async def script(request):
        send_response(request, status="400 Bad Request", body=b"theirs")

    async with Harness() as h:
        await h.add_server(script, service="llm")
        await h.start()
        head, body = await h.request("/stream/x", method=b"POST", **HEADERS)
        assert (head.status, body) == (400, b"theirs")


async def test_bytes_without_an_event_id_are_not_forwarded():
    # Guards against bytes of a server in trouble that reach the caller as events.
    requests = []

    async def script(request):
        requests.append(request)
        start_stream(request)
        if len(requests) == 1:
            request.send_chunk(encode_event(0))
            request.send_chunk(b"garbage: 1\n\n")
            await request.wait_closed()
            return
        for number in range(1, 5):
            request.send_chunk(encode_event(number))
        request.send_chunk(b"")

    async with Harness() as h:
        await h.add_server(script, service="llm")
        await h.add_server(script, service="llm")
        await h.start()
        head, body = await h.request("/stream/x", method=b"POST", **HEADERS)
        assert head.status == 200
        assert body == encode_events()
