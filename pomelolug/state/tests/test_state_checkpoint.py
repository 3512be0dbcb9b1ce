"""Guards against checkpoints that change, hide or revert a record."""

import asyncio
import dataclasses
import datetime
import random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pomelolug.ids import NodeId, Offset
from pomelolug.infrastructure import LogRecord
from pomelolug.state import (
    CheckpointPublisher,
    ReaderState,
    RefusalReason,
    publisher_rank,
)
from pomelolug.state._checkpoint import make_checkpoint
from pomelolug.state._prefix import Prefix
from pomelolug.state.tests.bench import (
    SECONDS,
    STREAM,
    Bench,
    NumbersFold,
    applied,
    running,
    settle,
)
from pomelolug.testing import LoopClock

HOURS = 3600 * SECONDS
START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


@given(st.lists(st.integers(-2, 9), min_size=1, max_size=12), st.data())
def test_checkpoint_and_rest_equal_the_whole_replay(numbers, data):
    bench = Bench(clock=LoopClock(), random_state=random.Random(1))
    records = [
        LogRecord(offset=Offset(i), stamp=START, data=bench.record(number))
        for i, number in enumerate(numbers)
    ]
    again = data.draw(st.sampled_from(records))
    records.append(dataclasses.replace(again, offset=Offset(len(records))))
    cut = data.draw(st.integers(0, len(records)))

    def replay(prefix, part):
        for record in part:
            try:
                prefix.apply(record)
            except Exception:
                continue
        return prefix

    def new():
        return Prefix(stream=STREAM, fold=NumbersFold(), keyring=bench.ring)

    whole = replay(new(), records)
    restored = new()
    if cut:
        restored.restore(replay(new(), records[:cut]).checkpoint("log-1"))
    assert replay(restored, records[cut:]).checkpoint("log-1") == whole.checkpoint(
        "log-1"
    )


async def _writer_at(bench, *numbers):
    """Return a stopped reader that has applied `numbers`."""
    writer = bench.reader()
    async with running(writer):
        offsets = bench.put(*numbers)
        await applied(writer, offsets[-1])
    return writer


@pytest.mark.looptime
async def test_start_from_expired_log_equals_the_whole_replay(bench):
    writer = await _writer_at(bench, 1, 2, 3)
    bench.put(4)
    bench.put_checkpoint(writer)
    bench.put(5)
    bench.log.expire_before(STREAM, 3)
    reader = bench.reader()
    async with running(reader):
        await settle(reader, ReaderState.FOLLOWING)
    assert reader.fold.numbers == [1, 2, 3, 4, 5]
    assert reader.refusals == {}


@pytest.mark.looptime
async def test_latest_of_several_checkpoints_is_found_in_few_reads(bench):
    writer = await _writer_at(bench, *[1] * 3000)
    bench.put_checkpoint(writer)
    bench.put(*[2] * 600)
    bench.log.expire_before(STREAM, 10)
    reads = bench.log.reads
    reader = bench.reader()
    async with running(reader):
        await settle(reader, ReaderState.FOLLOWING)
    assert len(reader.fold.numbers) == 3600
    assert bench.log.reads - reads <= 6


@pytest.mark.looptime
async def test_checkpoint_with_a_missing_record_after_it_is_not_used(bench):
    writer = await _writer_at(bench, 1, 2)
    bench.put(3, 4)
    bench.put_checkpoint(writer)
    bench.log.expire_before(STREAM, 3)
    reader = bench.reader()
    async with running(reader):
        await settle(reader, ReaderState.INCOMPLETE)
        await asyncio.sleep(60)
    assert (reader.offset, reader.fold.numbers) == (-1, [])


@pytest.mark.looptime
async def test_incomplete_start_recovers_with_the_next_checkpoint(bench):
    writer = bench.reader()
    async with running(writer):
        bench.put(1, 2, 3)
        await applied(writer, 2)
        bench.log.expire_before(STREAM, 2)
        reader = bench.reader()
        async with running(reader):
            await settle(reader, ReaderState.INCOMPLETE)
            bench.put_checkpoint(writer)
            bench.put(4)
            await settle(reader, ReaderState.FOLLOWING)
    assert reader.fold.numbers == [1, 2, 3, 4]


@pytest.mark.looptime
async def test_reader_behind_the_retention_does_not_jump_to_a_checkpoint(bench):
    reader = await _writer_at(bench, 1)
    writer = bench.reader()
    async with running(writer):
        bench.put(2, 3)
        await applied(writer, 2)
        bench.put_checkpoint(writer)
    bench.log.expire_before(STREAM, 2)
    async with running(reader):
        await settle(reader, ReaderState.INCOMPLETE)
    assert reader.fold.numbers == [1]


@pytest.mark.looptime
async def test_other_state_at_the_covered_offset_is_a_violation(bench):
    violations = []
    reader = bench.reader(violated=violations.append)
    async with running(reader):
        bench.put(1, 2)
        await applied(reader, 1)
        reader.fold.numbers.append(9)
        wrong = reader.checkpoint()
        reader.fold.numbers.pop()
        bench.put(3)
        bench.put_checkpoint(reader, message=wrong)
        await applied(reader, 3)
        assert reader.refusals == {RefusalReason.CHECKPOINT_MISMATCH: 1}
        assert reader.fold.numbers == [1, 2, 3]
        assert reader.checkpoint_covers == -1
        bench.put_checkpoint(reader)
        await applied(reader, 4)
    assert reader.checkpoint_covers == 3
    assert violations == ["folds_agree"]
    assert reader.refusals == {RefusalReason.CHECKPOINT_MISMATCH: 1}


