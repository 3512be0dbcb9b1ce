"""Tests of the planning of groups and of the weights of spares."""

from pomelolug.deployment import BackendServer, ServerState
from pomelolug.ids import DomainId, ModelName, ServiceName, VmId, ZoneId
from pomelolug.replicas import (
    FreeServer,
    needed_servers,
    plan_groups,
    plan_second_weights,
    plan_staging,
)
from pomelolug.replicas.tests.simulated_node import ENGINE, LARGE, SMALL

MODELS = ENGINE.models
SERVERS_NEEDED = {LARGE: 44.0, SMALL: 22.0}


def free_server(
    number: int, *, staged: str = "", last: str = "", domain: str = "d0"
) -> FreeServer:
    server = BackendServer(
        vm=VmId(f"{domain}-{number:02}"),
        start_time_ms=1,
        service=ServiceName("llm"),
        address="10.0.0.1:1",
        zone=ZoneId("z"),
        domain=DomainId(domain),
        state=ServerState.READY,
        slots=13,
        staged=frozenset({ModelName(staged)} if staged else ()),
        model=None,
        membership=None,
    )
    return FreeServer(server, ModelName(last) if last else None)


def test_no_group_is_planned_that_would_wait_for_a_load():
    # Guards against five ready servers that wait 16 s for a sixth to load, while
    # three of them could serve another model.
    candidates = [free_server(n, last=LARGE, staged=SMALL) for n in range(5)] + [
        free_server(9)
    ]
    groups = plan_groups(candidates, MODELS, {}, SERVERS_NEEDED, allow_loads=False)
    assert [g.model.name for g in groups] == [SMALL]
    assert groups[0].load_count == 0


def test_servers_with_weights_in_memory_are_chosen_first():
    # Guards against a repair that takes 1.6 s longer than necessary, because staged
    # weights have to be loaded into memory.
    candidates = [free_server(n, staged=LARGE) for n in range(3)]
    candidates += [free_server(n, last=LARGE) for n in range(3, 9)]
    (group,) = plan_groups(
        candidates, MODELS[:1], {}, SERVERS_NEEDED, allow_loads=False
    )
    assert {m.last_model for m in group.members} == {LARGE}


def test_no_group_spans_fabric_domains():
    # Guards against groups across domains, which run three times slower.
    candidates = [free_server(n, last=LARGE, domain=f"d{n % 2}") for n in range(10)]
    for group in plan_groups(candidates, MODELS, {}, SERVERS_NEEDED, allow_loads=True):
        assert len({m.server.domain for m in group.members}) == 1


def test_model_with_largest_shortage_comes_first():
    # Guards against a model that stays short of servers while another has too many.
    candidates = [free_server(n, last=SMALL, staged=LARGE) for n in range(6)]
    servers_in_groups = {LARGE: 36, SMALL: 3}
    groups = plan_groups(
        candidates, MODELS, servers_in_groups, SERVERS_NEEDED, allow_loads=False
    )
    assert [g.model.name for g in groups] == [SMALL, SMALL]


def test_requests_in_flight_increase_the_need_of_their_model():
    # Guards against planning by declared shares only, which ignores a burst on one
    # model.
    calm = needed_servers(MODELS, {LARGE: 30, SMALL: 30}, slots=13, server_count=66)
    burst = needed_servers(MODELS, {LARGE: 30, SMALL: 90}, slots=13, server_count=66)
    assert burst[SMALL] > 2 * calm[SMALL]
    assert burst[LARGE] == calm[LARGE]


def test_idle_model_needs_half_of_its_declared_share():
    # Guards against a model that loses all its servers when it is idle for a minute.
    needed = needed_servers(MODELS, {}, slots=13, server_count=60)
    assert round(needed[LARGE] + needed[SMALL]) == 30


def test_load_that_completes_a_group_comes_first():
    # Guards against loads for spares while a group waits for a member to load.
    waiting = [free_server(n, last=LARGE, domain="d1") for n in range(5)]
    waiting.append(free_server(9, domain="d1"))
    spare = free_server(0, domain="d0")
    loads = plan_staging(
        [spare, *waiting],
        MODELS,
        {DomainId("d0"): [LARGE]},
        {LARGE: 30},
        SERVERS_NEEDED,
    )
    assert loads[0] == (VmId("d1-09"), LARGE)
    assert (VmId("d0-00"), LARGE) in loads


def test_spares_of_a_domain_hold_the_weights_of_its_groups():
    # Guards against a spare that cannot join any group of its domain.
    loads = plan_staging(
        [free_server(0), free_server(1)],
        MODELS,
        {DomainId("d0"): [LARGE, SMALL]},
        {LARGE: 6, SMALL: 3},
        SERVERS_NEEDED,
    )
    assert sorted(model for _, model in loads) == [LARGE, SMALL]


def test_second_weights_are_loaded_only_beside_weights_in_memory():
    # Guards against a load that evicts the only weights that a spare holds.
    assert plan_second_weights([free_server(0, staged=LARGE)], MODELS) == []
    warm = free_server(1, staged=LARGE, last=LARGE)
    assert plan_second_weights([warm], MODELS) == [(VmId("d0-01"), SMALL)]
    both = free_server(2, staged=SMALL, last=LARGE)
    assert plan_second_weights([both], MODELS) == []


def test_model_with_enough_servers_gets_none_while_another_is_short():
    # Guards against a small group formed from five survivors of a large group, while
    # the sixth member is being replaced and the small model has enough servers.
    survivors = [free_server(n, last=LARGE, staged=SMALL) for n in range(5)]
    servers_in_groups = {LARGE: 6, SMALL: 27}
    needed = {LARGE: 24.0, SMALL: 20.0}
    assert (
        plan_groups(survivors, MODELS, servers_in_groups, needed, allow_loads=False)
        == []
    )
    needed = {LARGE: 6.0, SMALL: 30.0}
    assert (
        plan_groups(survivors, MODELS, servers_in_groups, needed, allow_loads=False)
        != []
    )
