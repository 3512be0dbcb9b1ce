"""Losses that are written to the store and read from it."""

import asyncio
import contextlib

import pytest

from pomelolug.entry.losses import LossPublisher, PoisonRequestDetector
from pomelolug.errors import ErrorCode
from pomelolug.feeds import Record, SourceUnavailableError
from pomelolug.ids import Offset
from pomelolug.testing import LoopClock


class MemoryStore:
    """Keeps the appended values; what it stores is read back by `Node.read`."""

    def __init__(self) -> None:
        self.values: dict[str, bytes] = {}
        self.records: list[Record] = []
        self.call_count = 0
        self.is_away = False

    async def append_all(self, topic, values) -> None:
        if self.is_away:
            raise SourceUnavailableError(ErrorCode.PLATFORM_UNAVAILABLE, "away")
        self.call_count += 1
        for key, value in values.items():
            self.values[key] = value
            self.records.append(Record(Offset(len(self.records)), key, value or None))


class Node:
    def __init__(self, store: MemoryStore, *, is_relay: bool = True) -> None:
        self.detector = PoisonRequestDetector(clock=LoopClock())
        self.publisher = LossPublisher(
            detector=self.detector,
            store=store,  # type: ignore[arg-type]
            clock=LoopClock(),
            is_relay=lambda: is_relay,
        )
        self._store = store
        self._read_count = 0

    def read(self) -> None:
        records = self._store.records[self._read_count :]
        self._read_count = len(self._store.records)
        self.publisher.apply_records(records)

    async def run(self) -> None:
        task = asyncio.create_task(self.publisher.run())
        try:
            while True:
                await asyncio.sleep(0.1)
                self.read()
        finally:
            task.cancel()


@contextlib.asynccontextmanager
async def running(*nodes: Node):
    tasks = [asyncio.create_task(node.run()) for node in nodes]
    yield
    for task in tasks:
        task.cancel()


@pytest.mark.looptime
async def test_losses_are_written_once_and_known_to_a_new_node():
    # Guards against losses that a node which starts later does not know, and against
    # calls to the store that repeat what it holds.
    store = MemoryStore()
    first = Node(store)
    for number in range(3):
        first.detector.record_loss("f", f"s{number}")
    async with running(first):
        await asyncio.sleep(10)
    assert store.call_count == 1
    late = Node(store)
    late.read()
    assert late.detector.is_quarantined("f")


@pytest.mark.looptime
async def test_age_of_a_loss_survives_in_the_store():
    # Guards against a quarantine that begins anew with each node that starts.
    store = MemoryStore()
    first = Node(store)
    for number in range(3):
        first.detector.record_loss("f", f"s{number}")
    async with running(first):
        await asyncio.sleep(200)
    late = Node(store)
    late.read()
    assert 80 < late.detector.quarantine_left_s("f") < 101


@pytest.mark.looptime
async def test_only_relays_write():
    # Guards against writes to the store that grow with the number of nodes.
    store = MemoryStore()
    node = Node(store, is_relay=False)
    node.detector.record_loss("f", "s")
    async with running(node):
        await asyncio.sleep(10)
    assert store.call_count == 0


@pytest.mark.looptime
async def test_suspicion_that_stands_alone_is_not_written():
    # Guards against a write for each caller that leaves early.
    store = MemoryStore()
    node = Node(store)
    node.detector.record_loss("f", "s1", is_suspicion=True)
    async with running(node):
        await asyncio.sleep(5)
        assert store.call_count == 0
        node.detector.record_loss("f", "s2", is_suspicion=True)
        await asyncio.sleep(5)
    assert set(store.values) == {"f.s1", "f.s2"}


@pytest.mark.looptime
async def test_cleared_loss_is_removed_for_all_nodes():
    # Guards against a harmless request that nodes which start later refuse.
    store = MemoryStore()
    first, second = Node(store), Node(store)
    for node in (first, second):
        node.detector.record_loss("f", "s")
    async with running(first, second):
        await asyncio.sleep(5)
        first.detector.acquit("f")
        await asyncio.sleep(5)
        assert store.values == {"f.s": b""}
        assert second.detector.loss_count("f") == 0
        await asyncio.sleep(10)
    assert store.values == {"f.s": b""}


@pytest.mark.looptime
async def test_loss_that_is_stored_after_it_was_cleared_is_removed():
    # Guards against a harmless request with a loss that a relay wrote because it had
    # not been told in time that the loss was cleared.
    store = MemoryStore()
    relay, other = Node(store), Node(store, is_relay=False)
    other.detector.record_loss("f", "s")
    other.detector.acquit("f")
    await asyncio.sleep(10)
    assert other.detector.cleared_to_send() == {}
    relay.detector.record_loss("f", "s")
    async with running(relay, other):
        await asyncio.sleep(2)
        assert store.values["f.s"]
        relay.detector.merge(
            {},
            cleared=other.detector.cleared_to_send(),
            is_own_zone=True,
            source="peer",
        )
        await asyncio.sleep(5)
    assert store.values == {"f.s": b""}


@pytest.mark.looptime
async def test_losses_are_written_when_the_store_returns():
    # Guards against losses that are forgotten because the store was away.
    store = MemoryStore()
    node = Node(store)
    store.is_away = True
    node.detector.record_loss("f", "s")
    async with running(node):
        await asyncio.sleep(30)
        store.is_away = False
        await asyncio.sleep(4)
    assert "f.s" in store.values


@pytest.mark.looptime
async def test_old_losses_are_removed_from_the_store():
    # Guards against a topic that grows forever.
    store = MemoryStore()
    lost_at_s = LoopClock().now().timestamp() - 86397
    await store.append_all("", {"f.s": b"%d" % round(lost_at_s * 1000)})
    node = Node(store)
    async with running(node):
        await asyncio.sleep(2)
        assert store.values["f.s"]
        await asyncio.sleep(3)
    assert store.values == {"f.s": b""}


@pytest.mark.looptime
async def test_unreadable_record_is_ignored():
    # Guards against a foreign record that stops the others from being read.
    node = Node(MemoryStore())
    node.publisher.apply_records(
        [
            Record(Offset(0), "strange", b"\xff"),
            Record(Offset(1), "", b"12"),
            Record(
                Offset(2), "f.s", b"%d" % round(LoopClock().now().timestamp() * 1000)
            ),
        ]
    )
    assert node.detector.loss_count("f") == 1
