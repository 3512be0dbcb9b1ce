"""Backend server whose responses a test scripts byte by byte."""

import asyncio
import dataclasses
import socket
import struct
from collections.abc import Awaitable, Callable

__all__ = ["ReceivedRequest", "ScriptedServer"]


_NO_LINGER = struct.pack("ii", 1, 0)
"""SO_LINGER value with which closing a socket sends a TCP reset."""


@dataclasses.dataclass(slots=True)
class ReceivedRequest:
    """Received request and the connection to respond on."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    connection_number: int

    @property
    def request_id(self) -> str:
        """Request id set by the caller."""
        return self.headers.get("request-id", "")

    def send(self, status: str, headers: dict[str, str], body: bytes = b"") -> None:
        """Send a complete response with its Content-Length."""
        self.send_head(status, headers | {"Content-Length": str(len(body))})
        self.writer.write(body)

    def send_head(self, status: str, headers: dict[str, str]) -> None:
        """Send the status line and the headers of a response."""
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        self.writer.write(f"HTTP/1.1 {status}\r\n{lines}\r\n".encode())

    def send_chunk(self, data: bytes) -> None:
        """Send one chunk; empty data ends the body."""
        self.writer.write(b"%x\r\n%b\r\n" % (len(data), data))

    def reset(self) -> None:
        """Reset the connection."""
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
        self.writer.transport.abort()

    async def wait_closed(self) -> None:
        """Wait until the client has closed the connection."""
        await self.reader.read()


Script = Callable[[ReceivedRequest], Awaitable[None]]


class ScriptedServer:
    """Listens on loopback and runs a script for each request."""

    def __init__(self, script: Script) -> None:
        self._script = script
        self._server: asyncio.Server | None = None
        self._connection_count = 0
        self.requests: list[ReceivedRequest] = []
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._connection_count += 1
        connection_number = self._connection_count
        try:
            while not writer.transport.is_closing():
                request = await self._read(reader, writer, connection_number)
                self.requests.append(request)
                await self._script(request)
                await writer.drain()
        except (
            asyncio.IncompleteReadError,
            ConnectionError,
            asyncio.CancelledError,
        ):
            return
        finally:
            writer.close()

    async def _read(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        connection_number: int,
    ) -> ReceivedRequest:
        head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        method, target, _ = head[0].split(" ")
        headers = {}
        for line in head[1:]:
            name, _, value = line.partition(": ")
            if name:
                headers[name.lower()] = value
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        return ReceivedRequest(
            method, target, headers, body, reader, writer, connection_number
        )
