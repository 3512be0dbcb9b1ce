"""Division of a server's limit among nodes that do not tell what they send."""

import asyncio
import random

import pytest

from pomelolug.entry.servers import RequestRateLimiter, ServerLimits
from pomelolug.ids import NodeId, VmId, ZoneId
from pomelolug.testing import LoopClock

pytestmark = pytest.mark.looptime
SERVER = VmId("s1")
WINDOW_S = 4.0
STEP_S = 0.1
IDLE_S = 20.0
SENDING_S = 40.0


def allowed(limit_per_s: float) -> float:
    """Return the requests that a server accepts in a window."""
    return 1.5 * limit_per_s * WINDOW_S + 5.0


class Node:
    """Rate limiter of one node, which has heard of the limit and of all nodes."""

    def __init__(self, name: str, zone: ZoneId, zones: list[ZoneId], seed: int) -> None:
        clock = LoopClock()
        self.zone = zone
        self.name = NodeId(name)
        self.limits = ServerLimits(zone=zone, clock=clock, on_news=lambda: None)
        self.limiter = RequestRateLimiter(
            sources=(self.limits,),
            node=self.name,
            zone=zone,
            zones=zones,
            clock=clock,
            rng=random.Random(seed),
        )

    def name_limit(self, limit_per_s: float) -> None:
        self.limits.record_response(SERVER, limit_per_s, sent_at_s=0.0)


def make_nodes(count: int, zone_count: int) -> list[Node]:
    zones = [ZoneId(f"z{number}") for number in range(zone_count)]
    nodes = [Node(f"n{k}", zones[k % zone_count], zones, k) for k in range(count)]
    for node in nodes:
        zone_nodes = [other.name for other in nodes if other.zone == node.zone]
        node.limiter.set_nodes(count=count, zone_nodes=zone_nodes)
    return nodes


async def send_at_will(nodes: list[Node], limit_per_s: float) -> list[float]:
    """Return when the server gets requests if each node always has one to send."""
    times_s = []
    for step in range(round(SENDING_S / STEP_S)):
        for node in nodes:
            node.name_limit(limit_per_s)
            while not node.limiter.wait_s(SERVER):
                node.limiter.record_request(SERVER)
                times_s.append(step * STEP_S)
        await asyncio.sleep(STEP_S)
    return times_s


@pytest.mark.parametrize("limit_per_s", [0.1, 1.4, 5.0, 50.0])
@pytest.mark.parametrize(
    ("node_count", "zone_count"), [(1, 1), (2, 1), (8, 3), (9, 3), (66, 3), (390, 7)]
)
async def test_nodes_stay_within_a_limit_after_they_have_saved_up_requests(
    node_count, zone_count, limit_per_s
):
    # Guards against nodes that together send more than the limit when a burst follows
    # on a quiet time, and against a limit of which most is given to nobody.
    nodes = make_nodes(node_count, zone_count)
    for _ in range(round(IDLE_S)):
        for node in nodes:
            node.name_limit(limit_per_s)
            node.limiter.wait_s(SERVER)
        await asyncio.sleep(1.0)
    times_s = await send_at_will(nodes, limit_per_s)
    most = max(
        sum(start_s <= t < start_s + WINDOW_S for t in times_s)
        for start_s in {*times_s}
    )
    assert most <= allowed(limit_per_s)
    assert len(times_s) >= 0.6 * limit_per_s * SENDING_S


async def test_other_nodes_take_over_the_share_of_nodes_that_are_gone():
    # Guards against a server that nobody sends to since its senders have gone.
    nodes = make_nodes(66, 3)
    limit_per_s = 1.4
    for node in nodes:
        node.name_limit(limit_per_s)
    senders = [n for n in nodes if n.limiter.wait_s(SERVER) < 1.0 / limit_per_s]
    left = [node for node in nodes if node not in senders]
    for node in left:
        zone_nodes = [other.name for other in left if other.zone == node.zone]
        node.limiter.set_nodes(count=66, zone_nodes=zone_nodes)
    times_s = await send_at_will(left, limit_per_s)
    assert len(times_s) >= 0.6 * limit_per_s * SENDING_S


async def test_unlimited_server_takes_requests_at_any_time():
    node = make_nodes(1, 1)[0]
    for _ in range(100):
        assert node.limiter.wait_s(SERVER) == 0.0
        node.limiter.record_request(SERVER)


async def test_wait_is_the_time_until_the_next_request_is_taken():
    # Guards against a Retry-After at which the server still takes no request.
    node = make_nodes(1, 1)[0]
    node.name_limit(0.5)
    await asyncio.sleep(IDLE_S)
    while not node.limiter.wait_s(SERVER):
        node.limiter.record_request(SERVER)
    wait_s = node.limiter.wait_s(SERVER)
    assert 0.0 < wait_s <= 2.0
    await asyncio.sleep(wait_s - 0.1)
    assert node.limiter.wait_s(SERVER) > 0.0
    await asyncio.sleep(0.1 + 1e-6)
    assert node.limiter.wait_s(SERVER) == 0.0
