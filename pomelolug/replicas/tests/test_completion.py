"""Tests of the decision how a large group is formed again after losses."""

import dataclasses

from pomelolug.deployment import BackendServer, ServerState
from pomelolug.ids import DomainId, GroupId, ModelName, ServiceName, VmId, ZoneId
from pomelolug.replicas import FreeServer, plan_groups
from pomelolug.replicas._completion import (
    Completion,
    CompletionState,
    GroupCompleter,
    needs_completion,
    plan_substitutes,
)
from pomelolug.replicas._rebalance import OpenGroup
from pomelolug.replicas.tests.simulated_node import ENGINE, LARGE, SMALL

LARGE_MODEL, SMALL_MODEL = (
    dataclasses.replace(model, group_size=size)
    for model, size in zip(ENGINE.models, (8, 2), strict=True)
)
MODELS = (LARGE_MODEL, SMALL_MODEL)
NEEDED = {LARGE: 40.0, SMALL: 40.0}
SHORT_OF_LARGE = {LARGE: 24, SMALL: 60}


def server(
    name: str, *, staged: str = "", last: str = "", domain: str = "d0"
) -> FreeServer:
    entry = BackendServer(
        vm=VmId(name),
        start_time_ms=1,
        service=ServiceName("llm"),
        address="10.0.0.1:1",
        zone=ZoneId("z"),
        domain=DomainId(domain),
        state=ServerState.READY,
        slots=10,
        staged=frozenset({ModelName(staged)} if staged else ()),
        model=None,
        membership=None,
    )
    return FreeServer(entry, ModelName(last) if last else None)


def survivors(count: int) -> list[FreeServer]:
    return [server(f"survivor-{n}", last=LARGE) for n in range(count)]


def small_group(
    number: int, *, staged: str = SMALL, in_flight: int = 3, domain: str = "d0"
) -> OpenGroup:
    members = (
        server(f"small-{number}-0", staged=staged, last=SMALL, domain=domain),
        server(f"small-{number}-1", staged=SMALL, last=SMALL, domain=domain),
    )
    key = (GroupId(f"g{number}"), number)
    return OpenGroup(key, SMALL, ZoneId("z"), DomainId(domain), in_flight, members)


def large_group(number: int, *, domain: str = "d0") -> OpenGroup:
    members = tuple(
        server(f"large-{number}-{rank}", staged=LARGE, last=LARGE, domain=domain)
        for rank in range(8)
    )
    key = (GroupId(f"g{number}"), number)
    return OpenGroup(key, LARGE, ZoneId("z"), DomainId(domain), 5, members)


class Rounds:
    """Rounds of the decision, with a record of what it reported."""

    def __init__(self) -> None:
        self.events: list[tuple[str, str]] = []
        self.completer = GroupCompleter(on_decision=self._record)
        self.now_s = 100.0

    def _record(self, event: str, reason: str, completion: Completion) -> None:
        self.events.append((event, reason))

    def run(
        self,
        free: list[FreeServer],
        groups: list[OpenGroup],
        *,
        servers: dict[ModelName, int] = SHORT_OF_LARGE,
        forming: tuple[VmId, ...] = (),
        unverified: tuple[str, ...] = (),
        after_s: float = 0.15,
    ):
        self.now_s += after_s
        domains = frozenset(map(DomainId, unverified))
        state = CompletionState(MODELS, groups, free, forming, servers, NEEDED, domains)
        return self.completer.step(state, now_s=self.now_s)


def test_survivors_of_a_large_group_get_a_member_of_a_small_one():
    # Guards against seven survivors of a group of eight that become three groups of
    # two, while the large model refuses its callers: its groups vanish one by one.
    rounds = Rounds()
    groups = [small_group(1), small_group(2, staged=LARGE, in_flight=9)]
    step = rounds.run(survivors(7), groups)
    assert step.close == (groups[1].key,)
    assert step.reserved == dict.fromkeys(
        [*(s.server.vm for s in survivors(7)), VmId("small-2-0")], LARGE
    )
    assert rounds.events == [("completion_begun", "member_lost")]


def test_reserved_servers_join_no_small_group_and_form_the_large_one():
    # Guards against survivors that are used up while the small group is closed.
    rounds = Rounds()
    step = rounds.run(survivors(7), [small_group(1, staged=LARGE)])

    def plan(free: list[FreeServer]) -> list[ModelName]:
        candidates = [
            dataclasses.replace(s, reserved_for=step.reserved.get(s.server.vm))
            for s in free
        ]
        groups = plan_groups(
            candidates, MODELS, {LARGE: 24, SMALL: 8}, NEEDED, allow_loads=False
        )
        return [group.model.name for group in groups]

    with_both = [
        FreeServer(dataclasses.replace(s.server, staged=frozenset({SMALL})), LARGE)
        for s in survivors(7)
    ]
    assert plan(with_both) == []
    freed = list(small_group(1, staged=LARGE).members)
    assert plan(with_both + freed) == [LARGE]
    vms = tuple(s.server.vm for s in survivors(7))
    after = rounds.run(survivors(7), [], forming=vms)
    assert after.reserved == {}
    assert rounds.events[-1] == ("completion_forming", "complete")


