"""Records and checkpoints for peers that cannot reach the log."""

from collections.abc import Callable

import structlog

from pomelolug.errors import PeerError
from pomelolug.ids import Offset
from pomelolug.infrastructure import LogRecord
from pomelolug.messages import Checkpoint, StreamRecords
from pomelolug.state._buffer import RecordBuffer
from pomelolug.state._keys import KeyRing
from pomelolug.state._relay import MAX_RELAY_BYTES, pack_records, sign_checkpoint

__all__ = ["RelayCache"]

_logger = structlog.get_logger(__name__)


class RelayCache:
    """Keeps the latest raw records of a stream and signs checkpoints on demand.

    Parameters
    ----------
    stream : str
        Name of the stream.
    author : str
        Author of the checkpoints; if empty, none are created.
    keyring : KeyRing
        Holds the author's key.
    limit_bytes : int
        Upper bound on the total size of raw records.
    """

    def __init__(
        self, *, stream: str, author: str, keyring: KeyRing, limit_bytes: int
    ) -> None:
        self._stream = stream
        self._author = author
        self._keyring = keyring
        self._buffer = RecordBuffer(limit_bytes)
        self._signed: tuple[Offset, bytes] | None = None

    def add(self, record: LogRecord) -> None:
        """Add an applied record."""
        self._buffer.add(record)

    def records(self, first: Offset, end: Offset, log_id: str) -> StreamRecords | None:
        """Return records from `first` on, None if they are no longer held."""
        oldest = self._buffer.oldest_offset
        if oldest is None or oldest > first:
            return None
        return self._pack_cached(first, end, log_id, b"")

    def checkpoint(
        self, end: Offset, log_id: str, make_checkpoint: Callable[[], Checkpoint]
    ) -> StreamRecords | None:
        """Return a checkpoint that covers all records before `end`."""
        if not self._author:
            return None
        if self._signed is None or self._signed[0] != end:
            try:
                signed = sign_checkpoint(
                    make_checkpoint(), author=self._author, keyring=self._keyring
                )
            except PeerError as error:
                _logger.warning(
                    "checkpoint_too_large", stream=self._stream, detail=str(error)
                )
                return None
            self._signed = end, signed
        return self._pack_cached(end, end, log_id, self._signed[1])

    def _pack_cached(
        self, first: Offset, end: Offset, log_id: str, checkpoint: bytes
    ) -> StreamRecords:
        return pack_records(
            self._buffer.page(first, MAX_RELAY_BYTES),
            stream=self._stream,
            log_id=log_id,
            first=first,
            end=end,
            checkpoint=checkpoint,
        )
