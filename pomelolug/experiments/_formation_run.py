"""One run of a fleet under a fault script, with its truth measured."""

import asyncio
import dataclasses
import random
from collections import Counter
from collections.abc import Sequence

from pomelolug.configuration import Objective, Pool
from pomelolug.engines import FencingKind
from pomelolug.experiments._fault_script import (
    Fault,
    FaultKind,
    apply_fault,
    fault_script,
)
from pomelolug.groups import FormationPolicy, GroupLimits
from pomelolug.ids import VmId
from pomelolug.messages import GroupStatus
from pomelolug.testing import FakeVm, GroupSimulation, LoopClock

__all__ = ["FormationResult", "Shape", "run_formation"]

_SAMPLE_S = 0.1
_SETTLE_S = 600.0
_ACCELERATORS = 8
_MODEL_BYTES = 400_000_000_000
_RATE_BYTES_PER_S = 10_000_000_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """VMs of each fabric domain and VMs of a group; domains take zones in turn."""

    name: str
    domains: tuple[int, ...]
    members: int


@dataclasses.dataclass(kw_only=True, slots=True)
class FormationResult:
    """Measured values of one run; times in seconds.

    `floor` is the part of `stranded` that no policy can avoid: healthy VMs of a
    domain beyond a multiple of the group size. `stale` is the longest time that
    a group was published as serving while a member was not at its token.
    """

    downtime: float = 0.0
    stranded: float = 0.0
    floor: float = 0.0
    stale: float = 0.0
    closed: list[float] = dataclasses.field(default_factory=list)
    back: list[float] = dataclasses.field(default_factory=list)
    not_back: int = 0
    shared_vms: int = 0
    records: int = 0
    violations: int = 0


@dataclasses.dataclass(slots=True)
class _Loss:
    """A member's death: what served in its domain, and since when it is closed."""

    died: float
    status: GroupStatus
    serving: int
    closed: bool = False


class _Meter:
    """Compares what is published with the truth of the fleet."""

    def __init__(self, world: GroupSimulation, shape: Shape, result: FormationResult):
        self._world = world
        self._shape = shape
        self._result = result
        self._dark: set[str] = set()
        self._false_since: dict[tuple[str, int], float] = {}
        self._losses: list[_Loss] = []

    @property
    def unrecovered(self) -> int:
        """Losses after which the domain never had as many groups again."""
        return len(self._losses)

    def note_death(self, vm: str) -> None:
        """Note that a VM dies now, before it does."""
        serving = self._world.serving()
        for status in serving:
            if VmId(vm) in status.members:
                count = sum(s.domain == status.domain for s in serving)
                died = self._world.clock.monotonic()
                self._losses.append(_Loss(died, status, count))

    def _follow_losses(self, serving: Sequence[GroupStatus]) -> None:
        now = self._world.clock.monotonic()
        published = {(s.group, s.token) for s in self._world.serving()}
        counts = Counter(s.domain for s in serving)
        for loss in list(self._losses):
            key = (loss.status.group, loss.status.token)
            if not loss.closed and key not in published:
                loss.closed = True
                self._result.closed.append(now - loss.died)
            if loss.closed and counts[loss.status.domain] >= loss.serving:
                self._result.back.append(now - loss.died)
                self._losses.remove(loss)

    def note(self, fault: Fault) -> None:
        """Follow which domains are dark."""
        if fault.kind is FaultKind.DARK:
            self._dark.add(fault.target)
        elif fault.kind is FaultKind.LIGHT:
            self._dark.discard(fault.target)

    def _healthy(self, vm: FakeVm) -> bool:
        return (
            vm.alive
            and not vm.paused
            and not vm.leaving
            and vm.domain not in self._dark
        )

    def sample(self) -> None:
        """Add one sampling interval to the result."""
        serving = self._true_serving()
        self._follow_losses(serving)
        vms = Counter(vm for status in serving for vm in status.members)
        self._result.shared_vms += sum(count > 1 for count in vms.values())
        fleet = self._world.fleet.vms.values()
        healthy = Counter(v.domain for v in fleet if self._healthy(v))
        groups = Counter(status.domain for status in serving)
        size = self._shape.members
        for domain, count in healthy.items():
            lacking = count // size - groups[domain]
            self._result.downtime += max(lacking, 0) * _SAMPLE_S
            self._result.floor += count % size * _ACCELERATORS * _SAMPLE_S
        idle = sum(self._healthy(v) and v.vm not in vms for v in fleet)
        self._result.stranded += idle * _ACCELERATORS * _SAMPLE_S

    def _true_serving(self) -> list[GroupStatus]:
        now = self._world.clock.monotonic()
        serving = []
        for status in self._world.serving():
            key = (status.group, status.token)
            if self._world.fleet.has_complete(*key, status.members):
                serving.append(status)
                self._false_since.pop(key, None)
            else:
                since = self._false_since.setdefault(key, now)
                self._result.stale = max(self._result.stale, now - since)
        live = {(s.group, s.token) for s in serving} | set(self._false_since)
        self._false_since = {k: t for k, t in self._false_since.items() if k in live}
        return serving


def _build(
    shape: Shape, policy: FormationPolicy, limits: GroupLimits
) -> GroupSimulation:
    pool = Pool(name="p", model="m", members=shape.members, accelerators=_ACCELERATORS)
    world = GroupSimulation(
        clock=LoopClock(),
        pools=[pool],
        rate_bytes_per_s=_RATE_BYTES_PER_S,
        sizes={"m": _MODEL_BYTES},
        limits=limits,
    )
    kinds = list(FencingKind)
    for number, count in enumerate(shape.domains):
        for vm in range(count):
            world.fleet.add(
                f"d{number}-{vm:02}",
                zone=f"z{number % 3}",
                domain=f"d{number}",
                fencing=kinds[number % len(kinds)],
            )
    for node in range(3):
        own = {f"d{n}" for n in range(len(shape.domains)) if n % 3 == node}
        world.add_node(
            f"n{node}",
            is_own_domain=own.__contains__,
            policies=dict.fromkeys(Objective, policy),
        )
    return world


async def run_formation(
    shape: Shape,
    policy: FormationPolicy,
    *,
    seed: int,
    duration: float,
    limits: GroupLimits,
) -> FormationResult:
    """Run one fleet for `duration` seconds after its groups have formed.

    Has to run on a loop with virtual time.
    """
    world = _build(shape, policy, limits)
    result = FormationResult()
    meter = _Meter(world, shape, result)
    script = fault_script(
        sorted(world.fleet.vms),
        sorted({vm.domain for vm in world.fleet.vms.values()}),
        start=_SETTLE_S,
        duration=duration,
        random_state=random.Random(seed),
    )
    await world.start()
    await asyncio.sleep(_SETTLE_S)
    while world.clock.monotonic() < _SETTLE_S + duration:
        while script and script[0].at <= world.clock.monotonic():
            fault = script.pop(0)
            if fault.kind is FaultKind.DEATH:
                meter.note_death(fault.target)
            apply_fault(world.fleet, fault)
            meter.note(fault)
        meter.sample()
        await asyncio.sleep(_SAMPLE_S)
    await world.stop()
    result.not_back = meter.unrecovered
    result.records = len(world.records)
    result.violations = sum(world.violations.values())
    return result
