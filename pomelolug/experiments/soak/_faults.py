"""Faults of a soak, drawn from the seed, singly and in pairs."""

import asyncio
import contextlib
import datetime
import random
from collections.abc import Awaitable, Callable

from pomelolug.errors import PomelolugError
from pomelolug.experiments.soak._entry import EntryVm
from pomelolug.experiments.soak._world import ZONES, World
from pomelolug.ids import Offset

__all__ = ["FaultDriver"]

_PAIR_SHARE = 0.35
_MAX_AT_ONCE = 5
_IN_FORCE_S = 16.0
_DRAIN_LIMIT_S = 60.0


class FaultDriver:
    """Injects faults and heals them again.

    Parameters
    ----------
    world : World
        What the faults strike.
    random_state : random.Random
        Draws kinds, places and times.
    mean_gap_s : float
        Mean time between two draws in virtual seconds.
    """

    def __init__(
        self, world: World, *, random_state: random.Random, mean_gap_s: float
    ) -> None:
        self._world = world
        self._random = random_state
        self._mean_gap_s = mean_gap_s
        self._running: set[asyncio.Task[None]] = set()
        self.impaired_until: dict[str, float] = {}
        self._kinds: dict[str, Callable[[], Awaitable[None]]] = {
            "member_death": self._member_death,
            "member_pause": self._member_pause,
            "straggler": self._straggler,
            "dark_domain": self._dark_domain,
            "leaving_vm": self._leaving_vm,
            "silent_connections": self._silent_connections,
            "crashing_request": self._crashing_request,
            "log_down": self._log_down,
            "log_slow": self._log_slow,
            "log_answers_lost": self._log_answers_lost,
            "log_cut_off_zone": self._log_cut_off_zone,
            "retention_passes": self._retention_passes,
            "partition": self._partition,
            "peers_apart": self._peers_apart,
            "one_way_loss": self._one_way_loss,
            "regions_apart": self._regions_apart,
            "node_pause": self._node_pause,
            "node_restart": self._node_restart,
            "control_lost": self._control_lost,
            "entry_vm_lost": self._entry_vm_lost,
            "planned_stop": self._planned_stop,
            "configuration_change": self._configuration_change,
            "operators_race": self._operators_race,
            "vm_list_lags": self._vm_list_lags,
            "service_down": self._service_down,
            "weight_store_down": self._weight_store_down,
        }

    async def run(self) -> None:
        """Draw faults until cancelled."""
        names = sorted(self._kinds)
        while True:
            await asyncio.sleep(self._random.expovariate(1 / self._mean_gap_s))
            count = 2 if self._random.random() < _PAIR_SHARE else 1
            for name in self._random.sample(names, count):
                if len(self._running) < _MAX_AT_ONCE:
                    self.start(name)

    def start(self, name: str) -> None:
        """Inject the fault `name` in the background."""
        self._world.journal.faults[name] += 1
        task = asyncio.create_task(self._inject(name))
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    async def _inject(self, name: str) -> None:
        self._world.journal.note(f"fault {name} begins")
        await self._kinds[name]()
        self._world.journal.note(f"fault {name} ends")

    async def settle(self) -> None:
        """Wait until every fault is healed."""
        while self._running:
            await asyncio.wait(set(self._running))

    def is_impaired(self, entry: EntryVm, since: float) -> bool:
        """Return whether a fault kept `entry` from hearing of a change."""
        return self.impaired_until.get(entry.name, 0.0) > since

    def _impair(self, entries: list[EntryVm], seconds: float) -> None:
        until = self._world.clock.monotonic() + seconds + _IN_FORCE_S
        for entry in entries:
            known = self.impaired_until.get(entry.name, 0.0)
            self.impaired_until[entry.name] = max(known, until)

    def _some_vm(self) -> str:
        return self._random.choice(sorted(self._world.fleet.vms))

    def _member(self) -> str:
        vms = self._world.fleet.vms
        members = [v.vm for v in vms.values() if v.order is not None and v.alive]
        return self._random.choice(sorted(members)) if members else self._some_vm()

    def _duration(self, low: float, high: float) -> float:
        return self._random.uniform(low, high)

    async def _wait(self, low: float, high: float) -> None:
        await asyncio.sleep(self._duration(low, high))

    async def _member_death(self) -> None:
        vm = self._member()
        self._world.fleet.kill(vm)
        await self._wait(1, 40)
        self._revive(vm, held=self._random.random() < 0.5)

    def _revive(self, vm: str, *, held: bool) -> None:
        state = self._world.fleet.vms[vm]  # type: ignore[index]
        if not state.alive:
            self._world.fleet.restart(vm, held=held)

    async def _member_pause(self) -> None:
        vm = self._member()
        self._world.fleet.pause(vm)
        await self._wait(0.5, 15)
        self._world.fleet.resume(vm)

    async def _straggler(self) -> None:
        state = self._world.fleet.vms[self._member()]  # type: ignore[index]
        state.step_time_s = 0.1
        await self._wait(10, 40)
        state.step_time_s = 0.02

    async def _dark_domain(self) -> None:
        domain = f"d{self._random.randrange(6)}"
        self._world.fleet.darken(domain)
        await self._wait(2, 30)
        self._world.fleet.lighten(domain)

    async def _leaving_vm(self) -> None:
        fleet = self._world.fleet
        vm = self._member()
        state = fleet.vms[vm]  # type: ignore[index]
        if state.leaving or not state.alive:
            return
        state.leaving = True
        fleet.leaving_since[state.vm] = self._world.clock.monotonic()
        await self._wait(15, 40)
        state.listed = False
        fleet.kill(vm)
        await self._wait(1, 10)
        fleet.leaving_since.pop(state.vm, None)
        state.leaving = False
        state.listed = True
        fleet.restart(vm)

    async def _silent_connections(self) -> None:
        self._world.fleet.silence(self._member())

    async def _crashing_request(self) -> None:
        self._world.callers.start(self._world.callers.crashing())

    async def _log_down(self) -> None:
        seconds = self._duration(2, 40)
        self._impair(self._world.entries, seconds)
        self._world.log.faults.down = True
        await asyncio.sleep(seconds)
        self._world.log.faults.down = False

    async def _log_slow(self) -> None:
        seconds = self._duration(2, 20)
        self._impair(self._world.entries, seconds)
        self._world.log.faults.silent = True
        await asyncio.sleep(seconds)
        self._world.log.faults.silent = False

    async def _log_answers_lost(self) -> None:
        faults = self._world.log.faults
        faults.answer_loss_rate, faults.append_loss_rate = 0.4, 0.1
        faults.apply_delay = datetime.timedelta(seconds=self._duration(0, 2))
        await self._wait(5, 20)
        faults.answer_loss_rate = faults.append_loss_rate = 0.0

    async def _log_cut_off_zone(self) -> None:
        # The zone's nodes are not impaired: their peers have to tell them.
        zone = self._random.choice(ZONES)
        if zone in self._world.log_cut:
            return
        self._world.log_cut.add(zone)
        await self._wait(5, 40)
        self._world.log_cut.discard(zone)

    async def _retention_passes(self) -> None:
        for stream in ("config", "groups", "containment"):
            records = self._world.log.records(stream)
            if len(records) > 4:
                oldest = records[len(records) // 2].offset
                self._world.log.expire_before(stream, Offset(oldest))

    async def _partition(self) -> None:
        zone = self._random.choice(ZONES)
        await self._cut_off({zone}, log=self._random.random() < 0.5)

    async def _peers_apart(self) -> None:
        # Entry VMs cannot reach each other, backend servers can be reached.
        zone = self._random.choice(ZONES)
        await self._cut_off({zone}, log=False, engines=False)

    async def _regions_apart(self) -> None:
        await self._cut_off({"z3"}, log=True)

    async def _cut_off(
        self, zones: set[str], *, log: bool, engines: bool = True
    ) -> None:
        world = self._world
        inside = [entry for entry in world.entries if entry.zone in zones]
        outside = [entry for entry in world.entries if entry.zone not in zones]
        seconds = self._duration(5, 40)
        self._impair(inside if log else [], seconds)
        pairs = [
            pair
            for one in inside
            for other in outside
            for pair in (
                (one.address, other.address),
                (other.address, one.address),
            )
        ]
        cuts = {(a, b) for a in zones for b in set(ZONES) - zones}
        cuts |= {(b, a) for a, b in cuts}
        cuts = cuts - world.cut_zones if engines else set()
        log_cuts = zones - world.log_cut if log else set()
        for pair in pairs:
            world.network.cut(*pair)
        world.cut_zones |= cuts
        world.log_cut |= log_cuts
        await asyncio.sleep(seconds)
        for pair in pairs:
            world.network.uncut(*pair)
        world.cut_zones -= cuts
        world.log_cut -= log_cuts

    async def _one_way_loss(self) -> None:
        one, other = self._random.sample(self._world.entries, 2)
        self._world.network.cut(one.address, other.address)
        await self._wait(5, 30)
        self._world.network.uncut(one.address, other.address)

    def _running_entry(self) -> EntryVm | None:
        entries = [e for e in self._world.entries if e.running and not e.draining]
        # Some have to stay, else the balancer has nobody to send to.
        if len(entries) <= 4:
            return None
        return self._random.choice(entries)

    async def _node_pause(self) -> None:
        entry = self._running_entry()
        if entry is None:
            return
        seconds = self._duration(0.5, 15)
        self._impair([entry], seconds)
        clock = entry.clock
        clock.pause()
        await asyncio.sleep(seconds)
        clock.resume()

    async def _node_restart(self) -> None:
        entry = self._running_entry()
        if entry is not None:
            await self._stop_and_start(entry, self._duration(0.2, 5))

    async def _control_lost(self) -> None:
        entry = self._running_entry()
        if entry is None or entry.control is None:
            return
        seconds = self._duration(1, 25)
        self._impair([entry], seconds)
        await entry.stop_control()
        await asyncio.sleep(seconds)
        if entry.running and entry.control is None:
            entry.start_control()

    async def _entry_vm_lost(self) -> None:
        entry = self._running_entry()
        if entry is not None:
            await self._stop_and_start(entry, self._duration(12, 40))

    async def _stop_and_start(self, entry: EntryVm, seconds: float) -> None:
        self._impair([entry], seconds)
        await entry.stop()
        await asyncio.sleep(seconds)
        entry.start()

    async def _planned_stop(self) -> None:
        world = self._world
        entry = self._running_entry()
        if entry is None or entry.gateway is None:
            return
        entry.draining = True
        entry.gateway.lifecycle.start_draining()
        until = world.clock.monotonic() + _DRAIN_LIMIT_S
        while entry.callers and world.clock.monotonic() < until:  # noqa: ASYNC110
            await asyncio.sleep(0.1)
        if entry.callers:
            world.journal.violation(f"planned stop of {entry.name} cuts requests off")
        if entry.running:
            await self._stop_and_start(entry, self._duration(1, 10))

    async def _configuration_change(self) -> None:
        with contextlib.suppress(PomelolugError, TimeoutError):
            await self._world.publish()

    async def _operators_race(self) -> None:
        base = self._world.version
        results = await asyncio.gather(
            self._world.publish(operator=0, base=base),
            self._world.publish(operator=1, base=base),
            return_exceptions=True,
        )
        if results.count(True) > 1:
            self._world.journal.violation("two racing operators were both told to win")

    async def _vm_list_lags(self) -> None:
        # Not together with a leaving VM's bound: the list's lag is the platform's.
        self._world.directory.lag_s = 4.0
        await self._wait(5, 20)
        self._world.directory.lag_s = 2.0

    async def _service_down(self) -> None:
        address = f"service{self._random.randint(1, 3)}:80"
        down = self._random.random() < 0.5
        places = self._world.service.down
        if not down:
            places = self._world.service.cut_after_effect
        places.add(address)
        await self._wait(3, 20)
        places.discard(address)

    async def _weight_store_down(self) -> None:
        self._world.store.is_down = True
        await self._wait(3, 20)
        self._world.store.is_down = False
