"""Tests of the decision which groups are given up for another model."""

import dataclasses
from collections.abc import Callable, Mapping

import pytest

from pomelolug.deployment import BackendServer, ServerState
from pomelolug.ids import DomainId, GroupId, ModelName, ServiceName, VmId, ZoneId
from pomelolug.replicas import FreeServer
from pomelolug.replicas._rebalance import (
    Conversion,
    DemandHistory,
    OpenGroup,
    Rebalancer,
    ServiceState,
)
from pomelolug.replicas.tests.simulated_node import ENGINE, LARGE, SMALL

ROUND_S = 0.1
SIZES = {model.name: model.group_size for model in ENGINE.models}


def member(vm: str, model: ModelName, zone: str, domain: str) -> FreeServer:
    server = BackendServer(
        vm=VmId(vm),
        start_time_ms=1,
        service=ServiceName("llm"),
        address="10.0.0.1:1",
        zone=ZoneId(zone),
        domain=DomainId(domain),
        state=ServerState.READY,
        slots=13,
        staged=frozenset({model}),
        model=model,
        membership=None,
    )
    return FreeServer(server, model)


class Service:
    """Groups of a service in three zones, which run what the decision asks for.

    Weights are loaded, and groups change their model, without a delay.
    """

    def __init__(self, *, large: int = 9, small: int = 9, zones: int = 3) -> None:
        self.decisions: list[tuple[float, str, str]] = []
        self.rebalancer = Rebalancer(on_decision=self._record)
        self.now_s = 0.0
        self.groups: list[OpenGroup] = []
        self.conversions: list[Conversion] = []
        self.lost = 0
        self.hindrance = ""
        self.loads = True
        for number in range(large):
            self._add(LARGE, f"z{number % zones}", f"d{number}")
        for number in range(small):
            self._add(SMALL, f"z{number % zones}", f"d{number}")

    def _add(self, model: ModelName, zone: str, domain: str) -> None:
        number = len(self.groups) + 100 * len(self.conversions)
        members = tuple(
            member(f"s{number}-{rank}", model, zone, domain)
            for rank in range(SIZES[model])
        )
        key = (GroupId(f"g{number:04}"), number)
        self.groups.append(
            OpenGroup(key, model, ZoneId(zone), DomainId(domain), 0, members)
        )

    def _record(self, event: str, reason: str, conversion: Conversion) -> None:
        self.decisions.append((self.now_s, event, reason))
        if event == "conversion_closing":
            self.conversions.append(conversion)

    def count(self, model: ModelName) -> int:
        return sum(group.model == model for group in self.groups)

    @property
    def events(self) -> list[str]:
        return [event for _, event, _ in self.decisions]

    def run(
        self, for_s: float, demand: Callable[[float], Mapping[ModelName, int]]
    ) -> None:
        """Run rounds with the streams in flight at each time, spread over groups."""
        end_s = self.now_s + for_s
        while self.now_s < end_s:
            self.now_s += ROUND_S
            self._run_round(demand(self.now_s))

    def _run_round(self, in_flight: Mapping[ModelName, int]) -> None:
        self.groups = [
            dataclasses.replace(
                group, in_flight=in_flight[group.model] // self.count(group.model)
            )
            for group in self.groups
        ]
        servers = {m: self.count(m) * SIZES[m] for m in SIZES}
        server_count = sum(servers.values()) - self.lost
        self.rebalancer.observe(in_flight, server_count=server_count, now_s=self.now_s)
        state = ServiceState(self.groups, servers, (), server_count, self.hindrance)
        step = self.rebalancer.step(state, ENGINE, now_s=self.now_s)
        if step.target is not None and self.loads:
            self._stage(set(step.stage), step.target)
        if step.close:
            self._convert(self.conversions[-1])

    def _stage(self, vms: set[VmId], target: ModelName) -> None:
        def staged(server: FreeServer) -> FreeServer:
            if server.server.vm not in vms:
                return server
            entry = dataclasses.replace(server.server, staged=frozenset({target}))
            return FreeServer(entry, server.last_model)

        self.groups = [
            dataclasses.replace(group, members=tuple(map(staged, group.members)))
            for group in self.groups
        ]

    def _convert(self, conversion: Conversion) -> None:
        given_up = conversion.groups
        self.groups = [g for g in self.groups if g.key not in conversion.keys]
        count = len(given_up) * SIZES[conversion.source] // SIZES[conversion.target]
        for _ in range(count):
            self._add(conversion.target, given_up[0].zone, given_up[0].domain)


