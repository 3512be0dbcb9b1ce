"""HTTP client of the model engines.

Status, orders and cache events are JSON requests to paths below ``/control``.
Generation is the OpenAI-compatible ``POST /v1/completions`` with server-sent
events. Each event has the request identifier (``id``) and the token position
(``position``). The last event has a ``finish_reason``, and its ``position`` is the
number of tokens; ``[DONE]`` follows it.
"""

import datetime
from collections.abc import AsyncGenerator, AsyncIterator
from typing import Any

import aiohttp
import msgspec

from pomelolug.engines._base import (
    AssignOrder,
    CacheEventPage,
    EngineClient,
    EngineRefusedError,
    EngineStatus,
    EngineUnavailableError,
    GenerationRequest,
    ReleaseOrder,
    StreamEnd,
    TokenEvent,
)

__all__ = ["HttpEngineClient"]

_CONNECT_TIMEOUT_S = 1.0
_MAX_RESPONSE_BYTES = 64 * 1024
_MAX_LINE_BYTES = 64 * 1024


class _Choice(msgspec.Struct):
    text: str = ""
    finish_reason: str | None = None


class _Chunk(msgspec.Struct):
    id: str
    position: int
    choices: tuple[_Choice, ...] = ()


class _Refusal(msgspec.Struct):
    code: str = "unspecified"


_decode_chunk = msgspec.json.Decoder(_Chunk).decode
_decode_refusal = msgspec.json.Decoder(_Refusal).decode


class HttpEngineClient(EngineClient):
    """Client that reaches engines over HTTP.

    Parameters
    ----------
    session : aiohttp.ClientSession
        HTTP client session of the process.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def fetch_status(
        self, address: str, *, timeout: datetime.timedelta
    ) -> EngineStatus:
        """Return the status that the backend server at `address` reports."""
        return await self._send_control_request(
            "GET", address, "/control/status", EngineStatus, timeout=timeout
        )

    async def assign(
        self, address: str, order: AssignOrder, *, timeout: datetime.timedelta
    ) -> None:
        """Order a member to join a group and load its model."""
        await self._send_control_request(
            "POST", address, "/control/assign", dict, timeout=timeout, order=order
        )

    async def release(
        self, address: str, order: ReleaseOrder, *, timeout: datetime.timedelta
    ) -> None:
        """Order a member to leave a group."""
        await self._send_control_request(
            "POST", address, "/control/release", dict, timeout=timeout, order=order
        )

    async def fetch_cache_events(
        self, address: str, after: int, *, timeout: datetime.timedelta
    ) -> CacheEventPage:
        """Return the prefix-cache events with a sequence number above `after`."""
        path = f"/control/cache-events?after={after}"
        return await self._send_control_request(
            "GET", address, path, CacheEventPage, timeout=timeout
        )

    async def _send_control_request(
        self,
        method: str,
        address: str,
        path: str,
        response_type: Any,
        *,
        timeout: datetime.timedelta,
        order: msgspec.Struct | None = None,
    ) -> Any:
        body = msgspec.json.encode(order) if order is not None else None
        client_timeout = aiohttp.ClientTimeout(total=timeout.total_seconds())
        try:
            async with self._session.request(
                method, f"http://{address}{path}", data=body, timeout=client_timeout
            ) as response:
                content = await response.content.read(_MAX_RESPONSE_BYTES)
                if response.status != 200:
                    raise EngineRefusedError(_parse_refusal_code(content))
                return msgspec.json.decode(content, type=response_type)
        except (TimeoutError, aiohttp.ClientError, msgspec.DecodeError) as error:
            raise EngineUnavailableError(
                f"{address}: {type(error).__name__}", maybe_ran=True
            ) from error

    async def generate(
        self, address: str, request: GenerationRequest
    ) -> AsyncGenerator[TokenEvent | StreamEnd, None]:
        """Yield the tokens and, if the response is complete, the end marker."""
        headers = {
            "X-Request-Id": request.request_id,
            "X-Group": request.group,
            "X-Fencing-Token": str(request.token),
            "X-Priority": str(request.priority),
            "X-Resume-From": str(request.resume_from),
            "X-Deadline-Ms": str(round(request.deadline_s * 1000)),
        }
        client_timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=_CONNECT_TIMEOUT_S
        )
        body = msgspec.json.encode({**request.body, "stream": True})
        try:
            async with self._session.post(
                f"http://{address}/v1/completions",
                data=body,
                headers=headers,
                timeout=client_timeout,
            ) as response:
                try:
                    if response.status != 200:
                        content = await response.content.read(_MAX_RESPONSE_BYTES)
                        raise EngineRefusedError(_parse_refusal_code(content))
                    async for event in _parse_events(response.content, address):
                        yield event
                        if isinstance(event, StreamEnd):
                            return
                finally:
                    # Do not reuse a connection whose response was not read to its
                    # end: the next request would receive the remaining bytes.
                    response.close()
        except aiohttp.ClientConnectorError as error:
            raise EngineUnavailableError(str(error), maybe_ran=False) from error
        except (TimeoutError, aiohttp.ClientError, ConnectionError) as error:
            raise EngineUnavailableError(
                f"{address}: {type(error).__name__}", maybe_ran=True
            ) from error


def _parse_refusal_code(content: bytes) -> str:
    try:
        return _decode_refusal(content).code
    except msgspec.DecodeError:
        return "unspecified"


async def _parse_events(
    content: aiohttp.StreamReader, address: str
) -> AsyncIterator[TokenEvent | StreamEnd]:
    partial_line = b""
    while True:
        data = await content.readany()
        if not data:
            raise EngineUnavailableError(
                f"{address}: the stream ended without an end marker", maybe_ran=True
            )
        *lines, partial_line = (partial_line + data).split(b"\n")
        if len(partial_line) > _MAX_LINE_BYTES:
            raise EngineUnavailableError(
                f"{address}: event line is too long", maybe_ran=True
            )
        for line in lines:
            if not line.startswith(b"data: ") or line.startswith(b"data: [DONE]"):
                continue
            try:
                chunk = _decode_chunk(line[6:])
            except msgspec.DecodeError as error:
                raise EngineUnavailableError(
                    f"{address}: malformed server-sent event", maybe_ran=True
                ) from error
            choice = chunk.choices[0] if chunk.choices else _Choice()
            if choice.finish_reason:
                yield StreamEnd(chunk.id, chunk.position, choice.finish_reason)
            else:
                yield TokenEvent(chunk.id, chunk.position, choice.text)
