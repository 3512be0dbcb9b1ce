"""Limits that backend servers set on the requests that they take per second.

A server under load names its limit in its responses. The limit holds for all nodes
together, until a response without one. Nodes tell each other what servers stated, since
a node that sends little to a server hears little from it.
"""

import dataclasses
from collections.abc import Callable, Mapping

import structlog

from pomelolug.clock import Clock
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


@dataclasses.dataclass(frozen=True, slots=True)
class _Statement:
    """What a server stated in a response.

    `rate_per_s` is None if it no longer limits requests; `at_s` is the monotonic time
    of the response.
    """

    rate_per_s: float | None
    at_s: float


class ServerLimits:
    """Latest limit of each server, as stated to this node or to others.

    What this node, other nodes of its zone and other zones were told is kept apart,
    and only first-hand statements are forwarded. Otherwise two nodes would renew each
    other's statements forever.

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
        self._zone = zone
        self._clock = clock
        self._on_news = on_news
        self._own: dict[VmId, _Statement] = {}
        self._zone_peers: dict[VmId, _Statement] = {}
        self._other_zones: dict[VmId, _Statement] = {}

    def rate_per_s(self, vm: VmId) -> float | None:
        """Return the requests per second that a server takes, None if unlimited."""
        latest = self._latest_statement(vm)
        return latest.rate_per_s if latest is not None else None

    def limited_servers(self) -> dict[VmId, float]:
        """Return the requests per second of each server that limits them."""
        servers = {*self._own, *self._zone_peers, *self._other_zones}
        rates = {vm: self.rate_per_s(vm) for vm in servers}
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
        known = self._latest_statement(vm)
        was_limited = known is not None and known.rate_per_s is not None
        if rate_per_s is None and (
            known is None or not was_limited or sent_at_s < known.at_s
        ):
            return
        statement = _Statement(rate_per_s, self._clock.monotonic())
        self._update(self._own, vm, statement, source="own")
        if was_limited != (rate_per_s is not None):
            self._on_news()

    def merge(self, status: NodeStatus) -> None:
        """Apply what a peer reports; older statements change nothing."""
        if status.zone == self._zone:
            self._merge_reports(self._zone_peers, status.limits, status.node)
            if status.relay:
                self._merge_reports(self._other_zones, status.other_limits, status.node)
        elif status.relay:
            self._merge_reports(self._other_zones, status.zone_limits, status.node)

    def own_reports(self) -> dict[str, LimitReport]:
        """Return what servers stated to this node."""
        return self._reports(self._own)

    def zone_reports(self) -> dict[str, LimitReport]:
        """Return what servers stated to the nodes of this zone."""
        latest = dict(self._zone_peers)
        for vm, statement in self._own.items():
            known = latest.get(vm)
            if known is None or known.at_s < statement.at_s:
                latest[vm] = statement
        return self._reports(latest)

    def other_zone_reports(self) -> dict[str, LimitReport]:
        """Return what servers stated to the nodes of other zones."""
        return self._reports(self._other_zones)

    def forget_expired(self) -> None:
        """Forget old statements, and log the limits that end with them."""
        oldest_s = self._clock.monotonic() - _LIFETIME_S
        for table in (self._own, self._zone_peers, self._other_zones):
            for vm in [vm for vm, s in table.items() if s.at_s < oldest_s]:
                was_limited = self.rate_per_s(vm) is not None
                del table[vm]
                if was_limited and self.rate_per_s(vm) is None:
                    _log.info("server_limit_ended", server=vm, source="expired")

    def _latest_statement(self, vm: VmId) -> _Statement | None:
        latest = None
        for table in (self._own, self._zone_peers, self._other_zones):
            statement = table.get(vm)
            if statement and (latest is None or latest.at_s < statement.at_s):
                latest = statement
        return latest

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
            known = table.get(vm)
            if known is None or known.at_s < statement.at_s:
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
