"""Tests that readers agree, never revert, and detect an altered log."""

import asyncio

import pytest
from structlog.testing import capture_logs

from pomelolug.errors import ErrorCode, LogRegressedError
from pomelolug.messages import RecordsRequest, StreamRecords
from pomelolug.state import ReaderState, RecordKind, RefusalReason
from pomelolug.state.tests.harness import (
    OPERATOR_KEY,
    SECONDS,
    STREAM,
    KeyRing,
    running,
    wait_for_offset,
    wait_for_state,
)
from pomelolug.testing import LoopClock

pytestmark = pytest.mark.looptime

_NO_RECORDS = dict(stream="", log_id="", first_offset=0, stamps_ms=(), records=())
WRONG_SECRET_KEYRING = KeyRing.from_options(("k1=" + "99" * 32,), (OPERATOR_KEY,))
UNKNOWN_KEY_KEYRING = KeyRing.from_options(("k9=" + "99" * 32,))
REFUSED_RECORDS = {
    "bad signature": ({"keyring": WRONG_SECRET_KEYRING}, RefusalReason.BAD_SIGNATURE),
    "unknown key": ({"keyring": UNKNOWN_KEY_KEYRING}, RefusalReason.UNAUTHORISED),
    "operator writes a node's kind": (
        {"author": "operator:ada"},
        RefusalReason.UNAUTHORISED,
    ),
    "node writes an operator's kind": (
        {"kind": RecordKind.DRAIN},
        RefusalReason.UNAUTHORISED,
    ),
    "written for another stream": ({"stream": "x"}, RefusalReason.OTHER_STREAM),
    "later schema version": ({"version": 2}, RefusalReason.LATER_VERSION),
    "short nonce": ({"nonce": b"n"}, RefusalReason.MALFORMED),
}


@pytest.mark.parametrize("case", REFUSED_RECORDS)
async def test_refused_record_is_counted_logged_and_not_applied(harness, case):
    options, reason = REFUSED_RECORDS[case]
    reader = harness.reader()
    with capture_logs() as events:
        async with running(reader):
            harness.put(1)
            harness.log.put(STREAM, harness.record(2, **options))
            harness.put(3)
            await wait_for_offset(reader, 2)
    assert reader.fold.numbers == [1, 3]
    assert reader.refusals == {reason: 1}
    event = next(event for event in events if event["event"] == "record_refused")
    assert (event["stream"], event["offset"]) == (STREAM, 1)


@pytest.mark.parametrize(
    ("number", "reason"),
    [(-1, RefusalReason.VOID), (666, RefusalReason.FOLD_FAULT)],
)
async def test_record_that_the_fold_rejects_does_not_stop_the_reader(
    harness, number, reason
):
    reader = harness.reader()
    async with running(reader):
        harness.put(number, 3)
        await wait_for_offset(reader, 1)
    assert (reader.fold.numbers, reader.refusals) == ([3], {reason: 1})


async def test_malformed_envelope_and_body_are_refused(harness):
    reader = harness.reader()
    async with running(reader):
        harness.log.put(STREAM, b"not CBOR")
        harness.log.put(STREAM, harness.record(0, message=StreamRecords(**_NO_RECORDS)))
        await wait_for_offset(reader, 1)
    assert reader.refusals == {RefusalReason.MALFORMED: 2}


async def test_duplicate_on_the_log_is_applied_once(harness):
    reader = harness.reader()
    async with running(reader):
        data = harness.record(4)
        harness.log.put(STREAM, data)
        harness.log.put(STREAM, data)
        await wait_for_offset(reader, 1)
    assert reader.fold.numbers == [4]
    assert reader.refusals == {RefusalReason.DUPLICATE: 1}


async def test_key_rotation_accepts_both_keys(harness):
    reader = harness.reader()
    harness.keyring = KeyRing.from_options(("k2=" + "44" * 32, "k1=" + "11" * 32))
    reader_of_both = harness.reader()
    async with running(reader, reader_of_both):
        harness.put(1)
        await wait_for_offset(reader, 0)
        await wait_for_offset(reader_of_both, 0)
    assert reader.refusals == {RefusalReason.UNAUTHORISED: 1}
    assert reader_of_both.fold.numbers == [1]


@pytest.mark.parametrize("fault", ["down", "silent"])
async def test_log_outage_makes_the_reader_stale_and_loses_nothing(harness, fault):
    reader = harness.reader()
    async with running(reader):
        harness.put(1)
        await wait_for_offset(reader, 0)
        setattr(harness.log.faults, fault, True)
        await wait_for_state(reader, ReaderState.STALE)
        harness.put(2)
        await asyncio.sleep(3600)
        assert (reader.fold.numbers, reader.state) == ([1], ReaderState.STALE)
        setattr(harness.log.faults, fault, False)
        await wait_for_offset(reader, 1)
        await wait_for_state(reader, ReaderState.FOLLOWING)
    assert reader.fold.numbers == [1, 2]


