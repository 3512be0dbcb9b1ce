"""Which loopback connections belong to given processes.

A client's port alone does not identify its connection: Linux gives the same
local port to connections with different destinations.
"""

import asyncio
import contextlib
import os
import pathlib
from collections.abc import Iterable

__all__ = ["ProcessPorts"]

_TCP_TABLE = pathlib.Path("/proc/net/tcp")
# New connections that arrive within this time share one reading of /proc.
_COALESCE_S = 0.02


class ProcessPorts:
    """Local and remote port of each TCP connection of some processes.

    Parameters
    ----------
    pids : iterable of int
        The processes.
    """

    def __init__(self, pids: Iterable[int]) -> None:
        self._pids = tuple(pids)
        self._pairs: frozenset[tuple[int, int]] = frozenset()
        self._next: asyncio.Task[None] | None = None

    def read(self) -> None:
        """Read the connections as they are now."""
        inodes = set()
        for pid in self._pids:
            inodes |= _socket_inodes(pid)
        self._pairs = frozenset(
            pair for inode, pair in _connections() if inode in inodes
        )

    def owns(self, client_port: int, server_port: int) -> bool:
        """Return whether the connection was a process's at the last reading."""
        return (client_port, server_port) in self._pairs

    async def owns_new(self, client_port: int, server_port: int) -> bool:
        """Return the same for a connection that has just been accepted."""
        if self._next is None:
            self._next = asyncio.create_task(self._read_soon())
        await asyncio.shield(self._next)
        return self.owns(client_port, server_port)

    async def _read_soon(self) -> None:
        await asyncio.sleep(_COALESCE_S)
        # Whoever comes from here on needs a reading of its own.
        self._next = None
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
