"""TCP proxy that injects faults into the connections that it forwards."""

import asyncio
import enum
import socket
import struct

__all__ = ["LinkFault", "LoopbackProxy"]

_CHUNK_BYTES = 64 * 1024
_NO_LINGER = struct.pack("ii", 1, 0)
"""SO_LINGER value with which closing a socket sends a TCP reset."""


class LinkFault(enum.Enum):
    """Fault of forwarded connections; held bytes are sent when the fault ends."""

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
    """Forwards each connection accepted at one address to another address.

    Parameters
    ----------
    address, target : str
        IP address and port to listen on, and to forward to.
    """

    def __init__(self, address: str, target: str) -> None:
        self._address = address
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._fault = LinkFault.NONE
        self._fault_changed = asyncio.Event()
        self.delay_s = 0.0
        """Delay of each chunk while the fault is `DELAYED`."""

    @property
    def address(self) -> str:
        """Address that the proxy listens on."""
        return self._address

    @property
    def fault(self) -> LinkFault:
        """Current fault of the forwarded connections."""
        return self._fault

    @fault.setter
    def fault(self, fault: LinkFault) -> None:
        self._fault = fault
        self._fault_changed.set()
        self._fault_changed = asyncio.Event()

    async def start(self) -> None:
        """Start accepting connections."""
        host, _, port = self._address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def stop(self) -> None:
        """Stop accepting connections and reset the open ones."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset all open connections."""
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
            # A reset on one side is propagated to the other side.
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
