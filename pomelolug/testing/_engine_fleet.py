"""In-memory engine fleet with fault injection and a record of group membership."""

import asyncio
import dataclasses
import datetime
from collections.abc import AsyncGenerator, Callable, Sequence

from pomelolug.clock import Clock
from pomelolug.engines import (
    AssignOrder,
    CacheEvent,
    CacheEventPage,
    EngineClient,
    EngineRefusedError,
    EngineStatus,
    EngineUnavailableError,
    FencingKind,
    GenerationRequest,
    ReleaseOrder,
    StreamEnd,
    TokenEvent,
)
from pomelolug.ids import DomainId, ModelName, RegionId, VmId, ZoneId
from pomelolug.infrastructure import VmEntry, VmRole
from pomelolug.testing._fake_weight_store import FakeWeightStore

__all__ = ["FakeEngineFleet", "FakeVm", "MembershipChange"]

_NETWORK_LATENCY_S = 0.001
_TOKEN_INTERVAL_S = 0.01


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MembershipChange:
    """Group that a VM belongs to from `at_s` on, in monotonic seconds.

    `group` is empty and `token` is -1 if the VM left its group.
    """

    at_s: float
    vm: VmId
    incarnation: int
    group: str
    token: int


@dataclasses.dataclass(kw_only=True, slots=True)
class FakeVm:
    """State of one backend server; tests may modify it.

    `identity` is the VM ID that the server reports. `order` is the assignment in
    effect and `highest_token` the highest assigned fencing token. `order_delay_s` is
    added to the network latency of each order, and `deferred_orders` arrived while
    the server was paused. `held_models` are the models whose weights are loaded.
    `listed` tells whether the platform's VM list contains the VM.
    """

    vm: VmId
    address: str
    zone: ZoneId
    domain: DomainId
    identity: VmId
    fencing: FencingKind = FencingKind.REFUSES
    incarnation: int = 1
    alive: bool = True
    paused: bool = False
    leaving: bool = False
    listed: bool = True
    order_delay_s: float = 0.0
    step_time_s: float = 0.02
    capacity: int = 8
    running: int = 0
    highest_token: int = -1
    order: AssignOrder | None = None
    held_models: set[str] = dataclasses.field(default_factory=set)
    deferred_orders: list[Callable[[], None]] = dataclasses.field(default_factory=list)
    cache_events: list[CacheEvent] = dataclasses.field(default_factory=list)


