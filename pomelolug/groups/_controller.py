"""Controller that forms, repairs and ends the groups of fabric domains."""

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
from pomelolug.groups._activation import GroupActivator
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

__all__ = ["DEFAULT_POLICIES", "GroupController", "RecordAppender"]

_log = structlog.get_logger()

RecordAppender = Callable[[RecordKind, Message], Awaitable[Offset]]

# The measurements behind this choice are in docs/decisions/formation-policy.md.
DEFAULT_POLICIES: Mapping[Objective, FormationPolicy] = {
    Objective.GROUP_DOWNTIME: RepairInPlace(),
    Objective.STRANDED_ACCELERATORS: RepairInPlace(),
}

_FOLD_POLL_INTERVAL = datetime.timedelta(seconds=0.02)
_FOLD_TIMEOUT_S = 5.0
# Limit of the records appended in one step; later steps append the rest.
_MAX_APPENDS_PER_STEP = 16


class GroupController:
    """Forms, repairs and ends the groups of the domains that `is_own_domain` accepts.

    Several controllers may run for the same domain. The fold accepts only one of
    several conflicting records, and members reject orders by their fencing tokens.

    Parameters
    ----------
    fold : GroupsFold
        Ownership of VMs. The reader of the groups stream applies new records.
    append : callable
        Appends a record to the groups stream and returns its offset.
    engine : EngineClient
        Access to the backend servers.
    weights : WeightStore
        Source of the model sizes and the transfer rate.
    vm_entries : callable
        Returns the newest VM list of the platform.
    pools : callable
        Returns the declared pools.
    is_own_domain : callable
        Returns whether this node controls a fabric domain.
    objective : callable
        Returns the declared objective, which selects the policy.
    statuses : callable
        Returns the observed status of all groups by id.
    last_full_read_s : callable
        Returns the monotonic time, in seconds, at which the newest read of the
        groups stream that reached its end was sent; minus infinity if there was
        none.
    clock : Clock
        Source of time.
    random_state : random.Random
        Source of the jitter between steps.
    limits : GroupLimits, optional
        Time limits and counts.
    policies : mapping, optional
        Formation policy for each objective.
    on_finding : callable, optional
        Called with the reason of a refusal or finding, to count it.
    on_violation : callable, optional
        Called with the name of a violated invariant, to count and log it.
    """

    def __init__(
        self,
        *,
        fold: GroupsFold,
        append: RecordAppender,
        engine: EngineClient,
        weights: WeightStore,
        vm_entries: Callable[[], Sequence[VmEntry]],
        pools: Callable[[], Sequence[Pool]],
        is_own_domain: Callable[[DomainId], bool],
        objective: Callable[[], Objective],
        statuses: Callable[[], Mapping[GroupId, GroupStatus]],
        last_full_read_s: Callable[[], float],
        clock: Clock,
        random_state: random.Random,
        limits: GroupLimits | None = None,
        policies: Mapping[Objective, FormationPolicy] = DEFAULT_POLICIES,
        on_finding: Callable[[str], None] = lambda reason: None,
        on_violation: Callable[[str], None] = lambda name: None,
    ) -> None:
        self._fold = fold
        self._append = append
        self._vm_entries = vm_entries
        self._pools = pools
        self._is_own_domain = is_own_domain
        self._objective = objective
        self._statuses = statuses
        self._clock = clock
        self._random_state = random_state
        self._limits = limits = limits or GroupLimits()
        self._policies = policies
        self._on_finding = on_finding
        self._on_violation = on_violation
        self._straggler_detector = StragglerDetector()
        self._draining: frozenset[GroupId] = frozenset()
        self._draining_since_s: dict[FencingToken, float] = {}
        self._load_queue = LoadQueue(
            weights=weights, clock=clock, slots=limits.load_slots
        )
        self._inventory = Inventory(
            engine=engine,
            clock=clock,
            timeout=limits.verify_timeout,
            on_finding=on_finding,
        )
        self._orders = OrderSender(
            fold=fold,
            engine=engine,
            clock=clock,
            limits=limits,
            last_full_read_s=last_full_read_s,
            on_finding=on_finding,
        )
        self._activator = GroupActivator(
            fold=fold,
            inventory=self._inventory,
            orders=self._orders,
            clock=clock,
            limits=limits,
            on_violation=on_violation,
        )

    @property
    def draining(self) -> frozenset[GroupId]:
        """Groups of the whole fleet that must get no new work.

        Every node computes the same set from the same VM list and statuses, so
        that a watcher can use the controller of its own node.
        """
        return self._draining

    @property
    def stragglers(self) -> frozenset[GroupId]:
        """Groups of the whole fleet that are slower than their peers."""
        return self._straggler_detector.stragglers

    async def run(self) -> None:
        """Run control steps until cancelled."""
        while True:
            try:
                await self.step()
            except PomelolugError as error:
                self._on_finding(f"step_failed_{error.code.value}")
                _log.warning("group_step_failed", code=error.code.value)
            jitter = self._random_state.uniform(0.9, 1.1)
            await self._clock.sleep(self._limits.step_every * jitter)

    async def step(self) -> None:
        """Run one control step.

        Probes the VMs, appends the records that the policy proposes and sends the
        orders that are due.
        """
        member_vms = frozenset(vm for g in self._fold.groups.values() for vm in g.vms)
        self._inventory.update(self._vm_entries(), member_vms)
        self._update_draining()
        self._straggler_detector.update(self._statuses().values())
        await self._inventory.probe(self._vms_to_probe())
        await self._load_queue.refresh()
        if not self._is_ownership_exclusive():
            return
        self._activator.observe([*self._own_groups(), *self._other_forming_groups()])
        if self._orders.has_lease:
            await self._append_proposals()
        await self._send_group_orders()
        await self._release_stale_members()

    def _is_ownership_exclusive(self) -> bool:
        """Return whether no VM is in two live groups; report a violation otherwise."""
        vms = [vm for group in self._fold.groups.values() for vm in group.vms]
        if len(vms) == len(set(vms)):
            return True
        self._on_violation("vm_in_two_groups")
        return False

    def _own_groups(self) -> list[Group]:
        return [g for g in self._fold.groups.values() if self._is_own_domain(g.domain)]

    def _own_vms(self) -> list[VmId]:
        entries = self._inventory.entries.values()
        return sorted(e.vm for e in entries if self._is_own_domain(e.domain))

    def _phase(self, group: Group) -> str:
        status = self._statuses().get(group.id)
        if status is None or status.token != group.token:
            return GroupPhase.FORMING.value
        return status.phase

    def _other_forming_groups(self) -> list[Group]:
        """Return the forming groups outside the own fabric domains.

        They compete for load slots only once they need orders and their successor
        wait is over.
        """
        return [
            group
            for group in self._fold.groups.values()
            if not self._is_own_domain(group.domain)
            and self._phase(group) == GroupPhase.FORMING.value
        ]

    def _vms_to_probe(self) -> list[VmId]:
        """Return the VMs whose status the controller needs.

        Members of serving groups are left out because watchers verify them.
        """
        serving = {
            vm
            for group in self._own_groups()
            if self._phase(group) == GroupPhase.SERVING.value
            for vm in group.vms
        }
        vms = [vm for vm in self._own_vms() if vm not in serving]
        phases = {self._phase(group) for group in self._own_groups()}
        if GroupPhase.FORMING.value in phases:
            # All groups of the fleet share the queue of the weight store.
            vms += [vm for group in self._other_forming_groups() for vm in group.vms]
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
            free_vms=self._count_free_vms(),
        )
        now_s = self._clock.monotonic()
        self._draining_since_s = {
            group.token: self._draining_since_s.get(group.token, now_s)
            for group in self._own_groups()
            if self._phase(group) == GroupPhase.DRAINING.value
        }

    def _count_free_vms(self) -> Counter[DomainId]:
        fold = self._fold
        return Counter(
            entry.domain
            for vm, entry in self._inventory.entries.items()
            if fold.owner(vm) is None and vm not in fold.drained and not entry.leaving
        )

    def _is_broken(self, group: Group) -> bool:
        """Return whether the group does not serve and has lost a member.

        `FormationSnapshot.broken` also contains idle groups that were drained for a
        planned change.
        """
        if self._phase(group) == GroupPhase.SERVING.value:
            return False
        return any(self._is_member_lost(m.vm, m.incarnation) for m in group.members)

    def _is_member_lost(self, vm: VmId, incarnation: int) -> bool:
        """Return whether a member is dead, has restarted or has another identity."""
        if vm not in self._inventory.entries or self._inventory.has_identity_mismatch(
            vm
        ):
            return True
        status = self._inventory.status(vm)
        if status is not None:
            return status.incarnation != incarnation
        dead_after_s = self._limits.dead_after.total_seconds()
        return self._inventory.unresponsive_s(vm) >= dead_after_s

    def _is_idle(self, group: Group) -> bool:
        """Return whether a draining group can end without interrupting a request.

        Gateways may dispatch to it until their leases from before the drain have
        expired. Only after that does the absence of requests mean that it is idle.
        """
        since_s = self._draining_since_s.get(group.token, math.inf)
        waited_s = self._clock.monotonic() - since_s
        if group.id not in self._draining:
            return False
        if waited_s < self._limits.successor_wait.total_seconds():
            return False
        member_statuses = [self._inventory.status(vm) for vm in group.vms]
        return all(
            s is not None and s.running + s.waiting == 0 for s in member_statuses
        )

    async def _append_proposals(self) -> None:
        groups = self._own_groups()
        retired = frozenset(g.id for g in groups if self._is_idle(g))
        broken = frozenset(g.id for g in groups if self._is_broken(g))
        snapshot = FormationSnapshot(
            vms=[
                self._inventory.view(vm, drained=vm in self._fold.drained)
                for vm in self._own_vms()
            ],
            groups=groups,
            broken=broken | retired,
            retired=retired,
            pools=self._pools(),
        )
        base = self._fold.offset
        policy = self._policies[self._objective()]
        last_offset = Offset(-1)
        for proposal in policy.propose(snapshot)[:_MAX_APPENDS_PER_STEP]:
            last_offset = await self._append_proposal(proposal, base)
        if last_offset >= 0:
            await self._wait_for_fold(last_offset)
            self._activator.observe(
                [*self._own_groups(), *self._other_forming_groups()]
            )

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
        """Wait until the fold includes `offset`, or until the timeout.

        No order is sent for a formation that the fold does not include.
        """
        deadline_s = self._clock.monotonic() + _FOLD_TIMEOUT_S
        while self._fold.offset < offset:
            if self._clock.monotonic() >= deadline_s:
                self._on_finding("fold_behind")
                return
            await self._clock.sleep(_FOLD_POLL_INTERVAL)

    async def _send_group_orders(self) -> None:
        groups = [g for g in self._own_groups() if self._needs_orders(g)]
        competing = [g for g in self._other_forming_groups() if self._needs_orders(g)]
        accelerators = {pool.name: pool.accelerators for pool in self._pools()}
        in_successor_wait = [g for g in groups if self._activator.is_waiting(g)]
        granted = self._load_queue.grant_loads(
            [g for g in groups if g not in in_successor_wait],
            inventory=self._inventory,
            accelerators={
                g.id: accelerators.get(g.pool, 1) * len(g.members)
                for g in [*groups, *competing]
            },
            statuses=self._statuses(),
            competing=[g for g in competing if not self._activator.is_waiting(g)],
        )
        ready = [g for g in groups if g.id in granted]
        await asyncio.gather(
            *(self._activator.send_orders(g) for g in ready + in_successor_wait)
        )

    def _needs_orders(self, group: Group) -> bool:
        """Return whether the group does not serve but all its members are present."""
        if self._phase(group) in (GroupPhase.SERVING.value, GroupPhase.DRAINING.value):
            return False
        member_statuses = [self._inventory.status(vm) for vm in group.vms]
        return all(
            s is not None and s.incarnation == m.incarnation
            for s, m in zip(member_statuses, group.members, strict=True)
        )

    async def _release_stale_members(self) -> None:
        """Release VMs that no live group owns but that still report a group."""
        orders = []
        for vm in self._own_vms():
            status = self._inventory.status(vm)
            if status is not None and status.group and self._fold.owner(vm) is None:
                orders.append(
                    self._orders.release_unowned(status, self._inventory.entries)
                )
        await asyncio.gather(*orders)
