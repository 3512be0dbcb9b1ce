"""Stand-ins of the platform and its users, for the cases of this review.

Everything runs in one event loop on loopback addresses and needs only the standard
library. The entry processes are started with the command of the deploy file.
"""

import asyncio
import base64
import dataclasses
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
FRONT_PORT, READY_PORT, CONTROL_PORT = 8227, 8220, 8229
INTERNAL_PORTS = (7340, 7355)
_METRICS_PORT = 9464
_NO_LINGER = struct.pack("ii", 1, 0)


class Record:
    """Log of what was sent, answered and run, written to ``record.txt``."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._began_s = time.monotonic()

    def write(self, event: str, **fields: Any) -> None:
        """Write a line with the seconds since the start."""
        at_s = time.monotonic() - self._began_s
        values = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{at_s:9.3f} {event} {values}\n")
        self._file.flush()


@dataclasses.dataclass
class Request:
    """A request that a stand-in has received, and the connection to answer on."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    number: int
    """Number of the request on its connection, from 1."""

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """Parameters of the query."""
        return dict(urllib.parse.parse_qsl(self.target.partition("?")[2]))

    @property
    def id(self) -> str:
        """Id of the request."""
        return self.headers.get("request-id", "")

    def send_head(self, status: str, headers: dict[str, str]) -> None:
        """Send the head of an answer."""
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        self.writer.write(f"HTTP/1.1 {status}\r\n{lines}\r\n".encode())

    def send(self, status: str, headers: dict[str, str], body: bytes = b"") -> None:
        """Send a whole answer."""
        self.send_head(status, headers | {"Content-Length": str(len(body))})
        self.writer.write(body)

    def send_json(self, value: Any, status: str = "200 OK") -> None:
        """Send a whole answer in JSON."""
        body = json.dumps(value).encode()
        self.send(status, {"Content-Type": "application/json"}, body)

    def send_chunk(self, data: bytes) -> None:
        """Send a chunk of a body; without data, its end."""
        self.writer.write(b"%x\r\n%b\r\n" % (len(data), data))

    def reset(self) -> None:
        """Reset the connection."""
        sock = self.writer.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
        self.writer.transport.abort()


