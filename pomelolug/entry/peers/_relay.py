"""Reading of the store's records through the relay of the zone.

One node of each zone, the relay, reads the store, and the others read from it. So
the number of calls to the store grows with the zones and not with the nodes.
"""

import asyncio
import dataclasses
import datetime
import enum
import urllib.parse
from collections.abc import Callable, Mapping

import structlog

from pomelolug.errors import ErrorCode, PeerError
from pomelolug.feeds import (
    HistoryLostError,
    PackedValue,
    Record,
    RecordBatch,
    RecordLog,
    RecordSource,
    SourceUnavailableError,
    TopicFeed,
    unpack_value,
)
from pomelolug.ids import Offset
from pomelolug.messages import (
    FeedBatch,
    FeedRecord,
    PackedRecordValue,
    decode,
    encode,
)
from pomelolug.transport import (
    ConnectionPool,
    Exchange,
    HttpConnectionError,
    ResponseHead,
    encode_request,
)

__all__ = ["RECORDS_PATH", "RelaySource", "longest_wait_within", "serve_records"]

_log = structlog.get_logger(__name__)

RECORDS_PATH = b"/records"

_RESPONSE_TIMEOUT_S = 0.4
"""Time limit of the head of a response, and of a small one, besides the wait."""
_STORE_RESPONSE_TIME = datetime.timedelta(milliseconds=100)
"""Usual time of a response of the store besides the wait, with margin."""
_SHORTEST_WAIT = datetime.timedelta(milliseconds=100)
_LARGE_BODY_BYTES = 4096
_SLOWEST_BYTES_PER_S = 40_000
"""Part of a link of 10 Mbit/s that one of 30 nodes of a zone gets."""
_MAX_BODY_TIME_S = 1.5
"""Longest time for a body, so that a relay lost in the middle is noticed in time."""
_MAX_BATCH_BYTES = 4 * 1024 * 1024
_MAX_WAIT_S = 5.0
"""Longest long-poll wait that a peer can request."""
_PAGE_BYTES = 160 * 1024
"""Bytes of keys and values per response, below the limit on a peer message."""
_MIN_PACKED_BYTES = 4096
"""Smaller values are sent as they are."""
_BYTES_PER_COPY = 5
"""Most bytes that one number of a packed value takes in a message."""


def longest_wait_within(
    limit: datetime.timedelta, *, read_pause: datetime.timedelta
) -> datetime.timedelta:
    """Return how long reads may wait so that a lost relay is replaced in time.

    A relay that has just waited at the store answers a reader, pauses for good, and
    the reader waits for it in vain. With this wait at the store and at the relay, the
    reader has a response of the store itself within the limit.

    Parameters
    ----------
    limit : datetime.timedelta
        Longest time between two responses of the store.
    read_pause : datetime.timedelta
        Pause after each read.

    Examples
    --------
    >>> limit = datetime.timedelta(seconds=2.1)
    >>> longest_wait_within(limit, read_pause=datetime.timedelta(seconds=0.2))
    datetime.timedelta(microseconds=550000)
    """
    response_timeout = datetime.timedelta(seconds=_RESPONSE_TIMEOUT_S)
    spent = response_timeout + 2 * (read_pause + _STORE_RESPONSE_TIME)
    return max((limit - spent) / 2, _SHORTEST_WAIT)


class _Accepted(enum.Enum):
    """Values that a reader accepts; earlier versions do not say it."""

    PLAIN = ""
    COMPRESSED = "compressed"
    DIFFERENCE = "difference"

    @classmethod
    def _missing_(cls, value: object) -> "_Accepted":
        """Send plain values to a reader of a later version."""
        del value
        return cls.PLAIN


class _UnusableValueError(Exception):
    """A packed value that this node cannot unpack."""


