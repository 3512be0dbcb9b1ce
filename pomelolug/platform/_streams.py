"""Streams of events: responses that go on with one, and their events."""

import dataclasses

from pomelolug.transport import ResponseHead

__all__ = ["EventSplitter", "ServerSentEvent", "continues_stream"]

_MAX_EVENT_BYTES = 256 * 1024
_SEPARATORS = (b"\n\n", b"\r\n\r\n")
_MAX_SEPARATOR_BYTES = 4


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
        self._pending = bytearray()

    @property
    def pending_bytes(self) -> int:
        """Number of bytes of the incomplete event at the end."""
        return len(self._pending)

    def feed(self, data: bytes) -> list[ServerSentEvent]:
        """Add a chunk of the body and return the events that it completes.

        Raises
        ------
        ValueError
            If an incomplete event exceeds 256 KiB.
        """
        pending = self._pending
        # A separator may have begun at the end of the previous data.
        searched = max(len(pending) - _MAX_SEPARATOR_BYTES + 1, 0)
        pending += data
        events: list[ServerSentEvent] = []
        start = 0
        while (end := _find_event_end(pending, max(searched, start))) > 0:
            event = bytes(pending[start:end])
            events.append(ServerSentEvent(event, _parse_event_id(event)))
            start = end
        del pending[:start]
        if len(pending) > _MAX_EVENT_BYTES:
            raise ValueError("event exceeds 256 KiB")
        return events


def continues_stream(head: ResponseHead, first: ResponseHead) -> bool:
    """Return whether a response can go on with the stream that another one began.

    Any other successful response may be empty, and would end the stream as if it were
    complete.

    Examples
    --------
    >>> first = ResponseHead(200, ((b"Content-Type", b"text/event-stream"),))
    >>> continues_stream(ResponseHead(204, ()), first)
    False
    """
    return head.status == first.status and _media_type(head) == _media_type(first)


def _media_type(head: ResponseHead) -> bytes:
    value = head.get(b"Content-Type") or b""
    return value.partition(b";")[0].strip().lower()


def _find_event_end(data: bytearray, start: int) -> int:
    """Return the end of the first event that ends after `start`, 0 if none does."""
    ends = []
    for separator in _SEPARATORS:
        position = data.find(separator, start)
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
