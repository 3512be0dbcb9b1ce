"""Detection of replica groups whose streams have stalled.

The loss of a member stops a group at once, but the head reports it only seconds
later. All streams of a group advance in the same passes of the engine, so a pause
in all of them indicates the loss.
"""

import dataclasses
import datetime
from collections.abc import Callable

from pomelolug.clock import Clock
from pomelolug.ids import VmId

__all__ = ["StallDetector", "WatchedStream"]

_CHECK_INTERVAL = datetime.timedelta(milliseconds=100)
_STREAMING_STALL_S = 0.6
"""Pause in all streams of a group after which it counts as stalled.

Passes take 60 to 150 ms with full batches, and callers leave after 2 s.
"""
_FIRST_EVENT_STALL_S = 1.0
"""The same limit for a group whose requests all wait for their first event."""
_STALL_INTERVALS = 2.5
"""Least pause of a stall, as a multiple of the recent pauses between events."""
_MAX_STREAMING_STALL_S = 1.5
"""Longest pause of a slow group; callers leave half a second later."""
_INTERVAL_DECAY = 0.8
"""Factor on the largest recent pause with each event."""


@dataclasses.dataclass(slots=True, eq=False)
class WatchedStream:
    """A stream of a group; `progress_at_s` is the time of its start or last event.

    `move` is called when the group has stalled, None if no other group can go on with
    the stream.
    """

    move: Callable[[], None] | None
    progress_at_s: float
    has_received_event: bool = False
    is_held: bool = False
    """Whether nothing is read, since the caller does not read."""


class StallDetector:
    """Asks the streams of groups that have stalled to move to another group.

    A group is slow rather than stalled if its events have been as far apart before. A
    stall does not prove that the group is lost, so no stream is ended here.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    on_stall : callable
        Called with the head of a group before its streams are asked to move.
    """

    def __init__(self, *, clock: Clock, on_stall: Callable[[VmId], None]) -> None:
        self._clock = clock
        self._on_stall = on_stall
        self._streams: dict[VmId, set[WatchedStream]] = {}
        self._progress_at_s: dict[VmId, float] = {}
        self._largest_pause_s: dict[VmId, float] = {}

    def add(self, head: VmId, *, move: Callable[[], None] | None) -> WatchedStream:
        """Start watching a stream whose request has just been sent."""
        stream = WatchedStream(move, self._clock.monotonic())
        self._streams.setdefault(head, set()).add(stream)
        return stream

    def on_event(self, head: VmId, stream: WatchedStream) -> None:
        """Record that a stream has received an event."""
        now_s = self._clock.monotonic()
        decayed_s = self._largest_pause_s.get(head, 0.0) * _INTERVAL_DECAY
        pause_s = now_s - stream.progress_at_s if stream.has_received_event else 0.0
        self._largest_pause_s[head] = max(pause_s, decayed_s)
        stream.progress_at_s = self._progress_at_s[head] = now_s
        stream.has_received_event = True

    def set_held(self, stream: WatchedStream, is_held: bool) -> None:
        """Leave a stream out of account while its caller does not read."""
        stream.is_held = is_held
        stream.progress_at_s = self._clock.monotonic()

    def remove(self, head: VmId, stream: WatchedStream) -> None:
        """Stop watching a stream."""
        streams = self._streams.get(head)
        if streams is not None:
            streams.discard(stream)
            if not streams:
                del self._streams[head]
                self._progress_at_s.pop(head, None)
                self._largest_pause_s.pop(head, None)

    async def run(self) -> None:
        """Check for stalled groups until cancelled."""
        checked_at_s = self._clock.monotonic()
        while True:
            await self._clock.sleep(_CHECK_INTERVAL)
            now_s = self._clock.monotonic()
            # After a pause of this process, old times say nothing about the servers.
            if now_s - checked_at_s < 3 * _CHECK_INTERVAL.total_seconds():
                self.move_stalled()
            else:
                self._reset_timers(now_s)
            checked_at_s = now_s

    def move_stalled(self) -> None:
        """Ask the streams of groups that have stalled to move."""
        now_s = self._clock.monotonic()
        for head in list(self._streams):
            streams = {s for s in self._streams[head] if not s.is_held}
            if not streams:
                continue
            oldest_s = min(stream.progress_at_s for stream in streams)
            # Progress from before all current streams does not count against them.
            progress_at_s = max(self._progress_at_s.get(head, oldest_s), oldest_s)
            has_received_event = any(stream.has_received_event for stream in streams)
            stall_s = (
                self._streaming_stall_s(head)
                if has_received_event
                else _FIRST_EVENT_STALL_S
            )
            if now_s - progress_at_s > stall_s:
                self._on_stall(head)
                for stream in list(streams):
                    stream.progress_at_s = now_s
                    if stream.move is not None:
                        stream.move()
                self._progress_at_s.pop(head, None)

    def _streaming_stall_s(self, head: VmId) -> float:
        pause_s = _STALL_INTERVALS * self._largest_pause_s.get(head, 0.0)
        return min(max(_STREAMING_STALL_S, pause_s), _MAX_STREAMING_STALL_S)

    def _reset_timers(self, now_s: float) -> None:
        for head, streams in self._streams.items():
            self._progress_at_s[head] = now_s
            for stream in streams:
                stream.progress_at_s = now_s
