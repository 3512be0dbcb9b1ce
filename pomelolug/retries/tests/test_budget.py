"""Tests that retries stay bounded and that hedging respects its conditions."""

import datetime

import pytest

from pomelolug.retries import HedgePolicy, RetryBudget


class StepClock:
    def __init__(self):
        self.time = 0.0

    def monotonic(self):
        return self.time


def spend_all(budget, account="a"):
    count = 0
    while budget.try_spend("chat", account, "p"):
        count += 1
    return count


def test_retries_stay_below_a_tenth_of_successes_plus_the_reserve():
    budget = RetryBudget(clock=StepClock())
    retries = 0
    for _ in range(500):
        budget.on_success("chat", "a", "p")
        retries += budget.try_spend("chat", "a", "p")
    assert 40 <= retries <= 53


def test_retries_saved_up_by_successes_are_bounded():
    budget = RetryBudget(clock=StepClock())
    for _ in range(10_000):
        budget.on_success("chat", "a", "p")
    assert spend_all(budget) <= 10


def test_retries_during_an_outage_are_bounded():
    clock = StepClock()
    budget = RetryBudget(clock=clock)
    retries = 0
    for _ in range(1000):
        clock.time += 0.1
        retries += budget.try_spend("chat", "a", "p")
    assert retries <= 10


def test_reserves_of_many_accounts_do_not_add_up():
    budget = RetryBudget(clock=StepClock())
    assert sum(spend_all(budget, f"a{number}") for number in range(100)) <= 5


def test_one_account_cannot_spend_the_budget_of_another():
    budget = RetryBudget(clock=StepClock())
    for _ in range(500):
        budget.on_success("chat", "good", "p")
    assert spend_all(budget, "bad") <= 5


def test_number_of_budgets_is_bounded():
    budget = RetryBudget(clock=StepClock())
    for number in range(10_000):
        budget.on_success("chat", f"a{number}", "p")
    assert len(budget._buckets) <= 4097


@pytest.mark.parametrize(
    "change",
    [
        {"idempotent": False},
        {"has_token": True},
        {"copies": 2},
        {"free_slots": 0},
        {"elapsed": datetime.timedelta(seconds=0.5)},
    ],
)
def test_hedge_is_refused_unless_all_conditions_hold(change):
    policy = HedgePolicy()
    for _ in range(50):
        policy.on_first_token("chat", datetime.timedelta(seconds=1))
    fields = {
        "idempotent": True,
        "has_token": False,
        "copies": 1,
        "elapsed": datetime.timedelta(seconds=3),
        "free_slots": 2,
    }
    assert policy.may_hedge("chat", **fields)
    assert not policy.may_hedge("chat", **(fields | change))
    assert not policy.may_hedge("unknown", **fields)
