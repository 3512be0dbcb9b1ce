"""A planned stop under load answers each request that was accepted."""

import asyncio
import time

import pytest

from pomelolug.entry.tests.harness import (
    Harness,
    declaration,
    encode_caller_request,
)
from pomelolug.entry.tests.stating_server import KINDS, StatingServer, send
from pomelolug.transport import HttpConnectionError

GRACE_S = 3.5
MAX_PAUSE_S = 0.2
"""Pause of this process in which the node's connections to servers may time out."""
CLOSING_S = 2.5
"""Time after the request to stop at which no further connections are accepted."""


async def send_until_refused(
    node: Harness, kind: str, name: str, outcomes: list[str]
) -> None:
    """Open connections and send requests until none can be opened any more."""
    number = 0
    while True:
        try:
            connection = await node.connect()
        except HttpConnectionError:
            return
        number += 1
        headers = {"Model": "model-a"} if kind == "stream" else {}
        # The request follows some time after the connection, as on a slow path.
        await asyncio.sleep(0.1)
        request = encode_caller_request(
            f"/{kind}/x",
            method=b"GET" if kind == "safe" else b"POST",
            request_id=f"{name}-{number}",
            **headers,
        )
        try:
            connection.send(request)
            head = await connection.read_head()
            await connection.read_body(1 << 20)
            outcomes.append(str(head.status))
        except HttpConnectionError as error:
            outcomes.append(error.reason)
        connection.close()


async def watch_pauses(pauses_s: list[float]) -> None:
    """Note the pauses of the event loop, which the node shares with its callers."""
    while True:
        started_s = time.monotonic()
        await asyncio.sleep(0.05)
        pause_s = time.monotonic() - started_s - 0.05
        if pause_s > MAX_PAUSE_S:
            pauses_s.append(pause_s)


@pytest.mark.parametrize("kind", KINDS)
async def test_requests_on_connections_accepted_last_are_answered(kind):
    # Guards against connections that are closed between being accepted and receiving
    # their first request.
    server = StatingServer(kind)
    async with Harness() as h:
        await server.add_to(h)
        await h.start()
        outcomes: list[str] = []
        pauses_s: list[float] = []
        watching = asyncio.create_task(watch_pauses(pauses_s))
        callers = [
            asyncio.create_task(send_until_refused(h, kind, f"c{k}", outcomes))
            for k in range(4)
        ]
        await asyncio.sleep(0.3)
        await h.stop()
        await asyncio.gather(*callers)
        assert len(outcomes) >= 10 * len(callers)
        watching.cancel()
        # Each request is answered: after a pause of this process, perhaps that it was
        # not sent, since no connection to the server was open in time.
        assert set(outcomes) <= ({"200", "503"} if pauses_s else {"200"})
        assert outcomes.count("200") >= 0.9 * len(outcomes)


@pytest.mark.parametrize("kind", KINDS)
async def test_request_that_outlasts_the_grace_period_gets_an_answer(kind):
    # Guards against requests whose connection is just closed when the process ends, so
    # that the caller does not know whether they may have run.
    reached = asyncio.Event()

    async def script(request):
        if request.target.startswith("/-/"):
            request.send("404 Not Found", {})
            return
        reached.set()
        await request.wait_closed()

    async with Harness() as h:
        await h.add_server(script, service="llm" if kind == "stream" else "plain")
        await h.start(stop_grace_s=GRACE_S)
        started_s = time.monotonic()
        stopping = asyncio.create_task(h.stop())
        await asyncio.sleep(CLOSING_S - 0.2)
        answer = await send(h, kind, "late")
        assert answer.status in (502, 504)
        assert GRACE_S - 1.0 < time.monotonic() - started_s < GRACE_S
        assert reached.is_set()
        await stopping


STORE_FAULTS = ("works", "silent", "refuses")


def set_store_fault(h: Harness, fault: str) -> None:
    h.store.is_unresponsive = fault == "silent"
    h.store.error_status = 503 if fault == "refuses" else None


