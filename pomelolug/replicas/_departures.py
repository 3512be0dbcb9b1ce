"""When members left groups whose heads do not answer.

Such a head notices the departure within its stall time, after which the other
members are free. Nodes tell each other the age of each departure, so that a
successor does not wait from the start; ages need no common clock.
"""

from collections.abc import Mapping

from pomelolug.clock import Clock
from pomelolug.ids import GroupId
from pomelolug.replicas._group_view import GroupKey

__all__ = ["Departures"]

_RETENTION_S = 15.0
_MAX_ENTRIES = 64


class Departures:
    """Departures known to this node.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._left_at_s: dict[GroupKey, float] = {}

    def record(self, key: GroupKey) -> None:
        """Note that a member has left a group just now."""
        self._left_at_s.setdefault(key, self._clock.monotonic())

    def left_at_s(self, key: GroupKey) -> float | None:
        """Return the monotonic time of the first departure, if one is known."""
        return self._left_at_s.get(key)

    def merge(self, ages_s: Mapping[str, float]) -> None:
        """Take the ages that another node tells.

        The way of the message is not counted, which makes a departure seem later
        than it was and never earlier.
        """
        now = self._clock.monotonic()
        for text, age_s in list(ages_s.items())[:_MAX_ENTRIES]:
            group, _, epoch = text.rpartition("/")
            if not epoch.isdigit() or not 0.0 <= age_s <= _RETENTION_S:
                continue
            key = (GroupId(group), int(epoch))
            at_s = now - age_s
            self._left_at_s[key] = min(self._left_at_s.get(key, at_s), at_s)

    def ages_s(self) -> dict[str, float]:
        """Return the age of each departure in seconds, for other nodes."""
        now = self._clock.monotonic()
        old = [
            key for key, at_s in self._left_at_s.items() if now - at_s > _RETENTION_S
        ]
        for key in old:
            del self._left_at_s[key]
        newest = sorted(self._left_at_s.items(), key=lambda item: -item[1])[
            :_MAX_ENTRIES
        ]
        return {f"{key[0]}/{key[1]}": round(now - at_s, 3) for key, at_s in newest}
