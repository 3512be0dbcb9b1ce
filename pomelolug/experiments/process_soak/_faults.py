"""Random injection of faults and planned work."""

import asyncio
import contextlib
import dataclasses
import itertools
import random
import signal
import time
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable

from pomelolug.experiments.process_soak._cluster import (
    EntryVm,
    ProcessCluster,
    ServerHandle,
)
from pomelolug.experiments.process_soak._competition import DispatcherLoss
from pomelolug.experiments.process_soak._disturbances import (
    QUIET_PERIOD_S,
    FaultWindow,
    FaultWindows,
    server_targets,
)
from pomelolug.experiments.process_soak._processes import SoakProcess
from pomelolug.experiments.process_soak._promises import GuaranteeChecker
from pomelolug.platform import TOPIC_DECLARATION, TOPIC_SERVERS
from pomelolug.testing import LinkCut, LinkFault, ProcessConnections

__all__ = ["FaultInjector"]

_MEAN_INTERVAL_S = 0.45
_DRAIN_DURATION_S = 5.0
"""Time that a draining server stays up for the work of its group."""
_LINK_FAULTS = (
    LinkFault.SILENT,
    LinkFault.REQUESTS_HELD,
    LinkFault.RESPONSES_HELD,
    LinkFault.DELAYED,
)
_LIMIT_RANGE_PER_S = (0.1, 1.0)
_LIMIT_DURATION_RANGE_S = (5.0, 10.0)
_CALM_START_S = 2.0
"""Time in which callers use all servers before the first fault."""
_EVACUATION_S = 6.0
"""Length of an evacuation, twice the time in which nodes have to act on it."""
_BETWEEN_EVACUATIONS_S = 4.0
_CALM_TIME_S = 1.0
"""Time without effects of faults before an interruption, for calls to be sent."""
_LONG_SILENCE_RANGE_S = (2.5, 4.0)
_RECENT_RUNS = 20
_UNLISTING_TIME_S = 0.2
"""Time after which a server that is not to write its entry any more has stopped."""
_STATEMENT_LEAD_RANGE_S = (3.0, 6.0)
"""Time between a statement that a server leaves and its entry."""
_PAUSE_RANGE_S = (1.0, 6.0)
_REWRITTEN_TOPICS = (TOPIC_DECLARATION, TOPIC_SERVERS)
_REWRITE_DELAY_RANGE_S = (0.2, 1.5)
_UNAVAILABLE_STATUS = 503
_INTERRUPTION_MEAN_INTERVAL_S = 5.0
_COLD_RETURN_MEAN_INTERVAL_S = 6.0
_COLD_RANGE_S = (3.0, 6.0)
_SILENCE_RANGE_S = (1.0, 1.6)
"""Silences that are no disruption of sound servers."""
_ALL_SILENT_SHARE = 0.5
_CUT_RANGE_S = (4.0, 8.0)
_DISPATCHER_LOSS_S = 3.0
"""Time for which a dispatcher is lost; its stand-in takes over after about 2 s."""
_SLOW_FACTOR_RANGE = (1.3, 2.0)
"""Factors on the execution times of servers that are slower than others."""
_PLAIN_TIMEOUTS_MS = (1000, 1200, 1500)


