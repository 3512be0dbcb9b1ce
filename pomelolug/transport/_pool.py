"""Idle connections to servers."""

import asyncio
import collections
import datetime

from pomelolug.transport._client import ClientConnection, open_connection

__all__ = ["ConnectionPool"]

_MOST_IDLE = 16  # per address; a group runs at most a few tens of requests


class ConnectionPool:
    """Keeps connections that may carry another request.

    Parameters
    ----------
    idle : datetime.timedelta
        Age above which an idle connection is closed instead of used.
    connect_timeout : datetime.timedelta
        Bound on opening a connection.
    """

    def __init__(
        self, *, idle: datetime.timedelta, connect_timeout: datetime.timedelta
    ) -> None:
        self._idle_s = idle.total_seconds()
        self._connect_timeout = connect_timeout
        self._idle: dict[str, collections.deque[ClientConnection]] = {}

    async def acquire(self, address: str, *, fresh: bool = False) -> ClientConnection:
        """Return an idle connection to `address`, or a new one.

        Raises
        ------
        BrokenResponse
            If no connection can be opened.
        """
        if not fresh:
            connection = self._take(address)
            if connection is not None:
                return connection
        host, _, port = address.rpartition(":")
        return await open_connection(host, int(port), timeout=self._connect_timeout)

    def release(self, address: str, connection: ClientConnection) -> None:
        """Keep a connection if it may be used again, else end it."""
        if not connection.reusable:
            connection.abort()
            return
        idle = self._idle.setdefault(address, collections.deque())
        connection.idle_since = asyncio.get_running_loop().time()
        idle.append(connection)
        if len(idle) > _MOST_IDLE:
            idle.popleft().close()

    def drop(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            connection.close()

    def sweep(self) -> None:
        """Close connections that were idle for too long."""
        oldest = asyncio.get_running_loop().time() - self._idle_s
        for address in list(self._idle):
            idle = self._idle[address]
            while idle and (idle[0].closed or idle[0].idle_since < oldest):
                idle.popleft().close()
            if not idle:
                del self._idle[address]

    def _take(self, address: str) -> ClientConnection | None:
        idle = self._idle.get(address)
        oldest = asyncio.get_running_loop().time() - self._idle_s
        while idle:
            connection = idle.pop()
            if connection.reusable and connection.idle_since >= oldest:
                return connection
            connection.close()
        return None
