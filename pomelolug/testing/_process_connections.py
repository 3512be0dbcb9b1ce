"""Lookup of the loopback connections of given processes.

A client's port alone does not identify its connection: Linux gives the same
local port to connections with different destinations.
"""

import asyncio
import contextlib
import os
import pathlib
import socket
import sys
from collections.abc import Iterable

__all__ = ["ProcessConnections"]

_TCP_TABLE = pathlib.Path("/proc/net/tcp")
_Address = tuple[str, int]
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
        self._ends: frozenset[tuple[_Address, _Address]] = frozenset()
        self._port_pairs: frozenset[tuple[int, int]] = frozenset()
        self._pending_read: asyncio.Task[None] | None = None

    def read(self) -> None:
        """Read the current connections from /proc."""
        inodes = set()
        for pid in self._pids:
            inodes |= _socket_inodes(pid)
        self._ends = frozenset(
            ends for inode, ends in _connections() if inode in inodes
        )
        self._port_pairs = frozenset(
            (local[1], remote[1]) for local, remote in self._ends
        )

    def has_connection(self, client_port: int, server_port: int) -> bool:
        """Return whether a process had the connection when /proc was last read."""
        return (client_port, server_port) in self._port_pairs

    def has_ends(self, client: _Address, server: _Address) -> bool:
        """Return the same for a connection of which the addresses are known.

        Clients with one address share ports if their servers have several.
        """
        return (client, server) in self._ends

    async def has_new_connection(self, client_port: int, server_port: int) -> bool:
        """Return the same for a newly accepted connection, after another read."""
        await self.read_new()
        return self.has_connection(client_port, server_port)

    async def read_new(self) -> None:
        """Read the connections from /proc, with those that were just accepted."""
        if self._pending_read is None:
            self._pending_read = asyncio.create_task(self._read_after_delay())
        await asyncio.shield(self._pending_read)

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


def _connections() -> Iterable[tuple[str, tuple[_Address, _Address]]]:
    for line in _TCP_TABLE.read_text().splitlines()[1:]:
        fields = line.split()
        yield fields[9], (_decode_address(fields[1]), _decode_address(fields[2]))


def _decode_address(text: str) -> _Address:
    ip, _, port = text.partition(":")
    packed = int(ip, 16).to_bytes(4, sys.byteorder)
    return socket.inet_ntoa(packed), int(port, 16)
