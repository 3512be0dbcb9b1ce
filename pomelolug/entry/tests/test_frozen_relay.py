"""Servers that leave while the process of the zone's relay stands still."""

import asyncio
import signal
import time

import pytest

from pomelolug.entry.tests.harness import Harness, ProcessNode
from pomelolug.entry.tests.stating_server import StatingServer, send_for

LEAVING_S = 2.0
"""Time after which a server that has left gets no new requests."""
READER_COUNT = 5


@pytest.mark.parametrize("frozen_s", [0.8, 2.5])
@pytest.mark.parametrize("settled_s", [1.5, 1.8, 2.1])
async def test_removed_server_gets_no_requests_behind_a_frozen_relay(
    settled_s, frozen_s, tmp_path
):
    # Guards against a node that takes the removal of a server for an entry that has
    # lapsed, since it has heard nothing of the store through a relay that stood still.
    async with Harness() as h:
        leaving, other = StatingServer("safe"), StatingServer("safe")
        await leaving.add_to(h)
        await other.add_to(h)
        relay = ProcessNode(h, tmp_path)
        readers = [h, *(Harness(joins=h) for _ in range(READER_COUNT - 1))]
        try:
            await relay.start()
            for reader in readers:
                await reader.start(seeds=(f"{relay.ip}:8003",))
                # The readers read at different times.
                await asyncio.sleep(0.17)
            await asyncio.sleep(settled_s)
            assert not any(r.entry._peer_coordinator.is_relay for r in readers)
            relay.signal(signal.SIGSTOP)
            await asyncio.sleep(0.05)
            h.store.put("keyed.servers", leaving.name, b"")
            removed_s = time.monotonic()
            thaw = asyncio.get_running_loop().call_later(
                frozen_s, relay.signal, signal.SIGCONT
            )
            answers = await send_for(4.5, "safe", *readers)
            thaw.cancel()
            assert leaving.count_after(removed_s + LEAVING_S) == 0
            assert {answer.status for answer in answers} == {200}
        finally:
            for reader in readers[1:]:
                await reader.kill()
            await relay.kill()
