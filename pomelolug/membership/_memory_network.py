"""In-memory network with fault injection, for tests and experiments."""

import asyncio
import datetime
from collections.abc import Awaitable, Callable

from pomelolug.clock import Clock
from pomelolug.errors import ErrorCode, PeerError
from pomelolug.membership._connection import Connection, open_connection
from pomelolug.membership._keys import PeerKeyRing, Side
from pomelolug.membership._mesh import Mesh
from pomelolug.membership._transport import Dialer, Transport

__all__ = ["MemoryNetwork", "MemoryTransport", "PausableClock"]


class PausableClock(Clock):
    """Clock of a simulated process that can be paused.

    While the clock is paused, sleeps do not end and the monotonic time stands
    still. On resumption the time jumps, as it does for a real process.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._running = asyncio.Event()
        self._running.set()
        self._paused_at_s = 0.0

    def pause(self) -> None:
        """Pause the process."""
        self._paused_at_s = self._clock.monotonic()
        self._running.clear()

    def resume(self) -> None:
        """Resume the process."""
        self._running.set()

    async def wait_until_running(self) -> None:
        """Wait until the process is not paused."""
        await self._running.wait()

    def monotonic(self) -> float:
        """Return the monotonic time in seconds, constant while paused."""
        return self._clock.monotonic() if self._running.is_set() else self._paused_at_s

    def now(self) -> datetime.datetime:
        """Return the wall time."""
        return self._clock.now()

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Wait for `duration` and then until the process is not paused."""
        await self._clock.sleep(duration)
        await self._running.wait()


class MemoryTransport(Transport):
    """One end of a connection in a `MemoryNetwork`."""

    def __init__(self, network: "MemoryNetwork", source: str, target: str) -> None:
        self._network = network
        self._source = source
        self._target = target
        self._frames: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._is_open = True
        self.peer: MemoryTransport | None = None

    async def send(self, frame: bytes) -> None:
        """Send one frame.

        While the direction is cut, the frame is held back, like unacknowledged
        data in TCP.
        """
        if not self._is_open:
            raise PeerError(ErrorCode.PEER_PROTOCOL, "connection closed")
        self._network.transmit(self._source, self._target, frame, self.peer)

    async def receive(self) -> bytes:
        """Return the next frame."""
        frame = await self._frames.get()
        clock = self._network.clocks.get(self._source)
        if clock is not None:
            await clock.wait_until_running()
        if frame is None or not self._is_open:
            raise PeerError(ErrorCode.PEER_PROTOCOL, "connection closed")
        return frame

    async def close(self) -> None:
        """Close this end. The peer is notified once the direction is open."""
        if self._is_open:
            self._is_open = False
            self._frames.put_nowait(None)
            self._network.transmit(self._source, self._target, None, self.peer)

    def deliver(self, frame: bytes | None) -> None:
        """Receive a frame from the network, or None at the end of the connection."""
        self._frames.put_nowait(frame)


class _MemoryDialer(Dialer):
    def __init__(self, network: "MemoryNetwork", source: str) -> None:
        self._network = network
        self._source = source

    async def dial(self, address: str, *, timeout: datetime.timedelta) -> Transport:
        return await self._network.connect(self._source, address, timeout)


class MemoryNetwork:
    """In-memory network that connects meshes within one process.

    Parameters
    ----------
    keys : PeerKeyRing
        Shared keys used by the accepting ends.
    delay : datetime.timedelta
        One-way delay of each frame.
    """

    def __init__(
        self,
        keys: PeerKeyRing,
        *,
        delay: datetime.timedelta = datetime.timedelta(milliseconds=1),
    ) -> None:
        self._keys = keys
        self._delay_s = delay.total_seconds()
        self._acceptors: dict[str, Callable[[MemoryTransport], Awaitable[None]]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._cut_directions: set[tuple[str, str]] = set()
        self._held_frames: list[tuple[str, str, bytes | None, MemoryTransport]] = []
        self.clocks: dict[str, PausableClock] = {}
        self.frame_count = 0
        self.sent_bytes: dict[str, int] = {}

    def dialer(self, source: str) -> Dialer:
        """Return a dialer for the process at `source`."""
        return _MemoryDialer(self, source)

    def listen(
        self,
        address: str,
        mesh: Mesh,
        clock: Clock,
        silence_timeout: datetime.timedelta,
    ) -> None:
        """Accept connections to `address` and serve them with `mesh`."""

        async def accept(transport: MemoryTransport) -> None:
            try:
                connection: Connection = await open_connection(
                    transport,
                    Side.ACCEPTOR,
                    mesh.identity,
                    self._keys,
                    clock=clock,
                    timeout=silence_timeout,
                    silence_timeout=silence_timeout,
                )
            except PeerError:
                return
            await mesh.serve(connection)

        self._acceptors[address] = accept

    def stop_listening(self, address: str) -> None:
        """Refuse connections to `address`."""
        self._acceptors.pop(address, None)

    async def connect(
        self, source: str, target: str, timeout: datetime.timedelta
    ) -> Transport:
        """Connect two processes.

        Raises
        ------
        PeerError
            If a direction is cut, after `timeout`, or nothing listens at `target`.
        """
        await asyncio.sleep(2 * self._delay_s)
        if (source, target) in self._cut_directions or (
            target,
            source,
        ) in self._cut_directions:
            await asyncio.sleep(timeout.total_seconds())
            raise PeerError(ErrorCode.PEER_PROTOCOL, "connection failed: timeout")
        accept = self._acceptors.get(target)
        if accept is None:
            raise PeerError(ErrorCode.PEER_PROTOCOL, "connection failed: refused")
        local_end = MemoryTransport(self, source, target)
        remote_end = MemoryTransport(self, target, source)
        local_end.peer, remote_end.peer = remote_end, local_end
        task = asyncio.create_task(self._run(accept, remote_end))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return local_end

    @staticmethod
    async def _run(
        accept: Callable[[MemoryTransport], Awaitable[None]], end: MemoryTransport
    ) -> None:
        await accept(end)

    def transmit(
        self,
        source: str,
        target: str,
        frame: bytes | None,
        end: "MemoryTransport | None",
    ) -> None:
        """Deliver a frame after the delay, or hold it while the direction is cut.

        None as the frame stands for the end of the connection.
        """
        if end is None:
            return
        if frame is not None:
            self.frame_count += 1
            self.sent_bytes[source] = self.sent_bytes.get(source, 0) + len(frame)
        if (source, target) in self._cut_directions:
            self._held_frames.append((source, target, frame, end))
        else:
            asyncio.get_running_loop().call_later(self._delay_s, end.deliver, frame)

    def cut(self, source: str, target: str) -> None:
        """Hold all frames from `source` to `target`, in this direction only."""
        self._cut_directions.add((source, target))

    def heal(self) -> None:
        """Open all directions and deliver the held frames."""
        self._cut_directions.clear()
        held, self._held_frames = self._held_frames, []
        for _, _, frame, end in held:
            end.deliver(frame)

    async def close(self) -> None:
        """Cancel the tasks of all accepted connections."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
