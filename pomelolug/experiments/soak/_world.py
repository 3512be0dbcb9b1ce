"""Everything that a soak runs, on one virtual clock."""

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
from pomelolug.experiments.soak._fleet import NodeEngine, SoakFleet, SoakService
from pomelolug.experiments.soak._journal import Journal
from pomelolug.experiments.soak._network import SoakNetwork
from pomelolug.experiments.soak._platform import SoakDirectory, ZonedLog
from pomelolug.ids import ModelName
from pomelolug.membership import PeerKeyRing
from pomelolug.state import Appender, KeyRing, StreamReader
from pomelolug.testing import FakeWeightStore, MemoryLog

__all__ = ["ENTRY_VMS", "GROUP_MEMBERS", "World", "ZONES"]

ENTRY_VMS = 9
SERVERS = 65
GROUP_MEMBERS = 8
ZONES = ("z1", "z2", "z3")
REGIONS = {"z1": "r1", "z2": "r1", "z3": "r2"}
_DOMAINS = 6
_KINDS = (FencingKind.REFUSES, FencingKind.IGNORES, FencingKind.UNCHECKED)
_MODEL_BYTES = 8_000_000_000
_RATE = 2e9
_DOCUMENT = """
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


class World:
    """The platform, the backend servers, the entry VMs and the callers.

    Parameters
    ----------
    seed : int
        Seed of everything that is drawn.
    folder : pathlib.Path
        Where settings are written.
    clock : Clock
        Virtual clock.
    rate : float
        Pieces of work a virtual second.
    """

    def __init__(
        self, *, seed: int, folder: pathlib.Path, clock: Clock, rate: float
    ) -> None:
        self.clock = clock
        self.random = random.Random(seed)
        self.journal = Journal(clock)
        self.log = MemoryLog(
            clock=clock,
            random_state=random.Random(seed + 1),
            retention=datetime.timedelta(seconds=RETENTION_S),
        )
        self.store = FakeWeightStore(
            clock=clock,
            rate_bytes_per_s=_RATE,
            sizes={ModelName("m"): _MODEL_BYTES},
        )
        self.fleet = SoakFleet(clock=clock, store=self.store, journal=self.journal)
        self.service = SoakService(clock)
        self.directory = SoakDirectory(self.fleet, clock)
        self.network = SoakNetwork(PeerKeyRing([PEER_KEY]))
        self.cut_zones: set[tuple[str, str]] = set()
        self.log_cut: set[str] = set()
        self._fill()
        seeds = ",".join(f"10.0.0.{n}:70" for n in (1, 2, 3))
        self.entries = [
            EntryVm(
                number=number,
                zone=ZONES[number % len(ZONES)],
                region=REGIONS[ZONES[number % len(ZONES)]],
                folder=folder,
                seeds=seeds,
                network=self.network,
                make_engine=lambda zone, own: NodeEngine(
                    self.fleet, zone, own, self.is_cut
                ),
                make_log=lambda entry: ZonedLog(
                    self.log, entry.zone, entry.clock, self.log_cut
                ),
                directory=self.directory,
                weights=self.store,
                plain=self.service,
                clock=clock,
            )
            for number in range(1, ENTRY_VMS + 1)
        ]
        self.callers = Callers(
            entries=self.entries,
            journal=self.journal,
            random_state=random.Random(seed + 2),
            rate=rate,
        )
        self.accepted: list[tuple[float, int]] = []
        self._operator_tasks: list[asyncio.Task[None]] = []
        self._publications = 0

    def _fill(self) -> None:
        for number in range(SERVERS):
            domain = number % _DOMAINS
            self.fleet.add(
                f"vm{number:02}",
                zone=ZONES[domain % len(ZONES)],
                domain=f"d{domain}",
                fencing=_KINDS[domain % len(_KINDS)],
            )

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether two zones are cut off from each other."""
        return (one, other) in self.cut_zones

    def start(self) -> None:
        """Start the entry VMs and the operators' view of the log."""
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
        self._operator_tasks = [
            asyncio.create_task(self._reader.run()),
            asyncio.create_task(self.fleet.watch_absence()),
        ]

    async def publish(self, *, operator: int = 0, base: int | None = None) -> bool:
        """Publish a changed configuration; return whether it won."""
        self._publications += 1
        document = _DOCUMENT.format(
            objective="group_downtime",
            ttft=1 + self._publications / 100,
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
            self.accepted.append((self.clock.monotonic(), result.offset))
            self.journal.note(f"accepted version {result.offset}")
        return result.accepted

    @property
    def version(self) -> int:
        """Version that the operators see in force."""
        return self._fold.version

    async def stop(self) -> None:
        """End everything."""
        for task in self._operator_tasks:
            task.cancel()
        for entry in self.entries:
            if entry.running:
                await entry.stop()
        await self.network.close()
