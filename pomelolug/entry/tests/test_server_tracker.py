"""Tests of the load and suspicions that nodes exchange through their statuses."""

import random

import pytest

from pomelolug.deployment import ServerRegistry
from pomelolug.entry._rate_limiter import RequestRateLimiter
from pomelolug.entry._server_limits import ServerLimits
from pomelolug.entry._server_notices import ServerNotices
from pomelolug.entry._server_tracker import ServerTracker
from pomelolug.ids import NodeId, VmId, ZoneId
from pomelolug.messages import NodeStatus
from pomelolug.testing import LoopClock

pytestmark = pytest.mark.looptime
HEAD = VmId("head")


def make_tracker() -> ServerTracker:
    clock, zone = LoopClock(), ZoneId("a")
    rate_limiter = RequestRateLimiter(
        limits=ServerLimits(zone=zone, clock=clock, on_news=lambda: None),
        node=NodeId("n"),
        zone=zone,
        zones=(),
        clock=clock,
        rng=random.Random(0),
    )
    notices = ServerNotices(
        limits=rate_limiter.limits,
        rate_limiter=rate_limiter,
        clock=clock,
        rng=random.Random(0),
        on_leaving=lambda: None,
    )
    return ServerTracker(
        registry=ServerRegistry(clock=clock), notices=notices, clock=clock
    )


def status(tracker: ServerTracker, zone: str, *, relay: bool) -> NodeStatus:
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
