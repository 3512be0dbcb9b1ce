"""Seeded fault scripts for a fleet of engines."""

import dataclasses
import enum
import random
from collections.abc import Sequence

from pomelolug.ids import VmId
from pomelolug.testing import FakeEngineFleet

__all__ = ["Fault", "FaultKind", "apply_fault", "fault_script"]

_DEATHS = 8
_PAUSES = 8
_LEAVES = 4
_DARK_S = 120.0


class FaultKind(enum.Enum):
    """What happens to a VM or a domain."""

    DEATH = "death"
    RETURN = "return"
    PAUSE = "pause"
    RESUME = "resume"
    LEAVE = "leave"
    DARK = "dark"
    LIGHT = "light"


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class Fault:
    """Fault of `target` (a VM or a domain) at `at` seconds."""

    at: float
    kind: FaultKind = dataclasses.field(compare=False)
    target: str = dataclasses.field(compare=False)


def fault_script(
    vms: Sequence[str],
    domains: Sequence[str],
    *,
    start: float,
    duration: float,
    random_state: random.Random,
) -> list[Fault]:
    """Return faults in the order of time.

    There are 8 deaths (a new VM without weights after 60 s to 300 s), 8 pauses
    (1 s to 20 s), 4 planned leaves (the VM ends 60 s later and is replaced
    after 60 s to 300 s) and one domain that is dark for 120 s.

    Parameters
    ----------
    vms, domains : sequence of str
        Names; every VM has at most one death, pause or leave.
    start, duration : float
        Seconds; faults begin in the first 80% of the duration.
    random_state : random.Random
        Source of randomness.

    Examples
    --------
    >>> script = fault_script([f"v{n}" for n in range(30)], ["d"], start=0.0,
    ...                       duration=100.0, random_state=random.Random(1))
    >>> sum(fault.kind is FaultKind.DEATH for fault in script)
    12
    """
    draw = random_state
    chosen = draw.sample(list(vms), _DEATHS + _PAUSES + _LEAVES)
    faults: list[Fault] = []

    def moment() -> float:
        return start + draw.uniform(0.0, 0.8) * duration

    for vm in chosen[:_DEATHS]:
        at = moment()
        faults.append(Fault(at, FaultKind.DEATH, vm))
        faults.append(Fault(at + draw.uniform(60, 300), FaultKind.RETURN, vm))
    for vm in chosen[_DEATHS : _DEATHS + _PAUSES]:
        at = moment()
        faults.append(Fault(at, FaultKind.PAUSE, vm))
        faults.append(Fault(at + draw.uniform(1, 20), FaultKind.RESUME, vm))
    for vm in chosen[_DEATHS + _PAUSES :]:
        at = moment()
        faults.append(Fault(at, FaultKind.LEAVE, vm))
        faults.append(Fault(at + 60, FaultKind.DEATH, vm))
        faults.append(Fault(at + 60 + draw.uniform(60, 300), FaultKind.RETURN, vm))
    dark = draw.choice(list(domains))
    at = moment()
    faults.append(Fault(at, FaultKind.DARK, dark))
    faults.append(Fault(at + _DARK_S, FaultKind.LIGHT, dark))
    return sorted(faults)


def apply_fault(fleet: FakeEngineFleet, fault: Fault) -> None:
    """Bring a fault about."""
    if fault.kind is FaultKind.DARK:
        fleet.disconnect_domain(fault.target)
    elif fault.kind is FaultKind.LIGHT:
        fleet.reconnect_domain(fault.target)
    else:
        _apply_to_vm(fleet, fault)


def _apply_to_vm(fleet: FakeEngineFleet, fault: Fault) -> None:
    state = fleet.vms[VmId(fault.target)]
    if fault.kind is FaultKind.DEATH:
        fleet.kill(fault.target)
    elif fault.kind is FaultKind.RETURN:
        fleet.restart(fault.target)
        state.leaving = False
    elif fault.kind is FaultKind.PAUSE:
        fleet.pause(fault.target)
    elif fault.kind is FaultKind.RESUME:
        fleet.resume(fault.target)
    elif fault.kind is FaultKind.LEAVE:
        state.leaving = True
