"""Messages that relay signed records between peers without the log."""

import hashlib
from collections.abc import Sequence

from pomelolug.ids import Offset
from pomelolug.infrastructure import LogRecord
from pomelolug.messages import Checkpoint, StreamRecords
from pomelolug.state._checkpoint import decode_checkpoint
from pomelolug.state._envelope import NONCE_BYTES, decode_record, encode_record
from pomelolug.state._fold import RecordKind
from pomelolug.state._keys import KeyRing
from pomelolug.state._prefix import timestamp_from_ms, timestamp_to_ms
from pomelolug.state._refusal import RecordRefusedError, RefusalReason

__all__ = [
    "MAX_RELAY_BYTES",
    "decode_relayed_checkpoint",
    "pack_records",
    "sign_checkpoint",
    "unpack_records",
]

MAX_RELAY_BYTES = 200 * 1024
"""Bound on the records, leaving room for timestamps and CBOR framing."""


def sign_checkpoint(checkpoint: Checkpoint, *, author: str, keyring: KeyRing) -> bytes:
    """Return a signed checkpoint for a peer, which is not on the log."""
    seed = f"{author}|{checkpoint.covered}|".encode() + checkpoint.digest
    return encode_record(
        stream=checkpoint.stream,
        kind=RecordKind.CHECKPOINT,
        author=author,
        nonce=hashlib.sha256(seed).digest()[:NONCE_BYTES],
        message=checkpoint,
        keyring=keyring,
    )


def decode_relayed_checkpoint(message: StreamRecords, keyring: KeyRing) -> Checkpoint:
    """Return the checkpoint contained in `message`.

    Raises
    ------
    RecordRefusedError
        If it is not an authentic checkpoint of the stream, or does not end
        directly before the records.
    """
    record = decode_record(
        message.checkpoint,
        stream=message.stream,
        offset=Offset(message.first_offset),
        timestamp=timestamp_from_ms(0),
        keyring=keyring,
    )
    if record.kind is not RecordKind.CHECKPOINT:
        raise RecordRefusedError(RefusalReason.MALFORMED, "not a checkpoint")
    checkpoint = decode_checkpoint(record, stream=message.stream, log_id=message.log_id)
    if checkpoint.covered + 1 != message.first_offset:
        raise RecordRefusedError(
            RefusalReason.GAP,
            f"checkpoint covers {checkpoint.covered}, "
            f"records start at {message.first_offset}",
        )
    return checkpoint


def pack_records(
    records: Sequence[LogRecord],
    *,
    stream: str,
    log_id: str,
    first: Offset,
    end: Offset,
    checkpoint: bytes = b"",
) -> StreamRecords:
    """Return a message with consecutive `records`."""
    return StreamRecords(
        stream=stream,
        log_id=log_id,
        first_offset=first,
        stamps_ms=tuple(timestamp_to_ms(record.timestamp) for record in records),
        records=tuple(record.data for record in records),
        checkpoint=checkpoint,
        end=end,
    )


def unpack_records(message: StreamRecords) -> list[LogRecord]:
    """Return the records of `message`.

    Raises
    ------
    RecordRefusedError
        If the numbers of timestamps and records differ, or a timestamp is out
        of range.
    """
    if len(message.stamps_ms) != len(message.records):
        raise RecordRefusedError(
            RefusalReason.MALFORMED, "numbers of timestamps and records differ"
        )
    try:
        timestamps = [timestamp_from_ms(timestamp) for timestamp in message.stamps_ms]
    except OverflowError as error:
        raise RecordRefusedError(RefusalReason.MALFORMED, str(error)) from error
    return [
        LogRecord(
            offset=Offset(message.first_offset + index), timestamp=timestamp, data=data
        )
        for index, (timestamp, data) in enumerate(
            zip(timestamps, message.records, strict=True)
        )
    ]
