"""Run of a simulated fleet under a fault script, measured on its true state."""

import asyncio
import dataclasses
import random
from collections import Counter
from collections.abc import Sequence

from pomelolug.configuration import Objective, Pool
from pomelolug.engines import FencingKind
from pomelolug.experiments._fault_script import (
    ScheduledFault,
    ScheduledFaultKind,
    apply_fault,
    generate_fault_schedule,
)
from pomelolug.groups import FormationPolicy, GroupLimits
from pomelolug.ids import VmId
from pomelolug.messages import GroupStatus
from pomelolug.testing import FakeVm, GroupSimulation, LoopClock

__all__ = ["FleetLayout", "FormationResult", "run_formation"]

_SAMPLE_INTERVAL_S = 0.1
_SETTLE_S = 600.0
_ACCELERATORS = 8
_MODEL_BYTES = 400_000_000_000
_RATE_BYTES_PER_S = 10_000_000_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class FleetLayout:
    """Number of VMs in each fabric domain and in a group.

    The domains are assigned to the zones in turn.
    """

    name: str
    domain_sizes: tuple[int, ...]
    group_size: int


@dataclasses.dataclass(kw_only=True, slots=True)
class FormationResult:
    """Measured values of one run.

    Attributes
    ----------
    downtime_s : float
        Group-seconds in which a domain lacked groups that its healthy VMs allow.
    stranded_accelerator_s : float
        Accelerator-seconds of healthy VMs that were in no serving group.
    unavoidable_stranded_s : float
        Part of `stranded_accelerator_s` that no policy can avoid: healthy VMs of
        a domain beyond a multiple of the group size.
    longest_stale_s : float
        Longest time that a group was published as serving while a member was
        not at its fencing token.
    withdrawal_times_s : list of float
        Times from a member's death until its group was no longer published.
    recovery_times_s : list of float
        Times from a member's death until its domain had as many serving groups
        as before.
    unrecovered : int
        Losses after which that did not happen.
    shared_vm_samples : int
        VMs in more than one serving group, summed over the samples.
    records : int
        Records on the log.
    violations : int
        Violations of the checked invariants.
    """

    downtime_s: float = 0.0
    stranded_accelerator_s: float = 0.0
    unavoidable_stranded_s: float = 0.0
    longest_stale_s: float = 0.0
    withdrawal_times_s: list[float] = dataclasses.field(default_factory=list)
    recovery_times_s: list[float] = dataclasses.field(default_factory=list)
    unrecovered: int = 0
    shared_vm_samples: int = 0
    records: int = 0
    violations: int = 0


@dataclasses.dataclass(slots=True)
class _MemberLoss:
    """Death of a member of a serving group.

    `serving_before` counts the serving groups of the domain before the loss;
    `is_withdrawn` tells whether the group is no longer published as serving.
    """

    died_at_s: float
    status: GroupStatus
    serving_before: int
    is_withdrawn: bool = False


