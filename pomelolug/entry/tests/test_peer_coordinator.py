"""Tests of the decision to become a candidate for the controller lease."""

import asyncio
import time

from pomelolug.entry._peer_coordinator import (
    is_lease_held_by_peer,
    is_longest_running_relay,
)
from pomelolug.entry.tests.harness import Harness
from pomelolug.ids import ZoneId
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