@pytest.mark.looptime
@pytest.mark.parametrize(
    "change", [{"state": b"\x80"}, {"log_id": "x"}, {"covered": 9}]
)
async def test_damaged_checkpoint_is_never_started_from(bench, change):
    writer = await _writer_at(bench, 1, 2)
    damaged = msgspec.structs.replace(writer.checkpoint(), **change)
    bench.put_checkpoint(writer, message=damaged)
    bench.log.expire_before(STREAM, 2)
    reader = bench.reader()
    async with running(reader):
        await settle(reader, ReaderState.INCOMPLETE)
    assert reader.fold.numbers == []


@pytest.mark.looptime
async def test_checkpoint_that_cannot_be_restored_gives_way_to_an_older_one(bench):
    writer = await _writer_at(bench, 1, 2)
    bench.put_checkpoint(writer)
    unreadable = make_checkpoint(
        stream=STREAM, log_id="log-1", covered=2, nonces=(), state=b"\xff"
    )
    bench.put_checkpoint(writer, message=unreadable)
    bench.log.expire_before(STREAM, 2)
    reader = bench.reader()
    async with running(reader):
        await settle(reader, ReaderState.FOLLOWING)
    assert reader.fold.numbers == [1, 2]


@pytest.mark.looptime
async def test_operator_cannot_write_a_checkpoint(bench):
    writer = await _writer_at(bench, 1, 2)
    bench.put_checkpoint(writer, author="operator:ada")
    bench.log.expire_before(STREAM, 2)
    reader = bench.reader()
    async with running(reader):
        await settle(reader, ReaderState.INCOMPLETE)


@pytest.mark.looptime
async def test_node_of_an_older_version_carries_and_publishes_no_checkpoint(bench):
    reader = bench.reader()
    async with running(reader):
        bench.put(1)
        later = bench.record(2, version=2)
        bench.log.put(STREAM, later)
        bench.put(3)
        await applied(reader, 2)
        assert not reader.can_checkpoint
        assert later in reader.records_from(0).records
        reader.fold.numbers = [1, 2, 3]
        of_newer_node = reader.checkpoint()
        reader.fold.numbers = [1, 3]
        bench.put_checkpoint(reader, message=of_newer_node)
        await applied(reader, 3)
    assert RefusalReason.CHECKPOINT_MISMATCH not in reader.refusals


def _publisher(bench, name, nodes, **options):
    reader = bench.reader()
    publisher = CheckpointPublisher(
        reader=reader,
        appender=bench.appender(f"node:{name}"),
        clock=bench.clock,
        random_state=bench.random,
        retention=options.pop("retention", 24 * HOURS),
        node=NodeId(name),
        live_nodes=lambda: nodes,
        **options,
    )
    return reader, publisher


@pytest.mark.looptime
async def test_node_whose_turn_it_is_publishes_after_enough_records(bench):
    nodes = [NodeId(name) for name in "abc"]
    parts = [_publisher(bench, node, nodes, records_due=100) for node in nodes]
    expected = dict.fromkeys(nodes, 0)
    async with running(*sum(parts, ())):
        for _ in range(6):
            key = f"{STREAM}|{parts[0][0].checkpoint_covers}"
            first = min(nodes, key=lambda n: publisher_rank(n, nodes, key))
            expected[first] += 1
            bench.put(*[1] * 100)
            await asyncio.sleep(60)
            published = [publisher.published for _, publisher in parts]
            assert published == list(expected.values())
    assert {reader.checkpoint_covers for reader, _ in parts} == {604}


@pytest.mark.looptime
async def test_dead_node_in_turn_does_not_keep_the_checkpoint_from_coming(bench):
    nodes = [NodeId(name) for name in "abc"]
    alive = [n for n in nodes if publisher_rank(n, nodes, f"{STREAM}|-1") > 0]
    parts = [_publisher(bench, node, nodes, records_due=100) for node in alive]
    async with running(*sum(parts, ())):
        bench.put(*range(100))
        await asyncio.sleep(120)
    assert sum(publisher.published for _, publisher in parts) == 1


@pytest.mark.looptime
async def test_quiet_stream_stays_startable_beyond_its_retention():
    bench = Bench(
        clock=LoopClock(), random_state=random.Random(2), retention=600 * SECONDS
    )
    parts = _publisher(bench, "a", [NodeId("a")], retention=600 * SECONDS)
    async with running(*parts):
        bench.put(1, 2)
        for _ in range(16):
            await asyncio.sleep(300)
            assert bench.log.records(STREAM)
        reader = bench.reader()
        async with running(reader):
            await settle(reader, ReaderState.FOLLOWING)
    assert reader.fold.numbers == [1, 2]


@pytest.mark.looptime
async def test_outage_longer_than_the_retention_is_survived_by_live_nodes():
    bench = Bench(
        clock=LoopClock(), random_state=random.Random(2), retention=600 * SECONDS
    )
    parts = _publisher(bench, "a", [NodeId("a")], retention=600 * SECONDS)
    async with running(*parts):
        bench.put(1, 2)
        await applied(parts[0], 1)
        bench.log.faults.silent = True
        await asyncio.sleep(1500)
        bench.log.faults.silent = False
        reader = bench.reader()
        async with running(reader):
            await settle(reader, ReaderState.FOLLOWING, seconds=120)
    assert reader.fold.numbers == [1, 2]
