"""Entry processes, servers, the store and the proxies between them."""

import asyncio
import dataclasses
import datetime
import pathlib
import random
import re
import time
from collections import Counter
from collections.abc import Container
from typing import Any

from pomelolug.deployment import ServerState
from pomelolug.experiments.process_soak._calls import ServerRun, TurnedAwayRequest
from pomelolug.experiments.process_soak._processes import SoakProcess
from pomelolug.experiments.process_soak._promises import GuaranteeChecker
from pomelolug.ids import VmId, ZoneId
from pomelolug.platform import (
    KEY_DECLARATION,
    SETTINGS_VARIABLE,
    TOPIC_DECLARATION,
    TOPIC_SERVERS,
    decode_evacuated_zone,
    decode_server,
    evacuation_key,
)
from pomelolug.testing import (
    COLD_ACCEPTED_FACTOR,
    COLD_EXCESS_REQUESTS,
    FakeMetadataStore,
    LoopbackProxy,
    SampleDeployment,
    format_entry_settings,
    is_ready,
    reserve_loopback_prefix,
)
from pomelolug.testing.group_server import PlannedServer, ServerCommand, ServerPlan

__all__ = ["EntryVm", "ProcessCluster", "ServerHandle"]

_ZONE_COUNT = 2
_DOMAIN_COUNT = 2
_DOMAIN_SIZE = 6
_PLAIN_SERVER_COUNT = 3
_SERVER_ENTRY_TTL = datetime.timedelta(seconds=3.6)
"""Time after which the store drops the entry of a silent server."""
_PROBE_INTERVAL_S = 0.2
_UNREADY_THRESHOLD = 2
_ACCOUNT_KEYS = {
    "account-a": ("key-a1", "key-a2", "key-a3"),
    "account-b": ("key-b1", "key-b2"),
    "account-c": ("key-c1",),
}
_START_TIMEOUT_S = 20.0
_DISPATCHER_ZONE_SIZE = 6
"""Entry VMs of a zone from which on one of them assigns its streams to groups."""
_COLD_REQUESTS_PER_S = 1.0
"""Requests per second that a cold server bears, well below its share of the calls."""
_DISPATCHER_PATTERN = re.compile(r'"dispatcher": "([0-9.]+):')


@dataclasses.dataclass(kw_only=True)
class EntryVm:
    """One entry VM: its process and its link to the store."""

    name: str
    ip: str
    zone: str
    process: SoakProcess
    store_link: LoopbackProxy
    failed_probes: int = _UNREADY_THRESHOLD

    @property
    def is_in_rotation(self) -> bool:
        """Whether the load balancer opens new connections to the VM."""
        return self.failed_probes < _UNREADY_THRESHOLD


@dataclasses.dataclass(kw_only=True)
class ServerHandle:
    """Server, the process that runs it, and the link to it."""

    vm: str
    process: SoakProcess
    link: LoopbackProxy
    is_lost: bool = False


