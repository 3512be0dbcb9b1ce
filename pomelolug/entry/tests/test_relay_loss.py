"""Age of what a node has read when the relay of its zone is lost without a sign."""

import asyncio
import datetime

import pytest

from pomelolug.entry.peers import longest_wait_within
from pomelolug.entry.tests.harness import Harness
from pomelolug.errors import ErrorCode
from pomelolug.feeds import (
    RecordBatch,
    RecordLog,
    RecordSource,
    SourceUnavailableError,
    TopicFeed,
)
from pomelolug.ids import Offset
from pomelolug.testing import LoopClock

RESPONSE_TIMEOUT_S = 0.4
"""Time after which a reader gives up a relay, beside the wait of the read."""
READ_PAUSE = datetime.timedelta(milliseconds=200)
SHORTEST_LAPSES_S = (1.4, 2.1, 3.5)
"""Times without the store in which the entry of a live server can lapse."""


class Source(RecordSource):
    """The store, or a relay that has the age of its feed and can be frozen."""

    def __init__(self, name: str, *, feed: TopicFeed | None = None) -> None:
        self._name = name
        self._feed = feed
        self._log = RecordLog()
        self._log.reset(RecordBatch((), Offset(0)))
        self.is_frozen = False

    @property
    def name(self) -> str:
        return self._name

    async def read_newest(self, topic: str) -> RecordBatch:
        return await self.read(topic, Offset(0), wait=datetime.timedelta(0))

    async def read(
        self, topic: str, first: Offset, *, wait: datetime.timedelta
    ) -> RecordBatch:
        await asyncio.sleep(0.02)
        batch = await self._log.read(first, wait=wait, age_s=0.0)
        if self.is_frozen:
            await asyncio.sleep(RESPONSE_TIMEOUT_S)
            raise SourceUnavailableError(ErrorCode.PLATFORM_UNAVAILABLE, "frozen")
        age_s = self._feed.age_s if self._feed is not None else 0.0
        return RecordBatch(batch.records, batch.end, age_s)


def make_feed(sources: list[Source], wait: datetime.timedelta) -> TopicFeed:
    """Return a feed that reads the first source, and drops it when it fails."""
    return TopicFeed(
        topic="t",
        select_source=lambda: (sources[0], wait),
        clock=LoopClock(),
        read_pause=lambda: READ_PAUSE,
        on_records=lambda records: None,
        on_failure=lambda source: sources.remove(source),
        retry_delay=lambda source, failing_for: datetime.timedelta(seconds=0.25),
    )


@pytest.mark.looptime
@pytest.mark.parametrize("lapse_s", SHORTEST_LAPSES_S)
@pytest.mark.parametrize("settled_ms", range(2000, 3600, 90))
async def test_readers_of_a_frozen_relay_are_without_the_store_for_a_short_time(
    lapse_s, settled_ms
):
    # Guards against a removed server in use for two seconds more: a node that has
    # heard nothing for long takes the removal for an entry that could not be renewed.
    lapse = datetime.timedelta(seconds=lapse_s)
    wait = longest_wait_within(lapse, read_pause=READ_PAUSE)
    store = Source("store")
    relay_feed = make_feed([store], wait)
    relay = Source("relay", feed=relay_feed)
    reader = make_feed([relay, store], wait)
    relay_task = asyncio.create_task(relay_feed.run())
    # The reads of the two nodes begin at different times.
    await asyncio.sleep(settled_ms / 7000)
    reader_task = asyncio.create_task(reader.run())
    await asyncio.sleep(settled_ms / 1000)
    relay.is_frozen = True
    relay_task.cancel()
    ages_s = []
    for _ in range(400):
        await asyncio.sleep(0.01)
        ages_s.append(reader.age_s)
    assert max(ages_s) < lapse_s
    reader_task.cancel()
    await asyncio.gather(relay_task, reader_task, return_exceptions=True)


async def test_server_entries_are_read_with_the_wait_that_a_lost_relay_allows():
    # Guards against an idle relay that waits so long at the store that its readers are
    # late if it is lost.
    async with Harness() as relay, Harness(joins=relay) as reader:
        await relay.start()
        await asyncio.sleep(0.1)
        await reader.start(seeds=(f"{relay.ip}:8003",))
        await asyncio.sleep(1.0)
        for node in (relay, reader):
            assert node.entry is not None
            longest = longest_wait_within(
                node.entry._settings.shortest_lapse, read_pause=READ_PAUSE
            )
            assert node.entry._server_source()[1] <= longest
        names = [node.entry._server_source()[0].name for node in (relay, reader)]
        assert names == ["store", f"relay {relay.ip}:8003"]
