"""Tests that the statements of a server hold for the start that made them."""

import asyncio
import datetime
import random

import msgspec
import pytest

from pomelolug.deployment import ServerNotice
from pomelolug.entry.servers import (
    ColdServers,
    EvacuatedZones,
    RequestRateLimiter,
    ServerLimits,
    ServerNotices,
)
from pomelolug.entry.tests.test_cold_server_bounds import (
    COLD_S,
    SERVER,
    make_server,
    make_services,
)
from pomelolug.ids import NodeId, ZoneId
from pomelolug.messages import NodeStatus, StartReport
from pomelolug.testing import LoopClock

pytestmark = pytest.mark.looptime

LEAVING = ServerNotice(is_leaving=True)
LIMIT = ServerNotice(request_limit_per_s=2.0)
COLD = ServerNotice(cold_for=datetime.timedelta(seconds=20))
RESTARTED = ServerNotice(start_time_ms=2)


def pause(length_s: float) -> ServerNotice:
    return ServerNotice(pause=datetime.timedelta(seconds=length_s))


def status_of(node: "Node") -> NodeStatus:
    """Return the status of another node as far as starts of servers are concerned."""
    return NodeStatus(
        node="n1",
        started_ms=1,
        serial=1,
        zone="z1",
        address="a",
        datagram="d",
        declaration=1,
        starts=node.notices.recent_starts.reports(),
    )


class Node:
    """What one node knows of a server whose entry shows its first start."""

    def __init__(self) -> None:
        self.clock = LoopClock()
        self.restarts: list[tuple[str, int]] = []
        cold = ColdServers(
            zone=ZoneId("z0"),
            clock=self.clock,
            accepted_factor=1.1,
            excess_requests=3.0,
            on_news=lambda: None,
        )
        limits = ServerLimits(zone=ZoneId("z0"), clock=self.clock, on_news=lambda: None)
        self.notices = ServerNotices(
            limits=limits,
            cold_servers=cold,
            rate_limiter=RequestRateLimiter(
                sources=(limits, cold),
                node=NodeId("n0"),
                zone=ZoneId("z0"),
                zones=(),
                clock=self.clock,
                rng=random.Random(0),
            ),
            evacuated_zones=EvacuatedZones(
                known_zones=(), clock=self.clock, on_change=lambda: None
            ),
            clock=self.clock,
            rng=random.Random(0),
            on_leaving=lambda: None,
            on_restart=lambda vm, start_ms: self.restarts.append((vm, start_ms)),
        )
        cold.set_services(make_services(17.0))
        self.notices.record_entry(make_server(cold_s=0.0))
        cold.finish_first_reading()

    def respond(
        self, notice: ServerNotice, *, start_ms: int = 1, age_s: float = 0.0
    ) -> None:
        """Record the response to a request that chose the entry of a start."""
        sent_at_s = self.clock.monotonic() - age_s
        self.notices.record(make_server(start_ms=start_ms), notice, sent_at_s=sent_at_s)


async def test_statements_end_with_a_start_that_only_a_report_shows():
    # Guards against a server that gets nothing after its restart, as long as the store
    # is away and its entry is of the start before.
    node = Node()
    for notice in (LEAVING, LIMIT, pause(30.0)):
        node.respond(notice)
    assert node.notices.is_leaving(make_server())
    await asyncio.sleep(1.0)
    node.respond(RESTARTED)
    await asyncio.sleep(COLD_S + 0.1)
    assert not node.notices.is_leaving(make_server())
    assert not node.notices.is_paused(make_server())
    assert node.notices.accepts_request(make_server())


@pytest.mark.parametrize("start_of_entry", [1, 2])
async def test_late_responses_of_the_start_before_bind_nothing(start_of_entry):
    # Guards against a limit or pause of a process that is gone, which a response named
    # that was read after the news of the restart.
    node = Node()
    await asyncio.sleep(1.0)
    if start_of_entry == 2:
        node.notices.record_entry(make_server(start_ms=2, cold_s=0.0))
    else:
        node.respond(RESTARTED)
    await asyncio.sleep(COLD_S + 0.1)
    server = make_server(start_ms=start_of_entry)
    age_s = COLD_S + 0.5
    for notice in (LEAVING, LIMIT, pause(30.0), COLD):
        node.respond(notice, age_s=age_s)
    assert node.notices.request_limit_per_s(SERVER) is None
    assert not node.notices.is_cold(server)
    assert node.notices.accepts_request(server)


