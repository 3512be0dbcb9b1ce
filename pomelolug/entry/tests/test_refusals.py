"""Refusals of requests that may run only once: true on every path."""

import asyncio
import contextlib

import msgspec
import pytest

from pomelolug.entry.tests.harness import (
    MODEL,
    Harness,
    declaration,
    encode_caller_request,
    route,
    send_response,
    start_stream,
)
from pomelolug.transport import HttpConnectionError

PROMISES = (408, 421, 429, 503)
"""Statuses with which callers are told that a request has not run and never will."""
PATHS = {"plain": "/once/x", "llm": "/stream/x"}
HEADERS = {"Model": MODEL, "Token_Count": "100,50"}
TIMEOUT_MS = 700
LATER_S = 0.4
"""Time in seconds after a refusal in which nothing may arrive at a server."""


class Servers:
    """Servers of which each request meets the next one of the given behaviours."""

    def __init__(self, *behaviours: str) -> None:
        self._behaviours = list(behaviours)
        self.accepted: list[str] = []
        self.refused_count = 0

    async def run(self, request) -> None:
        if request.target.startswith("/-/"):
            request.send("404 Not Found", {})
            return
        number = len(self.accepted) + self.refused_count
        behaviour = self._behaviours[min(number, len(self._behaviours) - 1)]
        name, _, status = behaviour.partition(" ")
        if name == "refuse":
            self.refused_count += 1
            request.send(
                f"{status or 503} No", {"Not-Executed": "1", "Request-Id": "r1"}
            )
            return
        self.accepted.append(request.request_id)
        await getattr(self, f"_{name}")(request, status)

    async def _status(self, request, status) -> None:
        send_response(request, f"{status} Whatever", b"")

    async def _reset(self, request, status) -> None:
        request.reset()
        raise ConnectionError

    async def _close(self, request, status) -> None:
        request.writer.close()

    async def _silent(self, request, status) -> None:
        await request.wait_closed()

    async def _part(self, request, status) -> None:
        request.writer.write(b"HTTP/1.1 503 Service Un")
        await request.writer.drain()
        request.writer.close()

    async def _cut(self, request, status) -> None:
        request.send_head("503 Service Unavailable", {"Content-Length": "9"})
        request.writer.write(b"half")
        await request.writer.drain()
        request.writer.close()

    async def _answer(self, request, status) -> None:
        if request.target.startswith("/once/"):
            send_response(request)
            return
        start_stream(request)
        request.send_chunk(b"")


def once_declaration():
    """Return a declaration whose requests may all run only once."""
    routes = [
        route("once", "/once/", "unsafe", "plain", timeout_ms=TIMEOUT_MS),
        route(
            "stream",
            "/stream/",
            "streaming",
            "llm",
            resumable=False,
            gap_target_ms=200,
            timeout_ms=TIMEOUT_MS,
        ),
    ]
    return declaration(2, routes=routes)


@contextlib.asynccontextmanager
async def run_node(servers: Servers, service: str, **options):
    async with Harness() as h:
        for _ in range(2):
            await h.add_server(servers.run, service=service)
        h.publish_declaration(once_declaration())
        await h.start(**options)
        async with asyncio.timeout(3.0):
            while h.entry._declarations.version != 2:  # noqa: ASYNC110
                await asyncio.sleep(0.02)
        yield h


async def send(h: Harness, service: str, *, is_forwarded: bool = False):
    """Send a request; return its status, 0 if the connection ended, and outcome."""
    port, headers = 8001, dict(HEADERS)
    if is_forwarded:
        port, headers["Pomelolug_Forwarded"] = 8004, "2 0"
    connection = await h.connect(port)
    connection.send(encode_caller_request(PATHS[service], method=b"POST", **headers))
    try:
        head = await connection.read_head()
        body = await connection.read_body(1 << 20)
    except HttpConnectionError:
        return 0, None
    if head.get(b"pomelolug-outcome") is not None:
        return head.status, head.get(b"pomelolug-outcome").split()[0].decode()
    outcome = msgspec.json.decode(body)["error"]["outcome"] if b"{" in body else None
    return head.status, outcome


