"""Seeded random fault schedules for a simulated fleet of engines."""

import dataclasses
import enum
import random
from collections.abc import Sequence

from pomelolug.ids import VmId
from pomelolug.testing import FakeEngineFleet

__all__ = [
    "ScheduledFault",
    "ScheduledFaultKind",
    "apply_fault",
    "generate_fault_schedule",
]

_DEATHS = 8
_PAUSES = 8
_LEAVES = 4
_DOMAIN_DOWN_S = 120.0


class ScheduledFaultKind(enum.Enum):
    """Kind of a fault, or of its end, of a VM or a fabric domain."""

    DEATH = "death"
    RETURN = "return"
    PAUSE = "pause"
    RESUME = "resume"
    LEAVE = "leave"
    DOMAIN_DOWN = "dark"
    DOMAIN_UP = "light"


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class ScheduledFault:
    """Fault of `target`, a VM or a fabric domain, at `at_s` seconds."""

    at_s: float
    kind: ScheduledFaultKind = dataclasses.field(compare=False)
    target: str = dataclasses.field(compare=False)


def generate_fault_schedule(
    vms: Sequence[str],
    domains: Sequence[str],
    *,
    start_s: float,
    duration_s: float,
    random_state: random.Random,
) -> list[ScheduledFault]:
    """Return a random fault schedule, sorted by time.

    It has 8 deaths (each VM is replaced by one without weights after 60 s to 300 s),
    8 pauses of 1 s to 20 s, 4 planned leaves (the VM terminates 60 s later and is
    replaced after 60 s to 300 s) and one domain that is cut off for 120 s.

    Parameters
    ----------
    vms, domains : sequence of str
        Names; each VM has at most one death, pause or leave.
    start_s, duration_s : float
        Time range in seconds; faults begin in the first 80% of the duration.
    random_state : random.Random
        Random number generator.

    Examples
    --------
    >>> schedule = generate_fault_schedule(
    ...     [f"v{n}" for n in range(30)], ["d"], start_s=0.0, duration_s=100.0,
    ...     random_state=random.Random(1))
    >>> sum(fault.kind is ScheduledFaultKind.DEATH for fault in schedule)
    12
    """
    rng = random_state
    affected_vms = rng.sample(list(vms), _DEATHS + _PAUSES + _LEAVES)
    faults: list[ScheduledFault] = []

    def draw_time_s() -> float:
        return start_s + rng.uniform(0.0, 0.8) * duration_s

    for vm in affected_vms[:_DEATHS]:
        at_s = draw_time_s()
        faults.append(ScheduledFault(at_s, ScheduledFaultKind.DEATH, vm))
        faults.append(
            ScheduledFault(at_s + rng.uniform(60, 300), ScheduledFaultKind.RETURN, vm)
        )
    for vm in affected_vms[_DEATHS : _DEATHS + _PAUSES]:
        at_s = draw_time_s()
        faults.append(ScheduledFault(at_s, ScheduledFaultKind.PAUSE, vm))
        faults.append(
            ScheduledFault(at_s + rng.uniform(1, 20), ScheduledFaultKind.RESUME, vm)
        )
    for vm in affected_vms[_DEATHS + _PAUSES :]:
        at_s = draw_time_s()
        faults.append(ScheduledFault(at_s, ScheduledFaultKind.LEAVE, vm))
        faults.append(ScheduledFault(at_s + 60, ScheduledFaultKind.DEATH, vm))
        faults.append(
            ScheduledFault(
                at_s + 60 + rng.uniform(60, 300), ScheduledFaultKind.RETURN, vm
            )
        )
    domain = rng.choice(list(domains))
    at_s = draw_time_s()
    faults.append(ScheduledFault(at_s, ScheduledFaultKind.DOMAIN_DOWN, domain))
    faults.append(
        ScheduledFault(at_s + _DOMAIN_DOWN_S, ScheduledFaultKind.DOMAIN_UP, domain)
    )
    return sorted(faults)


def apply_fault(fleet: FakeEngineFleet, fault: ScheduledFault) -> None:
    """Apply a fault to the fleet."""
    if fault.kind is ScheduledFaultKind.DOMAIN_DOWN:
        fleet.disconnect_domain(fault.target)
    elif fault.kind is ScheduledFaultKind.DOMAIN_UP:
        fleet.reconnect_domain(fault.target)
    else:
        _apply_to_vm(fleet, fault)


def _apply_to_vm(fleet: FakeEngineFleet, fault: ScheduledFault) -> None:
    state = fleet.vms[VmId(fault.target)]
    if fault.kind is ScheduledFaultKind.DEATH:
        fleet.kill(fault.target)
    elif fault.kind is ScheduledFaultKind.RETURN:
        fleet.restart(fault.target)
        state.leaving = False
    elif fault.kind is ScheduledFaultKind.PAUSE:
        fleet.pause(fault.target)
    elif fault.kind is ScheduledFaultKind.RESUME:
        fleet.resume(fault.target)
    elif fault.kind is ScheduledFaultKind.LEAVE:
        state.leaving = True
