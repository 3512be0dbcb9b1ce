"""Which evacuations hold, given the records of the store and the reports of peers."""

import asyncio

import pytest

from pomelolug.entry._topic_consumers import EvacuationUpdater
from pomelolug.entry.servers import EvacuatedZones
from pomelolug.feeds import OFFSETS_PER_ERA, Record, RecordBatch
from pomelolug.ids import Offset, ZoneId
from pomelolug.testing import LoopClock

pytestmark = pytest.mark.looptime
A, B = ZoneId("a"), ZoneId("b")


class Node:
    """What one node knows, and the changes that it has noticed."""

    def __init__(self) -> None:
        self.change_count = 0
        self.zones = EvacuatedZones(
            known_zones=(A, B), clock=LoopClock(), on_change=self._count
        )
        self._updater = EvacuationUpdater(evacuated_zones=self.zones)

    def _count(self) -> None:
        self.change_count += 1

    def read(self, first: int, *records: tuple[str, bytes | None]) -> None:
        """Read records that follow an offset; a value of None removes the key."""
        batch = [
            Record(Offset(first + number), key, value)
            for number, (key, value) in enumerate(records)
        ]
        self._apply(batch, first + len(batch), is_snapshot=False)

    def read_snapshot(self, end: int, **offsets: int) -> None:
        """Read the newest record of each key, which evacuates a zone, up to `end`."""
        batch = [
            Record(Offset(offset), f"evacuate/{zone}", b"{}")
            for zone, offset in offsets.items()
        ]
        self._apply(batch, end, is_snapshot=True)

    def _apply(self, batch: list[Record], end: int, *, is_snapshot: bool) -> None:
        self._updater.apply_batch(RecordBatch(tuple(batch), Offset(end)), is_snapshot)

    def hear(self, peer: "Node") -> None:
        zones, read_up_to = peer.zones.report()
        self.zones.merge(zones, read_up_to=read_up_to, source="peer")


EVACUATE_A, TAKE_BACK_A = ("evacuate/a", b"{}"), ("evacuate/a", None)


async def test_report_that_arrives_late_does_not_bring_an_evacuation_back():
    # Guards against nodes that go by the order of arrival: an old report arrives after
    # the zone was taken back, or an old end after a further evacuation.
    first, second, third, node = Node(), Node(), Node(), Node()
    first.read(5, EVACUATE_A)
    second.read(5, EVACUATE_A, TAKE_BACK_A)
    third.read(5, EVACUATE_A, TAKE_BACK_A, EVACUATE_A)
    for peer, expected in (
        (second, set()),
        (first, set()),
        (third, {A}),
        (second, {A}),
        (first, {A}),
    ):
        node.hear(peer)
        assert node.zones.zones == expected


async def test_read_that_repeats_old_records_does_not_bring_an_evacuation_back():
    # Guards against a store that serves an older state during a compaction.
    node = Node()
    node.read(5, EVACUATE_A, TAKE_BACK_A)
    node.read_snapshot(6, a=5)
    assert not node.zones.contains(A)
    node.read(5, EVACUATE_A)
    assert not node.zones.contains(A)
    node.read(5, EVACUATE_A, TAKE_BACK_A, ("config", b"{}"))
    assert not node.zones.contains(A)


async def test_zone_is_used_again_when_its_record_is_missing_from_a_snapshot():
    # Guards against a zone that stays evacuated because the history with the removal
    # was dropped, also if the node knew of the evacuation through a peer only.
    peer, reader = Node(), Node()
    peer.read(5, EVACUATE_A)
    reader.hear(peer)
    for node in (peer, reader):
        node.read_snapshot(9)
        assert not node.zones.contains(A)


async def test_node_that_started_after_the_end_of_an_evacuation_corrects_its_peers():
    # Guards against a peer without the store that tells of an evacuation forever, and
    # against a node that has read further and believes it.
    cut_off, started = Node(), Node()
    cut_off.read(5, EVACUATE_A)
    started.read_snapshot(9)
    started.hear(cut_off)
    assert not started.zones.contains(A)
    cut_off.hear(started)
    assert not cut_off.zones.contains(A)


async def test_evacuation_lost_by_a_restored_store_holds_until_written_again():
    # Guards against requests to an evacuated zone because the store went back to a
    # copy from before.
    node = Node()
    node.read(5, EVACUATE_A, ("evacuate/b", b"{}"))
    node.read_snapshot(OFFSETS_PER_ERA + 3)
    assert node.zones.zones == {A, B}
    node.read(OFFSETS_PER_ERA + 3, EVACUATE_A)
    assert node.zones.zones == {A, B}
    node.read(OFFSETS_PER_ERA + 4, TAKE_BACK_A)
    assert node.zones.zones == {B}


async def test_evacuation_that_nobody_writes_again_ends_soon():
    # Guards against a zone that is lost forever, since a store went back to a copy in
    # which it was not evacuated and the operator has taken it back meanwhile.
    node = Node()
    node.read(5, EVACUATE_A)
    node.read_snapshot(OFFSETS_PER_ERA + 3)
    assert node.zones.contains(A)
    await asyncio.sleep(6.0)
    node.zones.forget_expired()
    assert not node.zones.contains(A)
    assert node.change_count == 3


async def test_report_of_an_earlier_era_is_out_of_date():
    # Guards against a peer that has not seen the restoration and whose offsets are
    # higher than those that the store gives out again.
    old, node = Node(), Node()
    old.read(500, EVACUATE_A)
    node.read_snapshot(OFFSETS_PER_ERA + 3)
    node.hear(old)
    assert not node.zones.contains(A)


@pytest.mark.parametrize(
    "key", ["evacuate/", "evacuate", "evacuate\ufffd/a", "config", "evacuate/nowhere"]
)
async def test_other_records_evacuate_no_zone_of_the_deployment(key):
    # Guards against a foreign record that ends the reading or evacuates a zone.
    node = Node()
    node.read(5, (key, b"\xff\xfe"), ("evacuate/b", b"not json"))
    assert node.zones.contains(B)
    assert not node.zones.contains(A)


async def test_status_stays_as_before_until_a_zone_is_evacuated():
    # Guards against deployments without evacuations whose statuses grow.
    node = Node()
    node.read(5, ("config", b"{}"))
    assert node.zones.report() == ((), -1)
    node.read(6, EVACUATE_A, TAKE_BACK_A)
    assert node.zones.report() == ((), 8)


async def test_callers_stay_away_longer_the_longer_an_evacuation_lasts():
    # Guards against callers who return every two seconds for as long as it lasts, and
    # against those who stay away long after it has ended.
    node = Node()
    node.read(5, EVACUATE_A)
    waits_s = []
    for pause_s in (0.0, 10.0, 50.0):
        await asyncio.sleep(pause_s)
        waits_s.append(node.zones.expected_wait_s(A))
    assert waits_s == pytest.approx([2.0, 10.0, 30.0], abs=0.1)
