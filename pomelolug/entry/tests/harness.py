"""Entry process in the event loop of a test, with fake servers and a fake store."""

import abc
import asyncio
import datetime
import itertools
import os
import pathlib
import random
import resource
import signal
from collections.abc import Iterator

import msgspec

from pomelolug.entry._compose import _EntryProcess
from pomelolug.experiments.process_soak import SoakProcess
from pomelolug.ids import NodeId, ZoneId
from pomelolug.platform import SETTINGS_VARIABLE, NodeSettings
from pomelolug.telemetry import NonBlockingWriter
from pomelolug.testing import (
    FakeMetadataStore,
    ScriptedServer,
    format_entry_settings,
    is_ready,
    reserve_loopback_prefix,
)
from pomelolug.transport import (
    ClientConnection,
    HttpConnectionError,
    ResponseHead,
    encode_request,
    open_connection,
)

HOST = "h.example"
API_KEY = "key-of-a"
MODEL = "model-a"
SEAL_HEADERS = {"Response-Seal": "s.1"}


def _generate_addresses() -> Iterator[str]:
    """Yield the addresses of a prefix that this process reserves, in random order.

    No address is used twice, since the sockets of a killed node stay open until the
    event loop of its test is gone.
    """
    hosts = list(itertools.product(range(1, 250), range(1, 250)))
    random.Random(os.urandom(8)).shuffle(hosts)
    prefix, lock = reserve_loopback_prefix()
    with lock:
        for third, fourth in hosts:
            yield f"{prefix}.{third}.{fourth}"


_addresses = _generate_addresses()
"""Addresses of the nodes of this process; reserved when the first one is taken."""


def route(name: str, prefix: str, kind: str, service: str, **overrides):
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "service": service,
        "timeout_ms": 2000,
        "target_latency_ms": 300,
        "max_attempts": 2,
    } | overrides


def declaration(version: int = 1, **overrides):
    engine = {
        "slots": 4,
        "models": [{"name": MODEL, "size": 1, "load_s": 1.0, "warm_s": 0.1}],
        "step_ms": 5.0,
        "stride": 2,
        "read_per_s": 50000.0,
    }
    return {
        "version": version,
        "routes": [
            route("safe", "/safe/", "safe", "plain"),
            route("once", "/once/", "unsafe", "plain", max_attempts=1),
            route(
                "stream",
                "/stream/",
                "streaming",
                "llm",
                resumable=True,
                sticky=True,
                gap_target_ms=200,
            ),
        ],
        "services": [{"name": "plain"}, {"name": "llm", "engine": engine}],
        "limits": {"max_header_bytes": 4096, "max_body_bytes": 10000},
        "tenants": [{"name": "account-a", "api_keys": [API_KEY]}],
    } | overrides


class CallerOfNode(abc.ABC):
    """Sends requests to a node as its callers do."""

    @property
    @abc.abstractmethod
    def ip(self) -> str:
        """IP address of the node."""

    async def connect(self, port: int = 8001) -> ClientConnection:
        return await open_connection(
            self.ip, port, timeout=datetime.timedelta(seconds=1)
        )

    async def request(
        self,
        path: str,
        *,
        method: bytes = b"GET",
        body: bytes = b"",
        request_id: str = "r1",
        key: str | None = API_KEY,
        deadline_ms: int = 3000,
        connection: ClientConnection | None = None,
        **headers: str,
    ) -> tuple[ResponseHead, bytes]:
        """Send a request and return the complete response."""
        connection = connection or await self.connect()
        connection.send(
            encode_caller_request(
                path,
                method=method,
                body=body,
                request_id=request_id,
                key=key,
                deadline_ms=deadline_ms,
                **headers,
            )
        )
        head = await connection.read_head()
        return head, await connection.read_body(1 << 20)


