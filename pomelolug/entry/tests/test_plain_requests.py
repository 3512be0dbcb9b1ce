"""Requests to plain services through a complete entry process."""

import asyncio

import pytest

from pomelolug.entry.tests.harness import Harness, encode_caller_request, send_response
from pomelolug.transport import HttpConnectionError


async def test_response_is_forwarded_with_status_headers_and_body():
    # Guards against a changed seal, a lost header, or a forwarded API key.
    async def script(request):
        send_response(request, body=b"payload", X_Mark="1")

    async with Harness() as h:
        name = await h.add_server(script)
        await h.start()
        head, body = await h.request("/safe/x?q=1", X_Own="mine")
        assert (head.status, body) == (200, b"payload")
        assert head.get(b"Response-Seal") == b"s.1"
        (request,) = h.servers[0].requests
        assert request.target == "/safe/x?q=1"
        assert request.headers["expect-instance"] == name
        assert request.headers["tenant"] == "account-a"
        assert request.headers["x-own"] == "mine"
        assert "authorization" not in request.headers
        assert 0 < int(request.headers["deadline-ms"]) <= 2000


async def test_non_idempotent_request_is_not_retried_after_a_reset():
    # Guards against a request with side effects that runs twice.
    async def script(request):
        request.reset()

    async with Harness() as h:
        await h.add_server(script)
        await h.add_server(script)
        await h.start()
        head, _ = await h.request("/once/x", method=b"POST", body=b"b")
        assert head.status == 502
        assert sum(len(s.requests) for s in h.servers) == 1


async def test_request_refused_by_a_server_is_sent_to_another():
    # Guards against a refusal that reaches the caller while another server is free.
    async def full(request):
        request.send("503 Service Unavailable", {"Not-Executed": "1"})

    async def healthy(request):
        send_response(request)

    async with Harness() as h:
        await h.add_server(full)
        await h.add_server(healthy)
        await h.start()
        for number in range(6):
            head, _ = await h.request(
                "/once/x", method=b"POST", request_id=f"r{number}"
            )
            assert head.status == 200


async def test_request_is_sent_elsewhere_if_a_server_cannot_be_reached():
    # No connection means that nothing ran, so a retry is safe. Guards against a
    # 502 where another server could have taken the request.
    async def healthy(request):
        send_response(request)

    async with Harness() as h:
        await h.add_server(healthy)
        await h.add_server(healthy)
        await h.start()
        h.servers[0].stop()
        for number in range(4):
            head, _ = await h.request(
                "/once/x", method=b"POST", request_id=f"r{number}"
            )
            assert head.status == 200


async def test_idempotent_request_is_retried_after_a_reset():
    # Guards against an error that a retry on a second server would have prevented.
    async def broken(request):
        request.reset()

    async def healthy(request):
        send_response(request)

    async with Harness() as h:
        await h.add_server(broken)
        await h.add_server(healthy)
        await h.start()
        for number in range(4):
            head, _ = await h.request("/safe/x", request_id=f"r{number}")
            assert head.status == 200


async def test_success_without_a_seal_is_not_forwarded():
    # Guards against bytes from another program that look like a response.
    async def script(request):
        request.send("200 OK", {"Request-Id": request.request_id}, b"strange")

    async with Harness() as h:
        await h.add_server(script)
        await h.start()
        head, body = await h.request("/once/x", method=b"POST")
        assert head.status == 502
        assert b"strange" not in body


async def test_incomplete_body_is_an_error():
    # Guards against a truncated response with status 200.
    async def script(request):
        request.send_head(
            "200 OK",
            {
                "Request-Id": request.request_id,
                "Response-Seal": "s",
                "Content-Length": "100",
            },
        )
        request.writer.write(b"half")
        await request.writer.drain()
        request.reset()

    async with Harness() as h:
        await h.add_server(script)
        await h.start()
        head, _ = await h.request("/once/x", method=b"POST")
        assert head.status == 502


