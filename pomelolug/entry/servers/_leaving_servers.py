"""Backend servers that have stated that they are about to leave.

A server states it in its responses, perhaps before its registry entry says so and also
while the store is away. It does not take the statement back, so that a statement holds
for one start of the server, whatever its entry says. Nodes tell each other, so that the
active controller replaces the server at once.
"""

from collections.abc import Mapping

import structlog

from pomelolug.clock import Clock
from pomelolug.deployment import BackendServer
from pomelolug.ids import VmId
from pomelolug.messages import LeavingReport

__all__ = ["LeavingServers"]

_log = structlog.get_logger(__name__)

_RETENTION_S = 300.0
"""Age at which a statement is forgotten; a server that leaves has long gone by then."""
_REPORT_MAX_AGE_S = 30.0
"""Age up to which nodes tell each other, also those that have restarted meanwhile."""
_MAX_REPORTS = 8
"""Maximum number of servers in a status."""


class LeavingServers:
    """Servers that are about to leave, as they stated to this node or to others.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        # Latest start that is about to end, and the monotonic time of the statement.
        self._statements: dict[VmId, tuple[int, float]] = {}

    def is_leaving(self, server: BackendServer) -> bool:
        """Return whether a server has stated that it leaves, since its start."""
        statement = self._statements.get(server.vm)
        return statement is not None and server.start_time_ms <= statement[0]

    def record(self, server: BackendServer) -> bool:
        """Record the statement of a server; return whether it is news."""
        now_s = self._clock.monotonic()
        return self._update(server.vm, server.start_time_ms, now_s, source="own")

    def merge(self, reports: Mapping[str, LeavingReport], *, source: str) -> bool:
        """Add the statements that a peer reports; return whether one is news.

        The delay of the message is ignored, so a statement can appear later than it
        was but never earlier. Nodes that repeat each other's reports therefore do not
        renew them.
        """
        now_s = self._clock.monotonic()
        has_news = False
        for name, report in list(reports.items())[:_MAX_REPORTS]:
            if 0.0 <= report.age_s <= _REPORT_MAX_AGE_S:
                at_s = now_s - report.age_s
                has_news |= self._update(
                    VmId(name), report.start_time_ms, at_s, source=source
                )
        return has_news

    def reports(self) -> dict[str, LeavingReport]:
        """Return the latest statements, to share with other nodes."""
        now_s = self._clock.monotonic()
        latest = sorted(self._statements.items(), key=lambda item: -item[1][1])
        return {
            vm: LeavingReport(start_time_ms=start, age_s=round(now_s - at_s, 3))
            for vm, (start, at_s) in latest[:_MAX_REPORTS]
            if now_s - at_s <= _REPORT_MAX_AGE_S
        }

    def forget_expired(self) -> None:
        """Forget old statements."""
        oldest_s = self._clock.monotonic() - _RETENTION_S
        for vm in [vm for vm, (_, at_s) in self._statements.items() if at_s < oldest_s]:
            del self._statements[vm]

    def _update(
        self, vm: VmId, start_time_ms: int, at_s: float, *, source: str
    ) -> bool:
        known = self._statements.get(vm)
        if known is not None and known[0] >= start_time_ms:
            if known[0] == start_time_ms and at_s < known[1]:
                self._statements[vm] = (start_time_ms, at_s)
            return False
        self._statements[vm] = (start_time_ms, at_s)
        _log.info("server_leaving", server=vm, source=source)
        return True
