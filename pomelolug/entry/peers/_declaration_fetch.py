"""Fetching of the declaration in force at a peer."""

import datetime
from collections.abc import Iterable

from pomelolug.feeds import MAX_VALUE_BYTES, decompress
from pomelolug.transport import (
    HttpConnectionError,
    connect,
    encode_request,
)

__all__ = [
    "COMPRESSED_FIELD",
    "DECLARATION_PATH",
    "accepts_compressed",
    "fetch_declaration",
]

DECLARATION_PATH = b"/declaration"

COMPRESSED_FIELD = (b"Content-Encoding", b"deflate")
_ACCEPTED_FIELD = (b"Accept-Encoding", b"deflate")
"""Peers of earlier versions ignore it and send the declaration as it is."""


def accepts_compressed(headers: Iterable[tuple[bytes, bytes]]) -> bool:
    """Return whether a peer with these header fields reads compressed responses."""
    name, value = _ACCEPTED_FIELD
    return any(k.lower() == name.lower() and v == value for k, v in headers)


async def fetch_declaration(
    address: str, *, connect_timeout: datetime.timedelta
) -> bytes:
    """Return the encoded declaration that is in force at a peer.

    Raises
    ------
    HttpConnectionError
        If the response is incomplete, too large or not a declaration.
    PeerError
        If the response cannot be decompressed.
    """
    connection = await connect(address, timeout=connect_timeout)
    try:
        fields = [(b"Host", address.encode()), _ACCEPTED_FIELD]
        connection.send(encode_request(b"GET", DECLARATION_PATH, fields))
        head = await connection.read_head()
        if head.status != 200:
            raise HttpConnectionError(f"status_{head.status}")
        data = await connection.read_body(MAX_VALUE_BYTES)
    finally:
        connection.close()
    name, value = COMPRESSED_FIELD
    if head.get(name) == value:
        return decompress(data, limit=MAX_VALUE_BYTES)
    return data
