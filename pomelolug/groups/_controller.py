"""Controller of the groups of some fabric domains."""

import asyncio
import datetime
import math
import random
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping, Sequence

import structlog

from pomelolug.clock import Clock
from pomelolug.configuration import Objective, Pool
from pomelolug.engines import EngineClient
from pomelolug.errors import PomelolugError
from pomelolug.groups._establish import Establisher
from pomelolug.groups._fold import GroupsFold
from pomelolug.groups._group import Group, GroupLimits, GroupPhase
from pomelolug.groups._inventory import Inventory
from pomelolug.groups._loads import LoadQueue
from pomelolug.groups._orders import OrderSender
from pomelolug.groups._policy import (
    DissolveProposal,
    FormationPolicy,
    FormationSnapshot,
    Proposal,
    RepairInPlace,
)
from pomelolug.groups._records import formation_record
from pomelolug.groups._rollout import draining_groups
from pomelolug.groups._stragglers import StragglerDetector
from pomelolug.ids import DomainId, FencingToken, GroupId, Offset, VmId
from pomelolug.infrastructure import VmEntry, WeightStore
from pomelolug.messages import (
    Dissolution,
    GroupStatus,
    Message,
)
from pomelolug.state import RecordKind

__all__ = ["DEFAULT_POLICIES", "Append", "GroupController"]

_log = structlog.get_logger()

Append = Callable[[RecordKind, Message], Awaitable[Offset]]

# Measured in docs/decisions/formation-policy.md.
DEFAULT_POLICIES: Mapping[Objective, FormationPolicy] = {
    Objective.GROUP_DOWNTIME: RepairInPlace(),
    Objective.STRANDED_ACCELERATORS: RepairInPlace(),
}

_FOLD_POLL = datetime.timedelta(seconds=0.02)
_FOLD_TIMEOUT_S = 5.0
# Appends of one step; the rest follows in the next one.
_MAX_APPENDS = 16