class FakeEngineFleet(EngineClient):
    """Engine client that simulates a fleet of backend servers in memory.

    Parameters
    ----------
    clock : Clock
        Source of time.
    store : FakeWeightStore
        Source of the weights; each group member loads an equal share of the model.
    """

    def __init__(self, *, clock: Clock, store: FakeWeightStore) -> None:
        self._clock = clock
        self._store = store
        self._vms: dict[VmId, FakeVm] = {}
        self._by_address: dict[str, FakeVm] = {}
        self._disconnected_domains: set[DomainId] = set()
        self._membership_changes: list[MembershipChange] = []

    @property
    def vms(self) -> dict[VmId, FakeVm]:
        """All VMs by id."""
        return self._vms

    @property
    def membership_changes(self) -> Sequence[MembershipChange]:
        """Changes of group membership, oldest first."""
        return self._membership_changes

    def add(
        self,
        vm: str,
        *,
        zone: str = "z1",
        domain: str = "d1",
        fencing: FencingKind = FencingKind.REFUSES,
        held_models: Sequence[str] = (),
    ) -> FakeVm:
        """Add a live VM and return it."""
        state = FakeVm(
            vm=VmId(vm),
            address=f"{vm}:80",
            zone=ZoneId(zone),
            domain=DomainId(domain),
            identity=VmId(vm),
            fencing=fencing,
            held_models=set(held_models),
        )
        self._vms[state.vm] = state
        self._by_address[state.address] = state
        return state

    def entries(self) -> list[VmEntry]:
        """Return the VM list of the platform, without propagation delay."""
        return [
            VmEntry(
                vm=state.vm,
                role=VmRole.ENGINE,
                address=state.address,
                zone=state.zone,
                region=RegionId("r1"),
                domain=state.domain,
                leaving=state.leaving,
            )
            for state in self._vms.values()
            if state.listed
        ]

    def kill(self, vm: str) -> None:
        """Kill a backend server; it loses its group membership and its requests."""
        state = self._vms[VmId(vm)]
        state.alive = False
        state.running = 0
        state.deferred_orders.clear()
        self._store.cancel_load(vm)
        self._clear_assignment(state)

    def restart(self, vm: str, *, keep_weights: bool = False) -> None:
        """Restart a killed or running server under the next incarnation."""
        state = self._vms[VmId(vm)]
        self.kill(vm)
        state.alive, state.paused = True, False
        state.incarnation += 1
        state.highest_token = -1
        if not keep_weights:
            state.held_models.clear()
        self._store.set_stalled(vm, self._is_disconnected(state))

    def pause(self, vm: str) -> None:
        """Pause a backend server; orders are deferred until it resumes."""
        self._vms[VmId(vm)].paused = True
        self._store.set_stalled(vm, True)

    def resume(self, vm: str) -> None:
        """Resume a paused server; it first applies the deferred orders."""
        state = self._vms[VmId(vm)]
        state.paused = False
        self._store.set_stalled(vm, self._is_disconnected(state))
        deferred, state.deferred_orders = state.deferred_orders, []
        for deliver in deferred:
            deliver()

    def disconnect_domain(self, domain: str) -> None:
        """Make a fabric domain unreachable; its servers keep their state."""
        self._disconnected_domains.add(DomainId(domain))
        for state in self._vms.values():
            if state.domain == domain:
                self._store.set_stalled(state.vm, True)

    def reconnect_domain(self, domain: str) -> None:
        """Make a disconnected fabric domain reachable again."""
        self._disconnected_domains.discard(DomainId(domain))
        for state in self._vms.values():
            if state.domain == domain:
                self._store.set_stalled(state.vm, state.paused)

    def is_group_complete(self, group: str, token: int, members: Sequence[str]) -> bool:
        """Return whether all members are reachable and ready at `token` now."""
        return all(
            self._is_reachable(state)
            and state.order is not None
            and (state.order.group, state.order.token) == (group, token)
            and self._update_readiness(state)
            for state in (self._vms[VmId(vm)] for vm in members)
        )

    def _is_disconnected(self, state: FakeVm) -> bool:
        return state.domain in self._disconnected_domains

    def _is_reachable(self, state: FakeVm) -> bool:
        return state.alive and not state.paused and not self._is_disconnected(state)

    def _update_readiness(self, state: FakeVm) -> bool:
        """Add a loaded model to `held_models`; return whether the VM is ready."""
        if state.order is None or not self._store.is_idle(state.vm):
            return False
        state.held_models.add(state.order.model)
        return True

    async def _connect(
        self, address: str, timeout: datetime.timedelta, *, maybe_ran: bool = True
    ) -> FakeVm:
        """Simulate a round trip to `address` and return the VM there."""
        state = self._by_address.get(address)
        if state is None or not state.alive:
            await asyncio.sleep(_NETWORK_LATENCY_S)
            raise EngineUnavailableError(
                f"{address}: connection refused", maybe_ran=False
            )
        await asyncio.sleep(min(_NETWORK_LATENCY_S, timeout.total_seconds()))
        if not self._is_reachable(state):
            await asyncio.sleep(timeout.total_seconds())
            raise EngineUnavailableError(f"{address}: timeout", maybe_ran=maybe_ran)
        return state

    async def fetch_status(
        self, address: str, *, timeout: datetime.timedelta
    ) -> EngineStatus:
        """Return the status that the backend server at `address` reports."""
        state = await self._connect(address, timeout)
        ready = self._update_readiness(state)
        order = state.order
        return EngineStatus(
            vm=state.identity,
            incarnation=state.incarnation,
            group=order.group if order else "",
            token=order.token if order else -1,
            model=order.model if order else "",
            version=order.version if order else "",
            ready=ready,
            held=tuple(sorted(state.held_models)),
            running=state.running,
            capacity=state.capacity,
            step_time_s=state.step_time_s,
            leaving=state.leaving,
            fencing=state.fencing,
        )

    async def assign(
        self, address: str, order: AssignOrder, *, timeout: datetime.timedelta
    ) -> None:
        """Order a VM to join a group and load the model of the group."""
        await self._deliver_order(
            address, timeout, lambda state: self._apply_assignment(state, order)
        )

    async def release(
        self, address: str, order: ReleaseOrder, *, timeout: datetime.timedelta
    ) -> None:
        """Order a VM to leave a group."""
        await self._deliver_order(
            address, timeout, lambda state: self._apply_release(state, order)
        )

    async def _deliver_order(
        self,
        address: str,
        timeout: datetime.timedelta,
        apply: Callable[[FakeVm], None],
    ) -> None:
        """Apply an order after its delay, or when the paused server resumes."""
        state = self._by_address.get(address)
        if state is None or not state.alive or self._is_disconnected(state):
            await self._connect(address, timeout)
            return
        incarnation = state.incarnation
        reply: asyncio.Future[None] = asyncio.get_running_loop().create_future()

        def deliver() -> None:
            if state.paused:
                state.deferred_orders.append(deliver)
                return
            if not state.alive or state.incarnation != incarnation:
                return
            try:
                apply(state)
            except EngineRefusedError as error:
                if not reply.done():
                    reply.set_exception(error)
                return
            if not reply.done():
                reply.set_result(None)

        delay = _NETWORK_LATENCY_S + state.order_delay_s
        asyncio.get_running_loop().call_later(delay, deliver)
        try:
            await asyncio.wait_for(reply, timeout.total_seconds())
        except TimeoutError as error:
            raise EngineUnavailableError(
                f"{address}: timeout", maybe_ran=True
            ) from error

    def _apply_assignment(self, state: FakeVm, order: AssignOrder) -> None:
        if state.fencing is FencingKind.REFUSES and order.token < state.highest_token:
            raise EngineRefusedError("stale_token")
        state.highest_token = max(state.highest_token, order.token)
        if state.order == order:
            return
        self._update_readiness(state)
        has_same_model = state.order is not None and state.order.model == order.model
        state.order = order
        self._record_membership(state, order.group, order.token)
        if order.model in state.held_models:
            self._store.cancel_load(state.vm)
        elif not has_same_model or self._store.is_idle(state.vm):
            size = self._store.sizes[ModelName(order.model)] / len(order.members)
            self._store.start_load(state.vm, size)

    def _apply_release(self, state: FakeVm, order: ReleaseOrder) -> None:
        if state.fencing is FencingKind.REFUSES and order.token < state.highest_token:
            raise EngineRefusedError("stale_token")
        if state.order is None or state.order.group != order.group:
            raise EngineRefusedError("wrong_group")
        self._update_readiness(state)
        self._store.cancel_load(state.vm)
        self._clear_assignment(state)

    def _clear_assignment(self, state: FakeVm) -> None:
        if state.order is not None:
            state.order = None
            self._record_membership(state, "", -1)

    def _record_membership(self, state: FakeVm, group: str, token: int) -> None:
        self._membership_changes.append(
            MembershipChange(
                at_s=self._clock.monotonic(),
                vm=state.vm,
                incarnation=state.incarnation,
                group=group,
                token=token,
            )
        )

    async def generate(
        self, address: str, request: GenerationRequest
    ) -> AsyncGenerator[TokenEvent | StreamEnd, None]:
        """Yield numbered tokens up to ``max_tokens``, then the end of the stream."""
        timeout = datetime.timedelta(seconds=request.deadline_s)
        state = await self._connect(address, timeout)
        self._check_request(state, request)
        incarnation = state.incarnation
        tokens = int(request.body.get("max_tokens", 4))
        state.running += 1
        try:
            for position in range(request.resume_from, tokens):
                await asyncio.sleep(_TOKEN_INTERVAL_S)
                if not self._is_reachable(state) or state.incarnation != incarnation:
                    raise EngineUnavailableError(
                        f"{address}: connection lost", maybe_ran=True
                    )
                yield TokenEvent(request.request_id, position, f"t{position} ")
            yield StreamEnd(request.request_id, tokens, "stop")
        finally:
            if state.incarnation == incarnation and state.running:
                state.running -= 1

    def _check_request(self, state: FakeVm, request: GenerationRequest) -> None:
        order = state.order
        if order is None:
            raise EngineRefusedError("wrong_group")
        if state.fencing is FencingKind.REFUSES:
            if order.group != request.group:
                raise EngineRefusedError("wrong_group")
            if order.token != request.token:
                raise EngineRefusedError("stale_token")
        if not self._update_readiness(state):
            raise EngineRefusedError("loading")
        members = [self._by_address.get(address) for address in order.members]
        for member in members:
            if member is None or not self._is_reachable(member) or member.order is None:
                raise EngineRefusedError("incomplete")
        if state.running >= state.capacity:
            raise EngineRefusedError("busy")

    async def fetch_cache_events(
        self, address: str, after: int, *, timeout: datetime.timedelta
    ) -> CacheEventPage:
        """Return prefix-cache events with a sequence number above `after`."""
        state = await self._connect(address, timeout)
        events = tuple(event for event in state.cache_events if event.sequence > after)
        oldest = state.cache_events[0].sequence if state.cache_events else 0
        return CacheEventPage(oldest=oldest, events=events)
