"""A large declaration that a node without store and relay fetches at a peer."""

import asyncio
import contextlib
import datetime
import zlib
from collections.abc import AsyncIterator

import pytest

from pomelolug.entry._topic_consumers import DeclarationCache
from pomelolug.entry.peers import (
    COMPRESSED_FIELD,
    accepts_compressed,
    fetch_declaration,
)
from pomelolug.entry.tests.harness import Harness, declaration, route
from pomelolug.errors import PeerError
from pomelolug.feeds import MAX_VALUE_BYTES, decompress
from pomelolug.transport import HttpConnectionError, encode_request

SECOND = datetime.timedelta(seconds=1)
PEER_PORT = 8003
"""Port of the address at which peers read from a node of the harness."""
ROUTES = 2000


@contextlib.asynccontextmanager
async def start_peer(*fields: bytes, body: bytes) -> AsyncIterator[str]:
    """Start a peer that answers one request with a body and these header fields."""
    writers: list[asyncio.StreamWriter] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writers.append(writer)
        await reader.readuntil(b"\r\n\r\n")
        lines = [b"HTTP/1.1 200 OK", b"Content-Length: %d" % len(body), *fields]
        writer.write(b"\r\n".join(lines) + b"\r\n\r\n" + body)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield f"{host}:{port}"
    finally:
        server.close()
        for writer in writers:
            writer.close()
        await asyncio.sleep(0.01)


async def test_large_declaration_is_fetched_compressed():
    # Guards against nodes without store and relay that all fetch hundreds of KB from
    # one peer in the second that a fetch may take.
    async with Harness() as h:
        routes = [route(f"r{n}", f"/p{n}/", "safe", "plain") for n in range(ROUTES)]
        h.publish_declaration(declaration(7, routes=routes))
        await h.start()
        assert h.entry is not None
        encoded = h.entry._declarations.encoded
        assert await fetch_declaration(
            f"{h.ip}:{PEER_PORT}", connect_timeout=SECOND
        ) == (encoded)
        connection = await h.connect(PEER_PORT)
        fields = [(b"Host", b"h"), (b"accept-encoding", b"deflate")]
        connection.send(encode_request(b"GET", b"/declaration", fields))
        head = await connection.read_head()
        data = await connection.read_body(MAX_VALUE_BYTES)
        assert head.get(b"Content-Encoding") == b"deflate"
        assert len(data) < len(encoded) / 5
        assert decompress(data, limit=MAX_VALUE_BYTES) == encoded


async def test_reader_of_an_earlier_version_gets_the_declaration_as_it_is():
    # Guards against a rolling restart in which earlier nodes cannot read it.
    async with Harness() as h:
        await h.start()
        assert h.entry is not None
        connection = await h.connect(PEER_PORT)
        connection.send(encode_request(b"GET", b"/declaration", [(b"Host", b"h")]))
        head = await connection.read_head()
        assert head.get(b"Content-Encoding") is None
        assert await connection.read_body(1 << 20) == h.entry._declarations.encoded


async def test_peer_of_an_earlier_version_is_understood():
    # Guards against a rolling restart in which earlier peers send it as it is.
    async with start_peer(body=b'{"version": 3}') as address:
        data = await fetch_declaration(address, connect_timeout=SECOND)
    assert data == b'{"version": 3}'


@pytest.mark.parametrize(
    "body",
    [b"", b"corrupt", zlib.compress(b"{}")[:-1], zlib.compress(bytes(20_000_000))],
    ids=["empty", "corrupt", "cut", "large"],
)
async def test_unusable_compressed_declaration_is_refused(body):
    # Guards against a small response that takes the memory of the node, and against an
    # error that ends the fetching.
    field = b"%b: %b" % COMPRESSED_FIELD
    async with start_peer(field, body=body) as address:
        with pytest.raises((PeerError, HttpConnectionError)):
            await fetch_declaration(address, connect_timeout=SECOND)


def test_only_readers_that_ask_get_it_compressed():
    # Guards against a compressed declaration for a reader that does not expect it.
    assert accepts_compressed([(b"accept-encoding", b"deflate")])
    assert not accepts_compressed([(b"Accept-Encoding", b"identity")])
    assert not accepts_compressed([(b"Accept", b"deflate")])


def test_compressed_declaration_follows_the_one_in_force():
    # Guards against a peer that fetches an earlier version again and again.
    cache = DeclarationCache(on_change=lambda declaration: None)
    for version in (1, 2):
        data = b'{"version": %d}' % version
        cache.apply_if_newer(data, source="store")
        assert decompress(cache.compressed, limit=1000) == data
