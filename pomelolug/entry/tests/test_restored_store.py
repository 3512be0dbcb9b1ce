"""The store comes back from an older copy, without what was written since."""

import asyncio
import datetime

import pytest

from pomelolug.clock import SystemClock
from pomelolug.entry.tests.crashing_servers import (
    CrashingServers,
    crash_until_stopped,
    send_crashing,
)
from pomelolug.entry.tests.harness import Harness, send_response
from pomelolug.feeds import SourceUnavailableError, StoreRestoredError, era_of
from pomelolug.ids import Offset
from pomelolug.platform import MetadataStore, StoreControllerElection
from pomelolug.replicas import ControllerLease
from pomelolug.testing import FakeMetadataStore

REWRITE_S = 1.0
"""Time after the return of the store at which servers write their entries again."""
KNOWN_S = 3.0
"""Time after which nodes know what was written to the restored store."""
TOPIC = "keyed.servers"


def make_client(store: FakeMetadataStore) -> MetadataStore:
    return MetadataStore(address=store.address, timeout=datetime.timedelta(seconds=1))


async def add_plain_server(h: Harness) -> str:
    async def script(request):
        send_response(request)

    return await h.add_server(script)


@pytest.mark.parametrize("rewritten", [0, 1, 5])
async def test_reader_notices_that_offsets_were_given_out_again(rewritten):
    # Guards against a reader that goes on at its offset and misses what was written
    # below it, whether or not the store has reached that offset again.
    store = FakeMetadataStore()
    await store.start()
    client = make_client(store)
    store.put(TOPIC, "a", b"1")
    copy = store.copy()
    store.put(TOPIC, "a", b"2")
    store.put(TOPIC, "b", b"2")
    before = await client.read_newest(TOPIC)
    store.restore(copy)
    for number in range(rewritten):
        store.put(TOPIC, f"c{number}", b"3")
    with pytest.raises(SourceUnavailableError):
        # The restoration has closed the connection.
        await client.read(TOPIC, before.end, wait=datetime.timedelta(0))
    with pytest.raises(StoreRestoredError):
        await client.read(TOPIC, before.end, wait=datetime.timedelta(0))
    after = await client.read_newest(TOPIC)
    assert {r.key for r in after.records} == {"a"} | {f"c{k}" for k in range(rewritten)}
    assert after.end > before.end
    assert era_of(after.end) > era_of(before.end)
    assert min(r.offset for r in after.records) > max(r.offset for r in before.records)
    client.close()
    await store.stop()


async def test_store_without_eras_is_read_as_before():
    # Guards against a store that names no era in its responses.
    store = FakeMetadataStore()
    store.names_era = False
    await store.start()
    client = make_client(store)
    store.put(TOPIC, "a", b"1")
    batch = await client.read_newest(TOPIC)
    assert (batch.end, era_of(batch.end)) == (Offset(1), 0)
    client.close()
    await store.stop()


async def test_fencing_tokens_grow_when_generations_are_given_out_again():
    # Guards against an active controller whose orders are refused, because its tokens
    # are lower than those that servers have seen.
    store = FakeMetadataStore()
    await store.start()
    client = make_client(store)
    leases = [
        ControllerLease(
            election=StoreControllerElection(
                store=client,
                member=name,
                lease_duration=datetime.timedelta(seconds=1),
            ),
            clock=SystemClock(),
            duration=datetime.timedelta(seconds=1),
        )
        for name in ("a", "b")
    ]
    copy = store.copy()
    for _ in range(3):
        await leases[0]._renew()
        await leases[0]._release()
    await leases[0]._renew()
    token = leases[0].next_epoch()
    store.restore(copy)
    for _ in range(2):
        # The restoration has closed the connection, so the first call fails.
        await leases[1]._renew()
    assert leases[1].is_held
    assert leases[1].fencing_token > token
    # Exact in a server that decodes numbers as double-precision floats.
    assert leases[1].fencing_token < 2**53
    client.close()
    await store.stop()


async def test_nodes_follow_the_servers_after_the_store_was_restored():
    # Guards against nodes that ignore entries with lower offsets than they have seen,
    # and against live servers that are dropped until they write again.
    async with Harness() as h, Harness(joins=h) as reader:
        names = [await add_plain_server(h) for _ in range(2)]
        await h.start()
        await reader.start(seeds=(f"{h.ip}:8003",))
        copy = h.store.copy()
        for born in range(2, 12):
            # Most of these records are lost.
            h.publish_server(names[0], h.servers[0].address, born=born)
        late = await add_plain_server(h)
        await asyncio.sleep(KNOWN_S)
        entries = h.store.newest(TOPIC)
        h.store.restore(copy)
        served = 0
        for number in range(10):
            for node in (h, reader):
                head, _ = await node.request("/safe/x", request_id=f"r{number}")
                served += head.status == 200
            assert late in node.entry._registry.servers
            await asyncio.sleep(REWRITE_S / 10)
        assert served == 20
        for name, value in entries.items():
            h.store.put(TOPIC, name, value)
        h.publish_server(names[1], h.servers[1].address, born=7)
        h.store.put(TOPIC, names[0], b"")
        await asyncio.sleep(KNOWN_S)
        for node in (h, reader):
            servers = node.entry._registry.servers
            assert set(servers) == {names[1], late}
            assert servers[names[1]].start_time_ms == 7


async def test_nodes_register_again_in_a_restored_store():
    # Guards against nodes that others, which start later, do not find.
    async with Harness() as h, Harness(joins=h) as other:
        copy = h.store.copy()
        await add_plain_server(h)
        await h.start()
        await other.start(seeds=(f"{h.ip}:8003",))
        await asyncio.sleep(1.0)
        nodes = h.store.newest("keyed.nodes")
        assert len(nodes) == 2
        h.store.restore(copy)
        assert not h.store.newest("keyed.nodes")
        await asyncio.sleep(KNOWN_S)
        assert h.store.newest("keyed.nodes") == nodes


async def test_losses_of_a_crashing_request_survive_the_loss_of_their_records():
    # Guards against losses that a restored store has forgotten and that are then taken
    # for cleared, or are known only until the nodes are restarted.
    async with Harness() as h, Harness(joins=h) as restarted:
        servers = CrashingServers(h, "once", "reset")
        await servers.add(6)
        await h.start()
        copy = h.store.copy()
        await crash_until_stopped(h, servers)
        await asyncio.sleep(KNOWN_S)
        assert len(h.store.newest("keyed.losses")) == 3
        entries = h.store.newest(TOPIC)
        declaration = h.store.newest("keyed.op")
        h.store.restore(copy)
        for name, value in entries.items():
            h.store.put(TOPIC, name, value)
        h.store.put("keyed.op", "config", declaration["config"])
        await asyncio.sleep(KNOWN_S + 2.0)
        assert await send_crashing(h, servers, "again") == 503
        assert len(h.store.newest("keyed.losses")) == 3
        await h.kill()
        await restarted.start()
        await asyncio.sleep(KNOWN_S)
        crashed_before = len(servers.runs)
        assert await send_crashing(restarted, servers, "late") == 503
        assert len(servers.runs) == crashed_before
