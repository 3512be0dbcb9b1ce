"""Simulated backend servers, each on its own port, in one process.

Run ``python -m pomelolug.testing.backend_server --base-port 9100 --engines 16
--services 1``. The base port is the control port: it serves ``POST /faults`` with a
`BackendFault` as body, ``GET /ledger`` and ``GET /vms``. The VMs use the ports above
it, the engines first. Fabric domains are filled one after the other and assigned to
the availability zones in rotation.
"""

import asyncio
import dataclasses
import datetime
from collections.abc import Awaitable, Callable

import fire
import msgspec
from aiohttp import web

from pomelolug.clock import Clock, SystemClock
from pomelolug.engines import FencingKind
from pomelolug.testing._engine_app import engine_routes
from pomelolug.testing._engine_vm import EngineTimes, EngineVm
from pomelolug.testing._fleet import BackendFault, BackendServer, Fleet
from pomelolug.testing._serve import parse_names, run_until_stopped
from pomelolug.testing._service_app import service_routes
from pomelolug.testing._slots import Slots
from pomelolug.testing._vm_server import VmServer

__all__ = ["FleetPlan", "main", "start_backends"]

_SERVICE_CAPACITY = 64


@dataclasses.dataclass(frozen=True, kw_only=True)
class FleetPlan:
    """Size, placement and latencies of the simulated backend servers.

    `domain_size` is the number of engines in a fabric domain and `capacity` the
    number of requests that an engine runs concurrently. `services` is the number of
    plain-service VMs, which are assigned to `service_names` in rotation. With
    `base_port` 0, the operating system chooses every port.
    """

    base_port: int = 0
    host: str = "127.0.0.1"
    engines: int = 16
    services: int = 1
    zones: tuple[str, ...] = ("zone-a",)
    region: str = "region-1"
    domain_size: int = 8
    service_names: tuple[str, ...] = ("service",)
    capacity: int = 16
    model_bytes: int = 100_000_000
    rate_bytes_per_s: float = 1e9
    times: EngineTimes = EngineTimes()
    service_time: datetime.timedelta = datetime.timedelta(milliseconds=5)
    fencing: FencingKind = FencingKind.REFUSES
    platform: str = ""


class _RunningFleet:
    """Running simulated backend servers with their control port."""

    def __init__(self, fleet: Fleet, plan: FleetPlan) -> None:
        self._fleet = fleet
        self._plan = plan
        self._runner: web.AppRunner | None = None
        self._load_task: asyncio.Task[None] | None = None

    @property
    def fleet(self) -> Fleet:
        """Simulated backend servers."""
        return self._fleet

    @property
    def address(self) -> str:
        """IP address and port of the control server."""
        assert self._runner is not None
        host, port = self._runner.addresses[0][:2]
        return f"{host}:{port}"

    async def start(self) -> None:
        """Start all servers and register the VMs with the platform."""
        plan = self._plan
        for index in range(plan.engines):
            server = _make_engine_server(plan, index, self._fleet.clock)
            await self._fleet.add(server, engine_routes(self._fleet, server))
        for index in range(plan.services):
            server = _make_service_server(plan, index, self._fleet.clock)
            routes = service_routes(self._fleet, server, service_time=plan.service_time)
            await self._fleet.add(server, routes)
        await self._fleet.register([server.vm for server in self._fleet.servers])
        self._load_task = asyncio.create_task(self._fleet.load_weights())
        await self._start_control_server()

    async def close(self) -> None:
        """Stop all servers."""
        if self._load_task is not None:
            self._load_task.cancel()
        await self._fleet.close()
        if self._runner is not None:
            await self._runner.cleanup()

    async def _start_control_server(self) -> None:
        app = web.Application()
        app.add_routes(
            [
                web.post("/faults", self._post_fault),
                web.get("/ledger", self._get_ledger),
                web.get("/vms", self._get_vms),
            ]
        )
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, self._plan.host, self._plan.base_port).start()

    async def _post_fault(self, request: web.Request) -> web.Response:
        try:
            fault = msgspec.json.decode(await request.read(), type=BackendFault)
        except msgspec.DecodeError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        return web.json_response({"vms": await self._fleet.apply(fault)})

    async def _get_ledger(self, request: web.Request) -> web.Response:
        return web.Response(
            body=self._fleet.ledger.encode(), content_type="application/json"
        )

    async def _get_vms(self, request: web.Request) -> web.Response:
        vms = [
            {
                "address": server.vm.address,
                "zone": server.vm.zone,
                "domain": server.vm.domain,
                "service": server.vm.service,
                "alive": server.vm.alive,
                "reachable": server.vm.reachable,
                "members": server.vm.members,
                "rank": server.vm.rank,
                "status": server.vm.status(),
            }
            for server in self._fleet.servers
        ]
        body = msgspec.json.encode({"vms": vms})
        return web.Response(body=body, content_type="application/json")


