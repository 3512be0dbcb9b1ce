"""Weight store of the fakes: a rate that all loads share equally."""

import datetime
from collections.abc import Mapping

from pomelolug.clock import Clock
from pomelolug.errors import ErrorCode, PlatformError
from pomelolug.ids import ModelName
from pomelolug.infrastructure import WeightStore, WeightStoreInfo

__all__ = ["FakeWeightStore"]


class FakeWeightStore(WeightStore):
    """Weight store with equal division of its rate, computed on demand.

    Parameters
    ----------
    clock : Clock
        Source of time.
    rate_bytes_per_s : float
        Rate of all loads together.
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
        self._remaining_bytes: dict[str, float] = {}
        self._stalled: set[str] = set()
        self._updated_at_s = 0.0
        self.is_down = False

    @property
    def sizes(self) -> Mapping[ModelName, int]:
        """Size of each model in bytes."""
        return self._sizes

    async def info(self, *, timeout: datetime.timedelta) -> WeightStoreInfo:
        """Return the rate and the sizes."""
        if self.is_down:
            raise PlatformError(ErrorCode.PLATFORM_UNAVAILABLE, "weight store is down")
        return WeightStoreInfo(rate_bytes_per_s=self._rate, sizes=self._sizes)

    def start_load(self, loader: str, size_bytes: float) -> None:
        """Start a load, or replace the one that `loader` has."""
        self._advance()
        self._remaining_bytes[loader] = size_bytes

    def cancel_load(self, loader: str) -> None:
        """End a load without a result."""
        self._advance()
        self._remaining_bytes.pop(loader, None)

    def set_stalled(self, loader: str, stalled: bool) -> None:
        """Stop or continue the load of a paused or unreachable loader."""
        self._advance()
        if stalled:
            self._stalled.add(loader)
        else:
            self._stalled.discard(loader)

    def is_idle(self, loader: str) -> bool:
        """Return whether `loader` has no load under way."""
        self._advance()
        return loader not in self._remaining_bytes

    def _advance(self) -> None:
        now = self._clock.monotonic()
        elapsed_s = now - self._updated_at_s
        self._updated_at_s = now
        while elapsed_s > 0:
            active = [
                name for name in self._remaining_bytes if name not in self._stalled
            ]
            if not active:
                return
            rate_per_load = self._rate / len(active)
            smallest_remaining_bytes = min(
                self._remaining_bytes[name] for name in active
            )
            step_s = min(elapsed_s, smallest_remaining_bytes / rate_per_load)
            elapsed_s -= step_s
            for name in active:
                self._remaining_bytes[name] -= step_s * rate_per_load
                if self._remaining_bytes[name] <= 1e-6 * rate_per_load:
                    del self._remaining_bytes[name]
