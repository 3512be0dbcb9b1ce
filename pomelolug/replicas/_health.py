"""Which servers answer, from reports asked for on suspicion."""

import asyncio
from collections.abc import Iterable

import structlog

from pomelolug.clock import Clock
from pomelolug.deployment import BackendServer, ServerControl, ServerReport
from pomelolug.ids import VmId

__all__ = ["ServerHealth"]

_log = structlog.get_logger(__name__)

_PROBE_GAP_S = 0.25
_MISSES = 2
"""Reports without an answer after which a server counts as lost."""
_MISSES_OF_SUSPECT = 1
"""The same for the members of a group whose streams stand still."""
_FORGET_S = 30.0


class ServerHealth:
    """Servers that do not answer, and the reports of those that do.

    Parameters
    ----------
    control : ServerControl
        Asks for reports.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, *, control: ServerControl, clock: Clock) -> None:
        self._control = control
        self._clock = clock
        self._misses: dict[VmId, int] = {}
        self._lost: set[VmId] = set()
        self._asked_at: dict[VmId, float] = {}
        self._reports: dict[VmId, tuple[float, ServerReport]] = {}
        self._begun: dict[tuple[VmId, int], int] = {}

    def lost(self, vm: VmId) -> bool:
        """Return whether a server has missed enough reports in a row."""
        return vm in self._lost

    def report(self, vm: VmId, *, newest_s: float) -> ServerReport | None:
        """Return a report that is at most `newest_s` seconds old."""
        entry = self._reports.get(vm)
        if entry is None or self._clock.monotonic() - entry[0] > newest_s:
            return None
        return entry[1]

    def orders_begun(self, server: BackendServer) -> int | None:
        """Return the orders that a server has begun, None if a report is needed."""
        return self._begun.get((server.vm, server.start_time_ms))

    def order_begun(self, server: BackendServer) -> None:
        """Count an order that the server accepted."""
        key = (server.vm, server.start_time_ms)
        if key in self._begun:
            self._begun[key] += 1

    def forget_orders(self, server: BackendServer) -> None:
        """Ask for a new report before the next order."""
        self._begun.pop((server.vm, server.start_time_ms), None)

    def forget_all_orders(self) -> None:
        """Ask for new reports of all servers before their next orders."""
        self._begun.clear()

    def seen(self, vm: VmId) -> None:
        """Note a sign of life from elsewhere."""
        self._answered(vm)

    async def probe(
        self, servers: Iterable[BackendServer], *, suspect: bool = False
    ) -> None:
        """Ask servers for their reports, each at most every 250 ms.

        One report without an answer is enough where other evidence makes the
        servers suspect.
        """
        misses = _MISSES_OF_SUSPECT if suspect else _MISSES
        now = self._clock.monotonic()
        due = [
            s for s in servers if now - self._asked_at.get(s.vm, -9.0) >= _PROBE_GAP_S
        ]
        for server in due:
            self._asked_at[server.vm] = now
        await asyncio.gather(*(self._probe(server, misses) for server in due))

    def forget_old(self) -> None:
        """Drop what was learned long ago."""
        oldest = self._clock.monotonic() - _FORGET_S
        for vm in [vm for vm, at in self._asked_at.items() if at < oldest]:
            self._asked_at.pop(vm, None)
            self._answered(vm)
            self._reports.pop(vm, None)

    def _answered(self, vm: VmId) -> None:
        self._misses.pop(vm, None)
        if vm in self._lost:
            self._lost.discard(vm)
            _log.info("server_regained", server=vm)

    async def _probe(self, server: BackendServer, misses: int) -> None:
        report = await self._control.report(server)
        if report is None:
            self._begun.pop((server.vm, server.start_time_ms), None)
            missed = self._misses[server.vm] = self._misses.get(server.vm, 0) + 1
            if missed >= misses and server.vm not in self._lost:
                self._lost.add(server.vm)
                _log.info("server_lost", server=server.vm, misses=missed, needed=misses)
            return
        self._answered(server.vm)
        self._reports[server.vm] = (self._clock.monotonic(), report)
        if report.start_time_ms == server.start_time_ms:
            # A report is some hundred milliseconds old, so it may lack the last
            # orders, and a known count is only raised.
            key = (server.vm, server.start_time_ms)
            self._begun[key] = max(self._begun.get(key, 0), report.orders_begun)
