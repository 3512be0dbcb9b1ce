"""Client that times streams from a gateway or directly from a group leader."""

import asyncio
import dataclasses
from collections.abc import Mapping

import aiohttp
import msgspec

__all__ = ["StreamTarget", "StreamTimes", "read_stream"]


@dataclasses.dataclass(frozen=True, kw_only=True)
class StreamTarget:
    """Endpoint of a streaming request with its headers."""

    name: str
    url: str
    headers: Mapping[str, str]


@dataclasses.dataclass(frozen=True, kw_only=True)
class StreamTimes:
    """Number of tokens and timing of a stream.

    `first_token_s` is the time to the first token, `total_s` the time to the end
    marker.
    """

    tokens: int
    first_token_s: float
    total_s: float


async def read_stream(
    session: aiohttp.ClientSession, target: StreamTarget, *, prompt: str, tokens: int
) -> StreamTimes:
    """Request a streamed completion and read it to the end marker.

    Raises
    ------
    RuntimeError
        If the response is an error or has an unexpected number of events.
    """
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    first_token_at_s = 0.0
    count = 0
    body = {"model": "mesh", "prompt": prompt, "max_tokens": tokens, "stream": True}
    async with session.post(
        target.url, data=msgspec.json.encode(body), headers=target.headers
    ) as response:
        if response.status != 200:
            text = await response.text()
            raise RuntimeError(
                f"{target.name} responded with status {response.status}: {text}"
            )
        async for line in response.content:
            if line.startswith(b"data: [DONE]"):
                break
            if line.startswith(b"data: "):
                first_token_at_s = first_token_at_s or loop.time()
                count += 1
    # Gateway and backend end with one event that has the finish reason but no token.
    if not tokens <= count <= tokens + 1:
        raise RuntimeError(
            f"{target.name}: expected {tokens} tokens, received {count} events"
        )
    return StreamTimes(
        tokens=tokens,
        first_token_s=first_token_at_s - start_s,
        total_s=loop.time() - start_s,
    )
