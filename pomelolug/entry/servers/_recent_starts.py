"""Starts of backend servers that nodes tell each other.

The entry of a server that starts again under its id reaches some nodes late, while the
store or a path to it is away. What was known of the server before is void at once.
"""

from collections.abc import Mapping

from pomelolug.clock import Clock
from pomelolug.ids import VmId
from pomelolug.messages import StartReport

__all__ = ["RecentStarts"]

_REPORT_MAX_AGE_S = 30.0
"""Age up to which nodes tell each other of a start."""
_MAX_REPORTS = 16
"""Maximum number of servers in a status."""


class RecentStarts:
    """Servers that have started again lately, as this node or others have learned.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        # Latest start in Unix ms, and the monotonic time in s at which it was learned.
        self._starts: dict[VmId, tuple[int, float]] = {}

    def record(self, vm: VmId, start_time_ms: int, *, age_s: float = 0.0) -> None:
        """Record the start of a server that a node has learned of some seconds ago."""
        self._starts[vm] = (start_time_ms, self._clock.monotonic() - age_s)

    def reports(self) -> dict[str, StartReport]:
        """Return the latest starts, to share with other nodes."""
        now_s = self._clock.monotonic()
        latest = sorted(self._starts.items(), key=lambda item: -item[1][1])
        return {
            vm: StartReport(start_time_ms=start, age_s=round(now_s - at_s, 3))
            for vm, (start, at_s) in latest[:_MAX_REPORTS]
            if now_s - at_s <= _REPORT_MAX_AGE_S
        }

    def select_valid(
        self, reports: Mapping[str, StartReport]
    ) -> dict[VmId, StartReport]:
        """Return the reports of a peer that count.

        Nodes that repeat each other's reports do not renew them, since the age stays.
        """
        return {
            VmId(name): report
            for name, report in list(reports.items())[:_MAX_REPORTS]
            if 0.0 <= report.age_s <= _REPORT_MAX_AGE_S
        }

    def forget_expired(self) -> None:
        """Forget old starts."""
        oldest_s = self._clock.monotonic() - _REPORT_MAX_AGE_S
        for vm in [vm for vm, (_, at_s) in self._starts.items() if at_s < oldest_s]:
            del self._starts[vm]
