"""Whether this node reaches the backend servers at all.

The links of a node to all servers may fail while callers, the store and other nodes
still reach it. What the node then sees of the servers says nothing about them.

Links may also pass nothing although connections open and stay open. So a node that
waits for several servers and hears from none at all probes some of them. It is in
doubt until one of them responds or the probes have failed.
"""

import asyncio
import collections
import datetime
import math
import random
from collections.abc import Awaitable, Callable

import structlog

from pomelolug.clock import Clock
from pomelolug.deployment import BackendServer, ServerRegistry, ServerState
from pomelolug.ids import VmId

__all__ = ["ServerContact"]

_log = structlog.get_logger(__name__)

_CHECK_INTERVAL = datetime.timedelta(milliseconds=50)
_LONGEST_CHECK_S = 0.3
"""Length of a check interval in seconds that shows a pause of this process."""
_TROUBLE_PERIOD_S = 2.0
"""Period in seconds in which trouble at several servers is taken together."""
_MIN_TROUBLED_SERVERS = 2
"""Servers in trouble that cause a probe; one alone may have failed itself."""
_MAX_PROBED_SERVERS = 4
"""Servers probed at once: enough that not all of them fail for causes of their own."""
_SILENCE_S = 0.3
"""Time in seconds without a word from any server after which the links may be lost.

With the time until doubt, it is below the shortest timeouts of routes, about 0.8 s.
"""
_DOUBT_DELAY_S = 0.4
"""Time in seconds after which probes without a response put the links in doubt.

Servers respond to probes within a few milliseconds, unless they pause.
"""
_SILENT_ROUND_INTERVAL_S = 1.0
"""Shortest time in seconds from a response to a probe to probes because of silence.

Nodes with few requests, which take long, often hear from no server.
"""
_MIN_ROUND_INTERVAL_S = 0.25
"""Shortest time in seconds between the starts of two rounds of probes.

Servers that fail one after another cause no more connections than that.
"""
_RETURN_PROBE_INTERVAL_S = 0.5
"""Time in seconds between rounds while cut off, so that a return is noticed soon."""
_LONGEST_ROUND_TIMEOUTS = 2
"""Length of a round, in time limits of a probe, that shows a pause of this process."""
_MAX_DOUBT_S = 5.0
"""Longest time in seconds before the links are found lost that is in doubt.

Stalls and requests without a response are noticed up to a few seconds late.
"""


