"""Tests of the load and suspicions that nodes exchange through their statuses."""

import asyncio
import dataclasses
import random
from collections.abc import Callable

import msgspec
import pytest

from pomelolug.deployment import (
    BackendServer,
    GroupMembership,
    GroupState,
    ServerRegistry,
)
from pomelolug.entry.servers import (
    ColdServers,
    EvacuatedZones,
    RequestRateLimiter,
    ServerLimits,
    ServerNotices,
    ServerTracker,
)
from pomelolug.entry.tests.backend import make_backend_server
from pomelolug.ids import (
    DomainId,
    GroupId,
    ModelName,
    NodeId,
    Offset,
    ServiceName,
    VmId,
    ZoneId,
)
from pomelolug.messages import NodeStatus
from pomelolug.testing import LoopClock

pytestmark = pytest.mark.looptime
HEAD = VmId("head")
MODEL = ModelName("m")
SERVICE = make_backend_server().service
OTHER_SERVICE = ServiceName("other")


def make_tracker(
    was_cut_off_since: Callable[[float], bool] = lambda time_s: False,
) -> ServerTracker:
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
        registry=ServerRegistry(clock=clock),
        notices=notices,
        was_cut_off_since=was_cut_off_since,
        clock=clock,
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


async def test_what_a_node_sees_over_lost_links_is_no_evidence():
    # Guards against attempts that began over lost links and fail after the node has
    # noticed it, or after the links have returned, and then count against servers.
    returned_at_s = 2.0
    tracker = make_tracker(was_cut_off_since=lambda time_s: time_s <= returned_at_s)
    await asyncio.sleep(1.0)
    tracker.suspect(HEAD)
    tracker.suspect(HEAD, since_s=0.5)
    tracker.record_failure(HEAD, since_s=0.5)
    await asyncio.sleep(2.0)
    tracker.suspect(HEAD, since_s=1.9)
    tracker.record_failure(HEAD, since_s=1.9)
    assert tracker.suspects() == ()
    assert tracker.failure_score(HEAD) == 0.0
    tracker.suspect(HEAD, since_s=2.1)
    tracker.record_failure(HEAD, since_s=2.1)
    assert tracker.suspects() == (HEAD,)
    assert tracker.failure_score(HEAD) == 1.0


async def test_failures_since_the_trouble_began_are_taken_back():
    # Guards against servers that this node prefers after its links have returned only
    # because it had sent them nothing over the lost links.
    tracker, earlier = make_tracker(), VmId("earlier")
    tracker.record_failure(earlier)
    await asyncio.sleep(1.0)
    tracker.record_failure(HEAD)
    tracker.clear_failures(since_s=1.0)
    assert tracker.failure_score(HEAD) == 0.0
    assert tracker.failure_score(earlier) > 0.0


def list_server(tracker: ServerTracker, *, born: int, offset: int, **changes) -> None:
    server = dataclasses.replace(
        make_backend_server(), vm=HEAD, start_time_ms=born, **changes
    )
    tracker._registry.apply([(HEAD, Offset(offset), server)])
    tracker.refresh({(SERVICE, MODEL): 2})


async def test_load_and_outcomes_end_with_a_start_of_the_server():
    # Guards against a server that has started again and gets fewer requests, or none,
    # for what was seen of it before.
    tracker = make_tracker()
    list_server(tracker, born=1, offset=1)
    before = tracker.load(HEAD)
    before.in_flight += 3
    tracker.suspect(HEAD)
    tracker.record_refusal(HEAD)
    tracker.record_failure(HEAD)
    peer = status(make_tracker(), "a", relay=False)
    peer = msgspec.structs.replace(peer, load={HEAD: 5}, suspects=(HEAD,))
    tracker.apply_peer_statuses([peer], zone=ZoneId("a"))
    assert tracker.in_flight(HEAD) == 8
    list_server(tracker, born=2, offset=2)
    assert tracker.in_flight(HEAD) == 0
    assert tracker.failure_score(HEAD) == 0.0
    assert tracker.own_loads() == {}
    assert tracker.suspects() == ()
    # A request of before ends now.
    before.in_flight -= 1
    assert tracker.in_flight(HEAD) == 0


