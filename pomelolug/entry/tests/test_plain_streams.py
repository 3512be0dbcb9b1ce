"""Streaming routes that lead to a service without an inference engine."""

import asyncio

import pytest

from pomelolug.entry.requests import RequestHandler
from pomelolug.entry.tests.cut_off_nodes import run_nodes, send
from pomelolug.entry.tests.harness import (
    MODEL,
    Harness,
    declaration,
    encode_caller_request,
    encode_event,
    route,
    send_response,
    start_stream,
)
from pomelolug.entry.tests.server_links import LinkCut
from pomelolug.transport import HttpConnectionError

HEADERS = {"Model": MODEL, "Token_Count": "100,50"}
EVENT_COUNT = 6
DETECTION_S = 1.5
"""Time in which a node finds out that it reaches no server."""
LEARNED_S = 0.6
"""Time in which a node reads a new declaration."""


def make_declaration(version: int = 2, *, shares=None, **overrides):
    """Return a declaration whose streaming route leads to the plain service."""
    streaming = route(
        "stream",
        "/stream/",
        "streaming",
        "plain",
        resumable=True,
        sticky=True,
        gap_target_ms=200,
    )
    if shares is not None:
        del streaming["service"]
        streaming["split"] = shares
    value = declaration(version)
    value["routes"][2] = streaming | overrides
    return value


def encode_events(first: int = 0, last: int = EVENT_COUNT) -> bytes:
    return b"".join(map(encode_event, range(first, last)))


class StreamServers:
    """Script of servers that send the events after the last one of the caller.

    The first run of a request ends after `cut_after` events in the way of `cut`.
    """

    def __init__(
        self, *, cut: str = "", cut_after: int = 2, interval_s: float = 0.0
    ) -> None:
        self._cut = cut
        self._cut_after = cut_after
        self._interval_s = interval_s
        self.last_event_ids: list[str | None] = []

    async def run(self, request) -> None:
        if not request.target.startswith("/stream/"):
            request.send("404 Not Found", {})
            return
        last_event_id = request.headers.get("last-event-id")
        self.last_event_ids.append(last_event_id)
        is_cut = bool(self._cut) and len(self.last_event_ids) == 1
        first = int(last_event_id or "-1") + 1
        start_stream(request)
        for number in range(first, EVENT_COUNT):
            if is_cut and number == self._cut_after:
                await self._break_off(request, number)
                return
            request.send_chunk(encode_event(number))
            await request.writer.drain()
            await asyncio.sleep(self._interval_s)
        request.send_chunk(b"")

    async def _break_off(self, request, number: int) -> None:
        if self._cut == "mid_event":
            request.send_chunk(encode_event(number)[:9])
        await request.writer.drain()
        await asyncio.sleep(0.05)
        if self._cut == "silent":
            await request.wait_closed()
        elif self._cut == "closed":
            request.writer.close()
        else:
            request.reset()


async def stream(h: Harness, request_id: str = "r1", **headers: str):
    return await h.request(
        "/stream/x", method=b"POST", request_id=request_id, **HEADERS, **headers
    )


async def test_stream_that_a_caller_resumes_goes_on_after_its_last_event():
    # Guards against events that a caller gets twice, since the server does not learn
    # which one was the last.
    servers = StreamServers()
    async with Harness() as h:
        h.publish_declaration(make_declaration())
        await h.add_server(servers.run)
        await h.start()
        head, body = await stream(h, Last_Event_Id="3")
        assert head.status == 200
        assert body == encode_events(first=4)
        assert servers.last_event_ids == ["3"]


async def test_resumed_streams_go_on_at_each_service_of_a_split_route():
    # Guards against a split route on which only some services resume streams.
    plain, groups = StreamServers(), StreamServers()
    async with Harness() as h:
        shares = [
            {"service": "llm", "weight": 50},
            {"service": "plain", "weight": 50},
        ]
        h.publish_declaration(make_declaration(shares=shares))
        await h.add_server(plain.run)
        await h.add_server(groups.run, service="llm")
        await h.start()
        for number in range(30):
            _, body = await stream(h, f"r{number}", Last_Event_Id="3")
            assert body == encode_events(first=4)
        assert set(plain.last_event_ids) == set(groups.last_event_ids) == {"3"}


async def test_events_of_a_plain_service_are_forwarded_as_they_arrive():
    # Guards against a stream that is held back until its last event.
    proceed = asyncio.Event()

    async def script(request) -> None:
        start_stream(request)
        request.send_chunk(encode_event(0))
        await proceed.wait()
        request.send_chunk(encode_event(1))
        request.send_chunk(b"")

    async with Harness() as h:
        h.publish_declaration(make_declaration())
        await h.add_server(script)
        await h.start()
        connection = await h.connect()
        connection.send(encode_caller_request("/stream/x", method=b"POST", **HEADERS))
        async with asyncio.timeout(1.0):
            assert (await connection.read_head()).status == 200
            assert await connection.read_chunk() == encode_event(0)
        proceed.set()
        assert await connection.read_chunk() == encode_event(1)
        assert await connection.read_chunk() is None


