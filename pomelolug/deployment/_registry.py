"""Registry of the known servers, built from the records of the store."""

import dataclasses
from collections.abc import Iterable, Mapping

from pomelolug.clock import Clock
from pomelolug.deployment._servers import BackendServer
from pomelolug.ids import Offset, VmId

__all__ = ["RegistryChange", "ServerRegistry"]

STORE_RETURN_GRACE_S = 2.0
"""Grace period in seconds after the store becomes available again.

Live servers renew their lapsed entries within it; the documentation of the platform
states about two seconds.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class RegistryChange:
    """Servers that were added, changed or removed by one update.

    `lapsed` servers are kept although their entry was removed. `renewed` holds all
    servers whose entry was written, changed or not. `restarted` are the earlier
    descriptions of servers that have started again under their id.
    """

    added: tuple[BackendServer, ...] = ()
    changed: tuple[BackendServer, ...] = ()
    removed: tuple[BackendServer, ...] = ()
    lapsed: tuple[BackendServer, ...] = ()
    renewed: tuple[BackendServer, ...] = ()
    restarted: tuple[BackendServer, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.added or self.changed or self.removed)


class ServerRegistry:
    """The latest known description of each server.

    If an entry is removed while the store is unavailable, or within a grace
    period after it becomes available again, the server is marked as lapsed and
    kept until the grace period ends, because it could not renew its entry.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._servers: dict[VmId, BackendServer] = {}
        self._offsets: dict[VmId, int] = {}
        self._lapsed_at_s: dict[VmId, float] = {}
        self._store_unavailable = False
        self._store_returned_at_s: float | None = None

    @property
    def servers(self) -> Mapping[VmId, BackendServer]:
        """Known servers by VM id, including lapsed servers in their grace period."""
        return self._servers

    @property
    def lapsed_count(self) -> int:
        """Number of servers that are kept although their entry was removed."""
        return len(self._lapsed_at_s)

    def is_lapsed(self, vm: VmId) -> bool:
        """Return whether a server is kept although its entry was removed."""
        return vm in self._lapsed_at_s

    def mark_store_unavailable(self) -> None:
        """Record that the store does not respond."""
        self._store_unavailable = True

    def mark_store_available(self) -> None:
        """Record that the store responds; start the grace period after an outage."""
        if self._store_unavailable:
            self._store_unavailable = False
            self._store_returned_at_s = self._clock.monotonic()

    def apply(
        self, records: Iterable[tuple[VmId, Offset, BackendServer | None]]
    ) -> RegistryChange:
        """Apply records in order; a server of None removes the entry.

        Records at or below the offset last applied for the same server are ignored.
        """
        added: list[BackendServer] = []
        changed: list[BackendServer] = []
        removed: list[BackendServer] = []
        lapsed: list[BackendServer] = []
        renewed: list[BackendServer] = []
        restarted: list[BackendServer] = []
        for vm, offset, server in records:
            if offset <= self._offsets.get(vm, -1):
                continue
            self._offsets[vm] = offset
            previous = self._servers.get(vm)
            if server is None:
                if previous is not None:
                    (lapsed if self._remove_or_lapse(vm) else removed).append(previous)
                continue
            self._lapsed_at_s.pop(vm, None)
            self._servers[vm] = server
            renewed.append(server)
            if previous is None:
                added.append(server)
            elif previous != server:
                changed.append(server)
                if previous.start_time_ms != server.start_time_ms:
                    restarted.append(previous)
        return RegistryChange(
            tuple(added),
            tuple(changed),
            tuple(removed),
            tuple(lapsed),
            tuple(renewed),
            tuple(restarted),
        )

    def expire(self) -> RegistryChange:
        """Remove the lapsed servers once the grace period has ended."""
        if self._store_unavailable or not self._lapsed_at_s:
            return RegistryChange()
        now_s = self._clock.monotonic()
        returned_at_s = (
            self._store_returned_at_s
            if self._store_returned_at_s is not None
            else now_s
        )
        if now_s - returned_at_s < STORE_RETURN_GRACE_S:
            return RegistryChange()
        removed = [
            self._servers.pop(vm) for vm in self._lapsed_at_s if vm in self._servers
        ]
        self._lapsed_at_s.clear()
        return RegistryChange(removed=tuple(removed))

    def _remove_or_lapse(self, vm: VmId) -> bool:
        """Remove a known server unless it has only lapsed; return whether it has."""
        if self._is_in_grace():
            self._lapsed_at_s[vm] = self._clock.monotonic()
            return True
        del self._servers[vm]
        return False

    def _is_in_grace(self) -> bool:
        if self._store_unavailable:
            return True
        if self._store_returned_at_s is None:
            return False
        return (
            self._clock.monotonic() - self._store_returned_at_s < STORE_RETURN_GRACE_S
        )
