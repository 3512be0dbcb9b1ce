"""Log output with a bounded buffer that never blocks the process."""

import collections
import os

__all__ = ["NonBlockingWriter"]

_MAX_BUFFERED_BYTES = 256 * 1024
"""Maximum output buffered while the reader of the descriptor is slow."""


class NonBlockingWriter:
    """Text stream that drops a write instead of blocking when its buffer is full.

    Parameters
    ----------
    descriptor : int
        File descriptor of the output; it is switched to non-blocking mode.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)
        self._pending: collections.deque[bytes] = collections.deque()
        self._pending_bytes = 0
        self._dropped_count = 0

    @property
    def dropped_count(self) -> int:
        """Number of dropped calls of `write` since the start."""
        return self._dropped_count

    def write(self, text: str) -> int:
        """Append `text` to the buffer, or drop it if it does not fit."""
        data = text.encode("utf-8", "replace")
        if self._pending_bytes + len(data) > _MAX_BUFFERED_BYTES:
            self._dropped_count += 1
        else:
            self._pending.append(data)
            self._pending_bytes += len(data)
        return len(text)

    def flush(self) -> None:
        """Do nothing; `write_pending` writes the buffered output."""

    def write_pending(self) -> None:
        """Write as much buffered output as the descriptor accepts without blocking."""
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
            # The reader is gone, and log output was the only way to report it.
            return
        if written < len(data):
            self._pending.append(data[written:])
            self._pending_bytes = len(data) - written
