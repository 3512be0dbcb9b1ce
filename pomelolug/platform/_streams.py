"""Events of a ``text/event-stream`` body."""

import dataclasses

__all__ = ["EventSplitter", "StreamEvent"]

_MOST_EVENT_BYTES = 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEvent:
    """One whole event; `number` is its id, None if it has none."""

    data: bytes
    number: int | None


class EventSplitter:
    r"""Cuts a body into whole events.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> [event.number for event in splitter.feed(b"id: 4\ndata: x\n\nid: 5")]
    [4]
    >>> splitter.rest
    5
    """

    def __init__(self) -> None:
        self._rest = b""

    @property
    def rest(self) -> int:
        """Bytes of an event that is not whole yet."""
        return len(self._rest)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that `data` completes.

        Raises
        ------
        ValueError
            If an event exceeds 1 MiB.
        """
        rest = self._rest + data
        events: list[StreamEvent] = []
        while (end := _end_of_event(rest)) > 0:
            events.append(StreamEvent(rest[:end], _number(rest[:end])))
            rest = rest[end:]
        if len(rest) > _MOST_EVENT_BYTES:
            raise ValueError("event exceeds 1 MiB")
        self._rest = rest
        return events


def _end_of_event(data: bytes) -> int:
    ends = []
    for mark in (b"\n\n", b"\r\n\r\n"):
        at = data.find(mark)
        if at >= 0:
            ends.append(at + len(mark))
    return min(ends, default=0)


def _number(event: bytes) -> int | None:
    for line in event.splitlines():
        if line.startswith(b"id:"):
            try:
                return int(line[3:])
            except ValueError:
                return None
    return None
