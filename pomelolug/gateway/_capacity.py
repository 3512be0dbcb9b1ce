"""Slots that admission may grant, for pools and for plain services."""

from pomelolug.admission import AdmissionQueue, DemandMeter
from pomelolug.configuration import Configuration
from pomelolug.gateway._service_view import ServiceView
from pomelolug.ids import NodeId, PoolId
from pomelolug.messages import DemandReport, RoutingTable
from pomelolug.routing import RoutingView

__all__ = ["CapacityView"]

SERVICE_SLOTS_PER_SERVER = 64
"""Calls that one gateway has in flight on a backend server of a service."""


class CapacityView:
    """Joins the slots of groups and of plain services.

    Parameters
    ----------
    gateway : str
        Node of the gateway.
    view : RoutingView
        Replica groups.
    services : ServiceView
        Backend servers of the plain services.
    """

    def __init__(
        self, *, gateway: str, view: RoutingView, services: ServiceView
    ) -> None:
        self._meter = DemandMeter(NodeId(gateway))
        self._view = view
        self._services = services
        self._service_names: frozenset[str] = frozenset()
        self._pool_names: tuple[str, ...] = ()

    def configure(self, configuration: Configuration) -> None:
        """Use the names of `configuration` from now on."""
        self._service_names = frozenset(s.name for s in configuration.services)
        self._pool_names = tuple(pool.name for pool in configuration.pools)

    def free_slots(self, name: str) -> int:
        """Return the free slots of a pool or plain service."""
        if name in self._service_names:
            return self._services.free_slots(name, SERVICE_SLOTS_PER_SERVER)
        return self._view.free_slots(PoolId(name))

    def has_spare(self, name: str) -> bool:
        """Return whether the groups of a pool have slots that nobody uses."""
        return name not in self._service_names and self._view.has_spare_slots(
            PoolId(name)
        )

    def take_share(self, table: RoutingTable) -> None:
        """Use the share in `table`, if control knows one."""
        if table.share > 0:
            self._view.set_share(table.share, span_start=table.share_begin)

    def demand(self, queue: AdmissionQueue) -> DemandReport:
        """Return what this gateway asks of the groups now."""
        return self._meter.report(
            admitted=0,
            queued=sum(queue.waiting(pool) for pool in self._pool_names),
            in_flight=sum(queue.held(pool) for pool in self._pool_names),
        )
