"""Scores and selection weights of groups.

A score is a time in seconds; lower scores are better.
"""

import math

__all__ = [
    "LOAD_COST",
    "STRAGGLER_COST",
    "STRAGGLER_WEIGHT_FACTOR",
    "ZONE_COST_S",
    "expected_wait_s",
    "prefix_saving_s",
    "selection_weight",
]

_SQRT_2 = math.sqrt(2.0)
_SQRT_2_PI = math.sqrt(2.0 * math.pi)

ZONE_COST_S = 0.005
"""Reduction of the expected wait, in seconds, that justifies leaving the zone.

It is above the 2 ms of a round trip between zones, so that differences within the
error of a load report cause no cross-zone traffic.
"""

LOAD_COST = 0.05
"""Fraction of the service time that a fully loaded batch adds to a request."""

STRAGGLER_COST = 0.5
"""Fraction of the service time that a straggler adds.

A group is marked as a straggler at 1.5 times the median step time of its peers.
"""


STRAGGLER_WEIGHT_FACTOR = 0.25
"""Factor by which the selection weight of a straggler is reduced."""

REPORT_LAG_S = 1.5
"""Time until a request sent now appears in the load reports, in seconds."""

GAIN = 0.25
"""Fraction of the deviation from the mean load corrected per report period.

New loads are known only after the next report, so with a gain near one the same
deviation would be corrected more than once.
"""

MIN_WEIGHT_FRACTION = 0.05
"""Minimum selection weight of a group, as a fraction of its slot turnover.

Even a group that looks full gets some requests, because its load reports may be
wrong and because its service time has to stay known.
"""

_SAVING_PER_BLOCK_S = 0.001
_MAX_SAVING_S = 0.3


def prefix_saving_s(blocks: int) -> float:
    """Return the prefill time in seconds that cached blocks save.

    The saving is bounded, so that a popular prefix cannot outweigh the load of a
    full group.

    Examples
    --------
    >>> prefix_saving_s(20), prefix_saving_s(1000)
    (0.02, 0.3)
    """
    return min(blocks * _SAVING_PER_BLOCK_S, _MAX_SAVING_S)


def expected_wait_s(
    load: float, capacity: int, service_time_s: float, age_s: float = 0.0
) -> float:
    """Return the expected wait for a slot of a group, in seconds.

    Since the load was measured, requests have finished and other gateways have
    sent new ones. At a steady load both are Poisson processes with the rate at which
    slots become free. The current load is therefore modelled as normally distributed
    around the measured load, with a variance of twice this rate times the age.

    Parameters
    ----------
    load : float
        Number of running and waiting requests.
    capacity : int
        Number of requests that run concurrently.
    service_time_s : float
        Mean time that a request holds a slot, in seconds.
    age_s : float
        Age of the load measurement, in seconds.

    Examples
    --------
    >>> expected_wait_s(3, 4, 8.0), expected_wait_s(5, 4, 8.0)
    (0.0, 4.0)
    >>> round(expected_wait_s(3, 4, 8.0, age_s=1.0), 2)
    0.69
    """
    excess = load - capacity + 1
    running = min(load, capacity)
    deviation = math.sqrt(2.0 * running * age_s / max(service_time_s, 1e-6))
    if deviation > 0.0 and abs(excess) < 4.0 * deviation:
        z = excess / deviation
        density = math.exp(-z * z / 2.0) / _SQRT_2_PI
        excess = deviation * density + excess * 0.5 * (1.0 + math.erf(z / _SQRT_2))
    return max(excess, 0.0) * service_time_s / max(capacity, 1)


def selection_weight(load: float, mean_load: float, service_time_s: float) -> float:
    """Return how many requests a group should get until loads are known again.

    This is the number of slots that become free until then, plus a fraction of the
    group's deviation from the mean load. All gateways see the same reports: if the
    weight followed the load more strongly, they would together overload the
    least-loaded groups.

    Parameters
    ----------
    load : float
        Number of running and waiting requests.
    mean_load : float
        Load of the group if the load of the pool were distributed by capacity.
    service_time_s : float
        Mean time that a request holds a slot, in seconds.

    Examples
    --------
    >>> selection_weight(50, 60, 18.0), selection_weight(50, 60, 1.5)
    (7.5, 62.5)
    """
    turnover = max(mean_load, 1.0) * REPORT_LAG_S / max(service_time_s, REPORT_LAG_S)
    return max(turnover + GAIN * (mean_load - load), MIN_WEIGHT_FRACTION * turnover)
