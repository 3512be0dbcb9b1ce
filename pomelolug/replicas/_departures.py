"""Times at which members left groups whose heads do not answer.

Such a head detects the departure within its stall timeout, after which the other
members are free. Nodes share the age of each departure, so that a new active
controller does not restart the wait. Ages need no synchronized clocks.
"""

from collections.abc import Mapping

from pomelolug.clock import Clock
from pomelolug.ids import GroupId
from pomelolug.replicas._group_view import GroupKey

__all__ = ["Departures"]

_RETENTION_S = 15.0
_MAX_ENTRIES = 64


class Departures:
    """Departures of members that this node knows of.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._left_at_s: dict[GroupKey, float] = {}

    def record(self, key: GroupKey) -> None:
        """Record that a member has left a group now, unless one left earlier."""
        self._left_at_s.setdefault(key, self._clock.monotonic())

    def left_at_s(self, key: GroupKey) -> float | None:
        """Return the monotonic time in seconds of the first known departure."""
        return self._left_at_s.get(key)

    def merge(self, ages_s: Mapping[str, float]) -> None:
        """Add the departures that another node reports.

        The delay of the message is ignored, so a departure can appear later than
        it was but never earlier.

        Parameters
        ----------
        ages_s : mapping of str to float
            Age of each departure in seconds, as from `ages_s`. Malformed and
            expired entries are ignored.
        """
        now_s = self._clock.monotonic()
        for text, age_s in list(ages_s.items())[:_MAX_ENTRIES]:
            group, _, epoch = text.rpartition("/")
            if not epoch.isdigit() or not 0.0 <= age_s <= _RETENTION_S:
                continue
            key = (GroupId(group), int(epoch))
            at_s = now_s - age_s
            self._left_at_s[key] = min(self._left_at_s.get(key, at_s), at_s)

    def ages_s(self) -> dict[str, float]:
        """Return the age of each departure in seconds, to share with other nodes.

        Keys have the form ``group/epoch``.
        """
        now_s = self._clock.monotonic()
        old = [
            key for key, at_s in self._left_at_s.items() if now_s - at_s > _RETENTION_S
        ]
        for key in old:
            del self._left_at_s[key]
        newest = sorted(self._left_at_s.items(), key=lambda item: -item[1])[
            :_MAX_ENTRIES
        ]
        return {f"{key[0]}/{key[1]}": round(now_s - at_s, 3) for key, at_s in newest}
