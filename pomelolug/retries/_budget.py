"""Retry budget: retries as a part of successes."""

import collections
from typing import NamedTuple

from pomelolug.clock import Clock
from pomelolug.ids import AccountId, ClassName, PoolId

__all__ = ["RetryBudget"]

_RESERVE_REFILL_PER_S = 0.01
_MAX_BUCKETS = 4096


class BudgetKey(NamedTuple):
    """What a budget belongs to."""

    work_class: ClassName
    account: AccountId
    pool: PoolId


class _TokenBucket:
    """Retries left and when the reserve was last refilled."""

    __slots__ = ("refilled_at", "tokens")

    def __init__(self, tokens: float, refilled_at: float) -> None:
        self.tokens = tokens
        self.refilled_at = refilled_at


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
    capacity : float
        Retries that can be saved up.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        ratio: float = 0.1,
        reserve: float = 3.0,
        capacity: float = 10.0,
    ) -> None:
        self._clock = clock
        self._ratio = ratio
        self._reserve = reserve
        self._capacity = max(capacity, reserve)
        self._buckets: collections.OrderedDict[BudgetKey, _TokenBucket] = (
            collections.OrderedDict()
        )

    def resize(self, *, reserve: float, capacity: float) -> None:
        """Change the reserve and the retries that can be saved up."""
        self._reserve = reserve
        self._capacity = max(capacity, reserve)
        for bucket in self._buckets.values():
            bucket.tokens = min(bucket.tokens, self._capacity)

    def on_success(
        self, work_class: ClassName, account: AccountId, pool: PoolId
    ) -> None:
        """Earn a part of a retry for a request that succeeded."""
        for bucket in self._buckets_for(work_class, account, pool):
            bucket.tokens = min(bucket.tokens + self._ratio, self._capacity)

    def try_spend(
        self, work_class: ClassName, account: AccountId, pool: PoolId
    ) -> bool:
        """Take one retry from the budget; return whether there was one."""
        buckets = self._buckets_for(work_class, account, pool)
        if any(bucket.tokens < 1.0 for bucket in buckets):
            return False
        for bucket in buckets:
            bucket.tokens -= 1.0
        return True

    def remaining(
        self, work_class: ClassName, account: AccountId, pool: PoolId
    ) -> float:
        """Return the retries that are left."""
        return min(
            bucket.tokens for bucket in self._buckets_for(work_class, account, pool)
        )

    def _buckets_for(
        self, work_class: ClassName, account: AccountId, pool: PoolId
    ) -> tuple[_TokenBucket, _TokenBucket]:
        """Return the budget of the whole pool and that of the class and account."""
        pool_key = BudgetKey(ClassName(""), AccountId(""), pool)
        return self._refilled_bucket(pool_key), self._refilled_bucket(
            BudgetKey(work_class, account, pool)
        )

    def _refilled_bucket(self, key: BudgetKey) -> _TokenBucket:
        now = self._clock.monotonic()
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._buckets[key] = _TokenBucket(self._reserve, now)
            if len(self._buckets) > _MAX_BUCKETS:
                self._buckets.popitem(last=False)
            return bucket
        self._buckets.move_to_end(key)
        if bucket.tokens < self._reserve:
            refill = (now - bucket.refilled_at) * _RESERVE_REFILL_PER_S
            bucket.tokens = min(bucket.tokens + refill, self._reserve)
        bucket.refilled_at = now
        return bucket
