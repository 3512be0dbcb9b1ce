"""Consumers of the topics of the declaration and of the servers."""

import datetime
from collections.abc import Callable, Iterable

import structlog

from pomelolug.deployment import (
    BackendServer,
    Declaration,
    RegistryChange,
    ServerRegistry,
)
from pomelolug.entry.servers import EvacuatedZones, EvacuationChange
from pomelolug.errors import InvalidInputError
from pomelolug.feeds import Record, RecordBatch, compress
from pomelolug.ids import Offset, VmId
from pomelolug.platform import (
    KEY_DECLARATION,
    DeclarationDecoder,
    decode_evacuated_zone,
    decode_server,
)

__all__ = ["DeclarationCache", "EvacuationUpdater", "RegistryUpdater"]

_log = structlog.get_logger(__name__)

_MAX_UNREADABLE_LOGGED = 1000


class DeclarationCache:
    """Keeps the newest declaration, received from the store, a relay or a peer.

    An older version never replaces a newer one.

    Parameters
    ----------
    on_change : callable
        Called with each declaration that comes into force.
    """

    def __init__(self, *, on_change: Callable[[Declaration], None]) -> None:
        self._on_change = on_change
        self._current: Declaration | None = None
        self._encoded = b""
        self._compressed = b""
        self._decoder = DeclarationDecoder()

    @property
    def current(self) -> Declaration | None:
        """Declaration in force on this node, None before the first one."""
        return self._current

    @property
    def version(self) -> int:
        """Version of the declaration in force, -1 before the first one."""
        return self._current.version if self._current is not None else -1

    @property
    def encoded(self) -> bytes:
        """Encoded declaration in force, as sent to peers."""
        return self._encoded

    @property
    def compressed(self) -> bytes:
        """Encoded declaration in force, compressed."""
        if not self._compressed:
            self._compressed = compress(self._encoded)
        return self._compressed

    def apply_records(self, records: Iterable[Record]) -> None:
        """Apply the declarations among the records of the topic."""
        for record in records:
            if record.key == KEY_DECLARATION and record.value is not None:
                self.apply_if_newer(record.value, source="store")

    def apply_if_newer(self, data: bytes, *, source: str) -> None:
        """Decode a declaration and put it into force if its version is newer."""
        if data == self._encoded:
            return
        try:
            declaration = self._decoder.decode(data)
        except InvalidInputError as error:
            _log.error("declaration_refused", source=source, reason=str(error))
            return
        if declaration.version <= self.version:
            return
        _log.info(
            "declaration_in_force",
            version=declaration.version,
            previous=self.version,
            source=source,
            routes=len(declaration.routes),
        )
        self._current = declaration
        self._encoded = data
        self._compressed = b""
        self._on_change(declaration)


class EvacuationUpdater:
    """Applies the operator's orders to evacuate zones.

    Parameters
    ----------
    evacuated_zones : EvacuatedZones
        Zones to update.
    """

    def __init__(self, *, evacuated_zones: EvacuatedZones) -> None:
        self._evacuated_zones = evacuated_zones

    def apply_batch(self, batch: RecordBatch, is_snapshot: bool) -> None:
        """Apply the orders of one read; other records only move the offset."""
        changes = [
            EvacuationChange(record.offset, zone, record.value is not None)
            for record in batch.records
            if (zone := decode_evacuated_zone(record.key)) is not None
        ]
        self._evacuated_zones.apply(
            changes, read_up_to=batch.end, is_snapshot=is_snapshot
        )


class RegistryUpdater:
    """Applies the servers' entries to the registry.

    Parameters
    ----------
    registry : ServerRegistry
        Registry to update.
    shortest_lapse : datetime.timedelta
        Shortest time without the store in which the entry of a live server can lapse.
    on_change : callable
        Called with each change of the registry.
    on_entry : callable
        Called with each server whose entry was written, before `on_change`.
    """

    def __init__(
        self,
        *,
        registry: ServerRegistry,
        shortest_lapse: datetime.timedelta,
        on_change: Callable[[RegistryChange], None],
        on_entry: Callable[[BackendServer], None] = lambda server: None,
    ) -> None:
        self._registry = registry
        self._on_entry = on_entry
        self._shortest_lapse_s = shortest_lapse.total_seconds()
        self._on_change = on_change
        self._unreadable_vms: set[VmId] = set()

    def apply_records(self, records: Iterable[Record]) -> None:
        """Decode and apply server entries; a record without a value removes one."""
        entries: list[tuple[VmId, Offset, BackendServer | None]] = []
        for record in records:
            vm = VmId(record.key)
            if record.value is None:
                entries.append((vm, record.offset, None))
                continue
            server = decode_server(vm, record.value)
            if server is None:
                self._log_unreadable(vm)
            else:
                entries.append((vm, record.offset, server))
        self._publish(self._registry.apply(entries))

    def report_store_status(self, *, is_fresh: bool, age_s: float) -> None:
        """Tell the registry whether the store responds; if so, expire lapsed entries.

        A shorter silence of the store, or of the path to it, is left out: no live
        server can have lost its entry in it.

        Parameters
        ----------
        is_fresh : bool
            Whether records arrive without delay.
        age_s : float
            Seconds since the store last responded.
        """
        if is_fresh:
            self._registry.mark_store_available()
            self._publish(self._registry.expire())
        elif age_s >= self._shortest_lapse_s:
            self._registry.mark_store_unavailable()

    def _log_unreadable(self, vm: VmId) -> None:
        if (
            vm not in self._unreadable_vms
            and len(self._unreadable_vms) < _MAX_UNREADABLE_LOGGED
        ):
            self._unreadable_vms.add(vm)
            _log.warning("server_entry_unreadable", server=vm)

    def _publish(self, change: RegistryChange) -> None:
        for server in change.renewed:
            self._on_entry(server)
        for server in change.lapsed:
            _log.info("server_lapsed", server=server.vm, service=server.service)
        if not change:
            return
        if change.added:
            _log.info(
                "servers_found",
                added=len(change.added),
                known=len(self._registry.servers),
            )
        for server in change.removed:
            _log.info("server_gone", server=server.vm, service=server.service)
        self._on_change(change)
