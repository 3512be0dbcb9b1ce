"""Forwards one address to another and disturbs the connections in between."""

import asyncio
import enum
import socket
import struct

__all__ = ["LinkFault", "LoopbackProxy"]

_CHUNK_BYTES = 64 * 1024
_NO_LINGER = struct.pack("ii", 1, 0)
"""Closes with a reset instead of an orderly end."""


class LinkFault(enum.Enum):
    """What happens to bytes on the way; held bytes arrive when the fault ends."""

    NONE = "none"
    SILENT = "silent"
    REQUESTS_HELD = "requests_held"
    RESPONSES_HELD = "answers_held"
    DELAYED = "delayed"


_HOLDING_FAULTS = {
    True: (LinkFault.SILENT, LinkFault.REQUESTS_HELD),
    False: (LinkFault.SILENT, LinkFault.RESPONSES_HELD),
}


class LoopbackProxy:
    """Accepts at one address and connects to another for each connection.

    Parameters
    ----------
    address, target : str
        IP address and port to accept at, and to forward to.
    """

    def __init__(self, address: str, target: str) -> None:
        self._address = address
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._fault = LinkFault.NONE
        self._fault_changed = asyncio.Event()
        self.delay_s = 0.0
        """Delay of each piece while the fault is `DELAYED`."""

    @property
    def address(self) -> str:
        """Address that accepts connections."""
        return self._address

    @property
    def fault(self) -> LinkFault:
        """What happens to bytes on the way."""
        return self._fault

    @fault.setter
    def fault(self, fault: LinkFault) -> None:
        self._fault = fault
        self._fault_changed.set()
        self._fault_changed = asyncio.Event()

    async def start(self) -> None:
        """Accept connections."""
        host, _, port = self._address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def stop(self) -> None:
        """Accept no more and reset what is open."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Break all connections off."""
        for writer in list(self._writers):
            _reset(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self._target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            _reset(writer)
            return
        pair = {writer, target_writer}
        self._writers |= pair
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, is_request_direction=True),
                self._forward(target_reader, writer, is_request_direction=False),
            )
        except OSError:
            # One side was reset, so the other one is reset as well.
            for end in pair:
                _reset(end)
        finally:
            self._writers -= pair
            for end in pair:
                end.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_request_direction: bool,
    ) -> None:
        while data := await reader.read(_CHUNK_BYTES):
            if self._fault is LinkFault.DELAYED:
                await asyncio.sleep(self.delay_s)
            while self._fault in _HOLDING_FAULTS[is_request_direction]:
                await self._fault_changed.wait()
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof() and not writer.is_closing():
            writer.write_eof()


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    writer.transport.abort()
