"""Detection of groups that are slower than their peers."""

import statistics
from collections.abc import Iterable, Mapping

from pomelolug.groups._group import GroupPhase
from pomelolug.ids import GroupId
from pomelolug.messages import GroupStatus

__all__ = ["StragglerDetector"]

_MIN_PEERS = 2


class StragglerDetector:
    """Compares the step time of each group with the median of its peers.

    Two thresholds and a count of reports keep a group from changing sides at
    every small change of load. The cap keeps a fault of the measurement from
    setting a whole pool aside; a pool of three to nineteen groups may set one
    aside.

    Parameters
    ----------
    ratio : float
        Multiple of the peers' median above which a report counts against.
    clear : float
        Multiple below which a straggler is cleared.
    reports : int
        Reports against a group in a row that make it a straggler.
    cap : float
        Part of a pool that may be set aside at once.

    Examples
    --------
    >>> detector = StragglerDetector()
    >>> detector.stragglers
    frozenset()
    """

    def __init__(
        self,
        *,
        ratio: float = 1.5,
        clear: float = 1.2,
        reports: int = 5,
        cap: float = 0.1,
    ) -> None:
        self._ratio = ratio
        self._clear = clear
        self._reports = reports
        self._cap = cap
        self._against: dict[tuple[GroupId, int], int] = {}
        self._set_aside: set[tuple[GroupId, int]] = set()

    @property
    def stragglers(self) -> frozenset[GroupId]:
        """Groups that are set aside."""
        return frozenset(group for group, _ in self._set_aside)

    def update(self, statuses: Iterable[GroupStatus]) -> frozenset[GroupId]:
        """Take one report of each group and return the stragglers.

        Reports without a step time say nothing; a group that ended or has a
        new token starts anew.
        """
        pools: dict[str, dict[tuple[GroupId, int], float]] = {}
        for status in statuses:
            if status.phase == GroupPhase.SERVING.value and status.step_time_s > 0:
                key = (GroupId(status.group), status.token)
                pools.setdefault(status.pool, {})[key] = status.step_time_s
        seen = {key for steps in pools.values() for key in steps}
        self._against = {k: n for k, n in self._against.items() if k in seen}
        self._set_aside &= seen
        for steps in pools.values():
            self._update_pool(steps)
        return self.stragglers

    def _update_pool(self, steps: Mapping[tuple[GroupId, int], float]) -> None:
        if len(steps) <= _MIN_PEERS:
            self._set_aside -= set(steps)
            return
        ratios = {key: _ratio_to_peers(key, steps) for key in steps}
        for key, ratio in ratios.items():
            count = self._against.get(key, 0)
            self._against[key] = count + 1 if ratio > self._ratio else 0
            if ratio < self._clear:
                self._set_aside.discard(key)
        room = max(int(len(steps) * self._cap), 1)
        room -= len(self._set_aside & set(steps))
        slow = [k for k in steps if self._against[k] >= self._reports]
        slow = [key for key in slow if key not in self._set_aside]
        slow.sort(key=lambda key: (-ratios[key], key))
        self._set_aside.update(slow[: max(room, 0)])


def _ratio_to_peers(
    key: tuple[GroupId, int], steps: Mapping[tuple[GroupId, int], float]
) -> float:
    peers = [step for other, step in steps.items() if other != key]
    return steps[key] / statistics.median(peers)
