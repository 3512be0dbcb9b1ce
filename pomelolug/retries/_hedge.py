"""Policy for hedging slow requests."""

import collections
import datetime
import math

from pomelolug.ids import WorkClassName

__all__ = ["HedgePolicy"]

_MAX_CLASSES = 256
_MAX_SAMPLES = 256
_MIN_SAMPLES = 20


class HedgePolicy:
    """Decides whether a second copy of a request may be sent.

    A request is hedged at most once, and only if it is idempotent, has not yet
    produced a token and the pool has free slots. The hedge is sent after the time
    within which most requests of the class have produced their first token. The
    caller has to charge the copy to the retry budget.

    Parameters
    ----------
    quantile : float
        Quantile of the time to first token after which a hedge is sent, 0 to 1.

    Examples
    --------
    >>> import datetime
    >>> policy = HedgePolicy()
    >>> for _ in range(20):
    ...     policy.on_first_token("chat", datetime.timedelta(seconds=1))
    >>> policy.may_hedge(
    ...     "chat",
    ...     idempotent=True,
    ...     has_token=False,
    ...     copies=1,
    ...     elapsed=datetime.timedelta(seconds=2),
    ...     free_slots=1,
    ... )
    True
    """

    def __init__(self, *, quantile: float = 0.95) -> None:
        self._quantile = quantile
        self._samples: dict[WorkClassName, collections.deque[float]] = {}

    def on_first_token(
        self, work_class: WorkClassName, elapsed: datetime.timedelta
    ) -> None:
        """Record the time from dispatch to the first token of a request."""
        samples = self._samples.get(work_class)
        if samples is None:
            if len(self._samples) >= _MAX_CLASSES:
                self._samples.clear()
            samples = self._samples[work_class] = collections.deque(maxlen=_MAX_SAMPLES)
        samples.append(elapsed.total_seconds())

    def delay(self, work_class: WorkClassName) -> datetime.timedelta | None:
        """Return the time after which to hedge, None if there are too few samples."""
        samples = self._samples.get(work_class, ())
        if len(samples) < _MIN_SAMPLES:
            return None
        rank = math.ceil(self._quantile * len(samples)) - 1
        return datetime.timedelta(seconds=sorted(samples)[rank])

    def may_hedge(
        self,
        work_class: WorkClassName,
        *,
        idempotent: bool,
        has_token: bool,
        copies: int,
        elapsed: datetime.timedelta,
        free_slots: int,
    ) -> bool:
        """Return whether a second copy may be sent now.

        Parameters
        ----------
        work_class : WorkClassName
            Work class of the request.
        idempotent : bool
            Whether the request may run twice.
        has_token : bool
            Whether a token of the response has arrived.
        copies : int
            Number of copies sent so far.
        elapsed : datetime.timedelta
            Time since the first copy was sent.
        free_slots : int
            Number of free slots of the pool.
        """
        if not idempotent or has_token or copies != 1 or free_slots <= 0:
            return False
        delay = self.delay(work_class)
        return delay is not None and elapsed >= delay
