"""Entry VM of a soak: its control process and its gateway."""

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
_CONTROL_TEMPLATE = """
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
_GATEWAY_TEMPLATE = """
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
        Determines name and address.
    zone, region : str
        Location of the VM.
    settings_folder : pathlib.Path
        Directory for the settings files.
    seeds : str
        Addresses of the control processes to join first.
    network : SoakNetwork
        Network between the nodes.
    make_engine_client : callable
        Returns an engine client, given the zone and the clock of a node.
    make_log_service : callable
        Returns the log service as this entry VM reaches it.
    directory : VmDirectory
        VM list of the platform.
    weights : WeightStore
        Weight store of the platform.
    plain_service : ServiceClient
        Client of the plain services.
    clock : Clock
        Virtual clock.
    """

    def __init__(
        self,
        *,
        number: int,
        zone: str,
        region: str,
        settings_folder: pathlib.Path,
        seeds: str,
        network: SoakNetwork,
        make_engine_client: Any,
        make_log_service: Any,
        directory: VmDirectory,
        weights: WeightStore,
        plain_service: ServiceClient,
        clock: Clock,
    ) -> None:
        self.name = f"n{number}"
        self.zone = zone
        self.region = region
        self.address = f"10.0.0.{number}:70"
        self.gateway_address = f"{self.name}-gateway"
        self._settings_folder = settings_folder
        self._seeds = seeds
        self._network = network
        self._make_engine_client = make_engine_client
        self._make_log_service = make_log_service
        self._directory = directory
        self._weights = weights
        self._plain_service = plain_service
        self._base_clock = clock
        self._start_count = 0
        self._control_task: asyncio.Task[None] | None = None
        self._gateway_task: asyncio.Task[None] | None = None
        self.control: ControlProcess | None = None
        self.gateway: Gateway | None = None
        self.application: ASGIApp | None = None
        self.open_calls: set[asyncio.Task[None]] = set()
        self.clock = PausableClock(clock)
        self.observed_versions: list[int] = []
        self.is_draining = False

    @property
    def is_running(self) -> bool:
        """Whether the VM has been started and not stopped since."""
        return self.gateway is not None

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer sends requests here."""
        gateway = self.gateway
        if gateway is None or self.is_draining:
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
        """Start both processes without any earlier state."""
        self.is_draining = False
        self.observed_versions = []
        self.clock = PausableClock(self._base_clock)
        self._network.clocks[self.address] = self.clock
        self._network.clocks[self.gateway_address] = self.clock
        self.start_control()
        self._start_gateway()

    def start_control(self) -> None:
        """Start the control process without any earlier state."""
        self._start_count += 1
        settings, _ = self._load_settings()
        self.control = compose_control(
            settings,
            ControlAdapters(
                log=self._make_log_service(self),
                directory=self._directory,
                weights=self._weights,
                engine=self._make_engine_client(self.zone, self.clock),
                dialer=self._network.dialer(self.address),
            ),
            self.clock,
            random.Random(f"{self.name}.{self._start_count}"),
            CollectorRegistry(),
        )
        keys = PeerKeyRing([PEER_KEY])
        self._network.listen_control(self.address, self.control, keys, self.clock)
        self._control_task = asyncio.create_task(self.control.run())

    def _start_gateway(self) -> None:
        _, settings = self._load_settings()
        state = random.Random(f"{self.name}.{self._start_count} gateway")
        self.gateway = compose_gateway(
            settings,
            GatewayAdapters(
                engine=self._make_engine_client(self.zone, self.clock),
                service_client=self._plain_service,
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

    def _load_settings(self) -> tuple[ControlSettings, GatewaySettings]:
        values = {
            "name": self.name,
            "zone": self.zone,
            "region": self.region,
            "address": self.address,
            "keys": PEER_KEY,
            "seeds": self._seeds,
            "operators": ",".join(OPERATOR_KEYS),
            "state": self._start_count,
            "retention": RETENTION_S,
        }
        control = self._settings_folder / f"{self.name}-control.ini"
        control.write_text(_CONTROL_TEMPLATE.format(**values))
        gateway = self._settings_folder / f"{self.name}-gateway.ini"
        gateway.write_text(_GATEWAY_TEMPLATE.format(**values))
        return (
            load_settings(control, ControlSettings, CONTROL_SPEC),
            load_settings(gateway, GatewaySettings, GATEWAY_SPEC),
        )

    async def stop_control(self) -> None:
        """Stop the control process; the gateway keeps running."""
        await self._cancel(self._control_task)
        self._control_task = None
        self.control = None
        await self._network.stop_server(self.address)

    async def stop(self) -> None:
        """Stop both processes at once; requests in flight are cut off."""
        self.gateway = None
        self.application = None
        self.clock.resume()
        for task in self.open_calls:
            task.cancel()
        await self._cancel(self._gateway_task)
        self._gateway_task = None
        await self.stop_control()

    async def _cancel(self, task: "asyncio.Task[None] | None") -> None:
        if task is not None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    def process_errors(self) -> list[str]:
        """Return the errors of processes that exited by themselves."""
        return [
            f"{self.name}: {task.exception()!r}"
            for task in (self._control_task, self._gateway_task)
            if task is not None
            and task.done()
            and not task.cancelled()
            and task.exception()
        ]
