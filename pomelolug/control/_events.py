"""Log of recent events of a control process, shown to operators."""

import collections
import datetime

from pomelolug.clock import Clock

__all__ = ["EventLog"]

_MAX_EVENTS = 500


class EventLog:
    """Bounded list of the newest events with serial numbers.

    Parameters
    ----------
    clock : Clock
        Source of the timestamps.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._events: collections.deque[dict[str, str | int]] = collections.deque(
            maxlen=_MAX_EVENTS
        )
        self._serial = 0

    def add(self, event: str, **fields: str | int) -> None:
        """Add an event with the current time and the next serial number."""
        self._serial += 1
        timestamp = self._clock.now().astimezone(datetime.UTC).isoformat()
        self._events.append(
            {"serial": self._serial, "at": timestamp, "event": event, **fields}
        )

    def since(self, serial: int) -> list[dict[str, str | int]]:
        """Return the stored events with a serial number above `serial`."""
        return [event for event in self._events if int(event["serial"]) > serial]
