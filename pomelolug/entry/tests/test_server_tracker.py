"""Tests of the load and suspicions that nodes exchange through their statuses."""

import asyncio
import random

import pytest

from pomelolug.deployment import ServerRegistry
from pomelolug.entry.servers import (
    ColdServers,
    EvacuatedZones,
    RequestRateLimiter,
    ServerLimits,
    ServerNotices,
    ServerTracker,
)
from pomelolug.ids import NodeId, VmId, ZoneId
from pomelolug.messages import NodeStatus
from pomelolug.testing import LoopClock

pytestmark = pytest.mark.looptime
HEAD = VmId("head")


def make_tracker() -> ServerTracker:
    clock, zone = LoopClock(), ZoneId("a")
    limits = ServerLimits(zone=zone, clock=clock, on_news=lambda: None)
    cold_servers = ColdServers(
        zone=zone,
        clock=clock,
        accepted_factor=1.5,
        excess_requests=5.0,
        on_news=lambda: None,
    )
    rate_limiter = RequestRateLimiter(
        sources=(limits, cold_servers),
        node=NodeId("n"),
        zone=zone,
        zones=(),
        clock=clock,
        rng=random.Random(0),
    )
    notices = ServerNotices(
        limits=limits,
        cold_servers=cold_servers,
        rate_limiter=rate_limiter,
        evacuated_zones=EvacuatedZones(
            known_zones=(), clock=clock, on_change=lambda: None
        ),
        clock=clock,
        rng=random.Random(0),
        on_leaving=lambda: None,
    )
    return ServerTracker(
        registry=ServerRegistry(clock=clock), notices=notices, clock=clock
    )


def status(tracker: ServerTracker, zone: str, *, relay: bool, **changes) -> NodeStatus:
    return NodeStatus(
        node=zone,
        started_ms=1,
        serial=1,
        zone=zone,
        address="a",
        datagram=zone,
        declaration=1,
        relay=relay,
        load=tracker.own_loads(),
        zone_load=tracker.zone_loads() if relay else {},
        other_load=tracker.other_zone_loads() if relay else {},
        suspects=tracker.suspects(),
        zone_suspects=tracker.zone_suspects() if relay else (),
        other_suspects=tracker.other_zone_suspects() if relay else (),
        **changes,
    )


async def test_suspicion_ends_everywhere_when_its_origin_drops_it():
    # Guards against relays that echo each other's suspicions forever, so that a
    # repaired group gets no requests.
    relays = {zone: make_tracker() for zone in ("a", "b", "c")}
    zone_peer = make_tracker()
    zone_peer.suspect(HEAD)

    def exchange_statuses() -> None:
        statuses = [
            status(tracker, zone, relay=True) for zone, tracker in relays.items()
        ]
        for zone, tracker in relays.items():
            others = [s for s in statuses if s.zone != zone]
            same_zone = [status(zone_peer, "a", relay=False)] if zone == "a" else []
            tracker.apply_peer_statuses(others + same_zone, zone=ZoneId(zone))

    for _ in range(4):
        exchange_statuses()
    assert all(
        tracker.zone_suspects() or tracker.other_zone_suspects()
        for tracker in relays.values()
    )
    zone_peer.record_progress(HEAD)
    for _ in range(4):
        exchange_statuses()
    assert not any(
        tracker.zone_suspects() or tracker.other_zone_suspects()
        for tracker in relays.values()
    )


async def test_load_of_each_node_is_counted_once():
    # Guards against load that is counted once per path on which it is reported.
    relays = {zone: make_tracker() for zone in ("a", "b", "c")}
    for tracker in relays.values():
        tracker.load(HEAD).in_flight = 2
    zone_peer = make_tracker()
    zone_peer.load(HEAD).in_flight = 3
    for _ in range(4):
        statuses = [
            status(tracker, zone, relay=True) for zone, tracker in relays.items()
        ]
        for zone, tracker in relays.items():
            others = [s for s in statuses if s.zone != zone]
            same_zone = [status(zone_peer, "a", relay=False)] if zone == "a" else []
            tracker.apply_peer_statuses(others + same_zone, zone=ZoneId(zone))
        zone_peer.apply_peer_statuses([statuses[0]], zone=ZoneId("a"))
    assert {tracker.in_flight(HEAD) for tracker in [*relays.values(), zone_peer]} == {9}


async def test_suspicions_of_a_node_that_is_cut_off_are_ignored():
    # Guards against sound groups that get no requests because one node has lost its
    # links to all servers, and against suspicions that its zone reports no more.
    cut_off, sound, relay, other_relay = (make_tracker() for _ in range(4))
    cut_off.suspect(HEAD)
    cut_off_status = status(cut_off, "a", relay=False, reaches_servers=False)
    relay.apply_peer_statuses([cut_off_status], zone=ZoneId("a"))
    assert relay.zone_suspects() == ()
    other_relay.apply_peer_statuses([status(relay, "a", relay=True)], zone=ZoneId("b"))
    assert other_relay.other_zone_suspects() == ()
    sound.suspect(HEAD)
    relay.apply_peer_statuses(
        [cut_off_status, status(sound, "a", relay=False)], zone=ZoneId("a")
    )
    relay_status = status(relay, "a", relay=True, reaches_servers=False)
    other_relay.apply_peer_statuses([relay_status], zone=ZoneId("b"))
    assert other_relay.other_zone_suspects() == (HEAD,)


async def test_relay_that_is_cut_off_leaves_out_its_own_suspicions():
    # Guards against suspicions of a relay that go on as those of its zone.
    relay, peer, other = make_tracker(), make_tracker(), VmId("other")
    relay.suspect(HEAD)
    peer.suspect(other)
    relay.apply_peer_statuses([status(peer, "a", relay=False)], zone=ZoneId("a"))
    assert set(relay.zone_suspects()) == {HEAD, other}
    assert relay.zone_suspects(with_own=False) == (other,)


async def test_suspicions_since_the_trouble_began_are_taken_back():
    # Guards against groups that this node does not use after its links have returned,
    # and against a group that it uses although it stalled before.
    tracker, earlier = make_tracker(), VmId("earlier")
    tracker.suspect(earlier)
    await asyncio.sleep(1.0)
    tracker.suspect(HEAD)
    tracker.clear_suspicions(since_s=1.0)
    assert tracker.suspects() == (earlier,)
