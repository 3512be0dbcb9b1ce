"""HTTP requests and responses of callers."""

import asyncio
import dataclasses
import datetime
import re
from collections.abc import Sequence

from pomelolug.testing._sample_deployment import HOST
from pomelolug.transport import (
    ClientConnection,
    HttpConnectionError,
    encode_request,
    open_connection,
)

__all__ = ["CallerResponse", "encode_caller_request", "is_ready", "read_response"]

_MAX_BODY_BYTES = 1 << 20
_READY_TIMEOUT = datetime.timedelta(milliseconds=300)
_EVENT = re.compile(rb"id: (\d+)\ndata: ([^\n]*)\n\n")


@dataclasses.dataclass(kw_only=True)
class CallerResponse:
    """Response as far as a caller has received it, complete or not.

    `events` holds the complete events, `trailing_bytes` the rest of the body.
    """

    status: int = 0
    request_id: str = ""
    has_seal: bool = False
    retry_after_s: float | None = None
    body: bytes = b""
    is_complete: bool = False

    @property
    def events(self) -> list[tuple[int, str]]:
        """Number and text of each complete event."""
        return [(int(n), text.decode()) for n, text in _EVENT.findall(self.body)]

    @property
    def trailing_bytes(self) -> bytes:
        """Bytes of the body that belong to no complete event."""
        return _EVENT.sub(b"", self.body)


def encode_caller_request(
    path: str,
    *,
    request_id: str,
    key: str,
    deadline_ms: int,
    model: str = "",
    prompt_parts: Sequence[str] = (),
    body: bytes = b"",
) -> bytes:
    """Encode a caller's request."""
    fields = [
        (b"Host", HOST.encode()),
        (b"Request-Id", request_id.encode()),
        (b"Deadline-Ms", b"%d" % deadline_ms),
        (b"Authorization", b"Bearer " + key.encode()),
    ]
    if model:
        fields += [(b"Model", model.encode()), (b"Token-Count", b"100,20")]
    if prompt_parts:
        prefix = ",".join(f"{part}:40" for part in prompt_parts)
        fields.append((b"Prompt-Prefix", prefix.encode()))
    method = b"POST" if body or model else b"GET"
    return encode_request(method, path.encode(), fields, body)


async def read_response(connection: ClientConnection, response: CallerResponse) -> None:
    """Read one response into `response`, which keeps the data before an error."""
    head = await connection.read_head()
    response.status = head.status
    response.request_id = (head.get(b"Request-Id") or b"").decode()
    response.has_seal = head.get(b"Response-Seal") is not None
    retry_after = head.get(b"Retry-After")
    if retry_after is not None:
        response.retry_after_s = float(retry_after)
    while (part := await connection.read_chunk()) is not None:
        response.body += part
        if len(response.body) > _MAX_BODY_BYTES:
            raise ValueError(f"response body exceeds {_MAX_BODY_BYTES} bytes")
    response.is_complete = True


async def is_ready(address: str) -> bool:
    """Return whether an entry VM reports that it accepts new connections."""
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
