"""Bounded send queue of a connection."""

import collections
import enum

from pomelolug.membership._metrics import DROPPED
from pomelolug.messages import DemandReport, GroupStatus, Message

__all__ = ["PutResult", "SendQueue", "status_key"]


class PutResult(enum.Enum):
    """Result of adding a message to the queue."""

    ADDED = "added"
    REPLACED = "replaced"
    REFUSED = "refused"


def status_key(message: Message) -> str | None:
    """Return the key of a status message, None for other messages.

    Messages with the same key describe the same subject, so that a newer one
    makes a queued one obsolete.

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
    """Queue of encoded messages waiting to be sent.

    When the queue is full, the oldest status message is dropped. If there is
    none, the new message is refused, which tells the sender of the overflow.

    Parameters
    ----------
    size : int
        Maximum number of queued messages.
    """

    def __init__(self, size: int) -> None:
        self._size = size
        self._unkeyed_count = 0
        self._frames: collections.OrderedDict[str, bytes] = collections.OrderedDict()
        self._statuses: collections.OrderedDict[str, None] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._frames)

    def put(self, frame: bytes, *, key: str | None = None) -> PutResult:
        """Add an encoded message or replace the one with the same key.

        Parameters
        ----------
        frame : bytes
            The encoded message.
        key : str, optional
            Key of a status message, see `status_key`.
        """
        if key is not None and key in self._frames:
            # The message keeps its position in the queue. Otherwise frequent updates
            # could delay a status indefinitely.
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
