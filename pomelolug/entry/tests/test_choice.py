"""Choice of a group by many nodes that share the same old loads."""

import random

import pytest

from pomelolug.entry.servers import Candidate, GroupSelector
from pomelolug.entry.tests.choice_simulation import ChoiceSimulation, _Group
from pomelolug.ids import ZoneId

MAX_LATE_SHARE = 0.05
"""The latency target holds for 95 in 100 requests."""
USUAL_RATE_PER_S = 440.0
"""Streams a second, which take up about half of the 770 slots."""


@pytest.mark.parametrize("nodes", [8, 45, 195])
def test_nodes_with_the_same_old_loads_do_not_overload_the_least_loaded_group(nodes):
    # Guards against a choice that depends on the number of nodes: if all of them send
    # to the least loaded group of the last report, one stream in five is late at 195.
    simulation = ChoiceSimulation(nodes=nodes, rate_per_s=USUAL_RATE_PER_S)
    simulation.run(12.0)
    assert len(simulation.first_event_s) > 3000
    assert simulation.late_share <= MAX_LATE_SHARE
    assert simulation.turned_away <= 0.01 * len(simulation.first_event_s)


def test_few_groups_are_shared_by_many_nodes():
    # Guards against a sample that leaves out a free group although there are few.
    simulation = ChoiceSimulation(
        nodes=60, zones=3, groups_per_zone=3, rate_per_s=30.0, seed=1
    )
    simulation.run(15.0)
    assert simulation.late_share <= MAX_LATE_SHARE


def test_slow_groups_do_not_delay_the_requests_of_others():
    # Guards against slow groups, a tenth of all, that get as much as the others and
    # collect a queue.
    simulation = ChoiceSimulation(
        nodes=195, rate_per_s=USUAL_RATE_PER_S, slow_groups=11
    )
    simulation.run(8.0)
    assert simulation.late_share <= 2 * MAX_LATE_SHARE


def candidates(*delays_s: float, zone: str = "a") -> list[Candidate]:
    return [
        Candidate(_Group(f"{zone}{k}", ZoneId(zone), 1.0).server, delay_s)
        for k, delay_s in enumerate(delays_s)
    ]


def test_node_alone_chooses_the_least_delay():
    # Guards against a sample where there is nobody to overload a group with.
    selector = GroupSelector(zone=ZoneId("a"), rng=random.Random(0))
    groups = candidates(0.3, 0.1, 0.2, 0.5, 0.4)
    assert all(selector.select(groups) is groups[1] for _ in range(50))


def test_other_zone_is_chosen_only_if_it_saves_its_cost():
    # Guards against traffic between zones that gains nothing.
    selector = GroupSelector(zone=ZoneId("a"), rng=random.Random(0))
    local, near = candidates(0.10), candidates(0.07, zone="b")
    assert selector.select(local + near) is local[0]
    far_better = candidates(0.01, zone="b")
    assert selector.select(local + far_better) is far_better[0]
    assert selector.select(near) is near[0]