Handler = Callable[[Request], Awaitable[None]]


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line of a message and its fields, with names in lower case."""
    data = await reader.readuntil(b"\r\n\r\n")
    first, *lines = data.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return first, fields


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Return a whole chunked body."""
    body = b""
    while size := int((await reader.readline()).partition(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readline()
    await reader.readline()
    return body


async def serve(host: str, port: int, handler: Handler) -> asyncio.Server:
    """Serve HTTP/1.1, one request at a time on a connection."""

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        number = 0
        try:
            while True:
                first, fields = await read_head(reader)
                method, target, _ = first.split(" ")
                if fields.get("transfer-encoding") == "chunked":
                    body = await read_chunks(reader)
                else:
                    size = int(fields.get("content-length", "0"))
                    body = await reader.readexactly(size)
                number += 1
                request = Request(method, target, fields, body, reader, writer, number)
                await handler(request)
                if writer.transport.is_closing():
                    return
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(handle, host, port, backlog=1024)


@dataclasses.dataclass
class Topic:
    """Records of a keyed topic."""

    records: list[bytes] = dataclasses.field(default_factory=list)
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


class Store:
    """The platform's store: keyed topics and consumer groups."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._topics: dict[str, Topic] = {}
        self._generation = 0
        self._owner = ""
        self._acknowledged: dict[str, int] = {}
        self._expires_at_s: dict[str, float] = {}
        self.address = ""
        self.is_silent = False
        """Whether calls get no answer and have no effect."""

    @property
    def owner(self) -> str:
        """Member of the consumer group that holds the partition."""
        return self._owner

    def resume(self) -> None:
        """Answer calls again."""
        self.is_silent = False

    async def start(self, host: str) -> None:
        """Listen on a free port."""
        server = await serve(host, 0, self._handle)
        self.address = f"{host}:{server.sockets[0].getsockname()[1]}"

    def put(self, topic: str, key: str, value: Any) -> None:
        """Append a record as the operator or a server does; None drops the key."""
        data = json.dumps(value).encode() if value is not None else b""
        self._append(topic, bytes([len(key)]) + key.encode() + data)

    def _append(self, name: str, content: bytes) -> None:
        topic = self._topic(name)
        topic.records.append(content)
        topic.changed.set()
        topic.changed = asyncio.Event()

    def _topic(self, name: str) -> Topic:
        return self._topics.setdefault(name, Topic())

    async def _handle(self, request: Request) -> None:
        if self.is_silent:
            await asyncio.sleep(3600)
        query = request.query
        if request.path == "/-/log-newest":
            request.send_json(self._newest(query["topic"]))
        elif request.path == "/-/log-read":
            await self._read(request, query)
        elif request.path == "/-/log-append":
            rest = request.body
            while rest:
                size = int.from_bytes(rest[:4], "big")
                self._append(query["topic"], rest[4 : 4 + size])
                rest = rest[4 + size :]
            end = len(self._topic(query["topic"]).records)
            request.send_json({"offset": end - 1, "end": end})
        elif request.path == "/-/log-join":
            request.send_json(self._join(json.loads(request.body)))
        elif request.path == "/-/log-leave":
            self._drop(json.loads(request.body)["member"])
            request.send_json({})
        else:
            request.send("404 Not Found", {})

    def _newest(self, name: str) -> dict[str, Any]:
        newest = {}
        records = self._topic(name).records
        for offset, content in enumerate(records):
            size = content[0]
            newest[content[1 : 1 + size].decode()] = (offset, content[1 + size :])
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in sorted(newest.items())
            if value
        ]
        return {"items": items, "truncated": False, "end": len(records)}

    async def _read(self, request: Request, query: dict[str, str]) -> None:
        topic, first = self._topic(query["topic"]), int(query["from"])
        if first >= len(topic.records) and "wait_ms" in query:
            try:
                async with asyncio.timeout(int(query["wait_ms"]) / 1000):
                    await topic.changed.wait()
            except TimeoutError:
                pass
        if self.is_silent:
            await asyncio.sleep(3600)
        data = len(topic.records).to_bytes(8, "big") + bytes(8)
        for content in topic.records[first:]:
            data += len(content).to_bytes(4, "big") + content
        request.send("200 OK", {}, data)

    def _join(self, call: dict[str, Any]) -> dict[str, Any]:
        """Keep a member; its partition moves once the owner has agreed or is silent."""
        now_s, member = time.monotonic(), call["member"]
        for other in [m for m, at_s in self._expires_at_s.items() if at_s <= now_s]:
            self._drop(other)
        if member not in self._expires_at_s:
            self._generation += 1
        self._expires_at_s[member] = now_s + call["ttl_ms"] / 1000
        if not self._owner:
            self._owner = member
        parts = [[topic, 0, 0] for topic in call["topics"]]
        is_owner = self._owner == member
        return {"generation": self._generation, "parts": parts if is_owner else []}

    def _drop(self, member: str) -> None:
        if self._expires_at_s.pop(member, None) is not None:
            self._generation += 1
        if self._owner == member:
            self._owner = ""


class Link:
    """Address of a server, through which the connections of one process can be cut.

    While they are cut, no byte passes in either direction. Afterwards the bytes that
    were held go on, unless the process has ended the connection.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self._target = target
        self._cut_pid = 0
        self._mended = asyncio.Event()
        self._held: set[asyncio.StreamWriter] = set()
        self._clients: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self, host: str) -> None:
        """Listen on a free port."""
        listener = await asyncio.start_server(self._forward_both, host, 0)
        self.address = f"{host}:{listener.sockets[0].getsockname()[1]}"

    def cut(self, pid: int) -> None:
        """Cut the connections of a process, and those that it opens, until `mend`."""
        self._mended = asyncio.Event()
        self._cut_pid = pid
        own = connections_of(pid)
        self._held = {c for c in self._clients if ends_of(c) in own}

    def mend(self) -> None:
        """End the cut."""
        self._cut_pid = 0
        self._held.clear()
        self._mended.set()

    async def _forward_both(
        self, reader: asyncio.StreamReader, client: asyncio.StreamWriter
    ) -> None:
        self._clients.add(client)
        if self._cut_pid:
            await asyncio.sleep(0.02)
            if self._cut_pid and ends_of(client) in connections_of(self._cut_pid):
                self._held.add(client)
        try:
            server_reader, server = await asyncio.open_connection(*self._target)
            try:
                await asyncio.gather(
                    self._forward(reader, server, client, is_request=True),
                    self._forward(server_reader, client, client, is_request=False),
                )
            finally:
                server.close()
        except OSError:
            client.transport.abort()
        finally:
            self._clients.discard(client)
            self._held.discard(client)
            client.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        client: asyncio.StreamWriter,
        *,
        is_request: bool,
    ) -> None:
        while data := await reader.read(65536):
            was_held = client in self._held
            if was_held:
                await self._mended.wait()
            if was_held and is_request and reader.at_eof():
                # The sender has ended the connection, so its bytes are lost.
                break
            writer.write(data)
            await writer.drain()
        if client in self._held:
            await self._mended.wait()
        writer.close()


