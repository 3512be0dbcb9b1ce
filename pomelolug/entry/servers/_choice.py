"""Selection of a replica group by its expected delay."""

import copy
import dataclasses
import math
import random
from collections.abc import Sequence

from pomelolug.deployment import BackendServer
from pomelolug.ids import ZoneId

__all__ = [
    "Candidate",
    "GroupSelector",
]

CROSS_ZONE_PENALTY_S = 0.04
"""Expected delay, in seconds, that a group in another zone must save.

Traffic between zones is billed, and the load in other zones is known about half a
second later than in the local zone.
"""
_DRAWS_PER_GROUP = 2
"""Nodes of a zone that may draw a group for requests of the same moment."""
_MIN_SAMPLE = 2
"""Least number of groups drawn; one alone would be chosen whatever its load."""
_TIE_TOLERANCE_S = 0.001
"""Scores closer than this count as equal; the load reports are older than that."""


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A server that could run the request, with its expected delay."""

    server: BackendServer
    expected_delay_s: float


class GroupSelector:
    """Selects the group with the least expected delay among a random sample.

    All nodes of a zone know about the same loads, up to a second late. If each of them
    chose the least loaded of all groups, they would overload it together until they
    learn of it. So each draws a sample, the smaller the more nodes the zone has; a node
    alone draws all groups.

    Parameters
    ----------
    zone : ZoneId
        Zone of this node, which is preferred.
    rng : random.Random
        Draws the samples, and selects among equal candidates.
    """

    def __init__(self, *, zone: ZoneId, rng: random.Random) -> None:
        self._zone = zone
        self._rng = rng
        self._zone_node_count = 1

    def set_zone_node_count(self, count: int) -> None:
        """Set the number of nodes in the zone, this one included."""
        self._zone_node_count = max(count, 1)

    def snapshot(self, rng: random.Random) -> "GroupSelector":
        """Return a selector that draws from other numbers.

        Parameters
        ----------
        rng : random.Random
            Used by the new selector.
        """
        snapshot = copy.copy(self)
        snapshot._rng = rng
        return snapshot

    def select(self, candidates: Sequence[Candidate]) -> Candidate | None:
        """Return a candidate with a low expected delay, None if there are none.

        Examples
        --------
        >>> selector = GroupSelector(zone="a", rng=random.Random(0))
        >>> selector.select([]) is None
        True
        """
        local = [c for c in candidates if c.server.zone == self._zone]
        remote = [c for c in candidates if c.server.zone != self._zone]
        size = max(
            math.ceil(_DRAWS_PER_GROUP * len(local) / self._zone_node_count),
            _MIN_SAMPLE,
        )
        sample = self._draw(local, size) + self._draw(remote, max(size // 2, 2))
        if not sample:
            return None
        lowest_score_s = min(map(self._score_s, sample))
        best = [
            c for c in sample if self._score_s(c) <= lowest_score_s + _TIE_TOLERANCE_S
        ]
        return self._rng.choice(best)

    def _draw(self, candidates: list[Candidate], size: int) -> list[Candidate]:
        if size >= len(candidates):
            return candidates
        return self._rng.sample(candidates, size)

    def _score_s(self, candidate: Candidate) -> float:
        is_local = candidate.server.zone == self._zone
        return candidate.expected_delay_s + (0.0 if is_local else CROSS_ZONE_PENALTY_S)
