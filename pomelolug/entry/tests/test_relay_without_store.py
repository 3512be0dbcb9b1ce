"""Servers that leave while the relay of a zone has silently lost the store."""

import asyncio
import contextlib
import dataclasses
import time
from collections.abc import AsyncIterator

import pytest

from pomelolug.entry.tests.harness import API_KEY, Harness, declaration
from pomelolug.entry.tests.stating_server import KINDS, StatingServer, send, send_for
from pomelolug.testing import LinkFault, LoopbackProxy

LEAVING_S = 2.0
"""Time after which a server that leaves gets no new requests from a node that reaches
the store."""
IN_FORCE_S = 2.0
"""Time after which a declaration is in force on a node that reaches the store."""
SETTLED_S = 1.5
"""Time in which nodes find each other and wait for records."""


@dataclasses.dataclass
class Zone:
    """A relay, whose link to the store can be silenced, and a node that reads from it.

    Two servers run beside them; `leaving` is about to leave.
    """

    relay: Harness
    reader: Harness
    link: LoopbackProxy
    leaving: StatingServer
    other: StatingServer


@contextlib.asynccontextmanager
async def start_zone(kind: str) -> AsyncIterator[Zone]:
    async with Harness() as relay, Harness(joins=relay) as reader:
        leaving, other = StatingServer(kind), StatingServer(kind)
        await leaving.add_to(relay)
        await other.add_to(relay)
        link = LoopbackProxy(f"{relay.ip}:7000", relay.store.address)
        await link.start()
        await relay.start(store_address=link.address)
        await asyncio.sleep(0.2)
        await reader.start(seeds=(f"{relay.ip}:8003",))
        await asyncio.sleep(SETTLED_S)
        assert relay.entry is not None and relay.entry._peer_coordinator.is_relay
        assert reader.entry is not None and not reader.entry._peer_coordinator.is_relay
        yield Zone(relay, reader, link, leaving, other)
        link.stop()


def withdraw(zone: Zone, how: str) -> None:
    """Remove the entry of the server that leaves, or write that it leaves."""
    if how == "removed":
        zone.relay.store.put("keyed.servers", zone.leaving.name, b"")
    else:
        zone.leaving.publish(zone.relay, state="draining")


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("how", ["removed", "draining"])
@pytest.mark.parametrize("silent_s", [0.1, 1.0])
async def test_server_that_leaves_gets_no_requests_through_a_relay_without_store(
    kind, how, silent_s
):
    # Guards against nodes that take what a relay has for current although it has lost
    # the store, and against nodes that keep a removed server because of it.
    async with start_zone(kind) as zone:
        await send(zone.reader, kind, "first")
        zone.link.fault = LinkFault.SILENT
        await asyncio.sleep(silent_s)
        withdraw(zone, how)
        withdrawn_s = time.monotonic()
        answers = await send_for(5.0, kind, zone.reader)
        assert zone.leaving.count_after(withdrawn_s + LEAVING_S) == 0
        assert {answer.status for answer in answers} == {200}


@pytest.mark.parametrize("settled_s", [1.5, 1.7, 1.9, 2.1])
async def test_withdrawn_key_is_refused_behind_a_relay_without_store(settled_s):
    # Guards against a declaration that comes into force late because the relay, which
    # hears from no other zone either, waits for the store.
    async with start_zone("safe") as zone:
        accounts = [{"name": "account-a", "api_keys": [API_KEY]}]
        zone.relay.publish_declaration(
            declaration(2, tenants=[{"name": "account-a", "api_keys": [API_KEY, "k"]}])
        )
        await asyncio.sleep(settled_s)
        head, _ = await zone.reader.request("/safe/x", key="k")
        assert head.status == 200
        zone.link.fault = LinkFault.SILENT
        await asyncio.sleep(0.02)
        zone.relay.publish_declaration(declaration(3, tenants=accounts))
        await asyncio.sleep(IN_FORCE_S)
        head, _ = await zone.reader.request("/safe/x", key="k")
        assert head.status == 401


async def test_relay_that_lost_the_store_takes_its_role_back_only_with_the_store():
    # Guards against a node that takes the records of the new relay for those of the
    # store, becomes the relay again, and loses the role with its next read.
    async with start_zone("safe") as zone:
        assert zone.relay.entry is not None and zone.reader.entry is not None
        old, new = (n.entry._peer_coordinator for n in (zone.relay, zone.reader))
        zone.link.fault = LinkFault.SILENT
        async with asyncio.timeout(5.0):
            while old.is_relay or not new.is_relay:  # noqa: ASYNC110
                await asyncio.sleep(0.02)
        until_s = time.monotonic() + 5.0
        while time.monotonic() < until_s:
            assert new.is_relay and not old.is_relay
            await asyncio.sleep(0.02)
        zone.link.fault = LinkFault.NONE
        zone.link.reset()
        async with asyncio.timeout(5.0):
            while new.is_relay or not old.is_relay:  # noqa: ASYNC110
                await asyncio.sleep(0.02)
