"""Reading of a record log while records arrive."""

import asyncio
import datetime

import pytest

from pomelolug.feeds import Record, RecordBatch, RecordLog
from pomelolug.ids import Offset

RECORD_COUNT = 300


async def append_all(log: RecordLog, *, busy_turns: int) -> None:
    """Append records one by one, each after some turns of the event loop."""
    for offset in range(RECORD_COUNT):
        record = Record(Offset(offset), "a", b"v")
        log.extend(RecordBatch((record,), Offset(offset + 1)))
        for _ in range(busy_turns):
            await asyncio.sleep(0)


@pytest.mark.parametrize("busy_turns", [1, 2, 3, 5])
@pytest.mark.parametrize("wait_ms", [0, 1])
async def test_record_that_arrives_when_the_wait_ends_is_delivered(wait_ms, busy_turns):
    # Guards against a server in use after its removal: a reader was told to read on
    # behind a record that it had not got.
    log = RecordLog()
    log.reset(RecordBatch((), Offset(0)))
    appending = asyncio.create_task(append_all(log, busy_turns=busy_turns))
    received: list[int] = []
    first = Offset(0)
    while first < RECORD_COUNT:
        wait = datetime.timedelta(milliseconds=wait_ms)
        batch = await log.read(first, wait=wait, age_s=0.0)
        received += [record.offset for record in batch.records]
        first = batch.end
    await appending
    assert received == list(range(RECORD_COUNT))


def test_stale_snapshot_brings_no_removed_key_back():
    # Guards against a removed server that other nodes get from this one again, because
    # a source that is behind has answered a request for all keys.
    log = RecordLog()
    old = RecordBatch((Record(Offset(0), "a", b"v"),), Offset(1))
    log.reset(old)
    log.extend(RecordBatch((Record(Offset(1), "a", None),), Offset(2)))
    assert log.reset(old) == []
    assert log.snapshot(age_s=0.0) == RecordBatch((), Offset(2))
