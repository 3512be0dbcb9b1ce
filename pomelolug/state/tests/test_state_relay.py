"""Tests that a node does not accept wrong or partial state from peers."""

import asyncio

import msgspec
import pytest

from pomelolug.messages import StreamRecords
from pomelolug.state import ReaderState, RefusalReason
from pomelolug.state._prefix import timestamp_to_ms
from pomelolug.state.tests.harness import (
    STREAM,
    running,
    wait_for_offset,
    wait_for_state,
)

pytestmark = pytest.mark.looptime


async def _peer(harness, *numbers, **options):
    peer = harness.reader(**options)
    async with running(peer):
        offsets = harness.put(*numbers)
        await wait_for_offset(peer, offsets[-1])
    return peer


@pytest.mark.parametrize("relay_bytes", [512 * 1024, 0])
async def test_node_without_the_log_starts_from_a_peer(harness, relay_bytes):
    peer = await _peer(harness, 1, 2, 3, relay_bytes=relay_bytes)
    harness.log.faults.down = True
    reader = harness.reader()
    async with running(reader):
        await asyncio.sleep(60)
        assert (reader.state, reader.offset) == (ReaderState.STARTING, -1)
        assert reader.apply_relayed(peer.records_from(0)) == 3
        assert (reader.state, reader.is_from_peer) == (ReaderState.STALE, True)
        harness.log.faults.down = False
        harness.put(4)
        await wait_for_offset(reader, 3)
        await wait_for_state(reader, ReaderState.FOLLOWING)
    assert reader.fold.numbers == [1, 2, 3, 4]
    assert not reader.is_from_peer


async def test_partial_records_do_not_make_a_node_ready(harness):
    peer = await _peer(harness, *[1] * 1500)
    reader = harness.reader()
    pages = 0
    while reader.offset < peer.offset:
        assert reader.state is ReaderState.STARTING
        reader.apply_relayed(peer.records_from(reader.offset + 1))
        pages += 1
    assert pages > 1
    assert (reader.state, reader.offset) == (ReaderState.STALE, 1499)


@pytest.mark.parametrize("part", ["records", "checkpoint"])
async def test_forged_relay_is_refused(harness, part):
    peer = await _peer(
        harness, 1, 2, relay_bytes=0 if part == "checkpoint" else 1 << 20
    )
    message = peer.records_from(0)
    data = message.checkpoint if part == "checkpoint" else message.records[0]
    forged = data[:-1] + bytes([data[-1] ^ 1])
    changed = forged if part == "checkpoint" else (forged, message.records[1])
    reader = harness.reader()
    reader.apply_relayed(msgspec.structs.replace(message, **{part: changed}))
    assert 1 not in reader.fold.numbers
    assert reader.refusals == {RefusalReason.BAD_SIGNATURE: 1}


async def test_checkpoint_of_a_peer_never_replaces_applied_records(harness):
    reader = await _peer(harness, 1)
    peer = await _peer(harness, 2, 3, relay_bytes=0)
    assert reader.apply_relayed(peer.records_from(0)) == 0
    assert reader.fold.numbers == [1]
    assert reader.refusals == {RefusalReason.GAP: 1}


async def test_relayed_records_fill_a_gap_in_the_log(harness):
    peer = await _peer(harness, 1, 2, 3)
    harness.log.remove(STREAM, 1)
    reader = harness.reader()
    async with running(reader):
        await wait_for_state(reader, ReaderState.INCOMPLETE)
        reader.apply_relayed(peer.records_from(reader.offset + 1))
        await wait_for_state(reader, ReaderState.FOLLOWING)
    assert reader.fold.numbers == [1, 2, 3]


async def test_relay_during_a_read_is_not_mistaken_for_a_shortened_log(harness):
    reader = harness.reader()
    async with running(reader):
        await wait_for_state(reader, ReaderState.FOLLOWING)
        for number in range(50):
            (offset,) = harness.put(number)
            last = harness.log.records(STREAM)[-1]
            message = StreamRecords(
                stream=STREAM,
                log_id="log-1",
                first_offset=offset,
                stamps_ms=(timestamp_to_ms(last.timestamp),),
                records=(last.data,),
                end=offset + 1,
            )
            reader.apply_relayed(message)
            await asyncio.sleep(harness.random.random() * 0.02)
            assert reader.state is not ReaderState.REGRESSED
    assert reader.fold.numbers == list(range(50))


async def test_peer_with_another_log_stops_a_reader_without_declared_log(harness):
    peer = await _peer(harness, 1, 2)
    harness.log.replace("log-2")
    fresh, declared = harness.reader(), harness.reader(expected_log_id="log-2")
    async with running(fresh, declared):
        await wait_for_state(fresh, ReaderState.FOLLOWING)
        await wait_for_state(declared, ReaderState.FOLLOWING)
        assert fresh.apply_relayed(peer.records_from(0)) == 0
        assert declared.apply_relayed(peer.records_from(0)) == 0
        assert fresh.state is ReaderState.REGRESSED
        assert declared.state is ReaderState.FOLLOWING
    assert declared.refusals == {RefusalReason.OTHER_LOG: 1}


@pytest.mark.parametrize("at", [1, 400])
async def test_reader_stopped_by_a_peer_within_a_page_stays_stopped(harness, at):
    peer = await _peer(harness, 1, 2)
    harness.log.replace("log-2")
    harness.put(*[3] * 400)
    reader = harness.reader()
    apply = reader.fold.apply

    def apply_and_receive_from_the_other_log(record):
        apply(record)
        if len(reader.fold.numbers) == at:
            asyncio.get_running_loop().call_soon(
                reader.apply_relayed, peer.records_from(0)
            )

    reader.fold.apply = apply_and_receive_from_the_other_log
    async with running(reader):
        await asyncio.sleep(60)
    assert reader.state is ReaderState.REGRESSED
    assert at <= len(reader.fold.numbers) < at + 10


async def test_message_with_missing_timestamps_is_refused(harness):
    peer = await _peer(harness, 1, 2)
    message = msgspec.structs.replace(peer.records_from(0), stamps_ms=(0,))
    reader = harness.reader()
    assert reader.apply_relayed(message) == 0
    assert reader.refusals == {RefusalReason.MALFORMED: 1}
