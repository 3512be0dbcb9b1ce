"""What a controller knows of the VMs: the platform's list and own read-backs."""

import asyncio
import dataclasses
import datetime
from collections.abc import Callable, Iterable, Mapping, Sequence

from pomelolug.clock import Clock
from pomelolug.engines import (
    Engine,
    EngineRefusedError,
    EngineUnavailableError,
    MemberStatus,
)
from pomelolug.groups._policy import VmView
from pomelolug.ids import Incarnation, VmId
from pomelolug.infrastructure import VmEntry, VmRole

__all__ = ["Inventory", "VmList", "merge_vm_entries"]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VmList:
    """The VM list without its contradictions.

    Parameters
    ----------
    entries : mapping of VmId to VmEntry
        Engine VMs.
    conflicting : frozenset of VmId
        VMs that the list places twice or whose address another VM has. They
        join no group until the list agrees.
    """

    entries: Mapping[VmId, VmEntry]
    conflicting: frozenset[VmId]


def merge_vm_entries(entries: Iterable[VmEntry]) -> VmList:
    """Return the engine VMs of a list and mark contradictions.

    A VM that any entry calls leaving is leaving.
    """
    merged: dict[VmId, VmEntry] = {}
    vm_by_address: dict[str, VmId] = {}
    conflicting: set[VmId] = set()
    for entry in entries:
        if entry.role is not VmRole.ENGINE:
            continue
        other = vm_by_address.setdefault(entry.address, entry.vm)
        if other != entry.vm:
            conflicting |= {other, entry.vm}
        previous = merged.setdefault(entry.vm, entry)
        if dataclasses.replace(previous, leaving=entry.leaving) != entry:
            conflicting.add(entry.vm)
        leaving = previous.leaving or entry.leaving
        merged[entry.vm] = dataclasses.replace(previous, leaving=leaving)
    return VmList(entries=merged, conflicting=frozenset(conflicting))


@dataclasses.dataclass(slots=True)
class _ProbeResult:
    status: MemberStatus | None = None
    unresponsive_since_s: float | None = None


class Inventory:
    """Newest list and read-backs of the VMs.

    Parameters
    ----------
    engine : Engine
        Access to the backend servers.
    clock : Clock
        Source of time.
    timeout : datetime.timedelta
        Longest wait for one read-back.
    on_finding : callable
        Takes the name of a finding about the list or a VM, to count it.
    """

    def __init__(
        self,
        *,
        engine: Engine,
        clock: Clock,
        timeout: datetime.timedelta,
        on_finding: Callable[[str], None],
    ) -> None:
        self._engine = engine
        self._clock = clock
        self._timeout = timeout
        self._on_finding = on_finding
        self._vm_list = VmList(entries={}, conflicting=frozenset())
        self._entries: dict[VmId, VmEntry] = {}
        self._probe_results: dict[VmId, _ProbeResult] = {}

    @property
    def entries(self) -> Mapping[VmId, VmEntry]:
        """Listed VMs and members of groups that the list has dropped."""
        return self._entries

    def update(self, entries: Sequence[VmEntry], member_vms: frozenset[VmId]) -> None:
        """Take over a new list; a VM of `member_vms` that it lacks keeps its entry."""
        self._vm_list = merge_vm_entries(entries)
        if self._vm_list.conflicting:
            self._on_finding("vm_list_contradiction")
        kept = {vm: e for vm, e in self._entries.items() if vm in member_vms}
        self._entries = {**kept, **self._vm_list.entries}

    async def probe(self, vms: Iterable[VmId]) -> None:
        """Read the given VMs back at the same time and forget all others.

        An older answer of a VM that is no longer read would be taken for a
        present one.
        """
        wanted = {vm for vm in vms if vm in self._entries}
        self._probe_results = {
            v: r for v, r in self._probe_results.items() if v in wanted
        }
        await asyncio.gather(*(self._probe(vm) for vm in sorted(wanted)))

    async def _probe(self, vm: VmId) -> None:
        sent_at_s = self._clock.monotonic()
        try:
            status = await self._engine.status(
                self._entries[vm].address, timeout=self._timeout
            )
        except (EngineUnavailableError, EngineRefusedError):
            result = self._probe_results.setdefault(vm, _ProbeResult())
            if result.unresponsive_since_s is None:
                result.unresponsive_since_s = sent_at_s
            return
        if status.vm != vm:
            self._on_finding("other_identity")
        self._probe_results[vm] = _ProbeResult(status=status)

    def status(self, vm: VmId) -> MemberStatus | None:
        """Return the newest answer under the VM's own identity, if it answers."""
        result = self._probe_results.get(vm)
        if result is None or result.unresponsive_since_s is not None:
            return None
        status = result.status
        return status if status is not None and status.vm == vm else None

    def has_identity_mismatch(self, vm: VmId) -> bool:
        """Return whether another identity answers at the VM's address."""
        result = self._probe_results.get(vm)
        if result is None or result.status is None:
            return False
        return result.status.vm != vm

    def unresponsive_s(self, vm: VmId) -> float:
        """Return for how many seconds the VM has not answered."""
        result = self._probe_results.get(vm)
        if result is None or result.unresponsive_since_s is None:
            return 0.0
        return self._clock.monotonic() - result.unresponsive_since_s

    def is_leaving(self, vm: VmId) -> bool:
        """Return whether the list or the backend server says that it leaves."""
        entry = self._entries.get(vm)
        status = self.status(vm)
        return bool(entry and entry.leaving) or bool(status and status.leaving)

    def view(self, vm: VmId, *, drained: bool) -> VmView:
        """Return the policy's view of a listed VM."""
        entry = self._entries[vm]
        status = self.status(vm)
        is_usable = (
            status is not None
            and vm in self._vm_list.entries
            and vm not in self._vm_list.conflicting
            and not drained
            and not self.is_leaving(vm)
        )
        return VmView(
            vm=vm,
            zone=entry.zone,
            domain=entry.domain,
            incarnation=Incarnation(status.incarnation if status else -1),
            is_usable=is_usable,
            held_models=frozenset(status.held) if status else frozenset(),
            is_listed=vm in self._vm_list.entries,
        )
