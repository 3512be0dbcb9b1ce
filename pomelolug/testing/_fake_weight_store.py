"""Fake weight store whose transfer rate all loads share equally."""

import datetime
from collections.abc import Mapping

from pomelolug.clock import Clock
from pomelolug.errors import ErrorCode, PlatformError
from pomelolug.ids import ModelName
from pomelolug.infrastructure import WeightStore, WeightStoreInfo

__all__ = ["FakeWeightStore"]


class FakeWeightStore(WeightStore):
    """Weight store that divides its rate equally; progress is computed on demand.

    Parameters
    ----------
    clock : Clock
        Source of time.
    rate_bytes_per_s : float
        Total transfer rate of all loads.
    sizes : mapping of ModelName to int
        Size of each model in bytes.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rate_bytes_per_s: float,
        sizes: Mapping[ModelName, int],
    ) -> None:
        self._clock = clock
        self._rate = rate_bytes_per_s
        self._sizes = dict(sizes)
        self._bytes_left: dict[str, float] = {}
        self._stalled: set[str] = set()
        self._updated_at_s = 0.0
        self.is_down = False

    @property
    def sizes(self) -> Mapping[ModelName, int]:
        """Size of each model in bytes."""
        return self._sizes

    async def info(self, *, timeout: datetime.timedelta) -> WeightStoreInfo:
        """Return the transfer rate and the model sizes."""
        if self.is_down:
            raise PlatformError(ErrorCode.PLATFORM_UNAVAILABLE, "weight store is down")
        return WeightStoreInfo(rate_bytes_per_s=self._rate, sizes=self._sizes)

    def start_load(self, loader: str, size_bytes: float) -> None:
        """Start a load, replacing the current load of `loader` if there is one."""
        self._advance()
        self._bytes_left[loader] = size_bytes

    def cancel_load(self, loader: str) -> None:
        """Cancel the load of `loader`."""
        self._advance()
        self._bytes_left.pop(loader, None)

    def set_stalled(self, loader: str, stalled: bool) -> None:
        """Stop or continue the load of a paused or unreachable loader."""
        self._advance()
        if stalled:
            self._stalled.add(loader)
        else:
            self._stalled.discard(loader)

    def is_idle(self, loader: str) -> bool:
        """Return whether `loader` has no load in progress."""
        self._advance()
        return loader not in self._bytes_left

    def _advance(self) -> None:
        now = self._clock.monotonic()
        elapsed_s = now - self._updated_at_s
        self._updated_at_s = now
        while elapsed_s > 0:
            active = [name for name in self._bytes_left if name not in self._stalled]
            if not active:
                return
            share = self._rate / len(active)
            shortest = min(self._bytes_left[name] for name in active)
            step_s = min(elapsed_s, shortest / share)
            elapsed_s -= step_s
            for name in active:
                self._bytes_left[name] -= step_s * share
                if self._bytes_left[name] <= 1e-6 * share:
                    del self._bytes_left[name]
