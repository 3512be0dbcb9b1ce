"""Following records through relays that lag, lose history or fall silent."""

import asyncio
import datetime

import pytest

from pomelolug.errors import ErrorCode
from pomelolug.feeds import (
    HistoryLostError,
    Record,
    RecordBatch,
    RecordLog,
    RecordSource,
    SourceUnavailableError,
    TopicFeed,
)
from pomelolug.ids import Offset
from pomelolug.testing import LoopClock

pytestmark = pytest.mark.looptime
WAIT = datetime.timedelta(seconds=1)


def record(offset: int, key: str, value: bytes | None = b"v") -> Record:
    return Record(Offset(offset), key, value)


class LogSource(RecordSource):
    """Serves a record log; may be away or stale."""

    def __init__(self, log: RecordLog) -> None:
        self.log = log
        self.away = False
        self.age_s = 0.0
        self.calls = 0

    async def read_newest(self, topic):
        self._check()
        return self.log.snapshot(age_s=self.age_s)

    async def read(self, topic, first, *, wait):
        self._check()
        return await self.log.read(first, wait=wait, age_s=self.age_s)

    def _check(self):
        self.calls += 1
        if self.away:
            raise SourceUnavailableError(ErrorCode.PLATFORM_UNAVAILABLE, "away")


def make_feed(sources, got, failed):
    return TopicFeed(
        topic="t",
        source=lambda: (sources[0], WAIT),
        clock=LoopClock(),
        pause=lambda: datetime.timedelta(milliseconds=100),
        on_records=got.extend,
        on_failure=failed.append,
    )


async def test_records_are_passed_on_once_and_in_order():
    # Guards against a record that is lost or applied twice.
    log = RecordLog()
    log.extend(RecordBatch((record(0, "a"), record(1, "b")), Offset(2)))
    got, failed = [], []
    feed = make_feed([LogSource(log)], got, failed)
    task = asyncio.create_task(feed.run())
    await asyncio.sleep(0.5)
    for offset in range(2, 8):
        log.extend(RecordBatch((record(offset, "c"),), Offset(offset + 1)))
        await asyncio.sleep(0.05)
    await asyncio.sleep(1.0)
    assert [r.offset for r in got] == list(range(8))
    assert failed == []
    task.cancel()


async def test_keys_that_ended_while_history_was_lost_are_dropped():
    # Guards against servers that are kept because their end was never read.
    log = RecordLog()
    log.extend(RecordBatch((record(0, "a"), record(1, "b")), Offset(2)))
    first = log.snapshot(age_s=0.0)
    mine = RecordLog()
    mine.reset(first)
    later = RecordBatch((record(1, "b"), record(9, "c")), Offset(10))
    drops = mine.reset(later)
    assert [(d.key, d.value) for d in drops] == [("a", None)]


async def test_stale_snapshot_drops_nothing():
    # Guards against a store's stale answer that removes new servers.
    mine = RecordLog()
    mine.reset(RecordBatch((record(0, "a"), record(5, "b")), Offset(6)))
    assert mine.reset(RecordBatch((record(0, "a"),), Offset(3))) == []
    assert {r.key for r in mine.snapshot(age_s=0.0).records} == {"a", "b"}


async def test_reader_behind_the_kept_records_starts_anew():
    # Guards against a reader that skips records it never saw.
    log = RecordLog()
    log.reset(RecordBatch((record(7, "a"),), Offset(8)))
    with pytest.raises(HistoryLostError):
        await log.read(Offset(3), wait=WAIT, age_s=0.0)


async def test_relay_that_fails_is_reported_and_another_source_takes_over():
    # Guards against a zone that goes without news when its relay dies.
    log = RecordLog()
    log.extend(RecordBatch((record(0, "a"),), Offset(1)))
    relay, store = LogSource(log), LogSource(log)
    sources = [relay]
    got = []

    def failed(source):
        if source is relay:
            sources[0] = store

    feed = make_feed(sources, got, [])
    feed._on_failure = failed
    task = asyncio.create_task(feed.run())
    await asyncio.sleep(0.5)
    relay.away = True
    log.extend(RecordBatch((record(1, "b"),), Offset(2)))
    await asyncio.sleep(2.5)
    log.extend(RecordBatch((record(2, "c"),), Offset(3)))
    await asyncio.sleep(0.2)
    assert [r.key for r in got] == ["a", "b", "c"]
    assert feed.is_fresh
    task.cancel()


async def test_relay_cut_off_from_the_store_counts_as_failed():
    # Guards against a relay that answers at once with old news.
    log = RecordLog()
    log.extend(RecordBatch((record(0, "a"),), Offset(1)))
    relay = LogSource(log)
    relay.age_s = 5.0
    failed = []
    feed = make_feed([relay], [], failed)
    task = asyncio.create_task(feed.run())
    await asyncio.sleep(0.5)
    assert failed and not feed.is_fresh
    task.cancel()


async def test_relay_that_loses_the_store_tells_its_readers_at_once():
    # Guards against a declaration that comes into force seconds late, because the
    # store turns away just the relays and their readers wait for old news.
    log = RecordLog()
    log.extend(RecordBatch((record(0, "a"),), Offset(1)))
    store = LogSource(log)
    relay = make_feed([store], [], [])
    relay_task = asyncio.create_task(relay.run())
    await asyncio.sleep(0.5)
    served = LogSource(relay.log)
    failed = []
    reader = make_feed([served], [], failed)
    reader_task = asyncio.create_task(reader.run())
    await asyncio.sleep(1.0)
    assert failed == []
    store.away = True
    for _ in range(25):
        served.age_s = relay.reported_age_s
        await asyncio.sleep(0.1)
        if failed:
            break
    assert failed
    assert relay.age_s < 3.0
    relay_task.cancel()
    reader_task.cancel()