@pytest.mark.parametrize("cut", ["reset", "mid_event", "closed", "silent"])
async def test_stream_that_breaks_off_goes_on_at_another_plain_server(cut):
    # Guards against events that are missing, repeated or cut when a server is lost.
    servers = StreamServers(cut=cut)
    async with Harness() as h:
        h.publish_declaration(make_declaration())
        for _ in range(2):
            await h.add_server(servers.run)
        await h.start()
        head, body = await stream(h)
        assert head.status == 200
        assert body == encode_events()
        assert servers.last_event_ids == [None, "1"]


async def test_stream_that_may_not_be_resumed_runs_once():
    # Guards against a second run on a route whose streams run at most once, and against
    # a broken stream that looks complete.
    servers = StreamServers(cut="reset")
    async with Harness() as h:
        h.publish_declaration(make_declaration(resumable=False))
        for _ in range(2):
            await h.add_server(servers.run)
        await h.start()
        with pytest.raises(HttpConnectionError):
            await stream(h)
        assert servers.last_event_ids == [None]


@pytest.mark.parametrize("cut", [LinkCut.RESET, LinkCut.ACCEPTED])
async def test_resumed_stream_that_is_passed_on_goes_on_after_its_last_event(cut):
    # Guards against the same for a node that reaches no server, and passes the request
    # on to another node.
    async with run_nodes("z1", "z1", event_count=EVENT_COUNT) as deployment:
        deployment.nodes[0].publish_declaration(make_declaration())
        await asyncio.sleep(LEARNED_S)
        deployment.cut(cut, 0)
        await asyncio.sleep(DETECTION_S)
        for number in range(10):
            answer = await send(
                deployment.nodes[0], "stream", f"r{number}", Last_Event_Id="3"
            )
            assert answer.status == 200
            assert answer.body == encode_events(first=4)


async def test_node_of_an_earlier_version_repeats_no_events(monkeypatch):
    # Guards against events that come twice while nodes are replaced, since the earlier
    # version drops the last event id of a stream that is passed on to it.
    handle = RequestHandler.handle_forwarded
    dropped = []

    async def drop_and_handle(self, exchange) -> None:
        headers = [(k, v) for k, v in exchange.headers if k != b"Last-Event-Id"]
        dropped.append(len(exchange.headers) - len(headers))
        exchange._headers = tuple(headers)
        await handle(self, exchange)

    monkeypatch.setattr(RequestHandler, "handle_forwarded", drop_and_handle)
    async with run_nodes("z1", "z1", event_count=EVENT_COUNT) as deployment:
        deployment.nodes[0].publish_declaration(make_declaration())
        await asyncio.sleep(LEARNED_S)
        deployment.cut(LinkCut.RESET, 0)
        await asyncio.sleep(DETECTION_S)
        for number in range(10):
            answer = await send(
                deployment.nodes[0], "stream", f"r{number}", Last_Event_Id="3"
            )
            assert answer.status == 200
            assert answer.body == encode_events(first=4)
    assert 1 in dropped


async def test_servers_are_not_suspected_as_groups_after_a_silent_stream():
    # Guards against plain servers that get no requests, or are named to other nodes as
    # groups that stand still, since one stream was silent.
    servers = StreamServers(cut="silent")

    async def script(request) -> None:
        if request.target.startswith("/stream/"):
            await servers.run(request)
        else:
            send_response(request)

    async with Harness() as h:
        h.publish_declaration(make_declaration())
        for _ in range(2):
            await h.add_server(script)
        await h.start()
        assert (await stream(h))[1] == encode_events()
        assert h.entry is not None
        assert h.entry._server_tracker.suspects() == ()
        for number in range(10):
            head, _ = await h.request("/safe/x", request_id=f"s{number}")
            assert head.status == 200


async def test_last_event_id_of_a_plain_request_is_forwarded():
    # Guards against a field of the caller that is lost on routes that do not stream.
    seen = []

    async def script(request) -> None:
        seen.append(request.headers.get("last-event-id"))
        send_response(request)

    async with Harness() as h:
        await h.add_server(script)
        await h.start()
        await h.request("/safe/x", Last_Event_Id="7")
        assert seen == ["7"]


async def test_stream_without_a_server_of_the_service_is_refused_at_once():
    # Guards against a caller that waits in vain, or gets no error of a known form.
    async with Harness() as h:
        h.publish_declaration(make_declaration())
        await h.start()
        async with asyncio.timeout(0.5):
            head, _ = await stream(h)
        assert head.status == 503
