"""Shares of the groups' slots among gateways, without a shared counter."""

from collections.abc import Iterable

from pomelolug.ids import NodeId
from pomelolug.messages import DemandReport

__all__ = ["CapacityShare"]

_SMOOTHING = 0.3


class CapacityShare:
    """Each gateway's share of the slots, from the demand that gateways report.

    A part `floor` of all slots is divided equally, the rest in proportion to
    smoothed demand. Every process that has the same reports computes the same
    shares; they always add up to one.

    Parameters
    ----------
    floor : float
        Part of the slots that is divided equally, 0 to 1. It lets a gateway that
        was idle start at once.

    Examples
    --------
    >>> shares = CapacityShare(floor=0.2)
    >>> shares.update([
    ...     DemandReport(gateway="a", admitted=30, queued=0, in_flight=0),
    ...     DemandReport(gateway="b", admitted=10, queued=0, in_flight=0),
    ... ])
    >>> round(shares.share("a"), 3), round(shares.share("b"), 3)
    (0.7, 0.3)
    """

    def __init__(self, *, floor: float = 0.2) -> None:
        if not 0.0 <= floor <= 1.0:
            raise ValueError(f"floor must be from 0 to 1, not {floor}")
        self._floor = floor
        self._demand: dict[NodeId, float] = {}

    def update(self, reports: Iterable[DemandReport]) -> None:
        """Take the latest report of every live gateway.

        A gateway without a report in `reports` no longer has a share.
        """
        demand: dict[NodeId, float] = {}
        for report in reports:
            gateway = NodeId(report.gateway)
            wanted = float(max(report.queued, 0) + max(report.in_flight, 0))
            wanted = max(wanted, float(report.admitted))
            old = self._demand.get(gateway, wanted)
            demand[gateway] = old + _SMOOTHING * (wanted - old)
        self._demand = demand

    def share(self, gateway: NodeId) -> float:
        """Return the share of `gateway`, 0 to 1; 0 if it has not reported."""
        if gateway not in self._demand:
            return 0.0
        equal = 1.0 / len(self._demand)
        total = sum(self._demand.values())
        part = self._demand[gateway] / total if total > 0 else equal
        return self._floor * equal + (1.0 - self._floor) * part

    def slots(self, gateway: NodeId, capacity: int) -> int:
        """Return the slots of `gateway` out of `capacity`.

        The whole numbers of all gateways add up to `capacity` exactly: each
        takes the span of its share on a common line of all gateways by name.
        """
        if gateway not in self._demand:
            return 0
        before = sum(self.share(other) for other in self._demand if other < gateway)
        end = before + self.share(gateway)
        return round(end * capacity) - round(before * capacity)
