"""TCP proxy that injects faults into the connections that it forwards."""

import asyncio
import enum
import socket
import struct

from pomelolug.testing._process_connections import ProcessConnections

__all__ = ["LinkCut", "LinkFault", "LoopbackProxy"]

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


class LinkCut(enum.Enum):
    """Way in which the connections of some processes are cut.

    The proxy cannot keep a connection from being established, so a new one that hangs
    or is refused is accepted, and then held or reset.
    """

    SILENT = "silent"
    """Connections hold all bytes and new ones hang."""
    RESET = "reset"
    """Connections are reset and new ones refused."""
    REFUSES_NEW = "refuses new connections"
    """Connections go on and new ones are refused."""


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
        self._targets: dict[asyncio.StreamWriter, asyncio.StreamWriter] = {}
        self._cut: LinkCut | None = None
        self._cut_off: ProcessConnections | None = None
        self._held: set[asyncio.StreamWriter] = set()
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
        self._notify()

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
        for pair in list(self._targets.items()):
            for writer in pair:
                _reset(writer)

    def cut(self, way: LinkCut, processes: ProcessConnections) -> None:
        """Cut the connections of `processes`, which were just read, until `mend`."""
        self._cut = way
        self._cut_off = processes
        for client, target in list(self._targets.items()):
            if not processes.has_ends(*_ends(client)):
                continue
            if way is LinkCut.SILENT:
                self._held.add(client)
            elif way is LinkCut.RESET:
                _reset(client)
                _reset(target)

    def mend(self) -> None:
        """End the cut; connections that are held go on."""
        self._cut = self._cut_off = None
        self._held.clear()
        self._notify()

    def _notify(self) -> None:
        self._fault_changed.set()
        self._fault_changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if await self._is_refused(writer):
            _reset(writer)
            return
        host, _, port = self._target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            _reset(writer)
            return
        self._targets[writer] = target_writer
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, writer, is_request_direction=True),
                self._forward(
                    target_reader, writer, writer, is_request_direction=False
                ),
            )
        except OSError:
            await self._wait_while_held(writer)
            # A reset on one side is propagated to the other side.
            for end in (writer, target_writer):
                _reset(end)
        finally:
            del self._targets[writer]
            self._held.discard(writer)
            for end in (writer, target_writer):
                end.close()

    async def _is_refused(self, client: asyncio.StreamWriter) -> bool:
        """Return whether a cut refuses a new connection; hold it if it is silent."""
        processes = self._cut_off
        if processes is None:
            return False
        await processes.read_new()
        is_cut = self._cut_off is processes and processes.has_ends(*_ends(client))
        if is_cut and self._cut is LinkCut.SILENT:
            self._held.add(client)
            return False
        return is_cut

    async def _wait_while_held(self, client: asyncio.StreamWriter) -> None:
        while client in self._held:
            await self._fault_changed.wait()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        client: asyncio.StreamWriter,
        *,
        is_request_direction: bool,
    ) -> None:
        while data := await reader.read(_CHUNK_BYTES):
            if self._fault is LinkFault.DELAYED:
                await asyncio.sleep(self.delay_s)
            while self._fault in _HOLDING_FAULTS[is_request_direction]:
                await self._fault_changed.wait()
            await self._wait_while_held(client)
            writer.write(data)
            await writer.drain()
        await self._wait_while_held(client)
        if writer.can_write_eof() and not writer.is_closing():
            writer.write_eof()


def _ends(client: asyncio.StreamWriter) -> tuple[tuple[str, int], tuple[str, int]]:
    """Return the addresses of the client and of the proxy of a connection."""
    peer = client.get_extra_info("peername") or ("", 0)
    return peer, client.get_extra_info("sockname")


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    writer.transport.abort()
