"""Large records, such as a declaration of thousands of routes, read through a relay."""

import asyncio
import contextlib
import dataclasses
import datetime
import random
import time
from collections.abc import AsyncIterator, Callable

import msgspec
import pytest

from pomelolug.entry.peers import RelaySource, serve_records
from pomelolug.feeds import Record, RecordBatch, RecordLog, SourceUnavailableError
from pomelolug.ids import Offset
from pomelolug.messages import FeedBatch, decode, encode
from pomelolug.transport import ConnectionPool

ROUTES = 2000
NO_WAIT = datetime.timedelta(0)
NOTICED_S = 2.0
"""Time in which a reader must notice that the relay is lost, so that it can still read
the store within half of the usual bound of 3 s and a margin."""


def make_value(version: int, count: int = ROUTES) -> bytes:
    rng = random.Random(1)
    routes = [
        {"name": f"r-{rng.getrandbits(60):x}", "host": f"h{rng.getrandbits(60):x}" * 10}
        for _ in range(count)
    ]
    routes[version % count]["host"] = "changed"
    return msgspec.json.encode({"version": version, "routes": routes})


def make_batch(first: int, *values: bytes) -> RecordBatch:
    records = tuple(
        Record(Offset(first + number), "config", value)
        for number, value in enumerate(values)
    )
    return RecordBatch(records, Offset(first + len(values)))


class Feed:
    """Feed of the relay, whose records a test sets."""

    def __init__(self, *values: bytes) -> None:
        self.log = RecordLog()
        self.log.reset(make_batch(0, *values[:1]))
        self.log.extend(make_batch(1, *values[1:]))
        self.age_s = 0.0
        self.is_fresh = True


class Request:
    """Request of a reader, which keeps the response."""

    def __init__(self, target: bytes) -> None:
        self.target = target
        self.status = 0
        self.data = b""

    def reply(self, status: int, headers: object, data: bytes) -> None:
        self.start(status, headers, length=len(data))
        self.write(data)

    def start(self, status: int, headers: object, *, length: int) -> None:
        self.status = status

    def write(self, data: bytes) -> None:
        self.data += data

    def finish(self) -> None:
        assert self.status


async def ask(feed: Feed, query: str) -> Request:
    request = Request(b"/records?topic=t&" + query.encode())
    await serve_records(request, {"t": feed})
    return request


def make_pool() -> ConnectionPool:
    second = datetime.timedelta(seconds=1)
    return ConnectionPool(max_idle=second, connect_timeout=second)


class SourceWithoutNetwork(RelaySource):
    """Source of a reader that calls the relay directly and counts the bytes."""

    def __init__(
        self,
        feed: Feed,
        known: Record | None,
        *,
        alter_request: Callable[[bytes], bytes] = lambda target: target,
        alter_response: Callable[[FeedBatch], FeedBatch] = lambda page: page,
    ) -> None:
        super().__init__(
            address="relay", pool=make_pool(), find_record=lambda topic, key: known
        )
        self._feed = feed
        self._alter_request = alter_request
        self._alter_response = alter_response
        self.sizes: list[int] = []

    async def _send_request(self, request: bytes, limit: asyncio.Timeout) -> bytes:
        exchange = Request(self._alter_request(request.split(b" ")[1]))
        await serve_records(exchange, {"t": self._feed})
        assert exchange.status == 200
        self.sizes.append(len(exchange.data))
        return encode(self._alter_response(decode(exchange.data, FeedBatch)))


def known_record(value: bytes, offset: int = 0) -> Record:
    return Record(Offset(offset), "config", value)


async def test_reader_gets_the_difference_to_its_version():
    # Guards against 30 nodes of a zone that each read 300 KB from their relay for
    # every change of one route.
    old, new = make_value(1), make_value(2)
    source = SourceWithoutNetwork(Feed(old, new), known_record(old))
    batch = await source.read("t", Offset(1), wait=NO_WAIT)
    assert [record.value for record in batch.records] == [new]
    assert source.sizes[0] < 1000


async def test_reader_that_missed_versions_gets_the_newest_ones():
    # Guards against a reader that has to turn to the store after a few fast changes.
    values = [make_value(version) for version in range(6)]
    source = SourceWithoutNetwork(Feed(*values), known_record(values[0]))
    batch = await source.read("t", Offset(1), wait=NO_WAIT)
    assert [record.value for record in batch.records] == values[1:]
    assert len(source.sizes) == 1


async def test_version_that_goes_back_is_read_through_the_relay():
    # Guards against a difference that is wrong when the operator takes routes away.
    old, new = make_value(1), make_value(2, 3)
    source = SourceWithoutNetwork(Feed(old, new), known_record(old))
    batch = await source.read("t", Offset(1), wait=NO_WAIT)
    assert [record.value for record in batch.records] == [new]


@pytest.mark.parametrize(
    "known", [None, known_record(make_value(1), 7), known_record(make_value(9))]
)
async def test_reader_without_the_earlier_value_asks_for_the_whole(known):
    # Guards against a reader that gets no declaration at all if the relay assumes that
    # it has another one than it does.
    new = make_value(2)
    source = SourceWithoutNetwork(Feed(make_value(1), new), known)
    batch = await source.read("t", Offset(1), wait=NO_WAIT)
    assert [record.value for record in batch.records] == [new]
    assert len(source.sizes) == 2


