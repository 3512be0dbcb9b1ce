"""Fake of the users' metadata store: keyed topics and assignment of duties."""

import asyncio
import base64
import dataclasses
import urllib.parse
from collections.abc import Callable

import msgspec

from pomelolug.transport import Exchange, HttpServerLimits, ServerConnection

__all__ = ["FakeMetadataStore"]

_JSON_HEADERS = ((b"Content-Type", b"application/json"),)


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCopy:
    """Records of each topic and generation of the assignments at one time."""

    records: dict[str, tuple[bytes, ...]]
    generation: int


@dataclasses.dataclass(slots=True)
class _Topic:
    records: list[bytes] = dataclasses.field(default_factory=list)
    first_offset: int = 0
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


class FakeMetadataStore:
    """Serves the store's HTTP interface on loopback; attributes inject faults."""

    def __init__(self) -> None:
        self._topics: dict[str, _Topic] = {}
        self._member_expiry_s: dict[str, float] = {}
        self._compacted: dict[str, tuple[int, bytes]] = {}
        self._generation = 0
        self._era = 1
        self._connections: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None
        self.address = ""
        self.is_unresponsive = False
        """Whether requests get no response."""
        self.error_status: int | None = None
        """Status with which every request is rejected; None handles requests."""
        self.drops_write_responses = False
        """Whether appends take effect but get no response."""
        self.names_era = True
        """Whether responses name the era, which grows with each restoration."""
        self.requested_paths: list[str] = []
        self.on_record: Callable[[str, str, bytes], None] | None = None
        """Called with the topic, key and value of each stored record."""

    async def start(self) -> None:
        """Listen on a free port."""
        loop = asyncio.get_running_loop()
        limits = HttpServerLimits()
        self._server = await loop.create_server(
            lambda: ServerConnection(
                self._handle, limits, self._connections, lambda status: None
            ),
            "127.0.0.1",
            0,
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Close the port and all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.abort()

    def put(self, topic_name: str, key: str, value: bytes) -> int:
        """Append a record as the operator or a server would; b"" deletes the key."""
        topic = self._topics.setdefault(topic_name, _Topic())
        key_bytes = key.encode()
        self._append_record(topic_name, bytes([len(key_bytes)]) + key_bytes + value)
        return topic.first_offset + len(topic.records) - 1

    def compact(self, topic_name: str) -> None:
        """Drop the history except for the newest record of each key."""
        topic = self._topics[topic_name]
        newest = self._newest_records(topic)
        topic.first_offset += len(topic.records)
        topic.records.clear()
        self._compacted = newest

    def copy(self) -> StoreCopy:
        """Return a copy of the store, which must not have been compacted."""
        assert not self._compacted
        records = {name: tuple(t.records) for name, t in self._topics.items()}
        return StoreCopy(records, self._generation)

    def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy, as after the loss of what was written since.

        All connections are closed, and offsets are given out again.
        """
        for name, topic in self._topics.items():
            topic.records = list(copy.records.get(name, ()))
        self._generation = copy.generation
        self._member_expiry_s.clear()
        self._era += 1
        for connection in list(self._connections):
            connection.abort()

    def newest(self, topic_name: str) -> dict[str, bytes]:
        """Return the newest value of each key of a topic."""
        topic = self._topics.get(topic_name, _Topic())
        newest = self._newest_records(topic)
        return {key: value for key, (_, value) in newest.items() if value}

    def _append_record(self, topic_name: str, record: bytes) -> None:
        """Append a record and wake the waiting reads."""
        topic = self._topics[topic_name]
        topic.records.append(record)
        topic.changed.set()
        topic.changed = asyncio.Event()
        if self.on_record is not None:
            key_length = record[0]
            key, value = record[1 : 1 + key_length], record[1 + key_length :]
            self.on_record(topic_name, key.decode(), value)

    async def _handle(self, exchange: Exchange) -> None:
        target = exchange.target.decode()
        path, _, query_string = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query_string))
        self.requested_paths.append(path)
        if self.is_unresponsive:
            await asyncio.sleep(3600)
        if self.error_status is not None:
            self._reply(exchange, self.error_status, b"")
            return
        if path == "/-/log-newest":
            self._send_newest(exchange, query)
        elif path == "/-/log-read":
            await self._send_records(exchange, query)
        elif path == "/-/log-append":
            await self._handle_append(exchange, query)
        elif path == "/-/log-join":
            self._handle_join(exchange)
        elif path == "/-/log-leave":
            self._member_expiry_s.pop(
                msgspec.json.decode(exchange.body)["member"], None
            )
            self._reply(exchange, 200, b"{}")
        else:
            self._reply(exchange, 200, b"{}")

    def _reply(self, exchange: Exchange, status: int, body: bytes) -> None:
        headers = [*_JSON_HEADERS]
        if self.names_era:
            headers.append((b"Store-Era", b"%d" % self._era))
        exchange.reply(status, tuple(headers), body)

    def _newest_records(self, topic: _Topic) -> dict[str, tuple[int, bytes]]:
        newest = dict(self._compacted)
        for index, record in enumerate(topic.records):
            key_length = record[0]
            key = record[1 : 1 + key_length].decode()
            newest[key] = (topic.first_offset + index, record[1 + key_length :])
        return newest

    def _send_newest(self, exchange: Exchange, query: dict[str, str]) -> None:
        topic = self._topics.setdefault(query["topic"], _Topic())
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in sorted(self._newest_records(topic).items())
            if value
        ]
        end = topic.first_offset + len(topic.records)
        body = {"items": items, "truncated": False, "end": end}
        self._reply(exchange, 200, msgspec.json.encode(body))

    async def _send_records(self, exchange: Exchange, query: dict[str, str]) -> None:
        topic = self._topics.setdefault(query["topic"], _Topic())
        from_offset = int(query["from"])
        end = topic.first_offset + len(topic.records)
        if from_offset >= end and "wait_ms" in query:
            try:
                async with asyncio.timeout(int(query["wait_ms"]) / 1000):
                    await topic.changed.wait()
            except TimeoutError:
                pass
            end = topic.first_offset + len(topic.records)
        if not topic.first_offset <= from_offset <= end:
            body = msgspec.json.encode({"first": topic.first_offset})
            self._reply(exchange, 410, body)
            return
        data = end.to_bytes(8, "big") + topic.first_offset.to_bytes(8, "big")
        for record in topic.records[from_offset - topic.first_offset :]:
            data += len(record).to_bytes(4, "big") + record
        self._reply(exchange, 200, data)

    async def _handle_append(self, exchange: Exchange, query: dict[str, str]) -> None:
        topic = self._topics.setdefault(query["topic"], _Topic())
        body = exchange.body
        while body:
            end = 4 + int.from_bytes(body[:4], "big")
            self._append_record(query["topic"], body[4:end])
            body = body[end:]
        if self.drops_write_responses:
            await asyncio.sleep(3600)
        end = topic.first_offset + len(topic.records)
        answer = {"offset": end - 1, "end": end}
        self._reply(exchange, 200, msgspec.json.encode(answer))

    def _handle_join(self, exchange: Exchange) -> None:
        now = asyncio.get_running_loop().time()
        call = msgspec.json.decode(exchange.body)
        live = {
            member: expires_at_s
            for member, expires_at_s in self._member_expiry_s.items()
            if expires_at_s > now
        }
        if set(live) != set(self._member_expiry_s) or call["member"] not in live:
            self._generation += 1
        live[call["member"]] = now + call["ttl_ms"] / 1000
        self._member_expiry_s = live
        is_owner = min(live) == call["member"]
        parts = [[call["topics"][0], 0, 0]] if is_owner else []
        answer = {"generation": self._generation, "parts": parts}
        self._reply(exchange, 200, msgspec.json.encode(answer))
