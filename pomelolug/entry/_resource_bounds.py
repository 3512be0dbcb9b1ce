"""Shares of the memory and the sockets of the process for callers and servers."""

from collections.abc import Collection

import structlog

from pomelolug.entry._metrics import EntryMetrics
from pomelolug.transport import MemoryBudget, ServerConnection

__all__ = ["ResourceBounds"]

_log = structlog.get_logger(__name__)

_OWN_SOCKETS = 200
"""Sockets for the store, other nodes, orders, probes, metrics and readiness checks."""
_CALLER_SHARE = 2
"""Divisor of the sockets for callers; each request needs another one to its server."""
_REFUSED_SOCKETS = 200
"""Sockets of callers on which requests are only refused."""
_IDLE_SHARE = 10
"""Divisor of the sockets for idle connections to servers."""


class ResourceBounds:
    """Bounds that follow from the limits of the process, and their metrics.

    Parameters
    ----------
    memory_limit : int or None
        Bytes above which the process is killed, None if no limit is known.
    socket_limit : int or None
        Sockets that the process may have open, None if no limit is known.
    connections : collection of ServerConnection
        Open connections of callers and other nodes.
    metrics : EntryMetrics
        Metrics of the process.
    """

    def __init__(
        self,
        *,
        memory_limit: int | None,
        socket_limit: int | None,
        connections: Collection[ServerConnection],
        metrics: EntryMetrics,
    ) -> None:
        self._memory_budget = MemoryBudget.for_process(memory_limit)
        self._sockets = None
        if socket_limit is not None:
            self._sockets = max(socket_limit - _OWN_SOCKETS, 0)
        self._connections = connections
        self._metrics = metrics
        self._is_reported = False

    @property
    def memory_budget(self) -> MemoryBudget:
        """Budget of requests, unread responses and bytes read ahead."""
        return self._memory_budget

    @property
    def max_connections(self) -> int | None:
        """Connections above which requests are refused, None without a bound."""
        if self._sockets is None:
            return None
        return max(self._sockets // _CALLER_SHARE - _REFUSED_SOCKETS, 1)

    @property
    def max_idle_connections(self) -> int | None:
        """Idle connections to servers that are kept, None without a bound."""
        return None if self._sockets is None else self._sockets // _IDLE_SHARE

    def record_unread(self) -> None:
        """Record that a caller was disconnected who did not read its response."""
        self._metrics.unread_disconnects.inc()
        _log.warning("caller_reads_nothing", held_bytes=self._memory_budget.held_bytes)

    def update(self) -> None:
        """Update the gauges, and log when a bound is reached and when it is left."""
        held_bytes, count = self._memory_budget.held_bytes, len(self._connections)
        self._metrics.held_bytes.set(held_bytes)
        self._metrics.connections.set(count)
        total, limit = self._memory_budget.total_bytes, self.max_connections
        is_reached = (total is not None and held_bytes >= total * 3 // 4) or (
            limit is not None and count > limit
        )
        if is_reached != self._is_reported:
            self._is_reported = is_reached
            _log.warning(
                "resource_bound_reached" if is_reached else "resource_bound_left",
                held_bytes=held_bytes,
                memory_bound=total,
                connections=count,
                connection_bound=limit,
            )