def ends_of(client: asyncio.StreamWriter) -> tuple[Any, Any]:
    """Return the addresses of the client and of the server of a connection."""
    return client.get_extra_info("peername"), client.get_extra_info("sockname")


def connections_of(pid: int) -> set[tuple[Any, Any]]:
    """Return the ends of the connections of a process that this test has started."""
    inodes = set()
    for descriptor in os.scandir(f"/proc/{pid}/fd"):
        try:
            inodes.add(os.readlink(descriptor.path))
        except OSError:
            continue
    ends = set()
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if f"socket:[{fields[9]}]" in inodes:
            ends.add((_parse_end(fields[1]), _parse_end(fields[2])))
    return ends


def _parse_end(text: str) -> tuple[str, int]:
    ip, _, port = text.partition(":")
    return socket.inet_ntoa(int(ip, 16).to_bytes(4, sys.byteorder)), int(port, 16)


def event(number: int) -> bytes:
    """Return an event of a stream."""
    return b"id: %d\ndata: token %d\n\n" % (number, number)


class Server:
    """A backend server with its entry in the store."""

    def __init__(
        self, store: Store, record: Record, *, service: str, zone: str, host: str
    ) -> None:
        self.id = f"i-{random.getrandbits(40):010x}"
        self.has_link = False
        """Whether requests come through a link that can be cut."""
        self._store, self._record = store, record
        self._service, self._zone, self._host = service, zone, host
        self.address = ""
        self.link: Link | None = None
        """Link to the server, once it has started."""
        self.runs: list[str] = []
        """Ids of the requests that have run, in order."""

    async def start(self) -> None:
        """Listen on a free port and write the entry."""
        listener = await serve(self._host, 0, self._handle)
        port = listener.sockets[0].getsockname()[1]
        self.address = f"{self._host}:{port}"
        if self.has_link:
            self.link = Link((self._host, port))
            await self.link.start(self._host)
            self.address = self.link.address
        self.write_entry()

    def entry(self) -> dict[str, Any]:
        """Return the entry."""
        return {
            "service": self._service,
            "address": self.address,
            "zone": self._zone,
            "version": "1",
            "slots": 13,
            "state": "ready",
            "cold_remaining_ms": 0,
            "seq": 1,
        }

    def write_entry(self) -> None:
        """Write the entry to the store."""
        self._store.put("keyed.servers", self.id, self.entry())

    async def _handle(self, request: Request) -> None:
        if request.headers.get("expect-instance", self.id) != self.id:
            headers = {"Request-Id": request.id, "At-Server": self.id}
            request.send("421 Misdirected Request", headers)
        elif request.path == "/health":
            request.send("200 OK", {"Instance-Id": self.id})
        else:
            await self.handle(request)

    async def handle(self, request: Request) -> None:
        """Handle a request that is meant for this server."""
        raise NotImplementedError

    def begin_run(self, request: Request) -> None:
        """Record that the server begins to work on a request."""
        self.runs.append(request.id)
        self._record.write(
            "run",
            request=request.id,
            server=self.id,
            service=self._service,
            last_event=request.headers.get("last-event-id"),
        )

    def answer_headers(self, request: Request) -> dict[str, str]:
        """Return the header fields of an answer."""
        return {"Request-Id": request.id, "Response-Seal": f"s.{request.id}.{self.id}"}


