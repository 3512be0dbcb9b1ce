"""Whether a server takes a request now, given what servers and the operator state.

A server may limit its requests per second, be cold, ask for a pause, or be about to
leave, and the operator may evacuate its zone. Every path to a server asks here before
it chooses one.
"""

import copy
import dataclasses
import enum
import random
from collections.abc import Callable, Iterable

import structlog

from pomelolug.clock import Clock
from pomelolug.deployment import BackendServer, ServerNotice, StatedAvailability
from pomelolug.entry.servers._cold_servers import ColdServers
from pomelolug.entry.servers._evacuations import EvacuatedZones
from pomelolug.entry.servers._leaving_servers import LeavingServers
from pomelolug.entry.servers._rate_limiter import RequestRateLimiter
from pomelolug.entry.servers._recent_starts import RecentStarts
from pomelolug.entry.servers._request_bound import BoundKind, RequestBound
from pomelolug.entry.servers._server_limits import ServerLimits
from pomelolug.entry.servers._server_pauses import Pause, ServerPauses
from pomelolug.ids import VmId
from pomelolug.messages import NodeStatus

__all__ = ["ServerNotices", "ServerOptions", "ServerWait", "WaitCause"]

_log = structlog.get_logger(__name__)

_LIMIT_RETURN_SPREAD = 0.3
"""Time over which callers return to a limited or cold server, as a fraction of the
wait."""
_PAUSE_RETURN_SPREAD = 0.5
"""The same after a pause, as a fraction of its length: callers collect during it."""
_EVACUATION_RETURN_SPREAD = 0.5
"""The same while all zones are evacuated: callers collect as during a pause."""


class WaitCause(enum.Enum):
    """Why a server takes no request now."""

    LIMIT = "limit"
    COLD = "cold"
    PAUSE = "pause"
    LEAVING = "leaving"
    EVACUATED = "evacuated"


_CAUSES = {BoundKind.LIMIT: WaitCause.LIMIT, BoundKind.COLD: WaitCause.COLD}


@dataclasses.dataclass(frozen=True, slots=True)
class ServerWait:
    """Time until a server takes a request.

    Parameters
    ----------
    cause : WaitCause
        Why it takes none now.
    wait_s : float
        Seconds until it takes one; infinite if it leaves.
    return_spread_s : float
        Seconds after that over which callers should return.
    """

    cause: WaitCause
    wait_s: float
    return_spread_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ServerOptions:
    """Servers that may get a request, as they stand at one moment.

    Parameters
    ----------
    accepting : list of BackendServer
        Those that take it.
    wait : ServerWait or None
        Wait for the first of them if none takes it; None also if all of them leave.
    """

    accepting: list[BackendServer]
    wait: ServerWait | None


_LEAVING_WAIT = ServerWait(WaitCause.LEAVING, float("inf"), 0.0)


