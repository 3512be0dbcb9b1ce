"""Pool of idle client connections."""

import asyncio
import collections
import datetime

from pomelolug.transport._client import (
    ClientConnection,
    HttpConnectionError,
    connect,
)
from pomelolug.transport._memory_budget import MemoryBudget

__all__ = ["ConnectionPool"]

_MAX_IDLE_PER_ADDRESS = 16  # a group runs at most a few tens of requests


class ConnectionPool:
    """Keeps idle connections for reuse.

    Parameters
    ----------
    max_idle : datetime.timedelta
        Idle time after which a connection is closed instead of reused.
    connect_timeout : datetime.timedelta
        Time limit for opening a connection.
    max_idle_connections : int or None
        Maximum number of idle connections to all addresses, None without a bound.
    memory_budget : MemoryBudget or None
        Budget that bytes read ahead are charged to.
    """

    def __init__(
        self,
        *,
        max_idle: datetime.timedelta,
        connect_timeout: datetime.timedelta,
        max_idle_connections: int | None = None,
        memory_budget: MemoryBudget | None = None,
    ) -> None:
        self._max_idle_s = max_idle.total_seconds()
        self._connect_timeout = connect_timeout
        self._max_idle_connections = max_idle_connections
        self._memory_budget = memory_budget
        self._idle_connections: dict[str, collections.deque[ClientConnection]] = {}

    async def acquire(self, address: str, *, fresh: bool = False) -> ClientConnection:
        """Return an idle connection to `address`, or a new one.

        Raises
        ------
        HttpConnectionError
            If a new connection cannot be opened.
        """
        if not fresh:
            connection = self._pop_idle(address)
            if connection is not None:
                return connection
        try:
            return await self._open(address)
        except HttpConnectionError as error:
            if error.reason != "no_descriptor" or not self._idle_connections:
                raise
        for idle_address in list(self._idle_connections):
            self.close_idle(idle_address)
        # Closed connections give their descriptors back in the next round.
        await asyncio.sleep(0)
        return await self._open(address)

    async def _open(self, address: str) -> ClientConnection:
        return await connect(
            address, timeout=self._connect_timeout, memory_budget=self._memory_budget
        )

    def release(self, address: str, connection: ClientConnection) -> None:
        """Keep a connection for reuse if possible; otherwise abort it."""
        if not connection.is_reusable:
            connection.abort()
            return
        if self._max_idle_connections is not None:
            idle_count = sum(map(len, self._idle_connections.values()))
            if idle_count >= self._max_idle_connections:
                connection.close()
                return
        connections = self._idle_connections.setdefault(address, collections.deque())
        connection.idle_since_s = asyncio.get_running_loop().time()
        connections.append(connection)
        if len(connections) > _MAX_IDLE_PER_ADDRESS:
            connections.popleft().close()

    def close_idle(self, address: str) -> None:
        """Close all idle connections to an address."""
        for connection in self._idle_connections.pop(address, ()):
            connection.close()

    def close_expired(self) -> None:
        """Close connections that exceed the maximum idle time."""
        min_idle_since_s = asyncio.get_running_loop().time() - self._max_idle_s
        for address in list(self._idle_connections):
            connections = self._idle_connections[address]
            while connections and (
                connections[0].is_closed
                or connections[0].idle_since_s < min_idle_since_s
            ):
                connections.popleft().close()
            if not connections:
                del self._idle_connections[address]

    def _pop_idle(self, address: str) -> ClientConnection | None:
        connections = self._idle_connections.get(address)
        min_idle_since_s = asyncio.get_running_loop().time() - self._max_idle_s
        while connections:
            connection = connections.pop()
            if connection.is_reusable and connection.idle_since_s >= min_idle_since_s:
                return connection
            connection.close()
        return None
