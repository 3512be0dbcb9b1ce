"""Tests of the decision to become a candidate for the controller lease."""

import asyncio
import time
from collections.abc import Callable

import pytest

from pomelolug.entry.peers import (
    is_lease_held_by_peer,
    is_longest_running_relay,
)
from pomelolug.entry.tests.harness import Harness, send_response
from pomelolug.ids import VmId, ZoneId
from pomelolug.messages import NodeStatus, encode

JOIN_PATH = "/-/log-join"


def status(*, zone: str = "z1", serial: int = 1, **changes) -> NodeStatus:
    return NodeStatus(
        node="peer",
        started_ms=time.time_ns() // 1_000_000 + 60_000,
        serial=serial,
        zone=zone,
        address="",
        datagram="127.0.0.1:9",
        declaration=-1,
        **changes,
    )


def test_lease_is_reported_by_zone_nodes_and_relays_of_other_zones():
    zone = ZoneId("z1")
    assert not is_lease_held_by_peer([status(), status(zone="z2")], zone=zone)
    assert is_lease_held_by_peer([status(duty=True)], zone=zone)
    assert is_lease_held_by_peer(
        [status(zone="z2", relay=True, zone_duty=True)], zone=zone
    )
    # Guards against two relays of one zone that report a lost holder forever by
    # repeating each other.
    assert not is_lease_held_by_peer([status(relay=True, zone_duty=True)], zone=zone)


def test_longest_running_relay_claims_the_lease():
    # Guards against relays that become candidates at the same time after all nodes
    # have lost power.
    relay = status(relay=True)
    assert is_longest_running_relay((relay.started_ms - 1, "n1"), [relay])
    assert not is_longest_running_relay((relay.started_ms + 1, "n1"), [relay])
    ineligible = [status(relay=True, store=False), status(relay=True, stopping=True)]
    assert is_longest_running_relay(
        (relay.started_ms + 1, "n1"), [status(), *ineligible]
    )


async def test_relay_is_a_candidate_only_when_no_peer_holds_the_lease():
    # Guards against a lease that moves whenever the relay role does: each successor
    # has to wait for the servers that its predecessor has freed.
    async with Harness() as harness:
        await harness.start()
        loop = asyncio.get_running_loop()
        assert harness.entry is not None
        sender, _ = await loop.create_datagram_endpoint(
            asyncio.DatagramProtocol, remote_addr=(harness.ip, 8004)
        )
        for serial in range(1, 16):
            sender.sendto(encode(status(serial=serial, duty=True)))
            await asyncio.sleep(0.15)
        assert JOIN_PATH not in harness.store.requested_paths
        sender.sendto(encode(status(serial=99)))
        async with asyncio.timeout(3.0):
            while JOIN_PATH not in harness.store.requested_paths:  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        sender.close()


def test_relay_that_is_cut_off_from_the_servers_does_not_claim_the_lease():
    # Guards against a free lease that all relays leave to one that gives no orders.
    relay = status(relay=True, reaches_servers=False)
    assert is_longest_running_relay((relay.started_ms + 1, "n1"), [relay])


async def wait_until(condition: Callable[[], bool], *, within_s: float = 5.0) -> None:
    async with asyncio.timeout(within_s):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.05)


def cut_off(harness: Harness) -> None:
    """Let a node take itself for cut off; its probes would open otherwise."""
    assert harness.entry is not None
    contact = harness.entry._server_contact
    contact._is_cut_off = True
    contact._probe = lambda server: asyncio.sleep(0, result=False)


@pytest.mark.parametrize("zones", [("z1", "z1"), ("z1", "z2")])
async def test_lease_moves_from_a_node_that_is_cut_off_from_the_servers(zones):
    # Guards against groups that are not repaired, since no order of the active
    # controller arrives, also if it is the only relay.
    async with Harness() as first, Harness(joins=first) as second:
        await first.add_server(send_response)
        await first.start(zone=zones[0])
        assert first.entry is not None
        await wait_until(lambda: first.entry._lease.is_held)
        await second.start(zone=zones[1], seeds=(f"{first.ip}:8003",))
        assert second.entry is not None
        await wait_until(lambda: first.entry._peer_coordinator.live_peers)
        await asyncio.sleep(1.5)
        assert first.entry._lease.is_held
        cut_off(first)
        await wait_until(lambda: second.entry._lease.is_held)
        assert not first.entry._lease.is_held


async def test_node_that_is_cut_off_alone_keeps_the_lease():
    # Guards against a fleet without an active controller when all servers end at once.
    async with Harness() as h:
        await h.add_server(send_response)
        await h.start()
        assert h.entry is not None
        await wait_until(lambda: h.entry._lease.is_held)
        cut_off(h)
        await asyncio.sleep(2.0)
        assert h.entry._lease.is_held


async def test_suspicions_of_a_node_that_is_cut_off_cause_no_probes():
    # Guards against groups that are taken apart because one node has lost its links.
    async with Harness() as h:
        await h.start()
        assert h.entry is not None
        coordinator, suspected = h.entry._peer_coordinator, []
        coordinator._on_suspect = suspected.append
        cut = status(
            reaches_servers=False, relay=True, suspects=("a",), zone_suspects=("b",)
        )
        coordinator._on_status(cut)
        assert suspected == ["b"]
        h.entry._server_tracker.suspect(VmId("c"))
        assert coordinator._build_status(1, ()).zone_suspects == ("c",)
        cut_off(h)
        own = coordinator._build_status(2, ())
        assert not own.reaches_servers
        assert own.suspects == own.zone_suspects == own.exits == ()
