"""Faults, planned work, and when they come."""

import asyncio
import contextlib
import dataclasses
import random
import signal
import time
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable

from pomelolug.experiments.process_soak._disturbances import Disturbances
from pomelolug.experiments.process_soak._promises import Promises
from pomelolug.experiments.process_soak._world import EntryVm, SoakedServer, World
from pomelolug.testing import LinkFault

__all__ = ["Faults"]

_MEAN_PAUSE_S = 0.45
_DRAIN_S = 5.0
"""Time that a leaving server stays for its group's work."""
_LINK_FAULTS = (
    LinkFault.SILENT,
    LinkFault.REQUESTS_HELD,
    LinkFault.RESPONSES_HELD,
    LinkFault.DELAYED,
)
_BUSY = 503
_SERVERS = "servers"
"""Place of disturbances that leave every entry VM in touch."""


class Faults:
    """Begins faults at random moments, so that they overlap.

    Parameters
    ----------
    world : World
        What is disturbed.
    promises : Promises
        Is told of revoked keys.
    disturbances : Disturbances
        Keeps when which entry VM was disturbed.
    rng : random.Random
        Chooses faults, places and durations.
    """

    def __init__(
        self,
        world: World,
        promises: Promises,
        disturbances: Disturbances,
        rng: random.Random,
    ) -> None:
        self._world = world
        self._promises = promises
        self._disturbances = disturbances
        self._rng = rng
        self._began = time.monotonic()
        self._tasks: set[asyncio.Task[None]] = set()
        self._busy: set[str] = set()
        self.counts: Counter[str] = Counter()
        self.history: list[str] = []
        self._kinds: dict[str, Callable[[], Awaitable[None]]] = {
            "entry_killed": self._kill_entry,
            "entry_paused": self._pause_entry,
            "entry_stopped": self._stop_entry,
            "entries_stopped_in_turn": self._stop_entries_in_turn,
            "all_entries_killed": self._kill_all_entries,
            "settings_reloaded": self._reload_entries,
            "store_silent": self._silence_store,
            "store_refuses": self._let_store_refuse,
            "store_loses_answers": self._lose_answers,
            "store_link": self._disturb_store_link,
            "store_links_reset": self._reset_store_links,
            "server_link": self._disturb_server_link,
            "server_links_reset": self._reset_server_links,
            "server_lost": self._lose_server,
            "server_restarted": self._restart_server,
            "server_leaves": self._let_server_leave,
            "server_slow": self._slow_server,
            "server_garbles": self._garble,
            "domain_paused": self._pause_domain,
            "key_revoked": self._revoke,
            "timeouts_changed": self._change_timeouts,
        }

    async def run(self, length_s: float) -> None:
        """Begin faults for a time, then wait until the last one is over."""
        until = time.monotonic() + length_s
        while time.monotonic() < until:
            await asyncio.sleep(self._rng.expovariate(1.0 / _MEAN_PAUSE_S))
            kind = self._rng.choice(list(self._kinds))
            task = asyncio.create_task(self._one(kind))
            self._tasks.add(task)
        await asyncio.gather(*self._tasks)

    async def _one(self, kind: str) -> None:
        self.counts[kind] += 1
        await self._kinds[kind]()

    def _note(self, text: str) -> None:
        self.history.append(f"{time.monotonic() - self._began:7.3f} {text}")

    @contextlib.asynccontextmanager
    async def _span(
        self, text: str, *places: str, planned: bool = False
    ) -> AsyncIterator[None]:
        """Keep a disturbance from here to the end of the block."""
        span = self._disturbances.begin(*places, at=time.monotonic(), planned=planned)
        self._note(text)
        try:
            yield
        finally:
            span.end = time.monotonic()
            self._note(f"over: {text}")

    def _take(self, name: str) -> bool:
        """Reserve a thing, so that two faults do not undo each other."""
        if name in self._busy:
            return False
        self._busy.add(name)
        return True

    def _entry(self) -> EntryVm | None:
        entry = self._rng.choice(self._world.entries)
        return entry if self._take(entry.name) else None

    def _server(self) -> SoakedServer | None:
        """Return a server of any process, which has few plain servers."""
        host = self._rng.choice(self._world.hosts)
        servers = [s for s in self._world.servers if s.host is host]
        server = self._rng.choice(servers)
        return server if self._take(server.vm) else None

    def _some_s(self) -> float:
        return self._rng.uniform(0.3, 4.0)

    # Entry VMs

    async def _kill_entry(self) -> None:
        if (entry := self._entry()) is None:
            return
        async with self._span(f"{entry.name} killed", entry.name):
            await entry.process.end()
            await asyncio.sleep(self._some_s())
            await entry.process.start()
        self._busy.discard(entry.name)

    async def _kill_all_entries(self) -> None:
        taken = [e for e in self._world.entries if self._take(e.name)]
        async with self._span("all entries killed"):
            await asyncio.gather(*(e.process.end() for e in taken))
            await asyncio.sleep(self._some_s() / 2)
            for entry in taken:
                await entry.process.start()
        self._busy -= {entry.name for entry in taken}

    async def _pause_entry(self) -> None:
        if (entry := self._entry()) is None:
            return
        async with self._span(f"{entry.name} paused", entry.name):
            entry.process.signal(signal.SIGSTOP)
            await asyncio.sleep(self._some_s())
            entry.process.signal(signal.SIGCONT)
        self._busy.discard(entry.name)

    async def _stop_entry(self) -> None:
        if (entry := self._entry()) is not None:
            await self._restart(entry)

    async def _stop_entries_in_turn(self) -> None:
        for entry in list(self._world.entries):
            if self._take(entry.name):
                await self._restart(entry)

    async def _restart(self, entry: EntryVm) -> None:
        async with self._span(f"{entry.name} stopped", entry.name, planned=True):
            entry.process.signal(signal.SIGTERM)
            await entry.process.wait()
            await entry.process.start()
        self._busy.discard(entry.name)

    async def _reload_entries(self) -> None:
        for entry in self._world.entries:
            # A process that is just starting has no handler for the signal yet.
            if entry.takes_connections and entry.name not in self._busy:
                self._note(f"{entry.name} reloads")
                entry.process.signal(signal.SIGHUP)

    # The store

    async def _silence_store(self) -> None:
        if self._take("store"):
            async with self._span("store silent"):
                self._world.store.is_unresponsive = True
                await asyncio.sleep(self._some_s())
                self._world.store.is_unresponsive = False
            self._busy.discard("store")

    async def _let_store_refuse(self) -> None:
        if self._take("store"):
            async with self._span("store refuses"):
                self._world.store.error_status = _BUSY
                await asyncio.sleep(self._some_s())
                self._world.store.error_status = None
            self._busy.discard("store")

    async def _lose_answers(self) -> None:
        if self._take("store"):
            async with self._span("store loses answers"):
                self._world.store.drops_write_responses = True
                await asyncio.sleep(self._some_s())
                self._world.store.drops_write_responses = False
            self._busy.discard("store")

    async def _disturb_store_link(self) -> None:
        entry = self._rng.choice(self._world.entries)
        if not self._take(f"{entry.name}/store"):
            return
        fault = self._rng.choice(_LINK_FAULTS)
        async with self._span(f"{entry.name} store {fault.value}", entry.name):
            entry.store_link.delay_s = self._rng.uniform(0.05, 0.8)
            entry.store_link.fault = fault
            await asyncio.sleep(self._some_s())
            entry.store_link.fault = LinkFault.NONE
        self._busy.discard(f"{entry.name}/store")

    async def _reset_store_links(self) -> None:
        async with self._span("store links reset"):
            for entry in self._world.entries:
                entry.store_link.reset()

    # Servers

    async def _disturb_server_link(self) -> None:
        if (server := self._server()) is None:
            return
        fault = self._rng.choice(_LINK_FAULTS)
        async with self._span(f"{server.vm} link {fault.value}", server.vm):
            server.link.delay_s = self._rng.uniform(0.02, 0.4)
            server.link.fault = fault
            await asyncio.sleep(self._some_s())
            server.link.fault = LinkFault.NONE
        self._busy.discard(server.vm)

    async def _reset_server_links(self) -> None:
        async with self._span("server links reset", _SERVERS):
            for server in self._world.servers:
                if self._rng.random() < 0.5:
                    server.link.reset()

    async def _lose_server(self) -> None:
        if (server := self._server()) is None:
            return
        async with self._span(f"{server.vm} lost", _SERVERS):
            server.is_lost = True
            self._world.command(server, "dark")
            await self._world.lapse(server)
            await asyncio.sleep(self._some_s())
            self._start_server_again(server)
        self._busy.discard(server.vm)

    async def _restart_server(self) -> None:
        if (server := self._server()) is None:
            return
        async with self._span(f"{server.vm} restarts under its id", _SERVERS):
            self._start_server_again(server)
        self._busy.discard(server.vm)

    def _start_server_again(self, server: SoakedServer) -> None:
        server.is_lost = False
        self._world.command(server, "restart")

    async def _let_server_leave(self) -> None:
        if (server := self._server()) is None:
            return
        async with self._span(f"{server.vm} leaves", _SERVERS, planned=True):
            self._world.command(server, "drain")
            await asyncio.sleep(_DRAIN_S)
            server.is_lost = True
            await self._world.lapse(server)
            self._start_server_again(server)
        self._busy.discard(server.vm)

    async def _slow_server(self) -> None:
        if (server := self._server()) is None:
            return
        async with self._span(f"{server.vm} slow", _SERVERS):
            self._world.command(server, "slow", self._rng.uniform(2.0, 8.0))
            await asyncio.sleep(self._some_s())
            self._world.command(server, "slow", 1.0)
        self._busy.discard(server.vm)

    async def _garble(self) -> None:
        if (server := self._server()) is None:
            return
        async with self._span(f"{server.vm} garbles", _SERVERS):
            self._world.command(server, "garble", self._rng.uniform(0.1, 0.7))
            await asyncio.sleep(self._some_s())
            self._world.command(server, "garble", 0.0)
        self._busy.discard(server.vm)

    async def _pause_domain(self) -> None:
        host = self._rng.choice(self._world.hosts)
        if not self._take(host.name):
            return
        held = [s.vm for s in self._world.servers if s.host is host]
        async with self._span(f"{host.name} paused", *held):
            host.signal(signal.SIGSTOP)
            await asyncio.sleep(min(self._some_s(), 3.0))
            host.signal(signal.SIGCONT)
        self._busy.discard(host.name)

    # The operator

    async def _revoke(self) -> None:
        """Take a key away; the first key of each account stays."""
        deployment = self._world.deployment
        accounts = [a for a, keys in deployment.keys.items() if len(keys) > 1]
        if not accounts:
            return
        account = self._rng.choice(accounts)
        *kept, gone = deployment.keys[account]
        self._note(f"{gone} revoked")
        self._declare(keys=deployment.keys | {account: tuple(kept)})
        self._promises.revoked(gone, time.monotonic())

    async def _change_timeouts(self) -> None:
        self._note("timeouts changed")
        self._declare(plain_timeout_ms=self._rng.choice((1000, 1200, 1500)))

    def _declare(self, **changes: object) -> None:
        deployment = self._world.deployment
        version = deployment.version + 1
        changed = dataclasses.replace(deployment, version=version, **changes)  # type: ignore[arg-type]
        self._world.declare(changed)
