"""To whom a node sends its status."""

import asyncio
import datetime
import random

from pomelolug.clock import Clock
from pomelolug.entry._peers import PeerMesh
from pomelolug.ids import ZoneId
from pomelolug.messages import NodeStatus, encode

ZONE = ZoneId("z1")
OWN = "127.0.0.1:1"
RELAY = "127.0.0.1:100"


class ManualClock(Clock):
    def __init__(self) -> None:
        self.time = 100.0

    def monotonic(self) -> float:
        return self.time

    def now(self) -> datetime.datetime:
        return datetime.datetime.fromtimestamp(self.time, datetime.UTC)

    async def sleep(self, duration: datetime.timedelta) -> None:
        self.time += duration.total_seconds()


class Wire(asyncio.DatagramTransport):
    """Keeps the receivers of what is sent."""

    def __init__(self) -> None:
        super().__init__()
        self.sent: list[str] = []

    def sendto(self, data, addr=None) -> None:
        self.sent.append(f"{addr[0]}:{addr[1]}")

    def taken(self) -> set[str]:
        sent, self.sent = set(self.sent), []
        return sent


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


class Zone:
    """The mesh of one node, and peers whose messages a test sends."""

    def __init__(self, peers: int, *, is_relay: bool = False) -> None:
        self.clock = ManualClock()
        self.wire = Wire()
        self.peers = peers
        self.serial = 0
        self.mesh = PeerMesh(
            own=lambda serial, named: status(1, serial=serial, peers=named),
            address=OWN,
            zone=ZONE,
            is_relay=lambda: is_relay,
            clock=self.clock,
            rng=random.Random(1),
            on_status=lambda status: None,
        )
        self.mesh.connection_made(self.wire)

    def hear(self, numbers, **changes) -> None:
        self.serial += 1
        for number in numbers:
            message = status(number, serial=self.serial, **changes)
            self.mesh.datagram_received(encode(message), ("127.0.0.1", 1))

    def hear_all(self) -> None:
        self.hear(range(2, self.peers + 2))
        self.hear([100], relay=True)

    def round(self, *, after_s: float = 0.4) -> set[str]:
        self.clock.time += after_s
        self.mesh.send_round()
        return self.wire.taken()


def test_nodes_of_a_zone_tell_each_other():
    zone = Zone(3)
    zone.hear_all()
    assert len(zone.round()) == len(zone.round()) == 4


def test_nodes_of_other_zones_that_never_answer_are_left_alone():
    # Guards against statuses to every node of every zone: on a day with 76 nodes
    # they made up most of the bytes between zones.
    zone = Zone(3)
    zone.mesh.add_targets(f"127.0.1.{n}:1" for n in range(50))
    counts = []
    for _ in range(6):
        zone.hear_all()
        counts.append(len(zone.round()))
    assert counts == [54, 54, 54, 54, 4, 4]


def test_node_that_hears_nobody_goes_on():
    # Guards against a node that starts while its seeds are away.
    zone = Zone(0)
    zone.mesh.add_targets(["127.0.1.1:1", "127.0.1.2:1"])
    assert [len(zone.round()) for _ in range(9)] == [2] * 9


def test_relay_looks_for_other_zones_now_and_then():
    zone = Zone(3, is_relay=True)
    zone.mesh.add_targets(["127.0.1.1:1"])
    sent = 0
    for _ in range(40):
        zone.hear_all()
        sent += "127.0.1.1:1" in zone.round()
    assert sent == 4 + 2


def test_only_nodes_that_answer_are_named():
    zone = Zone(3)
    named: list[tuple[str, ...]] = []

    def own(serial, peers):
        named.append(peers)
        return status(1, serial=serial)

    zone.mesh._own = own
    zone.hear_all()
    zone.hear([7], zone="z2")
    zone.hear([8], zone="z2", relay=True)
    zone.round()
    assert "127.0.0.1:7" not in named[-1]
    assert "127.0.0.1:8" in named[-1]
