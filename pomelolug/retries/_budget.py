"""Retry budget: limits retries to a fraction of successful requests."""

import collections
from typing import NamedTuple

from pomelolug.clock import Clock
from pomelolug.ids import AccountId, PoolId, WorkClassName

__all__ = ["RetryBudget"]

_RESERVE_REFILL_PER_S = 0.01
_MAX_BUCKETS = 4096


class BudgetKey(NamedTuple):
    """Work class, account and pool that a budget applies to."""

    work_class: WorkClassName
    account: AccountId
    pool: PoolId


class _TokenBucket:
    """Token bucket; one token allows one retry."""

    __slots__ = ("refilled_at_s", "tokens")

    def __init__(self, tokens: float, refilled_at_s: float) -> None:
        self.tokens = tokens
        self.refilled_at_s = refilled_at_s


class RetryBudget:
    """Limits retries to a fraction of successes, per class, account and pool.

    A small reserve allows retries to callers with little traffic; it refills with
    time, independently of failures. Since the reserves of many classes and accounts
    add up, a second budget for the whole pool bounds their sum.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    ratio : float
        Number of retries earned by a successful request.
    reserve : float
        Number of retries available without any success.
    capacity : float
        Maximum number of retries that can accumulate.
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
        """Change the reserve and the capacity of all budgets."""
        self._reserve = reserve
        self._capacity = max(capacity, reserve)
        for bucket in self._buckets.values():
            bucket.tokens = min(bucket.tokens, self._capacity)

    def on_success(
        self, work_class: WorkClassName, account: AccountId, pool: PoolId
    ) -> None:
        """Credit the budget with a fraction of a retry for a successful request."""
        for bucket in self._buckets_for(work_class, account, pool):
            bucket.tokens = min(bucket.tokens + self._ratio, self._capacity)

    def try_spend(
        self, work_class: WorkClassName, account: AccountId, pool: PoolId
    ) -> bool:
        """Take one retry from the budget; return whether one was available."""
        buckets = self._buckets_for(work_class, account, pool)
        if any(bucket.tokens < 1.0 for bucket in buckets):
            return False
        for bucket in buckets:
            bucket.tokens -= 1.0
        return True

    def remaining(
        self, work_class: WorkClassName, account: AccountId, pool: PoolId
    ) -> float:
        """Return the number of retries that are left."""
        return min(
            bucket.tokens for bucket in self._buckets_for(work_class, account, pool)
        )

    def _buckets_for(
        self, work_class: WorkClassName, account: AccountId, pool: PoolId
    ) -> tuple[_TokenBucket, _TokenBucket]:
        """Return the bucket of the whole pool and that of the class and account."""
        pool_key = BudgetKey(WorkClassName(""), AccountId(""), pool)
        return self._refilled_bucket(pool_key), self._refilled_bucket(
            BudgetKey(work_class, account, pool)
        )

    def _refilled_bucket(self, key: BudgetKey) -> _TokenBucket:
        now_s = self._clock.monotonic()
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._buckets[key] = _TokenBucket(self._reserve, now_s)
            if len(self._buckets) > _MAX_BUCKETS:
                self._buckets.popitem(last=False)
            return bucket
        self._buckets.move_to_end(key)
        if bucket.tokens < self._reserve:
            refill = (now_s - bucket.refilled_at_s) * _RESERVE_REFILL_PER_S
            bucket.tokens = min(bucket.tokens + refill, self._reserve)
        bucket.refilled_at_s = now_s
        return bucket
