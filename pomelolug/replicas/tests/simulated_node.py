"""A node with a group controller, over simulated servers on virtual time."""

import asyncio
import datetime
from collections.abc import Sequence

from pomelolug.deployment import (
    BackendServer,
    Declaration,
    EngineProfile,
    ModelProfile,
    ServerRegistry,
    Service,
    StatedAvailability,
)
from pomelolug.ids import DomainId, ModelName, Offset, ServiceName, VmId
from pomelolug.replicas import (
    ControllerElection,
    ControllerLease,
    Departures,
    ReplicaGroupController,
    ServerHealth,
)
from pomelolug.testing import GroupServers, LoopClock

LARGE = ModelName("large")
SMALL = ModelName("small")
SERVICE = ServiceName("llm")
STALL_TIMEOUT = datetime.timedelta(seconds=5)


def seconds(value: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=value)


ENGINE = EngineProfile(
    slots=13,
    kv_tokens=1_235_000,
    step_ms=6.45,
    step_ms_per_request=0.19,
    step_ms_per_1000_tokens=0.006,
    prefill_tokens_per_s=56_100.0,
    tokens_per_event=6,
    loads_per_s=5.5,
    max_concurrent_loads=8,
    staged_models=1,
    open_delay=seconds(0.3),
    mean_prompt_tokens=1115.0,
    mean_answer_tokens=152.0,
    models=(
        ModelProfile(
            name=LARGE,
            group_size=6,
            time_factor=1.0,
            work_share=0.67,
            load_time=seconds(16),
            warm_load_time=seconds(1.6),
        ),
        ModelProfile(
            name=SMALL,
            group_size=3,
            time_factor=0.6,
            work_share=0.33,
            load_time=seconds(12),
            warm_load_time=seconds(1.1),
        ),
    ),
)

DECLARATION = Declaration(
    version=1,
    routes=(),
    services={
        SERVICE: Service(
            name=SERVICE, health_path="/health", max_connections=100, engine=ENGINE
        )
    },
    accounts_by_key=None,
    max_header_bytes=16384,
    max_body_bytes=1 << 20,
    header_timeout=seconds(3),
    idle_timeout=seconds(15),
)


class FakeElection(ControllerElection):
    """Election whose result a test sets."""

    def __init__(self, generation: int) -> None:
        self.generation = generation
        self.is_assigned = True

    async def renew(self, generation: int) -> tuple[int, bool]:
        return self.generation, self.is_assigned

    async def release(self) -> None:
        self.is_assigned = False


class Statements(StatedAvailability):
    """Statements of servers that a test sets."""

    def __init__(self) -> None:
        self.leaving: set[VmId] = set()
        self.paused: set[VmId] = set()

    def is_leaving(self, server: BackendServer) -> bool:
        return server.vm in self.leaving

    def is_paused(self, server: BackendServer) -> bool:
        return server.vm in self.paused


class Node:
    """A node that can become the active controller."""

    def __init__(self, fleet: GroupServers, *, generation: int = 1) -> None:
        clock = LoopClock()
        self.election = FakeElection(generation)
        self.lease = ControllerLease(
            election=self.election, clock=clock, duration=seconds(1.5)
        )
        self.registry = ServerRegistry(clock=clock)
        self.health = ServerHealth(control=fleet, clock=clock)
        self.departures = Departures(clock=clock)
        self.statements = Statements()
        self.evacuated_domains: set[DomainId] = set()
        """Fabric domains that lie in evacuated zones."""
        self.in_flight: dict[str, int] = {}
        self.serving = False
        self.declaration = DECLARATION
        self.may_rebalance = False
        self.controller = ReplicaGroupController(
            lease=self.lease,
            registry=self.registry,
            control=fleet,
            health=self.health,
            departures=self.departures,
            availability=self.statements,
            is_evacuated=lambda server: server.domain in self.evacuated_domains,
            clock=clock,
            declaration=lambda: self.declaration,
            stall_timeout=STALL_TIMEOUT,
            is_serving=lambda: self.serving,
            in_flight=lambda vm: self.in_flight.get(vm, 0),
            may_rebalance=lambda: self.may_rebalance,
            on_event=lambda event, result: None,
        )
        self.follows_registry = True
        """Whether records reach the registry; later they arrive all at once."""
        self._held_records: list[tuple[VmId, Offset, BackendServer | None]] = []
        fleet.attach(self)
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self.lease.run()),
            loop.create_task(self.controller.run()),
        ]

    def apply(
        self, records: Sequence[tuple[VmId, Offset, BackendServer | None]]
    ) -> None:
        """Apply records to the registry, or hold them back."""
        self._held_records += records
        if self.follows_registry:
            self.registry.apply(self._held_records)
            self._held_records = []

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


def make_fleet(domains: int = 1, *, size: int = 11) -> GroupServers:
    fleet = GroupServers(engine=ENGINE, service=SERVICE, stall_timeout=STALL_TIMEOUT)
    for domain in range(domains):
        for number in range(size):
            fleet.add(f"s{domain}-{number:02}", f"d{domain}")
    return fleet


async def start_node(fleet: GroupServers, *, groups: int = 2) -> Node:
    """Return a node whose groups are open and whose spares hold their weights."""
    node = Node(fleet)
    await asyncio.sleep(90.0)
    assert len(fleet.open_groups()) == groups
    node.serving = True
    return node