@pytest.mark.parametrize("fault", STORE_FAULTS)
@pytest.mark.parametrize("kind", KINDS)
async def test_stop_ends_in_the_grace_period_whatever_the_store_does(kind, fault):
    # Guards against a process that is killed with its requests, since it has waited for
    # the store before it began to drain.
    reached = asyncio.Event()

    async def script(request):
        if request.target.startswith("/-/"):
            request.send("404 Not Found", {})
            return
        reached.set()
        await request.wait_closed()

    async with Harness() as h:
        await h.add_server(script, service="llm" if kind == "stream" else "plain")
        value = declaration(2)
        for route in value["routes"]:
            route["timeout_ms"] = 20_000
        h.publish_declaration(value)
        await h.start(stop_grace_s=GRACE_S)
        set_store_fault(h, fault)
        await asyncio.sleep(0.5)
        sending = asyncio.create_task(send(h, kind, "late", deadline_ms=20_000))
        await reached.wait()
        started_s = time.monotonic()
        await h.stop()
        assert time.monotonic() - started_s < GRACE_S
        assert (await sending).status in (502, 504)


@pytest.mark.parametrize("fault", STORE_FAULTS)
async def test_idle_connections_are_closed_in_time_whatever_the_store_does(fault):
    # Guards against requests that are accepted so late that they outlast the process.
    server = StatingServer("safe")
    async with Harness() as h:
        await server.add_to(h)
        await h.start()
        connection = await h.connect()
        head, _ = await h.request("/safe/x", connection=connection)
        assert head.status == 200
        set_store_fault(h, fault)
        await asyncio.sleep(0.5)
        started_s = time.monotonic()
        stopping = asyncio.create_task(h.stop())
        with pytest.raises(HttpConnectionError):
            async with asyncio.timeout(CLOSING_S + 0.4):
                await connection.read_head()
        assert CLOSING_S - 0.1 < time.monotonic() - started_s
        await stopping


async def test_controller_lease_is_released_while_the_node_drains():
    # Guards against a successor that waits until the last request has been answered.
    server = StatingServer("safe")
    async with Harness() as h:
        await server.add_to(h)
        await h.start()
        async with asyncio.timeout(5.0):
            while not h.entry._lease.is_held:  # noqa: ASYNC110
                await asyncio.sleep(0.02)
        lease = h.entry._lease
        stopping = asyncio.create_task(h.stop())
        await asyncio.sleep(0.3)
        assert not lease.is_held
        assert "/-/log-leave" in h.store.requested_paths
        assert not stopping.done()
        await stopping


UPLOAD_GRACE_S = 5.0
UPLOAD_END_S = 3.2
"""Time after the request to stop at which the body of a late request is complete."""


async def send_slowly(
    node: Harness, kind: str, name: str, *, until_s: float, deadline_ms: int
) -> tuple[int, bytes, float]:
    """Send a request whose body is complete at a monotonic time.

    Return status and body of the answer, and the seconds from the complete request.
    """
    connection = await node.connect()
    request = encode_caller_request(
        f"/{kind}/x",
        method=b"POST",
        body=b"b" * 100,
        request_id=name,
        deadline_ms=deadline_ms,
        **({"Model": "model-a"} if kind == "stream" else {}),
    )
    connection.send(request[:-50])
    await asyncio.sleep(until_s - time.monotonic())
    connection.send(request[-50:])
    head = await connection.read_head()
    body = await connection.read_body(1 << 20)
    connection.close()
    return head.status, body, time.monotonic() - until_s


async def run_upload_in_stop(
    kind: str, *, server: StatingServer, deadline_ms: int
) -> tuple[int, bytes, float]:
    """Return the answer to a request that is complete late in the grace period."""
    async with Harness() as h:
        await server.add_to(h)
        await h.start(stop_grace_s=UPLOAD_GRACE_S)
        stop_s = time.monotonic()
        stopping = asyncio.create_task(h.stop())
        answer = await send_slowly(
            h, kind, "late", until_s=stop_s + UPLOAD_END_S, deadline_ms=deadline_ms
        )
        await stopping
        return answer


@pytest.mark.parametrize("kind", KINDS)
async def test_late_request_that_may_outlast_the_stop_is_refused_as_not_run(kind):
    # Guards against requests that are sent on late in the grace period and cut off at
    # its end, so that their callers do not know whether they have run.
    server = StatingServer(kind)
    server.takes_s = 3.0
    status, body, took_s = await run_upload_in_stop(
        kind, server=server, deadline_ms=4000
    )
    assert status == 503
    assert b'"outcome":"not_run"' in body
    assert took_s < 0.5
    assert not server.count_after(0.0)


@pytest.mark.parametrize("kind", KINDS)
async def test_late_request_that_ends_before_the_stop_is_served(kind):
    # Guards against a node that refuses whatever comes late, although it can answer.
    server = StatingServer(kind)
    status, _, _ = await run_upload_in_stop(kind, server=server, deadline_ms=1000)
    assert status == 200
