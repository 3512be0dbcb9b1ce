"""When members left groups whose heads do not answer.

Such a head notices the departure within its stall time, after which the other
members are free. Nodes tell each other the age of each departure, so that a
successor does not wait from the start; ages need no common clock.
"""

from collections.abc import Mapping

from pomelolug.clock import Clock
from pomelolug.ids import GroupId
from pomelolug.replicas._view import GroupKey

__all__ = ["Departures"]

_KEPT_S = 15.0
_MOST = 64


class Departures:
    """Departures known to this node.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._left_at: dict[GroupKey, float] = {}

    def note(self, key: GroupKey) -> None:
        """Note that a member has left a group just now."""
        self._left_at.setdefault(key, self._clock.monotonic())

    def left_at(self, key: GroupKey) -> float | None:
        """Return the monotonic time of the first departure, if one is known."""
        return self._left_at.get(key)

    def merge(self, ages_s: Mapping[str, float]) -> None:
        """Take the ages that another node tells.

        The way of the message is not counted, which makes a departure seem later
        than it was and never earlier.
        """
        now = self._clock.monotonic()
        for text, age_s in list(ages_s.items())[:_MOST]:
            group, _, epoch = text.rpartition("/")
            if not epoch.isdigit() or not 0.0 <= age_s <= _KEPT_S:
                continue
            key = (GroupId(group), int(epoch))
            at = now - age_s
            self._left_at[key] = min(self._left_at.get(key, at), at)

    def ages_s(self) -> dict[str, float]:
        """Return the age of each departure in seconds, for other nodes."""
        now = self._clock.monotonic()
        old = [key for key, at in self._left_at.items() if now - at > _KEPT_S]
        for key in old:
            del self._left_at[key]
        newest = sorted(self._left_at.items(), key=lambda item: -item[1])[:_MOST]
        return {f"{key[0]}/{key[1]}": round(now - at, 3) for key, at in newest}