async def test_body_without_a_length_is_incomplete_after_a_reset():
    # Guards against a connection reset that is mistaken for the end of the body.
    async def script(request):
        request.send_head(
            "200 OK", {"Request-Id": request.request_id, "Response-Seal": "s"}
        )
        request.writer.write(b"half")
        await request.writer.drain()
        await asyncio.sleep(0.05)
        request.reset()

    async with Harness() as h:
        await h.add_server(script)
        await h.start()
        head, _ = await h.request("/once/x", method=b"POST")
        assert head.status == 502


async def test_late_response_to_another_request_is_skipped():
    # Guards against a response that reaches the wrong caller on a reused connection.
    async def script(request):
        foreign = {"Request-Id": "someone-else", "Response-Seal": "x"}
        request.send("200 OK", foreign, b"foreign")
        send_response(request, body=b"mine")

    async with Harness() as h:
        await h.add_server(script)
        await h.start()
        for number in range(3):
            head, body = await h.request("/safe/x", request_id=f"r{number}")
            assert (head.status, body) == (200, b"mine")


async def test_connection_with_unexpected_bytes_is_not_reused():
    # Guards against extra bytes that are mistaken for the next response.
    async def script(request):
        send_response(request, body=b"mine")
        request.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")

    async with Harness() as h:
        await h.add_server(script)
        await h.start()
        for number in range(3):
            _, body = await h.request("/safe/x", request_id=f"r{number}")
            assert body == b"mine"
            await asyncio.sleep(0.02)
        assert len({r.connection_number for r in h.servers[0].requests}) == 3


async def test_error_response_of_a_server_keeps_its_status_and_seal():
    # Guards against a server's error that the entry process replaces by its own.
    async def script(request):
        send_response(request, status="500 Internal Server Error", body=b"theirs")

    async with Harness() as h:
        await h.add_server(script)
        await h.start()
        head, body = await h.request("/once/x", method=b"POST")
        assert (head.status, body) == (500, b"theirs")
        assert head.get(b"Response-Seal") == b"s.1"


async def test_disconnect_of_the_caller_cancels_the_request_at_the_server():
    # Guards against servers that process requests of callers who have left.
    closed = asyncio.Event()

    async def script(request):
        await request.wait_closed()
        closed.set()

    async with Harness() as h:
        await h.add_server(script)
        await h.start()
        connection = await h.connect()
        connection.send(encode_caller_request("/safe/x"))
        await asyncio.sleep(0.1)
        connection.close()
        async with asyncio.timeout(0.5):
            await closed.wait()


async def test_request_without_a_response_ends_at_its_deadline():
    # Guards against a caller that waits beyond its deadline, and against an error
    # that states that the request did not run.
    async def script(request):
        await request.wait_closed()

    async with Harness() as h:
        await h.add_server(script)
        await h.start()
        async with asyncio.timeout(1.0):
            head, _ = await h.request("/once/x", method=b"POST", deadline_ms=300)
        assert head.status == 504


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [("/safe/x", None, 401), ("/safe/x", "wrong", 401), ("/none/x", "key-of-a", 404)],
)
async def test_request_without_a_route_or_a_known_key_is_refused(path, key, status):
    # Guards against such requests reaching a server.
    async def script(request):
        send_response(request)

    async with Harness() as h:
        await h.add_server(script)
        await h.start()
        head, _ = await h.request(path, key=key)
        assert head.status == status
        assert h.servers[0].requests == []


async def test_newer_declaration_applies_at_once_and_an_older_one_never():
    # Guards against a return to an older version when records arrive out of order.
    async def script(request):
        send_response(request)

    from pomelolug.entry.tests.harness import declaration, route

    async with Harness() as h:
        await h.add_server(script)
        await h.start()
        routes = [route("new", "/new/", "safe", "plain")]
        h.publish_declaration(declaration(5, routes=routes))
        await asyncio.sleep(0.3)
        assert (await h.request("/new/x"))[0].status == 200
        assert (await h.request("/safe/x"))[0].status == 404
        h.publish_declaration(declaration(4))
        await asyncio.sleep(0.3)
        assert (await h.request("/new/x"))[0].status == 200