class Harness(CallerOfNode):
    """An entry process with its metadata store and backend servers.

    With `joins`, the entry process is a further node beside that of another harness,
    whose store and servers it uses.
    """

    def __init__(self, *, joins: "Harness | None" = None) -> None:
        self._joins = joins
        self.store = joins.store if joins is not None else FakeMetadataStore()
        self.servers: list[ScriptedServer] = []
        self._ip = next(_addresses)
        self.entry: _EntryProcess | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def ip(self) -> str:
        return self._ip

    async def __aenter__(self) -> "Harness":
        if self._joins is None:
            await self.store.start()
            self.publish_declaration(declaration())
        return self

    async def __aexit__(self, *error) -> None:
        await self.kill()
        if self._joins is None:
            for server in self.servers:
                server.stop()
            await self.store.stop()

    async def stop(self) -> None:
        """Stop the entry process as planned, and wait until it has ended."""
        assert self.entry is not None and self._task is not None
        self.entry._lifecycle.request_stop()
        await self._task
        self.entry = self._task = None

    async def kill(self) -> None:
        """End the entry process without a graceful shutdown."""
        if self.entry is not None and self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self.entry = self._task = None

    def publish_declaration(self, value) -> None:
        self.store.put("keyed.op", "config", msgspec.json.encode(value))

    def evacuate(self, zone: str) -> None:
        """Order that nothing more is sent to the servers of a zone."""
        self.store.put("keyed.op", f"evacuate/{zone}", b"{}")

    def take_back(self, zone: str) -> None:
        """Remove the order to evacuate a zone."""
        self.store.put("keyed.op", f"evacuate/{zone}", b"")

    async def add_server(
        self, script, *, service: str = "plain", vm: str = "", **fields
    ) -> str:
        """Add a server; for the service `llm` it forms an open group of one member."""
        server = ScriptedServer(script)
        await server.start()
        self.servers.append(server)
        name = vm or f"vm-{len(self.servers)}"
        self.publish_server(name, server.address, service=service, **fields)
        return name

    def publish_server(
        self,
        name: str,
        address: str,
        *,
        service: str = "plain",
        born: int = 1,
        state: str = "ready",
        zone: str = "z1",
        **fields,
    ) -> None:
        """Write the entry of a server to the store; `born` changes if it restarts.

        Further `fields` become part of the entry.
        """
        record = {
            "service": service,
            "address": address,
            "zone": zone,
            "state": state,
            "slots": 4,
            "born": born,
            "seq": 1,
        }
        if service == "llm":
            group = {"name": f"g-{name}", "epoch": born, "rank": 0, "state": "open"}
            models = [{"name": MODEL, "version": 1, "adapters": []}]
            record |= {"domain": "d", "group": group, "models": models}
        record |= fields
        self.store.put("keyed.servers", name, msgspec.json.encode(record))

    async def start(
        self,
        *,
        servers: int | None = None,
        zone: str = "z1",
        store_address: str = "",
        seeds: tuple[str, ...] = (),
        internal_ports: tuple[int, ...] = (8004, 8010),
        stop_grace_s: float = 8.0,
        cold_accepted_factor: float = 1.0,
        cold_excess_requests: float = 0.0,
        memory_limit_bytes: int | None = None,
        socket_limit: int | None = None,
    ) -> None:
        """Start the entry process; wait until it listens and has found its servers.

        If the entry process fails, its exception is raised at once. Without
        `internal_ports`, the node exchanges nothing with other nodes.
        """
        settings = NodeSettings(
            node=NodeId(f"n-{self.ip}"),
            ip=self.ip,
            zone=ZoneId(zone),
            store_address=store_address or self.store.address,
            caller_address=f"{self.ip}:8001",
            readiness_address=f"{self.ip}:8002",
            peer_address=f"{self.ip}:8003",
            internal_ports=internal_ports,
            peer_seeds=seeds,
            stop_grace=datetime.timedelta(seconds=stop_grace_s),
            stall_timeout=datetime.timedelta(seconds=5),
            retry_ratio=0.2,
            retry_reserve=50.0,
            longest_record_delay=datetime.timedelta(seconds=2),
            server_entry_lifetime=datetime.timedelta(seconds=3.6),
            shortest_lapse=datetime.timedelta(seconds=2.1),
            least_lease=datetime.timedelta(seconds=1),
            cold_accepted_factor=cold_accepted_factor,
            cold_excess_requests=cold_excess_requests,
            memory_limit_bytes=memory_limit_bytes,
            socket_limit=socket_limit,
        )
        self.entry = _EntryProcess(
            settings, NonBlockingWriter(os.dup(2)), lambda: settings
        )
        self._task = task = asyncio.create_task(self.entry.run())
        known_servers = (self._joins or self).servers
        expected_count = len(known_servers) if servers is None else servers
        started = asyncio.create_task(self._wait_until_started(expected_count))
        try:
            async with asyncio.timeout(5.0):
                await asyncio.wait((started, task), return_when=asyncio.FIRST_COMPLETED)
        finally:
            started.cancel()
        if task.done():
            error = None if task.cancelled() else task.exception()
            raise error or RuntimeError("the entry process ended during its start")
        await started

    async def _wait_until_started(self, expected_count: int) -> None:
        while not self._has_servers(expected_count):  # noqa: ASYNC110
            await asyncio.sleep(0.02)
        for port in (8001, 8002, 8003):
            await self._wait_until_listening(port)

    async def _wait_until_listening(self, port: int) -> None:
        while True:
            try:
                connection = await self.connect(port)
            except HttpConnectionError:
                await asyncio.sleep(0.02)
                continue
            connection.close()
            return

    def _has_servers(self, expected_count: int) -> bool:
        assert self.entry is not None
        registry = getattr(self.entry, "_registry", None)
        return registry is not None and len(registry.servers) >= expected_count


