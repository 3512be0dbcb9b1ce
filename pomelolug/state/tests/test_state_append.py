"""Guards against appends that are made twice or reported wrongly."""

import asyncio
import random

import pytest

from pomelolug.errors import ErrorCode, PlatformError
from pomelolug.messages import RecordsRequest, decode
from pomelolug.state import RecordKind, decode_record
from pomelolug.state.tests.bench import SECONDS, STREAM

pytestmark = pytest.mark.looptime


def _append(appender, number=5):
    message = RecordsRequest(stream="", from_offset=number)
    return appender.append(STREAM, RecordKind.FORMATION, message)


def _number(bench, record):
    decoded = decode_record(
        record.data,
        stream=STREAM,
        offset=record.offset,
        stamp=record.stamp,
        keyring=bench.ring,
    )
    return decode(decoded.body, RecordsRequest).from_offset


@pytest.mark.parametrize("delay", [0, 3])
async def test_lost_answer_is_resolved_by_reading_forward(bench, delay):
    bench.put(1, 2, 3)
    bench.log.faults.lose_answers = 1.0
    bench.log.faults.apply_after = delay * SECONDS
    appending = asyncio.create_task(_append(bench.appender()))
    await asyncio.sleep(1)
    bench.put(8)
    offset = await appending
    assert _number(bench, bench.log.records(STREAM)[offset]) == 5
    assert bench.log.appends == 5


async def test_append_that_never_shows_is_unknown_and_not_repeated(bench):
    bench.log.faults.drop_appends = 1.0
    with pytest.raises(PlatformError) as caught:
        await _append(bench.appender())
    assert caught.value.code is ErrorCode.APPEND_UNKNOWN
    assert caught.value.maybe_applied
    bench.log.faults.drop_appends = 0.0
    await asyncio.sleep(60)
    assert bench.log.appends == 0


async def test_outage_after_the_effect_does_not_hide_the_record(bench):
    bench.log.faults.lose_answers = 1.0
    appending = asyncio.create_task(_append(bench.appender()))
    await asyncio.sleep(1)
    bench.log.faults.down = True
    await asyncio.sleep(3)
    bench.log.faults.down = False
    assert await appending == 0
    assert bench.log.appends == 1


async def test_log_that_is_down_is_reported_as_not_applied(bench):
    appender = bench.appender()
    await _append(appender)
    bench.log.faults.down = True
    started = bench.clock.monotonic()
    with pytest.raises(PlatformError) as caught:
        await _append(appender)
    assert caught.value.code is ErrorCode.PLATFORM_UNAVAILABLE
    assert not caught.value.maybe_applied
    assert bench.clock.monotonic() - started < 8


async def test_two_processes_with_one_seed_use_different_nonces(bench):
    for author in ("node:a", "node:b"):
        bench.random = random.Random(1)
        await _append(bench.appender(author))
    bench.random = random.Random(1)
    await _append(bench.appender("node:a"))
    records = bench.log.records(STREAM)
    nonces = {
        decode_record(
            record.data,
            stream=STREAM,
            offset=record.offset,
            stamp=record.stamp,
            keyring=bench.ring,
        ).nonce
        for record in records
    }
    assert len(nonces) == 3


async def test_concurrent_appends_with_lost_answers_each_find_their_own(bench):
    bench.log.faults.lose_answers = 0.3
    bench.log.faults.apply_after = SECONDS
    appenders = [bench.appender(f"node:{name}") for name in "abcde"]
    offsets = await asyncio.gather(*(_append(appenders[n % 5], n) for n in range(200)))
    records = bench.log.records(STREAM)
    assert [_number(bench, records[offset]) for offset in offsets] == list(range(200))
    assert len(records) == 200


async def test_author_without_a_key_is_refused_before_any_append(bench):
    with pytest.raises(KeyError):
        await _append(bench.appender("operator:eve"))
    assert bench.log.appends == 0
