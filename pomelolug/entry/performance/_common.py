"""Usual delays of all servers of a kind together, relative to the expected ones."""

import math

__all__ = ["CommonDelay"]

_HALF_LIFE_S = 6.0
"""Time in which an observation loses half of its weight."""
_PRIOR_WEIGHT = 6.0
"""Observations that the declared figures count for."""
_MAX_RATIO = 4.0
"""Bound of one observation relative to the present estimate."""
_MIN_FACTOR, _MAX_FACTOR = 0.25, 6.0
"""Bounds of the learned factor on declared figures."""


class CommonDelay:
    """Offset and factor that lead from expected to observed delays.

    They are fitted to the requests of this node, so they hold for its own way to the
    servers and its own speed. What remains, compared among servers, is due to these.

    Parameters
    ----------
    now_s : float
        Monotonic time in seconds.
    """

    __slots__ = (
        "_at_s",
        "_bias_sum",
        "_d",
        "_dd",
        "_dy",
        "_factor",
        "_is_fitted",
        "_offset_s",
        "_weight",
        "_y",
    )

    def __init__(self, now_s: float) -> None:
        self._at_s = now_s
        self._weight = 0.0
        # Weighted sums of the expected delay d and of y = observed - d, in seconds.
        self._d = self._dd = self._y = self._dy = 0.0
        self._bias_sum = 0.0
        self._offset_s = 0.0
        self._factor = 1.0
        self._is_fitted = True

    @property
    def offset_s(self) -> float:
        """Learned offset in seconds."""
        self._fit()
        return self._offset_s

    @property
    def factor(self) -> float:
        """Learned factor on the expected delay."""
        self._fit()
        return self._factor

    def predict_s(self, expected_s: float) -> float:
        """Return the usual delay in seconds, given the expected one."""
        self._fit()
        return self._offset_s + self._factor * expected_s

    def log_ratio(self, expected_s: float, observed_s: float) -> float:
        """Return the logarithm of an observed delay over the usual one.

        Its mean over all servers is about zero.
        """
        ratio = max(observed_s, 1e-6) / max(self.predict_s(expected_s), 1e-6)
        bias = self._bias_sum / (self._weight + _PRIOR_WEIGHT)
        return math.log(ratio) - bias

    def add(self, expected_s: float, observed_s: float, now_s: float) -> None:
        """Add an observation, divided by the factor of its server."""
        self._decay(now_s)
        predicted_s = self.predict_s(expected_s)
        observed_s = min(observed_s, _MAX_RATIO * predicted_s)
        log_ratio = math.log(max(observed_s, 1e-6) / max(predicted_s, 1e-6))
        y = observed_s - expected_s
        self._weight += 1.0
        self._d += expected_s
        self._dd += expected_s * expected_s
        self._y += y
        self._dy += expected_s * y
        self._bias_sum += min(max(log_ratio, -_MAX_RATIO), _MAX_RATIO)
        self._is_fitted = False

    def _decay(self, now_s: float) -> None:
        if now_s <= self._at_s:
            return
        factor = 0.5 ** ((now_s - self._at_s) / _HALF_LIFE_S)
        self._at_s = now_s
        self._weight *= factor
        self._d *= factor
        self._dd *= factor
        self._y *= factor
        self._dy *= factor
        self._bias_sum *= factor

    def _fit(self) -> None:
        """Fit offset and factor, drawn to the declared figures while there are few."""
        if self._is_fitted:
            return
        self._is_fitted = True
        weight = self._weight
        mean_d, mean_y = self._d / weight, self._y / weight
        covariance = self._dy - weight * mean_d * mean_y
        variance = max(self._dd - weight * mean_d * mean_d, 0.0)
        slope = covariance / (variance + _PRIOR_WEIGHT * mean_d * mean_d + 1e-12)
        self._factor = min(max(1.0 + slope, _MIN_FACTOR), _MAX_FACTOR)
        offset_s = mean_y - (self._factor - 1.0) * mean_d
        self._offset_s = offset_s * weight / (weight + _PRIOR_WEIGHT)
        # Even the least expected delay must remain one.
        self._offset_s = max(self._offset_s, -0.5 * self._factor * mean_d)
