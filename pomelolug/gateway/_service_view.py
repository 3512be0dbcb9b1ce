"""Selection of backend servers of the plain services."""

import collections
import contextlib
import datetime
import random
from collections.abc import Iterator

from pomelolug.clock import Clock
from pomelolug.messages import RoutingTable, ServiceStatus

__all__ = ["ServiceView"]

_EJECTION_TIME = datetime.timedelta(seconds=2)


class ServiceView:
    """A gateway's view of the backend servers, from which it selects one per request.

    Servers in the gateway's availability zone are preferred, and among them the server
    with the fewest requests in flight from this gateway. A server that failed is
    ejected for a short time, during which it is used only if no other is available.

    Parameters
    ----------
    zone : str
        Availability zone of the gateway.
    clock : Clock
        Source of monotonic time.
    random_state : random.Random
        Source of randomness for breaking ties, so that gateways choose differently.
    """

    def __init__(self, *, zone: str, clock: Clock, random_state: random.Random) -> None:
        self._zone = zone
        self._clock = clock
        self._random = random_state
        self._servers: dict[str, list[ServiceStatus]] = {}
        self._in_flight: collections.Counter[str] = collections.Counter()
        self._ejected_until_s: dict[str, float] = {}

    def update(self, table: RoutingTable) -> None:
        """Replace the known servers by those of `table`."""
        servers = collections.defaultdict(list)
        for server in table.services:
            servers[server.service].append(server)
        self._servers = dict(servers)
        known = {server.address for server in table.services}
        self._ejected_until_s = {
            address: until_s
            for address, until_s in self._ejected_until_s.items()
            if address in known
        }

    def choose(self, service: str, *, exclude: set[str]) -> ServiceStatus | None:
        """Return the server for the next request, or None if there is none."""
        now_s = self._clock.monotonic()
        usable = [
            server
            for server in self._servers.get(service, [])
            if not server.leaving and server.address not in exclude
        ]
        healthy = [
            s for s in usable if self._ejected_until_s.get(s.address, 0.0) <= now_s
        ]
        candidates = healthy or usable
        if not candidates:
            return None
        return min(
            candidates,
            key=lambda server: (
                server.zone != self._zone,
                self._in_flight[server.address],
                self._random.random(),
            ),
        )

    def has_server(self, service: str) -> bool:
        """Return whether the service has a server that is not leaving."""
        return any(not s.leaving for s in self._servers.get(service, []))

    def free_slots(self, service: str, max_requests_per_server: int) -> int:
        """Return how many more requests this gateway may send to the service."""
        servers = [s for s in self._servers.get(service, []) if not s.leaving]
        in_flight = sum(self._in_flight[server.address] for server in servers)
        return max(0, max_requests_per_server * len(servers) - in_flight)

    @contextlib.contextmanager
    def track_request(self, address: str) -> Iterator[None]:
        """Count a request as in flight on the server inside the context."""
        self._in_flight[address] += 1
        try:
            yield
        finally:
            self._in_flight[address] -= 1
            if not self._in_flight[address]:
                del self._in_flight[address]

    def on_failure(self, address: str) -> None:
        """Eject the server for a short time."""
        self._ejected_until_s[address] = (
            self._clock.monotonic() + _EJECTION_TIME.total_seconds()
        )