class _GroupMonitor:
    """Compares the published groups with the true state of the fleet."""

    def __init__(
        self, world: GroupSimulation, layout: FleetLayout, result: FormationResult
    ):
        self._world = world
        self._layout = layout
        self._result = result
        self._dark_domains: set[str] = set()
        self._stale_since_s: dict[tuple[str, int], float] = {}
        self._losses: list[_MemberLoss] = []

    @property
    def unrecovered(self) -> int:
        """Number of losses after which the domain has not regained all its groups."""
        return len(self._losses)

    def record_death(self, vm: str) -> None:
        """Record the death of a VM; call this before the VM is killed."""
        serving = self._world.serving()
        for status in serving:
            if VmId(vm) in status.members:
                count = sum(s.domain == status.domain for s in serving)
                died_at_s = self._world.clock.monotonic()
                self._losses.append(_MemberLoss(died_at_s, status, count))

    def _update_losses(self, serving: Sequence[GroupStatus]) -> None:
        now = self._world.clock.monotonic()
        published = {(s.group, s.token) for s in self._world.serving()}
        counts = Counter(s.domain for s in serving)
        for loss in list(self._losses):
            key = (loss.status.group, loss.status.token)
            if not loss.is_withdrawn and key not in published:
                loss.is_withdrawn = True
                self._result.withdrawal_times_s.append(now - loss.died_at_s)
            if loss.is_withdrawn and counts[loss.status.domain] >= loss.serving_before:
                self._result.recovery_times_s.append(now - loss.died_at_s)
                self._losses.remove(loss)

    def record_fault(self, fault: ScheduledFault) -> None:
        """Record which domains are dark."""
        if fault.kind is ScheduledFaultKind.DOMAIN_DOWN:
            self._dark_domains.add(fault.target)
        elif fault.kind is ScheduledFaultKind.DOMAIN_UP:
            self._dark_domains.discard(fault.target)

    def _is_healthy(self, vm: FakeVm) -> bool:
        return (
            vm.alive
            and not vm.paused
            and not vm.leaving
            and vm.domain not in self._dark_domains
        )

    def sample(self) -> None:
        """Add one sampling interval to the result."""
        serving = self._find_complete_groups()
        self._update_losses(serving)
        vms = Counter(vm for status in serving for vm in status.members)
        self._result.shared_vm_samples += sum(count > 1 for count in vms.values())
        fleet = self._world.fleet.vms.values()
        healthy = Counter(v.domain for v in fleet if self._is_healthy(v))
        groups = Counter(status.domain for status in serving)
        size = self._layout.group_size
        for domain, count in healthy.items():
            missing = count // size - groups[domain]
            self._result.downtime_s += max(missing, 0) * _SAMPLE_INTERVAL_S
            self._result.unavoidable_stranded_s += (
                count % size * _ACCELERATORS * _SAMPLE_INTERVAL_S
            )
        idle = sum(self._is_healthy(v) and v.vm not in vms for v in fleet)
        self._result.stranded_accelerator_s += idle * _ACCELERATORS * _SAMPLE_INTERVAL_S

    def _find_complete_groups(self) -> list[GroupStatus]:
        now = self._world.clock.monotonic()
        serving = []
        for status in self._world.serving():
            key = (status.group, status.token)
            if self._world.fleet.is_group_complete(*key, status.members):
                serving.append(status)
                self._stale_since_s.pop(key, None)
            else:
                stale_since_s = self._stale_since_s.setdefault(key, now)
                self._result.longest_stale_s = max(
                    self._result.longest_stale_s, now - stale_since_s
                )
        live = {(s.group, s.token) for s in serving} | set(self._stale_since_s)
        self._stale_since_s = {
            k: t for k, t in self._stale_since_s.items() if k in live
        }
        return serving


def _build_world(
    layout: FleetLayout, policy: FormationPolicy, limits: GroupLimits
) -> GroupSimulation:
    pool = Pool(
        name="p", model="m", members=layout.group_size, accelerators=_ACCELERATORS
    )
    world = GroupSimulation(
        clock=LoopClock(),
        pools=[pool],
        rate_bytes_per_s=_RATE_BYTES_PER_S,
        sizes={"m": _MODEL_BYTES},
        limits=limits,
    )
    kinds = list(FencingKind)
    for number, count in enumerate(layout.domain_sizes):
        for vm in range(count):
            world.fleet.add(
                f"d{number}-{vm:02}",
                zone=f"z{number % 3}",
                domain=f"d{number}",
                fencing=kinds[number % len(kinds)],
            )
    for node in range(3):
        own_domains = {
            f"d{n}" for n in range(len(layout.domain_sizes)) if n % 3 == node
        }
        world.add_node(
            f"n{node}",
            is_own_domain=own_domains.__contains__,
            policies=dict.fromkeys(Objective, policy),
        )
    return world


async def run_formation(
    layout: FleetLayout,
    policy: FormationPolicy,
    *,
    seed: int,
    duration_s: float,
    limits: GroupLimits,
) -> FormationResult:
    """Run one fleet under faults for `duration_s` after its groups have formed.

    Must run on an event loop with virtual time.
    """
    world = _build_world(layout, policy, limits)
    result = FormationResult()
    monitor = _GroupMonitor(world, layout, result)
    schedule = generate_fault_schedule(
        sorted(world.fleet.vms),
        sorted({vm.domain for vm in world.fleet.vms.values()}),
        start_s=_SETTLE_S,
        duration_s=duration_s,
        random_state=random.Random(seed),
    )
    await world.start()
    await asyncio.sleep(_SETTLE_S)
    while world.clock.monotonic() < _SETTLE_S + duration_s:
        while schedule and schedule[0].at_s <= world.clock.monotonic():
            fault = schedule.pop(0)
            if fault.kind is ScheduledFaultKind.DEATH:
                monitor.record_death(fault.target)
            apply_fault(world.fleet, fault)
            monitor.record_fault(fault)
        monitor.sample()
        await asyncio.sleep(_SAMPLE_INTERVAL_S)
    await world.stop()
    result.unrecovered = monitor.unrecovered
    result.records = len(world.records)
    result.violations = sum(world.violations.values())
    return result
