"""Authenticated peer connection with a bounded send queue."""

import asyncio
import contextlib
import datetime
from collections.abc import Awaitable, Callable

import structlog

from pomelolug.clock import Clock
from pomelolug.errors import ErrorCode, PeerError, PomelolugError
from pomelolug.membership._handshake import Identity, handshake
from pomelolug.membership._keys import PeerKeyRing, Side
from pomelolug.membership._metrics import BYTES, HANDLER_ERRORS, REFUSALS
from pomelolug.membership._queue import PutResult, SendQueue, status_key
from pomelolug.membership._transport import Transport
from pomelolug.messages import (
    ClaimRequest,
    ClaimUpdate,
    ClaimVerdict,
    DemandReport,
    Digest,
    Explanation,
    GroupStatus,
    HolderLost,
    KeepAlive,
    LossReport,
    Message,
    RecordsRequest,
    Relay,
    RoutingTable,
    StatusBatch,
    StatusPull,
    StreamRecords,
    Suspicion,
    TablePull,
    decode,
    encode,
)

__all__ = ["MESSAGE_TYPES", "Connection", "open_connection"]

MESSAGE_TYPES: tuple[type[Message], ...] = (
    ClaimRequest,
    ClaimUpdate,
    ClaimVerdict,
    DemandReport,
    Digest,
    Explanation,
    GroupStatus,
    HolderLost,
    KeepAlive,
    LossReport,
    RecordsRequest,
    Relay,
    RoutingTable,
    StatusBatch,
    StatusPull,
    StreamRecords,
    Suspicion,
    TablePull,
)
QUEUE_SIZE = 512
KEEP_ALIVE_FRAME = encode(KeepAlive())
SILENCE_TIMEOUT = datetime.timedelta(seconds=3)
# Number of timer intervals of the writer per silence timeout. With this interval a
# process that sends once per heartbeat is rarely woken by the timer.
TICKS_PER_TIMEOUT = 2
# A timer that fires later than this many intervals indicates that the process
# was paused.
PAUSE_THRESHOLD_TICKS = 1.3

_RECEIVED = BYTES.labels(direction="received")
_SENT = BYTES.labels(direction="sent")
_log = structlog.get_logger(__name__)


