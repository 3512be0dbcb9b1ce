"""Limit on the retries of all nodes together."""

import types

import pytest

from pomelolug.entry.requests import RetryLimiter
from pomelolug.testing import LoopClock

RESERVE = 306.0
RATIO = 0.2


def context(account: str = "a"):
    return types.SimpleNamespace(
        route=types.SimpleNamespace(name="r"),
        account=account,
        service=types.SimpleNamespace(name="s"),
    )


def spend_retries(retry_limiter: RetryLimiter, *, answered: int) -> int:
    """Return the number of retries that one node gets in a burst."""
    for number in range(answered):
        retry_limiter.on_success(context(f"a{number % 10}"))
    return sum(retry_limiter.try_spend(context(f"a{n % 10}")) for n in range(1000))


@pytest.mark.parametrize("nodes", [1, 8, 76, 390])
@pytest.mark.parametrize("answered", [0, 500])
async def test_retries_of_all_nodes_stay_within_reserve_and_ratio(nodes, answered):
    # Guards against nodes that each spend a ninth of the reserve whatever their
    # number: 76 nodes made 1,071 retries in 10 s where 995 were allowed.
    total = 0
    for _ in range(nodes):
        retry_limiter = RetryLimiter(
            clock=LoopClock(),
            ratio=RATIO,
            reserve=RESERVE,
            node_count=9,
            on_denied=lambda: None,
        )
        retry_limiter.set_node_count(nodes)
        total += spend_retries(retry_limiter, answered=answered)
    assert total <= RESERVE + RATIO * answered * nodes
    assert total or nodes > RESERVE and not answered


async def test_share_of_the_reserve_shrinks_when_more_nodes_are_found():
    retry_limiter = RetryLimiter(
        clock=LoopClock(),
        ratio=RATIO,
        reserve=90.0,
        node_count=9,
        on_denied=lambda: None,
    )
    assert spend_retries(retry_limiter, answered=1000) == 10
    retry_limiter.set_node_count(45)
    assert spend_retries(retry_limiter, answered=1000) == 2
