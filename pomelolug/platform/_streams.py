"""Splitting of a ``text/event-stream`` body into events."""

import dataclasses

__all__ = ["EventSplitter", "ServerSentEvent"]

_MAX_EVENT_BYTES = 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class ServerSentEvent:
    """One complete event; `event_id` is its numeric id, or None if it has none."""

    data: bytes
    event_id: int | None


class EventSplitter:
    r"""Splits a body that arrives in chunks into complete events.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> [event.event_id for event in splitter.feed(b"id: 4\ndata: x\n\nid: 5")]
    [4]
    >>> splitter.pending_bytes
    5
    """

    def __init__(self) -> None:
        self._pending = b""

    @property
    def pending_bytes(self) -> int:
        """Number of bytes of the incomplete event at the end."""
        return len(self._pending)

    def feed(self, data: bytes) -> list[ServerSentEvent]:
        """Add a chunk of the body and return the events that it completes.

        Raises
        ------
        ValueError
            If an incomplete event exceeds 1 MiB.
        """
        pending = self._pending + data
        events: list[ServerSentEvent] = []
        while (end := _find_event_end(pending)) > 0:
            events.append(
                ServerSentEvent(pending[:end], _parse_event_id(pending[:end]))
            )
            pending = pending[end:]
        if len(pending) > _MAX_EVENT_BYTES:
            raise ValueError("event exceeds 1 MiB")
        self._pending = pending
        return events


def _find_event_end(data: bytes) -> int:
    ends = []
    for separator in (b"\n\n", b"\r\n\r\n"):
        position = data.find(separator)
        if position >= 0:
            ends.append(position + len(separator))
    return min(ends, default=0)


def _parse_event_id(event: bytes) -> int | None:
    for line in event.splitlines():
        if line.startswith(b"id:"):
            try:
                return int(line[3:])
            except ValueError:
                return None
    return None
