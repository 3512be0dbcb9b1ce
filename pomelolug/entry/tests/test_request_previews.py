"""Previews of requests by entry processes, and where the requests then go."""

import datetime
import json

import msgspec
import pytest

from pomelolug.entry.dispatch import _endpoint
from pomelolug.entry.preview import RankingReport
from pomelolug.entry.preview import _endpoint as _preview_endpoint
from pomelolug.entry.tests.harness import (
    HOST,
    MODEL,
    Harness,
    encode_event,
    send_response,
    start_stream,
)
from pomelolug.entry.tests.test_assigned_streams import (
    HEADERS,
    REPLY_TIMEOUT_S,
    CountingServer,
    running_zone,
)
from pomelolug.messages import DispatchRequest

STREAM = {"path": "/stream/x", "model": MODEL, "prompt_tokens": 100}
PLAIN = {"path": "/safe/x"}


async def preview(node: Harness, **fields: object) -> dict:
    """Return the preview of a request at the peer address of a node."""
    query = {"host": HOST, "account": "account-a"} | fields
    connection = await node.connect(8003)
    head, body = await node.request(
        "/preview",
        method=b"POST",
        body=json.dumps(query).encode(),
        connection=connection,
    )
    assert head.status == 200, body
    return json.loads(body)


async def test_peer_address_of_a_dispatcher_of_another_zone_is_known():
    # Guards against previews that cannot ask dispatchers of which no status arrives.
    async with Harness() as node:
        await node.start()
        coordinator = node.entry._peer_coordinator
        assert coordinator.peer_address_of("127.0.0.9:8004") == "127.0.0.9:8003"


async def test_query_that_is_not_understood_is_refused():
    # Guards against a preview of another request than the one that was asked for.
    async with Harness() as node:
        await node.start()
        for body in (
            b"",
            b"[]",
            b'{"host": "h"}',
            b'{"host": "h", "path": "/", "x": 1}',
        ):
            for path in ("/preview", "/preview/dispatch"):
                head, text = await node.request(
                    path, method=b"POST", body=body, connection=await node.connect(8003)
                )
                assert (head.status, text[:10]) == (400, b"malformed:")


class RecordingServer:
    """Server that records which servers get requests of callers."""

    def __init__(self, vm: str, reached: list[str]) -> None:
        self.vm = vm
        self._reached = reached

    async def run(self, request) -> None:
        if request.target.startswith("/stream/"):
            self._reached.append(self.vm)
            start_stream(request)
            request.send_chunk(encode_event(0))
            request.send_chunk(b"")
        elif request.target.startswith("/safe/"):
            self._reached.append(self.vm)
            send_response(request)
        else:
            request.send("404 Not Found", {})


@pytest.mark.parametrize("query", [STREAM, PLAIN])
async def test_request_reaches_the_server_that_the_preview_names(query):
    # Guards against a preview that does not decide as requests do.
    async with Harness() as node:
        reached: list[str] = []
        service = "llm" if query is STREAM else "plain"
        for number in range(3):
            server = RecordingServer(f"vm-{number}", reached)
            await node.add_server(server.run, service=service, vm=server.vm)
        await node.start()
        for busy in ({"vm-0", "vm-1"}, {"vm-1", "vm-2"}, {"vm-0", "vm-2"}):
            tracker = node.entry._server_tracker
            for number in range(3):
                vm = f"vm-{number}"
                tracker.load(vm).in_flight = 6 if vm in busy else 0
            named = (await preview(node, **query))["choice"]["server"]
            assert named not in busy
            assert not reached
            headers = HEADERS if query is STREAM else {}
            head, _ = await node.request(query["path"], method=b"POST", **headers)
            assert head.status == 200
            assert reached == [named]
            reached.clear()


async def test_preview_asks_the_dispatcher_of_another_node(monkeypatch):
    # Guards against a preview by the loads of the asked node, one that counts as an
    # assignment, and one that fails if the dispatcher is silent.
    monkeypatch.setattr(_endpoint, "_REPLY_TIMEOUT_S", REPLY_TIMEOUT_S)
    monkeypatch.setattr(_preview_endpoint, "_TIMEOUT", _preview_endpoint._TIMEOUT * 8)
    servers = [CountingServer() for _ in range(2)]
    async with running_zone(servers) as nodes:
        endpoints = {n: n.entry._peer_coordinator.dispatch for n in nodes}
        dispatcher = next(n for n in nodes if endpoints[n].is_dispatcher)
        asked = next(n for n in nodes if not endpoints[n].may_assign)
        counts = dispatcher.entry._group_dispatcher
        heads = sorted(s.vm for s in dispatcher.entry._registry.servers.values())
        # A stream that only the dispatcher knows of.
        question = DispatchRequest(
            serial=1,
            sender="127.0.0.1:9",
            started_ms=1,
            service="llm",
            model=MODEL,
            prompt_tokens=100,
            target_s=0.3,
            excluded=(heads[1],),
        )
        endpoints[dispatcher].receive(question)
        assert counts.open_assignments == 1
        found = await preview(asked, **STREAM)
        assert found["choice"]["server"] == heads[1]
        assert found["choice"]["how"] == "assigned"
        assert found["choice"]["decided_by"] == endpoints[dispatcher].holder.address
        (entry,) = found["dispatchers"]
        ranking = msgspec.convert(entry["ranking"], RankingReport)
        assert ranking.node == f"n-{dispatcher.ip}"
        assert {g.server: g.in_flight for g in ranking.groups} == {
            heads[0]: 1,
            heads[1]: 0,
        }
        assert counts.open_assignments == 1
        # A dispatcher that does not answer in time.
        monkeypatch.setattr(_preview_endpoint, "_TIMEOUT", datetime.timedelta(0))
        found = await preview(asked, **STREAM)
        assert found["dispatchers"][0]["result"] == "no_reply"
        assert found["dispatchers"][0]["error"].endswith(":8003: timed out")
        assert found["choice"]["how"] == "no_reply"
        assert found["choice"]["server"] in heads
