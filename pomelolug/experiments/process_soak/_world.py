"""Entry processes, servers, the store and the proxies between them."""

import asyncio
import dataclasses
import datetime
import pathlib
import random
import socket
import time
from collections.abc import Container
from typing import Any

from pomelolug.deployment import ServerState
from pomelolug.experiments.process_soak._calls import ServerRun
from pomelolug.experiments.process_soak._processes import SoakProcess
from pomelolug.experiments.process_soak._promises import Promises
from pomelolug.ids import VmId
from pomelolug.platform import (
    KEY_DECLARATION,
    SETTINGS_VARIABLE,
    TOPIC_DECLARATION,
    TOPIC_SERVERS,
    decode_server,
)
from pomelolug.testing import (
    FakeMetadataStore,
    LoopbackProxy,
    SampleDeployment,
    format_entry_settings,
    is_ready,
)
from pomelolug.testing.group_server import PlannedServer, ServerCommand, ServerPlan

__all__ = ["EntryVm", "SoakedServer", "World"]

_ENTRIES = 4
_ZONES = 2
_DOMAINS = 2
_DOMAIN_SIZE = 6
_PLAIN_SERVERS = 3
_LAPSE = datetime.timedelta(seconds=3.6)
"""Silence after which the store drops the entry of a server."""
_READY_EVERY_S = 0.2
_READY_MISSES = 2
_ACCOUNTS = {
    "account-a": ("key-a1", "key-a2", "key-a3"),
    "account-b": ("key-b1", "key-b2"),
    "account-c": ("key-c1",),
}
_START_TIMEOUT_S = 20.0


@dataclasses.dataclass(kw_only=True)
class EntryVm:
    """One entry VM: its process and its link to the store."""

    name: str
    ip: str
    process: SoakProcess
    store_link: LoopbackProxy
    misses: int = _READY_MISSES

    @property
    def takes_connections(self) -> bool:
        """Whether the balancer gives it new connections."""
        return self.misses < _READY_MISSES


@dataclasses.dataclass(kw_only=True)
class SoakedServer:
    """One server, the process that holds it, and the link to it."""

    vm: str
    host: SoakProcess
    link: LoopbackProxy
    is_lost: bool = False


