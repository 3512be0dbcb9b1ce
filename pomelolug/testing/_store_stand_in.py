"""Stand-in of the users' store: keyed topics, and duties shared among members."""

import asyncio
import base64
import dataclasses
import urllib.parse
from collections.abc import Callable

import msgspec

from pomelolug.transport import Exchange, HttpServerLimits, ServerConnection

__all__ = ["StoreStandIn"]

_JSON = ((b"Content-Type", b"application/json"),)


@dataclasses.dataclass(slots=True)
class _Topic:
    records: list[bytes] = dataclasses.field(default_factory=list)
    first: int = 0
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


class StoreStandIn:
    """Serves the store's calls on loopback; faults are set as attributes."""

    def __init__(self) -> None:
        self._topics: dict[str, _Topic] = {}
        self._members: dict[str, float] = {}
        self._kept: dict[str, tuple[int, bytes]] = {}
        self._generation = 0
        self._connections: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None
        self.address = ""
        self.down = False
        """Whether calls get no answer."""
        self.status: int | None = None
        """Status with which every call is turned away."""
        self.lose_answers = False
        """Whether writes are done and not answered."""
        self.calls: list[str] = []
        self.on_record: Callable[[str, str, bytes], None] | None = None
        """Called with topic, key and value of each record that is stored."""

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

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Write a record as the operator or a server; empty bytes drop the key."""
        entry = self._topics.setdefault(topic, _Topic())
        name = key.encode()
        self._keep(topic, bytes([len(name)]) + name + value)
        return entry.first + len(entry.records) - 1

    def forget(self, topic: str) -> None:
        """Drop the history; the newest record of each key is kept apart."""
        entry = self._topics[topic]
        newest = self._newest(entry)
        entry.first += len(entry.records)
        entry.records.clear()
        self._kept = newest

    def _keep(self, topic: str, record: bytes) -> None:
        """Append a record and wake the reads that wait for it."""
        entry = self._topics[topic]
        entry.records.append(record)
        entry.changed.set()
        entry.changed = asyncio.Event()
        if self.on_record is not None:
            size = record[0]
            key, value = record[1 : 1 + size], record[1 + size :]
            self.on_record(topic, key.decode(), value)

    async def _handle(self, exchange: Exchange) -> None:
        target = exchange.target.decode()
        path, _, text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        self.calls.append(path)
        if self.down:
            await asyncio.sleep(3600)
        if self.status is not None:
            exchange.reply(self.status, (), b"")
            return
        if path == "/-/log-newest":
            self._answer_newest(exchange, query)
        elif path == "/-/log-read":
            await self._answer_read(exchange, query)
        elif path == "/-/log-append":
            await self._append(exchange, query)
        elif path == "/-/log-join":
            self._join(exchange)
        elif path == "/-/log-leave":
            self._members.pop(msgspec.json.decode(exchange.body)["member"], None)
            exchange.reply(200, _JSON, b"{}")
        else:
            exchange.reply(200, _JSON, b"{}")

    def _newest(self, entry: _Topic) -> dict[str, tuple[int, bytes]]:
        newest = dict(self._kept)
        for number, record in enumerate(entry.records):
            size = record[0]
            key = record[1 : 1 + size].decode()
            newest[key] = (entry.first + number, record[1 + size :])
        return newest

    def _answer_newest(self, exchange: Exchange, query: dict[str, str]) -> None:
        entry = self._topics.setdefault(query["topic"], _Topic())
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in sorted(self._newest(entry).items())
            if value
        ]
        end = entry.first + len(entry.records)
        body = {"items": items, "truncated": False, "end": end}
        exchange.reply(200, _JSON, msgspec.json.encode(body))

    async def _answer_read(self, exchange: Exchange, query: dict[str, str]) -> None:
        entry = self._topics.setdefault(query["topic"], _Topic())
        first = int(query["from"])
        end = entry.first + len(entry.records)
        if first >= end and "wait_ms" in query:
            try:
                async with asyncio.timeout(int(query["wait_ms"]) / 1000):
                    await entry.changed.wait()
            except TimeoutError:
                pass
            end = entry.first + len(entry.records)
        if first < entry.first:
            body = msgspec.json.encode({"first": entry.first})
            exchange.reply(410, _JSON, body)
            return
        data = end.to_bytes(8, "big") + entry.first.to_bytes(8, "big")
        for record in entry.records[first - entry.first :]:
            data += len(record).to_bytes(4, "big") + record
        exchange.reply(200, (), data)

    async def _append(self, exchange: Exchange, query: dict[str, str]) -> None:
        entry = self._topics.setdefault(query["topic"], _Topic())
        body = exchange.body
        self._keep(query["topic"], body[4:])
        if self.lose_answers:
            await asyncio.sleep(3600)
        end = entry.first + len(entry.records)
        answer = {"offset": end - 1, "end": end}
        exchange.reply(200, _JSON, msgspec.json.encode(answer))

    def _join(self, exchange: Exchange) -> None:
        now = asyncio.get_running_loop().time()
        call = msgspec.json.decode(exchange.body)
        live = {m: at for m, at in self._members.items() if at > now}
        if set(live) != set(self._members) or call["member"] not in live:
            self._generation += 1
        live[call["member"]] = now + call["ttl_ms"] / 1000
        self._members = live
        holds = min(live) == call["member"]
        parts = [[call["topics"][0], 0, 0]] if holds else []
        answer = {"generation": self._generation, "parts": parts}
        exchange.reply(200, _JSON, msgspec.json.encode(answer))
