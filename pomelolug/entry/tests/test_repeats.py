"""The budget of repeats that all nodes share."""

import types

import pytest

from pomelolug.entry._repeats import Repeats
from pomelolug.testing import LoopClock

RESERVE = 306.0
RATIO = 0.2


def call(account: str = "a"):
    return types.SimpleNamespace(
        route=types.SimpleNamespace(name="r"),
        account=account,
        service=types.SimpleNamespace(name="s"),
    )


def spent(repeats: Repeats, *, answered: int) -> int:
    """Return the repeats that one node takes in a burst."""
    for number in range(answered):
        repeats.answered(call(f"a{number % 10}"))
    return sum(repeats.allow(call(f"a{n % 10}")) for n in range(1000))


@pytest.mark.parametrize("nodes", [1, 8, 76, 390])
@pytest.mark.parametrize("answered", [0, 500])
async def test_nodes_together_stay_within_reserve_and_ratio(nodes, answered):
    # Guards against nodes that each spend the part of a ninth of the reserve: 76
    # of them made 1,071 repeats in 10 s where 995 were allowed.
    total = 0
    for _ in range(nodes):
        repeats = Repeats(
            clock=LoopClock(),
            ratio=RATIO,
            reserve=RESERVE,
            nodes=9,
            on_denied=lambda: None,
        )
        repeats.share_among(nodes)
        total += spent(repeats, answered=answered)
    assert total <= RESERVE + RATIO * answered * nodes
    assert total or nodes > RESERVE and not answered


async def test_part_shrinks_when_more_nodes_are_found():
    repeats = Repeats(
        clock=LoopClock(), ratio=RATIO, reserve=90.0, nodes=9, on_denied=lambda: None
    )
    assert spent(repeats, answered=1000) == 10
    repeats.share_among(45)
    assert spent(repeats, answered=1000) == 2
