"""Simulated servers of one fabric domain, or plain servers, in one process.

Run ``python -m pomelolug.testing.group_server PLAN`` with a `ServerPlan` in JSON.
Each line of standard input is a `ServerCommand`; each line of standard output
reports a request that began to run or a violation of the guarantees on groups.
"""

import asyncio
import datetime
import functools
import random
import sys
import time
from collections.abc import Sequence
from typing import Any

import msgspec

from pomelolug.deployment import (
    BackendServer,
    EngineProfile,
    ServerState,
)
from pomelolug.feeds import SourceUnavailableError
from pomelolug.ids import DomainId, Offset, ServiceName, VmId, ZoneId
from pomelolug.platform import TOPIC_SERVERS, MetadataStore, decode_declaration
from pomelolug.testing._group_server_app import (
    GroupServerApp,
    PlainServerApp,
    ServerApp,
    encode_entry,
)
from pomelolug.testing._group_servers import EntrySink, GroupServers
from pomelolug.testing._sample_deployment import STALL_TIMEOUT_S, SampleDeployment
from pomelolug.transport import HttpServerLimits, ServerConnection

__all__ = ["ServerCommand", "ServerPlan", "main"]

_SECOND = datetime.timedelta(seconds=1)
_STORE_RETRY_DELAY_S = 0.3
_VIOLATION_CHECK_INTERVAL_S = 0.1
_SILENT_CRASH_SHARE = 0.3
"""Share of crashes in which no connection is closed."""
_RESTART_DELAY_RANGE_S = (1.0, 3.0)


class PlannedServer(msgspec.Struct, frozen=True, kw_only=True):
    """One server: the address that it listens on and the one in its entry."""

    vm: str
    listens: str
    address: str
    zone: str


class ServerPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Servers of one process; without a domain they are plain servers."""

    servers: tuple[PlannedServer, ...]
    store: str
    domain: str = ""
    seed: int = 0

    def encode(self) -> str:
        """Return the plan as a command-line argument."""
        return msgspec.json.encode(self).decode()


class ServerCommand(msgspec.Struct, frozen=True, kw_only=True):
    """Command to one server.

    `do` is one of `dark` (stop responding until a restart), `restart` (with the
    same id, and cold for `x` seconds), `drain`, `slow` (by the factor `x`), `garble`
    (corrupt a share `x` of the responses), `limit` (name a limit of `x` requests per
    second, 0 for none), `leave` (state in responses that the server leaves), `unlist`
    (write no more entries until the command to restart) and `pause` (turn requests away
    and ask for a pause of `x` seconds, 0 for no longer).
    """

    do: str
    vm: str
    x: float = 0.0


class _EntryWriter(EntrySink):
    """Writes changed entries to the store, only the latest of each server."""

    def __init__(self, store: MetadataStore, planned: dict[str, PlannedServer]) -> None:
        self._store = store
        self._planned = planned
        self._pending: dict[str, bytes] = {}
        self._unlisted: set[str] = set()
        # Monotonic times until which servers are cold.
        self.cold_until_s: dict[str, float] = {}
        self._changed = asyncio.Event()

    def apply(
        self, records: Sequence[tuple[VmId, Offset, BackendServer | None]]
    ) -> None:
        """Queue changed entries for writing; a lost server writes none."""
        for vm, _, server in records:
            if server is not None:
                self.put(server, self._planned[vm])

    def unlist(self, vm: str) -> None:
        """Write no more entries of a server."""
        self._unlisted.add(vm)
        self._pending.pop(vm, None)

    def list_again(self, vm: str) -> None:
        """Write the entries of a server again."""
        self._unlisted.discard(vm)

    def put(self, server: BackendServer, planned: PlannedServer) -> None:
        """Queue an entry for writing."""
        if planned.vm in self._unlisted:
            return
        entry = msgspec.structs.asdict(planned)
        raw = msgspec.json.decode(encode_entry(server))
        raw |= {"address": entry["address"], "zone": entry["zone"]}
        cold_until_s = self.cold_until_s.get(planned.vm, 0.0)
        cold_s = max(cold_until_s - time.monotonic(), 0.0)
        raw["cold_remaining_ms"] = round(cold_s * 1000)
        self._pending[planned.vm] = msgspec.json.encode(raw)
        self._changed.set()

    async def run(self) -> None:
        """Write queued entries until cancelled; retry if the store is unavailable."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            while self._pending:
                vm, data = next(iter(self._pending.items()))
                try:
                    await self._store.append(TOPIC_SERVERS, vm, data)
                except SourceUnavailableError:
                    await asyncio.sleep(_STORE_RETRY_DELAY_S)
                    continue
                if self._pending.get(vm) is data:
                    del self._pending[vm]