async def test_late_response_of_the_start_before_hides_no_pause_or_coldness():
    # Guards against requests in the pause of a server, or beyond what it bears, because
    # its start before has stated something else.
    node = Node()
    await asyncio.sleep(1.0)
    node.notices.record_entry(make_server(start_ms=2, cold_s=0.0))
    await asyncio.sleep(COLD_S + 0.1)
    server = make_server(start_ms=2)
    node.respond(pause(5.0), start_ms=2)
    node.respond(COLD, start_ms=2)
    node.respond(pause(30.0), age_s=COLD_S + 0.5)
    node.respond(ServerNotice(cold_for=datetime.timedelta()), age_s=COLD_S + 0.5)
    assert node.notices.is_paused(server)
    assert node.notices.is_cold(server)
    await asyncio.sleep(6.0)
    assert not node.notices.is_paused(server)


async def test_statements_through_an_old_entry_are_those_of_the_latest_start():
    # Guards against statements that are dropped, or end with the entry of the start
    # that made them, since the store was away and the requests chose the entry before.
    node = Node()
    await asyncio.sleep(1.0)
    node.respond(RESTARTED)
    await asyncio.sleep(COLD_S + 0.1)
    for notice in (LEAVING, LIMIT, pause(30.0), COLD):
        node.respond(notice)
    for start_ms in (1, 2):
        server = make_server(start_ms=start_ms)
        node.notices.record_entry(server)
        assert node.notices.is_leaving(server)
        assert node.notices.is_paused(server)
        assert node.notices.is_cold(server)
        assert node.notices.request_limit_per_s(SERVER) == 2.0


@pytest.mark.parametrize("learns_from", ["entry", "report", "peer"])
async def test_statements_end_with_a_start_that_only_a_peer_shows(learns_from):
    # Guards against a node whose list of servers is old and that sends nothing to a
    # server, or less, for what its start before has stated.
    node, other, first = Node(), Node(), Node()
    for notice in (LEAVING, LIMIT, pause(30.0)):
        node.respond(notice)
    await asyncio.sleep(1.0)
    if learns_from == "entry":
        other.notices.record_entry(make_server(start_ms=2, cold_s=0.0))
    elif learns_from == "report":
        other.respond(RESTARTED)
    else:
        first.respond(RESTARTED)
        other.notices.merge(status_of(first))
    await asyncio.sleep(1.0)
    node.notices.merge(status_of(other))
    node.notices.merge(status_of(other))
    assert node.restarts == [(SERVER, 2)]
    assert node.notices.request_limit_per_s(SERVER) is None
    # It is cold at first.
    assert node.notices.is_cold(make_server())
    await asyncio.sleep(COLD_S + 0.1)
    assert node.notices.accepts_request(make_server())
    node.notices.record_entry(make_server(start_ms=2))
    assert not node.notices.is_cold(make_server(start_ms=2))
    assert node.restarts == [(SERVER, 2)]


@pytest.mark.parametrize(
    "report",
    [
        StartReport(start_time_ms=1, age_s=1.0),
        StartReport(start_time_ms=0, age_s=1.0),
        StartReport(start_time_ms=2, age_s=-1.0),
        StartReport(start_time_ms=2, age_s=31.0),
        StartReport(start_time_ms=2, age_s=float("nan")),
    ],
)
async def test_reported_start_that_is_no_news_ends_no_statements(report):
    # Guards against statements that are lost to late or odd reports, and against nodes
    # that repeat each other's reports forever.
    node = Node()
    node.respond(LEAVING)
    status = msgspec.structs.replace(
        status_of(node), starts={SERVER: report, "unknown": report}
    )
    node.notices.merge(status)
    assert node.notices.is_leaving(make_server())
    assert node.restarts == []
    assert node.notices.recent_starts.reports() == {}


async def test_reports_of_starts_end_though_nodes_repeat_each_other():
    # Guards against starts that nodes report to each other for good.
    nodes = [Node(), Node()]
    nodes[0].respond(RESTARTED)
    for _ in range(60):
        await asyncio.sleep(1.0)
        nodes[1].notices.merge(status_of(nodes[0]))
        nodes[0].notices.merge(status_of(nodes[1]))
    for node in nodes:
        assert node.restarts == [(SERVER, 2)]
        assert node.notices.recent_starts.reports() == {}
