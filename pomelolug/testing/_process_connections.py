"""Lookup of the loopback connections of given processes.

A client's port alone does not identify its connection: Linux gives the same
local port to connections with different destinations.
"""

import asyncio
import contextlib
import os
import pathlib
from collections.abc import Iterable

__all__ = ["ProcessConnections"]

_TCP_TABLE = pathlib.Path("/proc/net/tcp")
# New connections that arrive within this time share one reading of /proc.
_COALESCE_S = 0.02


class ProcessConnections:
    """Local and remote port of each TCP connection of the given processes.

    Parameters
    ----------
    pids : iterable of int
        The processes.
    """

    def __init__(self, pids: Iterable[int]) -> None:
        self._pids = tuple(pids)
        self._port_pairs: frozenset[tuple[int, int]] = frozenset()
        self._pending_read: asyncio.Task[None] | None = None

    def read(self) -> None:
        """Read the current connections from /proc."""
        inodes = set()
        for pid in self._pids:
            inodes |= _socket_inodes(pid)
        self._port_pairs = frozenset(
            pair for inode, pair in _connections() if inode in inodes
        )

    def has_connection(self, client_port: int, server_port: int) -> bool:
        """Return whether a process had the connection when /proc was last read."""
        return (client_port, server_port) in self._port_pairs

    async def has_new_connection(self, client_port: int, server_port: int) -> bool:
        """Return the same for a newly accepted connection, after another read."""
        if self._pending_read is None:
            self._pending_read = asyncio.create_task(self._read_after_delay())
        await asyncio.shield(self._pending_read)
        return self.has_connection(client_port, server_port)

    async def _read_after_delay(self) -> None:
        await asyncio.sleep(_COALESCE_S)
        # Connections accepted from here on need another read.
        self._pending_read = None
        self.read()


def _socket_inodes(pid: int) -> set[str]:
    inodes = set()
    folder = f"/proc/{pid}/fd"
    with contextlib.suppress(OSError):
        for name in os.listdir(folder):
            with contextlib.suppress(OSError):
                target = os.readlink(f"{folder}/{name}")
                if target.startswith("socket:["):
                    inodes.add(target[8:-1])
    return inodes


def _connections() -> Iterable[tuple[str, tuple[int, int]]]:
    for line in _TCP_TABLE.read_text().splitlines()[1:]:
        fields = line.split()
        local = int(fields[1].rpartition(":")[2], 16)
        remote = int(fields[2].rpartition(":")[2], 16)
        yield fields[9], (local, remote)
