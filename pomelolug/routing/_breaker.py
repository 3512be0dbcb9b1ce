"""Circuit breaker for one group."""

import enum
import random

__all__ = ["BreakerState", "CircuitBreaker"]

_FAILURE_THRESHOLD = 3
_INITIAL_PAUSE_S = 1.0
_MAX_PAUSE_S = 30.0


class BreakerState(enum.Enum):
    """States of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class CircuitBreaker:
    """Stops sending requests to a group after consecutive failures.

    An open breaker becomes half-open after a pause and then lets one request at a
    time through as a probe. If the probe succeeds, the breaker closes; if it fails,
    the breaker opens again for twice as long, up to a maximum. Each pause is drawn
    uniformly between half and all of its nominal length, so that gateways do not
    probe a group at the same time.

    Parameters
    ----------
    random_state : random.Random
        Source of the jitter of the pauses.

    Examples
    --------
    >>> import random
    >>> breaker = CircuitBreaker(random_state=random.Random(1))
    >>> for _ in range(3):
    ...     breaker.on_failure(now_s=0.0)
    >>> breaker.can_send(now_s=0.1), breaker.can_send(now_s=1.5)
    (False, True)
    """

    __slots__ = ("_failures", "_pause_s", "_probing", "_random", "_retry_at_s")

    def __init__(self, *, random_state: random.Random) -> None:
        self._random = random_state
        self._failures = 0
        self._pause_s = _INITIAL_PAUSE_S
        self._retry_at_s: float | None = None
        self._probing = False

    def state(self, now_s: float) -> BreakerState:
        """Return the state at the monotonic time `now_s`."""
        if self._retry_at_s is None:
            return BreakerState.CLOSED
        if now_s < self._retry_at_s:
            return BreakerState.OPEN
        return BreakerState.HALF_OPEN

    @property
    def is_closed(self) -> bool:
        """Whether the breaker is closed, so that every request may be sent."""
        return self._retry_at_s is None

    def can_send(self, now_s: float) -> bool:
        """Return whether a request may be sent at the monotonic time `now_s`."""
        if self._retry_at_s is None:
            return True
        return now_s >= self._retry_at_s and not self._probing

    def on_dispatch(self) -> None:
        """Record that a request was sent; if half-open, it becomes the probe."""
        if self._retry_at_s is not None:
            self._probing = True

    def on_success(self) -> None:
        """Record that the group completed a request; this closes the breaker."""
        self._failures = 0
        self._pause_s = _INITIAL_PAUSE_S
        self._retry_at_s = None
        self._probing = False

    def on_cancel(self) -> None:
        """Record a cancelled request, which is neither a success nor a failure."""
        self._probing = False

    def on_failure(self, now_s: float) -> None:
        """Record that the group failed a request at the monotonic time `now_s`."""
        self._failures += 1
        probe_failed = self._probing
        self._probing = False
        if probe_failed:
            self._pause_s = min(2 * self._pause_s, _MAX_PAUSE_S)
        elif self._retry_at_s is not None or self._failures < _FAILURE_THRESHOLD:
            return
        self._retry_at_s = now_s + self._pause_s * self._random.uniform(0.5, 1.0)
