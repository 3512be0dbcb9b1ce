"""Readiness of the node and its graceful shutdown."""

import asyncio
import datetime
from collections.abc import Callable, Iterable

import structlog

from pomelolug.clock import Clock
from pomelolug.transport import ServerConnection

__all__ = ["Lifecycle"]

_log = structlog.get_logger(__name__)

_DEREGISTRATION_S = 2.5
"""Time that the load balancer takes to deregister a node that is not ready.

It checks readiness once a second and acts on the second failure.
"""
_KILL_MARGIN_S = 0.5
"""Part of the grace period that is left unused before the process is killed."""
_POLL_INTERVAL = datetime.timedelta(milliseconds=50)


class Lifecycle:
    """Readiness of the node for callers, and its graceful shutdown.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    grace : datetime.timedelta
        Time from the stop request until the process is killed.
    unready_reason : callable
        Returns why the node is not ready, or an empty string if it is.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        grace: datetime.timedelta,
        unready_reason: Callable[[], str],
    ) -> None:
        self._clock = clock
        self._grace_s = grace.total_seconds()
        self._unready_reason = unready_reason
        self._stop_requested = asyncio.Event()
        self._stop_requested_at_s = float("inf")

    @property
    def is_stopping(self) -> bool:
        """Whether a planned stop has begun."""
        return self._stop_requested.is_set()

    def unready_reason(self) -> str:
        """Return why the node is not ready, or an empty string if it is."""
        return "stopping" if self.is_stopping else self._unready_reason()

    def request_stop(self) -> None:
        """Begin the planned stop."""
        if not self.is_stopping:
            _log.info("stop_requested")
            self._stop_requested_at_s = self._clock.monotonic()
            self._stop_requested.set()

    def may_end_before(self, time_s: float) -> bool:
        """Return whether the process may end before a monotonic time.

        False until the load balancer has deregistered the node: most requests end in
        the rest of the grace period, and to refuse them all would cost more.
        """
        return (
            self._since_stop_request_s() >= _DEREGISTRATION_S
            and time_s > self._stop_requested_at_s + self._grace_s - _KILL_MARGIN_S
        )

    async def wait_for_stop(self) -> None:
        """Wait until a stop is requested."""
        await self._stop_requested.wait()

    async def drain(
        self,
        listeners: Iterable[asyncio.Server],
        connections: set[ServerConnection],
        in_flight: Callable[[], int],
    ) -> None:
        """Answer the requests that were received, then return.

        Persistent connections are closed with their next response. New ones are
        accepted until the load balancer has deregistered the node.

        All times count from the stop request, like the grace period.
        """
        for connection in list(connections):
            connection.close_after_response()
        while self._since_stop_request_s() < _DEREGISTRATION_S:
            for connection in list(connections):
                connection.close_after_response()
            await self._clock.sleep(_POLL_INTERVAL)
        for listener in listeners:
            listener.close()
        while self._since_stop_request_s() < self._grace_s - _KILL_MARGIN_S:
            for connection in list(connections):
                connection.close_if_idle()
            if not in_flight() and not connections:
                break
            await self._clock.sleep(_POLL_INTERVAL)
        _log.info(
            "stopped",
            in_flight=in_flight(),
            took_s=round(self._since_stop_request_s(), 3),
        )

    def _since_stop_request_s(self) -> float:
        return self._clock.monotonic() - self._stop_requested_at_s