async def test_snapshot_is_compressed():
    # Guards against nodes that start and read the store because the declaration
    # exceeds the limit of a message.
    new = make_value(2)
    source = SourceWithoutNetwork(Feed(make_value(1), new), None)
    batch = await source.read_newest("t")
    assert [record.value for record in batch.records] == [new]
    assert source.sizes[0] < len(new)


async def test_reader_of_an_earlier_version_gets_plain_values():
    # Guards against a rolling restart in which readers do not understand their relay:
    # they name no values that they accept, and read what is too large from the store.
    small = make_value(2, 100)
    request = await ask(Feed(b"{}", small), "from=1&wait_s=0")
    page = decode(request.data, FeedBatch)
    assert page.records[0].value == small
    assert page.records[0].packed is None
    request = await ask(Feed(b"{}", make_value(2)), "from=1&wait_s=0")
    assert request.status == 413


async def test_reader_of_a_later_version_gets_plain_values():
    # Guards against an error for a reader that accepts what this version cannot send.
    small = make_value(2, 100)
    request = await ask(Feed(b"{}", small), "from=1&wait_s=0&accept=later")
    assert decode(request.data, FeedBatch).records[0].value == small


async def test_relay_of_an_earlier_version_is_understood():
    # Guards against a rolling restart in which relays do not know what readers accept.
    small = make_value(2, 100)
    source = SourceWithoutNetwork(
        Feed(b"{}", small),
        known_record(b"{}"),
        alter_request=lambda target: target.partition(b"&accept=")[0],
    )
    batch = await source.read("t", Offset(1), wait=NO_WAIT)
    assert [record.value for record in batch.records] == [small]


@pytest.mark.parametrize(
    "change", [{"data": b"corrupt"}, {"checksum": 1}, {"size": 10**12}, {"size": 10}]
)
async def test_unusable_packed_value_makes_the_reader_turn_to_the_store(change):
    # Guards against a corrupt or oversized value that takes effect or ends the feed.
    def corrupt(page: FeedBatch) -> FeedBatch:
        record = page.records[0]
        packed = msgspec.structs.replace(record.packed, **change)
        changed = msgspec.structs.replace(record, packed=packed)
        return msgspec.structs.replace(page, records=(changed,))

    old = make_value(1)
    source = SourceWithoutNetwork(
        Feed(old, make_value(2)), known_record(old), alter_response=corrupt
    )
    with pytest.raises(SourceUnavailableError):
        await source.read("t", Offset(1), wait=NO_WAIT)


@dataclasses.dataclass
class FailingRelay:
    """Relay that sends `data` in small parts and then nothing more."""

    data: bytes
    parts: int = 1
    pause_s: float = 0.0
    writers: list[asyncio.StreamWriter] = dataclasses.field(default_factory=list)

    @contextlib.asynccontextmanager
    async def start(self) -> AsyncIterator[str]:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        try:
            yield f"{host}:{port}"
        finally:
            server.close()
            for writer in self.writers:
                writer.close()
            await asyncio.sleep(0.01)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.append(writer)
        await reader.readuntil(b"\r\n\r\n")
        size = 1 + -(-len(self.data) // self.parts)
        for start in range(0, len(self.data), size):
            writer.write(self.data[start : start + size])
            await asyncio.sleep(self.pause_s)
        with contextlib.suppress(ConnectionError):
            await reader.read()


def make_response(*values: bytes) -> bytes:
    records = [
        {"offset": number, "key": "config", "value": value}
        for number, value in enumerate(values)
    ]
    page = msgspec.convert(
        {"type": "FeedBatch", "records": records, "end": 9, "age_s": 0.0}, FeedBatch
    )
    data = encode(page)
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(data), data)


@pytest.mark.parametrize("share", [0.0, 0.1, 0.9])
async def test_relay_lost_in_the_middle_of_a_response_is_noticed_in_time(share):
    # Guards against a reader that waits for the rest of a large response for so long
    # that it reads a withdrawn key or route from the store too late.
    response = make_response(b"x" * 60_000)
    async with FailingRelay(response[: int(share * len(response))]).start() as address:
        source = RelaySource(address=address, pool=make_pool())
        started_s = time.monotonic()
        with pytest.raises(SourceUnavailableError):
            await source.read("t", Offset(0), wait=NO_WAIT)
        assert time.monotonic() - started_s < (NOTICED_S if share else 0.6)
        assert not source.is_receiving


async def test_silent_relay_is_noticed_as_soon_after_a_small_part():
    # Guards against more time for small responses, which need none.
    response = make_response(b"x" * 1000)
    async with FailingRelay(response[:200]).start() as address:
        source = RelaySource(address=address, pool=make_pool())
        started_s = time.monotonic()
        with pytest.raises(SourceUnavailableError):
            await source.read("t", Offset(0), wait=NO_WAIT)
        assert time.monotonic() - started_s < 0.6


async def test_large_response_over_a_slow_link_is_read_to_its_end():
    # Guards against nodes that leave a sound relay for the store because all nodes of
    # the zone read a large record over its link at once.
    response = make_response(b"x" * 60_000)
    relay = FailingRelay(response, parts=8, pause_s=0.1)
    async with relay.start() as address:
        source = RelaySource(address=address, pool=make_pool())
        batch = await source.read("t", Offset(0), wait=NO_WAIT)
        assert [len(record.value or b"") for record in batch.records] == [60_000]
