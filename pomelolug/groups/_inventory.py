"""What a controller knows of the VMs: the platform's list and own read-backs."""

import asyncio
import dataclasses
import datetime
from collections.abc import Callable, Iterable, Mapping, Sequence

from pomelolug.clock import Clock
from pomelolug.engines import (
    EngineClient,
    EngineRefusedError,
    EngineStatus,
    EngineUnavailableError,
)
from pomelolug.groups._policy import VmView
from pomelolug.ids import Incarnation, VmId
from pomelolug.infrastructure import VmEntry, VmRole

__all__ = ["Inventory", "VmList", "reconcile"]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VmList:
    """The VM list without its contradictions.

    Parameters
    ----------
    entries : mapping of VmId to VmEntry
        Engine VMs.
    disputed : frozenset of VmId
        VMs that the list places twice or whose address another VM has. They
        join no group until the list agrees.
    """

    entries: Mapping[VmId, VmEntry]
    disputed: frozenset[VmId]


def reconcile(entries: Iterable[VmEntry]) -> VmList:
    """Return the engine VMs of a list and mark contradictions.

    A VM that any entry calls leaving is leaving.
    """
    known: dict[VmId, VmEntry] = {}
    at: dict[str, VmId] = {}
    disputed: set[VmId] = set()
    for entry in entries:
        if entry.role is not VmRole.ENGINE:
            continue
        other = at.setdefault(entry.address, entry.vm)
        if other != entry.vm:
            disputed |= {other, entry.vm}
        previous = known.setdefault(entry.vm, entry)
        if dataclasses.replace(previous, leaving=entry.leaving) != entry:
            disputed.add(entry.vm)
        leaving = previous.leaving or entry.leaving
        known[entry.vm] = dataclasses.replace(previous, leaving=leaving)
    return VmList(entries=known, disputed=frozenset(disputed))


@dataclasses.dataclass(slots=True)
class _Reading:
    status: EngineStatus | None = None
    silent_since: float | None = None


class Inventory:
    """Newest list and read-backs of the VMs.

    Parameters
    ----------
    engine : EngineClient
        Access to the backend servers.
    clock : Clock
        Source of time.
    timeout : datetime.timedelta
        Longest wait for one read-back.
    counted : callable
        Takes the name of a finding about the list or a VM, to count it.
    """

    def __init__(
        self,
        *,
        engine: EngineClient,
        clock: Clock,
        timeout: datetime.timedelta,
        counted: Callable[[str], None],
    ) -> None:
        self._engine = engine
        self._clock = clock
        self._timeout = timeout
        self._counted = counted
        self._list = VmList(entries={}, disputed=frozenset())
        self._kept: dict[VmId, VmEntry] = {}
        self._readings: dict[VmId, _Reading] = {}

    @property
    def entries(self) -> Mapping[VmId, VmEntry]:
        """Listed VMs and members of groups that the list has dropped."""
        return self._kept

    def update(self, entries: Sequence[VmEntry], owned: frozenset[VmId]) -> None:
        """Take over a new list; a VM of `owned` that it lacks keeps its entry."""
        self._list = reconcile(entries)
        if self._list.disputed:
            self._counted("vm_list_contradiction")
        kept = {vm: e for vm, e in self._kept.items() if vm in owned}
        self._kept = {**kept, **self._list.entries}

    async def read(self, vms: Iterable[VmId]) -> None:
        """Read the given VMs back at the same time and forget all others.

        An older answer of a VM that is no longer read would be taken for a
        present one.
        """
        wanted = {vm for vm in vms if vm in self._kept}
        self._readings = {v: r for v, r in self._readings.items() if v in wanted}
        await asyncio.gather(*(self._read(vm) for vm in sorted(wanted)))

    async def _read(self, vm: VmId) -> None:
        sent = self._clock.monotonic()
        try:
            status = await self._engine.fetch_status(
                self._kept[vm].address, timeout=self._timeout
            )
        except (EngineUnavailableError, EngineRefusedError):
            reading = self._readings.setdefault(vm, _Reading())
            if reading.silent_since is None:
                reading.silent_since = sent
            return
        if status.vm != vm:
            self._counted("other_identity")
        self._readings[vm] = _Reading(status=status)

    def status(self, vm: VmId) -> EngineStatus | None:
        """Return the newest answer under the VM's own identity, if it answers."""
        reading = self._readings.get(vm)
        if reading is None or reading.silent_since is not None:
            return None
        status = reading.status
        return status if status is not None and status.vm == vm else None

    def is_impostor(self, vm: VmId) -> bool:
        """Return whether another identity answers at the VM's address."""
        reading = self._readings.get(vm)
        if reading is None or reading.status is None:
            return False
        return reading.status.vm != vm

    def silence(self, vm: VmId) -> float:
        """Return for how many seconds the VM has not answered."""
        reading = self._readings.get(vm)
        if reading is None or reading.silent_since is None:
            return 0.0
        return self._clock.monotonic() - reading.silent_since

    def is_leaving(self, vm: VmId) -> bool:
        """Return whether the list or the backend server says that it leaves."""
        entry = self._kept.get(vm)
        status = self.status(vm)
        return bool(entry and entry.leaving) or bool(status and status.leaving)

    def view(self, vm: VmId, *, drained: bool) -> VmView:
        """Return the policy's view of a listed VM."""
        entry = self._kept[vm]
        status = self.status(vm)
        usable = (
            status is not None
            and vm in self._list.entries
            and vm not in self._list.disputed
            and not drained
            and not self.is_leaving(vm)
        )
        return VmView(
            vm=vm,
            zone=entry.zone,
            domain=entry.domain,
            incarnation=Incarnation(status.incarnation if status else -1),
            usable=usable,
            held=frozenset(status.held) if status else frozenset(),
            listed=vm in self._list.entries,
        )
