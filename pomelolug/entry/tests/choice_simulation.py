"""Many nodes that choose groups for streams on loads that are up to a second old."""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable

from pomelolug.deployment import (
    BackendServer,
    EngineProfile,
    GroupMembership,
    GroupState,
    ModelProfile,
    ServerState,
)
from pomelolug.entry.performance import (
    estimate_event_interval_s,
    estimate_first_event_s,
)
from pomelolug.entry.servers import (
    Candidate,
    GroupSelector,
)
from pomelolug.ids import DomainId, GroupId, ModelName, ServiceName, VmId, ZoneId
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
        self.running = 0
        self.waiting: list[Callable[[], None]] = []


class _Node:
    """Own requests of a node, and what it knows of those of other nodes."""

    def __init__(self, zone: ZoneId, zone_nodes: int, rng: random.Random) -> None:
        self.zone = zone
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
        seed: int = 0,
    ) -> None:
        self._rng = random.Random(seed)
        self._now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._rate_per_s = rate_per_s
        names = [ZoneId(f"z{number}") for number in range(zones)]
        self._groups = [
            _Group(f"{zone}-{number}", zone, 1.0)
            for zone in names
            for number in range(groups_per_zone)
        ]
        for group in self._rng.sample(self._groups, slow_groups):
            group.slowdown = 3.0
        zone_of_node = [names[number % zones] for number in range(nodes)]
        counts = Counter(zone_of_node)
        self._nodes = [_Node(z, counts[z], self._rng) for z in zone_of_node]
        self._reports: dict[ZoneId, dict[ZoneId, Counter[VmId]]] = {
            zone: {} for zone in names
        }
        self._period_s = 0.25 + 0.02 * nodes / zones
        self.first_event_s: list[float] = []
        self.refused = 0
        self.turned_away = 0

    @property
    def late_share(self) -> float:
        """Share of all streams that were refused or missed the latency target."""
        late = sum(t > TARGET_S for t in self.first_event_s) + self.refused
        return late / max(len(self.first_event_s) + self.refused, 1)

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

    def _call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        entry = (self._now_s + delay_s, next(self._sequence), callback)
        heapq.heappush(self._events, entry)

    def _report(self, node: _Node) -> Callable[[], None]:
        def report() -> None:
            node.reported = Counter(node.own)
            self._call_later(self._period_s, report)

        return report

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
            delay_s = estimate_first_event_s(
                ENGINE_OF_TEST, MODEL, in_flight, PROMPT_TOKENS
            )
            if group.server.vm not in tried and (
                in_flight < SLOTS or delay_s <= TARGET_S
            ):
                candidates.append(Candidate(group.server, delay_s))
        candidate = node.selector.select(candidates)
        if candidate is None or len(tried) > 3:
            self.refused += 1
            return
        group = next(g for g in self._groups if g.server is candidate.server)
        if group.running + len(group.waiting) >= 2 * SLOTS:
            self.turned_away += 1
            self._send(node, arrived_s, tried | {group.server.vm})
            return
        node.own[group.server.vm] += 1
        self._start_or_wait(group, node, arrived_s)

    def _start_or_wait(self, group: _Group, node: _Node, arrived_s: float) -> None:
        def start() -> None:
            group.running += 1
            interval_s = group.slowdown * estimate_event_interval_s(
                ENGINE_OF_TEST, MODEL, group.running
            )
            first_s = interval_s * (0.5 + self._rng.random()) + 0.01
            self.first_event_s.append(self._now_s + first_s - arrived_s)
            events = max(self._rng.expovariate(1 / EVENTS), 1.0)
            self._call_later(first_s + events * interval_s, end)

        def end() -> None:
            group.running -= 1
            node.own[group.server.vm] -= 1
            if group.waiting:
                group.waiting.pop(0)()

        if group.running < SLOTS:
            start()
        else:
            group.waiting.append(start)