class GroupController:
    """Forms, repairs and ends the groups of the domains that `is_mine` names.

    Several controllers may run for the same domain; the fold decides between
    their records and the members' tokens between their orders.

    Parameters
    ----------
    fold : GroupsFold
        Ownership, advanced by the reader of the groups stream.
    append : callable
        Appends a record to the groups stream and returns its offset.
    engine : EngineClient
        Access to the backend servers.
    weights : WeightStore
        Model sizes and the rate.
    directory : callable
        Returns the newest VM list.
    pools : callable
        Returns the declared pools.
    is_mine : callable
        Returns whether this node controls a fabric domain.
    objective : callable
        Returns the declared objective.
    statuses : callable
        Returns the observed status of all groups by id.
    log_proof : callable
        Returns the monotonic time before the newest log read that reached the
        end of the groups stream was sent; minus infinity if there was none.
    clock : Clock
        Source of time.
    random_state : random.Random
        Spreads the steps of the controllers.
    limits : GroupLimits, optional
        Durations and counts.
    policies : mapping, optional
        Policy for each objective.
    counted : callable, optional
        Takes the reason of a refusal or finding, to count it.
    violated : callable, optional
        Takes the name of a violated invariant, to count and log it.
    """

    def __init__(
        self,
        *,
        fold: GroupsFold,
        append: Append,
        engine: EngineClient,
        weights: WeightStore,
        directory: Callable[[], Sequence[VmEntry]],
        pools: Callable[[], Sequence[Pool]],
        is_mine: Callable[[DomainId], bool],
        objective: Callable[[], Objective],
        statuses: Callable[[], Mapping[GroupId, GroupStatus]],
        log_proof: Callable[[], float],
        clock: Clock,
        random_state: random.Random,
        limits: GroupLimits | None = None,
        policies: Mapping[Objective, FormationPolicy] = DEFAULT_POLICIES,
        counted: Callable[[str], None] = lambda reason: None,
        violated: Callable[[str], None] = lambda name: None,
    ) -> None:
        self._fold = fold
        self._append = append
        self._directory = directory
        self._pools = pools
        self._is_mine = is_mine
        self._objective = objective
        self._statuses = statuses
        self._clock = clock
        self._random_state = random_state
        self._limits = limits = limits or GroupLimits()
        self._policies = policies
        self._counted = counted
        self._violated = violated
        self._detector = StragglerDetector()
        self._draining: frozenset[GroupId] = frozenset()
        self._draining_since: dict[FencingToken, float] = {}
        self._loads = LoadQueue(weights=weights, clock=clock, slots=limits.load_slots)
        self._inventory = Inventory(
            engine=engine, clock=clock, timeout=limits.verify_timeout, counted=counted
        )
        self._orders = OrderSender(
            fold=fold,
            engine=engine,
            clock=clock,
            limits=limits,
            log_proof=log_proof,
            counted=counted,
        )
        self._establisher = Establisher(
            fold=fold,
            inventory=self._inventory,
            orders=self._orders,
            clock=clock,
            limits=limits,
            violated=violated,
        )

    @property
    def draining(self) -> frozenset[GroupId]:
        """Groups of the whole fleet that are to get no new work.

        Every node computes the same set from the same lists and statuses, so a
        watcher asks the controller of its own node.
        """
        return self._draining

    @property
    def stragglers(self) -> frozenset[GroupId]:
        """Groups of the whole fleet that are slower than their peers."""
        return self._detector.stragglers

    async def run(self) -> None:
        """Step until cancelled."""
        while True:
            try:
                await self.step()
            except PomelolugError as error:
                self._counted(f"step_failed_{error.code.value}")
                _log.warning("group_step_failed", code=error.code.value)
            jitter = self._random_state.uniform(0.9, 1.1)
            await self._clock.sleep(self._limits.step_every * jitter)

    async def step(self) -> None:
        """Do once everything that can be done now."""
        owned = frozenset(vm for g in self._fold.groups.values() for vm in g.vms)
        self._inventory.update(self._directory(), owned)
        self._update_draining()
        self._detector.update(self._statuses().values())
        await self._inventory.read(self._vms_to_read())
        await self._loads.refresh()
        if not self._is_exclusive():
            return
        self._establisher.observe([*self._my_groups(), *self._rivals()])
        if self._orders.has_lease:
            await self._propose()
        await self._establish()
        await self._release_strays()

    def _is_exclusive(self) -> bool:
        """Return whether no VM is in two live groups; asserts the invariant."""
        vms = [vm for group in self._fold.groups.values() for vm in group.vms]
        if len(vms) == len(set(vms)):
            return True
        self._violated("vm_in_two_groups")
        return False

    def _my_groups(self) -> list[Group]:
        return [g for g in self._fold.groups.values() if self._is_mine(g.domain)]

    def _my_vms(self) -> list[VmId]:
        entries = self._inventory.entries.values()
        return sorted(e.vm for e in entries if self._is_mine(e.domain))

    def _phase(self, group: Group) -> str:
        status = self._statuses().get(group.id)
        if status is None or status.token != group.token:
            return GroupPhase.FORMING.value
        return status.phase

    def _rivals(self) -> list[Group]:
        """Return groups of other controllers that may want to load."""
        return [
            group
            for group in self._fold.groups.values()
            if not self._is_mine(group.domain)
            and self._phase(group) == GroupPhase.FORMING.value
        ]

    def _vms_to_read(self) -> list[VmId]:
        """Return VMs that no watcher reports as verified members."""
        serving = {
            vm
            for group in self._my_groups()
            if self._phase(group) == GroupPhase.SERVING.value
            for vm in group.vms
        }
        vms = [vm for vm in self._my_vms() if vm not in serving]
        phases = {self._phase(group) for group in self._my_groups()}
        if GroupPhase.FORMING.value in phases:
            # The queue of the weight store is that of the whole fleet.
            vms += [vm for group in self._rivals() for vm in group.vms]
        return vms

    def _update_draining(self) -> None:
        leaving = {
            vm for vm in self._inventory.entries if self._inventory.is_leaving(vm)
        }
        self._draining = draining_groups(
            self._fold.groups.values(),
            pools=self._pools(),
            leaving=leaving,
            drained=self._fold.drained,
            statuses=self._statuses(),
            free=self._free_counts(),
        )
        now = self._clock.monotonic()
        self._draining_since = {
            group.token: self._draining_since.get(group.token, now)
            for group in self._my_groups()
            if self._phase(group) == GroupPhase.DRAINING.value
        }

    def _free_counts(self) -> Counter[DomainId]:
        fold = self._fold
        return Counter(
            entry.domain
            for vm, entry in self._inventory.entries.items()
            if fold.owner(vm) is None and vm not in fold.drained and not entry.leaving
        )

    def _is_broken(self, group: Group) -> bool:
        """Return whether the group cannot serve again without a new formation."""
        if self._phase(group) == GroupPhase.SERVING.value:
            return False
        return any(self._is_lost(m.vm, m.incarnation) for m in group.members)

    def _is_lost(self, vm: VmId, incarnation: int) -> bool:
        """Return whether a member is dead, restarted or has another identity."""
        if vm not in self._inventory.entries or self._inventory.is_impostor(vm):
            return True
        status = self._inventory.status(vm)
        if status is not None:
            return status.incarnation != incarnation
        dead_after = self._limits.dead_after.total_seconds()
        return self._inventory.silence(vm) >= dead_after

    def _is_idle(self, group: Group) -> bool:
        """Return whether a draining group can end without cutting a request.

        Gateways may still dispatch until their leases from before the drain
        have run out, so that an idle engine proves nothing earlier.
        """
        since = self._draining_since.get(group.token, math.inf)
        waited = self._clock.monotonic() - since
        if group.id not in self._draining:
            return False
        if waited < self._limits.successor_wait.total_seconds():
            return False
        states = [self._inventory.status(vm) for vm in group.vms]
        return all(s is not None and s.running + s.waiting == 0 for s in states)

    async def _propose(self) -> None:
        groups = self._my_groups()
        retired = frozenset(g.id for g in groups if self._is_idle(g))
        broken = frozenset(g.id for g in groups if self._is_broken(g))
        snapshot = FormationSnapshot(
            vms=[
                self._inventory.view(vm, drained=vm in self._fold.drained)
                for vm in self._my_vms()
            ],
            groups=groups,
            broken=broken | retired,
            retired=retired,
            pools=self._pools(),
        )
        base = self._fold.offset
        policy = self._policies[self._objective()]
        last = Offset(-1)
        for proposal in policy.propose(snapshot)[:_MAX_APPENDS]:
            last = await self._append_proposal(proposal, base)
        if last >= 0:
            await self._wait_for_fold(last)
            self._establisher.observe([*self._my_groups(), *self._rivals()])

    async def _append_proposal(self, proposal: Proposal, base: Offset) -> Offset:
        if isinstance(proposal, DissolveProposal):
            group = proposal.group
            return await self._append(
                RecordKind.DISSOLUTION,
                Dissolution(group=group.id, token=group.token, reason=proposal.reason),
            )
        return await self._append(
            RecordKind.FORMATION, formation_record(proposal, base)
        )

    async def _wait_for_fold(self, offset: Offset) -> None:
        """Wait until the fold has decided; without that no order is sent."""
        deadline = self._clock.monotonic() + _FOLD_TIMEOUT_S
        while self._fold.offset < offset:
            if self._clock.monotonic() >= deadline:
                self._counted("fold_behind")
                return
            await self._clock.sleep(_FOLD_POLL)

    async def _establish(self) -> None:
        groups = [g for g in self._my_groups() if self._needs_orders(g)]
        rivals = [g for g in self._rivals() if self._needs_orders(g)]
        accelerators = {pool.name: pool.accelerators for pool in self._pools()}
        waiting = [g for g in groups if self._establisher.waits(g)]
        granted = self._loads.granted(
            [g for g in groups if g not in waiting],
            inventory=self._inventory,
            accelerators={
                g.id: accelerators.get(g.pool, 1) * len(g.members)
                for g in [*groups, *rivals]
            },
            statuses=self._statuses(),
            rivals=[g for g in rivals if not self._establisher.waits(g)],
        )
        ready = [g for g in groups if g.id in granted]
        await asyncio.gather(*(self._establisher.advance(g) for g in ready + waiting))

    def _needs_orders(self, group: Group) -> bool:
        """Return whether a group is to be brought to its token, or is loading."""
        if self._phase(group) in (GroupPhase.SERVING.value, GroupPhase.DRAINING.value):
            return False
        states = [self._inventory.status(vm) for vm in group.vms]
        return all(
            s is not None and s.incarnation == m.incarnation
            for s, m in zip(states, group.members, strict=True)
        )

    async def _release_strays(self) -> None:
        """Release free VMs that still report a group that has ended."""
        orders = []
        for vm in self._my_vms():
            status = self._inventory.status(vm)
            if status is not None and status.group and self._fold.owner(vm) is None:
                orders.append(
                    self._orders.release_free(status, self._inventory.entries)
                )
        await asyncio.gather(*orders)