class ProcessNode(CallerOfNode):
    """A node beside those of a harness, as a process that can be stopped.

    Its settings name limits of 200 MB and 4,100 descriptors.
    """

    def __init__(self, joins: Harness, folder: pathlib.Path) -> None:
        self._ip = next(_addresses)
        path = folder / "node.toml"
        settings = format_entry_settings(
            node="process-node",
            ip=self._ip,
            zone="z1",
            store=joins.store.address,
            seeds=[f"{joins.ip}:8003"],
        )
        path.write_text(settings)
        self._process = SoakProcess(
            name="process-node",
            arguments=("-m", "pomelolug.entry"),
            environment={SETTINGS_VARIABLE: str(path)},
            folder=folder,
        )

    @property
    def ip(self) -> str:
        return self._ip

    async def start(self) -> None:
        """Start the process and wait until it is ready."""
        await self._process.start()
        async with asyncio.timeout(10.0):
            while not await is_ready(f"{self._ip}:8002"):  # noqa: ASYNC110
                await asyncio.sleep(0.1)

    def limit_descriptors(self, count: int) -> None:
        """Let the process have at most `count` descriptors open."""
        limit = (count, count)
        resource.prlimit(self._process.pid, resource.RLIMIT_NOFILE, limit)

    @property
    def peak_memory_bytes(self) -> int:
        """Largest resident memory of the process so far."""
        status = pathlib.Path(f"/proc/{self._process.pid}/status").read_text()
        line = next(x for x in status.splitlines() if x.startswith("VmHWM"))
        return int(line.split()[1]) * 1024

    def signal(self, number: signal.Signals) -> None:
        self._process.signal(number)

    async def kill(self) -> None:
        await self._process.kill()


def encode_caller_request(
    path: str,
    *,
    method: bytes = b"GET",
    body: bytes = b"",
    request_id: str = "r1",
    key: str | None = API_KEY,
    deadline_ms: int = 3000,
    **headers: str,
) -> bytes:
    fields = [
        (b"Host", HOST.encode()),
        (b"Request-Id", request_id.encode()),
        (b"Deadline-Ms", b"%d" % deadline_ms),
    ]
    if key is not None:
        fields.append((b"Authorization", b"Bearer " + key.encode()))
    for name, value in headers.items():
        fields.append((name.replace("_", "-").encode(), value.encode()))
    return encode_request(method, path.encode(), fields, body)


def send_response(request, status: str = "200 OK", body: bytes = b"whole", **headers):
    """Send the response of a healthy server."""
    fields = {"Request-Id": request.request_id} | SEAL_HEADERS | headers
    request.send(status, fields, body)


def encode_event(number: int) -> bytes:
    return b"id: %d\ndata: token %d\n\n" % (number, number)


def start_stream(request, **headers: str) -> None:
    request.send_head(
        "200 OK",
        {
            "Request-Id": request.request_id,
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        | SEAL_HEADERS
        | headers,
    )
