"""Progress of a client that reads a response."""

__all__ = ["UnreadBytes"]


class UnreadBytes:
    """Bytes written to a client, and how many of them have gone out.

    `written` counts all bytes, and `charged` those that are counted as held.
    """

    __slots__ = ("_progressed_at_s", "_sent", "charged", "written")

    def __init__(self) -> None:
        self.written = 0
        self.charged = 0
        self._sent = -1
        self._progressed_at_s = 0.0

    def start(self, buffered: int, now_s: float) -> None:
        """Begin to measure the time in which the client reads nothing."""
        self._sent = self.written - buffered
        self._progressed_at_s = now_s

    def note_progress(self, buffered: int, now_s: float) -> float:
        """Return the seconds since the client has last read something."""
        sent = self.written - buffered
        if sent != self._sent:
            self._sent = sent
            self._progressed_at_s = now_s
        return now_s - self._progressed_at_s