def steady(*, large: int, small: int) -> Callable[[float], Mapping[ModelName, int]]:
    return lambda now_s: {LARGE: large, SMALL: small}


def test_steady_lopsided_demand_moves_groups_one_conversion_at_a_time():
    # Guards against a model that stays short of slots for good while most slots of
    # another are empty, and against several groups that are given up at once.
    service = Service()
    service.run(120.0, steady(large=10, small=75))
    assert service.count(SMALL) > 9
    closings = [at for at, event, _ in service.decisions if "closing" in event]
    assert closings[0] >= 15.0
    assert all(
        later - earlier >= 15.0
        for earlier, later in zip(closings, closings[1:], strict=False)
    )


def test_conversions_end_when_both_models_have_what_they_need():
    # Guards against groups that go on changing under steady demand.
    service = Service()
    service.run(300.0, steady(large=10, small=75))
    settled = len(service.decisions)
    service.run(600.0, steady(large=10, small=75))
    assert len(service.decisions) == settled


def test_balanced_demand_changes_nothing():
    # Guards against conversions where every model has enough servers.
    service = Service()
    service.run(300.0, steady(large=40, small=40))
    assert service.decisions == []


@pytest.mark.parametrize("length_s", [3.0, 10.0])
def test_burst_shorter_than_a_conversion_closes_no_group(length_s):
    # Guards against a group that is closed for a burst which is over before the new
    # groups are open.
    service = Service()
    service.run(30.0, steady(large=10, small=40))
    service.run(length_s, steady(large=10, small=110))
    service.run(60.0, steady(large=10, small=40))
    assert service.conversions == []


@pytest.mark.parametrize("period_s", [10.0, 40.0, 80.0])
def test_demand_that_alternates_does_not_move_groups_to_and_fro(period_s):
    # Guards against groups that swing between two models of which each is busy for
    # half of the time, so that both are short when their time comes.
    def demand(now_s: float) -> Mapping[ModelName, int]:
        if now_s % period_s < period_s / 2:
            return {LARGE: 10, SMALL: 80}
        return {LARGE: 80, SMALL: 10}

    service = Service()
    service.run(2 * period_s, demand)
    known = len(service.conversions)
    # The first phase of 20 s and more cannot be told from a lasting shortage.
    assert known == 0 or period_s > 10.0
    service.run(15 * 60.0, demand)
    assert len(service.conversions) == known


def test_demand_that_shifts_back_gets_its_groups_back():
    # Guards against a model that never gets back the groups that it gave up: one of
    # its groups needs the servers of several groups of the other model.
    service = Service(large=9, small=9)
    service.run(200.0, steady(large=10, small=75))
    fewest = service.count(LARGE)
    assert fewest < 9
    service.run(600.0, steady(large=60, small=10))
    assert service.count(LARGE) > fewest
    assert len(service.conversions[-1].groups) == 2


def test_no_group_is_closed_while_servers_are_lost_in_numbers():
    # Guards against groups that are given up while a domain is lost: what looks like
    # demand for one model is a loss of its groups.
    service = Service()
    service.run(10.0, steady(large=10, small=75))
    for _ in range(6):
        service.lost += 6
        service.run(8.0, steady(large=10, small=75))
    assert service.conversions == []


def test_single_losses_stop_no_conversion():
    # Guards against a shortage that lasts because now and then a server crashes.
    service = Service()
    for _ in range(10):
        service.lost = 1 - service.lost
        service.run(4.0, steady(large=10, small=75))
    assert service.conversions


