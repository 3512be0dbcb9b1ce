"""Cluster that a soak simulates on one virtual clock."""

import asyncio
import datetime
import pathlib
import random

from pomelolug.clock import Clock
from pomelolug.configuration import (
    CONFIG_STREAM,
    ConfigurationFold,
    PublishResult,
    hash_key,
    publish,
)
from pomelolug.engines import FencingKind
from pomelolug.experiments.soak._caller import Callers
from pomelolug.experiments.soak._entry import (
    OPERATOR_KEYS,
    PEER_KEY,
    RETENTION_S,
    EntryVm,
)
from pomelolug.experiments.soak._fleet import NodeEngineClient, SoakFleet, SoakService
from pomelolug.experiments.soak._journal import Journal
from pomelolug.experiments.soak._network import SoakNetwork
from pomelolug.experiments.soak._platform import LaggingVmDirectory, NodeLogService
from pomelolug.ids import ModelName
from pomelolug.membership import PeerKeyRing
from pomelolug.state import Appender, KeyRing, StreamReader
from pomelolug.testing import FakeWeightStore, MemoryLog

__all__ = ["ENTRY_VM_COUNT", "GROUP_SIZE", "SimulatedCluster", "ZONES"]

ENTRY_VM_COUNT = 9
SERVER_COUNT = 65
GROUP_SIZE = 8
ZONES = ("z1", "z2", "z3")
REGIONS = {"z1": "r1", "z2": "r1", "z3": "r2"}
_DOMAIN_COUNT = 6
_FENCING_KINDS = (FencingKind.REFUSES, FencingKind.IGNORES, FencingKind.UNCHECKED)
_MODEL_BYTES = 8_000_000_000
_WEIGHTS_BYTES_PER_S = 2e9
_CONFIGURATION_TEMPLATE = """
[deployment]
objective = {objective}
[pool drafting]
model = m
members = 8
[service jobs]
timeout = 5s
[class chat]
priority = 5
pool = drafting
ttft_target = {ttft}s
gap_target = 44ms
deadline = 30s
[class billed]
priority = 3
pool = drafting
ttft_target = 3s
gap_target = 44ms
deadline = 30s
idempotent = no
[class pull]
priority = 1
service = jobs
ttft_target = 1s
gap_target = 1s
deadline = 10s
[class confirm]
priority = 6
service = jobs
ttft_target = 1s
gap_target = 1s
deadline = 10s
idempotent = no
[account acme]
keys = {keys}
"""


class SimulatedCluster:
    """The platform, the backend servers, the entry VMs and the callers.

    Parameters
    ----------
    seed : int
        Seed of all random states.
    settings_folder : pathlib.Path
        Directory for the settings files.
    clock : Clock
        Virtual clock.
    jobs_per_s : float
        Mean number of jobs per virtual second.
    """

    def __init__(
        self,
        *,
        seed: int,
        settings_folder: pathlib.Path,
        clock: Clock,
        jobs_per_s: float,
    ) -> None:
        self.clock = clock
        self.random = random.Random(seed)
        self.journal = Journal(clock)
        self.log = MemoryLog(
            clock=clock,
            random_state=random.Random(seed + 1),
            retention=datetime.timedelta(seconds=RETENTION_S),
        )
        self.weight_store = FakeWeightStore(
            clock=clock,
            rate_bytes_per_s=_WEIGHTS_BYTES_PER_S,
            sizes={ModelName("m"): _MODEL_BYTES},
        )
        self.fleet = SoakFleet(
            clock=clock, store=self.weight_store, journal=self.journal
        )
        self.plain_service = SoakService(clock)
        self.directory = LaggingVmDirectory(self.fleet, clock)
        self.network = SoakNetwork(PeerKeyRing([PEER_KEY]))
        self.cut_zone_pairs: set[tuple[str, str]] = set()
        self.zones_without_log: set[str] = set()
        self._add_backend_servers()
        seeds = ",".join(f"10.0.0.{n}:70" for n in (1, 2, 3))
        self.entries = [
            EntryVm(
                number=number,
                zone=ZONES[number % len(ZONES)],
                region=REGIONS[ZONES[number % len(ZONES)]],
                settings_folder=settings_folder,
                seeds=seeds,
                network=self.network,
                make_engine_client=lambda zone, node_clock: NodeEngineClient(
                    self.fleet, zone, node_clock, self.is_zone_pair_cut
                ),
                make_log_service=lambda entry: NodeLogService(
                    self.log, entry.zone, entry.clock, self.zones_without_log
                ),
                directory=self.directory,
                weights=self.weight_store,
                plain_service=self.plain_service,
                clock=clock,
            )
            for number in range(1, ENTRY_VM_COUNT + 1)
        ]
        self.callers = Callers(
            entries=self.entries,
            journal=self.journal,
            random_state=random.Random(seed + 2),
            jobs_per_s=jobs_per_s,
        )
        self.accepted_versions: list[tuple[float, int]] = []
        self._background_tasks: list[asyncio.Task[None]] = []
        self._publication_count = 0

    def _add_backend_servers(self) -> None:
        for number in range(SERVER_COUNT):
            domain = number % _DOMAIN_COUNT
            self.fleet.add(
                f"vm{number:02}",
                zone=ZONES[domain % len(ZONES)],
                domain=f"d{domain}",
                fencing=_FENCING_KINDS[domain % len(_FENCING_KINDS)],
            )

    def is_zone_pair_cut(self, first: str, second: str) -> bool:
        """Return whether two zones are cut off from each other."""
        return (first, second) in self.cut_zone_pairs

    def start(self) -> None:
        """Start the entry VMs, the operators' log clients and the monitoring."""
        for entry in self.entries:
            entry.start()
        ring = KeyRing.from_options((PEER_KEY,), OPERATOR_KEYS)
        self._fold = ConfigurationFold()
        self._reader = StreamReader(
            log=self.log,
            stream=CONFIG_STREAM,
            fold=self._fold,
            keyring=ring,
            clock=self.clock,
            random_state=random.Random(5),
        )
        self._appenders = [
            Appender(
                log=self.log,
                keyring=ring,
                author=f"operator:{name}",
                clock=self.clock,
                random_state=random.Random(index),
            )
            for index, name in enumerate(("alice", "bob"))
        ]
        self._background_tasks = [
            asyncio.create_task(self._reader.run()),
            asyncio.create_task(self.fleet.monitor_responsiveness()),
        ]

    async def publish(self, *, operator: int = 0, base: int | None = None) -> bool:
        """Publish a changed configuration; return whether it was accepted."""
        self._publication_count += 1
        document = _CONFIGURATION_TEMPLATE.format(
            objective="group_downtime",
            ttft=1 + self._publication_count / 100,
            keys=hash_key("secret", b"12345678"),
        )
        result: PublishResult = await publish(
            document,
            base=self._fold.version if base is None else base,
            appender=self._appenders[operator],
            reader=self._reader,
            fold=self._fold,
        )
        if result.accepted:
            self.accepted_versions.append((self.clock.monotonic(), result.offset))
            self.journal.record_event(f"accepted version {result.offset}")
        return result.accepted

    @property
    def version(self) -> int:
        """Configuration version in force, as the operators see it."""
        return self._fold.version

    async def stop(self) -> None:
        """Stop all entry VMs, tasks and connections."""
        for task in self._background_tasks:
            task.cancel()
        for entry in self.entries:
            if entry.is_running:
                await entry.stop()
        await self.network.close()
