"""Backend servers of the plain services and their recent failures."""

import collections
import contextlib
import datetime
import random
from collections.abc import Iterator

from pomelolug.clock import Clock
from pomelolug.messages import RoutingTable, ServiceStatus

__all__ = ["ServiceView"]

_EJECTION = datetime.timedelta(seconds=2)


class ServiceView:
    """Chooses the backend server of a plain service.

    The own availability zone goes first; among its servers the one with the
    fewest calls in flight from this gateway. A server that failed is left out
    for a short time unless no other is left.

    Parameters
    ----------
    zone : str
        Availability zone of the gateway.
    clock : Clock
        Time source.
    random_state : random.Random
        Breaks ties, so that gateways do not choose alike.
    """

    def __init__(self, *, zone: str, clock: Clock, random_state: random.Random) -> None:
        self._zone = zone
        self._clock = clock
        self._random = random_state
        self._servers: dict[str, list[ServiceStatus]] = {}
        self._running: collections.Counter[str] = collections.Counter()
        self._ejected_until: dict[str, float] = {}

    def update(self, table: RoutingTable) -> None:
        """Use the servers of `table` from now on."""
        servers = collections.defaultdict(list)
        for server in table.services:
            servers[server.service].append(server)
        self._servers = dict(servers)
        known = {server.address for server in table.services}
        self._ejected_until = {
            address: until
            for address, until in self._ejected_until.items()
            if address in known
        }

    def choose(self, service: str, *, exclude: set[str]) -> ServiceStatus | None:
        """Return a server that gets the next call, None if there is none."""
        now = self._clock.monotonic()
        usable = [
            server
            for server in self._servers.get(service, [])
            if not server.leaving and server.address not in exclude
        ]
        healthy = [s for s in usable if self._ejected_until.get(s.address, 0.0) <= now]
        pool = healthy or usable
        if not pool:
            return None
        return min(
            pool,
            key=lambda server: (
                server.zone != self._zone,
                self._running[server.address],
                self._random.random(),
            ),
        )

    def has(self, service: str) -> bool:
        """Return whether the service has a server that is not leaving."""
        return any(not s.leaving for s in self._servers.get(service, []))

    def free_slots(self, service: str, per_server: int) -> int:
        """Return how many more calls may be in flight to the service."""
        servers = [s for s in self._servers.get(service, []) if not s.leaving]
        running = sum(self._running[server.address] for server in servers)
        return max(0, per_server * len(servers) - running)

    @contextlib.contextmanager
    def in_flight(self, address: str) -> Iterator[None]:
        """Count a call in flight on the server inside the context."""
        self._running[address] += 1
        try:
            yield
        finally:
            self._running[address] -= 1
            if not self._running[address]:
                del self._running[address]

    def on_failure(self, address: str) -> None:
        """Leave the server out for a short time."""
        self._ejected_until[address] = (
            self._clock.monotonic() + _EJECTION.total_seconds()
        )
