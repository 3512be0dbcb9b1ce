"""Encoding and verification of the signed envelope of a record."""

import datetime

from pomelolug.errors import PeerError
from pomelolug.ids import Offset
from pomelolug.messages import Envelope, Message, RecordPayload, decode, encode
from pomelolug.state._fold import Record, RecordKind
from pomelolug.state._keys import KeyRing
from pomelolug.state._refusal import RecordRefusedError, RefusalReason

__all__ = ["NONCE_BYTES", "SCHEMA_VERSION", "decode_record", "encode_record"]

SCHEMA_VERSION = 1
NONCE_BYTES = 16
_OPERATOR_KINDS = frozenset({RecordKind.CONFIGURATION, RecordKind.DRAIN})
_NODE_KINDS = frozenset(RecordKind) - _OPERATOR_KINDS


def encode_record(
    *,
    stream: str,
    kind: RecordKind,
    author: str,
    nonce: bytes,
    message: Message,
    keyring: KeyRing,
    version: int = SCHEMA_VERSION,
) -> bytes:
    """Return the signed envelope of `message`.

    Raises
    ------
    KeyError
        If the key ring has no key for the author.
    PeerError
        If the record is too large.
    """
    payload = encode(
        RecordPayload(
            version=version,
            stream=stream,
            kind=kind.value,
            author=author,
            nonce=nonce,
            body=encode(message),
        )
    )
    key = keyring.signing_key(author)
    signature = keyring.sign(key, author, payload)
    return encode(Envelope(key=key, payload=payload, signature=signature))


def decode_record(
    data: bytes,
    *,
    stream: str,
    offset: Offset,
    timestamp: datetime.datetime,
    keyring: KeyRing,
) -> Record:
    """Return the authenticated record in `data`.

    Parameters
    ----------
    data : bytes
        Encoded envelope as stored on the log.
    stream : str
        Stream that `data` was read from.
    offset : Offset
        Position in the stream.
    timestamp : datetime.datetime
        Timestamp that the log assigned to the record.
    keyring : KeyRing
        Accepted keys.

    Raises
    ------
    RecordRefusedError
        If the record is malformed or not authentic. A later schema version is
        reported only after the signature has been verified.
    """
    try:
        envelope = decode(data, Envelope)
        payload = decode(envelope.payload, RecordPayload)
    except PeerError as error:
        raise RecordRefusedError(RefusalReason.MALFORMED, str(error)) from error
    _check_signature(envelope, payload, keyring)
    if payload.stream != stream:
        raise RecordRefusedError(
            RefusalReason.OTHER_STREAM, f"record was written for {payload.stream!r}"
        )
    if payload.version > SCHEMA_VERSION:
        raise RecordRefusedError(
            RefusalReason.LATER_VERSION,
            f"schema version {payload.version}, supported up to {SCHEMA_VERSION}",
        )
    kind = _check_payload(payload)
    return Record(
        offset=offset,
        timestamp=timestamp,
        kind=kind,
        author=payload.author,
        nonce=payload.nonce,
        body=payload.body,
    )


def _check_signature(
    envelope: Envelope, payload: RecordPayload, keyring: KeyRing
) -> None:
    if not keyring.may_sign(envelope.key, payload.author):
        raise RecordRefusedError(
            RefusalReason.UNAUTHORISED,
            f"key {envelope.key[:40]!r} may not sign for {payload.author[:40]!r}",
        )
    if not keyring.verify(
        envelope.key, payload.author, envelope.payload, envelope.signature
    ):
        raise RecordRefusedError(
            RefusalReason.BAD_SIGNATURE, f"bad signature by {envelope.key[:40]!r}"
        )


def _check_payload(payload: RecordPayload) -> RecordKind:
    try:
        kind = RecordKind(payload.kind)
    except ValueError as error:
        raise RecordRefusedError(RefusalReason.MALFORMED, str(error)) from error
    if len(payload.nonce) != NONCE_BYTES:
        raise RecordRefusedError(
            RefusalReason.MALFORMED, f"nonce of {len(payload.nonce)} bytes"
        )
    is_operator = payload.author.startswith("operator:")
    if kind not in (_OPERATOR_KINDS if is_operator else _NODE_KINDS):
        raise RecordRefusedError(
            RefusalReason.UNAUTHORISED, f"{payload.author} may not write {kind.value}"
        )
    return kind
