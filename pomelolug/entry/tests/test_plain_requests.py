"""Requests to plain services through a whole entry process."""

import asyncio

import pytest

from pomelolug.entry.tests.harness import Harness, encode_caller_request, send_response
from pomelolug.transport import BrokenResponse


async def test_answer_goes_through_with_status_headers_and_body():
    # Guards against a changed seal, a lost header, or a key that is passed on.
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


async def test_request_that_may_run_once_is_not_sent_again_after_a_reset():
    # Guards against a booking that is confirmed twice.
    async def script(request):
        request.reset()

    async with Harness() as h:
        await h.add_server(script)
        await h.add_server(script)
        await h.start()
        head, _ = await h.request("/once/x", method=b"POST", body=b"b")
        assert head.status == 502
        assert sum(len(s.requests) for s in h.servers) == 1


async def test_refusal_of_a_server_lets_a_request_go_to_another():
    # Guards against a refusal that is passed on although another server is free.
    async def full(request):
        request.send("503 Service Unavailable", {"Not-Executed": "1"})

    async def sound(request):
        send_response(request)

    async with Harness() as h:
        await h.add_server(full)
        await h.add_server(sound)
        await h.start()
        for number in range(6):
            head, _ = await h.request(
                "/once/x", method=b"POST", request_id=f"r{number}"
            )
            assert head.status == 200


async def test_server_that_is_not_there_proves_that_nothing_ran():
    # Guards against a 502 where another server could have taken the request.
    async def sound(request):
        send_response(request)

    async with Harness() as h:
        await h.add_server(sound)
        await h.add_server(sound)
        await h.start()
        h.servers[0].stop()
        for number in range(4):
            head, _ = await h.request(
                "/once/x", method=b"POST", request_id=f"r{number}"
            )
            assert head.status == 200


async def test_idempotent_request_is_sent_again_after_a_reset():
    # Guards against a failure that a second server would have prevented.
    async def broken(request):
        request.reset()

    async def sound(request):
        send_response(request)

    async with Harness() as h:
        await h.add_server(broken)
        await h.add_server(sound)
        await h.start()
        for number in range(4):
            head, _ = await h.request("/safe/x", request_id=f"r{number}")
            assert head.status == 200


async def test_success_without_a_seal_is_not_passed_on():
    # Guards against bytes of another program that look like an answer.
    async def script(request):
        request.send("200 OK", {"Request-Id": request.request_id}, b"strange")

    async with Harness() as h:
        await h.add_server(script)
        await h.start()
        head, body = await h.request("/once/x", method=b"POST")
        assert head.status == 502
        assert b"strange" not in body


async def test_incomplete_body_does_not_look_complete():
    # Guards against a truncated answer with status 200.
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


async def test_body_without_a_length_that_is_reset_is_incomplete():
    # Guards against a reset that is taken for the end of the body.
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


async def test_late_answer_to_another_request_is_not_delivered():
    # Guards against an answer that reaches the wrong caller on a kept connection.
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


async def test_connection_with_bytes_that_nobody_asked_for_is_not_used_again():
    # Guards against extra bytes that are taken for the next answer.
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
        assert len({r.connection for r in h.servers[0].requests}) == 3


async def test_failure_of_a_server_keeps_its_status_and_seal():
    # Guards against a server's failure that is replaced by one of this system.
    async def script(request):
        send_response(request, status="500 Internal Server Error", body=b"theirs")

    async with Harness() as h:
        await h.add_server(script)
        await h.start()
        head, body = await h.request("/once/x", method=b"POST")
        assert (head.status, body) == (500, b"theirs")
        assert head.get(b"Response-Seal") == b"s.1"


async def test_caller_that_leaves_ends_the_work_at_the_server():
    # Guards against servers that work for callers who have left.
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


async def test_route_timeout_ends_a_request_that_still_waits():
    # Guards against a caller that is kept beyond the route's time-out, and
    # against a promise that the request did not run.
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
async def test_request_that_is_not_allowed_is_refused(path, key, status):
    # Guards against requests without a route or a known key.
    async def script(request):
        send_response(request)

    async with Harness() as h:
        await h.add_server(script)
        await h.start()
        head, _ = await h.request(path, key=key)
        assert head.status == status
        assert h.servers[0].requests == []


async def test_new_declaration_is_in_force_at_once_and_an_older_one_never():
    # Guards against a version that goes back when records arrive out of order.
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


async def test_declaration_that_cannot_be_read_changes_nothing():
    # Guards against a node that stops serving because of a broken record.
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


async def test_store_that_falls_silent_stops_nothing():
    # Guards against a gateway that depends on the store for each request.
    async def script(request):
        send_response(request)

    async with Harness() as h:
        await h.add_server(script)
        await h.start()
        h.store.down = True
        await asyncio.sleep(0.2)
        assert (await h.request("/safe/x"))[0].status == 200


async def test_history_that_was_dropped_is_read_anew():
    # Guards against a node that follows a dropped offset for ever.
    async def script(request):
        send_response(request)

    from pomelolug.entry.tests.harness import declaration, route

    async with Harness() as h:
        await h.add_server(script)
        await h.start()
        h.store.forget("keyed.op")
        routes = [route("new", "/new/", "safe", "plain")]
        h.publish_declaration(declaration(7, routes=routes))
        h.store.forget("keyed.op")
        await asyncio.sleep(3.0)
        assert (await h.request("/new/x"))[0].status == 200


async def test_header_flood_and_endless_body_are_refused():
    # Guards against memory that one caller can fill.
    async with Harness() as h:
        await h.add_server(lambda request: asyncio.sleep(0))
        await h.start()
        head, _ = await h.request("/safe/x", X_Large="x" * 5000)
        assert head.status == 431
        head, _ = await h.request("/once/x", method=b"POST", body=b"x" * 20000)
        assert head.status == 413


async def test_planned_stop_answers_what_was_read_and_refuses_readiness():
    # Guards against a rolling restart that cuts requests.
    async def script(request):
        await asyncio.sleep(0.5)
        send_response(request)

    async with Harness() as h:
        await h.add_server(script)
        await h.start()
        ready = await h.connect(8002)
        ready.send(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        assert (await ready.head()).status == 200
        running = asyncio.create_task(h.request("/once/x", method=b"POST"))
        await asyncio.sleep(0.1)
        h.entry._lifecycle.request_stop()
        await asyncio.sleep(0.05)
        ready = await h.connect(8002)
        ready.send(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        assert (await ready.head()).status == 503
        head, _ = await running
        assert head.status == 200
        head, _ = await h.request("/once/x", method=b"POST", request_id="r2")
        assert head.status == 200
        assert head.get(b"Connection") == b"close"


async def test_malformed_head_gets_400_and_disturbs_nobody():
    # Guards against a request that is smuggled behind a malformed one.
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
        assert (await connection.head()).status == 400
        with pytest.raises(BrokenResponse):
            await connection.head()
        assert h.servers[0].requests == []
