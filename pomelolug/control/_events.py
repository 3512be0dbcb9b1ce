"""Recent events of a control process, for operators."""

import collections
import datetime

from pomelolug.clock import Clock

__all__ = ["EventLog"]

_MAX_EVENTS = 500


class EventLog:
    """Bounded list of events with serial numbers.

    Parameters
    ----------
    clock : Clock
        Time source of the stamps.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._events: collections.deque[dict[str, str | int]] = collections.deque(
            maxlen=_MAX_EVENTS
        )
        self._serial = 0

    def add(self, event: str, **fields: str | int) -> None:
        """Add one event."""
        self._serial += 1
        timestamp = self._clock.now().astimezone(datetime.UTC).isoformat()
        self._events.append(
            {"serial": self._serial, "at": timestamp, "event": event, **fields}
        )

    def since(self, serial: int) -> list[dict[str, str | int]]:
        """Return the kept events with a higher serial number."""
        return [event for event in self._events if int(event["serial"]) > serial]
