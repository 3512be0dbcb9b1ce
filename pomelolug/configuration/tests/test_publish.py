"""Guards against lost, reverted or doubly accepted configurations."""

import asyncio
import contextlib
import random

import pytest

from pomelolug.configuration import ConfigurationFold, publish
from pomelolug.state import Appender, KeyRing, StreamReader
from pomelolug.testing import LoopClock, MemoryLog

pytestmark = pytest.mark.looptime

KEYS = ("ada=" + "22" * 16, "bob=" + "33" * 16)


def document(model):
    return f"[pool draft]\nmodel = {model}\n"


class Site:
    """One log, one reader and two operators."""

    def __init__(self):
        clock, seeded = LoopClock(), random.Random(3)
        ring = KeyRing.from_options((), KEYS)
        self.log = MemoryLog(clock=clock, random_state=seeded)
        self.fold = ConfigurationFold()
        self.reader = StreamReader(
            log=self.log,
            stream="config",
            fold=self.fold,
            keyring=ring,
            clock=clock,
            random_state=seeded,
        )
        self.appenders = [
            Appender(
                log=self.log,
                keyring=ring,
                author=f"operator:{name}",
                clock=clock,
                random_state=seeded,
            )
            for name in ("ada", "bob")
        ]

    async def publish(self, text, base, operator=0):
        return await publish(
            text,
            base=base,
            appender=self.appenders[operator],
            reader=self.reader,
            fold=self.fold,
        )


@contextlib.asynccontextmanager
async def running_site():
    site = Site()
    task = asyncio.create_task(site.reader.run())
    try:
        yield site
    finally:
        task.cancel()


async def test_of_two_racing_operators_exactly_one_wins_and_both_know():
    async with running_site() as site:
        results = await asyncio.gather(
            site.publish(document("m1"), -1, 0), site.publish(document("m2"), -1, 1)
        )
    winner = next(r for r in results if r.won)
    assert sorted(r.won for r in results) == [False, True]
    assert {r.current for r in results} == {winner.offset}
    assert site.fold.text == document("m1" if results[0].won else "m2")
