"""VMs known to a controller, from the platform's VM list and status probes."""

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

__all__ = ["Inventory", "VmList", "merge_vm_entries"]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VmList:
    """Engine VMs of a VM list, with contradictory entries marked.

    Parameters
    ----------
    entries : mapping of VmId to VmEntry
        One entry for each engine VM.
    conflicting : frozenset of VmId
        VMs that are listed with different properties or share an address with
        another VM. They join no group until the contradiction is resolved.
    """

    entries: Mapping[VmId, VmEntry]
    conflicting: frozenset[VmId]


def merge_vm_entries(entries: Iterable[VmEntry]) -> VmList:
    """Merge the entries of each engine VM and mark contradictions.

    A VM is leaving if any of its entries says so.
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
    """Last valid status of a VM, and since when it has not given a new one.

    `unresponsive_since_s` is the monotonic time at which the first of the failed
    probes in a row was sent, or None if the last probe succeeded.
    """

    status: EngineStatus | None = None
    unresponsive_since_s: float | None = None


class Inventory:
    """Latest VM list and latest statuses of the VMs.

    Parameters
    ----------
    engine : EngineClient
        Access to the backend servers.
    clock : Clock
        Source of time.
    timeout : datetime.timedelta
        Timeout of one status probe.
    on_finding : callable
        Called with the name of a finding about the list or a VM.
    """

    def __init__(
        self,
        *,
        engine: EngineClient,
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
        """Entries of listed VMs, and last entries of members no longer listed."""
        return self._entries

    def update(self, entries: Sequence[VmEntry], member_vms: frozenset[VmId]) -> None:
        """Replace the list; VMs of `member_vms` missing from it keep their entry."""
        self._vm_list = merge_vm_entries(entries)
        if self._vm_list.conflicting:
            self._on_finding("vm_list_contradiction")
        kept = {vm: e for vm, e in self._entries.items() if vm in member_vms}
        self._entries = {**kept, **self._vm_list.entries}

    async def probe(self, vms: Iterable[VmId]) -> None:
        """Query the status of the given VMs concurrently and forget all others.

        A kept status of a VM that is no longer probed would be mistaken for a
        current one.
        """
        wanted = {vm for vm in vms if vm in self._entries}
        self._probe_results = {
            v: r for v, r in self._probe_results.items() if v in wanted
        }
        await asyncio.gather(*(self._probe(vm) for vm in sorted(wanted)))

    async def _probe(self, vm: VmId) -> None:
        sent_at_s = self._clock.monotonic()
        try:
            status = await self._engine.fetch_status(
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

    def status(self, vm: VmId) -> EngineStatus | None:
        """Return the status from the last probe, or None if that failed.

        A status that reports the identity of another VM is not returned.
        """
        result = self._probe_results.get(vm)
        if result is None or result.unresponsive_since_s is not None:
            return None
        status = result.status
        return status if status is not None and status.vm == vm else None

    def has_identity_mismatch(self, vm: VmId) -> bool:
        """Return whether the server at the VM's address reports another identity."""
        result = self._probe_results.get(vm)
        if result is None or result.status is None:
            return False
        return result.status.vm != vm

    def unresponsive_s(self, vm: VmId) -> float:
        """Return for how many seconds probes of the VM have failed."""
        result = self._probe_results.get(vm)
        if result is None or result.unresponsive_since_s is None:
            return 0.0
        return self._clock.monotonic() - result.unresponsive_since_s

    def is_leaving(self, vm: VmId) -> bool:
        """Return whether the VM list or the backend server reports that it leaves."""
        entry = self._entries.get(vm)
        status = self.status(vm)
        return bool(entry and entry.leaving) or bool(status and status.leaving)

    def view(self, vm: VmId, *, drained: bool) -> VmView:
        """Return what formation policies need to know about a VM of `entries`."""
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
