"""Streams that wait for a slot at the dispatcher of a zone without room.

A refused caller comes back after the latency target, and slots of full groups get free
all the time. So a stream waits as long as it can still be on time, and not longer.
"""

import dataclasses
import math
from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from pomelolug.entry.dispatch._ledger import Holder

__all__ = ["ReleaseRate", "WaitingRoom", "WaitingStream"]

_MAX_WAITING = 512
"""Streams that wait at most; each of them is looked at when a slot gets free."""
_RATE_PERIOD_S = 0.5
"""Time in seconds over which freed slots are counted, so that a burst shows."""

QuestionT = TypeVar("QuestionT")


class ReleaseRate:
    """Slots that get free in a second, of which recent ones count more."""

    def __init__(self) -> None:
        self._count = 0.0
        self._counted_at_s = 0.0

    def record(self, count: int, *, now_s: float) -> None:
        """Count slots that have become free."""
        self._count = self._decayed(now_s) + count
        self._counted_at_s = now_s

    def per_s(self, *, now_s: float) -> float:
        """Return the slots that get free in a second."""
        return self._decayed(now_s) / _RATE_PERIOD_S

    def _decayed(self, now_s: float) -> float:
        return self._count * math.exp((self._counted_at_s - now_s) / _RATE_PERIOD_S)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WaitingStream(Generic[QuestionT]):
    """Stream that waits for a slot.

    Parameters
    ----------
    holder : Holder
        Process that asked.
    serial : int
        Number of its question.
    question : object
        The question.
    until_s : float
        Monotonic time in seconds until which the stream may wait.
    since_s : float
        Monotonic time in seconds since which it waits.
    """

    holder: Holder
    serial: int
    question: QuestionT
    until_s: float
    since_s: float


class WaitingRoom(Generic[QuestionT]):
    """Waiting streams of one model, in the order in which they came.

    Examples
    --------
    >>> room = WaitingRoom()
    >>> node = Holder("10.0.0.1:7340", 1)
    >>> room.add(
    ...     WaitingStream(holder=node, serial=1, question="", until_s=0.1, since_s=0.0)
    ... )
    True
    >>> len(room)
    1
    >>> room.expire(now_s=0.2)
    1
    """

    def __init__(self) -> None:
        self._streams: dict[tuple[Holder, int], WaitingStream[QuestionT]] = {}

    def __len__(self) -> int:
        """Return the number of waiting streams."""
        return len(self._streams)

    def __iter__(self) -> Iterator[WaitingStream[QuestionT]]:
        """Iterate over the streams by arrival."""
        return iter(self._streams.values())

    def find(self, holder: Holder, serial: int) -> WaitingStream[QuestionT] | None:
        """Return the stream of a question, None if it does not wait."""
        return self._streams.get((holder, serial))

    def add(self, stream: WaitingStream[QuestionT]) -> bool:
        """Add a stream unless too many wait; return whether it waits."""
        if len(self._streams) >= _MAX_WAITING:
            return False
        self._streams[stream.holder, stream.serial] = stream
        return True

    def remove(self, holder: Holder, serial: int) -> bool:
        """Remove a stream; return whether it waited."""
        return self._streams.pop((holder, serial), None) is not None

    def expire(self, *, now_s: float) -> int:
        """Remove the streams whose time is over; return their number."""
        expired = [
            key for key, stream in self._streams.items() if stream.until_s < now_s
        ]
        for key in expired:
            del self._streams[key]
        return len(expired)

    def ordered(
        self, rank: Callable[[QuestionT], tuple[float, ...]]
    ) -> list[WaitingStream[QuestionT]]:
        """Return the streams by rank, and those of one rank by arrival.

        Parameters
        ----------
        rank : callable
            Returns the rank of a question; the least one is first.
        """
        return sorted(self._streams.values(), key=lambda s: rank(s.question))
