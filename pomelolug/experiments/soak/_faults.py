"""Fault injection of a soak: random faults, singly and in pairs."""

import asyncio
import contextlib
import datetime
import random
from collections.abc import Awaitable, Callable

from pomelolug.errors import PomelolugError
from pomelolug.experiments.soak._cluster import ZONES, SimulatedCluster
from pomelolug.experiments.soak._entry import EntryVm
from pomelolug.ids import Offset

__all__ = ["FaultInjector"]

_PAIR_SHARE = 0.35
_MAX_CONCURRENT_FAULTS = 5
_PROPAGATION_LIMIT_S = 16.0
_DRAIN_TIMEOUT_S = 60.0


class FaultInjector:
    """Injects faults and undoes them after a while.

    Parameters
    ----------
    cluster : SimulatedCluster
        Cluster to inject the faults into.
    random_state : random.Random
        Draws kinds, targets and times.
    mean_interval_s : float
        Mean time between two injections in virtual seconds.
    """

    def __init__(
        self,
        cluster: SimulatedCluster,
        *,
        random_state: random.Random,
        mean_interval_s: float,
    ) -> None:
        self._cluster = cluster
        self._random = random_state
        self._mean_interval_s = mean_interval_s
        self._fault_tasks: set[asyncio.Task[None]] = set()
        self.impaired_until_s: dict[str, float] = {}
        self._faults_by_kind: dict[str, Callable[[], Awaitable[None]]] = {
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
        """Inject random faults until cancelled."""
        kinds = sorted(self._faults_by_kind)
        while True:
            await asyncio.sleep(self._random.expovariate(1 / self._mean_interval_s))
            kind_count = 2 if self._random.random() < _PAIR_SHARE else 1
            for kind in self._random.sample(kinds, kind_count):
                if len(self._fault_tasks) < _MAX_CONCURRENT_FAULTS:
                    self.start(kind)

    def start(self, kind: str) -> None:
        """Inject a fault of `kind` in the background."""
        self._cluster.journal.faults[kind] += 1
        task = asyncio.create_task(self._inject(kind))
        self._fault_tasks.add(task)
        task.add_done_callback(self._fault_tasks.discard)

    async def _inject(self, kind: str) -> None:
        self._cluster.journal.record_event(f"fault {kind} begins")
        await self._faults_by_kind[kind]()
        self._cluster.journal.record_event(f"fault {kind} ends")

    async def wait_until_healed(self) -> None:
        """Wait until every fault is undone."""
        while self._fault_tasks:
            await asyncio.wait(set(self._fault_tasks))

    def is_impaired(self, entry: EntryVm, since_s: float) -> bool:
        """Return whether a fault may have kept `entry` from learning of a change."""
        return self.impaired_until_s.get(entry.name, 0.0) > since_s

    def _impair(self, entries: list[EntryVm], duration_s: float) -> None:
        until_s = self._cluster.clock.monotonic() + duration_s + _PROPAGATION_LIMIT_S
        for entry in entries:
            previous_s = self.impaired_until_s.get(entry.name, 0.0)
            self.impaired_until_s[entry.name] = max(previous_s, until_s)

    def _random_vm(self) -> str:
        return self._random.choice(sorted(self._cluster.fleet.vms))

    def _random_member(self) -> str:
        vms = self._cluster.fleet.vms
        members = [v.vm for v in vms.values() if v.order is not None and v.alive]
        return self._random.choice(sorted(members)) if members else self._random_vm()

    def _random_duration_s(self, min_s: float, max_s: float) -> float:
        return self._random.uniform(min_s, max_s)

    async def _sleep_random(self, min_s: float, max_s: float) -> None:
        await asyncio.sleep(self._random_duration_s(min_s, max_s))

    async def _member_death(self) -> None:
        vm = self._random_member()
        self._cluster.fleet.kill(vm)
        await self._sleep_random(1, 40)
        self._restart_if_dead(vm, held=self._random.random() < 0.5)

    def _restart_if_dead(self, vm: str, *, held: bool) -> None:
        state = self._cluster.fleet.vms[vm]  # type: ignore[index]
        if not state.alive:
            self._cluster.fleet.restart(vm, keep_weights=held)

    async def _member_pause(self) -> None:
        vm = self._random_member()
        self._cluster.fleet.pause(vm)
        await self._sleep_random(0.5, 15)
        self._cluster.fleet.resume(vm)

    async def _straggler(self) -> None:
        state = self._cluster.fleet.vms[self._random_member()]  # type: ignore[index]
        state.step_time_s = 0.1
        await self._sleep_random(10, 40)
        state.step_time_s = 0.02

    async def _dark_domain(self) -> None:
        domain = f"d{self._random.randrange(6)}"
        self._cluster.fleet.disconnect_domain(domain)
        await self._sleep_random(2, 30)
        self._cluster.fleet.reconnect_domain(domain)

    async def _leaving_vm(self) -> None:
        fleet = self._cluster.fleet
        vm = self._random_member()
        state = fleet.vms[vm]  # type: ignore[index]
        if state.leaving or not state.alive:
            return
        state.leaving = True
        fleet.leaving_since_s[state.vm] = self._cluster.clock.monotonic()
        await self._sleep_random(15, 40)
        state.listed = False
        fleet.kill(vm)
        await self._sleep_random(1, 10)
        fleet.leaving_since_s.pop(state.vm, None)
        state.leaving = False
        state.listed = True
        fleet.restart(vm)

    async def _silent_connections(self) -> None:
        self._cluster.fleet.silence_streams(self._random_member())

    async def _crashing_request(self) -> None:
        self._cluster.callers.submit(self._cluster.callers.new_crashing_job())

    async def _log_down(self) -> None:
        duration_s = self._random_duration_s(2, 40)
        self._impair(self._cluster.entries, duration_s)
        self._cluster.log.faults.down = True
        await asyncio.sleep(duration_s)
        self._cluster.log.faults.down = False

    async def _log_slow(self) -> None:
        duration_s = self._random_duration_s(2, 20)
        self._impair(self._cluster.entries, duration_s)
        self._cluster.log.faults.silent = True
        await asyncio.sleep(duration_s)
        self._cluster.log.faults.silent = False

    async def _log_answers_lost(self) -> None:
        faults = self._cluster.log.faults
        faults.answer_loss_rate, faults.append_loss_rate = 0.4, 0.1
        faults.apply_delay = datetime.timedelta(seconds=self._random_duration_s(0, 2))
        await self._sleep_random(5, 20)
        faults.answer_loss_rate = faults.append_loss_rate = 0.0

    async def _log_cut_off_zone(self) -> None:
        # The nodes of the zone do not count as impaired: their peers must inform them.
        zone = self._random.choice(ZONES)
        if zone in self._cluster.zones_without_log:
            return
        self._cluster.zones_without_log.add(zone)
        await self._sleep_random(5, 40)
        self._cluster.zones_without_log.discard(zone)

    async def _retention_passes(self) -> None:
        for stream in ("config", "groups", "containment"):
            records = self._cluster.log.records(stream)
            if len(records) > 4:
                oldest = records[len(records) // 2].offset
                self._cluster.log.expire_before(stream, Offset(oldest))

    async def _partition(self) -> None:
        zone = self._random.choice(ZONES)
        await self._isolate_zones({zone}, cut_log=self._random.random() < 0.5)

    async def _peers_apart(self) -> None:
        # Entry VMs cannot reach those of other zones, but reach all backend servers.
        zone = self._random.choice(ZONES)
        await self._isolate_zones({zone}, cut_log=False, cut_backends=False)

    async def _regions_apart(self) -> None:
        await self._isolate_zones({"z3"}, cut_log=True)

    async def _isolate_zones(
        self, zones: set[str], *, cut_log: bool, cut_backends: bool = True
    ) -> None:
        cluster = self._cluster
        inside = [entry for entry in cluster.entries if entry.zone in zones]
        outside = [entry for entry in cluster.entries if entry.zone not in zones]
        duration_s = self._random_duration_s(5, 40)
        self._impair(inside if cut_log else [], duration_s)
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
        cuts = cuts - cluster.cut_zone_pairs if cut_backends else set()
        log_cuts = zones - cluster.zones_without_log if cut_log else set()
        for pair in pairs:
            cluster.network.cut(*pair)
        cluster.cut_zone_pairs |= cuts
        cluster.zones_without_log |= log_cuts
        await asyncio.sleep(duration_s)
        for pair in pairs:
            cluster.network.uncut(*pair)
        cluster.cut_zone_pairs -= cuts
        cluster.zones_without_log -= log_cuts

    async def _one_way_loss(self) -> None:
        one, other = self._random.sample(self._cluster.entries, 2)
        self._cluster.network.cut(one.address, other.address)
        await self._sleep_random(5, 30)
        self._cluster.network.uncut(one.address, other.address)

    def _random_running_entry(self) -> EntryVm | None:
        entries = [
            e for e in self._cluster.entries if e.is_running and not e.is_draining
        ]
        # Enough have to stay for the load balancer to send requests to.
        if len(entries) <= 4:
            return None
        return self._random.choice(entries)

    async def _node_pause(self) -> None:
        entry = self._random_running_entry()
        if entry is None:
            return
        duration_s = self._random_duration_s(0.5, 15)
        self._impair([entry], duration_s)
        clock = entry.clock
        clock.pause()
        await asyncio.sleep(duration_s)
        clock.resume()

    async def _node_restart(self) -> None:
        entry = self._random_running_entry()
        if entry is not None:
            await self._restart_entry(entry, self._random_duration_s(0.2, 5))

    async def _control_lost(self) -> None:
        entry = self._random_running_entry()
        if entry is None or entry.control is None:
            return
        duration_s = self._random_duration_s(1, 25)
        self._impair([entry], duration_s)
        await entry.stop_control()
        await asyncio.sleep(duration_s)
        if entry.is_running and entry.control is None:
            entry.start_control()

    async def _entry_vm_lost(self) -> None:
        entry = self._random_running_entry()
        if entry is not None:
            await self._restart_entry(entry, self._random_duration_s(12, 40))

    async def _restart_entry(self, entry: EntryVm, duration_s: float) -> None:
        self._impair([entry], duration_s)
        await entry.stop()
        await asyncio.sleep(duration_s)
        entry.start()

    async def _planned_stop(self) -> None:
        cluster = self._cluster
        entry = self._random_running_entry()
        if entry is None or entry.gateway is None:
            return
        entry.is_draining = True
        entry.gateway.lifecycle.start_draining()
        until_s = cluster.clock.monotonic() + _DRAIN_TIMEOUT_S
        while entry.open_calls and cluster.clock.monotonic() < until_s:  # noqa: ASYNC110
            await asyncio.sleep(0.1)
        if entry.open_calls:
            cluster.journal.record_violation(
                f"planned stop of {entry.name} cuts requests off"
            )
        if entry.is_running:
            await self._restart_entry(entry, self._random_duration_s(1, 10))

    async def _configuration_change(self) -> None:
        with contextlib.suppress(PomelolugError, TimeoutError):
            await self._cluster.publish()

    async def _operators_race(self) -> None:
        base = self._cluster.version
        results = await asyncio.gather(
            self._cluster.publish(operator=0, base=base),
            self._cluster.publish(operator=1, base=base),
            return_exceptions=True,
        )
        if results.count(True) > 1:
            self._cluster.journal.record_violation(
                "two racing operators were both told to win"
            )

    async def _vm_list_lags(self) -> None:
        # The bound for leaving VMs does not include this lag, which is the platform's.
        self._cluster.directory.lag_s = 4.0
        await self._sleep_random(5, 20)
        self._cluster.directory.lag_s = 2.0

    async def _service_down(self) -> None:
        address = f"service{self._random.randint(1, 3)}:80"
        is_down = self._random.random() < 0.5
        addresses = self._cluster.plain_service.down_addresses
        if not is_down:
            addresses = self._cluster.plain_service.reset_after_execution
        addresses.add(address)
        await self._sleep_random(3, 20)
        addresses.discard(address)

    async def _weight_store_down(self) -> None:
        self._cluster.weight_store.is_down = True
        await self._sleep_random(3, 20)
        self._cluster.weight_store.is_down = False