_STALL_S = 5.0
"""Time for which work stands still until the head notices, `stall_ms`."""


class GroupBrokenError(Exception):
    """A member is missing for so long that the group is broken."""


class EngineServer(Server):
    """A model server, alone or as a member of a replica group.

    A head notices that a member has left only by its work: that stands still from then
    on, and after the stall timeout the group is broken.
    """

    def __init__(
        self,
        store: Store,
        record: Record,
        *,
        service: str,
        zone: str,
        host: str,
        domain: str,
        model: str,
        load_s: float = 0.5,
    ) -> None:
        super().__init__(store, record, service=service, zone=zone, host=host)
        self._domain, self._model, self._load_s = domain, model, load_s
        self._group: dict[str, Any] | None = None
        self._seq = 0
        self._highest_fence = 0
        self._staged: list[str] = []
        self._loaded = ""
        self._running = 0
        self._members: list[str] = []
        self._incomplete_since_s: float | None = None
        self.fleet: dict[str, EngineServer] = {}
        """All model servers by id, which a head needs to find its members."""

    def state(self) -> dict[str, Any]:
        """Return what the server says of itself in its entry and its reports."""
        is_loaded = self._group is not None and self._group["state"] != "joining"
        models = [{"name": self._loaded, "version": 1, "adapters": []}]
        return {
            "stage": "both",
            "models": models if is_loaded else [],
            "domain": self._domain,
            "staged": self._staged,
            "group": self._group,
        }

    def entry(self) -> dict[str, Any]:
        """Return the entry."""
        return super().entry() | self.state()

    async def handle(self, request: Request) -> None:
        """Handle a report, an order or a stream."""
        if request.path == "/-/report":
            counts = {"seq": self._seq, "queued": 0, "running": self._running}
            memory = {"kv_used": 0, "kv_total": 1_235_000, "handles": 0, "pace": 1.0}
            request.send_json(self.state() | counts | memory | {"busy": False})
        elif request.path == "/-/order":
            self._handle_order(request, json.loads(request.body))
        elif self._group is None or self._group["rank"] != 0:
            headers = {"Request-Id": request.id, "At-Server": self.id}
            request.send("421 Misdirected Request", headers)
        elif self._group["state"] != "open" or self._running >= 13:
            headers = {"Request-Id": request.id, "Not-Executed": "1"}
            request.send("503 Service Unavailable", headers | {"At-Server": self.id})
        else:
            self._running += 1
            try:
                await self.handle_stream(request)
            finally:
                self._running -= 1

    async def handle_stream(self, request: Request) -> None:
        """Handle a stream as the head of an open group."""
        raise NotImplementedError

    @property
    def group(self) -> dict[str, Any] | None:
        """Group that the server is a member of."""
        return self._group

    @property
    def members(self) -> list[str]:
        """Ids of the members of the group, the head first."""
        return self._members

    @property
    def running(self) -> int:
        """Number of streams at the head."""
        return self._running

    def is_in(self, group: dict[str, Any]) -> bool:
        """Return whether the server is a member of a group, by name and epoch."""
        own = self._group
        return own is not None and (own["name"], own["epoch"]) == (
            group["name"],
            group["epoch"],
        )

    async def work(self, seconds: float) -> None:
        """Work as a head, which stands still while a member is missing.

        Raises
        ------
        GroupBrokenError
            If the group breaks meanwhile.
        """
        group = self._group
        until_s = time.monotonic() + seconds
        while True:
            if group is None or self._group is not group or group["state"] == "broken":
                raise GroupBrokenError
            missing = [m for m in self._members if not self.fleet[m].is_in(group)]
            now_s = time.monotonic()
            if not missing:
                self._incomplete_since_s = None
                if now_s >= until_s:
                    return
            elif self._incomplete_since_s is None:
                self._incomplete_since_s = now_s
            elif now_s - self._incomplete_since_s >= _STALL_S:
                group["state"] = "broken"
                self._record.write("broken", server=self.id, group=group["name"])
                self.write_entry()
            await asyncio.sleep(min(0.02, max(until_s - now_s, 0.001)))

    def _handle_order(self, request: Request, order: dict[str, Any]) -> None:
        status = self.execute(order)
        self._record.write(
            "order",
            server=self.id,
            operation=order["operation"],
            group=order.get("group"),
            status=status[:3],
        )
        request.send_json({}, status)

    def execute(self, order: dict[str, Any]) -> str:
        """Carry out an order and return the status of the response."""
        group = self._group
        fence = order.get("fence", order.get("epoch", 0))
        if fence < self._highest_fence:
            return "412 Precondition Failed"
        if order.get("precondition", self._seq) != self._seq:
            return "409 Conflict"
        self._highest_fence = fence
        named = (order.get("group"), order.get("epoch"))
        is_member = group is not None and (group["name"], group["epoch"]) == named
        if order["operation"] == "stage":
            if order["model"] in self._staged:
                return "200 OK"
            self._later(self._load_s, lambda: self._staged.append(order["model"]))
        elif order["operation"] == "join":
            if is_member:
                return "200 OK"
            rank = order["members"].index(self.id)
            self._group = {"name": named[0], "epoch": named[1], "rank": rank}
            self._group["state"] = "joining"
            self._members = list(order["members"])
            self._incomplete_since_s = None
            joined, is_warm = self._group, order["model"] == self._loaded
            self._loaded = order["model"]
            self._staged = [order["model"]]
            delay_s = 0.2 if is_warm else self._load_s
            self._later(delay_s, lambda: joined.update(state="ready"))
        elif not is_member or group is None:
            return "200 OK" if order["operation"] == "leave" else "409 Conflict"
        elif order["operation"] == "open":
            if group["state"] == "open":
                return "200 OK"
            if group["state"] != "ready" or group["rank"] != 0:
                return "409 Conflict"
            self._later(0.3, lambda: group.update(state="open"))
        elif order["operation"] == "close":
            group["state"] = "ready"
        elif order["operation"] == "leave":
            self._group = None
        self._seq += 1
        self.write_entry()
        return "202 Accepted"

    def _later(self, delay_s: float, change: Callable[[], Any]) -> None:
        def apply() -> None:
            change()
            self.write_entry()

        asyncio.get_running_loop().call_later(delay_s, apply)


