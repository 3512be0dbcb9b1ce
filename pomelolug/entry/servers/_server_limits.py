"""Limits that backend servers set on the requests that they take per second.

A server under load names its limit in its responses. The limit holds for all nodes
together, until a response without one. Nodes tell each other what servers stated, since
a node that sends little to a server hears little from it.
"""

import dataclasses
from collections.abc import Callable, Collection, Mapping

import structlog

from pomelolug.clock import Clock
from pomelolug.entry.servers._request_bound import (
    BoundKind,
    BoundSource,
    RequestBound,
)
from pomelolug.entry.servers._shared_statements import SharedStatements
from pomelolug.ids import VmId, ZoneId
from pomelolug.messages import LimitReport, NodeStatus

__all__ = ["ServerLimits"]

_log = structlog.get_logger(__name__)

_LIFETIME_S = 30.0
"""Age at which a statement is forgotten.

A server that gets requests confirms its limit more often.
"""
_MAX_REPORTS = 8
"""Maximum number of servers in each field of a status."""
_WINDOW_S = 4.0
_EXCESS_FACTOR = 0.5
_EXCESS_REQUESTS = 5.0
"""Excess that the users accept: in any `_WINDOW_S`, `_EXCESS_FACTOR` times the requests
that the limit allows, and `_EXCESS_REQUESTS` more."""
_MIN_RATE_PER_S = 0.1
"""Least rate at which a server is asked, so that the end of its limit is noticed."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Statement:
    """What a server stated in a response.

    `rate_per_s` is None if it no longer limits requests; `at_s` is the monotonic time
    of the response.
    """

    rate_per_s: float | None
    at_s: float


class ServerLimits(BoundSource):
    """Latest limit of each server, as stated to this node or to others.

    Parameters
    ----------
    zone : ZoneId
        Zone of this node.
    clock : Clock
        Source of monotonic time.
    on_news : callable
        Called when a response to this node sets or ends a limit.
    """

    def __init__(
        self, *, zone: ZoneId, clock: Clock, on_news: Callable[[], None]
    ) -> None:
        self._clock = clock
        self._on_news = on_news
        self._statements: SharedStatements[_Statement] = SharedStatements(
            zone=zone, supersedes=lambda new, known: new.at_s > known.at_s
        )
        # Monotonic times at which servers were seen to have started again.
        self._restarted_at_s: dict[VmId, float] = {}

    @property
    def kind(self) -> BoundKind:
        """Kind of the bounds."""
        return BoundKind.LIMIT

    def find_bound(self, vm: VmId) -> RequestBound | None:
        """Return the bound of a server, None if it does not limit its requests."""
        rate_per_s = self.rate_per_s(vm)
        if rate_per_s is None:
            return None
        rate_per_s = max(rate_per_s, _MIN_RATE_PER_S)
        accepted = (1.0 + _EXCESS_FACTOR) * rate_per_s * _WINDOW_S + _EXCESS_REQUESTS
        return RequestBound(
            BoundKind.LIMIT,
            rate_per_s,
            _WINDOW_S,
            accepted,
            uses_registered_nodes=False,
        )

    def remaining_s(self, vm: VmId) -> float:
        """Return infinity: a limit holds until a response without one."""
        return float("inf")

    def bounded_servers(self) -> Collection[VmId]:
        """Return the servers that limit their requests."""
        return self.limited_servers().keys()

    def record_restart(self, vm: VmId) -> None:
        """Forget what a server stated before it started again."""
        was_limited = self.rate_per_s(vm) is not None
        self._restarted_at_s[vm] = self._clock.monotonic()
        for table in self._statements.tables:
            table.pop(vm, None)
        if was_limited:
            _log.info("server_limit_ended", server=vm, source="restart")

    def rate_per_s(self, vm: VmId) -> float | None:
        """Return the requests per second that a server takes, None if unlimited."""
        latest = self._statements.find(vm)
        return latest.rate_per_s if latest is not None else None

    def limited_servers(self) -> dict[VmId, float]:
        """Return the requests per second of each server that limits them."""
        rates = {vm: self.rate_per_s(vm) for vm in self._statements.servers()}
        return {vm: rate for vm, rate in rates.items() if rate is not None}

    def record_response(
        self, vm: VmId, rate_per_s: float | None, *, sent_at_s: float
    ) -> None:
        """Record the limit named in a response, None if it names none.

        Parameters
        ----------
        vm : VmId
            Server that responded.
        rate_per_s : float or None
            Limit in requests per second.
        sent_at_s : float
            Monotonic time at which the request was sent. A response without a limit
            may overtake one that names it, so it counts only if its request was sent
            after the limit was known.
        """
        known = self._statements.find(vm)
        was_limited = known is not None and known.rate_per_s is not None
        if rate_per_s is None and (
            known is None or not was_limited or sent_at_s < known.at_s
        ):
            return
        statement = _Statement(rate_per_s, self._clock.monotonic())
        self._update(self._statements.own, vm, statement, source="own")
        if was_limited != (rate_per_s is not None):
            self._on_news()

    def merge(self, status: NodeStatus) -> None:
        """Apply what a peer reports; older statements change nothing."""
        for table, reports in self._statements.reports_by_table(
            status,
            own=status.limits,
            zone_wide=status.zone_limits,
            other=status.other_limits,
        ):
            self._merge_reports(table, reports, status.node)

    def own_reports(self) -> dict[str, LimitReport]:
        """Return what servers stated to this node."""
        return self._reports(self._statements.own)

    def zone_reports(self) -> dict[str, LimitReport]:
        """Return what servers stated to the nodes of this zone."""
        return self._reports(self._statements.zone_view())

    def other_zone_reports(self) -> dict[str, LimitReport]:
        """Return what servers stated to the nodes of other zones."""
        return self._reports(self._statements.other_zones)

    def forget_expired(self) -> None:
        """Forget old statements, and log the limits that end with them."""
        oldest_s = self._clock.monotonic() - _LIFETIME_S
        for vm in [v for v, at_s in self._restarted_at_s.items() if at_s < oldest_s]:
            del self._restarted_at_s[vm]
        for table in self._statements.tables:
            for vm in [vm for vm, s in table.items() if s.at_s < oldest_s]:
                was_limited = self.rate_per_s(vm) is not None
                del table[vm]
                if was_limited and self.rate_per_s(vm) is None:
                    _log.info("server_limit_ended", server=vm, source="expired")

    def _merge_reports(
        self,
        table: dict[VmId, _Statement],
        reports: Mapping[str, LimitReport],
        source: str,
    ) -> None:
        now_s = self._clock.monotonic()
        for name, report in list(reports.items())[:_MAX_REPORTS]:
            if report.age_s >= _LIFETIME_S:
                continue
            vm = VmId(name)
            statement = _Statement(report.rate_per_s, now_s - report.age_s)
            restarted_at_s = self._restarted_at_s.get(vm, float("-inf"))
            if statement.at_s > restarted_at_s and self._statements.is_news(
                table, vm, statement
            ):
                self._update(table, vm, statement, source=source)

    def _update(
        self,
        table: dict[VmId, _Statement],
        vm: VmId,
        statement: _Statement,
        *,
        source: str,
    ) -> None:
        """Store a statement, and log if it sets or ends the limit of the server."""
        was_limited = self.rate_per_s(vm) is not None
        table[vm] = statement
        rate_per_s = self.rate_per_s(vm)
        if rate_per_s is not None and not was_limited:
            _log.info("server_limited", server=vm, rate_per_s=rate_per_s, source=source)
        elif rate_per_s is None and was_limited:
            _log.info("server_limit_ended", server=vm, source=source)

    def _reports(self, table: Mapping[VmId, _Statement]) -> dict[str, LimitReport]:
        """Return the latest statements with their ages, at most `_MAX_REPORTS`."""
        now_s = self._clock.monotonic()
        latest = sorted(table.items(), key=lambda item: -item[1].at_s)
        return {
            vm: LimitReport(rate_per_s=s.rate_per_s, age_s=round(now_s - s.at_s, 3))
            for vm, s in latest[:_MAX_REPORTS]
        }
