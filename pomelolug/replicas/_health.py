"""Detection of lost servers by probing suspect ones for reports."""

import asyncio
from collections.abc import Iterable

import structlog

from pomelolug.clock import Clock
from pomelolug.deployment import (
    BackendServer,
    ServerControl,
    ServerReport,
)
from pomelolug.ids import VmId
from pomelolug.replicas._group_view import GroupKey, group_key

__all__ = ["ServerHealth"]

_log = structlog.get_logger(__name__)

_PROBE_INTERVAL_S = 0.25
"""Least time between two probes of a server."""
_MISSES_UNTIL_LOST = 2
"""Consecutive unanswered probes after which a server counts as lost."""
_SUSPECT_MISSES_UNTIL_LOST = 1
"""The same for the members of a group whose streams have stalled."""
_RETENTION_S = 30.0
"""Time after the last probe of a server at which its data are dropped."""


class ServerHealth:
    """Lost servers, newest reports, and numbers of begun orders.

    Parameters
    ----------
    control : ServerControl
        Requests reports from servers.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, *, control: ServerControl, clock: Clock) -> None:
        self._control = control
        self._clock = clock
        self._misses: dict[VmId, int] = {}
        self._lost: set[VmId] = set()
        self._probed_at_s: dict[VmId, float] = {}
        self._reports: dict[VmId, tuple[float, ServerReport]] = {}
        self._orders_begun: dict[tuple[VmId, int], int] = {}
        # Group that a server reported together with its number of orders, as long as
        # no order has changed it since.
        self._reported_groups: dict[tuple[VmId, int], GroupKey | None] = {}

    def is_lost(self, vm: VmId) -> bool:
        """Return whether a server has missed enough consecutive probes."""
        return vm in self._lost

    def recent_report(self, vm: VmId, *, max_age_s: float) -> ServerReport | None:
        """Return a server's newest report if it is at most `max_age_s` old."""
        entry = self._reports.get(vm)
        if entry is None or self._clock.monotonic() - entry[0] > max_age_s:
            return None
        return entry[1]

    def reported_at_s(self, vm: VmId) -> float:
        """Return the monotonic time of a server's newest report, -inf if none."""
        entry = self._reports.get(vm)
        return float("-inf") if entry is None else entry[0]

    def has_restarted(self, server: BackendServer) -> bool:
        """Return whether a server has reported a later start than its entry shows."""
        entry = self._reports.get(server.vm)
        return entry is not None and entry[1].start_time_ms > server.start_time_ms

    def orders_begun(self, server: BackendServer) -> int | None:
        """Return how many orders a server has begun since its start.

        None if the number is unknown, so that a report is needed.
        """
        return self._orders_begun.get((server.vm, server.start_time_ms))

    def count_order(
        self, server: BackendServer, *, left: GroupKey | None = None
    ) -> None:
        """Count an order that a server has accepted.

        `left` is the group that it was ordered to leave, if it says that it is no
        member; it may be a member of another one.
        """
        key = (server.vm, server.start_time_ms)
        if left is None or self._reported_groups.get(key) == left:
            self._reported_groups.pop(key, None)
        if key in self._orders_begun:
            self._orders_begun[key] += 1

    def contradicts(self, server: BackendServer) -> bool:
        """Return whether a server reported another group than its entry shows.

        Its number of orders then does not belong to the entry, so an order that is
        based on the entry must not carry it.
        """
        key = (server.vm, server.start_time_ms)
        if key not in self._reported_groups:
            return False
        return self._reported_groups[key] != group_key(server.membership)

    def forget_order_count(self, server: BackendServer) -> None:
        """Discard a server's number of orders, so the next needs a new report."""
        self._forget_orders(server)

    def forget_all_order_counts(self) -> None:
        """Discard the numbers of orders of all servers."""
        self._orders_begun.clear()
        self._reported_groups.clear()

    def record_contact(self, vm: VmId) -> None:
        """Record evidence from another source that a server is alive."""
        self._clear_misses(vm)

    async def probe(
        self, servers: Iterable[BackendServer], *, are_suspect: bool = False
    ) -> None:
        """Request reports from servers, from each at most every 250 ms.

        Parameters
        ----------
        servers : iterable of BackendServer
            Servers to probe.
        are_suspect : bool
            Whether other evidence suggests that the servers are lost, so that one
            unanswered probe is enough.
        """
        misses_until_lost = (
            _SUSPECT_MISSES_UNTIL_LOST if are_suspect else _MISSES_UNTIL_LOST
        )
        now_s = self._clock.monotonic()
        due = [
            s
            for s in servers
            # The default precedes the start of any clock, so a first probe is due.
            if now_s - self._probed_at_s.get(s.vm, -9.0) >= _PROBE_INTERVAL_S
        ]
        for server in due:
            self._probed_at_s[server.vm] = now_s
        await asyncio.gather(
            *(self._probe(server, misses_until_lost) for server in due)
        )

    def drop_stale(self) -> None:
        """Drop the data of servers that have not been probed for 30 s."""
        oldest_s = self._clock.monotonic() - _RETENTION_S
        for vm in [vm for vm, at_s in self._probed_at_s.items() if at_s < oldest_s]:
            self._probed_at_s.pop(vm, None)
            self._clear_misses(vm)
            self._reports.pop(vm, None)

    def _clear_misses(self, vm: VmId) -> None:
        self._misses.pop(vm, None)
        if vm in self._lost:
            self._lost.discard(vm)
            _log.info("server_regained", server=vm)

    async def _probe(self, server: BackendServer, misses_until_lost: int) -> None:
        report = await self._control.report(server)
        if report is None:
            self._forget_orders(server)
            misses = self._misses[server.vm] = self._misses.get(server.vm, 0) + 1
            if misses >= misses_until_lost and server.vm not in self._lost:
                self._lost.add(server.vm)
                _log.info(
                    "server_lost",
                    server=server.vm,
                    misses=misses,
                    needed=misses_until_lost,
                )
            return
        self._clear_misses(server.vm)
        self._reports[server.vm] = (self._clock.monotonic(), report)
        if report.start_time_ms == server.start_time_ms:
            # A report is some hundred milliseconds old and may lack the latest
            # orders, so it never lowers a known number.
            key = (server.vm, server.start_time_ms)
            known = self._orders_begun.get(key)
            if known is None or report.orders_begun > known:
                self._orders_begun[key] = report.orders_begun
                self._reported_groups[key] = group_key(report.membership)

    def _forget_orders(self, server: BackendServer) -> None:
        key = (server.vm, server.start_time_ms)
        self._orders_begun.pop(key, None)
        self._reported_groups.pop(key, None)
