"""Nodes of one zone while a declaration of thousands of routes changes often."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator

import pytest

from pomelolug.entry.tests.harness import API_KEY, Harness, declaration, route

ROUTES = 2500
IN_FORCE_S = 3.0
"""Time after which a version is in force on a node that reaches the store."""
CHANGE_INTERVAL_S = 0.4
SETTLED_S = 1.5
"""Time in which nodes find each other and wait for records."""


def large_declaration(version: int, *, routes: int = ROUTES, key: str = API_KEY):
    """Return a version of which one route and the API key differ from the others."""
    added = [
        route(f"r{n}", f"/some/long/path/to/tell/routes/apart/{n}/", "safe", "plain")
        for n in range(routes)
    ]
    added[version % routes]["timeout_ms"] = 1000
    value = declaration(
        version, tenants=[{"name": "account-a", "api_keys": [API_KEY, key]}]
    )
    return value | {"routes": value["routes"] + added}


async def wait_for_version(node: Harness, version: int, *, within_s: float) -> None:
    assert node.entry is not None
    async with asyncio.timeout(within_s):
        while node.entry._declarations.version < version:  # noqa: ASYNC110
            await asyncio.sleep(0.02)


@contextlib.asynccontextmanager
async def start_zone() -> AsyncIterator[tuple[Harness, Harness]]:
    """Start a relay and a node that reads from it."""
    async with Harness() as relay, Harness(joins=relay) as reader:
        await relay.start()
        await asyncio.sleep(0.2)
        await reader.start(seeds=(f"{relay.ip}:8003",))
        await asyncio.sleep(SETTLED_S)
        assert reader.entry is not None and not reader.entry._peer_coordinator.is_relay
        yield relay, reader


async def test_reader_stays_with_its_relay_through_growth_and_fast_changes():
    # Guards against a declaration above the limit of a message that each node of a
    # zone reads from the store, at each change, with all other topics.
    async with start_zone() as (relay, reader):
        assert reader.entry is not None
        sources = set()
        for version in range(2, 8):
            relay.publish_declaration(large_declaration(version))
            started_s = time.monotonic()
            await wait_for_version(reader, version, within_s=IN_FORCE_S)
            sources |= {feed._source_name for feed in reader.entry._feeds.values()}
            pause_s = CHANGE_INTERVAL_S - (time.monotonic() - started_s)
            await asyncio.sleep(max(pause_s, 0.0))
        assert sources == {f"relay {relay.ip}:8003"}
        assert reader.entry._declarations.encoded == relay.entry._declarations.encoded


async def test_declaration_that_shrinks_again_takes_effect_at_the_reader():
    # Guards against a difference that leaves withdrawn routes or keys in force.
    async with start_zone() as (relay, reader):
        relay.publish_declaration(large_declaration(2, key="withdrawn"))
        await wait_for_version(reader, 2, within_s=IN_FORCE_S)
        relay.publish_declaration(large_declaration(3, routes=5))
        await wait_for_version(reader, 3, within_s=IN_FORCE_S)
        head, _ = await reader.request("/safe/x", key="withdrawn")
        assert head.status == 401


@pytest.mark.parametrize("delay_s", [0.0, 0.05, 0.2])
async def test_version_is_in_force_in_time_although_its_relay_is_killed(delay_s):
    # Guards against a reader that waits too long for the rest of a large record from a
    # relay that is gone.
    async with start_zone() as (relay, reader):
        relay.publish_declaration(large_declaration(2))
        await wait_for_version(reader, 2, within_s=IN_FORCE_S)
        relay.publish_declaration(large_declaration(3))
        await asyncio.sleep(delay_s)
        await relay.kill()
        await wait_for_version(reader, 3, within_s=IN_FORCE_S)