async def test_load_since_a_reported_start_stays_when_the_entry_shows_it():
    # Guards against a server whose load of before counts until its entry changes, and
    # against requests since its start that are forgotten when the entry does.
    tracker = make_tracker()
    list_server(tracker, born=1, offset=1)
    tracker.load(HEAD).in_flight += 3
    tracker.suspect(HEAD)
    tracker.record_restart(HEAD, 2)
    assert tracker.in_flight(HEAD) == 0
    assert tracker.suspects() == ()
    tracker.load(HEAD).in_flight += 1
    list_server(tracker, born=1, offset=2, slots=7)
    assert tracker.in_flight(HEAD) == 1
    list_server(tracker, born=2, offset=3)
    assert tracker.in_flight(HEAD) == 1
    list_server(tracker, born=3, offset=4)
    assert tracker.in_flight(HEAD) == 0


async def test_load_stays_while_the_entry_of_a_server_changes():
    # Guards against counts that are lost with each change of an entry.
    tracker = make_tracker()
    tracker.load(HEAD).in_flight += 1
    list_server(tracker, born=1, offset=1)
    list_server(tracker, born=1, offset=2, slots=7)
    assert tracker.in_flight(HEAD) == 1


async def test_group_that_a_restarted_head_lists_again_has_to_become_complete():
    # Guards against requests at a group whose members are not ready since its head has
    # started again under the same name and epoch.
    tracker = make_tracker()
    open_group = {"model": MODEL, "domain": DomainId("d")}
    membership = GroupMembership(GroupId("g"), 1, 0, GroupState.OPEN)
    other = dataclasses.replace(
        make_backend_server(),
        vm=VmId("member"),
        membership=dataclasses.replace(membership, rank=1, state=GroupState.READY),
        **open_group,
    )
    tracker._registry.apply([(other.vm, Offset(0), other)])
    list_server(tracker, born=1, offset=1, membership=membership, **open_group)
    assert [head.vm for head in tracker.heads(SERVICE, MODEL)] == [HEAD]
    joining = dataclasses.replace(other.membership, state=GroupState.JOINING)
    other = dataclasses.replace(other, membership=joining)
    tracker._registry.apply([(other.vm, Offset(2), other)])
    list_server(tracker, born=2, offset=3, membership=membership, **open_group)
    assert tracker.heads(SERVICE, MODEL) == []


def make_member(vm: str, rank: int, **changes) -> BackendServer:
    state = GroupState.READY if rank else GroupState.OPEN
    membership = GroupMembership(GroupId("g"), 1, rank, state)
    return dataclasses.replace(
        make_backend_server(),
        **{"vm": VmId(vm), "model": MODEL, "membership": membership} | changes,
    )


def apply_members(tracker: ServerTracker, *members: BackendServer) -> None:
    tracker._registry.apply([(m.vm, Offset(n), m) for n, m in enumerate(members)])
    tracker.refresh({(SERVICE, MODEL): 2, (OTHER_SERVICE, MODEL): 1})


async def test_services_with_the_same_model_have_their_own_heads():
    # Guards against requests for one service that run at another one.
    tracker = make_tracker()
    group = GroupMembership(GroupId("h"), 1, 0, GroupState.OPEN)
    apply_members(
        tracker,
        make_member("head", 0),
        make_member("member", 1),
        make_member("other", 0, service=OTHER_SERVICE, membership=group),
    )
    assert [h.vm for h in tracker.heads(SERVICE, MODEL)] == ["head"]
    assert [h.vm for h in tracker.heads(OTHER_SERVICE, MODEL)] == ["other"]
    assert tracker.heads(ServiceName("unknown"), MODEL) == []


@pytest.mark.parametrize("rank", [0, 1])
async def test_entry_of_another_service_takes_no_place_in_a_group(rank):
    # Guards against an entry of another writer that replaces the head of a group, or
    # completes one that lacks a member.
    tracker = make_tracker()
    foreign = make_member("foreign", rank, service=OTHER_SERVICE)
    apply_members(tracker, make_member("head", 0), make_member("member", 1), foreign)
    assert [h.vm for h in tracker.heads(SERVICE, MODEL)] == ["head"]
    incomplete = make_tracker()
    apply_members(incomplete, make_member("head", 0), foreign)
    assert incomplete.heads(SERVICE, MODEL) == []
