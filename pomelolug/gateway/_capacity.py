"""Slots that admission may grant for pools and for plain services."""

from pomelolug.admission import AdmissionQueue, DemandMeter
from pomelolug.configuration import Configuration
from pomelolug.gateway._service_view import ServiceView
from pomelolug.ids import NodeId, PoolId
from pomelolug.messages import DemandReport, RoutingTable
from pomelolug.routing import RoutingView

__all__ = ["CapacityView"]

_MAX_REQUESTS_PER_SERVER = 64
"""Requests that one gateway may have in flight on a backend server of a service."""


class CapacityView:
    """Free slots of pools and plain services, and the gateway's demand for them.

    Parameters
    ----------
    gateway : str
        Node identifier of the gateway.
    routing_view : RoutingView
        View of the replica groups.
    service_view : ServiceView
        View of the backend servers of the plain services.
    """

    def __init__(
        self, *, gateway: str, routing_view: RoutingView, service_view: ServiceView
    ) -> None:
        self._meter = DemandMeter(NodeId(gateway))
        self._routing_view = routing_view
        self._service_view = service_view
        self._service_names: frozenset[str] = frozenset()
        self._pool_names: tuple[str, ...] = ()

    def configure(self, configuration: Configuration) -> None:
        """Replace the known pools and plain services by those of `configuration`."""
        self._service_names = frozenset(s.name for s in configuration.services)
        self._pool_names = tuple(pool.name for pool in configuration.pools)

    def free_slots(self, name: str) -> int:
        """Return the number of free slots of a pool or plain service."""
        if name in self._service_names:
            return self._service_view.free_slots(name, _MAX_REQUESTS_PER_SERVER)
        return self._routing_view.free_slots(PoolId(name))

    def has_spare_slots(self, name: str) -> bool:
        """Return whether the groups of a pool have slots that no gateway uses."""
        return name not in self._service_names and self._routing_view.has_spare_slots(
            PoolId(name)
        )

    def update_share(self, table: RoutingTable) -> None:
        """Set the share of the slots from `table` if it contains one."""
        if table.share > 0:
            self._routing_view.set_share(table.share, span_start=table.share_begin)

    def report_demand(self, queue: AdmissionQueue) -> DemandReport:
        """Return the current demand of this gateway for slots of the groups."""
        return self._meter.report(
            admitted=0,
            queued=sum(queue.waiting(pool) for pool in self._pool_names),
            in_flight=sum(queue.held(pool) for pool in self._pool_names),
        )
