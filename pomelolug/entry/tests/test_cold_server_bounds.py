"""Division of what cold servers bear among nodes, and when a server is cold."""

import asyncio
import datetime
import random

import pytest

from pomelolug.deployment import BackendServer, ServerNotice, ServerState, Service
from pomelolug.entry.servers import ColdServers, RequestRateLimiter, ServerLimits
from pomelolug.ids import DomainId, NodeId, ServiceName, VmId, ZoneId
from pomelolug.messages import NodeStatus, decode, encode
from pomelolug.testing import LoopClock

pytestmark = pytest.mark.looptime
SERVER = VmId("s1")
SERVICE = ServiceName("service")
COLD_S = 3.0
WINDOW_S = 1.0
STEP_S = 0.05
IDLE_S = 5.0
SENDING_S = 10.0
CONNECTING_S = 0.25
"""Time for which some requests wait for a connection after they were counted."""
OVERAGE = 1.5
SLACK = 5.0


def most_in_window(times_s: list[float]) -> int:
    times_s = sorted(times_s)
    return max(
        (
            sum(start_s <= t < start_s + WINDOW_S - 1e-6 for t in times_s)
            for start_s in {*times_s}
        ),
        default=0,
    )


def make_server(
    *, start_ms: int = 1, cold_s: float | None = None, service: str = SERVICE
) -> BackendServer:
    return BackendServer(
        vm=SERVER,
        start_time_ms=start_ms,
        service=ServiceName(service),
        address="10.0.0.1:1",
        zone=ZoneId("z0"),
        domain=DomainId(""),
        state=ServerState.READY,
        slots=4,
        staged=frozenset(),
        model=None,
        membership=None,
        cold_for=None if cold_s is None else datetime.timedelta(seconds=cold_s),
    )


def make_services(cold_per_s: float) -> dict[ServiceName, Service]:
    service = Service(
        name=SERVICE,
        health_path="/health",
        max_connections=100,
        engine=None,
        cold_time=datetime.timedelta(seconds=COLD_S),
        cold_requests_per_s=cold_per_s,
    )
    return {SERVICE: service}


class Node:
    """What one node knows of a server, and its share in what the server bears."""

    def __init__(
        self,
        name: str = "n0",
        zone: str = "z0",
        *,
        cold_per_s: float = 17.0,
        overage: float = OVERAGE,
        slack: float = SLACK,
        seed: int = 0,
        relay: bool = False,
        has_read: bool = True,
    ) -> None:
        self.clock = LoopClock()
        self.name, self.zone, self.relay = NodeId(name), ZoneId(zone), relay
        self.news = 0
        self.cold = ColdServers(
            zone=self.zone,
            clock=self.clock,
            accepted_factor=overage,
            excess_requests=slack,
            on_news=self._count_news,
        )
        self.limits = ServerLimits(
            zone=self.zone, clock=self.clock, on_news=lambda: None
        )
        self.limiter = RequestRateLimiter(
            sources=(self.limits, self.cold),
            node=self.name,
            zone=self.zone,
            zones=(),
            clock=self.clock,
            rng=random.Random(seed),
        )
        self.cold.set_services(make_services(cold_per_s))
        if has_read:
            self.cold.finish_first_reading()

    def _count_news(self) -> None:
        self.news += 1

    def hear(self, cold_s: float, *, start_ms: int = 1, report_start_ms: int = 0):
        notice = ServerNotice(
            cold_for=datetime.timedelta(seconds=cold_s), start_time_ms=report_start_ms
        )
        return self.cold.record_notice(make_server(start_ms=start_ms), notice)

    @property
    def is_cold(self) -> bool:
        return self.cold.find_bound(SERVER) is not None

    def status(self) -> NodeStatus:
        return NodeStatus(
            node=self.name,
            started_ms=1,
            serial=1,
            zone=self.zone,
            address="",
            datagram=self.name,
            declaration=1,
            relay=self.relay,
            cold=self.cold.own_reports(),
            zone_cold=self.cold.zone_reports() if self.relay else {},
            other_cold=self.cold.other_zone_reports() if self.relay else {},
        )


