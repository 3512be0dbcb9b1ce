"""Guards against configurations that are in force late or on some nodes only."""

import asyncio
import datetime

import pytest

from pomelolug.experiments._state_baselines import (
    append_figures,
    lease_figures,
    on_virtual_time,
)
from pomelolug.experiments._state_bench import StateBench
from pomelolug.experiments.state import _burst, _run

_TARGET_S = 5.0
_SLOW = (datetime.timedelta(seconds=0.5), datetime.timedelta(seconds=1.5))


async def _concurrent_changes(bench):
    for turn in range(4):
        await asyncio.gather(*(bench.change(3 * turn + n) for n in range(3)))


@pytest.mark.parametrize(
    ("options", "scenario", "bound_s"),
    [
        ({"nodes": 40}, _burst, _TARGET_S),
        ({"nodes": 9, "cut": 3}, _burst, _TARGET_S),
        ({"nodes": 9}, _concurrent_changes, _TARGET_S),
        ({"nodes": 5, "latency": _SLOW}, _burst, 16.0),
    ],
)
def test_versions_are_in_force_on_every_node_in_time(options, scenario, bound_s):
    figures = on_virtual_time(lambda: _run("case", StateBench(**options), scenario))
    values = {figure.name: figure.value for figure in figures}
    assert values["case: changes won"] == (4 if scenario is _concurrent_changes else 10)
    assert values["case: in force everywhere, longest"] < bound_s


def test_reading_forward_appends_once_and_a_lease_costs_more():
    extra_records = append_figures(1)[0]
    appends = lease_figures(1)[0]
    assert (extra_records.unit, extra_records.value) == ("records", 0)
    assert appends.value > 2