class World:
    """The whole deployment of one run.

    Parameters
    ----------
    folder : pathlib.Path
        Settings and logs of the processes.
    promises : Promises
        Takes runs and broken promises of servers.
    rng : random.Random
        Chooses entry VMs and keys for callers.
    seed : int
        Seed of the servers' own choices.
    """

    def __init__(
        self, folder: pathlib.Path, promises: Promises, rng: random.Random, seed: int
    ) -> None:
        self._folder = folder
        self._promises = promises
        self._rng = rng
        self._seed = seed
        self._net, self._lock = _reserve_net()
        self._store = FakeMetadataStore()
        self._deployment = SampleDeployment(version=1, keys=dict(_ACCOUNTS))
        self._polls: list[asyncio.Task[None]] = []
        self.entries: list[EntryVm] = []
        self.servers: list[SoakedServer] = []
        self.hosts: list[SoakProcess] = []
        """Processes of servers, one for each domain and one for plain servers."""

    @property
    def store(self) -> FakeMetadataStore:
        """The store."""
        return self._store

    @property
    def deployment(self) -> SampleDeployment:
        """Declaration in the store."""
        return self._deployment

    @property
    def processes(self) -> list[SoakProcess]:
        """All processes of the run."""
        return [*self.hosts, *(entry.process for entry in self.entries)]

    def pick_entry(self, kept: Container[str]) -> str:
        """Return an entry VM for a call; open connections are used on."""
        usable = [e.name for e in self.entries if e.takes_connections or e.name in kept]
        return self._rng.choice(usable) if usable else ""

    def pick_key(self) -> tuple[str, str]:
        """Return account and key of a caller, also of one whose key was revoked."""
        account = self._rng.choice(list(_ACCOUNTS))
        return account, self._rng.choice(_ACCOUNTS[account])

    def caller_address(self, entry: str) -> str:
        """Return the address of an entry VM for callers."""
        return next(f"{e.ip}:8001" for e in self.entries if e.name == entry)

    def declare(self, deployment: SampleDeployment) -> None:
        """Store a new version of the declaration."""
        self._deployment = deployment
        self._store.put(TOPIC_DECLARATION, KEY_DECLARATION, deployment.encode())

    def command(self, server: SoakedServer, do: str, x: float = 0.0) -> None:
        """Tell a server what to do."""
        server.host.send(ServerCommand(do=do, vm=server.vm, x=x))

    async def lapse(self, server: SoakedServer) -> None:
        """Drop the entry of a lost server after its time, unless it is back."""
        await asyncio.sleep(_LAPSE.total_seconds())
        if server.is_lost:
            self._store.put(TOPIC_SERVERS, server.vm, b"")

    async def start(self) -> None:
        """Start everything and wait until all entry VMs are ready."""
        await self._store.start()
        self._store.on_record = self._stored
        self.declare(self._deployment)
        for number in range(_DOMAINS):
            await self._add_host(f"domain-{number}", _DOMAIN_SIZE, number)
        await self._add_host("plain", _PLAIN_SERVERS, _DOMAINS)
        for number in range(_ENTRIES):
            await self._add_entry(number)
        async with asyncio.timeout(_START_TIMEOUT_S):
            while not all(entry.takes_connections for entry in self.entries):  # noqa: ASYNC110
                await asyncio.sleep(_READY_EVERY_S)

    async def stop(self) -> None:
        """End all processes and proxies."""
        for poll in self._polls:
            poll.cancel()
        await asyncio.gather(*self._polls, return_exceptions=True)
        await asyncio.gather(*(process.end() for process in self.processes))
        for entry in self.entries:
            entry.store_link.stop()
        for server in self.servers:
            server.link.stop()
        await self._store.stop()
        self._lock.close()

    async def _add_host(self, name: str, count: int, number: int) -> None:
        zone = f"zone-{number % _ZONES}"
        planned = tuple(
            PlannedServer(
                vm=f"{name}-vm-{k}",
                listens=f"{self._net}.{20 + number}.{k + 1}:9000",
                address=f"{self._net}.{40 + number}.{k + 1}:9000",
                zone=zone if name != "plain" else f"zone-{k % _ZONES}",
            )
            for k in range(count)
        )
        plan = ServerPlan(
            servers=planned,
            store=self._store.address,
            domain=name if name != "plain" else "",
            seed=self._seed * 10 + number,
        )
        encoded = plan.encode()
        host = self._process(name, ("-m", "pomelolug.testing.group_server", encoded))
        self.hosts.append(host)
        for server in planned:
            link = LoopbackProxy(server.address, server.listens)
            await link.start()
            self.servers.append(SoakedServer(vm=server.vm, host=host, link=link))
        await host.start()

    async def _add_entry(self, number: int) -> None:
        ip = f"{self._net}.1.{number + 1}"
        link = LoopbackProxy(f"{self._net}.2.{number + 1}:7000", self._store.address)
        await link.start()
        name = f"entry-{number}"
        path = self._folder / f"{name}.toml"
        path.write_text(
            format_entry_settings(
                node=name,
                ip=ip,
                zone=f"zone-{number % _ZONES}",
                store=link.address,
                seeds=[f"{self._net}.1.{k + 1}:8003" for k in range(3)],
            )
        )
        process = SoakProcess(
            name=name,
            arguments=("-m", "pomelolug.entry"),
            environment={SETTINGS_VARIABLE: str(path)},
            folder=self._folder,
        )
        await process.start()
        entry = EntryVm(name=name, ip=ip, process=process, store_link=link)
        self.entries.append(entry)
        self._polls.append(asyncio.create_task(self._poll_readiness(entry)))

    def _process(self, name: str, arguments: tuple[str, ...]) -> SoakProcess:
        return SoakProcess(
            name=name,
            arguments=arguments,
            environment={},
            folder=self._folder,
            on_line=self._server_said,
        )

    def _stored(self, topic: str, key: str, value: bytes) -> None:
        """Note when a server's announcement to leave is stored, or replaced."""
        if topic != TOPIC_SERVERS:
            return
        server = decode_server(VmId(key), value) if value else None
        if server is not None and server.state is ServerState.DRAINING:
            self._promises.drained(key, time.monotonic())
        else:
            self._promises.forget_drain(key)

    def _server_said(self, line: dict[str, Any]) -> None:
        if "violation" in line:
            self._promises.found(line["violation"])
            return
        self._promises.ran(
            ServerRun(
                request=line["run"],
                vm=line["vm"],
                account=line["account"],
                key=line["key"],
                path=line["path"],
                digest=line["body"],
                at=line["at"],
            )
        )

    async def _poll_readiness(self, entry: EntryVm) -> None:
        """Ask an entry VM for readiness, as a balancer does."""
        while True:
            started = time.monotonic()
            ready = await is_ready(f"{entry.ip}:8002")
            entry.misses = 0 if ready else entry.misses + 1
            pause = _READY_EVERY_S - (time.monotonic() - started)
            await asyncio.sleep(max(pause, 0.0))


def _reserve_net() -> tuple[str, socket.socket]:
    """Return a free part of the loopback network and the lock on it."""
    numbers = list(range(64, 250))
    random.SystemRandom().shuffle(numbers)
    for number in numbers:
        lock = socket.socket()
        try:
            lock.bind((f"127.{number}.0.1", 9))
        except PermissionError:
            lock.bind((f"127.{number}.0.1", 9009))
        except OSError:
            lock.close()
            continue
        return f"127.{number}", lock
    raise RuntimeError("every part of the loopback network is in use")