class RelaySource(RecordSource):
    """Source that reads the records from the relay of the zone.

    Parameters
    ----------
    address : str
        Address of the relay for peers.
    pool : ConnectionPool
        Connections to peers.
    find_record : callable
        Returns the newest record of a topic and key that this node has. The relay may
        send differences to it.
    """

    def __init__(
        self,
        *,
        address: str,
        pool: ConnectionPool,
        find_record: Callable[[str, str], Record | None] = lambda topic, key: None,
    ) -> None:
        self._address = address
        self._pool = pool
        self._find_record = find_record
        self._open_bodies = 0

    @property
    def address(self) -> str:
        """Address of the relay."""
        return self._address

    @property
    def name(self) -> str:
        """Name of the source in the log."""
        return f"relay {self._address}"

    @property
    def is_receiving(self) -> bool:
        """Whether a response has begun to arrive and is not complete."""
        return self._open_bodies > 0

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
            page, batch = await self._fetch(query, 0.0, _Accepted.COMPRESSED)
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
        _, batch = await self._fetch(query, wait_s, _Accepted.DIFFERENCE)
        return batch

    async def _fetch(
        self, query: Mapping[str, str], wait_s: float, accepted: _Accepted
    ) -> tuple[FeedBatch, RecordBatch]:
        try:
            return await self._fetch_page(query, wait_s, accepted)
        except _UnusableValueError as error:
            _log.warning(
                "packed_value_refused",
                source=self.name,
                topic=query["topic"],
                accepted=accepted.value,
                reason=str(error),
            )
            if accepted is _Accepted.DIFFERENCE:
                return await self._fetch(query, wait_s, _Accepted.COMPRESSED)
            raise SourceUnavailableError(
                ErrorCode.PLATFORM_UNAVAILABLE,
                f"relay {self._address} sent an unusable value: {error}",
            ) from error

    async def _fetch_page(
        self, query: Mapping[str, str], wait_s: float, accepted: _Accepted
    ) -> tuple[FeedBatch, RecordBatch]:
        query_string = urllib.parse.urlencode({**query, "accept": accepted.value})
        target = RECORDS_PATH + b"?" + query_string.encode()
        request = encode_request(b"GET", target, [(b"Host", self._address.encode())])
        try:
            async with asyncio.timeout(wait_s + _RESPONSE_TIMEOUT_S) as limit:
                data = await self._send_request(request, limit)
            page = decode(data, FeedBatch)
        except (HttpConnectionError, TimeoutError, PeerError) as error:
            raise SourceUnavailableError(
                ErrorCode.PLATFORM_UNAVAILABLE,
                f"reading from relay {self._address} failed: {error!r}",
            ) from error
        if page.lost:
            raise HistoryLostError(
                ErrorCode.LOG_INCOMPLETE,
                f"relay {self._address} no longer has the requested records",
            )
        records = tuple(self._to_record(query["topic"], r) for r in page.records)
        return page, RecordBatch(records, Offset(page.end), page.age_s, page.stale)

    async def _send_request(self, request: bytes, limit: asyncio.Timeout) -> bytes:
        connection = await self._pool.acquire(self._address)
        try:
            connection.send(request)
            head = await connection.read_head()
            _extend_for_body(limit, head)
            self._open_bodies += 1
            try:
                data = await connection.read_body(_MAX_BATCH_BYTES)
            finally:
                self._open_bodies -= 1
        except BaseException:
            connection.abort()
            raise
        self._pool.release(self._address, connection)
        if head.status != 200:
            raise HttpConnectionError(f"status_{head.status}")
        return data

    def _to_record(self, topic: str, message: FeedRecord) -> Record:
        value, packed = message.value, message.packed
        if packed is not None:
            base = None
            if packed.base is not None:
                base = self._find_record(topic, message.key)
                if base is None or base.offset != packed.base:
                    raise _UnusableValueError(f"no record {packed.base} to compare to")
            try:
                value = unpack_value(
                    PackedValue(
                        packed.data, packed.size, packed.checksum, packed.copies
                    ),
                    base=base.value if base else None,
                )
            except PeerError as error:
                raise _UnusableValueError(str(error)) from error
        return Record(Offset(message.offset), message.key, value)


