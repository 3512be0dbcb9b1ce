"""What the delays of requests tell of the speed of single servers.

The evidence on a server is the weighted mean of one value for each request, the
logarithm of its delay over the usual one. It loses its weight with time, so that the
server counts as usual again.
"""

import struct
import zlib
from collections.abc import Iterator

from pomelolug.deployment import BackendServer

__all__ = [
    "BAND_COUNT",
    "MAX_VALUE",
    "Evidence",
    "EvidenceKey",
    "PendingEvidence",
    "decode_evidence",
    "evidence_key",
]

EvidenceKey = int
"""Checksum of a server's id, start and group, so that a restart forgets all."""

BAND_COUNT = 2
"""Bands of load: up to half of the slots, and above."""
MAX_VALUE = 1.4
"""Bound of the value that one request can show; as a log ratio, a factor of 4."""
_HALF_LIFE_S = 3.0
"""Time in which evidence on a server loses half of its weight."""
_MAX_WEIGHT = 10.0
"""Most requests that it counts for, so that old ones do not delay a change."""
_MIN_WEIGHT = 0.1
"""Weight below which evidence is forgotten."""
_WEIGHT_UNIT = 0.25
"""Unit of a weight in a report, of which 7 bits are sent."""
_MAX_WEIGHT_UNITS = 127
_VALUE_UNITS = 127
_RECORD = struct.Struct("!IBb")
"""Key, band (highest bit) and weight, mean value."""


def evidence_key(server: BackendServer) -> EvidenceKey:
    """Return the key of a server's evidence."""
    membership = server.membership
    group = "" if membership is None else f"{membership.group}/{membership.epoch}"
    text = f"{server.vm}|{server.start_time_ms}|{group}|{server.model or ''}"
    return zlib.crc32(text.encode())


class Evidence:
    """Decayed evidence on a server, by band of load, or on a load of all servers.

    Parameters
    ----------
    now_s : float
        Monotonic time in seconds.
    half_life_s : float
        Time in which it loses half of its weight.
    max_weight : float
        Most requests that it counts for.
    """

    __slots__ = ("_at_s", "_half_life_s", "_sums", "_max_weight", "_weights")

    def __init__(
        self,
        now_s: float,
        *,
        half_life_s: float = _HALF_LIFE_S,
        max_weight: float = _MAX_WEIGHT,
    ) -> None:
        self._at_s = now_s
        self._half_life_s = half_life_s
        self._max_weight = max_weight
        self._weights = [0.0] * BAND_COUNT
        self._sums = [0.0] * BAND_COUNT

    def add(self, band: int, weight: float, value: float, now_s: float) -> None:
        """Add the mean value of requests that count for `weight` of them."""
        self.decay(now_s)
        value = min(max(value, -MAX_VALUE), MAX_VALUE)
        self._weights[band] += weight
        self._sums[band] += weight * value
        excess = self._weights[band] / self._max_weight
        if excess > 1.0:
            self._weights[band] /= excess
            self._sums[band] /= excess

    def decay(self, now_s: float) -> None:
        """Reduce the weights to those at a monotonic time."""
        if now_s <= self._at_s:
            return
        factor = 0.5 ** ((now_s - self._at_s) / self._half_life_s)
        self._at_s = now_s
        for band in range(BAND_COUNT):
            self._weights[band] *= factor
            self._sums[band] *= factor

    @property
    def is_negligible(self) -> bool:
        """Whether no weight is left."""
        return max(self._weights) < _MIN_WEIGHT

    def weight(self, band: int) -> float:
        """Return the number of requests that the evidence counts for."""
        return self._weights[band]

    def mean(self, band: int) -> float:
        """Return the mean value of a band that has weight."""
        return self._sums[band] / self._weights[band]

    def shrunk_mean(self, band: int, *, prior: float, prior_weight: float) -> float:
        """Return the mean value, drawn to `prior` while there are few requests."""
        weight = self._weights[band] + prior_weight
        return (self._sums[band] + prior_weight * prior) / weight


class PendingEvidence:
    """Evidence that the next status reports, and that is cleared by reporting it."""

    def __init__(self) -> None:
        self._sums: dict[tuple[EvidenceKey, int], list[float]] = {}

    def add(self, key: EvidenceKey, band: int, weight: float, value: float) -> None:
        """Add evidence to report."""
        sums = self._sums.setdefault((key, band), [0.0, 0.0])
        sums[0] += weight
        sums[1] += weight * value

    def clear(self) -> None:
        """Drop all evidence."""
        self._sums.clear()

    def take(self, max_records: int) -> bytes:
        """Return the most telling evidence as records, and forget it.

        Evidence of many requests and of unusual delays goes first. The rest waits for
        the next status, half of it being dropped, so that it does not get old.
        """
        ordered = sorted(
            self._sums.items(),
            key=lambda item: item[1][0] + 3.0 * abs(item[1][1]),
            reverse=True,
        )
        data = bytearray()
        for (key, band), (weight, value_sum) in ordered[:max_records]:
            units = min(round(weight / _WEIGHT_UNIT), _MAX_WEIGHT_UNITS)
            if not units:
                continue
            mean = min(max(value_sum / weight, -MAX_VALUE), MAX_VALUE)
            value = round(_VALUE_UNITS * mean / MAX_VALUE)
            data += _RECORD.pack(key, band << 7 | units, value)
        self._sums = {
            entry: [weight / 2, value_sum / 2]
            for entry, (weight, value_sum) in ordered[max_records:]
            if weight >= _WEIGHT_UNIT
        }
        return bytes(data)


def decode_evidence(
    data: bytes, *, max_records: int
) -> Iterator[tuple[EvidenceKey, int, float, float]]:
    """Yield key, band, weight and mean value of each record of a report.

    A record that is cut off, and what exceeds `max_records`, is ignored.
    """
    size = min(len(data) // _RECORD.size, max_records) * _RECORD.size
    for key, band_and_weight, value in _RECORD.iter_unpack(data[:size]):
        weight = (band_and_weight & _MAX_WEIGHT_UNITS) * _WEIGHT_UNIT
        yield key, band_and_weight >> 7, weight, value * MAX_VALUE / _VALUE_UNITS
