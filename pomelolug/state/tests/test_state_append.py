"""Tests that appends are neither duplicated nor reported wrongly."""

import asyncio
import random

import pytest

from pomelolug.errors import ErrorCode, PlatformError
from pomelolug.messages import RecordsRequest, decode
from pomelolug.state import RecordKind, decode_record
from pomelolug.state.tests.harness import SECONDS, STREAM

pytestmark = pytest.mark.looptime


def _append(appender, number=5):
    message = RecordsRequest(stream="", from_offset=number)
    return appender.append(STREAM, RecordKind.FORMATION, message)


def _decode_number(harness, record):
    decoded = decode_record(
        record.data,
        stream=STREAM,
        offset=record.offset,
        timestamp=record.timestamp,
        keyring=harness.keyring,
    )
    return decode(decoded.body, RecordsRequest).from_offset


@pytest.mark.parametrize("delay", [0, 3])
async def test_lost_answer_is_resolved_by_reading_forward(harness, delay):
    harness.put(1, 2, 3)
    harness.log.faults.answer_loss_rate = 1.0
    harness.log.faults.apply_delay = delay * SECONDS
    appending = asyncio.create_task(_append(harness.appender()))
    await asyncio.sleep(1)
    harness.put(8)
    offset = await appending
    assert _decode_number(harness, harness.log.records(STREAM)[offset]) == 5
    assert harness.log.appends == 5


async def test_append_that_never_appears_is_unknown_and_not_retried(harness):
    harness.log.faults.append_loss_rate = 1.0
    with pytest.raises(PlatformError) as exc_info:
        await _append(harness.appender())
    assert exc_info.value.code is ErrorCode.APPEND_UNKNOWN
    assert exc_info.value.maybe_applied
    harness.log.faults.append_loss_rate = 0.0
    await asyncio.sleep(60)
    assert harness.log.appends == 0


async def test_record_is_found_after_an_outage_that_follows_the_append(harness):
    harness.log.faults.answer_loss_rate = 1.0
    appending = asyncio.create_task(_append(harness.appender()))
    await asyncio.sleep(1)
    harness.log.faults.down = True
    await asyncio.sleep(3)
    harness.log.faults.down = False
    assert await appending == 0
    assert harness.log.appends == 1


async def test_append_to_an_unavailable_log_is_reported_as_not_applied(harness):
    appender = harness.appender()
    await _append(appender)
    harness.log.faults.down = True
    started = harness.clock.monotonic()
    with pytest.raises(PlatformError) as exc_info:
        await _append(appender)
    assert exc_info.value.code is ErrorCode.PLATFORM_UNAVAILABLE
    assert not exc_info.value.maybe_applied
    assert harness.clock.monotonic() - started < 8


async def test_two_processes_with_one_seed_use_different_nonces(harness):
    for author in ("node:a", "node:b"):
        harness.random = random.Random(1)
        await _append(harness.appender(author))
    harness.random = random.Random(1)
    await _append(harness.appender("node:a"))
    records = harness.log.records(STREAM)
    nonces = {
        decode_record(
            record.data,
            stream=STREAM,
            offset=record.offset,
            timestamp=record.timestamp,
            keyring=harness.keyring,
        ).nonce
        for record in records
    }
    assert len(nonces) == 3


async def test_concurrent_appends_with_lost_answers_find_their_own_records(harness):
    harness.log.faults.answer_loss_rate = 0.3
    harness.log.faults.apply_delay = SECONDS
    appenders = [harness.appender(f"node:{name}") for name in "abcde"]
    offsets = await asyncio.gather(*(_append(appenders[n % 5], n) for n in range(200)))
    records = harness.log.records(STREAM)
    assert [_decode_number(harness, records[offset]) for offset in offsets] == list(
        range(200)
    )
    assert len(records) == 200


async def test_author_without_a_key_is_refused_before_any_append(harness):
    with pytest.raises(KeyError):
        await _append(harness.appender("operator:eve"))
    assert harness.log.appends == 0
