"""Tests of the receivers to which a node sends its status."""

import asyncio
import datetime
import random

from pomelolug.clock import Clock
from pomelolug.entry.peers import PeerGossip
from pomelolug.ids import ZoneId
from pomelolug.messages import NodeStatus, encode

ZONE = ZoneId("z1")
OWN_ADDRESS = "127.0.0.1:1"
RELAY_ADDRESS = "127.0.0.1:100"


class ManualClock(Clock):
    def __init__(self) -> None:
        self.time_s = 100.0

    def monotonic(self) -> float:
        return self.time_s

    def now(self) -> datetime.datetime:
        return datetime.datetime.fromtimestamp(self.time_s, datetime.UTC)

    async def sleep(self, duration: datetime.timedelta) -> None:
        self.time_s += duration.total_seconds()


class RecordingTransport(asyncio.DatagramTransport):
    """Records the receivers of sent datagrams."""

    def __init__(self) -> None:
        super().__init__()
        self.receivers: list[str] = []

    def sendto(self, data, addr=None) -> None:
        self.receivers.append(f"{addr[0]}:{addr[1]}")

    def pop_receivers(self) -> set[str]:
        receivers, self.receivers = set(self.receivers), []
        return receivers


def status(number: int, *, serial: int = 1, **changes) -> NodeStatus:
    fields = {
        "node": f"n{number}",
        "started_ms": number,
        "serial": serial,
        "zone": ZONE,
        "address": "",
        "datagram": f"127.0.0.1:{number}",
        "declaration": 1,
    }
    return NodeStatus(**fields | changes)


class GossipHarness:
    """Status exchange of one node, with peers whose datagrams a test sends."""

    def __init__(self, peer_count: int, *, is_relay: bool = False) -> None:
        self.clock = ManualClock()
        self.transport = RecordingTransport()
        self.peer_count = peer_count
        self.serial = 0
        self.gossip = PeerGossip(
            make_status=lambda serial, peers: status(1, serial=serial, peers=peers),
            address=OWN_ADDRESS,
            zone=ZONE,
            is_relay=lambda: is_relay,
            clock=self.clock,
            rng=random.Random(1),
            on_status=lambda status: None,
            on_dispatch_message=lambda message: None,
        )
        self.gossip.connection_made(self.transport)

    def receive_from(self, numbers, **changes) -> None:
        self.serial += 1
        for number in numbers:
            message = status(number, serial=self.serial, **changes)
            self.gossip.datagram_received(encode(message), ("127.0.0.1", 1))

    def receive_from_all(self) -> None:
        self.receive_from(range(2, self.peer_count + 2))
        self.receive_from([100], relay=True)

    def send_round(self, *, after_s: float = 0.4) -> set[str]:
        self.clock.time_s += after_s
        self.gossip.send_round()
        return self.transport.pop_receivers()


def test_nodes_of_a_zone_send_to_each_other():
    harness = GossipHarness(3)
    harness.receive_from_all()
    assert len(harness.send_round()) == len(harness.send_round()) == 4


def test_silent_nodes_of_other_zones_are_probed_only_at_first():
    # Guards against statuses that are sent to every node of every zone. On a day
    # with 76 nodes, they made up most of the bytes between zones.
    harness = GossipHarness(3)
    harness.gossip.add_addresses(f"127.0.1.{n}:1" for n in range(50))
    counts = []
    for _ in range(6):
        harness.receive_from_all()
        counts.append(len(harness.send_round()))
    assert counts == [54, 54, 54, 54, 4, 4]


def test_isolated_node_keeps_probing():
    # Guards against a node that gives up when it starts while its seeds are down.
    harness = GossipHarness(0)
    harness.gossip.add_addresses(["127.0.1.1:1", "127.0.1.2:1"])
    assert [len(harness.send_round()) for _ in range(9)] == [2] * 9


def test_relay_probes_other_zones_periodically():
    harness = GossipHarness(3, is_relay=True)
    harness.gossip.add_addresses(["127.0.1.1:1"])
    probes = 0
    for _ in range(40):
        harness.receive_from_all()
        probes += "127.0.1.1:1" in harness.send_round()
    assert probes == 4 + 2


def test_only_zone_members_and_relays_are_advertised():
    harness = GossipHarness(3)
    advertised: list[tuple[str, ...]] = []

    def make_status(serial, peers):
        advertised.append(peers)
        return status(1, serial=serial)

    harness.gossip._make_status = make_status
    harness.receive_from_all()
    harness.receive_from([7], zone="z2")
    harness.receive_from([8], zone="z2", relay=True)
    harness.send_round()
    assert "127.0.0.1:7" not in advertised[-1]
    assert "127.0.0.1:8" in advertised[-1]


INVALID_ADDRESSES = (
    '["key-of-a"]}]}',
    "",
    "127.0.0.1",
    "127.0.0.1:",
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:\N{SUPERSCRIPT TWO}",
    "node-3:7340",
)


def test_invalid_addresses_do_not_end_the_exchange():
    # Guards against a record or message of another writer that ends the exchange of
    # statuses, because its address cannot be parsed when the status is sent.
    harness = GossipHarness(2)
    harness.receive_from([2, 3])
    harness.gossip.add_addresses(INVALID_ADDRESSES)
    for address in INVALID_ADDRESSES:
        harness.receive_from([4], datagram=address)
    harness.receive_from([5], peers=INVALID_ADDRESSES)
    assert harness.send_round() == {f"127.0.0.1:{n}" for n in (2, 3, 5)}
