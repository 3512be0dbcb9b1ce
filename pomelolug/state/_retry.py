"""Delay between attempts at an operation on the log."""

import datetime
import random

__all__ = ["retry_delay"]

_INITIAL_DELAY = datetime.timedelta(milliseconds=50)
_MAX_DELAY = datetime.timedelta(seconds=2)
_MAX_DOUBLINGS = 10


def retry_delay(failures: int, random_state: random.Random) -> datetime.timedelta:
    """Return the delay after the given number of consecutive failures.

    The delay doubles from 50 ms to 2 s. A random factor between 0.5 and 1 keeps
    nodes from retrying simultaneously after an outage.

    Examples
    --------
    >>> delay = retry_delay(30, random.Random(1))
    >>> datetime.timedelta(seconds=1) <= delay <= datetime.timedelta(seconds=2)
    True
    """
    doublings = min(max(failures - 1, 0), _MAX_DOUBLINGS)
    return min(_INITIAL_DELAY * 2**doublings, _MAX_DELAY) * random_state.uniform(
        0.5, 1.0
    )