async def start_backends(
    plan: FleetPlan, *, clock: Clock | None = None
) -> _RunningFleet:
    """Start the backend servers of `plan`; ``close`` of the result stops them."""
    fleet = Fleet(
        clock=clock or SystemClock(),
        rate_bytes_per_s=plan.rate_bytes_per_s,
        platform=plan.platform,
    )
    backends = _RunningFleet(fleet, plan)
    await backends.start()
    return backends


def _make_engine_server(plan: FleetPlan, index: int, clock: Clock) -> BackendServer:
    domain = index // plan.domain_size
    vm = EngineVm(
        vm=f"engine-{index}",
        address="",
        zone=plan.zones[domain % len(plan.zones)],
        region=plan.region,
        domain=f"domain-{domain}",
        clock=clock,
        times=plan.times,
        capacity=plan.capacity,
        model_bytes=plan.model_bytes,
        fencing=plan.fencing,
    )
    return _make_server(plan, vm, index)


def _make_service_server(plan: FleetPlan, index: int, clock: Clock) -> BackendServer:
    name = plan.service_names[index % len(plan.service_names)]
    number = index // len(plan.service_names)
    vm = EngineVm(
        vm=f"{name}-{number}",
        address="",
        zone=plan.zones[number % len(plan.zones)],
        region=plan.region,
        domain=f"{name}-domain",
        clock=clock,
        times=plan.times,
        capacity=_SERVICE_CAPACITY,
        model_bytes=0,
        service=name,
    )
    return _make_server(plan, vm, plan.engines + index)


def _make_server(plan: FleetPlan, vm: EngineVm, index: int) -> BackendServer:
    port = plan.base_port + 1 + index if plan.base_port else 0
    listener = VmServer(host=plan.host, port=port, is_reachable=lambda: vm.reachable)
    return BackendServer(vm=vm, listener=listener, slots=Slots(vm.capacity))


def main(
    base_port: int,
    engines: int = 16,
    services: int = 1,
    zones: str = "zone-a",
    region: str = "region-1",
    domain_size: int = 8,
    service_names: str = "service",
    capacity: int = 16,
    model_bytes: int = 100_000_000,
    rate_bytes_per_s: float = 1e9,
    first_token_ms: float = 80.0,
    first_token_cached_ms: float = 20.0,
    step_ms: float = 20.0,
    service_ms: float = 5.0,
    fencing: str = "refuses",
    platform: str = "",
    host: str = "127.0.0.1",
) -> None:
    """Run the simulated backend servers until SIGTERM or SIGINT."""
    plan = FleetPlan(
        base_port=base_port,
        host=host,
        engines=engines,
        services=services,
        zones=parse_names(zones),
        region=region,
        domain_size=domain_size,
        service_names=parse_names(service_names),
        capacity=capacity,
        model_bytes=model_bytes,
        rate_bytes_per_s=rate_bytes_per_s,
        times=EngineTimes(
            first_token=datetime.timedelta(milliseconds=first_token_ms),
            first_token_cached=datetime.timedelta(milliseconds=first_token_cached_ms),
            step=datetime.timedelta(milliseconds=step_ms),
        ),
        service_time=datetime.timedelta(milliseconds=service_ms),
        fencing=FencingKind(fencing),
        platform=platform,
    )

    async def start() -> Callable[[], Awaitable[None]]:
        backends = await start_backends(plan)
        return backends.close

    run_until_stopped(start)


if __name__ == "__main__":
    fire.Fire(main)