class ProcessCluster:
    """All processes and links of one run.

    Parameters
    ----------
    folder : pathlib.Path
        Settings and logs of the processes.
    guarantees : GuaranteeChecker
        Receives the runs, violations and drains of servers.
    rng : random.Random
        Chooses entry VMs and keys for callers.
    seed : int
        Seed of the servers' own choices.
    entry_count : int
        Number of entry VMs.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        guarantees: GuaranteeChecker,
        rng: random.Random,
        seed: int,
        entry_count: int,
    ) -> None:
        self._folder = folder
        self._guarantees = guarantees
        self._rng = rng
        self._seed = seed
        self._entry_count = entry_count
        self._network_prefix, self._prefix_lock = reserve_loopback_prefix()
        self._store = FakeMetadataStore()
        self._deployment = SampleDeployment(
            version=1,
            keys=dict(_ACCOUNT_KEYS),
            cold_requests_per_s=_COLD_REQUESTS_PER_S,
        )
        self._probe_tasks: list[asyncio.Task[None]] = []
        self.entries: list[EntryVm] = []
        self.servers: list[ServerHandle] = []
        self.server_processes: list[SoakProcess] = []
        """Processes of servers, one for each domain and one for plain servers."""

    @property
    def store(self) -> FakeMetadataStore:
        """The store."""
        return self._store

    @property
    def zones(self) -> list[str]:
        """Availability zones."""
        return [f"zone-{number}" for number in range(_ZONE_COUNT)]

    @property
    def deployment(self) -> SampleDeployment:
        """Declaration in the store."""
        return self._deployment

    @property
    def processes(self) -> list[SoakProcess]:
        """All processes of the run."""
        return [*self.server_processes, *(entry.process for entry in self.entries)]

    @property
    def cold_accepted_requests(self) -> float:
        """Requests that a cold server accepts in a second from all entry VMs."""
        rate_per_s = self._deployment.cold_requests_per_s
        return rate_per_s * COLD_ACCEPTED_FACTOR + COLD_EXCESS_REQUESTS

    def pick_entry(self, connected_entries: Container[str]) -> str:
        """Return a random entry VM in rotation or with an open connection, or ""."""
        usable = [
            e.name
            for e in self.entries
            if e.is_in_rotation or e.name in connected_entries
        ]
        return self._rng.choice(usable) if usable else ""

    def pick_key(self) -> tuple[str, str]:
        """Return account and key of a caller, also of one whose key was revoked."""
        account = self._rng.choice(list(_ACCOUNT_KEYS))
        return account, self._rng.choice(_ACCOUNT_KEYS[account])

    @property
    def has_dispatcher(self) -> bool:
        """Whether the first zone is so large that it has a dispatcher of streams."""
        sizes = Counter(map(self._entry_zone, range(self._entry_count)))
        return sizes[self.zones[0]] >= _DISPATCHER_ZONE_SIZE

    def find_dispatcher(self) -> EntryVm | None:
        """Return the dispatcher of the first zone by the logs of its entry VMs."""
        entries = [e for e in self.entries if e.zone == self.zones[0]]
        votes: Counter[str] = Counter()
        for entry in entries:
            named = _DISPATCHER_PATTERN.findall(entry.process.log_text)
            votes.update(named[-1:])
        leading = votes.most_common(1)
        return next((e for e in entries if leading and e.ip == leading[0][0]), None)

    def account_key(self, account: str) -> str:
        """Return the key of an account that is never revoked."""
        return _ACCOUNT_KEYS[account][0]

    def caller_address(self, entry: str) -> str:
        """Return the address of an entry VM for callers."""
        return next(f"{e.ip}:8001" for e in self.entries if e.name == entry)

    def declare(self, deployment: SampleDeployment) -> None:
        """Store a new version of the declaration."""
        self._deployment = deployment
        self._store.put(TOPIC_DECLARATION, KEY_DECLARATION, deployment.encode())

    def evacuate(self, zone: str) -> None:
        """Order that nothing more is sent to the servers of a zone."""
        self._store.put(TOPIC_DECLARATION, evacuation_key(ZoneId(zone)), b"{}")

    def take_back(self, zone: str) -> None:
        """Remove the order to evacuate a zone."""
        self._store.put(TOPIC_DECLARATION, evacuation_key(ZoneId(zone)), b"")

    def send_command(self, server: ServerHandle, do: str, x: float = 0.0) -> None:
        """Send the command `do` with the parameter `x` to a server."""
        server.process.send(ServerCommand(do=do, vm=server.vm, x=x))

    async def expire_server_entry(self, server: ServerHandle) -> None:
        """Drop the store entry of a server after its TTL if it is still lost."""
        await asyncio.sleep(_SERVER_ENTRY_TTL.total_seconds())
        if server.is_lost:
            self._store.put(TOPIC_SERVERS, server.vm, b"")

    async def start(self) -> None:
        """Start everything and wait until all entry VMs are ready."""
        await self._store.start()
        self._store.on_record = self._on_store_record
        self.declare(self._deployment)
        for number in range(_DOMAIN_COUNT):
            await self._start_server_process(f"domain-{number}", _DOMAIN_SIZE, number)
        await self._start_server_process("plain", _PLAIN_SERVER_COUNT, _DOMAIN_COUNT)
        for number in range(self._entry_count):
            await self._start_entry(number)
        async with asyncio.timeout(_START_TIMEOUT_S):
            while not all(entry.is_in_rotation for entry in self.entries):  # noqa: ASYNC110
                await asyncio.sleep(_PROBE_INTERVAL_S)

    async def stop(self) -> None:
        """End all processes and proxies."""
        for task in self._probe_tasks:
            task.cancel()
        await asyncio.gather(*self._probe_tasks, return_exceptions=True)
        await asyncio.gather(*(process.kill() for process in self.processes))
        for entry in self.entries:
            entry.store_link.stop()
        for server in self.servers:
            server.link.stop()
        await self._store.stop()
        self._prefix_lock.close()

    async def _start_server_process(self, name: str, count: int, number: int) -> None:
        zone = f"zone-{number % _ZONE_COUNT}"
        planned = tuple(
            PlannedServer(
                vm=f"{name}-vm-{k}",
                listens=f"{self._network_prefix}.{20 + number}.{k + 1}:9000",
                address=f"{self._network_prefix}.{40 + number}.{k + 1}:9000",
                zone=zone if name != "plain" else f"zone-{k % _ZONE_COUNT}",
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
        process = self._new_server_process(
            name, ("-m", "pomelolug.testing.group_server", encoded)
        )
        self.server_processes.append(process)
        for server in planned:
            link = LoopbackProxy(server.address, server.listens)
            await link.start()
            self.servers.append(ServerHandle(vm=server.vm, process=process, link=link))
        await process.start()

    def _entry_zone(self, number: int) -> str:
        """Return the zone of an entry VM; those beyond four lie in the first one."""
        return self.zones[number % _ZONE_COUNT if number < 4 else 0]

    async def _start_entry(self, number: int) -> None:
        ip = f"{self._network_prefix}.1.{number + 1}"
        link = LoopbackProxy(
            f"{self._network_prefix}.2.{number + 1}:7000", self._store.address
        )
        await link.start()
        name, zone = f"entry-{number}", self._entry_zone(number)
        path = self._folder / f"{name}.toml"
        path.write_text(
            format_entry_settings(
                node=name,
                ip=ip,
                zone=zone,
                store=link.address,
                seeds=[f"{self._network_prefix}.1.{k + 1}:8003" for k in range(3)],
            )
        )
        process = SoakProcess(
            name=name,
            arguments=("-m", "pomelolug.entry"),
            environment={SETTINGS_VARIABLE: str(path)},
            folder=self._folder,
        )
        await process.start()
        entry = EntryVm(name=name, ip=ip, zone=zone, process=process, store_link=link)
        self.entries.append(entry)
        self._probe_tasks.append(asyncio.create_task(self._probe_readiness(entry)))

    def _new_server_process(self, name: str, arguments: tuple[str, ...]) -> SoakProcess:
        return SoakProcess(
            name=name,
            arguments=arguments,
            environment={},
            folder=self._folder,
            on_line=self._on_server_line,
        )

    def _on_store_record(self, topic: str, key: str, value: bytes) -> None:
        """Record evacuations, and the zones and departures of servers."""
        zone = decode_evacuated_zone(key) if topic == TOPIC_DECLARATION else None
        if zone is not None and value:
            self._guarantees.evacuations.record_evacuation(zone, time.monotonic())
        elif zone is not None:
            self._guarantees.evacuations.record_end(zone, time.monotonic())
        if topic != TOPIC_SERVERS:
            return
        server = decode_server(VmId(key), value) if value else None
        if server is not None:
            self._guarantees.evacuations.record_server(key, server.zone)
        if server is None or server.state is ServerState.DRAINING:
            self._guarantees.record_departure(key, time.monotonic())
        else:
            self._guarantees.record_return(key, time.monotonic())

    def _on_server_line(self, line: dict[str, Any]) -> None:
        if "violation" in line:
            self._guarantees.record_violation(line["violation"])
            return
        if "refused" in line:
            self._guarantees.record_turned_away(
                TurnedAwayRequest(
                    request_id=line["refused"],
                    vm=line["vm"],
                    life=line["life"],
                    pause_s=line["pause"],
                    at_s=line["at"],
                )
            )
            return
        self._guarantees.record_run(
            ServerRun(
                request_id=line["run"],
                vm=line["vm"],
                account=line["account"],
                key=line["key"],
                path=line["path"],
                body_digest=line["body"],
                started_at_s=line["at"],
                life=line["life"],
                is_server_leaving=line["leaving"],
            )
        )

    async def _probe_readiness(self, entry: EntryVm) -> None:
        """Probe the readiness of an entry VM, as a load balancer does."""
        while True:
            started_at_s = time.monotonic()
            ready = await is_ready(f"{entry.ip}:8002")
            entry.failed_probes = 0 if ready else entry.failed_probes + 1
            pause_s = _PROBE_INTERVAL_S - (time.monotonic() - started_at_s)
            await asyncio.sleep(max(pause_s, 0.0))
