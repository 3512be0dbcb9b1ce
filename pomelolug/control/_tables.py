"""Construction of the routing tables for the gateways."""

from collections.abc import Callable, Iterable

import msgspec

from pomelolug.clock import Clock
from pomelolug.configuration import Configuration
from pomelolug.control._directory import DirectoryPoller
from pomelolug.control._statuses import GroupStatusCache
from pomelolug.groups import GroupPhase, GroupsFold
from pomelolug.ids import GroupId, VmId
from pomelolug.infrastructure import VmRole
from pomelolug.messages import GroupStatus, RoutingTable, ServiceStatus

__all__ = ["RoutingTableBuilder"]

_DRAINING = GroupPhase.DRAINING.value
_SERVING = GroupPhase.SERVING.value


class RoutingTableBuilder:
    """Builds routing tables from the configuration, VM ownership and group statuses.

    Parameters
    ----------
    groups_fold : GroupsFold
        Ownership of VMs by groups.
    status_cache : GroupStatusCache
        Latest statuses of the groups.
    directory : DirectoryPoller
        VM list, for the leaving VMs and the VMs of plain services.
    configuration : callable
        Returns the configuration in force, or None before the first one.
    draining : callable
        Returns the groups that must get no new work.
    quarantined_fingerprints : callable
        Returns the fingerprints of quarantined requests.
    entry_vm_count : callable
        Returns the number of live entry VMs.
    clock : Clock
        Time source.
    """

    def __init__(
        self,
        *,
        groups_fold: GroupsFold,
        status_cache: GroupStatusCache,
        directory: DirectoryPoller,
        configuration: Callable[[], Configuration | None],
        draining: Callable[[], frozenset[GroupId]],
        quarantined_fingerprints: Callable[[], tuple[bytes, ...]],
        entry_vm_count: Callable[[], int],
        clock: Clock,
    ) -> None:
        self._groups_fold = groups_fold
        self._status_cache = status_cache
        self._directory = directory
        self._configuration = configuration
        self._draining = draining
        self._quarantined_fingerprints = quarantined_fingerprints
        self._entry_vm_count = entry_vm_count
        self._clock = clock
        self._encoded_configuration: tuple[int, bytes] = (-1, b"")

    def build(self, *, known_version: int) -> RoutingTable:
        """Return the current routing table.

        The configuration is left out if its version is `known_version`.
        """
        configuration = self._configuration()
        version = configuration.version if configuration else -1
        encoded = b""
        if configuration is not None and version != known_version:
            encoded = self._encode_configuration(configuration)
        return RoutingTable(
            config_version=version,
            config=encoded,
            groups=tuple(self.live_statuses()),
            services=tuple(self._service_statuses()),
            nodes_alive=max(1, self._entry_vm_count()),
            condemned=self._quarantined_fingerprints(),
        )

    def live_statuses(self) -> Iterable[GroupStatus]:
        """Yield the current statuses of the groups.

        A status is left out if the log has dissolved the group or formed it anew
        since. A serving group that is draining or has a leaving member is yielded as
        draining.
        """
        draining = self._draining()
        leaving_vms = self._leaving_vms()
        for status in self._status_cache.statuses():
            owner = self._groups_fold.groups.get(GroupId(status.group))
            if owner is None and status.token <= self._groups_fold.offset:
                # The group is dissolved; a late status must not restore it.
                continue
            if owner is not None and owner.token > status.token:
                continue
            is_draining = status.group in draining or leaving_vms.intersection(
                status.members
            )
            if is_draining and status.phase == _SERVING:
                status = msgspec.structs.replace(status, phase=_DRAINING)
            yield status

    def _leaving_vms(self) -> frozenset[VmId]:
        return frozenset(e.vm for e in self._directory.entries if e.leaving)

    def _service_statuses(self) -> Iterable[ServiceStatus]:
        for entry in self._directory.entries_with_role(VmRole.SERVICE):
            yield ServiceStatus(
                service=entry.service,
                vm=entry.vm,
                zone=entry.zone,
                address=entry.address,
                leaving=entry.leaving or entry.vm in self._groups_fold.drained,
            )

    def _encode_configuration(self, configuration: Configuration) -> bytes:
        if self._encoded_configuration[0] != configuration.version:
            encoded = msgspec.json.encode(configuration)
            self._encoded_configuration = (configuration.version, encoded)
        return self._encoded_configuration[1]
