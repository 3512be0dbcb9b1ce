"""Guards against lost, reverted or doubly accepted configurations."""

import asyncio
import contextlib
import datetime
import random

import pytest

from pomelolug.configuration import ConfigurationFold, publish
from pomelolug.errors import ConfigurationError, ErrorCode, PlatformError
from pomelolug.messages import ConfigurationChange
from pomelolug.state import (
    Appender,
    KeyRing,
    RecordKind,
    RefusalReason,
    StreamReader,
)
from pomelolug.testing import LoopClock, MemoryLog

pytestmark = pytest.mark.looptime

SECONDS = datetime.timedelta(seconds=10)
KEYS = ("ada=" + "22" * 16, "bob=" + "33" * 16)


def document(model):
    return f"[pool draft]\nmodel = {model}\n"


class Site:
    """One log, one reader and two operators."""

    def __init__(self):
        self.clock, self.random = LoopClock(), random.Random(3)
        self.ring = KeyRing.from_options((), KEYS)
        self.log = MemoryLog(clock=self.clock, random_state=self.random)
        self.reader = self.follower()
        self.fold = self.reader.fold
        self.appenders = [
            Appender(
                log=self.log,
                keyring=self.ring,
                author=f"operator:{name}",
                clock=self.clock,
                random_state=self.random,
            )
            for name in ("ada", "bob")
        ]

    def follower(self):
        return StreamReader(
            log=self.log,
            stream="config",
            fold=ConfigurationFold(),
            keyring=self.ring,
            clock=self.clock,
            random_state=self.random,
        )

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


async def followed(reader, offset):
    task = asyncio.create_task(reader.run())
    await reader.wait_for(offset, SECONDS)
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


async def test_stale_base_is_told_without_an_append():
    async with running_site() as site:
        first = await site.publish(document("m1"), -1)
        late = await site.publish(document("m2"), -1)
        assert (late.won, late.offset, late.current) == (False, -1, first.offset)
    assert site.log.appends == 1


async def test_faulty_document_is_not_appended():
    async with running_site() as site:
        with pytest.raises(ConfigurationError):
            await site.publish("[pool draft]\n", -1)
    assert site.log.appends == 0


@pytest.mark.parametrize("lost", [0.0, 0.5])
async def test_bursts_of_racing_changes_fold_the_same_everywhere(lost):
    async with running_site() as site:
        site.log.faults.lose_answers = lost

        async def change(operator):
            won = []
            for turn in range(12):
                text = document(f"m{operator}-{turn}")
                result = await site.publish(text, site.fold.version, operator)
                won += [result.offset] * result.won
            return won

        started = site.clock.monotonic()
        wins = await asyncio.gather(change(0), change(1))
        assert lost or site.clock.monotonic() - started < 16
        other = site.follower()
        await followed(other, site.reader.offset)
    versions = [entry.version for entry in site.fold.entries]
    assert versions == sorted(wins[0] + wins[1])
    assert len(versions) >= 12
    bases = [entry.base for entry in site.fold.entries]
    assert bases == [-1, *versions[:-1]]
    assert other.fold.dump() == site.fold.dump()


async def test_version_never_reverts_while_changes_race():
    seen = []
    async with running_site() as site:
        site.reader.subscribe(lambda: seen.append(site.fold.version))
        for turn in range(20):
            base = site.fold.version
            await asyncio.gather(
                *(site.publish(document(f"m{turn}{n}"), base, n) for n in (0, 1))
            )
    assert seen == sorted(seen)
    assert len(set(seen)) >= 20


async def test_invalid_document_on_the_log_changes_nothing():
    async with running_site() as site:
        first = await site.publish(document("m1"), -1)
        change = ConfigurationChange(base_version=first.offset, document="[pool")
        offset = await site.appenders[0].append(
            "config", RecordKind.CONFIGURATION, change
        )
        await site.reader.wait_for(offset, SECONDS)
    assert site.fold.version == first.offset
    assert site.reader.refusals == {RefusalReason.VOID: 1}


async def test_publication_without_an_answer_is_reported_as_unknown():
    async with running_site() as site:
        site.log.faults.drop_appends = 1.0
        with pytest.raises(PlatformError) as caught:
            await site.publish(document("m1"), -1)
    assert caught.value.code is ErrorCode.APPEND_UNKNOWN


async def test_dump_of_the_fold_restores_the_same_state():
    async with running_site() as site:
        for turn in range(3):
            await site.publish(document(f"m{turn}"), site.fold.version)
    copy = ConfigurationFold()
    copy.restore(site.fold.dump())
    assert copy.current == site.fold.current
    assert copy.entries == site.fold.entries
    assert copy.dump() == site.fold.dump()