def make_nodes(count: int, zone_count: int, *, hear: bool, **options) -> list[Node]:
    """Return nodes that know all nodes by name, and hear those of their zone."""
    nodes = [
        Node(f"n{k}", f"z{k % zone_count}", seed=k, **options) for k in range(count)
    ]
    registered = [node.name for node in nodes]
    for node in nodes:
        zone_nodes = [other.name for other in nodes if other.zone == node.zone]
        node.limiter.set_nodes(
            count=count, zone_nodes=zone_nodes if hear else (), registered=registered
        )
    return nodes


def make_cold(nodes: list[Node], cold_s: float = 60.0) -> None:
    for node in nodes:
        node.cold.record_entry(make_server(cold_s=cold_s))


async def send_at_will(
    nodes: list[Node], *, rng: random.Random, step_s: float = STEP_S
) -> list[float]:
    """Return when the server gets requests if each node always has one to send."""
    times_s = []
    for step in range(round(SENDING_S / step_s)):
        for node in nodes:
            while node.limiter.try_take(SERVER) is not None:
                delay_s = CONNECTING_S if rng.random() < 0.1 else 0.0
                times_s.append(step * step_s + delay_s)
        await asyncio.sleep(step_s)
    return times_s


@pytest.mark.parametrize("cold_per_s", [1.0, 2.5, 5.0, 17.0, 50.0])
@pytest.mark.parametrize(
    ("node_count", "zone_count"), [(1, 1), (2, 1), (8, 3), (9, 3), (81, 3), (390, 7)]
)
@pytest.mark.parametrize("hear", [True, False])
async def test_nodes_stay_within_what_a_cold_server_bears(
    node_count, zone_count, cold_per_s, hear
):
    # Guards against a zone that returns cold and is sent more than it bears by nodes
    # that have saved up requests, and against a share of which most is given to nobody.
    nodes = make_nodes(node_count, zone_count, hear=hear, cold_per_s=cold_per_s)
    make_cold(nodes)
    for _ in range(round(IDLE_S)):
        for node in nodes:
            node.limiter.wait_s(SERVER)
        await asyncio.sleep(1.0)
    times_s = await send_at_will(nodes, rng=random.Random(0))
    assert most_in_window(times_s) <= cold_per_s * OVERAGE + SLACK
    assert len(times_s) >= 0.6 * cold_per_s * SENDING_S


@pytest.mark.parametrize("cold_per_s", [1.0, 2.0, 5.0, 17.0, 50.0])
@pytest.mark.parametrize("node_count", [1, 3, 81])
async def test_bound_without_any_excess_holds(node_count, cold_per_s):
    # Guards against a share that relies on an excess which the settings do not give.
    nodes = make_nodes(
        node_count, 1, hear=False, cold_per_s=cold_per_s, overage=1.0, slack=0.0
    )
    make_cold(nodes)
    times_s = await send_at_will(nodes, rng=random.Random(0), step_s=0.005)
    assert most_in_window(times_s) <= cold_per_s
    assert len(times_s) >= 0.6 * cold_per_s * SENDING_S


async def test_server_that_bears_less_than_a_request_a_second_gets_none():
    nodes = make_nodes(3, 1, hear=True, cold_per_s=0.5, overage=1.0, slack=0.0)
    make_cold(nodes)
    assert not await send_at_will(nodes, rng=random.Random(0))


async def test_warm_server_and_service_without_a_limit_take_requests_at_any_time():
    # Guards against a bound where the declaration or the server asks for none.
    for node, server in (
        (Node(), make_server(cold_s=0.0)),
        (Node(cold_per_s=0.0), make_server(cold_s=60.0)),
        (Node(), make_server(cold_s=60.0, service="other")),
    ):
        node.cold.record_entry(server)
        await asyncio.sleep(COLD_S)
        for _ in range(100):
            assert node.limiter.try_take(SERVER) is not None


async def test_node_that_does_not_know_the_others_sends_nothing_to_a_cold_server():
    # Guards against nodes that start together and each take the place of all senders.
    nodes = [Node(f"n{k}", seed=k) for k in range(81)]
    make_cold(nodes)
    for node in nodes:
        node.limiter.set_nodes(count=1, zone_nodes=())
        assert node.limiter.wait_s(SERVER) > 0.0
    for node in nodes:
        # Heard of 81 nodes, and read the names of 40.
        names = {node.name, *(other.name for other in nodes[:40])}
        node.limiter.set_nodes(count=81, zone_nodes=(), registered=names)
    assert not await send_at_will(nodes, rng=random.Random(0))


