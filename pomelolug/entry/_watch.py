"""Detection of groups whose streams stand still.

The loss of a member stops a group at once, while its head reports it only
seconds later. All streams of a group advance in the same passes, so a pause of
all of them shows the loss.
"""

import dataclasses
import datetime
from collections.abc import Callable

from pomelolug.clock import Clock
from pomelolug.entry._attempt import Attempt
from pomelolug.ids import VmId

__all__ = ["StallWatch", "WatchedStream"]

_CHECK = datetime.timedelta(milliseconds=100)
_STREAMING_S = 0.6
"""Pause in all streams of a group after which it counts as stalled.

Passes take 60 to 150 ms at full batches, and callers leave after 2 s.
"""
_WAITING_S = 1.0
"""The same for a group whose requests all wait for their first event."""


@dataclasses.dataclass(slots=True, eq=False)
class WatchedStream:
    """One stream at a head; `moved_at` is its start or its last event."""

    attempt: Attempt
    moved_at: float
    streaming: bool = False


class StallWatch:
    """Breaks off the attempts at heads that stand still.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    on_stall : callable
        Called with the head before its attempts are broken off.
    """

    def __init__(self, *, clock: Clock, on_stall: Callable[[VmId], None]) -> None:
        self._clock = clock
        self._on_stall = on_stall
        self._streams: dict[VmId, set[WatchedStream]] = {}
        self._progress: dict[VmId, float] = {}

    def enter(self, head: VmId, attempt: Attempt) -> WatchedStream:
        """Watch an attempt that was just sent."""
        stream = WatchedStream(attempt, self._clock.monotonic())
        self._streams.setdefault(head, set()).add(stream)
        return stream

    def moved(self, head: VmId, stream: WatchedStream) -> None:
        """Note an event of a stream."""
        stream.moved_at = self._progress[head] = self._clock.monotonic()
        stream.streaming = True

    def leave(self, head: VmId, stream: WatchedStream) -> None:
        """Stop watching an attempt."""
        streams = self._streams.get(head)
        if streams is not None:
            streams.discard(stream)
            if not streams:
                del self._streams[head]
                self._progress.pop(head, None)

    async def run(self) -> None:
        """Check until cancelled."""
        checked_at = self._clock.monotonic()
        while True:
            await self._clock.sleep(_CHECK)
            now = self._clock.monotonic()
            # A pause of this process says nothing of the servers.
            if now - checked_at < 3 * _CHECK.total_seconds():
                self.check()
            else:
                self._forgive(now)
            checked_at = now

    def check(self) -> None:
        """Break off the attempts at heads that stand still."""
        now = self._clock.monotonic()
        for head in list(self._streams):
            streams = self._streams[head]
            oldest = min(stream.moved_at for stream in streams)
            moved_at = max(self._progress.get(head, oldest), oldest)
            streaming = any(stream.streaming for stream in streams)
            if now - moved_at > (_STREAMING_S if streaming else _WAITING_S):
                self._on_stall(head)
                for stream in list(streams):
                    stream.attempt.abort("stalled")

    def _forgive(self, now: float) -> None:
        for head, streams in self._streams.items():
            self._progress[head] = now
            for stream in streams:
                stream.moved_at = now
