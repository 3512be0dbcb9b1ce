"""Bounded, non-blocking log output."""

import collections
import os

__all__ = ["NonBlockingWriter"]

_MAX_BUFFERED_BYTES = 256 * 1024
"""Output kept while the reader of the descriptor is slow."""


class NonBlockingWriter:
    """Text output that drops whole lines instead of waiting for its reader.

    Parameters
    ----------
    descriptor : int
        File descriptor; it is set to non-blocking mode.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)
        self._pending: collections.deque[bytes] = collections.deque()
        self._pending_bytes = 0
        self._dropped_count = 0

    @property
    def dropped_count(self) -> int:
        """Lines dropped since the start."""
        return self._dropped_count

    def write(self, text: str) -> int:
        """Queue text; drop it if too much is queued."""
        data = text.encode("utf-8", "replace")
        if self._pending_bytes + len(data) > _MAX_BUFFERED_BYTES:
            self._dropped_count += 1
        else:
            self._pending.append(data)
            self._pending_bytes += len(data)
        return len(text)

    def flush(self) -> None:
        """Do nothing; `write_pending` writes what is queued."""

    def write_pending(self) -> None:
        """Write what the descriptor takes now."""
        if not self._pending:
            return
        data = b"".join(self._pending)
        self._pending.clear()
        self._pending_bytes = 0
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader is gone, and with it the only place to report this.
            return
        if written < len(data):
            self._pending.append(data[written:])
            self._pending_bytes = len(data) - written
