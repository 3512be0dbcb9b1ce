"""Snapshots that a node reads from its relay page by page."""

import asyncio
import datetime
import random

from pomelolug.entry.peers import RelaySource, serve_records
from pomelolug.feeds import Record, RecordBatch, RecordLog
from pomelolug.ids import Offset
from pomelolug.transport import ConnectionPool

LARGE = random.Random(1).randbytes(100_000)
"""Two of these do not fit in one page, even compressed."""


class Relay:
    """Feed of a relay whose records a test sets."""

    def __init__(self) -> None:
        self.log = RecordLog()
        self.age_s = 0.0
        self.is_fresh = True

    def read(self, first: int, *records: tuple[str, bytes | None]) -> None:
        batch = tuple(
            Record(Offset(first + number), key, value)
            for number, (key, value) in enumerate(records)
        )
        self.log.extend(RecordBatch(batch, Offset(first + len(batch))))


class Request:
    """Request of a reader, which keeps the response."""

    def __init__(self, target: bytes) -> None:
        self.target = target
        self.data = b""

    def reply(self, status: int, headers: object, data: bytes) -> None:
        self.start(status, headers, length=len(data))
        self.write(data)

    def start(self, status: int, headers: object, *, length: int) -> None:
        assert status == 200

    def write(self, data: bytes) -> None:
        self.data += data

    def finish(self) -> None:
        assert self.data


class SourceWithoutNetwork(RelaySource):
    """Source that calls the relay directly, and a function after each response."""

    def __init__(self, relay: Relay, after_response) -> None:
        second = datetime.timedelta(seconds=1)
        super().__init__(
            address="relay",
            pool=ConnectionPool(max_idle=second, connect_timeout=second),
        )
        self._relay = relay
        self._after_response = after_response

    async def _send_request(self, request: bytes, limit: asyncio.Timeout) -> bytes:
        exchange = Request(request.split(b" ")[1])
        await serve_records(exchange, {"t": self._relay})
        self._after_response()
        return exchange.data


async def test_removal_between_two_pages_reaches_the_reader():
    # Guards against a key that stays with the reader for good because it was removed
    # after the page with it, and the snapshot seemed to reach past the removal.
    relay, reader = Relay(), RecordLog()
    relay.log.reset(RecordBatch((), Offset(0)))
    relay.read(0, ("evacuate/a", LARGE), ("config", LARGE))
    removals = [lambda: relay.read(2, ("evacuate/a", None))]
    source = SourceWithoutNetwork(relay, lambda: removals.pop()() if removals else None)
    batch = await source.read_newest("t")
    reader.reset(batch)
    rest = await source.read("t", batch.end, wait=datetime.timedelta(0))
    reader.extend(rest)
    newest = reader.snapshot(age_s=0.0).records
    assert [record.key for record in newest] == ["config"]
    assert rest.end == 3
