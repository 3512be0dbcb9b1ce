"""Entries that are removed while a node does not reach the store."""

import asyncio
import datetime

import msgspec
import pytest

from pomelolug.deployment import ServerRegistry
from pomelolug.entry._topic_consumers import RegistryUpdater
from pomelolug.feeds import Record
from pomelolug.ids import Offset, VmId
from pomelolug.testing import LoopClock

pytestmark = pytest.mark.looptime
VM = VmId("vm-1")
SHORTEST_LAPSE_S = 2.1
HOUSEKEEPING_S = 0.05


class Node:
    """Registry of a node and the age of what it has read from the store."""

    def __init__(self) -> None:
        self.registry = ServerRegistry(clock=LoopClock())
        self.updater = RegistryUpdater(
            registry=self.registry,
            shortest_lapse=datetime.timedelta(seconds=SHORTEST_LAPSE_S),
            on_change=lambda change: None,
        )
        entry = {"service": "s", "address": "10.0.0.1:1", "state": "ready"}
        self._apply(0, msgspec.json.encode(entry))

    @property
    def has_server(self) -> bool:
        return VM in self.registry.servers

    def remove_server(self) -> None:
        self._apply(1, None)

    async def lose_store_for(self, silence_s: float) -> None:
        age_s = 0.0
        while age_s < silence_s:
            self.updater.report_store_status(is_fresh=False, age_s=age_s)
            await asyncio.sleep(HOUSEKEEPING_S)
            age_s += HOUSEKEEPING_S

    def _apply(self, offset: int, value: bytes | None) -> None:
        self.updater.apply_records([Record(Offset(offset), VM, value)])


@pytest.mark.parametrize("silence_s", [0.05, 1.6, 2.0])
async def test_removal_read_after_a_short_silence_of_the_store_counts_at_once(
    silence_s,
):
    # Guards against a server that has left and is kept in use because the relay of the
    # zone, and not the store, was away for a moment.
    node = Node()
    await node.lose_store_for(silence_s)
    node.remove_server()
    assert not node.has_server
    assert node.registry.lapsed_count == 0


async def test_entry_that_can_have_lapsed_without_the_store_keeps_its_server():
    # Guards against servers that are given up because they could not renew their
    # entries.
    node = Node()
    await node.lose_store_for(2.3)
    node.remove_server()
    assert node.has_server and node.registry.lapsed_count == 1
    node.updater.report_store_status(is_fresh=True, age_s=0.0)
    await asyncio.sleep(1.9)
    node.updater.report_store_status(is_fresh=True, age_s=0.0)
    assert node.has_server
    await asyncio.sleep(0.2)
    node.updater.report_store_status(is_fresh=True, age_s=0.0)
    assert not node.has_server
