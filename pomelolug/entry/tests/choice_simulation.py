"""Many nodes that choose groups for streams on loads that are up to a second old."""

import datetime
import functools
import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Sequence

from pomelolug.clock import Clock
from pomelolug.deployment import (
    BackendServer,
    EngineProfile,
    GroupMembership,
    GroupState,
    ModelProfile,
    ServerState,
)
from pomelolug.entry.performance import (
    DeclaredDelayEstimator,
    LearnedDelayEstimator,
    StreamObservation,
    estimate_event_interval_s,
)
from pomelolug.entry.servers import (
    Candidate,
    GroupSelector,
)
from pomelolug.ids import DomainId, GroupId, ModelName, ServiceName, VmId, ZoneId
from pomelolug.messages import NodeStatus
from pomelolug.replicas.tests.simulated_node import ENGINE, seconds

__all__ = ["ENGINE_OF_TEST", "MODEL", "ChoiceSimulation"]

SLOTS = 7
PROMPT_TOKENS = 714
EVENTS = 22
"""Mean number of events of a stream."""
TARGET_S = 0.3
"""Latency target of the first event."""
MODEL = ModelProfile(
    name=ModelName("small"),
    group_size=4,
    time_factor=0.6,
    work_share=0.5,
    load_time=seconds(12),
    warm_load_time=seconds(1.1),
)
ENGINE_OF_TEST = EngineProfile(
    slots=SLOTS,
    kv_tokens=ENGINE.kv_tokens,
    step_ms=ENGINE.step_ms,
    step_ms_per_request=0.0967,
    step_ms_per_1000_tokens=0.003,
    prefill_tokens_per_s=ENGINE.prefill_tokens_per_s,
    tokens_per_event=10,
    loads_per_s=ENGINE.loads_per_s,
    max_concurrent_loads=ENGINE.max_concurrent_loads,
    staged_models=1,
    open_delay=ENGINE.open_delay,
    mean_prompt_tokens=PROMPT_TOKENS,
    mean_answer_tokens=10 * EVENTS,
    models=(MODEL,),
)


class _Group:
    """A group that runs up to `slots` streams and queues as many more."""

    def __init__(self, vm: str, zone: ZoneId, slowdown: float) -> None:
        self.server = BackendServer(
            vm=VmId(vm),
            start_time_ms=1,
            service=ServiceName("llm"),
            address="",
            zone=zone,
            domain=DomainId(zone),
            state=ServerState.READY,
            slots=SLOTS,
            staged=frozenset(),
            model=MODEL.name,
            membership=GroupMembership(GroupId(vm), 1, 0, GroupState.OPEN),
        )
        self.slowdown = slowdown
        self.full_slowdown = 1.0
        """Further factor if more than half of the slots are taken."""
        self.running = 0
        self.served = 0
        self.waiting: list[Callable[[], None]] = []

    def interval_s(self) -> float:
        """Return the time between two events at the present load."""
        slowdown = self.slowdown
        if 2 * self.running > SLOTS:
            slowdown *= self.full_slowdown
        return slowdown * estimate_event_interval_s(ENGINE_OF_TEST, MODEL, self.running)


