"""How much longer servers of a kind take with more requests known in flight.

The declared figures state the delay at a known load. What a node knows of the load is
late, so that some servers are fuller than known. The curve tells what that costs.
"""

import copy
import zlib
from collections.abc import Mapping

from pomelolug.entry.performance._evidence import Evidence, EvidenceKey

__all__ = ["LoadCurve"]

_BIN_COUNT = 8
_BINS_PER_SLOTS = 5
"""Bins up to a load of all slots; the last one holds all higher loads."""
_PRIOR_WEIGHT = 4.0
"""Requests that a flat curve counts for in each bin."""
_MIN_WEIGHT = 1.0
"""Least weight of a bin that says more than the bins below it."""
_EXCESS_UNIT = 5.0
"""Relative excess of a delay that evidence states as 1; its bound is 1.4."""


class LoadCurve:
    """Factor on the usual delay by the load, learned over all servers of a kind.

    It starts at 1 and never falls with the load. It is the mean of the delays and not
    of their logarithms, since the few requests that have to wait are what matters.

    Parameters
    ----------
    kind : str
        Name of the model or service.
    """

    def __init__(self, kind: str) -> None:
        self._keys = tuple(
            zlib.crc32(f"load|{kind}|{number}".encode()) for number in range(_BIN_COUNT)
        )
        self._excesses = (0.0,) * _BIN_COUNT
        self._cache: dict[tuple[int, int], float] = {}

    @property
    def keys(self) -> tuple[EvidenceKey, ...]:
        """Keys of the evidence of each bin."""
        return self._keys

    def key(self, in_flight: int, slots: int) -> EvidenceKey:
        """Return the key of the evidence of a load."""
        number = _BINS_PER_SLOTS * in_flight // max(slots, 1)
        return self._keys[min(number, _BIN_COUNT - 1)]

    @staticmethod
    def excess(usual_s: float, observed_s: float) -> float:
        """Return how far a delay exceeds the usual one, as evidence states it."""
        return (observed_s / max(usual_s, 1e-6) - 1.0) / _EXCESS_UNIT

    def factor(self, in_flight: int, slots: int) -> float:
        """Return the factor at a load."""
        factor = self._cache.get((in_flight, slots))
        if factor is None:
            factor = 1.0 + self._interpolate(in_flight / max(slots, 1))
            self._cache[in_flight, slots] = factor
        return factor

    def snapshot(self) -> "LoadCurve":
        """Return the same curve, which keeps what it computes apart from this one."""
        snapshot = copy.copy(self)
        snapshot._cache = dict(self._cache)
        return snapshot

    def refresh(self, evidence: Mapping[EvidenceKey, Evidence]) -> None:
        """Compute the factors from the evidence of the bins."""
        excesses: list[float] = []
        first: float | None = None
        for key in self._keys:
            latest = excesses[-1] if excesses else 0.0
            known = evidence.get(key)
            if known is None or known.weight(0) < _MIN_WEIGHT:
                excesses.append(latest)
                continue
            if first is None:
                first = known.shrunk_mean(0, prior=0.0, prior_weight=_PRIOR_WEIGHT)
            mean = known.shrunk_mean(
                0, prior=first + latest, prior_weight=_PRIOR_WEIGHT
            )
            excesses.append(max(mean - first, latest))
        if tuple(excesses) != self._excesses:
            self._excesses = tuple(excesses)
            self._cache.clear()

    def _interpolate(self, load: float) -> float:
        position = max(load * _BINS_PER_SLOTS - 0.5, 0.0)
        number = min(int(position), _BIN_COUNT - 1)
        upper = min(number + 1, _BIN_COUNT - 1)
        low, high = self._excesses[number], self._excesses[upper]
        share = position - number if upper > number else 0.0
        return _EXCESS_UNIT * (low + share * (high - low))
