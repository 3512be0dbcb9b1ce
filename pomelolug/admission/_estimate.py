"""Estimation of the time until a slot becomes free."""

import math

__all__ = ["WaitEstimator"]

# Weight of the newest holding time in the moving average.
_SMOOTHING = 0.05
_SILENCE_FACTOR = 6.0
_RATE_WINDOW_S = 5.0
# Fraction of the release rate that is left to a class at least, however many slots the
# classes of higher priority take.
_MIN_RATE_FRACTION = 0.02


class RateMeter:
    """Exponentially smoothed rate of events, in events per second."""

    __slots__ = ("_updated_at_s", "_rate")

    def __init__(self) -> None:
        self._rate = 0.0
        self._updated_at_s = 0.0

    def count(self, now_s: float, amount: float = 1.0) -> None:
        """Count `amount` events at the monotonic time `now_s`."""
        self._rate = self.rate(now_s) + amount / _RATE_WINDOW_S
        self._updated_at_s = now_s

    def rate(self, now_s: float) -> float:
        """Return the rate at the monotonic time `now_s`."""
        elapsed = max(now_s - self._updated_at_s, 0.0)
        return self._rate * math.exp(-elapsed / _RATE_WINDOW_S)


class WaitEstimator:
    """Estimates the wait for a slot of one pool.

    The rate at which slots become free is the number of held slots divided by their
    mean holding time. The mean includes only finished requests and therefore lags if
    the backend servers slow down. If no slot has become free for six times the
    expected interval, the time since the last release bounds the rate instead.

    Examples
    --------
    >>> estimator = WaitEstimator()
    >>> for second in range(4):
    ...     estimator.on_grant(now_s=0.0)
    >>> estimator.on_release(held_s=2.0, now_s=2.0)
    >>> estimator.expected_wait_s(ahead=2, now_s=2.0)
    2.0
    """

    def __init__(self) -> None:
        self._held = 0
        self._mean_hold_per_cost_s: float | None = None
        self._released_at_s: float | None = None

    @property
    def held(self) -> int:
        """Number of slots held."""
        return self._held

    @property
    def mean_hold_per_cost_s(self) -> float | None:
        """Mean holding time of a slot per unit of cost, in seconds.

        The holding time of each request is divided by its cost before it is
        averaged. None if not yet known.
        """
        return self._mean_hold_per_cost_s

    def on_grant(self, now_s: float) -> None:
        """Record that a slot was taken at the monotonic time `now_s`."""
        if self._held == 0:
            # Preceding idle time must not count as time without a release.
            self._released_at_s = now_s
        self._held += 1

    def on_release(self, *, held_s: float, now_s: float, cost: float = 1.0) -> None:
        """Record that a slot became free after `held_s` seconds.

        Parameters
        ----------
        held_s : float
            Time for which the slot was held, in seconds.
        now_s : float
            Monotonic time in seconds.
        cost : float
            Expected work of the request, relative to a mean request.
        """
        self._held = max(self._held - 1, 0)
        self._released_at_s = now_s
        per_cost_s = held_s / max(cost, 0.01)
        if self._mean_hold_per_cost_s is None:
            self._mean_hold_per_cost_s = per_cost_s
        else:
            self._mean_hold_per_cost_s += _SMOOTHING * (
                per_cost_s - self._mean_hold_per_cost_s
            )

    def release_rate(self, now_s: float) -> float | None:
        """Return the slots that become free per second, None if not yet known."""
        if self._mean_hold_per_cost_s is None or self._held == 0:
            return None
        rate = self._held / max(self._mean_hold_per_cost_s, 1e-6)
        silence_s = now_s - (self._released_at_s or 0.0)
        return min(rate, _SILENCE_FACTOR / silence_s) if silence_s > 0 else rate

    def expected_wait_s(
        self, *, ahead: float, now_s: float, taken_rate: float = 0.0
    ) -> float:
        """Return the expected wait for a slot in seconds.

        Parameters
        ----------
        ahead : float
            Number of requests that get a slot first.
        now_s : float
            Monotonic time in seconds.
        taken_rate : float
            Slots per second taken by later arrivals of higher-priority classes.

        Returns
        -------
        float
            Zero while the release rate is unknown.
        """
        remaining_rate = self._remaining_rate(now_s, taken_rate)
        return (ahead + 1.0) / remaining_rate

    def slots_within(
        self, duration_s: float, now_s: float, *, taken_rate: float = 0.0
    ) -> float:
        """Return how many slots are expected to become free in `duration_s` seconds.

        Parameters
        ----------
        duration_s : float
            Length of the period, in seconds, starting now.
        now_s : float
            Monotonic time in seconds.
        taken_rate : float
            Slots per second taken by later arrivals of higher-priority classes.
        """
        if duration_s <= 0:
            return 0.0
        return self._remaining_rate(now_s, taken_rate) * duration_s

    def _remaining_rate(self, now_s: float, taken_rate: float) -> float:
        """Return the slots per second that are left, infinity if not yet known."""
        rate = self.release_rate(now_s)
        if rate is None:
            return math.inf
        return max(rate - taken_rate, rate * _MIN_RATE_FRACTION)
