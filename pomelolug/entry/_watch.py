"""Detection of replica groups whose streams have stalled.

The loss of a member stops a group at once, but the head reports it only seconds
later. All streams of a group advance in the same passes of the engine, so a pause
in all of them indicates the loss.
"""

import dataclasses
import datetime
from collections.abc import Callable

from pomelolug.clock import Clock
from pomelolug.entry._attempt import Attempt
from pomelolug.ids import VmId

__all__ = ["StallDetector", "WatchedStream"]

_CHECK_INTERVAL = datetime.timedelta(milliseconds=100)
_STREAMING_STALL_S = 0.6
"""Pause in all streams of a group after which it counts as stalled.

Passes take 60 to 150 ms with full batches, and callers leave after 2 s.
"""
_FIRST_EVENT_STALL_S = 1.0
"""The same limit for a group whose requests all wait for their first event."""


@dataclasses.dataclass(slots=True, eq=False)
class WatchedStream:
    """A stream of a group; `progress_at_s` is the time of its start or last event."""

    attempt: Attempt
    progress_at_s: float
    has_received_event: bool = False


class StallDetector:
    """Aborts the attempts at groups that have stalled.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    on_stall : callable
        Called with the head of a group before its attempts are aborted.
    """

    def __init__(self, *, clock: Clock, on_stall: Callable[[VmId], None]) -> None:
        self._clock = clock
        self._on_stall = on_stall
        self._streams: dict[VmId, set[WatchedStream]] = {}
        self._progress_at_s: dict[VmId, float] = {}

    def add(self, head: VmId, attempt: Attempt) -> WatchedStream:
        """Start watching an attempt that has just been sent."""
        stream = WatchedStream(attempt, self._clock.monotonic())
        self._streams.setdefault(head, set()).add(stream)
        return stream

    def on_event(self, head: VmId, stream: WatchedStream) -> None:
        """Record that a stream has received an event."""
        stream.progress_at_s = self._progress_at_s[head] = self._clock.monotonic()
        stream.has_received_event = True

    def remove(self, head: VmId, stream: WatchedStream) -> None:
        """Stop watching an attempt."""
        streams = self._streams.get(head)
        if streams is not None:
            streams.discard(stream)
            if not streams:
                del self._streams[head]
                self._progress_at_s.pop(head, None)

    async def run(self) -> None:
        """Check for stalled groups until cancelled."""
        checked_at_s = self._clock.monotonic()
        while True:
            await self._clock.sleep(_CHECK_INTERVAL)
            now_s = self._clock.monotonic()
            # After a pause of this process, old times say nothing about the servers.
            if now_s - checked_at_s < 3 * _CHECK_INTERVAL.total_seconds():
                self.abort_stalled()
            else:
                self._reset_timers(now_s)
            checked_at_s = now_s

    def abort_stalled(self) -> None:
        """Abort the attempts at groups that have stalled."""
        now_s = self._clock.monotonic()
        for head in list(self._streams):
            streams = self._streams[head]
            oldest_s = min(stream.progress_at_s for stream in streams)
            # Progress from before all current streams does not count against them.
            progress_at_s = max(self._progress_at_s.get(head, oldest_s), oldest_s)
            has_received_event = any(stream.has_received_event for stream in streams)
            if now_s - progress_at_s > (
                _STREAMING_STALL_S if has_received_event else _FIRST_EVENT_STALL_S
            ):
                self._on_stall(head)
                for stream in list(streams):
                    stream.attempt.abort("stalled")

    def _reset_timers(self, now_s: float) -> None:
        for head, streams in self._streams.items():
            self._progress_at_s[head] = now_s
            for stream in streams:
                stream.progress_at_s = now_s
