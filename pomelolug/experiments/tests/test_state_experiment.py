"""Guards against configurations that are in force late or on some nodes only."""

import asyncio
import datetime

import pytest

from pomelolug.experiments._state_baselines import (
    measure_append_retries,
    measure_lease,
    run_on_virtual_time,
)
from pomelolug.experiments._state_bench import StateBench
from pomelolug.experiments.state import _publish_burst, _run_scenario

_TARGET_S = 5.0
_SLOW = (datetime.timedelta(seconds=0.5), datetime.timedelta(seconds=1.5))


async def _publish_racing(bench):
    for round_number in range(4):
        await asyncio.gather(
            *(bench.publish_change(3 * round_number + n) for n in range(3))
        )


@pytest.mark.parametrize(
    ("options", "scenario", "bound_s"),
    [
        ({"nodes": 40}, _publish_burst, _TARGET_S),
        ({"nodes": 9, "cut_off_nodes": 3}, _publish_burst, _TARGET_S),
        ({"nodes": 9}, _publish_racing, _TARGET_S),
        ({"nodes": 5, "latency": _SLOW}, _publish_burst, 16.0),
    ],
)
def test_versions_are_in_force_on_every_node_in_time(options, scenario, bound_s):
    measurements = run_on_virtual_time(
        lambda: _run_scenario("case", StateBench(**options), scenario)
    )
    values = {measurement.name: measurement.value for measurement in measurements}
    assert values["case: changes won"] == (4 if scenario is _publish_racing else 10)
    assert values["case: in force everywhere, longest"] < bound_s


def test_reading_forward_appends_once_and_a_lease_costs_more():
    extra_records = measure_append_retries(1)[0]
    appends = measure_lease(1)[0]
    assert (extra_records.unit, extra_records.value) == ("records", 0)
    assert appends.value > 2