class _SimulationClock(Clock):
    """Virtual time of a simulation."""

    def __init__(self, now_s: Callable[[], float]) -> None:
        self._now_s = now_s

    def monotonic(self) -> float:
        """Return the virtual time in seconds."""
        return self._now_s()

    def now(self) -> datetime.datetime:
        """Return the virtual time after 1970."""
        return datetime.datetime.fromtimestamp(self._now_s(), datetime.UTC)

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Fail, since nothing waits in a simulation."""
        raise AssertionError("nothing waits in a simulation")


class _Node:
    """Own requests of a node, and what it knows of those of other nodes."""

    def __init__(
        self,
        name: str,
        zone: ZoneId,
        zone_nodes: int,
        rng: random.Random,
        clock: Clock,
        *,
        learns: bool,
        is_relay: bool,
    ) -> None:
        self.name = name
        self.zone = zone
        self.is_relay = is_relay
        self.learned = LearnedDelayEstimator(zone=zone, clock=clock) if learns else None
        self.estimator = self.learned or DeclaredDelayEstimator()
        self.own: Counter[VmId] = Counter()
        self.reported: Counter[VmId] = Counter()
        self.selector = GroupSelector(zone=zone, rng=rng)
        self.selector.set_zone_node_count(zone_nodes)


class ChoiceSimulation:
    """Streams arrive at nodes, which select groups and tell each other their loads.

    A node tells its load to its zone every 0.25 s and 0.02 s for each node of the zone.
    The totals of a zone reach the other zones up to two such periods late.

    Parameters
    ----------
    nodes, zones, groups_per_zone : int
        Size of the deployment.
    rate_per_s : float
        Streams that arrive in a second.
    slow_groups : int
        Number of groups that take three times as long, which the nodes do not know.
    slowdowns : sequence of float
        Factors on the times of the groups, given to them in turn and in random order;
        the nodes do not know them.
    degrading_groups : int
        Number of groups that take three times as long when more than half full.
    undeclared_s : float
        Part of the time to a first event that the declared figures leave out.
    learns : bool
        Whether the nodes learn the speed of the groups, rather than take the declared
        one.
    seed : int
        Seed of all draws.
    """

    def __init__(
        self,
        *,
        nodes: int,
        rate_per_s: float,
        zones: int = 5,
        groups_per_zone: int = 22,
        slow_groups: int = 0,
        slowdowns: Sequence[float] = (),
        degrading_groups: int = 0,
        undeclared_s: float = 0.0,
        learns: bool = False,
        seed: int = 0,
    ) -> None:
        self._rng = random.Random(seed)
        self._now_s = 0.0
        clock = _SimulationClock(lambda: self._now_s)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._rate_per_s = rate_per_s
        self._undeclared_s = undeclared_s
        names = [ZoneId(f"z{number}") for number in range(zones)]
        self._groups = [
            _Group(f"{zone}-{number}", zone, 1.0)
            for zone in names
            for number in range(groups_per_zone)
        ]
        for group in self._rng.sample(self._groups, slow_groups):
            group.slowdown = 3.0
        if slowdowns:
            self._set_slowdowns(slowdowns)
        if degrading_groups:
            for group in self._rng.sample(self._groups, degrading_groups):
                group.full_slowdown = 3.0
        self._groups_by_vm = {group.server.vm: group for group in self._groups}
        zone_of_node = [names[number % zones] for number in range(nodes)]
        counts = Counter(zone_of_node)
        self._nodes = [
            _Node(
                f"n{number}",
                zone,
                counts[zone],
                self._rng,
                clock,
                learns=learns,
                is_relay=number < zones,
            )
            for number, zone in enumerate(zone_of_node)
        ]
        self._reports: dict[ZoneId, dict[ZoneId, Counter[VmId]]] = {
            zone: {} for zone in names
        }
        self._period_s = 0.25 + 0.02 * nodes / zones
        self.first_event_s: list[float] = []
        self.refused = 0
        self.turned_away = 0
        self.report_bytes = 0
        self.report_count = 0

    @property
    def late_share(self) -> float:
        """Share of all streams that were refused or missed the latency target."""
        late = sum(t > TARGET_S for t in self.first_event_s) + self.refused
        return late / max(len(self.first_event_s) + self.refused, 1)

    @property
    def estimators(self) -> list[LearnedDelayEstimator]:
        """What each node has learned."""
        return [node.learned for node in self._nodes if node.learned is not None]

    @property
    def groups(self) -> list[_Group]:
        """The groups."""
        return self._groups

    def change_slowdowns(self, at_s: float, slowdowns: Sequence[float]) -> None:
        """Set the factors on the times of the groups at a virtual time in seconds."""
        self._call_later(at_s - self._now_s, lambda: self._set_slowdowns(slowdowns))

    def forget_delays(self, at_s: float) -> None:
        """Count late streams anew from a virtual time in seconds."""

        def forget() -> None:
            self.first_event_s.clear()
            self.refused = self.turned_away = 0

        self._call_later(at_s - self._now_s, forget)

    def run(self, until_s: float) -> None:
        """Run until a virtual time in seconds."""
        self._arrive()
        for node in self._nodes:
            self._call_later(self._rng.random() * self._period_s, self._report(node))
        for zone in self._reports:
            self._call_later(self._rng.random() * self._period_s, self._relay(zone))
        while self._events and self._events[0][0] < until_s:
            self._now_s, _, callback = heapq.heappop(self._events)
            callback()

    def _set_slowdowns(self, slowdowns: Sequence[float]) -> None:
        for number, group in enumerate(
            self._rng.sample(self._groups, len(self._groups))
        ):
            group.slowdown = slowdowns[number % len(slowdowns)]

    def _call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        entry = (self._now_s + delay_s, next(self._sequence), callback)
        heapq.heappush(self._events, entry)

    def _report(self, node: _Node) -> Callable[[], None]:
        def report() -> None:
            node.reported = Counter(node.own)
            if node.learned is not None:
                self._report_speeds(node, node.learned)
            self._call_later(self._period_s, report)

        return report

    def _report_speeds(self, node: _Node, learned: LearnedDelayEstimator) -> None:
        """Deliver a status with what a node has learned, to the other zones later."""
        reports = learned.take_reports(is_relay=node.is_relay, reaches_servers=True)
        self.report_bytes += sum(map(len, (reports.own, reports.zone, reports.other)))
        self.report_count += 1
        status = NodeStatus(
            node=node.name,
            started_ms=1,
            serial=1,
            zone=node.zone,
            address="",
            datagram=node.name,
            declaration=1,
            relay=node.is_relay,
            speeds=reports.own,
            zone_speeds=reports.zone,
            other_speeds=reports.other,
        )
        for other in self._nodes:
            if other is node or other.learned is None:
                continue
            if other.zone == node.zone:
                other.learned.merge(status)
            elif node.is_relay and other.is_relay:
                delay_s = self._period_s * self._rng.random()
                self._call_later(
                    delay_s, functools.partial(other.learned.merge, status)
                )

    def _relay(self, zone: ZoneId) -> Callable[[], None]:
        def relay() -> None:
            total = self._zone_load(zone)
            delay_s = self._period_s * self._rng.random()
            self._call_later(delay_s, lambda: self._deliver(zone, total))
            self._call_later(self._period_s, relay)

        return relay

    def _deliver(self, source: ZoneId, total: Counter[VmId]) -> None:
        for zone, reports in self._reports.items():
            if zone != source:
                reports[source] = total

    def _zone_load(self, zone: ZoneId) -> Counter[VmId]:
        total: Counter[VmId] = Counter()
        for node in self._nodes:
            if node.zone == zone:
                total.update(node.reported)
        return total

    def _arrive(self) -> None:
        self._call_later(self._rng.expovariate(self._rate_per_s), self._arrive)
        self._send(self._rng.choice(self._nodes), self._now_s, set())

    def _send(self, node: _Node, arrived_s: float, tried: set[VmId]) -> None:
        load = self._zone_load(node.zone)
        load.subtract(node.reported)
        load.update(node.own)
        for total in self._reports[node.zone].values():
            load.update(total)
        candidates = []
        for group in self._groups:
            in_flight = load[group.server.vm]
            delay_s = node.estimator.choice_delay_s(
                group.server,
                ENGINE_OF_TEST,
                MODEL,
                in_flight=in_flight,
                prompt_tokens=PROMPT_TOKENS,
                target=seconds(TARGET_S),
            )
            limit = node.estimator.limit(group.server, ENGINE_OF_TEST)
            if group.server.vm not in tried and (
                in_flight < limit or delay_s <= TARGET_S
            ):
                candidates.append(Candidate(group.server, delay_s))
        candidate = node.selector.select(candidates)
        if candidate is None or len(tried) > 3:
            self.refused += 1
            return
        group = self._groups_by_vm[candidate.server.vm]
        if group.running + len(group.waiting) >= 2 * SLOTS:
            self.turned_away += 1
            self._send(node, arrived_s, tried | {group.server.vm})
            return
        in_flight = load[group.server.vm]
        node.own[group.server.vm] += 1
        observation = None
        if node.learned is not None:
            observation = node.learned.begin_stream(
                group.server,
                ENGINE_OF_TEST,
                MODEL,
                in_flight=in_flight,
                prompt_tokens=PROMPT_TOKENS,
            )
        self._start_or_wait(group, node, arrived_s, observation)

    def _start_or_wait(
        self,
        group: _Group,
        node: _Node,
        arrived_s: float,
        observation: StreamObservation | None,
    ) -> None:
        def start() -> None:
            group.running += 1
            group.served += 1
            interval_s = group.interval_s()
            first_s = interval_s * (0.5 + self._rng.random()) + 0.01
            first_s += group.slowdown * self._undeclared_s
            self.first_event_s.append(self._now_s + first_s - arrived_s)
            events = max(self._rng.expovariate(1 / EVENTS), 1.0)
            self._call_later(first_s + events * interval_s, end)
            if observation is not None:
                for number in range(int(events) + 1):
                    self._call_later(
                        first_s + number * interval_s, observation.record_event
                    )

        def end() -> None:
            group.running -= 1
            node.own[group.server.vm] -= 1
            if observation is not None:
                observation.end(is_sound=True)
            if group.waiting:
                group.waiting.pop(0)()

        if group.running < SLOTS:
            start()
        else:
            group.waiting.append(start)
