"""Allocation of the groups' slots to gateways, without a shared counter."""

import itertools
import math
from collections.abc import Iterable

from pomelolug.ids import NodeId
from pomelolug.messages import DemandReport

__all__ = ["CapacityAllocator", "DemandMeter"]

_DEADBAND = 0.1
_MAX_DECREASE = 0.005
_MAX_INCREASE = 0.01
_MIN_INCREASE_SLOTS = 0.5


class DemandMeter:
    """Smooths the demand of a gateway into reports that change slowly.

    If a share decreases faster than requests end, the groups get more requests than
    they have slots, because other gateways use the slots that they gain immediately.
    Each change also takes slots from a gateway that would have granted them. The
    reported demand therefore ignores deviations of up to 10%, and each report lowers
    it by at most 0.5% or raises it by at most 1% (or half a slot, if that is more). A
    gateway that needs slots sooner borrows free ones.

    Parameters
    ----------
    gateway : NodeId
        Node identifier of the gateway.
    """

    def __init__(self, gateway: NodeId) -> None:
        self._gateway = gateway
        self._demand: float | None = None

    def report(self, *, admitted: int, queued: int, in_flight: int) -> DemandReport:
        """Return the report for the last second.

        Parameters
        ----------
        admitted : int
            Number of requests admitted since the last report.
        queued : int
            Number of waiting requests.
        in_flight : int
            Number of requests in flight.

        Returns
        -------
        DemandReport
            Report whose `queued` and `in_flight` add up to the smoothed demand.
        """
        wanted = float(queued + in_flight)
        if self._demand is None:
            self._demand = wanted
        lowest = self._demand * (1.0 - _MAX_DECREASE)
        highest = self._demand + max(self._demand * _MAX_INCREASE, _MIN_INCREASE_SLOTS)
        if abs(wanted - self._demand) > _DEADBAND * self._demand:
            self._demand = min(max(wanted, lowest), highest)
        demand = math.ceil(self._demand)
        reported_queued = min(queued, demand)
        return DemandReport(
            gateway=self._gateway,
            admitted=admitted,
            queued=reported_queued,
            in_flight=demand - reported_queued,
        )


class CapacityAllocator:
    """Computes each gateway's share of the slots from the reported demand.

    A fraction `floor` of all slots is divided equally, the rest in proportion to
    demand. The shares add up to one. They are a function of the latest reports only,
    so all processes that have the same reports compute the same shares.

    Parameters
    ----------
    floor : float
        Fraction of the slots that is divided equally, 0 to 1. It allows a gateway
        that was idle to start requests immediately.

    Examples
    --------
    >>> allocator = CapacityAllocator(floor=0.2)
    >>> allocator.update([
    ...     DemandReport(gateway="a", admitted=9, queued=0, in_flight=30),
    ...     DemandReport(gateway="b", admitted=3, queued=0, in_flight=10),
    ... ])
    >>> round(allocator.share("a"), 3), round(allocator.span_start("b"), 3)
    (0.7, 0.7)
    """

    def __init__(self, *, floor: float = 0.2) -> None:
        if not 0.0 <= floor <= 1.0:
            raise ValueError(f"floor must be from 0 to 1, not {floor}")
        self._floor = floor
        self._shares: dict[NodeId, float] = {}
        self._span_starts: dict[NodeId, float] = {}

    def update(self, reports: Iterable[DemandReport]) -> None:
        """Recompute the shares from the latest report of every live gateway.

        A gateway without a report in `reports` no longer has a share.
        """
        demand = {
            NodeId(report.gateway): max(report.queued, 0) + max(report.in_flight, 0)
            for report in sorted(reports, key=lambda report: report.gateway)
        }
        total = sum(demand.values())
        equal = 1.0 / max(len(demand), 1)
        self._shares = {
            gateway: self._floor * equal
            + (1.0 - self._floor) * (wanted / total if total else equal)
            for gateway, wanted in demand.items()
        }
        ends = itertools.accumulate(self._shares.values(), initial=0.0)
        self._span_starts = dict(zip(self._shares, ends, strict=False))

    def share(self, gateway: NodeId) -> float:
        """Return the share of `gateway`, 0 to 1; 0 if it has no report."""
        return self._shares.get(gateway, 0.0)

    def span_start(self, gateway: NodeId) -> float:
        """Return the start of the span of `gateway`, 0 to 1.

        The spans of all gateways, in the order of their identifiers, tile the
        interval from 0 to 1.
        """
        return self._span_starts.get(gateway, 0.0)
