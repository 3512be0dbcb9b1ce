"""Tests of group selection: stale groups, herding of gateways and slot limits."""

import collections
import datetime
import random

import pytest

from pomelolug.engines import CacheEvent, CacheEventPage
from pomelolug.messages import GroupStatus, RoutingTable
from pomelolug.routing import RoutingView

LEASE = datetime.timedelta(seconds=3)


class StepClock:
    def __init__(self):
        self.time = 1000.0

    def monotonic(self):
        return self.time


def group_status(name, **changes):
    fields = {
        "group": name,
        "pool": "p",
        "model": "m",
        "zone": "z0",
        "domain": "d",
        "token": 1,
        "phase": "serving",
        "leader": "",
        "members": (),
        "verified_age_s": 0.0,
        "capacity": 10,
        "load": 0,
    }
    return GroupStatus(**(fields | changes))


def routing_table(*groups, nodes=1):
    return RoutingTable(config_version=1, config=b"", groups=groups, nodes_alive=nodes)


def make_view(*groups, seed=1, nodes=1, zone="z0"):
    clock = StepClock()
    view = RoutingView(
        zone=zone, lease=LEASE, clock=clock, random_state=random.Random(seed)
    )
    view.update(routing_table(*groups, nodes=nodes))
    return view, clock


@pytest.mark.parametrize("age", [3.0, 1e9, -1.0, float("nan"), float("inf")])
def test_stale_or_malformed_verification_is_not_usable(age):
    view, _ = make_view(group_status("a", verified_age_s=age))
    assert view.choose("p") is None
    assert view.free_slots("p") == 0


def test_lease_can_expire_between_choice_and_dispatch():
    view, clock = make_view(group_status("a", verified_age_s=2.0))
    assert view.choose("p").group == "a"
    assert view.is_dispatchable("a", 1)
    clock.time += 1.0
    assert not view.is_dispatchable("a", 1)
    assert view.choose("p") is None
    assert view.free_slots("p") == 0


def test_superseded_formation_is_not_dispatchable():
    view, _ = make_view(group_status("a", token=5))
    view.update(routing_table(group_status("a", token=4)))
    assert not view.is_dispatchable("a", 4)
    view.update(routing_table(group_status("a", token=6)))
    assert not view.is_dispatchable("a", 5)
    assert view.is_dispatchable("a", 6)


def test_refusal_makes_the_group_unavailable_until_a_later_verification():
    view, clock = make_view(group_status("a"))
    clock.time += 1.0
    view.on_refused("a", "stale_token")
    assert view.choose("p") is None
    # This report arrives after the refusal, but its verification was made before.
    clock.time += 0.5
    view.update(routing_table(group_status("a", verified_age_s=1.0)))
    assert view.choose("p") is None
    view.update(routing_table(group_status("a", verified_age_s=0.1)))
    assert view.choose("p").group == "a"


def test_own_dispatches_since_the_last_report_are_counted():
    view, _ = make_view(group_status("a"), group_status("b", load=4))
    for number in range(10):
        view.on_dispatch("a", f"r{number}")
    assert {view.choose("p").group for _ in range(50)} == {"b"}


def test_own_dispatches_are_added_to_the_load_of_others():
    view, clock = make_view(group_status("a", load=5))
    for number in range(4):
        view.on_dispatch("a", f"r{number}")
    assert view._groups["a"].load == 9
    view.on_finish("a", "r0", ok=True, service_time_s=0.1)
    assert view._groups["a"].load == 8
    clock.time += 1.0
    view.update(routing_table(group_status("a", load=8, load_age_s=0.5)))
    assert view._groups["a"].load == 8


