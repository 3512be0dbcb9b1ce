"""Load and suspicions that nodes tell each other."""

import pytest

from pomelolug.deployment import ServerRegistry
from pomelolug.entry._board import ServerBoard
from pomelolug.ids import VmId, ZoneId
from pomelolug.messages import NodeStatus
from pomelolug.testing import LoopClock

pytestmark = pytest.mark.looptime
HEAD = VmId("head")


def board() -> ServerBoard:
    return ServerBoard(registry=ServerRegistry(clock=LoopClock()), clock=LoopClock())


def status(of: ServerBoard, zone: str, *, relay: bool) -> NodeStatus:
    return NodeStatus(
        node=zone,
        started_ms=1,
        serial=1,
        zone=zone,
        address="a",
        datagram=zone,
        declaration=1,
        relay=relay,
        load=of.own_loads(),
        zone_load=of.zone_loads() if relay else {},
        other_load=of.other_loads() if relay else {},
        suspects=of.suspects(),
        zone_suspects=of.zone_suspects() if relay else (),
        other_suspects=of.other_suspects() if relay else (),
    )


async def test_suspicion_ends_everywhere_when_its_node_drops_it():
    # Guards against relays that repeat each other's suspicions without end, so
    # that a repaired group gets no requests.
    relays = {zone: board() for zone in ("a", "b", "c")}
    member = board()
    member.suspect(HEAD)

    def round_of_messages() -> None:
        statuses = [status(b, zone, relay=True) for zone, b in relays.items()]
        for zone, b in relays.items():
            others = [s for s in statuses if s.zone != zone]
            own_zone = [status(member, "a", relay=False)] if zone == "a" else []
            b.take_peers(others + own_zone, zone=ZoneId(zone))

    for _ in range(4):
        round_of_messages()
    assert all(b.zone_suspects() or b.other_suspects() for b in relays.values())
    member.progressed(HEAD)
    for _ in range(4):
        round_of_messages()
    assert not any(b.zone_suspects() or b.other_suspects() for b in relays.values())


async def test_load_of_each_node_counts_once():
    # Guards against load that is counted again on each way it takes.
    relays = {zone: board() for zone in ("a", "b", "c")}
    for b in relays.values():
        b.load(HEAD).in_flight = 2
    member = board()
    member.load(HEAD).in_flight = 3
    for _ in range(4):
        statuses = [status(b, zone, relay=True) for zone, b in relays.items()]
        for zone, b in relays.items():
            others = [s for s in statuses if s.zone != zone]
            own_zone = [status(member, "a", relay=False)] if zone == "a" else []
            b.take_peers(others + own_zone, zone=ZoneId(zone))
        member.take_peers([statuses[0]], zone=ZoneId("a"))
    assert {b.in_flight(HEAD) for b in [*relays.values(), member]} == {9}
