"""Command-line helpers that run a stand-in until SIGTERM or SIGINT."""

import asyncio
import signal
from collections.abc import Awaitable, Callable

import uvloop

__all__ = ["parse_names", "run_until_stopped"]


def parse_names(value: object) -> tuple[str, ...]:
    """Return the names in a command-line value.

    The value is a list, a tuple or a comma-separated string.

    Examples
    --------
    >>> parse_names("a,b")
    ('a', 'b')
    """
    if isinstance(value, list | tuple):
        return tuple(str(part) for part in value)
    return tuple(part.strip() for part in str(value).split(",") if part.strip())


def run_until_stopped(
    start: Callable[[], Awaitable[Callable[[], Awaitable[None]]]],
) -> None:
    """Run `start`, wait for SIGTERM or SIGINT, then run the returned stop function."""

    async def serve() -> None:
        stopped = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stopped.set)
        stop = await start()
        await stopped.wait()
        await stop()

    uvloop.run(serve())