def test_no_group_is_closed_and_none_waits_while_weights_would_be_loaded():
    # Guards against seven survivors that wait for a load of 16 s, and against other
    # completions that wait with them.
    rounds = Rounds()
    for free in (survivors(7), [*survivors(7), server("empty")]):
        step = rounds.run(free, [small_group(1)])
        assert step.close == ()
        assert step.reserved == {}
    assert rounds.events == []


def test_no_group_is_given_up_if_its_model_is_worse_supplied():
    # Guards against a burst of the small model that loses groups to the large one.
    rounds = Rounds()
    groups = [small_group(1, staged=LARGE)]
    for supplied in ({LARGE: 24, SMALL: 24}, {LARGE: 40, SMALL: 41}):
        assert rounds.run(survivors(7), groups, servers=supplied).reserved == {}
    assert rounds.events == []


def test_too_few_survivors_are_not_kept():
    # Guards against half a group that stands idle for replacements of its other half.
    rounds = Rounds()
    members = tuple(server(f"small-{n}", staged=LARGE, last=SMALL) for n in range(2))
    groups = [dataclasses.replace(small_group(1), members=members)]
    assert rounds.run(survivors(5), groups).reserved == {}
    assert len(rounds.run(survivors(6), groups).reserved) == 8


def test_groups_of_other_domains_replace_no_members():
    # Guards against groups across domains, which run at a fraction of the speed.
    rounds = Rounds()
    groups = [small_group(1, staged=LARGE, domain="d1")]
    assert rounds.run(survivors(7), groups).reserved == {}


def test_lost_survivor_ends_a_completion():
    # Guards against survivors that stay reserved for a group that cannot be formed.
    rounds = Rounds()
    rounds.run(survivors(7), [small_group(1, staged=LARGE)])
    assert rounds.run(survivors(6), []).reserved == {}
    assert rounds.events[-1] == ("completion_dropped", "survivor_lost")
    step = rounds.run(survivors(7), [small_group(2, staged=LARGE)])
    assert step.close == (small_group(2).key,)


def test_completion_goes_on_while_servers_of_its_domain_have_to_answer():
    # Guards against survivors that small groups take after each further loss in the
    # domain, when its servers are verified for some seconds.
    rounds = Rounds()
    groups = [small_group(1, staged=LARGE)]
    assert rounds.run(survivors(7), groups, unverified=("d0",)).reserved == {}
    assert rounds.run(survivors(7), groups).reserved != {}
    assert rounds.run(survivors(7), [], unverified=("d0",)).reserved != {}
    assert [event for event, _ in rounds.events] == ["completion_begun"]


def test_requests_that_vary_do_not_end_a_completion():
    # Guards against a small group that was closed in vain, and against decisions that
    # alternate in each round with the requests in flight.
    rounds = Rounds()
    rounds.run(survivors(7), [small_group(1, staged=LARGE)])
    for small in (20, 60, 20):
        step = rounds.run(survivors(7), [], servers={LARGE: 24, SMALL: small})
        assert step.reserved != {}
    assert [event for event, _ in rounds.events] == ["completion_begun"]


def test_survivors_are_not_kept_for_longer_than_a_close_takes():
    # Guards against stranded survivors if the closed group is lost meanwhile.
    rounds = Rounds()
    rounds.run(survivors(7), [small_group(1, staged=LARGE)])
    assert rounds.run(survivors(7), [], after_s=9.0).reserved != {}
    assert rounds.run(survivors(7), [], after_s=2.0).reserved == {}
    assert rounds.events[-1] == ("completion_dropped", "timeout")


def test_one_host_in_each_domain_of_a_large_group_holds_its_weights():
    # Guards against a group of eight that is missing for a load time (16 s).
    groups = [large_group(1), small_group(2), small_group(3)]
    elsewhere = [small_group(4, domain="d1")]
    loads = plan_substitutes(MODELS, groups + elsewhere, [])
    assert loads == [(VmId("small-2-0"), LARGE)]
    with_host = [*groups, small_group(5, staged=LARGE)]
    assert plan_substitutes(MODELS, with_host, []) == []
    assert plan_substitutes(MODELS, groups, [server("spare", staged=LARGE)]) == []


def test_models_of_similar_sizes_are_planned_as_before():
    # Guards against a change for deployments whose groups have 6 and 3 or 12 and 6.
    assert not needs_completion(ENGINE.models)
    assert needs_completion(MODELS)
