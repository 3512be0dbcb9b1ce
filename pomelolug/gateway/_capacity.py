"""Slots that admission may grant, for pools and for plain services."""

from pomelolug.admission import AdmissionQueue
from pomelolug.configuration import Configuration
from pomelolug.gateway._lifecycle import Lifecycle
from pomelolug.gateway._service_view import ServiceView
from pomelolug.ids import PoolId
from pomelolug.messages import DemandReport
from pomelolug.routing import RoutingView

__all__ = ["CapacityView"]

SERVICE_SLOTS_PER_SERVER = 64
"""Calls that one gateway has in flight on a backend server of a service."""


class CapacityView:
    """Joins the slots of groups and of plain services.

    Parameters
    ----------
    view : RoutingView
        Replica groups.
    services : ServiceView
        Backend servers of the plain services.
    """

    def __init__(self, *, view: RoutingView, services: ServiceView) -> None:
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

    def demand(
        self, gateway: str, queue: AdmissionQueue, lifecycle: Lifecycle
    ) -> DemandReport:
        """Return what this gateway asks of the groups now."""
        return DemandReport(
            gateway=gateway,
            admitted=0,
            queued=sum(queue.waiting(pool) for pool in self._pool_names),
            in_flight=lifecycle.in_flight,
        )
