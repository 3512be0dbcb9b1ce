"""Estimate of the time until a slot comes free."""

import math

__all__ = ["WaitEstimator"]

_SMOOTHING = 0.05
_SILENCE_FACTOR = 6.0
_RATE_WINDOW_S = 5.0
_MIN_RATE_FRACTION = 0.02


class RateMeter:
    """Exponentially smoothed rate of events, in events a second."""

    __slots__ = ("_updated_at", "_rate")

    def __init__(self) -> None:
        self._rate = 0.0
        self._updated_at = 0.0

    def count(self, now: float, amount: float = 1.0) -> None:
        """Count `amount` events at the monotonic time `now`."""
        self._rate = self.rate(now) + amount / _RATE_WINDOW_S
        self._updated_at = now

    def rate(self, now: float) -> float:
        """Return the rate at the monotonic time `now`."""
        elapsed = max(now - self._updated_at, 0.0)
        return self._rate * math.exp(-elapsed / _RATE_WINDOW_S)


class WaitEstimator:
    """Predicts the wait for a slot of one pool.

    Slots come free at the rate of held slots over their mean holding time. The
    mean covers finished requests only and therefore lags when the backend
    servers slow down; if no slot has come free for six times the expected gap,
    the length of this silence bounds the rate instead.

    Examples
    --------
    >>> estimator = WaitEstimator()
    >>> for second in range(4):
    ...     estimator.on_grant(now=0.0)
    >>> estimator.on_release(held_s=2.0, now=2.0)
    >>> estimator.expected_wait_s(ahead=2, now=2.0)
    2.0
    """

    def __init__(self) -> None:
        self._held = 0
        self._mean_hold_s: float | None = None
        self._released_at: float | None = None

    @property
    def held(self) -> int:
        """Slots held now."""
        return self._held

    @property
    def mean_hold_s(self) -> float | None:
        """Mean time that a slot is held in seconds, None if not yet known."""
        return self._mean_hold_s

    def on_grant(self, now: float) -> None:
        """Record that a slot was taken at the monotonic time `now`."""
        if self._held == 0:
            # An idle time before is no evidence of slow backend servers.
            self._released_at = now
        self._held += 1

    def on_release(self, *, held_s: float, now: float, cost: float = 1.0) -> None:
        """Record that a slot came free after `held_s` seconds.

        Parameters
        ----------
        held_s : float
            Time that the slot was held, in seconds.
        now : float
            Monotonic time.
        cost : float
            Expected work of the request relative to a mean request.
        """
        self._held = max(self._held - 1, 0)
        self._released_at = now
        per_cost_s = held_s / max(cost, 0.01)
        if self._mean_hold_s is None:
            self._mean_hold_s = per_cost_s
        else:
            self._mean_hold_s += _SMOOTHING * (per_cost_s - self._mean_hold_s)

    def release_rate(self, now: float) -> float | None:
        """Return how many slots come free in a second, None if not yet known."""
        if self._mean_hold_s is None or self._held == 0:
            return None
        rate = self._held / max(self._mean_hold_s, 1e-6)
        silence_s = now - (self._released_at or 0.0)
        return min(rate, _SILENCE_FACTOR / silence_s) if silence_s > 0 else rate

    def expected_wait_s(
        self, *, ahead: float, now: float, taken_rate: float = 0.0
    ) -> float:
        """Return the expected wait for a slot in seconds.

        Parameters
        ----------
        ahead : float
            Requests that get a slot before.
        now : float
            Monotonic time.
        taken_rate : float
            Slots a second that later arrivals of higher classes take.

        Returns
        -------
        float
            Zero while nothing is known about the pool.
        """
        remaining_rate = self._remaining_rate(now, taken_rate)
        return (ahead + 1.0) / remaining_rate

    def slots_within(
        self, duration_s: float, now: float, *, taken_rate: float = 0.0
    ) -> float:
        """Return how many slots are expected to come free in `duration_s` seconds.

        Parameters
        ----------
        duration_s : float
            Time from now, in seconds.
        now : float
            Monotonic time.
        taken_rate : float
            Slots a second that later arrivals of higher classes take.
        """
        if duration_s <= 0:
            return 0.0
        return self._remaining_rate(now, taken_rate) * duration_s

    def _remaining_rate(self, now: float, taken_rate: float) -> float:
        """Return the slots a second that are left, infinite if not yet known."""
        rate = self.release_rate(now)
        if rate is None:
            return math.inf
        return max(rate - taken_rate, rate * _MIN_RATE_FRACTION)
