"""Choice of the server of a request to a plain service."""

import random
from collections.abc import Collection

from pomelolug.deployment import BackendServer
from pomelolug.entry.performance import LearnedDelayEstimator
from pomelolug.entry.requests._request_context import (
    no_room_error,
    not_run_error,
    server_wait_error,
)
from pomelolug.entry.servers import ServerNotices, ServerOptions, ServerTracker
from pomelolug.errors import ErrorCode, RequestError
from pomelolug.ids import ServiceName, VmId, ZoneId

__all__ = ["PlainServerChooser"]

_CROSS_ZONE_PENALTY = 0.1
"""Load, as a fraction of the slots, that a server in another zone must save."""
_COLD_PENALTY = 0.25
"""Load, as a fraction of the slots, that a cold server must save, since it is slow."""
_FAILURE_PENALTY = 0.5
"""Load, as a fraction of the slots, that one recent failure counts for."""
_OVER_LIMIT_PENALTY = 0.5
"""Load, as a fraction of the slots, that being above the learned limit counts for."""


class PlainServerChooser:
    """Chooses the server of each attempt of a request to a plain service.

    Parameters
    ----------
    server_tracker : ServerTracker
        Servers and their load.
    notices : ServerNotices
        What servers state about the requests that they take.
    delay_estimator : LearnedDelayEstimator
        Service times and limits of the servers.
    zone : ZoneId
        Zone of this node.
    rng : random.Random
        Breaks ties between servers.
    """

    def __init__(
        self,
        *,
        server_tracker: ServerTracker,
        notices: ServerNotices,
        delay_estimator: LearnedDelayEstimator,
        zone: ZoneId,
        rng: random.Random,
    ) -> None:
        self._server_tracker = server_tracker
        self._notices = notices
        self._delay_estimator = delay_estimator
        self._zone = zone
        self._rng = rng

    def find_options(self, service: ServiceName) -> ServerOptions:
        """Return the servers that take a request now, and the wait if none does."""
        return self._server_tracker.server_options(service)

    def select(
        self, options: ServerOptions, tried: Collection[VmId]
    ) -> BackendServer | None:
        """Return the server of the next attempt, None if none takes the request.

        Parameters
        ----------
        options : ServerOptions
            Servers of the service, as they stand now.
        tried : collection of VmId
            Servers that the request is not sent to again.
        """
        servers = [s for s in options.accepting if s.vm not in tried]
        if not servers:
            return None
        return min(servers, key=lambda s: (self.score(s), self._rng.random()))

    def score(self, server: BackendServer) -> float:
        """Return the load by which a server is compared, as a fraction of the slots."""
        in_flight = self._server_tracker.in_flight(server.vm)
        slots = max(server.slots, 1)
        factor = self._delay_estimator.service_factor(server, in_flight=in_flight)
        # With this request, a slow server has as much work as its time is longer.
        load = ((in_flight + 1) * factor - 1) / slots
        limit = self._delay_estimator.plain_limit(server)
        if limit < slots and in_flight >= limit:
            load += _OVER_LIMIT_PENALTY
        zone_penalty = 0.0 if server.zone == self._zone else _CROSS_ZONE_PENALTY
        return (
            load
            + zone_penalty
            + (_COLD_PENALTY if self._notices.is_cold(server) else 0.0)
            + _FAILURE_PENALTY * self._server_tracker.failure_score(server.vm)
        )

    def no_server_error(self, options: ServerOptions) -> RequestError:
        """Return the error of a request for which none of the servers was selected."""
        if options.wait is not None:
            return server_wait_error(options.wait, self._rng)
        if options.accepting:
            return no_room_error(self._rng)
        return not_run_error(ErrorCode.NO_GROUP, "no server of the service is ready")
