"""Tests that every slot belongs to exactly one gateway."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pomelolug.admission import CapacityAllocator, DemandMeter
from pomelolug.messages import DemandReport


def demand_report(name, demand):
    return DemandReport(gateway=name, admitted=0, queued=0, in_flight=demand)


@given(st.lists(st.integers(0, 1000), min_size=1, max_size=50))
def test_spans_tile_the_interval_and_respect_the_floor(demands):
    allocator = CapacityAllocator(floor=0.2)
    reports = [demand_report(f"n{i:03}", demand) for i, demand in enumerate(demands)]
    allocator.update(reversed(reports))
    end = 0.0
    for report in reports:
        assert allocator.span_start(report.gateway) == pytest.approx(end)
        assert allocator.share(report.gateway) >= 0.2 / len(demands) - 1e-9
        end += allocator.share(report.gateway)
    assert end == pytest.approx(1.0)


def test_gateway_without_a_report_has_no_share():
    allocator = CapacityAllocator()
    allocator.update([demand_report("a", 1), demand_report("b", 1)])
    allocator.update([demand_report("a", 1)])
    assert allocator.share("b") == 0.0
    assert allocator.share("a") == pytest.approx(1.0)


def test_reported_demand_changes_slowly_and_ignores_noise():
    meter = DemandMeter("a")
    meter.report(admitted=0, queued=0, in_flight=100)
    noisy = meter.report(admitted=0, queued=0, in_flight=108)
    assert noisy.in_flight == 100
    gone = meter.report(admitted=0, queued=0, in_flight=0)
    assert gone.in_flight >= 99
    for _ in range(400):
        more = meter.report(admitted=0, queued=50, in_flight=300)
    assert more.queued + more.in_flight > 300
