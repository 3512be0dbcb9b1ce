"""Polling of the platform's VM list."""

import collections
import datetime
import random
from collections.abc import Callable, Mapping, Sequence

import structlog

from pomelolug.clock import Clock
from pomelolug.errors import Finding, PlatformError
from pomelolug.ids import VmId
from pomelolug.infrastructure import VmDirectory, VmEntry, VmRole

__all__ = ["DirectoryPoller", "find_contradictions"]

_log = structlog.get_logger()
_POLL_INTERVAL = datetime.timedelta(seconds=1)
_MAX_DELISTED_ADDRESSES = 1000
_LIST_TIMEOUT = datetime.timedelta(seconds=2)


def find_contradictions(entries: Sequence[VmEntry]) -> list[Finding]:
    """Return the entries of a VM list that contradict each other.

    Parameters
    ----------
    entries : sequence of VmEntry
        VM list of the platform.

    Returns
    -------
    list of Finding
        One for each VM that is listed repeatedly and one for each address that
        several VMs have.
    """
    findings = []
    vms = collections.Counter(entry.vm for entry in entries)
    for vm, count in sorted(vms.items()):
        if count > 1:
            findings.append(
                Finding(
                    location=f"vm {vm}", value=str(count), problem="listed repeatedly"
                )
            )
    addresses = collections.Counter(entry.address for entry in entries)
    for address, count in sorted(addresses.items()):
        if count > 1:
            findings.append(
                Finding(
                    location=f"address {address}",
                    value=str(count),
                    problem="belongs to several VMs",
                )
            )
    return findings


class DirectoryPoller:
    """Polls the VM list and keeps the consistent entries of the newest one.

    Parameters
    ----------
    directory : VmDirectory
        Access to the platform's VM list.
    clock : Clock
        Time source.
    random_state : random.Random
        Source of the poll jitter.
    on_findings : callable
        Called with the number of contradictory entries of a list.
    """

    def __init__(
        self,
        *,
        directory: VmDirectory,
        clock: Clock,
        random_state: random.Random,
        on_findings: Callable[[int], None],
    ) -> None:
        self._directory = directory
        self._clock = clock
        self._random = random_state
        self._on_findings = on_findings
        self._entries: tuple[VmEntry, ...] = ()
        self._read_at_s: float | None = None
        self._addresses: dict[VmId, str] = {}

    @property
    def entries(self) -> tuple[VmEntry, ...]:
        """Entries of the newest list without the contradictory ones."""
        return self._entries

    @property
    def addresses(self) -> Mapping[VmId, str]:
        """IP address and port of each VM, including VMs that are no longer listed.

        A group may still serve on a VM that has been removed from the list, and
        its members have to be probed until the group ends.
        """
        return self._addresses

    @property
    def age_s(self) -> float:
        """Seconds since the last successful read; -1 before the first one."""
        if self._read_at_s is None:
            return -1.0
        return self._clock.monotonic() - self._read_at_s

    def entries_with_role(self, role: VmRole) -> tuple[VmEntry, ...]:
        """Return the entries with `role`."""
        return tuple(entry for entry in self._entries if entry.role is role)

    async def run(self) -> None:
        """Poll until cancelled; if a poll fails, the previous list is kept."""
        while True:
            try:
                await self.refresh()
            except PlatformError as error:
                _log.warning("vm_list_unavailable", error=str(error))
            jitter = self._random.uniform(0.8, 1.2)
            await self._clock.sleep(_POLL_INTERVAL * jitter)

    async def refresh(self) -> None:
        """Read the list once.

        Raises
        ------
        PlatformError
            If the list is unavailable.
        """
        entries = await self._directory.list_vms(timeout=_LIST_TIMEOUT)
        findings = find_contradictions(entries)
        if findings:
            self._on_findings(len(findings))
            for finding in findings[:10]:
                _log.error("vm_list_contradiction", finding=str(finding))
        contradictory_vms = {f.location.removeprefix("vm ") for f in findings}
        contradictory_addresses = {
            f.location.removeprefix("address ") for f in findings
        }
        self._entries = tuple(
            entry
            for entry in entries
            if entry.vm not in contradictory_vms
            and entry.address not in contradictory_addresses
        )
        self._read_at_s = self._clock.monotonic()
        for entry in self._entries:
            self._addresses.pop(entry.vm, None)
            self._addresses[entry.vm] = entry.address
        while len(self._addresses) > len(self._entries) + _MAX_DELISTED_ADDRESSES:
            del self._addresses[next(iter(self._addresses))]