class ServerContact:
    """Decides whether this node reaches any backend server.

    Trouble at several servers, or the silence of all, makes it probe a few others. If
    it reaches none of them, the node is cut off, until it reaches at least half of
    those probed later.

    Parameters
    ----------
    registry : ServerRegistry
        Servers as read from the store.
    probe : callable
        Coroutine function that opens a new connection to a server, and returns
        whether the server was reached.
    probe_timeout : datetime.timedelta
        Time limit of a probe.
    is_paused : callable
        Returns whether a server wants no requests for a while, so is not probed.
    has_peers : callable
        Returns whether other nodes are known, which could take requests. Without them,
        silence alone causes no probes.
    on_change : callable
        Called with whether the node is cut off, when this changes.
    on_doubt : callable
        Called with whether the node is in doubt, when this changes.
    clock : Clock
        Source of monotonic time.
    rng : random.Random
        Draws the servers to probe.
    """

    def __init__(
        self,
        *,
        registry: ServerRegistry,
        probe: Callable[[BackendServer], Awaitable[bool]],
        probe_timeout: datetime.timedelta,
        is_paused: Callable[[BackendServer], bool] = lambda server: False,
        has_peers: Callable[[], bool] = lambda: True,
        on_change: Callable[[bool], None],
        on_doubt: Callable[[bool], None] = lambda is_in_doubt: None,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._registry = registry
        self._probe = probe
        self._longest_round_s = _LONGEST_ROUND_TIMEOUTS * probe_timeout.total_seconds()
        self._is_paused = is_paused
        self._has_peers = has_peers
        self._on_change = on_change
        self._on_doubt = on_doubt
        self._clock = clock
        self._rng = rng
        self._is_cut_off = False
        # Monotonic time of the latest trouble at each server.
        self._trouble_at_s: dict[VmId, float] = {}
        # Monotonic time of the first request to each server that has not responded
        # since.
        self._waiting_since_s: dict[VmId, float] = {}
        self._heard_at_s = float("-inf")
        self._is_in_doubt = False
        # Callers of `check`, which wait until it is known whether a server responds.
        self._checks: set[asyncio.Future[None]] = set()
        self._round_began_at_s = float("-inf")
        self._reached_at_s = float("-inf")
        self._returned_at_s = float("-inf")
        self._doubtful_since_s = float("inf")

    @property
    def is_cut_off(self) -> bool:
        """Whether this node reaches no server."""
        return self._is_cut_off

    @property
    def is_in_doubt(self) -> bool:
        """Whether no server has responded lately, neither to requests nor to probes.

        All servers may pause, or the links may be lost, which further probes show.
        """
        return self._is_in_doubt

    @property
    def doubtful_since_s(self) -> float:
        """Monotonic time in seconds at which the links may have been lost.

        What the node has seen of the servers from then until the links returned may be
        due to the links. It is infinite if the node was never cut off.
        """
        return self._doubtful_since_s

    def was_cut_off_since(self, time_s: float) -> bool:
        """Return whether the node may have been cut off since a monotonic time."""
        is_doubtful = self._is_cut_off or self._is_in_doubt
        return is_doubtful or self._returned_at_s >= time_s

    @property
    def last_heard_s(self) -> float:
        """Monotonic time of the latest response of any server, also to a probe."""
        return max(self._heard_at_s, self._reached_at_s)

    def has_heard_since(self, time_s: float) -> bool:
        """Return whether any server has responded to a request since a time."""
        return self._heard_at_s >= time_s

    def record_request(self, vm: VmId) -> None:
        """Record that a request was sent to a server."""
        self._waiting_since_s.setdefault(vm, self._clock.monotonic())

    def record_response(self, vm: VmId) -> None:
        """Record that a part of a response has arrived from a server."""
        self._heard_at_s = self._clock.monotonic()
        self._waiting_since_s.pop(vm, None)
        self._end_doubt()
        self._end_checks()

    def forget_server(self, vm: VmId) -> None:
        """Forget what was seen of a server that has ended."""
        self._trouble_at_s.pop(vm, None)
        self._waiting_since_s.pop(vm, None)

    async def check(self) -> None:
        """Wait until the present silence of all servers is explained, or in doubt.

        Returns at once if a server has responded a moment ago, or if no other node is
        known.
        """
        if (
            self._is_cut_off
            or self._is_in_doubt
            or self._clock.monotonic() - self.last_heard_s < _SILENCE_S
            or not self._has_peers()
        ):
            return
        check = asyncio.get_running_loop().create_future()
        self._checks.add(check)
        try:
            await check
        finally:
            self._checks.discard(check)

    def report_trouble(self, vm: VmId) -> None:
        """Record that a connection failed or was reset, or that a group stalled."""
        self._trouble_at_s[vm] = self._clock.monotonic()

    async def run(self) -> None:
        """Probe servers when there is trouble or the node is cut off."""
        while True:
            began_at_s = self._clock.monotonic()
            await self._clock.sleep(_CHECK_INTERVAL)
            now_s = self._clock.monotonic()
            if now_s - began_at_s > _LONGEST_CHECK_S:
                # After a pause of this process, old times say nothing of the links.
                self._forget_signs()
            elif self._is_round_due(now_s):
                await self._run_round()

    def _is_round_due(self, now_s: float) -> bool:
        since_last_s = now_s - self._round_began_at_s
        if self._is_cut_off:
            return since_last_s >= _RETURN_PROBE_INTERVAL_S
        if since_last_s < _MIN_ROUND_INTERVAL_S:
            return False
        if self._checks:
            return True
        self._forget_old_trouble(now_s)
        troubled = {*self._trouble_at_s, *self._find_silent_servers(now_s)}
        return len(troubled) >= _MIN_TROUBLED_SERVERS

    def _find_silent_servers(self, now_s: float) -> list[VmId]:
        """Return the servers that have not responded, if none has for a while."""
        if (
            now_s - self._heard_at_s < _SILENCE_S
            or now_s - self._reached_at_s < _SILENT_ROUND_INTERVAL_S
            or not self._has_peers()
        ):
            return []
        oldest_s = now_s - _SILENCE_S
        return [
            vm
            for vm, at_s in self._waiting_since_s.items()
            if at_s <= oldest_s and vm in self._registry.servers
        ]

    def _forget_signs(self) -> None:
        """Forget what seemed to show that links are lost."""
        self._trouble_at_s.clear()
        self._waiting_since_s.clear()

    def _forget_old_trouble(self, now_s: float) -> None:
        oldest_s = now_s - _TROUBLE_PERIOD_S
        self._trouble_at_s = {
            vm: at_s for vm, at_s in self._trouble_at_s.items() if at_s >= oldest_s
        }

    async def _run_round(self) -> None:
        """Probe some servers concurrently and decide from the results."""
        began_at_s = self._round_began_at_s = self._clock.monotonic()
        self._forget_old_trouble(began_at_s)
        servers = self._draw_servers()
        if not servers:
            self._end_checks()
            return
        enough = math.ceil(len(servers) / 2) if self._is_cut_off else 1
        reached_count = await self._count_reached(servers, enough=enough)
        now_s = self._clock.monotonic()
        if not reached_count and now_s - began_at_s > self._longest_round_s:
            # Time limits that passed during a pause of this process prove nothing.
            self._forget_signs()
            self._end_doubt()
            self._end_checks()
            return
        if reached_count:
            self._reached_at_s = now_s
            self._forget_signs()
        if self._is_cut_off:
            is_cut_off = 2 * reached_count < len(servers)
        else:
            is_cut_off = not reached_count
        if is_cut_off != self._is_cut_off:
            self._change(is_cut_off, len(servers), len(servers) - reached_count)
        self._end_doubt()
        self._end_checks()

    async def _count_reached(self, servers: list[BackendServer], *, enough: int) -> int:
        """Probe servers concurrently until `enough` are reached; return how many are.

        A probe of a silent server takes long, so the others decide if they can.
        """
        tasks = [asyncio.ensure_future(self._probe(server)) for server in servers]
        doubting = asyncio.ensure_future(self._begin_doubt_later(len(servers)))
        reached_count = 0
        try:
            for result in asyncio.as_completed(tasks):
                if await result:
                    reached_count += 1
                    doubting.cancel()
                if reached_count >= enough:
                    break
        finally:
            for task in (*tasks, doubting):
                task.cancel()
            await asyncio.gather(*tasks, doubting, return_exceptions=True)
        return reached_count

    async def _begin_doubt_later(self, probe_count: int) -> None:
        """Doubt the links if no server responds for a moment."""
        began_at_s = self._clock.monotonic()
        await self._clock.sleep(datetime.timedelta(seconds=_DOUBT_DELAY_S))
        passed_s = self._clock.monotonic() - began_at_s
        was_paused = passed_s > _DOUBT_DELAY_S + _LONGEST_CHECK_S
        if self._is_cut_off or was_paused or self._heard_at_s >= began_at_s:
            return
        self._is_in_doubt = True
        _log.info(
            "servers_silent", probes=probe_count, waiting=len(self._waiting_since_s)
        )
        self._on_doubt(True)
        self._end_checks()

    def _end_doubt(self) -> None:
        if self._is_in_doubt:
            self._is_in_doubt = False
            self._returned_at_s = self._clock.monotonic()
            if not self._is_cut_off:
                _log.info("servers_heard")
            self._on_doubt(False)

    def _end_checks(self) -> None:
        for check in self._checks:
            if not check.done():
                check.set_result(None)

    def _change(self, is_cut_off: bool, probe_count: int, failed_count: int) -> None:
        self._is_cut_off = is_cut_off
        counts = {"probes": probe_count, "failed": failed_count}
        now_s = self._clock.monotonic()
        if is_cut_off:
            self._doubtful_since_s = max(self._reached_at_s, now_s - _MAX_DOUBT_S)
            _log.warning("servers_out_of_reach", **counts)
        else:
            self._returned_at_s = now_s
            _log.info("servers_in_reach", **counts)
        self._on_change(is_cut_off)

    def _draw_servers(self) -> list[BackendServer]:
        """Return servers that are unlikely to fail together, drawn at random.

        Only servers in a fabric domain are drawn if there are any, since they answer
        probes without taking a slot. Servers without trouble come first. Among them,
        those that have the fewest places and services in common with the servers
        already drawn.
        """
        candidates = [
            server
            for server in self._registry.servers.values()
            if server.state is ServerState.READY and not self._is_paused(server)
        ]
        candidates = [c for c in candidates if c.domain] or candidates
        silent = self._find_silent_servers(self._clock.monotonic())
        troubled = {*self._trouble_at_s, *silent}
        self._rng.shuffle(candidates)
        drawn: list[BackendServer] = []
        counts: collections.Counter[tuple[str, str]] = collections.Counter()
        while candidates and len(drawn) < _MAX_PROBED_SERVERS:
            server = min(
                candidates,
                key=lambda s: (
                    s.vm in troubled or self._registry.is_lapsed(s.vm),
                    sum(counts[trait] for trait in _traits(s)),
                ),
            )
            candidates.remove(server)
            drawn.append(server)
            counts.update(_traits(server))
        return drawn


def _traits(server: BackendServer) -> tuple[tuple[str, str], ...]:
    return (
        ("domain", server.domain),
        ("zone", server.zone),
        ("service", server.service),
    )
