"""Transports for frames between two processes."""

import abc
import datetime

from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection as WebsocketConnection
from websockets.exceptions import ConnectionClosed, WebSocketException

from pomelolug.errors import ErrorCode, PeerError
from pomelolug.messages import MAX_MESSAGE_BYTES

__all__ = ["Dialer", "Transport", "WebsocketDialer", "WebsocketTransport"]

PEER_PATH = "/peer"


class Transport(abc.ABC):
    """Bidirectional, ordered transport of binary frames."""

    @abc.abstractmethod
    async def send(self, frame: bytes) -> None:
        """Send one frame, waiting while the connection is congested.

        Raises
        ------
        PeerError
            If the connection is closed.
        """

    @abc.abstractmethod
    async def receive(self) -> bytes:
        """Return the next frame.

        Raises
        ------
        PeerError
            If the connection is closed or the frame is not binary.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close the connection. Does nothing if it is already closed."""


class Dialer(abc.ABC):
    """Opens transports to addresses."""

    @abc.abstractmethod
    async def dial(self, address: str, *, timeout: datetime.timedelta) -> Transport:
        """Connect to `address`, given as IP and port.

        Raises
        ------
        PeerError
            If the connection is not established within `timeout`.
        """


class WebsocketTransport(Transport):
    """Transport over a WebSocket connection."""

    def __init__(self, connection: WebsocketConnection) -> None:
        self._connection = connection

    async def send(self, frame: bytes) -> None:
        """Send one frame."""
        try:
            await self._connection.send(frame)
        except ConnectionClosed as error:
            raise _connection_error(error) from error

    async def receive(self) -> bytes:
        """Return the next frame."""
        try:
            frame = await self._connection.recv()
        except ConnectionClosed as error:
            raise _connection_error(error) from error
        if isinstance(frame, str):
            raise PeerError(ErrorCode.PEER_PROTOCOL, "text frame refused")
        return frame

    async def close(self) -> None:
        """Close the connection."""
        await self._connection.close()


def _connection_error(error: ConnectionClosed) -> PeerError:
    sent_close = error.sent
    if sent_close is not None and sent_close.code == 1009:
        return PeerError(ErrorCode.MESSAGE_TOO_LARGE, "oversized frame refused")
    return PeerError(ErrorCode.PEER_PROTOCOL, "connection closed")


class WebsocketDialer(Dialer):
    """Opens WebSocket transports."""

    async def dial(self, address: str, *, timeout: datetime.timedelta) -> Transport:
        """Connect to `address`."""
        seconds = timeout.total_seconds()
        try:
            connection = await connect(
                f"ws://{address}{PEER_PATH}",
                compression=None,
                proxy=None,
                open_timeout=seconds,
                close_timeout=1.0,
                ping_interval=None,
                max_size=MAX_MESSAGE_BYTES,
            )
        except (TimeoutError, OSError, WebSocketException) as error:
            raise PeerError(
                ErrorCode.PEER_PROTOCOL, f"connection failed: {type(error).__name__}"
            ) from error
        return WebsocketTransport(connection)