async def test_idle_log_is_not_stale_and_not_polled_in_a_busy_loop(harness):
    reader = harness.reader()
    async with running(reader):
        await wait_for_state(reader, ReaderState.FOLLOWING)
        for _ in range(600):
            await asyncio.sleep(1)
            assert reader.state is ReaderState.FOLLOWING
    assert harness.log.reads < 70


@pytest.mark.parametrize("fault", ["replaced", "shortened", "rewritten"])
async def test_altered_log_regresses_the_reader_and_keeps_its_state(harness, fault):
    reader = harness.reader()
    async with running(reader):
        harness.put(1, 2, 3)
        await wait_for_offset(reader, 2)
        harness.log.faults.down = True
        await wait_for_state(reader, ReaderState.STALE)
        if fault == "replaced":
            harness.log.replace("log-2")
        harness.log.truncate(STREAM, 0 if fault == "replaced" else 2)
        if fault != "shortened":
            harness.put(*range(7, 7 + 5))
        harness.log.faults.down = False
        await wait_for_state(reader, ReaderState.REGRESSED)
        with pytest.raises(LogRegressedError) as exc_info:
            await wait_for_offset(reader, 9)
    assert exc_info.value.code is ErrorCode.LOG_REGRESSED
    assert reader.fold.numbers == [1, 2, 3]
    assert not reader.can_checkpoint


async def test_log_other_than_the_declared_one_is_not_read(harness):
    reader = harness.reader(expected_log_id="log-2")
    harness.put(1)
    async with running(reader):
        await wait_for_state(reader, ReaderState.REGRESSED)
    assert reader.offset == -1


async def test_record_lost_in_the_middle_stops_the_reader(harness):
    reader = harness.reader()
    harness.put(1, 2, 3)
    harness.log.remove(STREAM, 1)
    async with running(reader):
        await wait_for_state(reader, ReaderState.INCOMPLETE)
        await asyncio.sleep(60)
    assert reader.fold.numbers == [1]
    assert reader.refusals == {RefusalReason.GAP: 1}


async def test_lost_last_record_is_not_mistaken_for_the_end(harness):
    reader = harness.reader()
    harness.put(1, 2)
    harness.log.remove(STREAM, 1)
    async with running(reader):
        await wait_for_state(reader, ReaderState.INCOMPLETE)
        await asyncio.sleep(60)
    assert harness.log.reads < 40


@pytest.mark.parametrize("ahead_s", [0, 3600])
async def test_window_skips_older_records_regardless_of_the_clock(harness, ahead_s):
    for number in range(100):
        harness.put(number)
        await asyncio.sleep(1)
    harness.log.expire_before(STREAM, 20)
    harness.clock.now = lambda: LoopClock().now() + ahead_s * SECONDS
    reader = harness.reader(window=30 * SECONDS)
    async with running(reader):
        await wait_for_offset(reader, 99)
    assert reader.fold.numbers == list(range(69, 100))
    assert harness.log.reads < 12


@pytest.mark.parametrize("expired", [0, 3])
async def test_reader_with_a_window_starts_on_an_idle_stream(harness, expired):
    harness.put(*range(expired))
    harness.log.expire_before(STREAM, expired)
    reader = harness.reader(window=30 * SECONDS)
    async with running(reader):
        await wait_for_state(reader, ReaderState.FOLLOWING)
        harness.put(7)
        await wait_for_offset(reader, expired)
    assert reader.fold.numbers == [7]


async def test_failing_subscriber_does_not_stop_the_reader(harness):
    reader = harness.reader()
    calls = []

    def fail():
        calls.append(reader.offset)
        raise ZeroDivisionError

    unsubscribe = reader.subscribe(fail)
    async with running(reader):
        harness.put(1)
        await wait_for_offset(reader, 0)
        harness.put(2)
        await wait_for_offset(reader, 1)
        unsubscribe()
        harness.put(3)
        await wait_for_offset(reader, 2)
    assert calls[-1] == 1


async def test_append_is_read_back_at_its_offset(harness):
    reader = harness.reader()
    async with running(reader):
        offset = await harness.appender().append(
            STREAM, RecordKind.FORMATION, RecordsRequest(stream="", from_offset=5)
        )
        await wait_for_offset(reader, offset)
    assert reader.fold.numbers == [5]