class _ServerProcess:
    """Runs the servers and their listeners, and executes commands."""

    def __init__(self, plan: ServerPlan) -> None:
        self._plan = plan
        self._planned = {server.vm: server for server in plan.servers}
        self._apps: dict[str, ServerApp] = {}
        self._connections: dict[str, set[ServerConnection]] = {}
        store = MetadataStore(address=plan.store, timeout=_SECOND)
        self._entry_writer = _EntryWriter(store, self._planned)
        self._engine = _sample_engine_profile()
        self._servers = GroupServers(
            engine=self._engine,
            service=ServiceName("llm"),
            stall_timeout=_SECOND * STALL_TIMEOUT_S,
        )
        self._reported_violations = 0
        self._rng = random.Random(plan.seed)

    async def run(self) -> None:
        """Serve until standard input ends."""
        start_time_ms = time.time_ns() // 1_000_000
        for number, server in enumerate(self._plan.servers):
            rng = random.Random(self._plan.seed * 1000 + number)
            self._add_server(server, rng, start_time_ms)
            await self._listen(server)
        self._servers.attach(self._entry_writer)
        tasks = [
            asyncio.create_task(self._entry_writer.run()),
            asyncio.create_task(self._report_violations()),
        ]
        await self._read_commands()
        for task in tasks:
            task.cancel()

    def _add_server(
        self, planned: PlannedServer, rng: random.Random, start_time_ms: int
    ) -> None:
        vm = VmId(planned.vm)
        if not self._plan.domain:
            self._apps[vm] = PlainServerApp(
                vm, on_request=_write_line, rng=rng, on_crash=self._crash
            )
            self._entry_writer.put(
                _build_plain_entry(vm, start_time_ms, ServerState.READY), planned
            )
            return
        self._servers.add(vm, self._plan.domain).start_time_ms = start_time_ms
        self._apps[vm] = GroupServerApp(
            vm,
            servers=self._servers,
            slots=self._engine.slots,
            on_request=_write_line,
            rng=rng,
            on_crash=self._crash,
        )

    async def _listen(self, planned: PlannedServer) -> None:
        connections: set[ServerConnection] = set()
        self._connections[planned.vm] = connections
        host, _, port = planned.listens.rpartition(":")
        await asyncio.get_running_loop().create_server(
            functools.partial(
                ServerConnection,
                self._apps[planned.vm].handle,
                HttpServerLimits(),
                connections,
                lambda status: None,
            ),
            host,
            int(port),
        )

    async def _report_violations(self) -> None:
        """Report violations of the guarantees on groups."""
        while True:
            await asyncio.sleep(_VIOLATION_CHECK_INTERVAL_S)
            for violation in self._servers.violations[self._reported_violations :]:
                _write_line({"violation": violation})
            self._reported_violations = len(self._servers.violations)

    async def _read_commands(self) -> None:
        reader = asyncio.StreamReader()
        loop = asyncio.get_running_loop()
        await loop.connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
        )
        while line := await reader.readline():
            self._execute(msgspec.json.decode(line, type=ServerCommand))

    def _execute(self, command: ServerCommand) -> None:
        vm = VmId(command.vm)
        app = self._apps[vm]
        if command.do == "slow":
            app.response_faults.slowdown_factor = command.x
        elif command.do == "garble":
            app.response_faults.corrupted_share = command.x
        elif command.do == "limit":
            app.response_faults.request_limit_per_s = command.x
        elif command.do == "leave":
            app.response_faults.states_leaving = True
        elif command.do == "unlist":
            self._entry_writer.unlist(vm)
        elif command.do == "pause":
            app.response_faults.pause_s = command.x
        elif command.do == "dark":
            app.is_unresponsive = True
            if self._plan.domain:
                self._servers.kill(vm)
        elif command.do == "drain" and self._plan.domain:
            self._servers.drain(vm)
        elif command.do == "drain":
            entry = _build_plain_entry(vm, 1, ServerState.DRAINING)
            self._entry_writer.put(entry, self._planned[vm])
        elif command.do == "restart":
            self._entry_writer.list_again(vm)
            self._entry_writer.cold_until_s[vm] = time.monotonic() + command.x
            self._restart(vm, app)

    def _crash(self, vm: VmId) -> None:
        """Stop a server, with or without closing its connections, and restart it."""
        app = self._apps[vm]
        app.is_unresponsive = True
        if self._plan.domain:
            self._servers.kill(vm)
        if self._rng.random() >= _SILENT_CRASH_SHARE:
            for connection in list(self._connections[vm]):
                connection.abort()
        asyncio.get_running_loop().call_later(
            self._rng.uniform(*_RESTART_DELAY_RANGE_S), self._restart, vm, app
        )

    def _restart(self, vm: VmId, app: ServerApp) -> None:
        app.restart()
        for connection in list(self._connections[vm]):
            connection.abort()
        if self._plan.domain:
            self._servers.restart(vm)
        else:
            start_time_ms = time.time_ns() // 1_000_000
            entry = _build_plain_entry(vm, start_time_ms, ServerState.READY)
            self._entry_writer.put(entry, self._planned[vm])


def _sample_engine_profile() -> EngineProfile:
    declaration = decode_declaration(SampleDeployment(version=1, keys={}).encode())
    engine = declaration.services[ServiceName("llm")].engine
    assert engine is not None
    return engine


def _build_plain_entry(
    vm: VmId, start_time_ms: int, state: ServerState
) -> BackendServer:
    return BackendServer(
        vm=vm,
        start_time_ms=start_time_ms,
        service=ServiceName("plain"),
        address="",
        zone=ZoneId(""),
        domain=DomainId(""),
        state=state,
        slots=64,
        staged=frozenset(),
        model=None,
        membership=None,
    )


def _write_line(line: dict[str, Any]) -> None:
    sys.stdout.write(msgspec.json.encode(line).decode() + "\n")
    sys.stdout.flush()


def main() -> None:
    """Run the servers of the plan that the command line contains."""
    plan = msgspec.json.decode(sys.argv[1], type=ServerPlan)
    asyncio.run(_ServerProcess(plan).run())


if __name__ == "__main__":
    main()