def engine(models: Iterable[dict[str, Any]]) -> dict[str, Any]:
    """Return the declared figures of model servers."""
    return {
        "slots": 13,
        "kv_capacity_tokens": 1_235_000,
        "stride": 6,
        "step_ms": 6.45,
        "per_seq_ms": 0.1934,
        "context_per_k": 0.00586,
        "read_per_s": 56100.0,
        "pairs_per_m": 0.309,
        "chunk": 2048,
        "report_lag_ms": 200.0,
        "loads_per_s": 5.5,
        "loads_at_once": 8,
        "usual": {"prompt": 1115, "answer": 152},
        "retain_count": 1,
        "far_x": 3.0,
        "form_ms": 300.0,
        "models": list(models),
    }


LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


class EntryNode:
    """An entry VM: its settings file and its process."""

    def __init__(
        self, name: str, ip: str, zone: str, folder: pathlib.Path, record: Record
    ) -> None:
        self.name, self.ip, self._zone = name, ip, zone
        self._folder, self._record = folder, record
        self._process: subprocess.Popen[bytes] | None = None

    def write_settings(self, *, store: str, seeds: list[str], zones: list[str]) -> None:
        """Write the settings file as the deploy page shows it."""
        text = _SETTINGS.format(
            node=self.name,
            ip=self.ip,
            zone=self._zone,
            store=store,
            seeds=json.dumps([f"{ip}:{CONTROL_PORT}" for ip in seeds]),
            zones="\n".join(f'{zone} = "region"' for zone in zones),
            front=FRONT_PORT,
            ready=READY_PORT,
            control=CONTROL_PORT,
            internal=list(INTERNAL_PORTS),
        )
        self._path.write_text(text)

    @property
    def _path(self) -> pathlib.Path:
        return self._folder / f"{self.name}.toml"

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((REPOSITORY / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        log = (self._folder / f"{self.name}.log").open("ab")
        self._process = subprocess.Popen(  # noqa: ASYNC220
            command,
            cwd=REPOSITORY,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            env=kept
            | {
                "PYTHONPATH": str(REPOSITORY / "target" / "deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
                "POMELOLUG_SETTINGS": str(self._path),
            },
        )
        log.close()
        self._record.write("start", node=self.name, pid=self._process.pid)

    @property
    def pid(self) -> int:
        """Id of the process."""
        assert self._process is not None
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self._process is not None
        self._record.write("signal", node=self.name, signal=number.name)
        self._process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process, if it runs, and wait for its end."""
        if self._process is None:
            return
        if self.is_running:
            self._process.kill()
        while self.is_running:  # noqa: ASYNC110
            await asyncio.sleep(0.01)

    async def is_ready(self) -> bool:
        """Return whether the node says that it is ready."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.ip, READY_PORT)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: r\r\n\r\n")
                first, _ = await read_head(reader)
                writer.close()
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return False
        return " 200 " in first


_SETTINGS = """\
node = "{node}"
role = "entry"
machine_class = "front"
serves = ["front", "control"]
ip = "{ip}"
zone = "{zone}"
region = "region"
internal_ports = {internal}
seeds = {seeds}
bootstrap = true
counts_as_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
  "tenants", "platform", "gangs"]
[zones]
{zones}
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_ms = 2000
rollback_slack_ms = 250
max_stretch_ms = 5000
revoke_fail_closed = false
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 134
recovery_s = 12
pass_ms = 120
retry_after_s = 0
stall_ms = 5000
require_fence = true
ceiling_window_s = 5
ceiling_overage = 1.1
[platform]
address = "{store}"
form = "log"
writes_per_s = 400
reads_per_s = 2000
parts = 8
append_ms = 4.0
partition_mb_s = 20.0
read_mb_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 20
part_mb = 200
min_ttl_ms = 1000
"""


def free_prefix() -> str:
    """Return the first three numbers of loopback addresses whose ports are free."""
    for _ in range(100):
        prefix = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        ports = (FRONT_PORT, READY_PORT, CONTROL_PORT, INTERNAL_PORTS[0], _METRICS_PORT)
        if all(_is_free(f"{prefix}.{n}", port) for n in range(1, 10) for port in ports):
            return prefix
    raise RuntimeError("no free loopback addresses")


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((host, port))
        except OSError:
            return False
    return True


@dataclasses.dataclass
class Answer:
    """What a client has got; `is_whole` tells whether the answer is complete."""

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False

    @property
    def event_ids(self) -> list[int]:
        """Ids of the complete events of the body."""
        events = self.body.split(b"\n\n")[:-1]
        return [int(e.partition(b"\n")[0].removeprefix(b"id: ")) for e in events]


async def call(
    host: str,
    port: int,
    target: str,
    *,
    method: str = "POST",
    headers: dict[str, str],
    body: bytes = b"",
    on_body: Callable[[Answer], None] = lambda answer: None,
) -> Answer:
    """Send a request on a new connection and return the answer, whole or not."""
    answer = Answer()
    try:
        reader, writer = await asyncio.open_connection(host, port)
    except OSError:
        return answer
    try:
        fields = headers | {"Content-Length": str(len(body))}
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(f"{method} {target} HTTP/1.1\r\n{lines}\r\n".encode() + body)
        first, answer.headers = await read_head(reader)
        answer.status = int(first.split(" ")[1])
        if answer.headers.get("transfer-encoding") == "chunked":
            while size := int((await reader.readline()).partition(b";")[0], 16):
                answer.body += await reader.readexactly(size)
                await reader.readexactly(2)
                on_body(answer)
        else:
            size = int(answer.headers.get("content-length", "0"))
            while len(answer.body) < size:
                data = await reader.read(size - len(answer.body))
                if not data:
                    return answer
                answer.body += data
                on_body(answer)
        answer.is_whole = True
    except (OSError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        writer.close()
    return answer


class KeptConnection:
    """A client's connection that is used for several requests."""

    def __init__(
        self, host: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.host = host
        self._reader, self._writer = reader, writer

    @classmethod
    async def open(cls, host: str, port: int) -> "KeptConnection":
        """Open a connection."""
        return cls(host, *await asyncio.open_connection(host, port))

    def close(self) -> None:
        """Close the connection, without waiting for an answer."""
        self._writer.transport.abort()

    @property
    def is_closed(self) -> bool:
        """Whether the other side has closed the connection."""
        return self._reader.at_eof()

    async def call(
        self, target: str, *, method: str, headers: dict[str, str], body: bytes = b""
    ) -> Answer:
        """Send a request and return the answer, whole or not."""
        answer = Answer()
        try:
            fields = headers | {"Content-Length": str(len(body))}
            lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
            self._writer.write(
                f"{method} {target} HTTP/1.1\r\n{lines}\r\n".encode() + body
            )
            first, answer.headers = await read_head(self._reader)
            answer.status = int(first.split(" ")[1])
            size = int(answer.headers.get("content-length", "0"))
            answer.body = await self._reader.readexactly(size)
            answer.is_whole = True
        except (OSError, asyncio.IncompleteReadError):
            self._writer.close()
        return answer


def new_request_id() -> str:
    """Return the id of a client attempt."""
    return f"{random.getrandbits(64):016x}"


class Deployment:
    """A small deployment: store and entry nodes, ended together."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.prefix = free_prefix()
        self.store = Store(record)
        self.nodes: list[EntryNode] = []
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))

    async def start_nodes(self, zones: list[str]) -> None:
        """Start a node in each zone and wait until all say that they are ready."""
        ips = [f"{self.prefix}.{number + 1}" for number in range(len(zones))]
        for number, (ip, zone) in enumerate(zip(ips, zones, strict=True)):
            node = EntryNode(f"front-{number + 1}", ip, zone, self.folder, self.record)
            node.write_settings(
                store=self.store.address, seeds=ips[:3], zones=sorted(set(zones))
            )
            self.nodes.append(node)
            await node.start()
        await self.wait_until_ready()

    async def wait_until_ready(self) -> None:
        """Wait until all nodes say that they are ready."""
        async with asyncio.timeout(20.0):
            while not all([await n.is_ready() for n in self.nodes]):  # noqa: ASYNC110
                await asyncio.sleep(0.1)

    async def stop(self) -> None:
        """End all processes and drop their files."""
        for node in self.nodes:
            await node.kill()
        if "KEEP_LOGS" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(
    folder: pathlib.Path,
    scenario: Callable[[Deployment, bool], Awaitable[bool]],
    *,
    has_trouble: bool,
) -> int:
    """Run a scenario and return the exit status.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of the case, which gets the record.
    scenario : callable
        Gets the deployment and whether the disruption happens, and returns whether
        the rule was kept.
    has_trouble : bool
        Whether the disruption happens.
    """
    record = Record(folder / "record.txt")
    record.write("begin", trouble=has_trouble)

    async def run() -> bool:
        deployment = Deployment(record)
        try:
            async with asyncio.timeout(110.0):
                return await scenario(deployment, has_trouble)
        finally:
            await deployment.stop()

    try:
        is_kept = asyncio.run(run())
    except Exception as error:
        record.write("could not run", error=repr(error))
        return 2
    record.write("end", kept=is_kept)
    return 0 if is_kept else 1
