"""Tests that checkpoints neither change, hide nor revert a record."""

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
from pomelolug.state._prefix import AppliedPrefix
from pomelolug.state.tests.harness import (
    SECONDS,
    STREAM,
    NumbersFold,
    StateHarness,
    running,
    wait_for_offset,
    wait_for_state,
)
from pomelolug.testing import LoopClock

HOURS = 3600 * SECONDS
START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


@given(st.lists(st.integers(-2, 9), min_size=1, max_size=12), st.data())
def test_checkpoint_and_remaining_records_equal_a_full_replay(numbers, data):
    harness = StateHarness(clock=LoopClock(), random_state=random.Random(1))
    records = [
        LogRecord(offset=Offset(i), timestamp=START, data=harness.record(number))
        for i, number in enumerate(numbers)
    ]
    duplicate = data.draw(st.sampled_from(records))
    records.append(dataclasses.replace(duplicate, offset=Offset(len(records))))
    cut = data.draw(st.integers(0, len(records)))

    def replay(prefix, part):
        for record in part:
            try:
                prefix.apply(record)
            except Exception:
                continue
        return prefix

    def new():
        return AppliedPrefix(stream=STREAM, fold=NumbersFold(), keyring=harness.keyring)

    whole = replay(new(), records)
    restored = new()
    if cut:
        restored.restore(replay(new(), records[:cut]).checkpoint("log-1"))
    assert replay(restored, records[cut:]).checkpoint("log-1") == whole.checkpoint(
        "log-1"
    )


async def _stopped_reader_with(harness, *numbers):
    """Return a stopped reader that has applied `numbers`."""
    writer = harness.reader()
    async with running(writer):
        offsets = harness.put(*numbers)
        await wait_for_offset(writer, offsets[-1])
    return writer


@pytest.mark.looptime
async def test_start_from_expired_log_equals_a_full_replay(harness):
    writer = await _stopped_reader_with(harness, 1, 2, 3)
    harness.put(4)
    harness.put_checkpoint(writer)
    harness.put(5)
    harness.log.expire_before(STREAM, 3)
    reader = harness.reader()
    async with running(reader):
        await wait_for_state(reader, ReaderState.FOLLOWING)
    assert reader.fold.numbers == [1, 2, 3, 4, 5]
    assert reader.refusals == {}


@pytest.mark.looptime
async def test_latest_checkpoint_is_found_in_few_reads(harness):
    writer = await _stopped_reader_with(harness, *[1] * 3000)
    harness.put_checkpoint(writer)
    harness.put(*[2] * 600)
    harness.log.expire_before(STREAM, 10)
    reads = harness.log.reads
    reader = harness.reader()
    async with running(reader):
        await wait_for_state(reader, ReaderState.FOLLOWING)
    assert len(reader.fold.numbers) == 3600
    assert harness.log.reads - reads <= 6


@pytest.mark.looptime
async def test_checkpoint_with_a_missing_record_after_it_is_not_used(harness):
    writer = await _stopped_reader_with(harness, 1, 2)
    harness.put(3, 4)
    harness.put_checkpoint(writer)
    harness.log.expire_before(STREAM, 3)
    reader = harness.reader()
    async with running(reader):
        await wait_for_state(reader, ReaderState.INCOMPLETE)
        await asyncio.sleep(60)
    assert (reader.offset, reader.fold.numbers) == (-1, [])


@pytest.mark.looptime
async def test_incomplete_start_recovers_with_the_next_checkpoint(harness):
    writer = harness.reader()
    async with running(writer):
        harness.put(1, 2, 3)
        await wait_for_offset(writer, 2)
        harness.log.expire_before(STREAM, 2)
        reader = harness.reader()
        async with running(reader):
            await wait_for_state(reader, ReaderState.INCOMPLETE)
            harness.put_checkpoint(writer)
            harness.put(4)
            await wait_for_state(reader, ReaderState.FOLLOWING)
    assert reader.fold.numbers == [1, 2, 3, 4]


@pytest.mark.looptime
async def test_reader_behind_the_retention_does_not_jump_to_a_checkpoint(harness):
    reader = await _stopped_reader_with(harness, 1)
    writer = harness.reader()
    async with running(writer):
        harness.put(2, 3)
        await wait_for_offset(writer, 2)
        harness.put_checkpoint(writer)
    harness.log.expire_before(STREAM, 2)
    async with running(reader):
        await wait_for_state(reader, ReaderState.INCOMPLETE)
    assert reader.fold.numbers == [1]


@pytest.mark.looptime
async def test_different_state_at_the_covered_offset_is_a_violation(harness):
    violations = []
    reader = harness.reader(on_violation=violations.append)
    async with running(reader):
        harness.put(1, 2)
        await wait_for_offset(reader, 1)
        reader.fold.numbers.append(9)
        wrong = reader.checkpoint()
        reader.fold.numbers.pop()
        harness.put(3)
        harness.put_checkpoint(reader, message=wrong)
        await wait_for_offset(reader, 3)
        assert reader.refusals == {RefusalReason.CHECKPOINT_MISMATCH: 1}
        assert reader.fold.numbers == [1, 2, 3]
        assert reader.covered_offset == -1
        harness.put_checkpoint(reader)
        await wait_for_offset(reader, 4)
    assert reader.covered_offset == 3
    assert violations == ["folds_agree"]
    assert reader.refusals == {RefusalReason.CHECKPOINT_MISMATCH: 1}


