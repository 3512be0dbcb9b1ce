"""Which limit of a server holds, given its responses."""

import asyncio

import pytest

from pomelolug.entry.servers import ServerLimits
from pomelolug.ids import VmId, ZoneId
from pomelolug.messages import NodeStatus, decode, encode
from pomelolug.testing import LoopClock

pytestmark = pytest.mark.looptime
SERVER = VmId("s1")


async def test_limit_holds_until_a_later_request_is_answered_without_one():
    # Guards against a response that overtook the one with the limit and lifts it, and
    # against a limit that is kept when the server no longer names it.
    clock = LoopClock()
    limits = ServerLimits(zone=ZoneId("a"), clock=clock, on_news=lambda: None)
    before_s = clock.monotonic()
    await asyncio.sleep(0.1)
    limits.record_response(SERVER, 1.6, sent_at_s=before_s)
    limits.record_response(SERVER, None, sent_at_s=before_s)
    assert limits.rate_per_s(SERVER) == 1.6
    await asyncio.sleep(0.1)
    limits.record_response(SERVER, None, sent_at_s=clock.monotonic())
    assert limits.rate_per_s(SERVER) is None
    assert limits.limited_servers() == {}


class Node:
    """Limits known to one node, and the status that it sends."""

    def __init__(self, name: str, zone: str, *, relay: bool = False) -> None:
        self.name = name
        self.zone = zone
        self.relay = relay
        self.clock = LoopClock()
        self.news = 0
        self.limits = ServerLimits(
            zone=ZoneId(zone), clock=self.clock, on_news=self._count_news
        )

    def _count_news(self) -> None:
        self.news += 1

    def respond(self, rate_per_s: float | None) -> None:
        now_s = self.clock.monotonic()
        self.limits.record_response(SERVER, rate_per_s, sent_at_s=now_s)

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
            limits=self.limits.own_reports(),
            zone_limits=self.limits.zone_reports() if self.relay else {},
            other_limits=self.limits.other_zone_reports() if self.relay else {},
        )


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
                    receiver.limits.merge(status)
        await asyncio.sleep(0.25)


def make_zones() -> list[Node]:
    return [
        Node(f"{zone}{k}", zone, relay=k == 0) for zone in ("a", "b") for k in range(3)
    ]


async def test_nodes_of_all_zones_hear_of_a_limit_and_of_its_end():
    # Guards against nodes that send at will until they have heard from the server
    # itself, and against nodes that send nothing and never hear of the end.
    nodes = make_zones()
    nodes[1].respond(1.6)
    await exchange(nodes, rounds=3)
    assert [node.limits.rate_per_s(SERVER) for node in nodes] == [1.6] * len(nodes)
    nodes[-1].respond(None)
    await exchange(nodes, rounds=3)
    assert [node.limits.rate_per_s(SERVER) for node in nodes] == [None] * len(nodes)
    assert nodes[1].news == nodes[-1].news == 1


async def test_limit_that_no_server_confirms_is_forgotten_by_all_nodes():
    # Guards against relays that keep a limit alive by telling each other of it.
    nodes = make_zones()
    nodes[1].respond(1.6)
    await exchange(nodes, rounds=160)
    for node in nodes:
        node.limits.forget_expired()
        assert node.limits.limited_servers() == {}
        assert not node.status().limits
        assert not node.status().zone_limits
        assert not node.status().other_limits
