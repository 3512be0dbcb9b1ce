"""Shares of the groups' slots among gateways, without a shared counter."""

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
    """Turns a gateway's demand into reports that change slowly.

    A share that shrinks faster than requests end leaves more requests on the
    groups than slots, because the gateways that gain use their slots at once.
    Each move also takes slots from a gateway that would have granted them. The
    reported demand therefore ignores differences up to 10%, falls by at most
    0.5% and rises by at most 1% (or half a slot) in a report. A gateway that
    needs slots sooner borrows free ones.

    Parameters
    ----------
    gateway : NodeId
        Node of the gateway.
    """

    def __init__(self, gateway: NodeId) -> None:
        self._gateway = gateway
        self._demand: float | None = None

    def report(self, *, admitted: int, queued: int, in_flight: int) -> DemandReport:
        """Return the report for the last second.

        Parameters
        ----------
        admitted : int
            Requests admitted since the last report.
        queued : int
            Requests waiting now.
        in_flight : int
            Requests in flight now.

        Returns
        -------
        DemandReport
            Its `queued` and `in_flight` add up to the smoothed demand.
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
    """Each gateway's share of the slots, from the demand that gateways report.

    A part `floor` of all slots is divided equally, the rest in proportion to
    the demand. The shares are a function of the latest reports alone, so every
    process that has the same reports computes the same ones; they add up to one.

    Parameters
    ----------
    floor : float
        Part of the slots that is divided equally, 0 to 1. It lets a gateway that
        was idle start at once.

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
        """Take the latest report of every live gateway.

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
        """Return the share of `gateway`, 0 to 1; 0 if it has not reported."""
        return self._shares.get(gateway, 0.0)

    def span_start(self, gateway: NodeId) -> float:
        """Return where the span of `gateway` starts on the line of all gateways.

        The spans of all gateways, in the order of their names, tile the line
        from 0 to 1.
        """
        return self._span_starts.get(gateway, 0.0)