@pytest.mark.looptime
@pytest.mark.parametrize(
    "change", [{"state": b"\x80"}, {"log_id": "x"}, {"covered": 9}]
)
async def test_reader_never_starts_from_a_corrupt_checkpoint(harness, change):
    writer = await _stopped_reader_with(harness, 1, 2)
    corrupt = msgspec.structs.replace(writer.checkpoint(), **change)
    harness.put_checkpoint(writer, message=corrupt)
    harness.log.expire_before(STREAM, 2)
    reader = harness.reader()
    async with running(reader):
        await wait_for_state(reader, ReaderState.INCOMPLETE)
    assert reader.fold.numbers == []


@pytest.mark.looptime
async def test_older_checkpoint_is_used_if_the_latest_cannot_be_restored(harness):
    writer = await _stopped_reader_with(harness, 1, 2)
    harness.put_checkpoint(writer)
    unreadable = make_checkpoint(
        stream=STREAM, log_id="log-1", covered=2, nonces=(), state=b"\xff"
    )
    harness.put_checkpoint(writer, message=unreadable)
    harness.log.expire_before(STREAM, 2)
    reader = harness.reader()
    async with running(reader):
        await wait_for_state(reader, ReaderState.FOLLOWING)
    assert reader.fold.numbers == [1, 2]


@pytest.mark.looptime
async def test_operator_cannot_write_a_checkpoint(harness):
    writer = await _stopped_reader_with(harness, 1, 2)
    harness.put_checkpoint(writer, author="operator:ada")
    harness.log.expire_before(STREAM, 2)
    reader = harness.reader()
    async with running(reader):
        await wait_for_state(reader, ReaderState.INCOMPLETE)


@pytest.mark.looptime
async def test_node_of_an_older_version_relays_records_but_makes_no_checkpoint(harness):
    reader = harness.reader()
    async with running(reader):
        harness.put(1)
        later = harness.record(2, version=2)
        harness.log.put(STREAM, later)
        harness.put(3)
        await wait_for_offset(reader, 2)
        assert not reader.can_checkpoint
        assert later in reader.records_from(0).records
        reader.fold.numbers = [1, 2, 3]
        newer_checkpoint = reader.checkpoint()
        reader.fold.numbers = [1, 3]
        harness.put_checkpoint(reader, message=newer_checkpoint)
        await wait_for_offset(reader, 3)
    assert RefusalReason.CHECKPOINT_MISMATCH not in reader.refusals


def _publisher(harness, name, nodes, **options):
    reader = harness.reader()
    publisher = CheckpointPublisher(
        reader=reader,
        appender=harness.appender(f"node:{name}"),
        clock=harness.clock,
        random_state=harness.random,
        retention=options.pop("retention", 24 * HOURS),
        node=NodeId(name),
        live_nodes=lambda: nodes,
        **options,
    )
    return reader, publisher


@pytest.mark.looptime
async def test_first_ranked_node_publishes_when_a_checkpoint_is_due(harness):
    nodes = [NodeId(name) for name in "abc"]
    parts = [
        _publisher(harness, node, nodes, records_per_checkpoint=100) for node in nodes
    ]
    expected = dict.fromkeys(nodes, 0)
    async with running(*sum(parts, ())):
        for _ in range(6):
            key = f"{STREAM}|{parts[0][0].covered_offset}"
            first = min(nodes, key=lambda n: publisher_rank(n, nodes, key))
            expected[first] += 1
            harness.put(*[1] * 100)
            await asyncio.sleep(60)
            published = [publisher.published_count for _, publisher in parts]
            assert published == list(expected.values())
    assert {reader.covered_offset for reader, _ in parts} == {604}


@pytest.mark.looptime
async def test_dead_first_ranked_node_does_not_block_the_checkpoint(harness):
    nodes = [NodeId(name) for name in "abc"]
    alive = [n for n in nodes if publisher_rank(n, nodes, f"{STREAM}|-1") > 0]
    parts = [
        _publisher(harness, node, nodes, records_per_checkpoint=100) for node in alive
    ]
    async with running(*sum(parts, ())):
        harness.put(*range(100))
        await asyncio.sleep(120)
    assert sum(publisher.published_count for _, publisher in parts) == 1


@pytest.mark.looptime
async def test_reader_starts_on_an_idle_stream_beyond_its_retention():
    harness = StateHarness(
        clock=LoopClock(), random_state=random.Random(2), retention=600 * SECONDS
    )
    parts = _publisher(harness, "a", [NodeId("a")], retention=600 * SECONDS)
    async with running(*parts):
        harness.put(1, 2)
        for _ in range(16):
            await asyncio.sleep(300)
            assert harness.log.records(STREAM)
        reader = harness.reader()
        async with running(reader):
            await wait_for_state(reader, ReaderState.FOLLOWING)
    assert reader.fold.numbers == [1, 2]


@pytest.mark.looptime
async def test_live_nodes_keep_the_state_in_an_outage_beyond_the_retention():
    harness = StateHarness(
        clock=LoopClock(), random_state=random.Random(2), retention=600 * SECONDS
    )
    parts = _publisher(harness, "a", [NodeId("a")], retention=600 * SECONDS)
    async with running(*parts):
        harness.put(1, 2)
        await wait_for_offset(parts[0], 1)
        harness.log.faults.silent = True
        await asyncio.sleep(1500)
        harness.log.faults.silent = False
        reader = harness.reader()
        async with running(reader):
            await wait_for_state(reader, ReaderState.FOLLOWING, seconds=120)
    assert reader.fold.numbers == [1, 2]