class ServerNotices(StatedAvailability):
    """Statements of servers that decide whether they take requests.

    Parameters
    ----------
    limits : ServerLimits
        Limits that servers set on their requests.
    cold_servers : ColdServers
        Servers that are cold.
    rate_limiter : RequestRateLimiter
        Share of this node in what these servers accept.
    evacuated_zones : EvacuatedZones
        Zones whose servers get no requests.
    clock : Clock
        Source of monotonic time.
    rng : random.Random
        Spreads the ends of pauses.
    on_leaving : callable
        Called when a server turns out to leave.
    on_restart : callable
        Called with a server and the start, in milliseconds of Unix time, that this
        node has learned of before the entry of the server shows it.
    """

    def __init__(
        self,
        *,
        limits: ServerLimits,
        cold_servers: ColdServers,
        rate_limiter: RequestRateLimiter,
        evacuated_zones: EvacuatedZones,
        clock: Clock,
        rng: random.Random,
        on_leaving: Callable[[], None],
        on_restart: Callable[[VmId, int], None] = lambda vm, start_time_ms: None,
    ) -> None:
        self._limits = limits
        self._cold_servers = cold_servers
        self._rate_limiter = rate_limiter
        self._evacuated_zones = evacuated_zones
        self._leaving = LeavingServers(clock=clock)
        self._pauses = ServerPauses(clock=clock, rng=rng)
        self._recent_starts = RecentStarts(clock=clock)
        self._on_leaving = on_leaving
        self._on_restart = on_restart

    @property
    def limits(self) -> ServerLimits:
        """Limits that servers set on their requests."""
        return self._limits

    @property
    def cold_servers(self) -> ColdServers:
        """Servers that are cold."""
        return self._cold_servers

    @property
    def leaving(self) -> LeavingServers:
        """Servers that are about to leave."""
        return self._leaving

    @property
    def recent_starts(self) -> RecentStarts:
        """Servers that have started again lately."""
        return self._recent_starts

    @property
    def evacuated_zones(self) -> EvacuatedZones:
        """Zones whose servers get no requests."""
        return self._evacuated_zones

    def is_evacuated(self, server: BackendServer) -> bool:
        """Return whether the zone of a server is evacuated."""
        return self._evacuated_zones.contains(server.zone)

    def is_leaving(self, server: BackendServer) -> bool:
        """Return whether a server has stated that it is about to leave."""
        return self._leaving.is_leaving(server) and self._leaving.is_leaving(
            self._with_latest_start(server)
        )

    def is_paused(self, server: BackendServer) -> bool:
        """Return whether a server wants no requests from this node for a while."""
        return self._find_pause(server) is not None

    def is_cold(self, server: BackendServer) -> bool:
        """Return whether a server is cold and its service declares what it bears."""
        return self._cold_servers.find_bound(server.vm) is not None

    def accepts_request(self, server: BackendServer) -> bool:
        """Return whether a server takes a request of this node now."""
        return self.find_wait(server) is None

    def refusal_cause(self, server: BackendServer) -> WaitCause | None:
        """Return why a server that was chosen must not get the request any more.

        Limits and coldness are left out, since `confirm_request` counts towards them.
        """
        if self.is_leaving(server):
            return WaitCause.LEAVING
        if self.is_evacuated(server):
            return WaitCause.EVACUATED
        return WaitCause.PAUSE if self.is_paused(server) else None

    def find_wait(self, server: BackendServer) -> ServerWait | None:
        """Return how long a server takes no request, None if it takes one now."""
        if self.is_leaving(server):
            return _LEAVING_WAIT
        if self.is_evacuated(server):
            return self._evacuation_wait(server)
        bound_wait = self._rate_limiter.find_wait(server.vm)
        bound_wait_s = bound_wait[1] if bound_wait is not None else 0.0
        pause = self._find_pause(server)
        if pause is not None and pause.left_s >= bound_wait_s:
            return _pause_wait(pause)
        return _bound_wait(*bound_wait) if bound_wait is not None else None

    def find_waits(self, server: BackendServer) -> list[ServerWait]:
        """Return everything that keeps requests from a server now.

        The wait of `find_wait` is one of them.
        """
        waits = []
        if self.is_leaving(server):
            waits.append(_LEAVING_WAIT)
        if self.is_evacuated(server):
            waits.append(self._evacuation_wait(server))
        pause = self._find_pause(server)
        if pause is not None:
            waits.append(_pause_wait(pause))
        waits += [
            _bound_wait(*bound) for bound in self._rate_limiter.find_waits(server.vm)
        ]
        return waits

    def find_bounds(self, server: BackendServer) -> dict[WaitCause, RequestBound]:
        """Return the bounds on the requests of all nodes to a server."""
        bounds = self._rate_limiter.find_bounds(server.vm)
        return {_CAUSES[bound.kind]: bound for bound in bounds}

    def has_share(self, server: BackendServer) -> bool:
        """Return whether this node has its share in all bounds of a server yet."""
        return all(
            self._rate_limiter.has_share(server.vm, bound.kind)
            for bound in self._rate_limiter.find_bounds(server.vm)
        )

    def snapshot(self, rng: random.Random) -> "ServerNotices":
        """Return the same notices, which can be asked without a change of these.

        Parameters
        ----------
        rng : random.Random
            Used by the new notices.
        """
        snapshot = copy.copy(self)
        snapshot._rate_limiter = self._rate_limiter.snapshot(rng)
        return snapshot

    def find_options(
        self, servers: Iterable[BackendServer], *, waits_for_evacuated: bool = True
    ) -> ServerOptions:
        """Return which of several servers take a request, and the wait if none does.

        Each is asked once, so a choice and the reason for a refusal agree however the
        servers change meanwhile.
        """
        waits = [(server, self.find_wait(server)) for server in servers]
        accepting = [server for server, wait in waits if wait is None]
        finite = [
            wait
            for _, wait in waits
            if wait is not None
            and wait.wait_s != float("inf")
            and (waits_for_evacuated or wait.cause is not WaitCause.EVACUATED)
        ]
        if accepting or not finite:
            return ServerOptions(accepting, None)
        return ServerOptions(accepting, min(finite, key=lambda wait: wait.wait_s))

    def take_request(self, server: BackendServer) -> frozenset[BoundKind] | None:
        """Count a request that is about to be sent to a server.

        Requests of the same moment may all have chosen the server.

        Returns
        -------
        frozenset of BoundKind or None
            Bounds towards which the request counts, None if the server takes no more.
        """
        return self._rate_limiter.try_take(server.vm)

    def confirm_request(
        self, server: BackendServer, counted: frozenset[BoundKind]
    ) -> bool:
        """Return whether a server still takes a request that is sent now.

        The request is counted towards bounds that have become known since it was taken.
        """
        return self._rate_limiter.try_take(server.vm, counted) is not None

    def bound_cause(self, server: BackendServer) -> WaitCause:
        """Return why a server takes no more requests, if a bound is the cause."""
        wait = self._rate_limiter.find_wait(server.vm)
        return _CAUSES[wait[0]] if wait is not None else WaitCause.LIMIT

    def record_entry(self, server: BackendServer) -> None:
        """Record the entry of a server."""
        if self._cold_servers.record_entry(server):
            self._limits.record_restart(server.vm)
            self._recent_starts.record(server.vm, server.start_time_ms)

    def record_removal(self, server: BackendServer) -> None:
        """Record that the entry of a server has been removed."""
        self._cold_servers.record_removal(server.vm)

    def record(
        self,
        server: BackendServer,
        notice: ServerNotice,
        *,
        sent_at_s: float,
        confirms_no_limit: bool = False,
    ) -> None:
        """Record the notice of a response.

        Parameters
        ----------
        server : BackendServer
            Server that responded.
        notice : ServerNotice
            What it states about itself.
        sent_at_s : float
            Monotonic time at which the request was sent.
        confirms_no_limit : bool
            Whether the server would have named its limit if it had one.
        """
        server = self._answering_start(server, notice, sent_at_s=sent_at_s)
        if notice.is_leaving and self._leaving.record(server):
            self._on_leaving()
        if notice.pause is not None:
            self._pauses.record(server, notice.pause)
        elif notice.has_invalid_pause:
            _log.warning("server_pause_ignored", server=server.vm)
        if self._cold_servers.record_notice(server, notice):
            self._record_restart(server.vm, server.start_time_ms)
        if server is not self._with_latest_start(server):
            # A late response of the start before says nothing about this one.
            return
        if notice.request_limit_per_s is not None or confirms_no_limit:
            self._limits.record_response(
                server.vm, notice.request_limit_per_s, sent_at_s=sent_at_s
            )

    def request_limit_per_s(self, vm: VmId) -> float | None:
        """Return the requests per second that a server takes, None if unlimited."""
        return self._limits.rate_per_s(vm)

    def merge(self, status: NodeStatus) -> None:
        """Apply what a peer reports."""
        for vm, report in self._recent_starts.select_valid(status.starts).items():
            if self._cold_servers.record_reported_start(
                vm, report.start_time_ms, source=status.node
            ):
                self._record_restart(vm, report.start_time_ms, age_s=report.age_s)
        self._limits.merge(status)
        self._evacuated_zones.merge(
            status.evacuated_zones,
            read_up_to=status.evacuations_read,
            source=status.node,
        )
        self._cold_servers.merge(status)
        if self._leaving.merge(status.leaving, source=status.node):
            self._on_leaving()

    def _record_restart(
        self, vm: VmId, start_time_ms: int, *, age_s: float = 0.0
    ) -> None:
        """Forget what was known of a server whose entry is of an earlier start."""
        _log.info("server_restarted", server=vm, start_time_ms=start_time_ms)
        self._limits.record_restart(vm)
        self._recent_starts.record(vm, start_time_ms, age_s=age_s)
        self._on_restart(vm, start_time_ms)

    def _evacuation_wait(self, server: BackendServer) -> ServerWait:
        wait_s = self._evacuated_zones.expected_wait_s(server.zone)
        return ServerWait(
            WaitCause.EVACUATED, wait_s, _EVACUATION_RETURN_SPREAD * wait_s
        )

    def _find_pause(self, server: BackendServer) -> Pause | None:
        # Few servers pause, and the latest start matters only for those.
        if self._pauses.find(server) is None:
            return None
        return self._pauses.find(self._with_latest_start(server))

    def _with_latest_start(self, server: BackendServer) -> BackendServer:
        """Return a server with its latest known start; its entry may be older."""
        known = self._cold_servers.find_start(server.vm)
        if known is None or known[0] <= server.start_time_ms:
            return server
        return dataclasses.replace(server, start_time_ms=known[0])

    def _answering_start(
        self, server: BackendServer, notice: ServerNotice, *, sent_at_s: float
    ) -> BackendServer:
        """Return a server with the start that has answered a request.

        If the response does not say it, a request that was sent after this node had
        learned of a start has reached that one, however old the entry is.
        """
        start_time_ms = max(server.start_time_ms, notice.start_time_ms)
        known = self._cold_servers.find_start(server.vm)
        if not notice.start_time_ms and known is not None and sent_at_s >= known[1]:
            start_time_ms = max(start_time_ms, known[0])
        if start_time_ms == server.start_time_ms:
            return server
        return dataclasses.replace(server, start_time_ms=start_time_ms)

    def forget_expired(self) -> None:
        """Forget statements that no longer hold."""
        self._limits.forget_expired()
        self._evacuated_zones.forget_expired()
        self._cold_servers.forget_expired()
        self._rate_limiter.drop_unlimited()
        self._leaving.forget_expired()
        self._pauses.forget_ended()
        self._recent_starts.forget_expired()


def _pause_wait(pause: Pause) -> ServerWait:
    spread_s = _PAUSE_RETURN_SPREAD * pause.length_s
    return ServerWait(WaitCause.PAUSE, pause.left_s, spread_s)


def _bound_wait(kind: BoundKind, wait_s: float) -> ServerWait:
    return ServerWait(_CAUSES[kind], wait_s, _LIMIT_RETURN_SPREAD * wait_s)
