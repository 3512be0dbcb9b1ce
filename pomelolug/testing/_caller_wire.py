"""Callers' requests and answers as they stand on the wire."""

import asyncio
import dataclasses
import datetime
import re

from pomelolug.testing._sample_deployment import HOST
from pomelolug.transport import (
    ClientConnection,
    HttpConnectionError,
    encode_request,
    open_connection,
)

__all__ = ["CallerAnswer", "caller_request", "is_ready", "read_answer"]

_MOST_BYTES = 1 << 20
_READY_TIMEOUT = datetime.timedelta(milliseconds=300)
_EVENT = re.compile(rb"id: (\d+)\ndata: ([^\n]*)\n\n")


@dataclasses.dataclass(kw_only=True)
class CallerAnswer:
    """What a caller has received, also of an answer that is not complete.

    `events` holds number and text of each whole event; `rest` what followed.
    """

    status: int = 0
    request: str = ""
    sealed: bool = False
    retry_after_s: float | None = None
    body: bytes = b""
    complete: bool = False

    @property
    def events(self) -> list[tuple[int, str]]:
        """Number and text of each whole event."""
        return [(int(n), text.decode()) for n, text in _EVENT.findall(self.body)]

    @property
    def rest(self) -> bytes:
        """Bytes that belong to no whole event."""
        return _EVENT.sub(b"", self.body)


def caller_request(
    path: str,
    *,
    request: str,
    key: str,
    deadline_ms: int,
    model: str = "",
    body: bytes = b"",
) -> bytes:
    """Return the bytes of a caller's request."""
    fields = [
        (b"Host", HOST.encode()),
        (b"Request-Id", request.encode()),
        (b"Deadline-Ms", b"%d" % deadline_ms),
        (b"Authorization", b"Bearer " + key.encode()),
    ]
    if model:
        fields += [(b"Model", model.encode()), (b"Token-Count", b"100,20")]
    method = b"POST" if body or model else b"GET"
    return encode_request(method, path.encode(), fields, body)


async def read_answer(connection: ClientConnection, answer: CallerAnswer) -> None:
    """Read one answer into `answer`, which keeps what came before an error."""
    head = await connection.read_head()
    answer.status = head.status
    answer.request = (head.get(b"Request-Id") or b"").decode()
    answer.sealed = head.get(b"Response-Seal") is not None
    retry_after = head.get(b"Retry-After")
    if retry_after is not None:
        answer.retry_after_s = float(retry_after)
    while (part := await connection.read_chunk()) is not None:
        answer.body += part
        if len(answer.body) > _MOST_BYTES:
            raise ValueError("an answer has more bytes than any server sent")
    answer.complete = True


async def is_ready(address: str) -> bool:
    """Return whether an entry VM says that it takes new connections."""
    host, _, port = address.rpartition(":")
    request = encode_request(b"GET", b"/-/ready", [(b"Host", address.encode())])
    try:
        async with asyncio.timeout(_READY_TIMEOUT.total_seconds()):
            connection = await open_connection(host, int(port), timeout=_READY_TIMEOUT)
            try:
                connection.send(request)
                return (await connection.read_head()).status == 200
            finally:
                connection.abort()
    except (HttpConnectionError, TimeoutError):
        return False
