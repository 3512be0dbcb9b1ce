"""Pauses that backend servers have asked this node for.

A server that turns a request away may name a time for which it wants no requests from
the node. The time is one of this node alone, so it is not told to others.
"""

import dataclasses
import datetime
import random

import structlog

from pomelolug.clock import Clock
from pomelolug.deployment import BackendServer
from pomelolug.ids import VmId

__all__ = ["Pause", "ServerPauses"]

_log = structlog.get_logger(__name__)

_MAX_EXTENSION = 0.1
"""Largest random extension of a pause, as a fraction of it.

A server names the same time to many nodes, which should not return at once.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Pause:
    """Rest of a pause, and its whole length, in seconds."""

    left_s: float
    length_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    start_time_ms: int
    until_s: float
    length_s: float


class ServerPauses:
    """Servers that want no requests from this node for a while.

    The times are those of the monotonic clock, so a pause that goes on while the VM is
    suspended ends late rather than early.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    rng : random.Random
        Extends the pauses, so that nodes do not return to a server at once.
    """

    def __init__(self, *, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._entries: dict[VmId, _Entry] = {}

    def record(self, server: BackendServer, pause: datetime.timedelta) -> None:
        """Record a pause; one that ends earlier than the known one changes nothing.

        Nor does one of an earlier start, whose response was late.
        """
        entry = self._entries.get(server.vm)
        if entry is not None and entry.start_time_ms > server.start_time_ms:
            return
        length_s = pause.total_seconds()
        extension_s = self._rng.uniform(0.0, _MAX_EXTENSION * length_s)
        until_s = self._clock.monotonic() + length_s + extension_s
        known = self.find(server)
        if known is None:
            _log.info("server_paused", server=server.vm, pause_s=round(length_s, 3))
        elif until_s <= self._entries[server.vm].until_s:
            return
        self._entries[server.vm] = _Entry(server.start_time_ms, until_s, length_s)

    def find(self, server: BackendServer) -> Pause | None:
        """Return the pause of a server, None if it takes requests.

        A server that has restarted knows nothing of an earlier pause.
        """
        entry = self._entries.get(server.vm)
        if entry is None or server.start_time_ms > entry.start_time_ms:
            return None
        left_s = entry.until_s - self._clock.monotonic()
        return Pause(left_s, entry.length_s) if left_s > 0.0 else None

    def forget_ended(self) -> None:
        """Forget the pauses that have ended."""
        now_s = self._clock.monotonic()
        for vm in [vm for vm, e in self._entries.items() if e.until_s <= now_s]:
            del self._entries[vm]