class Connection:
    """Authenticated connection to a peer.

    Instances are created by `open_connection` and `PeerServer`.

    Parameters
    ----------
    transport : Transport
        Transport on which the handshake has completed.
    peer : Identity
        Authenticated identity of the peer.
    side : Side
        Which end of the connection this process is.
    clock : Clock
        Source of monotonic time.
    silence_timeout : datetime.timedelta
        The connection is closed after this time without a message. Keep-alive
        messages are sent often enough that the peer does not time out.
    queue_size : int
        Maximum number of messages waiting to be sent.
    """

    def __init__(
        self,
        transport: Transport,
        peer: Identity,
        *,
        side: Side,
        clock: Clock,
        silence_timeout: datetime.timedelta = SILENCE_TIMEOUT,
        queue_size: int = QUEUE_SIZE,
    ) -> None:
        self._transport = transport
        self._peer = peer
        self._side = side
        self._clock = clock
        self._silence_timeout_s = silence_timeout.total_seconds()
        self._queue = SendQueue(queue_size)
        self._message_queued = asyncio.Event()
        self._closed = asyncio.Event()
        self._silent_s = 0.0
        self._wait_started_s = 0.0
        self._is_handling = False
        self._close_reason = ""

    @property
    def peer(self) -> Identity:
        """Authenticated identity of the peer."""
        return self._peer

    @property
    def side(self) -> Side:
        """Which end of the connection this process is."""
        return self._side

    @property
    def closed(self) -> bool:
        """Whether the connection is closed."""
        return self._closed.is_set()

    @property
    def close_reason(self) -> str:
        """Why the connection was closed; empty while it is open."""
        return self._close_reason

    def send(self, message: Message, *, key: str | None = None) -> bool:
        """Queue `message` and return whether it was accepted.

        Parameters
        ----------
        message : Message
            Message of a generated type.
        key : str, optional
            Key of a status message: a queued message with the same key is
            replaced. By default it is `status_key` of the message.

        Raises
        ------
        PeerError
            If the encoded message exceeds the size limit.
        """
        return self.send_encoded(encode(message), key=key or status_key(message))

    def send_encoded(self, frame: bytes, *, key: str | None = None) -> bool:
        """Queue an encoded message, like `send`."""
        if self.closed or self._queue.put(frame, key=key) is PutResult.REFUSED:
            return False
        self._message_queued.set()
        return True

    async def run(
        self, handler: Callable[["Connection", Message], Awaitable[None]]
    ) -> None:
        """Pass each received message to `handler` until the connection ends.

        Messages are handled sequentially in the order of arrival. Exceptions
        raised by the handler are counted and do not end the connection.
        """
        writer = asyncio.create_task(self._write())
        closing = asyncio.create_task(self._closed.wait())
        reader = asyncio.create_task(self._read(handler))
        tasks = (writer, closing, reader)
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self.close("ended")
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            with contextlib.suppress(PeerError, OSError):
                await self._transport.close()

    def close(self, reason: str) -> None:
        """Close the connection and discard queued messages."""
        if not self.closed:
            self._close_reason = reason
            self._closed.set()

    async def _read(
        self, handler: Callable[["Connection", Message], Awaitable[None]]
    ) -> None:
        while not self.closed:
            try:
                frame = await self._transport.receive()
            except PeerError as error:
                if error.code is not ErrorCode.PEER_PROTOCOL:
                    REFUSALS.labels(reason=error.code.value).inc()
                self.close(str(error))
                return
            # The writer will add its whole current wait to the silence. Subtract
            # the part that precedes this message.
            waiting_s = self._clock.monotonic() - self._wait_started_s
            self._silent_s = -min(
                waiting_s, self._silence_timeout_s / TICKS_PER_TIMEOUT
            )
            _RECEIVED.inc(len(frame))
            try:
                message = decode(frame, *MESSAGE_TYPES)
            except PeerError as error:
                # A message type of a later version must not end the connection.
                REFUSALS.labels(reason=error.code.value).inc()
                continue
            if not isinstance(message, KeepAlive):
                await self._handle(handler, message)

    async def _handle(
        self,
        handler: Callable[["Connection", Message], Awaitable[None]],
        message: Message,
    ) -> None:
        kind = type(message).__name__
        self._is_handling = True
        try:
            await handler(self, message)
        except PomelolugError as error:
            HANDLER_ERRORS.labels(kind=kind).inc()
            _log.warning("message_refused", kind=kind, code=error.code.value)
        except Exception:
            HANDLER_ERRORS.labels(kind=kind).inc()
            _log.exception("message_handler_failed", kind=kind)
        finally:
            self._is_handling = False

    async def _write(self) -> None:
        tick_s = self._silence_timeout_s / TICKS_PER_TIMEOUT
        while not self.closed:
            self._wait_started_s = self._clock.monotonic()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(tick_s):
                    await self._message_queued.wait()
            # A wait during which this process was paused counts as only a fraction of
            # an interval of silence, and time spent in the handler not at all.
            waited_s = self._clock.monotonic() - self._wait_started_s
            if waited_s > PAUSE_THRESHOLD_TICKS * tick_s:
                waited_s = tick_s / TICKS_PER_TIMEOUT**2
            self._silent_s += 0.0 if self._is_handling else waited_s
            if not self._message_queued.is_set() and waited_s > 0:
                self._queue.put(KEEP_ALIVE_FRAME)
            if self._silent_s >= self._silence_timeout_s:
                REFUSALS.labels(reason="silent").inc()
                self.close("silent")
                return
            await self._flush()

    async def _flush(self) -> None:
        self._message_queued.clear()
        try:
            while len(self._queue) and not self.closed:
                frame = self._queue.pop()
                async with asyncio.timeout(self._silence_timeout_s):
                    await self._transport.send(frame)
                _SENT.inc(len(frame))
        except PeerError as error:
            self.close(str(error))
        except TimeoutError:
            REFUSALS.labels(reason="congested").inc()
            self.close("congested")


async def open_connection(
    transport: Transport,
    side: Side,
    identity: Identity,
    keys: PeerKeyRing,
    *,
    clock: Clock,
    timeout: datetime.timedelta,
    silence_timeout: datetime.timedelta = SILENCE_TIMEOUT,
    queue_size: int = QUEUE_SIZE,
) -> Connection:
    """Perform the handshake on `transport` and return the connection.

    Raises
    ------
    PeerError
        If the handshake fails or takes longer than `timeout`. The transport is
        closed in that case.
    """
    try:
        async with asyncio.timeout(timeout.total_seconds()):
            peer = await handshake(transport, side, identity, keys)
    except BaseException as error:
        with contextlib.suppress(PeerError, OSError):
            await transport.close()
        if isinstance(error, TimeoutError):
            error = PeerError(ErrorCode.PEER_PROTOCOL, "handshake timed out")
        if isinstance(error, PeerError):
            REFUSALS.labels(reason=error.code.value).inc()
        raise error
    return Connection(
        transport,
        peer,
        side=side,
        clock=clock,
        silence_timeout=silence_timeout,
        queue_size=queue_size,
    )