def _extend_for_body(limit: asyncio.Timeout, head: ResponseHead) -> None:
    """Give a large body the time that it needs if the zone shares the relay's link.

    The head shows that the relay responds; without it, the limit stays as it is.
    """
    length = head.get(b"Content-Length") or b""
    size = int(length) if length.isdigit() else 0
    if size > _LARGE_BODY_BYTES:
        body_time_s = min(
            _RESPONSE_TIMEOUT_S + size / _SLOWEST_BYTES_PER_S, _MAX_BODY_TIME_S
        )
        limit.reschedule(asyncio.get_running_loop().time() + body_time_s)


async def serve_records(exchange: Exchange, feeds: Mapping[str, TopicFeed]) -> None:
    """Answer a peer that reads records from this node."""
    query_string = exchange.target.partition(b"?")[2].decode("latin-1")
    query = dict(urllib.parse.parse_qsl(query_string))
    feed = feeds.get(query.get("topic", ""))
    if feed is None or not feed.log.is_loaded:
        exchange.reply(404, (), b"")
        return
    try:
        data = encode(_paginate(await _read_feed(feed, query), feed.log, query))
    except HistoryLostError:
        data = encode(FeedBatch(end=0, age_s=feed.age_s, lost=True))
    except ValueError:
        exchange.reply(400, (), b"")
        return
    except PeerError:
        # A record exceeds the message limit; the peer reads it from the store.
        exchange.reply(413, (), b"")
        return
    exchange.start(200, (), length=len(data))
    if len(data) > _LARGE_BODY_BYTES:
        # All readers that wait for the same record get their heads before the bodies,
        # which may take longer than they wait for a relay without a sign of life.
        await asyncio.sleep(0)
    exchange.write(data)
    exchange.finish()


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


def _paginate(
    batch: RecordBatch, log: RecordLog, query: Mapping[str, str]
) -> FeedBatch:
    """Return the records that fit in one response; the peer reads the rest next.

    The first record is always included, whatever its size. If records are left out,
    `end` is the offset of the first of them.
    """
    is_snapshot = "after" in query
    accepted = _Accepted(query.get("accept", ""))
    read_up_to = None
    if accepted is _Accepted.DIFFERENCE and not is_snapshot:
        read_up_to = Offset(int(query["from"]))
    records: list[FeedRecord] = []
    size = 0
    end = int(batch.end)
    for record in batch.records:
        message = _to_message(record)
        if (
            accepted is not _Accepted.PLAIN
            and _value_bytes(message) > _MIN_PACKED_BYTES
        ):
            message = _to_packed_message(record, log, read_up_to)
        size += len(record.key) + _value_bytes(message)
        if records and size > _PAGE_BYTES:
            end = record.offset
            break
        records.append(message)
    is_truncated = end != batch.end
    return FeedBatch(
        records=tuple(records),
        end=end,
        age_s=batch.age_s,
        stale=batch.is_stale,
        log_end=batch.end if is_snapshot else None,
        more=is_snapshot and is_truncated,
    )


def _to_message(record: Record) -> FeedRecord:
    return FeedRecord(offset=record.offset, key=record.key, value=record.value)


def _to_packed_message(
    record: Record, log: RecordLog, read_up_to: Offset | None
) -> FeedRecord:
    packed, base = log.pack(record, read_up_to=read_up_to)
    value = PackedRecordValue(
        data=packed.data,
        size=packed.size,
        checksum=packed.checksum,
        copies=packed.copies,
        base=base,
    )
    return FeedRecord(offset=record.offset, key=record.key, packed=value)


def _value_bytes(message: FeedRecord) -> int:
    if message.packed is None:
        return len(message.value or b"")
    return len(message.packed.data) + _BYTES_PER_COPY * len(message.packed.copies)