ACCEPTED = ["reset", "close", "silent", "part", "cut"]
ACCEPTED += [f"status {status}" for status in (408, 429, 500, 503, 504)]


@pytest.mark.parametrize("is_forwarded", [False, True], ids=["own", "forwarded"])
@pytest.mark.parametrize("service", ["plain", "llm"])
@pytest.mark.parametrize("before", [(), ("refuse",), ("refuse 421",)], ids=str)
@pytest.mark.parametrize("behaviour", ACCEPTED)
async def test_request_that_reached_a_server_is_not_called_not_run(
    behaviour, before, service, is_forwarded
):
    # Guards against a charge that is made twice, since its caller was told that the
    # first one has not run.
    servers = Servers(*before, behaviour)
    async with run_node(servers, service) as h:
        status, outcome = await send(h, service, is_forwarded=is_forwarded)
        assert len(servers.accepted) == 1
        assert status not in PROMISES
        assert outcome != "not_run"


@pytest.mark.parametrize("service", ["plain", "llm"])
@pytest.mark.parametrize("refusal", ["refuse", "refuse 421", "refuse 429"])
async def test_request_that_all_servers_refused_never_runs(refusal, service):
    # Guards against a request that is refused and sent to a server afterwards.
    servers = Servers(refusal, refusal, "answer")
    async with run_node(servers, service) as h:
        status, outcome = await send(h, service)
        assert (status, outcome) == (503, "not_run")
        await asyncio.sleep(LATER_S)
        assert not servers.accepted


@pytest.mark.parametrize("service", ["plain", "llm"])
@pytest.mark.parametrize("cause", ["evacuated", "leaving", "no_servers", "connections"])
async def test_request_that_no_server_may_get_never_runs(cause, service):
    # Guards against a request that waits in the node and is sent after its refusal.
    servers = Servers("answer")
    limit = 602 if cause == "connections" else None
    async with run_node(servers, service, socket_limit=limit) as h:
        if cause == "evacuated":
            h.evacuate("z1")
        elif cause == "leaving":
            for number in (1, 2):
                address = h.servers[number - 1].address
                h.publish_server(
                    f"vm-{number}", address, service=service, state="draining"
                )
        elif cause == "no_servers":
            for number in (1, 2):
                h.store.put("keyed.servers", f"vm-{number}", b"")
        else:
            # Connections on which nothing was received are not replaced.
            await h.connect()
        await asyncio.sleep(1.5)
        status, outcome = await send(h, service)
        assert (status, outcome) == (503, "not_run")
        await asyncio.sleep(LATER_S)
        assert not servers.accepted


@pytest.mark.parametrize("service", ["plain", "llm"])
@pytest.mark.parametrize("behaviour", ["silent", "refuse"])
async def test_stop_of_the_node_tells_what_may_have_run(behaviour, service):
    # Guards against a stop that tells callers of running requests "not run".
    servers = Servers(behaviour)
    async with run_node(servers, service, stop_grace_s=0.3) as h:
        task = asyncio.create_task(send(h, service))
        await asyncio.sleep(0.2)
        await h.stop()
        status, outcome = await task
        if servers.accepted:
            assert status not in PROMISES
            assert outcome != "not_run"
        else:
            assert (status, outcome) == (503, "not_run")


async def test_connection_that_cannot_be_opened_in_time_has_not_run():
    # Guards against "outcome unknown" of a request that was never sent.
    servers = Servers("answer")
    async with run_node(servers, "plain") as h:
        for server in h.servers:
            server.stop()
        status, outcome = await send(h, "plain")
        assert (status, outcome) == (503, "not_run")


async def test_refusal_of_a_body_that_does_not_arrive_has_not_run():
    # Guards against a status 408 of a request that a server got in part.
    servers = Servers("answer")
    async with run_node(servers, "plain") as h:
        h.entry._limits.header_timeout_s = 0.2
        connection = await h.connect()
        connection.send(b"POST /once/x HTTP/1.1\r\nHost: h.exa")
        assert (await connection.read_head()).status == 408
        await asyncio.sleep(LATER_S)
        assert not servers.accepted