async def test_nodes_with_slightly_different_lists_stay_within_the_bound():
    # Guards against machines that are added and are senders besides the known ones.
    nodes = make_nodes(81, 3, hear=True)
    registered = [node.name for node in nodes[:75]]
    for node in nodes[:75]:
        node.limiter.set_nodes(count=81, zone_nodes=(), registered=registered)
    make_cold(nodes)
    times_s = await send_at_will(nodes, rng=random.Random(0))
    assert most_in_window(times_s) <= 17.0 * OVERAGE + SLACK


async def test_node_that_learns_late_has_no_burst_left():
    # Guards against requests that were saved up, or not counted, before the news.
    node = make_nodes(1, 1, hear=True, cold_per_s=5.0)[0]
    node.cold.record_entry(make_server(cold_s=0.0))
    await asyncio.sleep(IDLE_S)
    began_s = node.clock.monotonic()
    for _ in range(20):
        assert node.limiter.try_take(SERVER) is not None
    node.hear(60.0)
    assert node.limiter.try_take(SERVER) is None
    await asyncio.sleep(0.9)
    assert node.limiter.try_take(SERVER) is None
    times_s = [
        node.clock.monotonic() - began_s + t
        for t in await send_at_will([node], rng=random.Random(0))
    ]
    assert most_in_window(times_s) <= 5.0 * OVERAGE + SLACK


async def test_request_that_was_connecting_counts_when_the_news_arrive():
    # Guards against requests chosen while the server was warm and sent when it is cold.
    node = make_nodes(1, 1, hear=True, cold_per_s=2.0, overage=1.0, slack=0.0)[0]
    node.cold.record_entry(make_server(cold_s=0.0))
    await asyncio.sleep(COLD_S)
    permits = [node.limiter.try_take(SERVER) for _ in range(50)]
    node.hear(60.0)
    sent = [node.limiter.try_take(SERVER, counted=permit) for permit in permits]
    assert sum(result is not None for result in sent) <= 2


async def test_strictest_of_several_bounds_holds():
    # Guards against a limited server that gets what a cold one bears, or the reverse.
    node = make_nodes(1, 1, hear=True, cold_per_s=50.0)[0]
    make_cold([node])
    node.limits.record_response(SERVER, 1.0, sent_at_s=0.0)
    times_s = await send_at_will([node], rng=random.Random(0))
    assert len(times_s) <= 1.5 * SENDING_S + 5.0


async def test_wait_ends_with_the_coldness():
    # Guards against a Retry-After that is longer than the server stays cold.
    node = Node()
    node.limiter.set_nodes(count=390, zone_nodes=())
    node.cold.record_entry(make_server(cold_s=0.0))
    await asyncio.sleep(COLD_S)
    node.hear(2.0)
    assert 0.0 < node.limiter.wait_s(SERVER) <= 2.0
    await asyncio.sleep(2.0)
    assert node.limiter.wait_s(SERVER) == 0.0


async def test_server_is_cold_after_its_start_whatever_its_entry_says():
    # Guards against a fresh server whose first entry says nothing, or says warm.
    for cold_s in (None, 0.0):
        node = Node()
        node.cold.record_entry(make_server(cold_s=cold_s))
        await asyncio.sleep(COLD_S - 0.1)
        assert node.is_cold
        await asyncio.sleep(0.2)
        assert not node.is_cold


async def test_servers_from_before_the_start_of_a_node_are_not_cold():
    # Guards against a node that starts, or reads again, and takes all servers as cold.
    now_ms = int(LoopClock().now().timestamp() * 1000)
    for server in (
        make_server(start_ms=now_ms - 60_000),
        make_server(start_ms=now_ms, cold_s=0.0),
        make_server(start_ms=0),
    ):
        node = Node(has_read=False)
        node.cold.record_entry(server)
        assert not node.is_cold
        node.cold.finish_first_reading()
        node.cold.record_removal(SERVER)
        node.cold.record_entry(server)
        assert not node.is_cold