class FaultInjector:
    """Injects faults at random times, so that they overlap.

    Parameters
    ----------
    cluster : ProcessCluster
        Cluster to inject the faults into.
    guarantees : GuaranteeChecker
        Receives the times at which keys are revoked.
    fault_windows : FaultWindows
        Receives the time window and the targets of each fault.
    rng : random.Random
        Chooses faults, targets and durations.
    interruption_rng : random.Random
        Chooses the same for interruptions of servers, so that the other faults of a
        seed do not depend on them.
    cold_rng : random.Random
        Chooses the same for servers that come back cold.
    """

    def __init__(
        self,
        cluster: ProcessCluster,
        guarantees: GuaranteeChecker,
        fault_windows: FaultWindows,
        rng: random.Random,
        interruption_rng: random.Random,
        cold_rng: random.Random,
    ) -> None:
        self._cluster = cluster
        self._guarantees = guarantees
        self._fault_windows = fault_windows
        self._rng = rng
        self._interruption_rng = interruption_rng
        self._cold_rng = cold_rng
        self._started_at_s = time.monotonic()
        self._tasks: set[asyncio.Task[None]] = set()
        self._reserved: set[str] = set()
        self.counts: Counter[str] = Counter()
        self.history: list[str] = []
        self._faults_by_kind: dict[str, Callable[[], Awaitable[None]]] = {
            "entry_killed": self._kill_entry,
            "entry_paused": self._pause_entry,
            "entry_stopped": self._stop_entry,
            "entries_stopped_in_turn": self._stop_entries_in_turn,
            "all_entries_killed": self._kill_all_entries,
            "settings_reloaded": self._reload_entries,
            "store_silent": self._silence_store,
            "store_refuses": self._make_store_refuse,
            "store_loses_answers": self._lose_store_answers,
            "store_restored": self._restore_store,
            "store_link": self._degrade_store_link,
            "store_links_reset": self._reset_store_links,
            "server_link": self._degrade_server_link,
            "server_links_reset": self._reset_server_links,
            "server_lost": self._lose_server,
            "server_restarted": self._restart_server,
            "server_leaves": self._drain_server,
            "server_unlisted": self._unlist_server,
            "server_slow": self._slow_server,
            "server_garbles": self._garble_server_answers,
            "server_limited": self._limit_server,
            "server_states_leaving": self._let_server_leave,
            "servers_ask_for_pause": self._let_servers_pause,
            "domain_paused": self._pause_domain,
            "key_revoked": self._revoke_key,
            "timeouts_changed": self._change_timeouts,
        }
        self._interruptions_by_kind: dict[str, Callable[[], Awaitable[None]]] = {
            "servers_silent": self._silence_servers,
            "entry_cut_from_servers": self._cut_entries_off,
        }
        self._cold_returns_by_kind: dict[str, Callable[[], Awaitable[None]]] = {
            "servers_return_cold": self._let_servers_return_cold,
        }

    async def run(self, length_s: float) -> None:
        """Inject faults for `length_s` seconds, then wait for the last one to end.

        Bounds on time apply only to entry VMs that nothing else disturbs, so a server
        leaves before the other faults begin, and each kind of interruption of servers,
        a cold return and an evacuation happen once more after them.
        """
        if self._cluster.has_dispatcher:
            self._slow_domain()
        await asyncio.sleep(_CALM_START_S)
        await self._inject("server_unlisted")
        until_s = time.monotonic() + length_s
        await asyncio.gather(
            self._inject_at_random(
                self._faults_by_kind, _MEAN_INTERVAL_S, self._rng, until_s
            ),
            self._inject_at_random(
                self._interruptions_by_kind,
                _INTERRUPTION_MEAN_INTERVAL_S,
                self._interruption_rng,
                until_s,
            ),
            self._evacuate_in_turn(until_s),
            self._inject_at_random(
                self._cold_returns_by_kind,
                _COLD_RETURN_MEAN_INTERVAL_S,
                self._cold_rng,
                until_s,
            ),
        )
        await asyncio.gather(*self._tasks)
        await asyncio.sleep(QUIET_PERIOD_S + _CALM_TIME_S)
        # The longest ones, because an entry VM gets few calls in a second.
        self.counts["servers_silent"] += 1
        await self._silence_servers(is_longest=True)
        await asyncio.sleep(QUIET_PERIOD_S + _CALM_TIME_S)
        self.counts["entry_cut_from_servers"] += 1
        await self._cut_entries_off(is_longest=True)
        await asyncio.sleep(QUIET_PERIOD_S + _CALM_TIME_S)
        self.counts["servers_return_cold"] += 1
        await self._let_servers_return_cold(are_all=True)
        await asyncio.sleep(QUIET_PERIOD_S)
        await self._evacuate(self._cluster.zones[0])
        if self._cluster.has_dispatcher:
            await self._lose_dispatchers()

    async def _evacuate_in_turn(self, until_s: float) -> None:
        """Evacuate one zone after the other until a time, beside all faults."""
        for zone in itertools.cycle(self._cluster.zones):
            await self._evacuate(zone)
            await asyncio.sleep(_BETWEEN_EVACUATIONS_S)
            if time.monotonic() >= until_s:
                return

    async def _evacuate(self, zone: str) -> None:
        self.counts["zone_evacuated"] += 1
        self.record_event(f"{zone} evacuated")
        self._cluster.evacuate(zone)
        await asyncio.sleep(_EVACUATION_S)
        self._cluster.take_back(zone)
        self.record_event(f"{zone} taken back")

    async def _inject_at_random(
        self,
        kinds: Iterable[str],
        mean_interval_s: float,
        rng: random.Random,
        until_s: float,
    ) -> None:
        """Begin faults of the given kinds until a time."""
        while time.monotonic() < until_s:
            remaining_s = until_s - time.monotonic()
            interval_s = rng.expovariate(1.0 / mean_interval_s)
            await asyncio.sleep(min(interval_s, remaining_s))
            kind = rng.choice(list(kinds))
            self._tasks.add(asyncio.create_task(self._inject(kind)))

    async def _inject(self, kind: str) -> None:
        self.counts[kind] += 1
        kinds = self._faults_by_kind | self._interruptions_by_kind
        await (kinds | self._cold_returns_by_kind)[kind]()

    def record_event(self, text: str) -> None:
        """Add a line with the current time to the history."""
        self.history.append(f"{time.monotonic() - self._started_at_s:7.3f} {text}")

    @contextlib.asynccontextmanager
    async def _fault_window(
        self,
        text: str,
        *targets: str,
        is_planned: bool = False,
        is_of_store: bool = False,
    ) -> AsyncIterator[FaultWindow]:
        """Record a fault window that spans the block."""
        window = self._fault_windows.open(
            *targets,
            start_s=time.monotonic(),
            is_planned=is_planned,
            is_of_store=is_of_store,
        )
        self.record_event(text)
        try:
            yield window
        finally:
            window.end_s = time.monotonic()
            self.record_event(f"over: {text}")

    def _reserve(self, target_name: str) -> bool:
        """Reserve a target, so that two faults do not undo each other.

        Return False if it is reserved already.
        """
        if target_name in self._reserved:
            return False
        self._reserved.add(target_name)
        return True

    def _reserve_random_entry(self) -> EntryVm | None:
        entry = self._rng.choice(self._cluster.entries)
        return entry if self._reserve(entry.name) else None

    def _reserve_random_server(self) -> ServerHandle | None:
        """Return a server of a random process, or None if it is reserved.

        The process is drawn first, because there are few plain servers.
        """
        process = self._rng.choice(self._cluster.server_processes)
        servers = [s for s in self._cluster.servers if s.process is process]
        server = self._rng.choice(servers)
        return server if self._reserve(server.vm) else None

    def _reserve_busy_server(self) -> ServerHandle | None:
        """Return a server that has lately run a call, or None if it is reserved."""
        recent = [run.vm for run in self._guarantees.runs[-_RECENT_RUNS:]]
        if not recent:
            return self._reserve_random_server()
        vm = self._rng.choice(recent)
        server = next(s for s in self._cluster.servers if s.vm == vm)
        return server if self._reserve(vm) else None

    def _random_duration_s(self) -> float:
        return self._rng.uniform(0.3, 4.0)

    # Entry VMs

    async def _kill_entry(self) -> None:
        if (entry := self._reserve_random_entry()) is None:
            return
        async with self._fault_window(f"{entry.name} killed", entry.name):
            await entry.process.kill()
            await asyncio.sleep(self._random_duration_s())
            await entry.process.start()
        self._reserved.discard(entry.name)

    async def _kill_all_entries(self) -> None:
        entries = [e for e in self._cluster.entries if self._reserve(e.name)]
        async with self._fault_window("all entries killed"):
            await asyncio.gather(*(e.process.kill() for e in entries))
            await asyncio.sleep(self._random_duration_s() / 2)
            for entry in entries:
                await entry.process.start()
        self._reserved -= {entry.name for entry in entries}

    async def _pause_entry(self) -> None:
        if (entry := self._reserve_random_entry()) is None:
            return
        async with self._fault_window(f"{entry.name} paused", entry.name):
            entry.process.signal(signal.SIGSTOP)
            await asyncio.sleep(self._random_duration_s())
            entry.process.signal(signal.SIGCONT)
        self._reserved.discard(entry.name)

    async def _stop_entry(self) -> None:
        if (entry := self._reserve_random_entry()) is not None:
            await self._restart_entry(entry)

    async def _stop_entries_in_turn(self) -> None:
        for entry in list(self._cluster.entries):
            if self._reserve(entry.name):
                await self._restart_entry(entry)

    async def _restart_entry(self, entry: EntryVm) -> None:
        async with self._fault_window(
            f"{entry.name} stopped", entry.name, is_planned=True
        ):
            entry.process.signal(signal.SIGTERM)
            await entry.process.wait()
            await entry.process.start()
        self._reserved.discard(entry.name)

    async def _reload_entries(self) -> None:
        for entry in self._cluster.entries:
            # A starting process has not installed its SIGHUP handler yet.
            if entry.is_in_rotation and entry.name not in self._reserved:
                self.record_event(f"{entry.name} reloads")
                entry.process.signal(signal.SIGHUP)

    # The store

    async def _silence_store(self) -> None:
        if self._reserve("store"):
            async with self._fault_window("store silent", is_of_store=True):
                self._cluster.store.is_unresponsive = True
                await asyncio.sleep(self._random_duration_s())
                self._cluster.store.is_unresponsive = False
            self._reserved.discard("store")

    async def _make_store_refuse(self) -> None:
        if self._reserve("store"):
            async with self._fault_window("store refuses", is_of_store=True):
                self._cluster.store.error_status = _UNAVAILABLE_STATUS
                await asyncio.sleep(self._random_duration_s())
                self._cluster.store.error_status = None
            self._reserved.discard("store")

    async def _lose_store_answers(self) -> None:
        if self._reserve("store"):
            async with self._fault_window("store loses answers", is_of_store=True):
                self._cluster.store.drops_write_responses = True
                await asyncio.sleep(self._random_duration_s())
                self._cluster.store.drops_write_responses = False
            self._reserved.discard("store")

    async def _restore_store(self) -> None:
        """Let the store go back to a copy; operator and servers write again later."""
        if not self._reserve("store"):
            return
        store = self._cluster.store
        copy = store.copy()
        await asyncio.sleep(self._random_duration_s())
        async with self._fault_window("store restored from a copy", is_of_store=True):
            lost = {topic: store.newest(topic) for topic in _REWRITTEN_TOPICS}
            store.restore(copy)
            old = {topic: store.newest(topic) for topic in _REWRITTEN_TOPICS}
            await asyncio.sleep(self._rng.uniform(*_REWRITE_DELAY_RANGE_S))
            for topic, entries in lost.items():
                now = store.newest(topic)
                for key in {*entries, *old[topic]}:
                    # What was written since the restoration is newer.
                    if now.get(key) == old[topic].get(key) != entries.get(key):
                        store.put(topic, key, entries.get(key, b""))
        self._reserved.discard("store")

    async def _degrade_store_link(self) -> None:
        fault = self._rng.choice(_LINK_FAULTS)
        await self._inject_link_fault(fault, self._random_duration_s())

    async def _silence_store_link(self) -> None:
        """Silence a link for longer than nodes may take to learn of a departure."""
        duration_s = self._rng.uniform(*_LONG_SILENCE_RANGE_S)
        await self._inject_link_fault(LinkFault.SILENT, duration_s)

    async def _inject_link_fault(self, fault: LinkFault, duration_s: float) -> None:
        entry = self._rng.choice(self._cluster.entries)
        if not self._reserve(f"{entry.name}/store"):
            return
        async with self._fault_window(f"{entry.name} store {fault.value}", entry.name):
            entry.store_link.delay_s = self._rng.uniform(0.05, 0.8)
            entry.store_link.fault = fault
            await asyncio.sleep(duration_s)
            entry.store_link.fault = LinkFault.NONE
        self._reserved.discard(f"{entry.name}/store")

    async def _reset_store_links(self) -> None:
        async with self._fault_window("store links reset", is_of_store=True):
            for entry in self._cluster.entries:
                entry.store_link.reset()

    # Servers

    async def _degrade_server_link(self) -> None:
        if (server := self._reserve_random_server()) is None:
            return
        fault = self._rng.choice(_LINK_FAULTS)
        async with self._fault_window(
            f"{server.vm} link {fault.value}", server.vm, *server_targets(server.vm)
        ):
            server.link.delay_s = self._rng.uniform(0.02, 0.4)
            server.link.fault = fault
            await asyncio.sleep(self._random_duration_s())
            server.link.fault = LinkFault.NONE
        self._reserved.discard(server.vm)

    async def _reset_server_links(self) -> None:
        targets = {t for s in self._cluster.servers for t in server_targets(s.vm)}
        async with self._fault_window("server links reset", *targets):
            for server in self._cluster.servers:
                if self._rng.random() < 0.5:
                    server.link.reset()

    async def _lose_server(self) -> None:
        if (server := self._reserve_random_server()) is None:
            return
        async with self._fault_window(f"{server.vm} lost", *server_targets(server.vm)):
            server.is_lost = True
            self._cluster.send_command(server, "dark")
            await self._cluster.expire_server_entry(server)
            await asyncio.sleep(self._random_duration_s())
            self._send_restart(server)
        self._reserved.discard(server.vm)

    async def _restart_server(self) -> None:
        if (server := self._reserve_random_server()) is None:
            return
        async with self._fault_window(
            f"{server.vm} restarts under its id", *server_targets(server.vm)
        ):
            self._send_restart(server)
        self._reserved.discard(server.vm)

    async def _let_servers_return_cold(self, *, are_all: bool = False) -> None:
        """Restart plain servers, one or all of them, which are cold for a while."""
        servers = [s for s in self._cluster.servers if s.vm.startswith("plain")]
        if not are_all and self._cold_rng.random() < 0.5:
            servers = [self._cold_rng.choice(servers)]
        cold_s = round(self._cold_rng.uniform(*_COLD_RANGE_S), 2)
        servers = [s for s in servers if self._reserve(s.vm)]
        if not servers:
            return
        names = [s.vm for s in servers]
        targets = {target for vm in names for target in server_targets(vm)}
        async with self._fault_window(
            f"{', '.join(names)} cold for {cold_s} s", *sorted(targets)
        ):
            for server in servers:
                server.is_lost = False
                self._cluster.send_command(server, "restart", cold_s)
                self._guarantees.record_coldness(
                    server.vm,
                    self._cluster.cold_accepted_requests,
                    start_s=time.monotonic(),
                    length_s=cold_s,
                )
            await asyncio.sleep(cold_s)
        self._reserved.difference_update(names)

    def _send_restart(self, server: ServerHandle) -> None:
        server.is_lost = False
        self._cluster.send_command(server, "restart")

    async def _drain_server(self) -> None:
        if (server := self._reserve_random_server()) is None:
            return
        async with self._fault_window(
            f"{server.vm} leaves", *server_targets(server.vm), is_planned=True
        ):
            self._cluster.send_command(server, "drain")
            await asyncio.sleep(_DRAIN_DURATION_S)
            server.is_lost = True
            await self._cluster.expire_server_entry(server)
            self._send_restart(server)
        self._reserved.discard(server.vm)

    async def _unlist_server(self) -> None:
        """Remove the entry of a server that leaves without having said so.

        Meanwhile an entry VM, perhaps a relay, hears nothing of the store.
        """
        if (server := self._reserve_busy_server()) is None:
            return
        async with self._fault_window(
            f"{server.vm} leaves unannounced",
            *server_targets(server.vm),
            is_planned=True,
        ):
            self._cluster.send_command(server, "unlist")
            await asyncio.sleep(_UNLISTING_TIME_S)
            link_fault = asyncio.create_task(self._silence_store_link())
            await asyncio.sleep(self._rng.uniform(0.0, 1.0))
            self._cluster.store.put(TOPIC_SERVERS, server.vm, b"")
            await asyncio.sleep(_DRAIN_DURATION_S)
            self._send_restart(server)
            await link_fault
        self._reserved.discard(server.vm)

    async def _slow_server(self) -> None:
        if (server := self._reserve_random_server()) is None:
            return
        async with self._fault_window(f"{server.vm} slow", *server_targets(server.vm)):
            self._cluster.send_command(server, "slow", self._rng.uniform(2.0, 8.0))
            await asyncio.sleep(self._random_duration_s())
            self._cluster.send_command(server, "slow", 1.0)
        self._reserved.discard(server.vm)

    async def _garble_server_answers(self) -> None:
        if (server := self._reserve_random_server()) is None:
            return
        async with self._fault_window(
            f"{server.vm} garbles", *server_targets(server.vm)
        ):
            self._cluster.send_command(server, "garble", self._rng.uniform(0.1, 0.7))
            await asyncio.sleep(self._random_duration_s())
            self._cluster.send_command(server, "garble", 0.0)
        self._reserved.discard(server.vm)

    async def _limit_server(self) -> None:
        if (server := self._reserve_random_server()) is None:
            return
        limit_per_s = round(self._rng.uniform(*_LIMIT_RANGE_PER_S), 2)
        async with self._fault_window(
            f"{server.vm} limited to {limit_per_s}/s", *server_targets(server.vm)
        ):
            self._cluster.send_command(server, "limit", limit_per_s)
            period = self._guarantees.record_limit(
                server.vm, limit_per_s, start_s=time.monotonic()
            )
            await asyncio.sleep(self._rng.uniform(*_LIMIT_DURATION_RANGE_S))
            period.end_s = time.monotonic()
            self._cluster.send_command(server, "limit", 0.0)
        self._reserved.discard(server.vm)

    async def _let_server_leave(self) -> None:
        """Let a server state that it leaves before its entry says so, and leave."""
        if (server := self._reserve_random_server()) is None:
            return
        async with self._fault_window(
            f"{server.vm} states that it leaves",
            *server_targets(server.vm),
            is_planned=True,
        ):
            self._cluster.send_command(server, "leave")
            await asyncio.sleep(self._rng.uniform(*_STATEMENT_LEAD_RANGE_S))
            self._cluster.send_command(server, "drain")
            await asyncio.sleep(self._random_duration_s())
            server.is_lost = True
            await self._cluster.expire_server_entry(server)
            self._send_restart(server)
        self._reserved.discard(server.vm)

    async def _let_servers_pause(self) -> None:
        """Let a server turn requests away for a time that it names, then take them.

        Or all servers of a process, since few of a domain are heads of groups.
        """
        process = self._rng.choice(self._cluster.server_processes)
        servers = [s for s in self._cluster.servers if s.process is process]
        if self._rng.random() < 0.5:
            servers = [self._rng.choice(servers)]
        servers = [s for s in servers if self._reserve(s.vm)]
        pause_s = round(self._rng.uniform(*_PAUSE_RANGE_S), 2)
        names = ", ".join(s.vm for s in servers)
        async with self._fault_window(
            f"{names} ask for pauses of {pause_s} s",
            *(target for s in servers for target in server_targets(s.vm)),
        ):
            for server in servers:
                self._cluster.send_command(server, "pause", pause_s)
            await asyncio.sleep(self._random_duration_s())
            for server in servers:
                self._cluster.send_command(server, "pause", 0.0)
        self._reserved -= {server.vm for server in servers}

    async def _pause_domain(self) -> None:
        process = self._rng.choice(self._cluster.server_processes)
        if not self._reserve(process.name):
            return
        targets = self._targets_of(process)
        async with self._fault_window(f"{process.name} paused", *targets):
            process.signal(signal.SIGSTOP)
            await asyncio.sleep(min(self._random_duration_s(), 3.0))
            process.signal(signal.SIGCONT)
        self._reserved.discard(process.name)

    async def _silence_servers(self, *, is_longest: bool = False) -> None:
        """Let all servers of one or all processes fall silent while timeouts change.

        The longest silence is one of all processes.
        """
        rng = self._interruption_rng
        processes = list(self._cluster.server_processes)
        if not is_longest and rng.random() >= _ALL_SILENT_SHARE:
            processes = [rng.choice(processes)]
        silence_s = (
            _SILENCE_RANGE_S[1] if is_longest else rng.uniform(*_SILENCE_RANGE_S)
        )
        changes_after_s = rng.uniform(0.0, silence_s)
        timeout_ms = rng.choice(_PLAIN_TIMEOUTS_MS)
        processes = [p for p in processes if self._reserve(p.name)]
        targets = [target for p in processes for target in self._targets_of(p)]
        if not processes:
            return
        names = ", ".join(p.name for p in processes)
        async with self._fault_window(f"{names} silent", *targets) as window:
            self._guarantees.record_silence(window)
            for process in processes:
                process.signal(signal.SIGSTOP)
            await asyncio.sleep(changes_after_s)
            self.record_event("timeouts changed")
            self._update_declaration(plain_timeout_ms=timeout_ms)
            await asyncio.sleep(silence_s - changes_after_s)
            for process in processes:
                process.signal(signal.SIGCONT)
        self._reserved -= {p.name for p in processes}

    async def _cut_entries_off(self, *, is_longest: bool = False) -> None:
        """Cut the links of one, several or all but one entry VMs to all servers."""
        rng = self._interruption_rng
        chosen = list(self._cluster.entries)
        rng.shuffle(chosen)
        most = len(chosen) - 1
        chosen = chosen[: rng.choice((1, rng.randint(1, most), most))]
        way = rng.choice(list(LinkCut))
        duration_s = _CUT_RANGE_S[1] if is_longest else rng.uniform(*_CUT_RANGE_S)
        if not self._reserve("server links"):
            return
        entries = [e for e in chosen if self._reserve(e.name)]
        links = [server.link for server in self._cluster.servers]
        names = [e.name for e in entries]
        if entries:
            cut_off = ProcessConnections(e.process.pid for e in entries)
            cut_off.read()
            async with self._fault_window(
                f"{', '.join(names)} cut off from servers: {way.value}", *names
            ) as window:
                self._guarantees.record_cut(window)
                for link in links:
                    link.cut(way, cut_off)
                await asyncio.sleep(duration_s)
                for link in links:
                    link.mend()
        self._reserved -= {"server links", *names}

    async def _lose_dispatchers(self) -> None:
        """Kill, pause and cut off one dispatcher after the other.

        Each time, another entry VM of the zone is restarted.
        """
        for disturb in (self._kill, self._pause, self._cut_off):
            await asyncio.sleep(QUIET_PERIOD_S)
            dispatcher = self._cluster.find_dispatcher()
            if dispatcher is None or not self._reserve(dispatcher.name):
                self.record_event("no dispatcher to disturb")
                continue
            peers = [
                e
                for e in self._cluster.entries
                if e.zone == dispatcher.zone and e is not dispatcher
            ]
            self.counts["dispatcher_lost"] += 1
            async with self._fault_window(
                f"dispatcher {dispatcher.name}: {disturb.__name__}", dispatcher.name
            ) as window:
                self._guarantees.record_dispatcher_loss(
                    DispatcherLoss(
                        window=window, peers=frozenset(e.name for e in peers)
                    )
                )
                other = self._interruption_rng.choice(peers)
                await asyncio.gather(
                    disturb(dispatcher),
                    *(
                        [self._restart_entry(other)]
                        if self._reserve(other.name)
                        else []
                    ),
                )
            self._reserved.discard(dispatcher.name)

    async def _kill(self, entry: EntryVm) -> None:
        await entry.process.kill()
        await asyncio.sleep(_DISPATCHER_LOSS_S)
        await entry.process.start()

    async def _pause(self, entry: EntryVm) -> None:
        entry.process.signal(signal.SIGSTOP)
        await asyncio.sleep(_DISPATCHER_LOSS_S)
        entry.process.signal(signal.SIGCONT)

    async def _cut_off(self, entry: EntryVm) -> None:
        cut_off = ProcessConnections([entry.process.pid])
        cut_off.read()
        links = [server.link for server in self._cluster.servers]
        for link in links:
            link.cut(self._interruption_rng.choice(list(LinkCut)), cut_off)
        await asyncio.sleep(_DISPATCHER_LOSS_S)
        for link in links:
            link.mend()

    def _slow_domain(self) -> None:
        """Let the servers of one domain be slower than the others for the whole run."""
        factor = round(self._interruption_rng.uniform(*_SLOW_FACTOR_RANGE), 2)
        process = self._cluster.server_processes[0]
        self.record_event(f"servers of {process.name} slower by {factor}")
        for server in self._cluster.servers:
            if server.process is process:
                self._cluster.send_command(server, "slow", factor)

    def _targets_of(self, process: SoakProcess) -> set[str]:
        """Return the targets that stand for all servers of a process."""
        vms = [s.vm for s in self._cluster.servers if s.process is process]
        return {target for vm in vms for target in (vm, *server_targets(vm))}

    # The operator

    async def _revoke_key(self) -> None:
        """Revoke the last key of a random account; the first key always stays."""
        deployment = self._cluster.deployment
        accounts = [a for a, keys in deployment.keys.items() if len(keys) > 1]
        if not accounts:
            return
        account = self._rng.choice(accounts)
        *kept, revoked_key = deployment.keys[account]
        self.record_event(f"{revoked_key} revoked")
        self._update_declaration(keys=deployment.keys | {account: tuple(kept)})
        self._guarantees.record_revocation(revoked_key, time.monotonic())

    async def _change_timeouts(self) -> None:
        self.record_event("timeouts changed")
        self._update_declaration(plain_timeout_ms=self._rng.choice(_PLAIN_TIMEOUTS_MS))

    def _update_declaration(self, **changes: object) -> None:
        deployment = self._cluster.deployment
        version = deployment.version + 1
        changed = dataclasses.replace(deployment, version=version, **changes)  # type: ignore[arg-type]
        self._cluster.declare(changed)
