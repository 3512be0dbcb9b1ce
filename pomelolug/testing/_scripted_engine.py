"""Engine client with scripted streams, for tests of the gateway."""

import asyncio
import dataclasses
import datetime
from collections.abc import AsyncGenerator, Callable, Iterable

from pomelolug.engines import (
    AssignOrder,
    CacheEventPage,
    EngineClient,
    EngineStatus,
    GenerationRequest,
    ReleaseOrder,
    StreamEnd,
    TokenEvent,
)

__all__ = ["Delay", "ScriptedEngine", "token_events"]

Step = TokenEvent | StreamEnd | Exception


@dataclasses.dataclass(frozen=True)
class Delay:
    """Script step that sends nothing for `seconds`."""

    seconds: float


def token_events(request_id: str, first: int, last: int) -> list[TokenEvent]:
    """Return the token events at positions `first` to `last` - 1."""
    return [
        TokenEvent(request_id, position, f"t{position} ")
        for position in range(first, last)
    ]


class ScriptedEngine(EngineClient):
    """Engine client that plays one script per call of `generate`, in order.

    Parameters
    ----------
    scripts : iterable of callable
        Each takes the `GenerationRequest` and returns the steps of one attempt:
        events are yielded, exceptions are raised and each `Delay` is slept through.
    """

    def __init__(
        self,
        scripts: Iterable[Callable[[GenerationRequest], list[Step | Delay]]],
    ) -> None:
        self._scripts = list(scripts)
        self._requests: list[tuple[str, GenerationRequest]] = []
        self._closed_streams = 0

    @property
    def requests(self) -> list[tuple[str, GenerationRequest]]:
        """Address and request of each attempt."""
        return self._requests

    @property
    def closed_streams(self) -> int:
        """Number of streams that were closed or have ended."""
        return self._closed_streams

    async def generate(
        self, address: str, request: GenerationRequest
    ) -> AsyncGenerator[TokenEvent | StreamEnd, None]:
        """Play the next script; the last script repeats."""
        index = min(len(self._requests), len(self._scripts) - 1)
        self._requests.append((address, request))
        try:
            for step in self._scripts[index](request):
                if isinstance(step, Delay):
                    await asyncio.sleep(step.seconds)
                elif isinstance(step, Exception):
                    raise step
                else:
                    yield step
        finally:
            self._closed_streams += 1

    async def fetch_status(
        self, address: str, *, timeout: datetime.timedelta
    ) -> EngineStatus:
        """Return the status of a VM without a group."""
        return EngineStatus(vm=address, incarnation=1)

    async def assign(
        self, address: str, order: AssignOrder, *, timeout: datetime.timedelta
    ) -> None:
        """Accept the order."""

    async def release(
        self, address: str, order: ReleaseOrder, *, timeout: datetime.timedelta
    ) -> None:
        """Accept the order."""

    async def fetch_cache_events(
        self, address: str, after: int, *, timeout: datetime.timedelta
    ) -> CacheEventPage:
        """Return no events."""
        return CacheEventPage(oldest=0, events=())
