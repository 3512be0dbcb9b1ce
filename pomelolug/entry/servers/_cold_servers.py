"""Backend servers that are cold, and what they bear meanwhile.

A server is cold for some time after its start, and may become cold again. It bears
fewer requests per second then, which its service declares. It says for how long in its
entry, its report and its responses. Nodes tell each other, since the registry of a node
may be old.

The times are those of the monotonic clock from when this node heard of them, so
coldness ends late rather than early.
"""

import dataclasses
import datetime
import enum
from collections.abc import Callable, Collection, Mapping

import structlog

from pomelolug.clock import Clock
from pomelolug.deployment import BackendServer, ServerNotice, Service
from pomelolug.entry.servers._request_bound import (
    BoundKind,
    BoundSource,
    RequestBound,
)
from pomelolug.entry.servers._shared_statements import SharedStatements
from pomelolug.ids import ServiceName, VmId, ZoneId
from pomelolug.messages import ColdReport, NodeStatus

__all__ = ["ColdServers"]

_log = structlog.get_logger(__name__)

_COUNTING_S = 1.0
"""Window in which the rules count the requests that reach a cold server."""
_SENDING_DELAY_S = 0.3
"""Longest time from the counting of a request to its sending, while it connects.

Requests counted in a longer window than `_COUNTING_S` may arrive within it.
"""
_MAX_STATED_S = 60.0
"""Longest coldness taken from one statement; a server that is cold states it again."""
_CLOCK_TOLERANCE_S = 5.0
"""Difference between the wall clocks of two VMs that is allowed for."""
_RETENTION_S = 300.0
"""Time for which the start of a server that is gone is remembered.

Its entry may only have been missing while the store was away.
"""
_MAX_REPORTS = 16
"""Maximum number of servers in each field of a status."""
_MAX_INVALID_LOGGED = 1000


class _Source(enum.Enum):
    ENTRY = "entry"
    RESPONSE = "response"


@dataclasses.dataclass(frozen=True, slots=True)
class _Statement:
    """A server's start and the monotonic time until which it is cold since then."""

    start_time_ms: int
    until_s: float


@dataclasses.dataclass(slots=True)
class _Start:
    """Latest known start of a server.

    It is cold from `seen_at_s` for the time that its service declares, less `credit_s`.
    """

    service: ServiceName
    start_time_ms: int
    seen_at_s: float
    credit_s: float
    removed_at_s: float = float("inf")


def _supersedes(new: _Statement, known: _Statement) -> bool:
    return (new.start_time_ms, new.until_s) > (known.start_time_ms, known.until_s)