async def test_unreadable_records_are_ignored():
    # Guards against a node that stops serving because of an invalid record.
    async def script(request):
        send_response(request)

    async with Harness() as h:
        await h.add_server(script)
        await h.start()
        h.store.put("keyed.op", "config", b"\xff not json")
        h.store.put("keyed.op", "other", b"{}")
        h.store.put("keyed.servers", "foreign", b"[1, 2")
        h.store.put("keyed.servers", "foreign2", b'{"service": 5}')
        await asyncio.sleep(0.3)
        assert (await h.request("/safe/x"))[0].status == 200


async def test_requests_are_served_while_the_store_is_down():
    # Guards against a node that needs the store for each request.
    async def script(request):
        send_response(request)

    async with Harness() as h:
        await h.add_server(script)
        await h.start()
        h.store.is_unresponsive = True
        await asyncio.sleep(0.2)
        assert (await h.request("/safe/x"))[0].status == 200


async def test_topic_is_read_again_after_its_history_was_dropped():
    # Guards against a node that waits for a dropped offset forever.
    async def script(request):
        send_response(request)

    from pomelolug.entry.tests.harness import declaration, route

    async with Harness() as h:
        await h.add_server(script)
        await h.start()
        h.store.compact("keyed.op")
        routes = [route("new", "/new/", "safe", "plain")]
        h.publish_declaration(declaration(7, routes=routes))
        h.store.compact("keyed.op")
        await asyncio.sleep(3.0)
        assert (await h.request("/new/x"))[0].status == 200


async def test_oversized_headers_and_bodies_are_refused():
    # Guards against a single caller that exhausts the memory.
    async with Harness() as h:
        await h.add_server(lambda request: asyncio.sleep(0))
        await h.start()
        head, _ = await h.request("/safe/x", X_Large="x" * 5000)
        assert head.status == 431
        head, _ = await h.request("/once/x", method=b"POST", body=b"x" * 20000)
        assert head.status == 413


async def test_planned_stop_completes_requests_and_reports_not_ready():
    # Guards against requests that are aborted by a rolling restart.
    async def script(request):
        await asyncio.sleep(0.5)
        send_response(request)

    async with Harness() as h:
        await h.add_server(script)
        await h.start()
        ready = await h.connect(8002)
        ready.send(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        assert (await ready.read_head()).status == 200
        running = asyncio.create_task(h.request("/once/x", method=b"POST"))
        await asyncio.sleep(0.1)
        h.entry._lifecycle.request_stop()
        await asyncio.sleep(0.05)
        ready = await h.connect(8002)
        ready.send(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        assert (await ready.read_head()).status == 503
        head, _ = await running
        assert head.status == 200
        head, _ = await h.request("/once/x", method=b"POST", request_id="r2")
        assert head.status == 200
        assert head.get(b"Connection") == b"close"


async def test_malformed_head_gets_400_and_reaches_no_server():
    # Guards against request smuggling behind a malformed request.
    async def script(request):
        send_response(request)

    async with Harness() as h:
        await h.add_server(script)
        await h.start()
        connection = await h.connect()
        connection.send(
            b"POST /safe/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 5\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /safe/y HTTP/1.1\r\n\r\n"
        )
        assert (await connection.read_head()).status == 400
        with pytest.raises(HttpConnectionError):
            await connection.read_head()
        assert h.servers[0].requests == []


async def test_requests_of_one_moment_are_spread_over_the_servers():
    # Guards against requests that all go to one server, since none of them is counted
    # there before the others have chosen.
    server_count, rounds = 3, 6

    async def slow(request):
        await asyncio.sleep(0.05)
        send_response(request)

    async with Harness() as h:
        for _ in range(server_count):
            await h.add_server(slow)
        await h.start()
        connections = [await h.connect() for _ in range(2 * server_count)]
        for number in range(rounds):
            sent = [len(s.requests) for s in h.servers]
            for index, connection in enumerate(connections):
                request_id = f"r{number}-{index}"
                connection.send(encode_caller_request("/safe/x", request_id=request_id))
            for connection in connections:
                assert (await connection.read_head()).status == 200
                await connection.read_body(1 << 20)
            counts = [
                len(server.requests) - before
                for server, before in zip(h.servers, sent, strict=True)
            ]
            assert counts == [2] * server_count
        assert all(
            load.in_flight == 0 for load in h.entry._server_tracker._loads.values()
        )