def test_finish_before_the_measurement_is_not_subtracted_twice():
    view, clock = make_view(group_status("a", load=0))
    view.on_dispatch("a", "r")
    clock.time += 2.0
    view.update(routing_table(group_status("a", load=3, load_age_s=0.5)))
    view.on_finish("a", "r", ok=True, service_time_s=2.0)
    view.on_finish("a", "r", ok=True, service_time_s=2.0)
    clock.time += 1.0
    view.update(routing_table(group_status("a", load=2, load_age_s=0.1)))
    assert view._groups["a"].load == 2


def test_gateways_with_the_same_stale_report_do_not_herd():
    groups = [
        group_status(f"g{i}", load=10 if i else 0, capacity=20) for i in range(20)
    ]
    chosen = collections.Counter(
        make_view(*groups, seed=seed, nodes=200)[0].choose("p").group
        for seed in range(1000)
    )
    # The least-loaded group has twice the free slots of any other group. Always
    # choosing the least-loaded one would send all 1000 there; its fair share is
    # below 100.
    assert chosen["g0"] < 250
    assert len(chosen) == 20


def test_spans_of_all_gateways_assign_every_slot_exactly_once():
    groups = [group_status(f"g{i}", capacity=7, load=7) for i in range(30)]
    limits = collections.Counter()
    for number in range(16):
        view, _ = make_view(*groups)
        view.set_share(1 / 16, span_start=number / 16)
        view.update(routing_table(*groups))
        for name, tracker in view._groups.items():
            limits[name] += tracker.limit
    assert set(limits.values()) == {7}


def test_idle_slots_of_other_gateways_are_borrowed():
    view, clock = make_view(group_status("a", capacity=100), nodes=10)
    sent = 0
    for _ in range(60):
        while view.free_slots("p") > 0:
            view.on_dispatch("a", f"r{sent}")
            sent += 1
        clock.time += 1.0
        view.update(routing_table(group_status("a", capacity=100, load=sent), nodes=10))
    assert sent > 80


def test_other_zone_is_used_only_while_it_saves_time():
    near, far = group_status("near"), group_status("far", zone="z1")
    view, _ = make_view(near, far)
    assert {view.choose("p").group for _ in range(20)} == {"near"}
    view.update(routing_table(group_status("near", load=30), far))
    assert {view.choose("p").group for _ in range(20)} == {"far"}
    view.update(
        routing_table(
            group_status("near", load=30), group_status("far", zone="z1", load=30)
        )
    )
    assert {view.choose("p").group for _ in range(20)} == {"near"}


def test_solo_requests_do_not_share_a_group():
    view, _ = make_view(group_status("a"), group_status("b"))
    first = view.choose("p", solo=True).group
    view.on_dispatch(first, "r1", solo=True)
    second = view.choose("p", solo=True).group
    assert second != first
    view.on_dispatch(second, "r2", solo=True)
    assert view.choose("p", solo=True) is None
    assert view.choose("p") is not None


def test_open_breaker_lets_one_probe_through_after_a_pause():
    view, clock = make_view(group_status("a"))
    for number in range(3):
        view.on_dispatch("a", f"r{number}")
        view.on_finish("a", f"r{number}", ok=False, service_time_s=None)
    assert view.choose("p") is None
    clock.time += 1.1
    assert view.choose("p").group == "a"
    view.on_dispatch("a", "probe")
    assert view.choose("p") is None
    view.on_finish("a", "probe", ok=True, service_time_s=1.0)
    assert view.choose("p").group == "a"


def test_cached_prefix_is_preferred_but_not_on_a_full_group():
    groups = [group_status(f"g{i}", capacity=100) for i in range(10)]
    view, _ = make_view(*groups)
    event = CacheEvent(sequence=1, action="stored", blocks=("x", "y"))
    view.prefix_index.apply("g3", 1, CacheEventPage(oldest=1, events=(event,)))
    assert view.choose("p", prefix=("x", "y")).group == "g3"
    groups[3] = group_status("g3", capacity=100, load=120)
    view.update(routing_table(*groups))
    assert view.choose("p", prefix=("x", "y")).group != "g3"
