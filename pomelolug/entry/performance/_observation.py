"""Delays of single requests, measured where they are sent and answered."""

import enum
from collections.abc import Callable
from typing import TypeAlias

from pomelolug.clock import Clock

__all__ = ["Measure", "PlainObservation", "Record", "StreamObservation"]

_EVENTS_PER_INTERVAL = 12
"""Events after which their mean interval is recorded."""
_MAX_INTERVAL_AGE_S = 0.4
"""Time after which it is recorded with fewer events, so that a slowdown shows."""
_MAX_PAUSE_S = 0.5
"""Pause between two events above which it is left out, as a sound server may pause.

A second one in a row is the pace of the server and counts.
"""
_UNANSWERED_WEIGHT = 0.5
"""Weight of a request that another server has answered first."""


class Measure(enum.Enum):
    """What a delay was measured of."""

    FIRST_EVENT = "first_event"
    INTERVAL = "interval"
    ANSWER = "answer"


Record: TypeAlias = Callable[[Measure, float, float, float], None]
"""Takes the measure, the delay and the time of its begin in seconds, the weight."""


class StreamObservation:
    """Times of the events of one run of a stream.

    The first event counts once a further one or a sound end has followed, since a
    server that fails at once is not fast.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    record : callable
        Called with each delay.
    """

    __slots__ = (
        "_clock",
        "_event_count",
        "_first_event_s",
        "_interval_events",
        "_interval_s",
        "_interval_since_s",
        "_is_held",
        "_is_paused",
        "_last_event_at_s",
        "_record",
        "_sent_at_s",
    )

    def __init__(self, *, clock: Clock, record: Record) -> None:
        self._clock = clock
        self._record = record
        self._sent_at_s = clock.monotonic()
        self._last_event_at_s = self._sent_at_s
        self._first_event_s = 0.0
        self._event_count = 0
        self._interval_events = 0
        self._interval_s = 0.0
        self._interval_since_s = self._sent_at_s
        self._is_held = False
        self._is_paused = False

    def record_event(self) -> None:
        """Record that an event has arrived."""
        now_s = self._clock.monotonic()
        self._event_count += 1
        pause_s = now_s - self._last_event_at_s
        self._last_event_at_s = now_s
        if self._event_count == 1:
            self._first_event_s = pause_s
            self._interval_since_s = now_s
            return
        if self._event_count == 2:
            self._record_first_event()
        if self._is_held:
            return
        was_paused, self._is_paused = self._is_paused, pause_s > _MAX_PAUSE_S
        if self._is_paused and not was_paused:
            self._reset_interval(now_s)
            return
        self._interval_events += 1
        self._interval_s += pause_s
        if (
            self._interval_events >= _EVENTS_PER_INTERVAL
            or self._interval_s >= _MAX_INTERVAL_AGE_S
        ):
            mean_s = self._interval_s / self._interval_events
            self._record(Measure.INTERVAL, mean_s, self._interval_since_s, 1.0)
            self._reset_interval(now_s)

    def set_held(self, is_held: bool) -> None:
        """Leave the events out of account that a slow caller delays.

        What has waited in the buffers arrives at once afterwards, so the intervals of
        the rest of the stream are left out as well.
        """
        self._is_held = True

    def end(self, *, is_sound: bool) -> None:
        """Record the end of the run."""
        if is_sound and self._event_count == 1:
            self._record_first_event()

    def _record_first_event(self) -> None:
        self._record(Measure.FIRST_EVENT, self._first_event_s, self._sent_at_s, 1.0)

    def _reset_interval(self, now_s: float) -> None:
        self._interval_events = 0
        self._interval_s = 0.0
        self._interval_since_s = now_s


class PlainObservation:
    """Time of one request to a plain server.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    record : callable
        Called with the delay.
    """

    __slots__ = ("_clock", "_record", "_sent_at_s")

    def __init__(self, *, clock: Clock, record: Record) -> None:
        self._clock = clock
        self._record = record
        self._sent_at_s = clock.monotonic()

    def end(self, *, is_sound: bool) -> None:
        """Record an answer; refusals and errors tell nothing of the speed."""
        if is_sound:
            self._record_delay(1.0)

    def give_up(self) -> None:
        """Record that another server has answered before this one."""
        self._record_delay(_UNANSWERED_WEIGHT)

    def _record_delay(self, weight: float) -> None:
        elapsed_s = self._clock.monotonic() - self._sent_at_s
        self._record(Measure.ANSWER, elapsed_s, self._sent_at_s, weight)
