"""One entry VM of a soak: its control process and its gateway."""

import asyncio
import pathlib
import random
from typing import Any

from prometheus_client import CollectorRegistry
from starlette.types import ASGIApp

from pomelolug.clock import Clock
from pomelolug.control._compose import ControlAdapters
from pomelolug.control._compose import compose as compose_control
from pomelolug.control._process import ControlProcess
from pomelolug.experiments.soak._network import SoakNetwork
from pomelolug.gateway._compose import Gateway, GatewayAdapters
from pomelolug.gateway._compose import compose as compose_gateway
from pomelolug.infrastructure import VmDirectory, WeightStore
from pomelolug.membership import PeerKeyRing
from pomelolug.membership._memory_network import PausableClock
from pomelolug.services import ServiceClient
from pomelolug.settings import load_settings
from pomelolug.settings._control_generated import CONTROL_SPEC, ControlSettings
from pomelolug.settings._gateway_generated import GATEWAY_SPEC, GatewaySettings

__all__ = ["EntryVm", "PEER_KEY", "OPERATOR_KEYS", "RETENTION_S"]

PEER_KEY = "peer=" + "0b" * 16
OPERATOR_KEYS = ("alice=" + "0c" * 16, "bob=" + "0d" * 16)
RETENTION_S = 400
_CONTROL = """
[node]
name = {name}
zone = {zone}
region = {region}
[listen]
address = {address}
[peers]
keys = {keys}
seeds = {seeds}
[platform]
log = 127.0.0.1:1
vms = 127.0.0.1:1
weights = 127.0.0.1:1
operators = {operators}
retention = {retention}s
[claims]
partitions = 4
[random]
state = {state}
"""
_GATEWAY = """
[node]
name = {name}
zone = {zone}
[listen]
address = 127.0.0.1:1
[control]
address = {address}
keys = {keys}
[random]
state = {state}
"""


class EntryVm:
    """An entry VM that can be started, paused, drained and lost.

    Parameters
    ----------
    number : int
        Gives name and address.
    zone, region : str
        Place.
    folder : pathlib.Path
        Where the settings are written.
    seeds : str
        Addresses of the first control processes.
    network : SoakNetwork
        Peers.
    make_engine : callable
        Returns the fleet as a node of a zone with a clock reaches it.
    make_log : callable
        Returns the log as this node reaches it.
    directory : VmDirectory
        The platform's VM list.
    weights : WeightStore
        The platform's weight store.
    plain : ServiceClient
        Plain services.
    clock : Clock
        Virtual time.
    """

    def __init__(
        self,
        *,
        number: int,
        zone: str,
        region: str,
        folder: pathlib.Path,
        seeds: str,
        network: SoakNetwork,
        make_engine: Any,
        make_log: Any,
        directory: VmDirectory,
        weights: WeightStore,
        plain: ServiceClient,
        clock: Clock,
    ) -> None:
        self.name = f"n{number}"
        self.zone = zone
        self.region = region
        self.address = f"10.0.0.{number}:70"
        self.gateway_address = f"{self.name}-gateway"
        self._folder = folder
        self._seeds = seeds
        self._network = network
        self._make_engine = make_engine
        self._make_log = make_log
        self._directory = directory
        self._weights = weights
        self._plain = plain
        self._base_clock = clock
        self._starts = 0
        self._control_task: asyncio.Task[None] | None = None
        self._gateway_task: asyncio.Task[None] | None = None
        self.control: ControlProcess | None = None
        self.gateway: Gateway | None = None
        self.application: ASGIApp | None = None
        self.callers: set[asyncio.Task[None]] = set()
        self.clock = PausableClock(clock)
        self.versions: list[int] = []
        self.draining = False

    @property
    def running(self) -> bool:
        """Whether both processes run."""
        return self.gateway is not None

    @property
    def ready(self) -> bool:
        """Whether the balancer sends requests here."""
        gateway = self.gateway
        if gateway is None or self.draining:
            return False
        return not gateway.lifecycle.unready_reason(gateway.table_cache.configuration)

    @property
    def version(self) -> int:
        """Configuration version that the gateway has in force; -1 if none."""
        gateway = self.gateway
        if gateway is None or gateway.table_cache.configuration is None:
            return -1
        return gateway.table_cache.configuration.version

    def start(self) -> None:
        """Start both processes with nothing kept."""
        self.draining = False
        self.versions = []
        self.clock = PausableClock(self._base_clock)
        self._network.clocks[self.address] = self.clock
        self._network.clocks[self.gateway_address] = self.clock
        self.start_control()
        self._start_gateway()

    def start_control(self) -> None:
        """Start the control process with nothing kept."""
        self._starts += 1
        settings, _ = self._settings()
        self.control = compose_control(
            settings,
            ControlAdapters(
                log=self._make_log(self),
                directory=self._directory,
                weights=self._weights,
                engine=self._make_engine(self.zone, self.clock),
                dialer=self._network.dialer(self.address),
            ),
            self.clock,
            random.Random(f"{self.name}.{self._starts}"),
            CollectorRegistry(),
        )
        keys = PeerKeyRing([PEER_KEY])
        self._network.listen_control(self.address, self.control, keys, self.clock)
        self._control_task = asyncio.create_task(self.control.run())

    def _start_gateway(self) -> None:
        _, settings = self._settings()
        state = random.Random(f"{self.name}.{self._starts} gateway")
        self.gateway = compose_gateway(
            settings,
            GatewayAdapters(
                engine=self._make_engine(self.zone, self.clock),
                plain_service=self._plain,
                dialer=self._network.dialer(self.gateway_address),
            ),
            clock=self.clock,
            random_state=state,
            nonce_source=state,
        )
        self.application = self.gateway.application.build()
        self._gateway_task = asyncio.create_task(self._run_gateway(self.gateway))

    async def _run_gateway(self, gateway: Gateway) -> None:
        with gateway.run_background_tasks():
            await asyncio.Event().wait()

    def _settings(self) -> tuple[ControlSettings, GatewaySettings]:
        values = {
            "name": self.name,
            "zone": self.zone,
            "region": self.region,
            "address": self.address,
            "keys": PEER_KEY,
            "seeds": self._seeds,
            "operators": ",".join(OPERATOR_KEYS),
            "state": self._starts,
            "retention": RETENTION_S,
        }
        control = self._folder / f"{self.name}-control.ini"
        control.write_text(_CONTROL.format(**values))
        gateway = self._folder / f"{self.name}-gateway.ini"
        gateway.write_text(_GATEWAY.format(**values))
        return (
            load_settings(control, ControlSettings, CONTROL_SPEC),
            load_settings(gateway, GatewaySettings, GATEWAY_SPEC),
        )

    async def stop_control(self) -> None:
        """End the control process; the gateway goes on."""
        await self._end(self._control_task)
        self._control_task = None
        self.control = None
        await self._network.drop(self.address)

    async def stop(self) -> None:
        """End both processes at once; requests in flight are cut."""
        self.gateway = None
        self.application = None
        self.clock.resume()
        for task in self.callers:
            task.cancel()
        await self._end(self._gateway_task)
        self._gateway_task = None
        await self.stop_control()

    async def _end(self, task: "asyncio.Task[None] | None") -> None:
        if task is not None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    def failed(self) -> list[str]:
        """Return the errors of processes that ended by themselves."""
        return [
            f"{self.name}: {task.exception()!r}"
            for task in (self._control_task, self._gateway_task)
            if task is not None
            and task.done()
            and not task.cancelled()
            and task.exception()
        ]
