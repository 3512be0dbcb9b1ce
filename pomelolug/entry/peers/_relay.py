"""Reading of the store's records through the relay of the zone.

One node of each zone, the relay, reads the store, and the others read from it. So
the number of calls to the store grows with the zones and not with the nodes.
"""

import asyncio
import dataclasses
import datetime
import urllib.parse
from collections.abc import Mapping

from pomelolug.errors import ErrorCode, PeerError
from pomelolug.feeds import (
    HistoryLostError,
    Record,
    RecordBatch,
    RecordSource,
    SourceUnavailableError,
    TopicFeed,
)
from pomelolug.ids import Offset
from pomelolug.messages import FeedBatch, FeedRecord, decode, encode
from pomelolug.transport import (
    ConnectionPool,
    Exchange,
    HttpConnectionError,
    encode_request,
)

__all__ = ["RECORDS_PATH", "RelaySource", "serve_records"]

RECORDS_PATH = b"/records"

_RESPONSE_TIMEOUT_S = 0.4
"""Time limit of a response, in addition to the long-poll wait."""
_MAX_BATCH_BYTES = 4 * 1024 * 1024
_MAX_WAIT_S = 5.0
"""Longest long-poll wait that a peer can request."""
_PAGE_BYTES = 160 * 1024
"""Bytes of keys and values per response, below the limit on a peer message."""


class RelaySource(RecordSource):
    """Source that reads the records from the relay of the zone.

    Parameters
    ----------
    address : str
        Address of the relay for peers.
    pool : ConnectionPool
        Connections to peers.
    """

    def __init__(self, *, address: str, pool: ConnectionPool) -> None:
        self._address = address
        self._pool = pool

    @property
    def address(self) -> str:
        """Address of the relay."""
        return self._address

    @property
    def name(self) -> str:
        """Name of the source in the log."""
        return f"relay {self._address}"

    async def read_newest(self, topic: str) -> RecordBatch:
        """Return the newest record of each key, fetched page by page.

        The pages together are not a consistent snapshot. What the relay has read since
        the first page still has to be read, so the end is that of the first page.
        """
        records: list[Record] = []
        log_end: int | None = None
        # Despite its name, the offset is inclusive: a page starts at `after`.
        after = 0
        while True:
            query = {"topic": topic, "after": str(after)}
            page = await self._fetch(query, 0.0)
            batch = _to_batch(page)
            records += batch.records
            if log_end is None:
                log_end = page.log_end
            if not page.more:
                # A relay of an earlier version does not send the end of its log.
                end = batch.end if log_end is None else Offset(log_end)
                return dataclasses.replace(batch, records=tuple(records), end=end)
            after = batch.end

    async def read(
        self, topic: str, first: Offset, *, wait: datetime.timedelta
    ) -> RecordBatch:
        """Return the records from offset `first` on, waiting for one if needed."""
        wait_s = wait.total_seconds()
        query = {"topic": topic, "from": str(first), "wait_s": f"{wait_s:.3f}"}
        return _to_batch(await self._fetch(query, wait_s))

    async def _fetch(self, query: Mapping[str, str], wait_s: float) -> FeedBatch:
        target = RECORDS_PATH + b"?" + urllib.parse.urlencode(query).encode()
        request = encode_request(b"GET", target, [(b"Host", self._address.encode())])
        try:
            async with asyncio.timeout(wait_s + _RESPONSE_TIMEOUT_S):
                data = await self._send_request(request)
            batch = decode(data, FeedBatch)
        except (HttpConnectionError, TimeoutError, PeerError) as error:
            raise SourceUnavailableError(
                ErrorCode.PLATFORM_UNAVAILABLE,
                f"reading from relay {self._address} failed: {error!r}",
            ) from error
        if batch.lost:
            raise HistoryLostError(
                ErrorCode.LOG_INCOMPLETE,
                f"relay {self._address} no longer has the requested records",
            )
        return batch

    async def _send_request(self, request: bytes) -> bytes:
        connection = await self._pool.acquire(self._address)
        try:
            connection.send(request)
            head = await connection.read_head()
            data = await connection.read_body(_MAX_BATCH_BYTES)
        except BaseException:
            connection.abort()
            raise
        self._pool.release(self._address, connection)
        if head.status != 200:
            raise HttpConnectionError(f"status_{head.status}")
        return data


def _to_batch(page: FeedBatch) -> RecordBatch:
    records = tuple(Record(Offset(r.offset), r.key, r.value) for r in page.records)
    return RecordBatch(records, Offset(page.end), page.age_s, page.stale)


async def serve_records(exchange: Exchange, feeds: Mapping[str, TopicFeed]) -> None:
    """Answer a peer that reads records from this node."""
    query_string = exchange.target.partition(b"?")[2].decode("latin-1")
    query = dict(urllib.parse.parse_qsl(query_string))
    feed = feeds.get(query.get("topic", ""))
    if feed is None or not feed.log.is_loaded:
        exchange.reply(404, (), b"")
        return
    try:
        data = encode(
            _paginate(await _read_feed(feed, query), is_snapshot="after" in query)
        )
    except HistoryLostError:
        data = encode(FeedBatch(end=0, age_s=feed.age_s, lost=True))
    except ValueError:
        exchange.reply(400, (), b"")
        return
    except PeerError:
        # A record exceeds the message limit; the peer reads it from the store.
        exchange.reply(413, (), b"")
        return
    exchange.reply(200, (), data)


async def _read_feed(feed: TopicFeed, query: Mapping[str, str]) -> RecordBatch:
    if "after" in query:
        after = int(query["after"])
        snapshot = feed.log.snapshot(age_s=feed.age_s)
        rest = tuple(r for r in snapshot.records if r.offset >= after)
        return RecordBatch(rest, snapshot.end, snapshot.age_s, not feed.is_fresh)
    wait_s = min(float(query.get("wait_s", "0")), _MAX_WAIT_S)
    if not feed.is_fresh:
        wait_s = 0.0
    batch = await feed.log.read(
        Offset(int(query["from"])),
        wait=datetime.timedelta(seconds=wait_s),
        age_s=0.0,
    )
    return RecordBatch(batch.records, batch.end, feed.age_s, not feed.is_fresh)


def _paginate(batch: RecordBatch, *, is_snapshot: bool) -> FeedBatch:
    """Return the records that fit in one response; the peer reads the rest next.

    The first record is always included, whatever its size. If records are left out,
    `end` is the offset of the first of them.
    """
    records: list[FeedRecord] = []
    size = 0
    end = int(batch.end)
    for record in batch.records:
        size += len(record.key) + len(record.value or b"")
        if records and size > _PAGE_BYTES:
            end = record.offset
            break
        records.append(
            FeedRecord(offset=record.offset, key=record.key, value=record.value)
        )
    is_truncated = end != batch.end
    return FeedBatch(
        records=tuple(records),
        end=end,
        age_s=batch.age_s,
        stale=batch.is_stale,
        log_end=batch.end if is_snapshot else None,
        more=is_snapshot and is_truncated,
    )
