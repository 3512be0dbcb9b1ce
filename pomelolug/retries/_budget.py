"""Retry budget: retries as a part of successes."""

import collections
from typing import NamedTuple

from pomelolug.clock import Clock
from pomelolug.ids import AccountId, PoolId, WorkClassName

__all__ = ["RetryBudget"]

_RESERVE_PER_S = 0.01
_MOST_BUDGETS = 4096


class BudgetKey(NamedTuple):
    """What a budget belongs to."""

    work_class: WorkClassName
    account: AccountId
    pool: PoolId


class _Bucket:
    """Retries left and when the reserve was last refilled."""

    __slots__ = ("at", "left")

    def __init__(self, left: float, at: float) -> None:
        self.left = left
        self.at = at


class RetryBudget:
    """Bounds retries to a part of the successes, for each class, account and pool.

    A small reserve lets a caller with little traffic retry at all; it refills
    with time and not with failures. The reserves of many classes and accounts
    add up, so a second budget for the whole pool bounds their sum.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    ratio : float
        Retries that one success earns.
    reserve : float
        Retries that are available without any success.
    most : float
        Retries that can be saved up.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        ratio: float = 0.1,
        reserve: float = 3.0,
        most: float = 10.0,
    ) -> None:
        self._clock = clock
        self._ratio = ratio
        self._reserve = reserve
        self._most = max(most, reserve)
        self._buckets: collections.OrderedDict[BudgetKey, _Bucket] = (
            collections.OrderedDict()
        )

    def resize(self, *, reserve: float, most: float) -> None:
        """Change the reserve and the retries that can be saved up."""
        self._reserve = reserve
        self._most = max(most, reserve)
        for bucket in self._buckets.values():
            bucket.left = min(bucket.left, self._most)

    def on_success(
        self, work_class: WorkClassName, account: AccountId, pool: PoolId
    ) -> None:
        """Earn a part of a retry for a request that succeeded."""
        for bucket in self._both(work_class, account, pool):
            bucket.left = min(bucket.left + self._ratio, self._most)

    def try_spend(
        self, work_class: WorkClassName, account: AccountId, pool: PoolId
    ) -> bool:
        """Take one retry from the budget; return whether there was one."""
        buckets = self._both(work_class, account, pool)
        if any(bucket.left < 1.0 for bucket in buckets):
            return False
        for bucket in buckets:
            bucket.left -= 1.0
        return True

    def left(
        self, work_class: WorkClassName, account: AccountId, pool: PoolId
    ) -> float:
        """Return the retries that are left."""
        return min(bucket.left for bucket in self._both(work_class, account, pool))

    def _both(
        self, work_class: WorkClassName, account: AccountId, pool: PoolId
    ) -> tuple[_Bucket, _Bucket]:
        """Return the budget of the whole pool and that of the class and account."""
        whole = BudgetKey(WorkClassName(""), AccountId(""), pool)
        return self._bucket(whole), self._bucket(BudgetKey(work_class, account, pool))

    def _bucket(self, key: BudgetKey) -> _Bucket:
        now = self._clock.monotonic()
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._buckets[key] = _Bucket(self._reserve, now)
            if len(self._buckets) > _MOST_BUDGETS:
                self._buckets.popitem(last=False)
            return bucket
        self._buckets.move_to_end(key)
        if bucket.left < self._reserve:
            refill = (now - bucket.at) * _RESERVE_PER_S
            bucket.left = min(bucket.left + refill, self._reserve)
        bucket.at = now
        return bucket
