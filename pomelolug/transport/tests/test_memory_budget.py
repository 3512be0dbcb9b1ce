"""Tests of the bound of the bytes held for connections."""

import random

import pytest

from pomelolug.transport import MemoryBudget

KIB = 1024
MIB = 1024 * KIB


def fill(budget, count):
    """Reserve holdings of a size until one is refused; return their number."""
    number = 0
    while budget.try_reserve(count):
        number += 1
        assert number < 100_000
    return number


def test_small_requests_find_room_beside_large_ones():
    # Guards against large bodies that take the memory of all small requests.
    budget = MemoryBudget(100 * MIB)
    assert fill(budget, 5 * MIB) == 15
    assert fill(budget, 10 * KIB) == 25 * MIB // (10 * KIB)


def test_large_requests_find_room_beside_small_ones():
    # Guards against many small requests that take the memory of all large ones.
    budget = MemoryBudget(100 * MIB)
    assert fill(budget, 10 * KIB) == 75 * MIB // (10 * KIB)
    assert fill(budget, 5 * MIB) == 5


def test_small_requests_find_room_beside_bytes_that_were_not_refused():
    # Guards against refusing all requests while answers wait for slow callers.
    budget = MemoryBudget(100 * MIB)
    for _ in range(10):
        budget.open_account().add(16 * MIB)
    assert not budget.try_reserve(1 * MIB)
    assert budget.try_reserve(10 * KIB)


def test_one_connection_holds_a_part_only():
    # Guards against one caller that takes the memory of all others.
    budget = MemoryBudget(100 * MIB)
    account = budget.open_account()
    assert account.try_reserve(25 * MIB)
    assert not account.try_reserve(1)
    assert budget.open_account().try_reserve(25 * MIB)


def test_account_that_grows_counts_as_large():
    # Guards against a large body that arrives in small parts and counts as small.
    budget = MemoryBudget(1 * MIB)
    accounts = [budget.open_account() for _ in range(40)]
    while any([account.try_reserve(10 * KIB) for account in accounts]):
        pass
    large = sum(a.held_bytes for a in accounts if a.held_bytes > 64 * KIB)
    assert large <= 768 * KIB
    assert budget.held_bytes <= 1 * MIB


@pytest.mark.parametrize("seed", range(5))
def test_total_is_never_exceeded_and_everything_returns(seed):
    # Guards against bytes that are lost from the count, or counted twice.
    rng = random.Random(seed)
    budget = MemoryBudget(10 * MIB)
    accounts = [budget.open_account() for _ in range(50)]
    for _ in range(20_000):
        account = rng.choice(accounts)
        if rng.random() < 0.6:
            account.try_reserve(rng.choice((100, 20 * KIB, 300 * KIB)))
        else:
            account.release(rng.randint(0, account.held_bytes))
        assert budget.held_bytes == sum(a.held_bytes for a in accounts)
        assert budget.held_bytes <= 10 * MIB
    for account in accounts:
        account.release(account.held_bytes)
    assert budget.held_bytes == 0


def test_without_a_limit_nothing_is_refused():
    # Guards against refusals where the settings state no limit.
    budget = MemoryBudget.for_process(None)
    assert budget.open_account().try_reserve(10**12)
    assert budget.connection_limit is None