@pytest.mark.parametrize("skew_s", [-4.0, 0.0, 4.0])
async def test_node_that_starts_holds_for_servers_that_have_just_started(skew_s):
    # Guards against wall clocks by which a fresh server is old.
    node = Node(has_read=False)
    born_s = node.clock.now().timestamp() + skew_s
    node.cold.record_entry(make_server(start_ms=int(born_s * 1000)))
    assert node.is_cold
    await asyncio.sleep(COLD_S + 0.1)
    assert not node.is_cold


async def test_server_that_starts_again_is_cold_and_its_old_limits_are_gone():
    # Guards against limits and coldness of a life that has ended.
    node = Node()
    node.cold.record_entry(make_server(cold_s=60.0))
    assert not node.cold.record_entry(make_server(cold_s=60.0))
    assert node.cold.record_entry(make_server(start_ms=2, cold_s=0.0))
    assert node.is_cold
    await asyncio.sleep(COLD_S + 0.1)
    assert not node.is_cold
    # An older copy of the store shows the earlier start.
    assert not node.cold.record_entry(make_server(start_ms=1, cold_s=60.0))
    assert not node.is_cold
    node.limits.record_response(SERVER, 1.0, sent_at_s=0.0)
    peer = ServerLimits(zone=ZoneId("z0"), clock=node.clock, on_news=lambda: None)
    peer.record_response(SERVER, 1.0, sent_at_s=0.0)
    await asyncio.sleep(1.0)
    node.limits.record_restart(SERVER)
    assert node.limits.rate_per_s(SERVER) is None
    status = Node("n1").status()
    status.limits.update(peer.own_reports())
    node.limits.merge(status)
    assert node.limits.rate_per_s(SERVER) is None


async def test_report_shows_a_start_before_the_entry_does():
    # Guards against an old registry that hides the start of a server under its id.
    node = Node()
    node.cold.record_entry(make_server(cold_s=0.0))
    await asyncio.sleep(COLD_S)
    assert not node.is_cold
    assert node.hear(0.0, report_start_ms=2)
    assert node.is_cold
    assert not node.cold.record_entry(make_server(start_ms=2, cold_s=1.0))


async def test_server_is_cold_as_long_as_its_entry_or_its_responses_say():
    # Guards against an entry from before the server became cold again that ends it.
    node = Node()
    node.cold.record_entry(make_server(cold_s=0.0))
    await asyncio.sleep(COLD_S)
    node.hear(10.0)
    assert node.is_cold and node.news == 1
    node.cold.record_entry(make_server(cold_s=0.0))
    assert node.is_cold
    node.hear(0.0)
    assert not node.is_cold


async def test_lies_about_coldness_end_soon():
    # Guards against a server that is cold for a day since it once said so.
    node = Node()
    node.cold.record_entry(make_server(cold_s=86_400.0))
    await asyncio.sleep(60.1)
    assert not node.is_cold
    invalid = ServerNotice(has_invalid_cold_time=True)
    assert not node.cold.record_notice(make_server(), invalid)
    assert not node.is_cold


async def exchange(nodes: list[Node], *, rounds: int) -> None:
    """Send statuses as nodes do: within a zone, and between relays."""
    for _ in range(rounds):
        for sender in nodes:
            status = decode(encode(sender.status()), NodeStatus)
            for receiver in nodes:
                is_zone_peer = receiver.zone == sender.zone
                if receiver is not sender and (
                    is_zone_peer or (sender.relay and receiver.relay)
                ):
                    receiver.cold.merge(status)
        await asyncio.sleep(0.25)


async def test_nodes_of_all_zones_hear_of_coldness_and_it_ends_everywhere():
    # Guards against nodes with an old registry that send at will, and against relays
    # that keep a server cold by telling each other of it.
    nodes = [
        Node(f"{zone}{k}", zone, relay=k == 0) for zone in ("a", "b") for k in range(3)
    ]
    for node in nodes:
        node.cold.record_entry(make_server(cold_s=0.0))
    await asyncio.sleep(COLD_S)
    nodes[1].hear(10.0)
    await exchange(nodes, rounds=3)
    assert all(node.is_cold for node in nodes)
    await exchange(nodes, rounds=44)
    assert not any(node.is_cold for node in nodes)
    for node in nodes:
        node.cold.forget_expired()
        status = node.status()
        assert not (status.cold or status.zone_cold or status.other_cold)
