"""Declaration and servers, followed in the store."""

import datetime
from collections.abc import Callable

import structlog

from pomelolug.clock import Clock
from pomelolug.deployment import Declaration, RegistryChange, ServerRegistry
from pomelolug.errors import FindingsError, PlatformError
from pomelolug.ids import Offset, VmId
from pomelolug.platform import (
    KEY_DECLARATION,
    TOPIC_DECLARATION,
    TOPIC_SERVERS,
    HistoryLostError,
    MetadataStore,
    decode_declaration,
    decode_server,
)

__all__ = ["DeclarationFeed", "RegistryFeed"]

_log = structlog.get_logger(__name__)

_DECLARATION_WAIT = datetime.timedelta(seconds=2.5)
"""Longest wait of one read; bounds the time lost on a silent connection."""
_SERVERS_WAIT = datetime.timedelta(seconds=1.5)
"""The same for the servers; bounds the age of the list below that of draining."""
_COALESCE = datetime.timedelta(milliseconds=250)
"""Pause after a read, so that changes that come together cost one call."""
_COALESCE_ON_DUTY = datetime.timedelta(milliseconds=80)
"""The same on the node that forms groups, which acts on each change."""
_RETRY = datetime.timedelta(milliseconds=250)


class DeclarationFeed:
    """Newest declaration, from the store or from a peer.

    An older version never replaces a newer one.
    """

    def __init__(
        self,
        *,
        store: MetadataStore,
        clock: Clock,
        on_change: Callable[[Declaration], None],
    ) -> None:
        self._store = store
        self._clock = clock
        self._on_change = on_change
        self._current: Declaration | None = None
        self._raw = b""
        self._reachable = False

    @property
    def current(self) -> Declaration | None:
        """Declaration in force on this node, or None before the first one."""
        return self._current

    @property
    def version(self) -> int:
        """Version in force, -1 before the first one."""
        return self._current.version if self._current is not None else -1

    @property
    def raw(self) -> bytes:
        """Encoded declaration in force, for peers."""
        return self._raw

    @property
    def reachable(self) -> bool:
        """Whether the last read of the store succeeded."""
        return self._reachable

    def offer(self, data: bytes, *, source: str) -> None:
        """Put a declaration into force if it is newer."""
        try:
            declaration = decode_declaration(data)
        except FindingsError as error:
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
        self._raw = data
        self._on_change(declaration)

    async def run(self) -> None:
        """Follow the store until cancelled."""
        offset: Offset | None = None
        while True:
            try:
                offset = await self._follow(offset)
                self._note(True)
            except HistoryLostError:
                offset = None
            except PlatformError as error:
                self._note(False, str(error))
                await self._clock.sleep(_RETRY)

    async def _follow(self, offset: Offset | None) -> Offset:
        if offset is None:
            batch = await self._store.newest(TOPIC_DECLARATION)
        else:
            batch = await self._store.read(
                TOPIC_DECLARATION, offset, wait=_DECLARATION_WAIT
            )
        for _, key, value in batch.records:
            if key == KEY_DECLARATION and value is not None:
                self.offer(value, source="store")
        return batch.end

    def _note(self, reachable: bool, reason: str = "") -> None:
        if reachable != self._reachable:
            event = "store_regained" if reachable else "store_lost"
            _log.warning(event, reason=reason, version=self.version)
        self._reachable = reachable


class RegistryFeed:
    """Keeps the registry of servers up to date.

    The store adds a record only when more than the renewal count of an entry
    changes, so a waiting read returns at once on each change and costs little
    otherwise.
    """

    def __init__(
        self,
        *,
        store: MetadataStore,
        registry: ServerRegistry,
        clock: Clock,
        on_duty: Callable[[], bool],
        on_change: Callable[[RegistryChange], None],
    ) -> None:
        self._store = store
        self._registry = registry
        self._clock = clock
        self._on_duty = on_duty
        self._on_change = on_change
        self._unreadable: set[VmId] = set()
        self._read_at = float("-inf")

    @property
    def age_s(self) -> float:
        """Seconds since the last successful read ended."""
        return self._clock.monotonic() - self._read_at

    async def run(self) -> None:
        """Follow the store until cancelled."""
        offset: Offset | None = None
        while True:
            try:
                offset = await self._follow(offset)
                self._read_at = self._clock.monotonic()
                self._registry.store_answered()
                self._changed(self._registry.expire())
            except HistoryLostError:
                offset = None
                continue
            except PlatformError:
                self._registry.store_failed()
                await self._clock.sleep(_RETRY)
                continue
            on_duty = self._on_duty()
            await self._clock.sleep(_COALESCE_ON_DUTY if on_duty else _COALESCE)

    async def _follow(self, offset: Offset | None) -> Offset:
        if offset is None:
            batch = await self._store.newest(TOPIC_SERVERS)
        else:
            batch = await self._store.read(TOPIC_SERVERS, offset, wait=_SERVERS_WAIT)
        records = []
        for number, key, value in batch.records:
            vm = VmId(key)
            server = decode_server(vm, value) if value is not None else None
            if value is not None and server is None:
                self._note_unreadable(vm)
                continue
            records.append((vm, number, server))
        self._changed(self._registry.apply(records))
        return batch.end

    def _note_unreadable(self, vm: VmId) -> None:
        if vm not in self._unreadable and len(self._unreadable) < 1000:
            self._unreadable.add(vm)
            _log.warning("server_entry_unreadable", server=vm)

    def _changed(self, change: RegistryChange) -> None:
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