class ColdServers(BoundSource):
    """Which servers are cold, as they and other nodes state, and their bounds.

    Only servers count whose service declares what a cold server bears.

    Parameters
    ----------
    zone : ZoneId
        Zone of this node.
    clock : Clock
        Source of monotonic time, and of wall time for the age of a start.
    accepted_factor : float
        Requests that a cold server accepts in any second, as a multiple of the rate
        that its service declares.
    excess_requests : float
        Requests that it accepts in any second beyond that.
    on_news : callable
        Called when a server has told this node that it is cold.
    """

    def __init__(
        self,
        *,
        zone: ZoneId,
        clock: Clock,
        accepted_factor: float,
        excess_requests: float,
        on_news: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._accepted_factor = accepted_factor
        self._excess_requests = excess_requests
        self._on_news = on_news
        self._services: dict[ServiceName, Service] = {}
        self._bounds: dict[ServiceName, RequestBound] = {}
        self._starts: dict[VmId, _Start] = {}
        self._heard: dict[VmId, dict[_Source, _Statement]] = {}
        self._statements: SharedStatements[_Statement] = SharedStatements(
            zone=zone, supersedes=_supersedes
        )
        # Servers that may be cold; all others are not.
        self._candidates: set[VmId] = set()
        self._logged_cold: set[VmId] = set()
        self._invalid: set[VmId] = set()
        self._has_read_entries = False

    @property
    def kind(self) -> BoundKind:
        """Kind of the bounds."""
        return BoundKind.COLD

    @property
    def has_services(self) -> bool:
        """Whether a service declares what its cold servers bear."""
        return bool(self._services)

    def set_services(self, services: Mapping[ServiceName, Service]) -> None:
        """Set the services, which declare what their cold servers bear."""
        self._services = {
            name: service
            for name, service in services.items()
            if service.cold_requests_per_s > 0.0
        }
        self._bounds = {
            name: self._make_bound(service.cold_requests_per_s)
            for name, service in self._services.items()
        }
        self._candidates.update(self._starts)

    def finish_first_reading(self) -> None:
        """Note that all entries that were there at the start of this node are read.

        A server whose entry appears from now on has just started.
        """
        self._has_read_entries = True

    def find_bound(self, vm: VmId) -> RequestBound | None:
        """Return the bound of a server, None if it is not cold."""
        if vm not in self._candidates or not self.remaining_s(vm):
            return None
        return self._bounds[self._starts[vm].service]

    def remaining_s(self, vm: VmId) -> float:
        """Return for how many seconds a server stays cold, 0 if it is not cold."""
        start = self._starts.get(vm)
        if start is None:
            return 0.0
        service = self._services.get(start.service)
        if service is None:
            return 0.0
        until_s = self._cold_from_start_until_s(start, service)
        for statement in self._statements.find_all(vm):
            if statement.start_time_ms >= start.start_time_ms:
                until_s = max(until_s, statement.until_s)
        return max(until_s - self._clock.monotonic(), 0.0)

    def bounded_servers(self) -> Collection[VmId]:
        """Return the servers that are cold."""
        return {vm for vm in self._candidates if self.remaining_s(vm)}

    def record_entry(self, server: BackendServer) -> bool:
        """Record the entry of a server; return whether the server has started again."""
        if server.has_invalid_cold_time:
            self._log_invalid(server.vm, _Source.ENTRY)
        known = self._starts.get(server.vm)
        if known is not None and server.start_time_ms < known.start_time_ms:
            # An older copy of the store, or a start known from a report.
            return False
        was_cold = bool(self.remaining_s(server.vm))
        is_new = known is None or server.start_time_ms > known.start_time_ms
        if is_new:
            self._record_start(
                server.vm,
                server.service,
                server.start_time_ms,
                credit_s=self._start_credit_s(server),
            )
        else:
            assert known is not None
            known.service = server.service
            known.removed_at_s = float("inf")
        if server.cold_for is not None:
            self._hear(server.vm, _Source.ENTRY, server.start_time_ms, server.cold_for)
        self._log_change(server.vm, was_cold=was_cold, source=_Source.ENTRY.value)
        return is_new and known is not None

    def find_start(self, vm: VmId) -> tuple[int, float] | None:
        """Return a server's latest known start, and when this node learned of it.

        The start is in milliseconds of Unix time, the other in monotonic seconds.
        """
        start = self._starts.get(vm)
        return (start.start_time_ms, start.seen_at_s) if start is not None else None

    def record_removal(self, vm: VmId) -> None:
        """Record that the entry of a server has been removed."""
        start = self._starts.get(vm)
        if start is not None:
            start.removed_at_s = self._clock.monotonic()

    def record_notice(self, server: BackendServer, notice: ServerNotice) -> bool:
        """Record a server's own words; return whether it has started again.

        Its report may show a start that its entry does not show yet.
        """
        if notice.has_invalid_cold_time:
            self._log_invalid(server.vm, _Source.RESPONSE)
        known = self._starts.get(server.vm)
        start_time_ms = max(server.start_time_ms, notice.start_time_ms)
        if known is not None and start_time_ms < known.start_time_ms:
            # A late response of the start before says nothing about this one.
            return False
        is_new = known is not None and start_time_ms > known.start_time_ms
        if not is_new and notice.cold_for is None:
            return False
        was_cold = bool(self.remaining_s(server.vm))
        if is_new:
            self._record_start(server.vm, server.service, start_time_ms, credit_s=0.0)
        if notice.cold_for is not None:
            self._hear(server.vm, _Source.RESPONSE, start_time_ms, notice.cold_for)
        if self._log_change(
            server.vm, was_cold=was_cold, source=_Source.RESPONSE.value
        ):
            self._on_news()
        return is_new

    def record_reported_start(
        self, vm: VmId, start_time_ms: int, *, source: str
    ) -> bool:
        """Record a start that a peer reports; return whether the server is known.

        A start that is not later than the known one changes nothing.
        """
        known = self._starts.get(vm)
        if known is None or start_time_ms <= known.start_time_ms:
            return False
        was_cold = bool(self.remaining_s(vm))
        self._record_start(vm, known.service, start_time_ms, credit_s=0.0)
        self._log_change(vm, was_cold=was_cold, source=source)
        return True

    def merge(self, status: NodeStatus) -> None:
        """Apply what a peer reports; it never shortens what is known."""
        now_s = self._clock.monotonic()
        for table, reports in self._statements.reports_by_table(
            status,
            own=status.cold,
            zone_wide=status.zone_cold,
            other=status.other_cold,
        ):
            for name, report in list(reports.items())[:_MAX_REPORTS]:
                if not report.remaining_s > 0.0:
                    continue
                vm = VmId(name)
                until_s = now_s + min(report.remaining_s, _MAX_STATED_S)
                statement = _Statement(report.start_time_ms, until_s)
                if self._statements.is_news(table, vm, statement):
                    was_cold = bool(self.remaining_s(vm))
                    table[vm] = statement
                    self._candidates.add(vm)
                    self._log_change(vm, was_cold=was_cold, source=status.node)

    def own_reports(self) -> dict[str, ColdReport]:
        """Return which servers this node knows to be cold first-hand."""
        return self._reports(self._first_hand())

    def zone_reports(self) -> dict[str, ColdReport]:
        """Return which servers are cold, as the nodes of this zone know first-hand."""
        view = dict(self._statements.zone_peers)
        for vm, statement in self._first_hand().items():
            if self._statements.is_news(view, vm, statement):
                view[vm] = statement
        return self._reports(view)

    def other_zone_reports(self) -> dict[str, ColdReport]:
        """Return which servers are cold, as the nodes of other zones know."""
        return self._reports(self._statements.other_zones)

    def forget_expired(self) -> None:
        """Forget coldness that has ended, and servers that have long been gone."""
        now_s = self._clock.monotonic()
        for table in self._statements.tables:
            for vm in [vm for vm, s in table.items() if s.until_s <= now_s]:
                del table[vm]
        for vm in [vm for vm in self._heard if vm not in self._statements.own]:
            del self._heard[vm]
        for vm in [vm for vm in self._logged_cold if not self.remaining_s(vm)]:
            self._logged_cold.discard(vm)
            _log.info("server_warm", server=vm)
        self._candidates = {
            vm
            for vm in self._candidates
            if self.remaining_s(vm) or any(True for _ in self._statements.find_all(vm))
        }
        for vm in [
            vm
            for vm, start in self._starts.items()
            if now_s - start.removed_at_s > _RETENTION_S
        ]:
            del self._starts[vm]

    def _make_bound(self, cold_per_s: float) -> RequestBound:
        accepted = cold_per_s * self._accepted_factor + self._excess_requests
        return RequestBound(
            BoundKind.COLD,
            cold_per_s,
            _COUNTING_S + _SENDING_DELAY_S,
            accepted * _COUNTING_S,
            uses_registered_nodes=True,
        )

    def _cold_from_start_until_s(self, start: _Start, service: Service) -> float:
        cold_s = service.cold_time.total_seconds()
        return start.seen_at_s + cold_s - max(start.credit_s, 0.0)

    def _start_credit_s(self, server: BackendServer) -> float:
        """Return how long a server whose start is new to this node has been cold.

        Servers may have run for long when a node starts. Their entries tell then, or
        the wall clocks, which may differ.
        """
        if not self._has_read_entries:
            if server.cold_for is not None or not server.start_time_ms:
                return float("inf")
            age_s = self._clock.now().timestamp() - server.start_time_ms / 1000.0
            return max(age_s - _CLOCK_TOLERANCE_S, 0.0)
        return 0.0

    def _record_start(
        self, vm: VmId, service: ServiceName, start_time_ms: int, *, credit_s: float
    ) -> None:
        self._starts[vm] = _Start(
            service, start_time_ms, self._clock.monotonic(), credit_s
        )
        self._heard.pop(vm, None)
        self._statements.own.pop(vm, None)
        self._candidates.add(vm)

    def _hear(
        self,
        vm: VmId,
        source: _Source,
        start_time_ms: int,
        cold_for: datetime.timedelta,
    ) -> None:
        """Record a statement to this node, which replaces the source's last one.

        A server whose entry and responses differ is cold as long as one of them says.
        """
        stated_s = min(cold_for.total_seconds(), _MAX_STATED_S)
        until_s = self._clock.monotonic() + stated_s
        heard = self._heard.setdefault(vm, {})
        heard[source] = _Statement(start_time_ms, until_s)
        latest_start_ms = max(s.start_time_ms for s in heard.values())
        self._statements.own[vm] = _Statement(
            latest_start_ms,
            max(
                s.until_s for s in heard.values() if s.start_time_ms == latest_start_ms
            ),
        )
        self._candidates.add(vm)

    def _first_hand(self) -> dict[VmId, _Statement]:
        """Return until when servers are cold, as their starts and statements show."""
        now_s = self._clock.monotonic()
        statements = {}
        for vm in self._candidates:
            start = self._starts.get(vm)
            service = self._services.get(start.service) if start is not None else None
            if start is None or service is None:
                continue
            until_s = self._cold_from_start_until_s(start, service)
            own = self._statements.own.get(vm)
            if own is not None and own.start_time_ms >= start.start_time_ms:
                until_s = max(until_s, own.until_s)
            if until_s > now_s:
                statements[vm] = _Statement(start.start_time_ms, until_s)
        return statements

    def _reports(self, statements: Mapping[VmId, _Statement]) -> dict[str, ColdReport]:
        """Return the statements that hold longest, at most `_MAX_REPORTS`."""
        now_s = self._clock.monotonic()
        longest = sorted(statements.items(), key=lambda item: -item[1].until_s)
        return {
            vm: ColdReport(
                start_time_ms=s.start_time_ms, remaining_s=round(s.until_s - now_s, 3)
            )
            for vm, s in longest[:_MAX_REPORTS]
            if s.until_s > now_s
        }

    def _log_change(self, vm: VmId, *, was_cold: bool, source: str) -> bool:
        """Log if a server has become cold; return whether it has."""
        remaining_s = self.remaining_s(vm)
        if was_cold or not remaining_s:
            return False
        self._logged_cold.add(vm)
        _log.info(
            "server_cold", server=vm, remaining_s=round(remaining_s, 3), source=source
        )
        return True

    def _log_invalid(self, vm: VmId, source: _Source) -> None:
        if vm not in self._invalid and len(self._invalid) < _MAX_INVALID_LOGGED:
            self._invalid.add(vm)
            _log.warning("server_cold_time_ignored", server=vm, source=source.value)
