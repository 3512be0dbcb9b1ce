"""Guards against readers that disagree, revert, or trust a damaged log."""

import asyncio

import pytest
from structlog.testing import capture_logs

from pomelolug.errors import ErrorCode, LogRegressedError
from pomelolug.messages import RecordsRequest, StreamRecords
from pomelolug.state import ReaderState, RecordKind, RefusalReason
from pomelolug.state.tests.bench import (
    OPERATOR_KEY,
    SECONDS,
    STREAM,
    KeyRing,
    applied,
    running,
    settle,
)
from pomelolug.testing import LoopClock

pytestmark = pytest.mark.looptime

_NO_RECORDS = dict(stream="", log_id="", first_offset=0, stamps_ms=(), records=())
STRANGER = KeyRing.from_options(("k1=" + "99" * 32,), (OPERATOR_KEY,))
UNLISTED = KeyRing.from_options(("k9=" + "99" * 32,))
REFUSED = {
    "bad signature": ({"keyring": STRANGER}, RefusalReason.BAD_SIGNATURE),
    "unknown key": ({"keyring": UNLISTED}, RefusalReason.UNAUTHORISED),
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


@pytest.mark.parametrize("case", REFUSED)
async def test_refused_record_is_counted_with_place_and_not_applied(bench, case):
    options, reason = REFUSED[case]
    reader = bench.reader()
    with capture_logs() as events:
        async with running(reader):
            bench.put(1)
            bench.log.put(STREAM, bench.record(2, **options))
            bench.put(3)
            await applied(reader, 2)
    assert reader.fold.numbers == [1, 3]
    assert reader.refusals == {reason: 1}
    event = next(event for event in events if event["event"] == "record_refused")
    assert (event["stream"], event["offset"]) == (STREAM, 1)


@pytest.mark.parametrize(
    ("number", "reason"),
    [(-1, RefusalReason.VOID), (666, RefusalReason.FOLD_FAULT)],
)
async def test_record_that_the_fold_rejects_does_not_end_the_reader(
    bench, number, reason
):
    reader = bench.reader()
    async with running(reader):
        bench.put(number, 3)
        await applied(reader, 1)
    assert (reader.fold.numbers, reader.refusals) == ([3], {reason: 1})


async def test_malformed_envelope_and_body_are_refused(bench):
    reader = bench.reader()
    async with running(reader):
        bench.log.put(STREAM, b"not CBOR")
        bench.log.put(STREAM, bench.record(0, message=StreamRecords(**_NO_RECORDS)))
        await applied(reader, 1)
    assert reader.refusals == {RefusalReason.MALFORMED: 2}


async def test_duplicate_on_the_log_is_applied_once(bench):
    reader = bench.reader()
    async with running(reader):
        data = bench.record(4)
        bench.log.put(STREAM, data)
        bench.log.put(STREAM, data)
        await applied(reader, 1)
    assert reader.fold.numbers == [4]
    assert reader.refusals == {RefusalReason.DUPLICATE: 1}


async def test_key_rotation_accepts_both_keys(bench):
    reader = bench.reader()
    bench.ring = KeyRing.from_options(("k2=" + "44" * 32, "k1=" + "11" * 32))
    reader_of_both = bench.reader()
    async with running(reader, reader_of_both):
        bench.put(1)
        await applied(reader, 0)
        await applied(reader_of_both, 0)
    assert reader.refusals == {RefusalReason.UNAUTHORISED: 1}
    assert reader_of_both.fold.numbers == [1]


@pytest.mark.parametrize("fault", ["down", "silent"])
async def test_log_outage_makes_the_reader_stale_and_loses_nothing(bench, fault):
    reader = bench.reader()
    async with running(reader):
        bench.put(1)
        await applied(reader, 0)
        setattr(bench.log.faults, fault, True)
        await settle(reader, ReaderState.STALE)
        bench.put(2)
        await asyncio.sleep(3600)
        assert (reader.fold.numbers, reader.state) == ([1], ReaderState.STALE)
        setattr(bench.log.faults, fault, False)
        await applied(reader, 1)
        await settle(reader, ReaderState.FOLLOWING)
    assert reader.fold.numbers == [1, 2]


async def test_quiet_log_is_not_stale_and_not_polled_in_a_tight_loop(bench):
    reader = bench.reader()
    async with running(reader):
        await settle(reader, ReaderState.FOLLOWING)
        for _ in range(600):
            await asyncio.sleep(1)
            assert reader.state is ReaderState.FOLLOWING
    assert bench.log.reads < 70


@pytest.mark.parametrize("fault", ["replaced", "shortened", "rewritten"])
async def test_damaged_log_regresses_the_reader_and_keeps_its_state(bench, fault):
    reader = bench.reader()
    async with running(reader):
        bench.put(1, 2, 3)
        await applied(reader, 2)
        bench.log.faults.down = True
        await settle(reader, ReaderState.STALE)
        if fault == "replaced":
            bench.log.replace("log-2")
        bench.log.shorten(STREAM, 0 if fault == "replaced" else 2)
        if fault != "shortened":
            bench.put(*range(7, 7 + 5))
        bench.log.faults.down = False
        await settle(reader, ReaderState.REGRESSED)
        with pytest.raises(LogRegressedError) as caught:
            await applied(reader, 9)
    assert caught.value.code is ErrorCode.LOG_REGRESSED
    assert reader.fold.numbers == [1, 2, 3]
    assert not reader.can_checkpoint


async def test_log_other_than_the_declared_one_is_not_read(bench):
    reader = bench.reader(expected_log_id="log-2")
    bench.put(1)
    async with running(reader):
        await settle(reader, ReaderState.REGRESSED)
    assert reader.offset == -1


async def test_record_lost_in_the_middle_stops_the_reader(bench):
    reader = bench.reader()
    bench.put(1, 2, 3)
    bench.log.lose(STREAM, 1)
    async with running(reader):
        await settle(reader, ReaderState.INCOMPLETE)
        await asyncio.sleep(60)
    assert reader.fold.numbers == [1]
    assert reader.refusals == {RefusalReason.GAP: 1}


async def test_last_record_lost_is_not_taken_for_the_end(bench):
    reader = bench.reader()
    bench.put(1, 2)
    bench.log.lose(STREAM, 1)
    async with running(reader):
        await settle(reader, ReaderState.INCOMPLETE)
        await asyncio.sleep(60)
    assert bench.log.reads < 40


@pytest.mark.parametrize("ahead", [0, 3600])
async def test_window_start_leaves_out_older_records_whatever_the_clock(bench, ahead):
    for number in range(100):
        bench.put(number)
        await asyncio.sleep(1)
    bench.log.expire_before(STREAM, 20)
    bench.clock.now = lambda: LoopClock().now() + ahead * SECONDS
    reader = bench.reader(window=30 * SECONDS)
    async with running(reader):
        await applied(reader, 99)
    assert reader.fold.numbers == list(range(69, 100))
    assert bench.log.reads < 12


@pytest.mark.parametrize("expired", [0, 3])
async def test_window_of_an_idle_stream_starts(bench, expired):
    bench.put(*range(expired))
    bench.log.expire_before(STREAM, expired)
    reader = bench.reader(window=30 * SECONDS)
    async with running(reader):
        await settle(reader, ReaderState.FOLLOWING)
        bench.put(7)
        await applied(reader, expired)
    assert reader.fold.numbers == [7]


async def test_faulty_subscriber_does_not_end_the_reader(bench):
    reader = bench.reader()
    calls = []

    def fail():
        calls.append(reader.offset)
        raise ZeroDivisionError

    unsubscribe = reader.subscribe(fail)
    async with running(reader):
        bench.put(1)
        await applied(reader, 0)
        bench.put(2)
        await applied(reader, 1)
        unsubscribe()
        bench.put(3)
        await applied(reader, 2)
    assert calls[-1] == 1


async def test_append_is_read_back_at_its_offset(bench):
    reader = bench.reader()
    async with running(reader):
        offset = await bench.appender().append(
            STREAM, RecordKind.FORMATION, RecordsRequest(stream="", from_offset=5)
        )
        await applied(reader, offset)
    assert reader.fold.numbers == [5]
