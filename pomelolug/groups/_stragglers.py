"""Detection of groups that are slower than the other groups of their pool."""

import statistics
from collections.abc import Iterable, Mapping

from pomelolug.groups._group import GroupPhase
from pomelolug.ids import GroupId
from pomelolug.messages import GroupStatus

__all__ = ["StragglerDetector"]

# With a single peer it is unknown which of the two groups is slow.
_MIN_PEERS = 2


class StragglerDetector:
    """Compares the step time of each group with the median of its peers.

    Peers are the other serving groups of its pool. Two thresholds and a minimum
    number of consecutive reports (hysteresis) keep small changes of load from
    changing the classification. `max_share` keeps a measurement error from
    marking a whole pool; with the default, a pool of three to nineteen groups has
    at most one straggler.

    Parameters
    ----------
    slow_ratio : float
        Multiple of the peers' median above which a report counts as slow.
    clear_ratio : float
        Multiple of the peers' median below which a straggler is cleared.
    min_slow_reports : int
        Consecutive slow reports that make a group a straggler.
    max_share : float
        Largest share of a pool that may be stragglers at once; one group is
        always allowed.

    Examples
    --------
    >>> detector = StragglerDetector()
    >>> detector.stragglers
    frozenset()
    """

    def __init__(
        self,
        *,
        slow_ratio: float = 1.5,
        clear_ratio: float = 1.2,
        min_slow_reports: int = 5,
        max_share: float = 0.1,
    ) -> None:
        self._slow_ratio = slow_ratio
        self._clear_ratio = clear_ratio
        self._min_slow_reports = min_slow_reports
        self._max_share = max_share
        self._slow_reports: dict[tuple[GroupId, int], int] = {}
        self._straggler_keys: set[tuple[GroupId, int]] = set()

    @property
    def stragglers(self) -> frozenset[GroupId]:
        """Groups that are currently stragglers."""
        return frozenset(group for group, _ in self._straggler_keys)

    def update(self, statuses: Iterable[GroupStatus]) -> frozenset[GroupId]:
        """Process one report of each group and return the stragglers.

        A group without a serving report that has a step time at this update loses
        its history, as does a group that ended or has a new token.
        """
        pools: dict[str, dict[tuple[GroupId, int], float]] = {}
        for status in statuses:
            if status.phase == GroupPhase.SERVING.value and status.step_time_s > 0:
                key = (GroupId(status.group), status.token)
                pools.setdefault(status.pool, {})[key] = status.step_time_s
        seen = {key for steps in pools.values() for key in steps}
        self._slow_reports = {k: n for k, n in self._slow_reports.items() if k in seen}
        self._straggler_keys &= seen
        for steps in pools.values():
            self._update_pool(steps)
        return self.stragglers

    def _update_pool(self, steps: Mapping[tuple[GroupId, int], float]) -> None:
        if len(steps) <= _MIN_PEERS:
            self._straggler_keys -= set(steps)
            return
        ratios = {key: _ratio_to_peers(key, steps) for key in steps}
        for key, ratio in ratios.items():
            count = self._slow_reports.get(key, 0)
            self._slow_reports[key] = count + 1 if ratio > self._slow_ratio else 0
            if ratio < self._clear_ratio:
                self._straggler_keys.discard(key)
        remaining = max(int(len(steps) * self._max_share), 1)
        remaining -= len(self._straggler_keys & set(steps))
        slow = [k for k in steps if self._slow_reports[k] >= self._min_slow_reports]
        slow = [key for key in slow if key not in self._straggler_keys]
        slow.sort(key=lambda key: (-ratios[key], key))
        self._straggler_keys.update(slow[: max(remaining, 0)])


def _ratio_to_peers(
    key: tuple[GroupId, int], steps: Mapping[tuple[GroupId, int], float]
) -> float:
    peers = [step for other, step in steps.items() if other != key]
    return steps[key] / statistics.median(peers)
