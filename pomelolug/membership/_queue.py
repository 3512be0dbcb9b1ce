"""Bounded send queue of one connection."""

import collections
import enum

from pomelolug.membership._metrics import DROPPED
from pomelolug.messages import DemandReport, GroupStatus, Message

__all__ = ["PutResult", "SendQueue", "status_key"]


class PutResult(enum.Enum):
    """What became of a message that was given to the queue."""

    ADDED = "added"
    REPLACED = "replaced"
    REFUSED = "refused"


def status_key(message: Message) -> str | None:
    """Return what a status message is about; None if it is not a status.

    A waiting status is worthless once a newer one about the same thing exists.

    Examples
    --------
    >>> from pomelolug.messages import DemandReport
    >>> status_key(DemandReport(gateway="g", admitted=1, queued=0, in_flight=0))
    'demand g'
    """
    if isinstance(message, GroupStatus):
        return f"group {message.group} {message.watcher}"
    if isinstance(message, DemandReport):
        return f"demand {message.gateway}"
    return None


class SendQueue:
    """Encoded messages that wait for the connection.

    When the queue is full, the oldest status makes room; if there is none, the
    new message is refused, so that the sender learns of it.

    Parameters
    ----------
    size : int
        Most messages that wait.
    """

    def __init__(self, size: int) -> None:
        self._size = size
        self._unkeyed_count = 0
        self._frames: collections.OrderedDict[str, bytes] = collections.OrderedDict()
        self._statuses: collections.OrderedDict[str, None] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._frames)

    def put(self, frame: bytes, *, key: str | None = None) -> PutResult:
        """Add an encoded message.

        Parameters
        ----------
        frame : bytes
            The encoded message.
        key : str, optional
            What it is a status about; None if it is no status.
        """
        if key is not None and key in self._frames:
            # The place in the queue is kept, so that frequent updates do not
            # push a status back forever.
            self._frames[key] = frame
            DROPPED.labels(reason="replaced").inc()
            return PutResult.REPLACED
        if len(self._frames) >= self._size and not self._drop_oldest_status():
            DROPPED.labels(reason="overflow").inc()
            return PutResult.REFUSED
        if key is not None:
            self._statuses[key] = None
        else:
            self._unkeyed_count += 1
            key = f"\0{self._unkeyed_count}"
        self._frames[key] = frame
        return PutResult.ADDED

    def _drop_oldest_status(self) -> bool:
        if not self._statuses:
            return False
        key, _ = self._statuses.popitem(last=False)
        del self._frames[key]
        DROPPED.labels(reason="stale_status").inc()
        return True

    def pop(self) -> bytes:
        """Remove and return the oldest frame.

        Raises
        ------
        KeyError
            If the queue is empty.
        """
        key, frame = self._frames.popitem(last=False)
        self._statuses.pop(key, None)
        return frame
