"""Routing tables for the gateways."""

from collections.abc import Callable, Iterable

import msgspec

from pomelolug.clock import Clock
from pomelolug.configuration import Configuration
from pomelolug.control._directory import DirectoryPoller
from pomelolug.control._statuses import StatusBoard
from pomelolug.groups import GroupPhase, GroupsFold
from pomelolug.ids import GroupId, VmId
from pomelolug.infrastructure import VmRole
from pomelolug.messages import GroupStatus, RoutingTable, ServiceStatus

__all__ = ["TableBuilder"]

_DRAINING = GroupPhase.DRAINING.value
_SERVING = GroupPhase.SERVING.value


class TableBuilder:
    """Joins configuration, ownership and observation into routing tables.

    Parameters
    ----------
    fold : GroupsFold
        Ownership of VMs.
    board : StatusBoard
        Observed groups.
    directory : DirectoryPoller
        Leaving VMs and plain services.
    configuration : callable
        Returns the configuration in force, None before the first.
    draining : callable
        Returns the groups that are to get no new work.
    condemned : callable
        Returns the fingerprints of quarantined requests.
    gateways : callable
        Returns the number of live entry VMs.
    clock : Clock
        Time source.
    """

    def __init__(
        self,
        *,
        fold: GroupsFold,
        board: StatusBoard,
        directory: DirectoryPoller,
        configuration: Callable[[], Configuration | None],
        draining: Callable[[], frozenset[GroupId]],
        condemned: Callable[[], tuple[bytes, ...]],
        gateways: Callable[[], int],
        clock: Clock,
    ) -> None:
        self._fold = fold
        self._board = board
        self._directory = directory
        self._configuration = configuration
        self._draining = draining
        self._condemned = condemned
        self._gateways = gateways
        self._clock = clock
        self._encoded: tuple[int, bytes] = (-1, b"")

    def table(self, *, known_version: int) -> RoutingTable:
        """Return the table of now; without the configuration if it is known."""
        configuration = self._configuration()
        version = configuration.version if configuration else -1
        encoded = b""
        if configuration is not None and version != known_version:
            encoded = self._encode(configuration)
        return RoutingTable(
            config_version=version,
            config=encoded,
            groups=tuple(self.groups()),
            services=tuple(self._services()),
            nodes_alive=max(1, self._gateways()),
            condemned=self._condemned(),
        )

    def groups(self) -> Iterable[GroupStatus]:
        """Yield the groups that the fold knows as live, as they are now."""
        draining = self._draining()
        leaving = self._leaving()
        for status in self._board.statuses():
            owner = self._fold.groups.get(GroupId(status.group))
            if owner is None and status.token <= self._fold.offset:
                # Dissolved: a late report must not bring the group back.
                continue
            if owner is not None and owner.token > status.token:
                continue
            stops = status.group in draining or leaving.intersection(status.members)
            if stops and status.phase == _SERVING:
                status = msgspec.structs.replace(status, phase=_DRAINING)
            yield status

    def _leaving(self) -> frozenset[VmId]:
        return frozenset(e.vm for e in self._directory.entries if e.leaving)

    def _services(self) -> Iterable[ServiceStatus]:
        for entry in self._directory.with_role(VmRole.SERVICE):
            yield ServiceStatus(
                service=entry.service,
                vm=entry.vm,
                zone=entry.zone,
                address=entry.address,
                leaving=entry.leaving or entry.vm in self._fold.drained,
            )

    def _encode(self, configuration: Configuration) -> bytes:
        if self._encoded[0] != configuration.version:
            encoded = msgspec.json.encode(configuration)
            self._encoded = (configuration.version, encoded)
        return self._encoded[1]
