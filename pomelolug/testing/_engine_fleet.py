"""In-memory engines of a whole fleet, with faults and a truth ledger."""

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

__all__ = ["FakeEngineFleet", "FakeVm", "LedgerEntry"]

_LATENCY_S = 0.001
_TOKEN_S = 0.01


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LedgerEntry:
    """Membership of a VM from `at` on, in monotonic seconds."""

    at: float
    vm: VmId
    incarnation: int
    group: str
    token: int


@dataclasses.dataclass(kw_only=True, slots=True)
class FakeVm:
    """State of one backend server; tests may change it.

    `identity` is the VM that it reports to be. `order_delay` is the time that
    an order is under way, in seconds.
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
    order_delay: float = 0.0
    step_time_s: float = 0.02
    capacity: int = 8
    running: int = 0
    highest_token: int = -1
    order: AssignOrder | None = None
    held: set[str] = dataclasses.field(default_factory=set)
    queued: list[Callable[[], None]] = dataclasses.field(default_factory=list)
    events: list[CacheEvent] = dataclasses.field(default_factory=list)


class FakeEngineFleet(EngineClient):
    """Engines of a fleet in memory.

    Parameters
    ----------
    clock : Clock
        Source of time.
    store : FakeWeightStore
        Where loads come from; each member loads its share of the model.
    """

    def __init__(self, *, clock: Clock, store: FakeWeightStore) -> None:
        self._clock = clock
        self._store = store
        self._vms: dict[VmId, FakeVm] = {}
        self._by_address: dict[str, FakeVm] = {}
        self._dark: set[DomainId] = set()
        self._ledger: list[LedgerEntry] = []

    @property
    def vms(self) -> dict[VmId, FakeVm]:
        """All VMs by id."""
        return self._vms

    @property
    def ledger(self) -> Sequence[LedgerEntry]:
        """Each change of membership in the order of time."""
        return self._ledger

    def add(
        self,
        vm: str,
        *,
        zone: str = "z1",
        domain: str = "d1",
        fencing: FencingKind = FencingKind.REFUSES,
        held: Sequence[str] = (),
    ) -> FakeVm:
        """Add a live VM and return it."""
        state = FakeVm(
            vm=VmId(vm),
            address=f"{vm}:80",
            zone=ZoneId(zone),
            domain=DomainId(domain),
            identity=VmId(vm),
            fencing=fencing,
            held=set(held),
        )
        self._vms[state.vm] = state
        self._by_address[state.address] = state
        return state

    def entries(self) -> list[VmEntry]:
        """Return the VM list as the platform would, without any lag."""
        return [
            VmEntry(
                vm=v.vm,
                role=VmRole.ENGINE,
                address=v.address,
                zone=v.zone,
                region=RegionId("r1"),
                domain=v.domain,
                leaving=v.leaving,
            )
            for v in self._vms.values()
            if v.listed
        ]

    def kill(self, vm: str) -> None:
        """End a backend server; its membership and its requests are gone."""
        state = self._vms[VmId(vm)]
        state.alive = False
        state.running = 0
        state.queued.clear()
        self._store.cancel_load(vm)
        self._leave(state)

    def restart(self, vm: str, *, held: bool = False) -> None:
        """Start a killed or running server anew under the next incarnation."""
        state = self._vms[VmId(vm)]
        self.kill(vm)
        state.alive, state.paused = True, False
        state.incarnation += 1
        state.highest_token = -1
        if not held:
            state.held.clear()
        self._store.set_stalled(vm, self._is_dark(state))

    def pause(self, vm: str) -> None:
        """Stop a backend server without ending it; orders wait for it."""
        self._vms[VmId(vm)].paused = True
        self._store.set_stalled(vm, True)

    def resume(self, vm: str) -> None:
        """Continue a paused server; it first applies the orders that waited."""
        state = self._vms[VmId(vm)]
        state.paused = False
        self._store.set_stalled(vm, self._is_dark(state))
        queued, state.queued = state.queued, []
        for apply in queued:
            apply()

    def darken(self, domain: str) -> None:
        """Cut a fabric domain off; its servers keep their state."""
        self._dark.add(DomainId(domain))
        for state in self._vms.values():
            if state.domain == domain:
                self._store.set_stalled(state.vm, True)

    def lighten(self, domain: str) -> None:
        """Connect a dark domain again."""
        self._dark.discard(DomainId(domain))
        for state in self._vms.values():
            if state.domain == domain:
                self._store.set_stalled(state.vm, state.paused)

    def has_complete(self, group: str, token: int, members: Sequence[str]) -> bool:
        """Return whether all members answer and are ready at the token now."""
        return all(
            self._answers(state)
            and state.order is not None
            and (state.order.group, state.order.token) == (group, token)
            and self._ready(state)
            for state in (self._vms[VmId(vm)] for vm in members)
        )

    def _is_dark(self, state: FakeVm) -> bool:
        return state.domain in self._dark

    def _answers(self, state: FakeVm) -> bool:
        return state.alive and not state.paused and not self._is_dark(state)

    def _ready(self, state: FakeVm) -> bool:
        if state.order is None or not self._store.is_idle(state.vm):
            return False
        state.held.add(state.order.model)
        return True

    async def _reach(
        self, address: str, timeout: datetime.timedelta, *, maybe_ran: bool = True
    ) -> FakeVm:
        state = self._by_address.get(address)
        if state is None or not state.alive:
            await asyncio.sleep(_LATENCY_S)
            raise EngineUnavailableError(f"{address}: refused", maybe_ran=False)
        await asyncio.sleep(min(_LATENCY_S, timeout.total_seconds()))
        if not self._answers(state):
            await asyncio.sleep(timeout.total_seconds())
            raise EngineUnavailableError(f"{address}: timeout", maybe_ran=maybe_ran)
        return state

    async def fetch_status(
        self, address: str, *, timeout: datetime.timedelta
    ) -> EngineStatus:
        """Return what the backend server at `address` reports."""
        state = await self._reach(address, timeout)
        ready = self._ready(state)
        order = state.order
        return EngineStatus(
            vm=state.identity,
            incarnation=state.incarnation,
            group=order.group if order else "",
            token=order.token if order else -1,
            model=order.model if order else "",
            version=order.version if order else "",
            ready=ready,
            held=tuple(sorted(state.held)),
            running=state.running,
            capacity=state.capacity,
            step_time_s=state.step_time_s,
            leaving=state.leaving,
            fencing=state.fencing,
        )

    async def assign(
        self, address: str, order: AssignOrder, *, timeout: datetime.timedelta
    ) -> None:
        """Order a member to join a group and load its model."""
        await self._order(address, timeout, lambda s: self._assign(s, order))

    async def release(
        self, address: str, order: ReleaseOrder, *, timeout: datetime.timedelta
    ) -> None:
        """Order a member to leave a group."""
        await self._order(address, timeout, lambda s: self._release(s, order))

    async def _order(
        self,
        address: str,
        timeout: datetime.timedelta,
        apply: Callable[[FakeVm], None],
    ) -> None:
        """Apply an order after its delay, or when its paused server resumes."""
        state = self._by_address.get(address)
        if state is None or not state.alive or self._is_dark(state):
            await self._reach(address, timeout)
            return
        incarnation = state.incarnation
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()

        def arrive() -> None:
            if state.paused:
                state.queued.append(arrive)
                return
            if not state.alive or state.incarnation != incarnation:
                return
            try:
                apply(state)
            except EngineRefusedError as error:
                if not done.done():
                    done.set_exception(error)
                return
            if not done.done():
                done.set_result(None)

        delay = _LATENCY_S + state.order_delay
        asyncio.get_running_loop().call_later(delay, arrive)
        try:
            await asyncio.wait_for(done, timeout.total_seconds())
        except TimeoutError as error:
            raise EngineUnavailableError(
                f"{address}: timeout", maybe_ran=True
            ) from error

    def _assign(self, state: FakeVm, order: AssignOrder) -> None:
        if state.fencing is FencingKind.REFUSES and order.token < state.highest_token:
            raise EngineRefusedError("stale_token")
        state.highest_token = max(state.highest_token, order.token)
        if state.order == order:
            return
        self._ready(state)
        loading = state.order is not None and state.order.model == order.model
        state.order = order
        self._note(state, order.group, order.token)
        if order.model in state.held:
            self._store.cancel_load(state.vm)
        elif not loading or self._store.is_idle(state.vm):
            size = self._store.sizes[ModelName(order.model)] / len(order.members)
            self._store.start_load(state.vm, size)

    def _release(self, state: FakeVm, order: ReleaseOrder) -> None:
        if state.fencing is FencingKind.REFUSES and order.token < state.highest_token:
            raise EngineRefusedError("stale_token")
        if state.order is None or state.order.group != order.group:
            raise EngineRefusedError("wrong_group")
        self._ready(state)
        self._store.cancel_load(state.vm)
        self._leave(state)

    def _leave(self, state: FakeVm) -> None:
        if state.order is not None:
            state.order = None
            self._note(state, "", -1)

    def _note(self, state: FakeVm, group: str, token: int) -> None:
        self._ledger.append(
            LedgerEntry(
                at=self._clock.monotonic(),
                vm=state.vm,
                incarnation=state.incarnation,
                group=group,
                token=token,
            )
        )

    async def generate(
        self, address: str, request: GenerationRequest
    ) -> AsyncGenerator[TokenEvent | StreamEnd, None]:
        """Yield ``max_tokens`` numbered tokens and the end marker."""
        timeout = datetime.timedelta(seconds=request.deadline_s)
        state = await self._reach(address, timeout)
        self._check_request(state, request)
        incarnation = state.incarnation
        tokens = int(request.body.get("max_tokens", 4))
        state.running += 1
        try:
            for position in range(request.resume_from, tokens):
                await asyncio.sleep(_TOKEN_S)
                if not self._answers(state) or state.incarnation != incarnation:
                    raise EngineUnavailableError(f"{address}: lost", maybe_ran=True)
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
        if not self._ready(state):
            raise EngineRefusedError("loading")
        peers = [self._by_address.get(address) for address in order.members]
        for peer in peers:
            if peer is None or not self._answers(peer) or peer.order is None:
                raise EngineRefusedError("incomplete")
        if state.running >= state.capacity:
            raise EngineRefusedError("busy")

    async def fetch_cache_events(
        self, address: str, after: int, *, timeout: datetime.timedelta
    ) -> CacheEventPage:
        """Return prefix-cache events with a sequence number above `after`."""
        state = await self._reach(address, timeout)
        events = tuple(e for e in state.events if e.sequence > after)
        oldest = state.events[0].sequence if state.events else 0
        return CacheEventPage(oldest=oldest, events=events)