@pytest.mark.parametrize("when_s", [0.0, 10.0])
def test_no_group_is_closed_under_a_hindrance(when_s):
    # Guards against a conversion beside formations, teardowns, an evacuation or
    # without the store, whether it has begun before or not.
    service = Service()
    service.run(when_s, steady(large=10, small=75))
    service.hindrance = "zone_evacuated"
    service.run(60.0, steady(large=10, small=75))
    assert service.conversions == []
    service.hindrance = ""
    service.run(60.0, steady(large=10, small=75))
    assert service.conversions


def test_no_group_is_closed_before_its_hosts_have_the_weights():
    # Guards against servers that serve no model for the time of a load, while the
    # load budget is used up by repairs.
    service = Service()
    service.loads = False
    service.run(300.0, steady(large=10, small=75))
    assert service.conversions == []
    assert ("conversion_dropped", "timeout") in {
        (event, reason) for _, event, reason in service.decisions
    }


def test_group_lost_during_staging_ends_the_conversion():
    # Guards against a second group that is given up while the first one is repaired.
    service = Service()
    service.loads = False
    service.run(6.0, steady(large=10, small=75))
    assert service.events == ["conversion_staging"]
    service.groups = [g for g in service.groups if g.model == SMALL or g.key[1] > 0]
    service.run(1.0, steady(large=10, small=75))
    assert service.decisions[-1][1:] == ("conversion_dropped", "group_lost")
    service.run(5.0, steady(large=10, small=75))
    assert len(service.events) == 2


def test_model_keeps_slots_for_the_loss_of_a_zone():
    # Guards against a surplus that is gone, with its streams refused, when a zone is.
    # Of 4 groups in 2 zones, 3 would be left, and 1 after the loss: 13 slots.
    service = Service(large=4, small=2, zones=2)
    service.run(120.0, steady(large=14, small=25))
    assert service.conversions == []
    service = Service(large=4, small=2, zones=2)
    service.run(120.0, steady(large=12, small=25))
    assert service.conversions


def test_last_group_of_a_zone_is_kept():
    # Guards against callers whose streams all go to other zones.
    service = Service(large=3, small=3)
    service.run(120.0, steady(large=1, small=30))
    assert service.conversions == []


def test_group_with_fewest_loads_in_the_zone_without_slots_is_given_up():
    # Guards against loads that are not needed, as for a group whose members have the
    # weights since a predecessor's conversion, and against new groups in a zone that
    # has slots.
    service = Service()
    service.run(1.0, steady(large=10, small=75))
    service.groups = [
        dataclasses.replace(g, in_flight=12 if g.zone == "z1" else 5)
        for g in service.groups
    ]
    staged = next(g for g in service.groups if g.model == LARGE and g.zone == "z2")
    for loads_known in (False, True):
        if loads_known:
            service._stage({m.server.vm for m in staged.members}, SMALL)
        rebalancer = Rebalancer(on_decision=service._record)
        chosen: list[Conversion] = []
        rebalancer._on_decision = lambda event, reason, c, to=chosen: to.append(c)
        servers = {m: service.count(m) * SIZES[m] for m in SIZES}
        state = ServiceState(service.groups, servers, (), sum(servers.values()))
        for number in range(60):
            now_s = number * ROUND_S
            rebalancer.observe({LARGE: 10, SMALL: 75}, server_count=81, now_s=now_s)
            rebalancer.step(state, ENGINE, now_s=now_s)
        zone = chosen[0].groups[0].zone
        assert zone == ("z2" if loads_known else "z1")


def test_mean_follows_demand_and_peak_is_kept_for_a_while():
    # Guards against a loss of groups, whose requests vanish for a moment, that looks
    # like the end of the demand.
    history = DemandHistory()
    for number in range(300):
        history.update({SMALL: 100}, now_s=number * ROUND_S)
    assert history.mean[SMALL] == pytest.approx(100.0)
    history.update({SMALL: 0}, now_s=30.5)
    assert history.mean[SMALL] > 85.0
    history.update({SMALL: 0}, now_s=60.0)
    assert history.mean[SMALL] < 1.0
    assert history.peak[SMALL] > 50.0
    history.update({SMALL: 0}, now_s=360.0)
    assert history.peak[SMALL] < 1.0
