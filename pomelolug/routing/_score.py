"""Scores and sampling weights of groups, as plain functions.

A score is a time in seconds; the lower one is better.
"""

__all__ = [
    "LOAD_COST",
    "STRAGGLER_COST",
    "ZONE_COST_S",
    "expected_wait",
    "sampling_weight",
]

ZONE_COST_S = 0.005
"""Expected wait, in seconds, that must be saved to leave the zone.

It is above the 2 ms of a round trip between zones, so that differences within
the error of a load report cause no cross-zone traffic.
"""

LOAD_COST = 0.05
"""Part of the service time that a fully loaded batch adds to a request."""

STRAGGLER_COST = 0.5
"""Part of the service time that a straggler adds; it is set at 1.5 times."""


def expected_wait(load: float, capacity: int, service_time_s: float) -> float:
    """Return the expected wait for a slot of a group, in seconds.

    Parameters
    ----------
    load : float
        Requests running and waiting.
    capacity : int
        Requests that run at once.
    service_time_s : float
        Mean time that a request holds a slot, in seconds.

    Examples
    --------
    >>> expected_wait(3, 4, 8.0), expected_wait(5, 4, 8.0)
    (0.0, 4.0)
    """
    if load < capacity:
        return 0.0
    return (load - capacity + 1) * service_time_s / max(capacity, 1)


def sampling_weight(load: float, capacity: int, *, straggler: bool) -> float:
    """Return the weight with which a group is drawn as a candidate.

    It is the number of free slots; without a free slot it falls with the length
    of the group's queue and never reaches zero.

    Examples
    --------
    >>> sampling_weight(2, 6, straggler=False)
    4.0
    >>> sampling_weight(6, 6, straggler=False)
    0.5
    """
    free = capacity - load
    weight = float(free) if free >= 1 else 1.0 / (2.0 - free)
    return weight * 0.25 if straggler else weight
