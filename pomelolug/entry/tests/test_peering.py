"""What a node makes of the statuses of its peers."""

import asyncio
import time

from pomelolug.entry._peering import duty_claimed, goes_first
from pomelolug.entry.tests.harness import Harness
from pomelolug.ids import ZoneId
from pomelolug.messages import NodeStatus, encode

JOIN = "/-/log-join"


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


def test_claims_count_from_the_zone_and_from_relays_of_others():
    zone = ZoneId("z1")
    assert not duty_claimed([status(), status(zone="z2")], zone=zone)
    assert duty_claimed([status(duty=True)], zone=zone)
    assert duty_claimed([status(zone="z2", relay=True, zone_duty=True)], zone=zone)
    # Two relays of one zone must not keep the claim of a lost node alive.
    assert not duty_claimed([status(relay=True, zone_duty=True)], zone=zone)


def test_relay_that_has_run_longest_goes_first():
    # Guards against relays that stand together after all nodes had lost power.
    relay = status(relay=True)
    assert goes_first((relay.started_ms - 1, "n1"), [relay])
    assert not goes_first((relay.started_ms + 1, "n1"), [relay])
    able = [status(relay=True, store=False), status(relay=True, stopping=True)]
    assert goes_first((relay.started_ms + 1, "n1"), [status(), *able])


async def test_relay_stands_for_the_duty_only_when_no_peer_holds_it():
    # Guards against a duty that moves whenever the role of a relay does: each
    # successor waits for the servers that its predecessor had freed.
    async with Harness() as world:
        await world.start()
        loop = asyncio.get_running_loop()
        assert world.entry is not None
        sender, _ = await loop.create_datagram_endpoint(
            asyncio.DatagramProtocol, remote_addr=(world.ip, 8004)
        )
        for serial in range(1, 16):
            sender.sendto(encode(status(serial=serial, duty=True)))
            await asyncio.sleep(0.15)
        assert JOIN not in world.store.calls
        sender.sendto(encode(status(serial=99)))
        async with asyncio.timeout(3.0):
            while JOIN not in world.store.calls:  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        sender.close()
