"""Tests that no configuration is lost, reverted or accepted twice."""

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

TIMEOUT = datetime.timedelta(seconds=10)
KEYS = ("ada=" + "22" * 16, "bob=" + "33" * 16)


def document(model):
    return f"[pool draft]\nmodel = {model}\n"


class PublishHarness:
    """One log, one reader and two operators."""

    def __init__(self):
        self.clock, self.random = LoopClock(), random.Random(3)
        self.keyring = KeyRing.from_options((), KEYS)
        self.log = MemoryLog(clock=self.clock, random_state=self.random)
        self.reader = self.follower()
        self.fold = self.reader.fold
        self.appenders = [
            Appender(
                log=self.log,
                keyring=self.keyring,
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
            keyring=self.keyring,
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
async def running_harness():
    harness = PublishHarness()
    task = asyncio.create_task(harness.reader.run())
    try:
        yield harness
    finally:
        task.cancel()


async def follow_until(reader, offset):
    task = asyncio.create_task(reader.run())
    await reader.wait_for(offset, TIMEOUT)
    task.cancel()


async def test_one_of_two_concurrent_changes_wins_and_both_operators_know():
    async with running_harness() as harness:
        results = await asyncio.gather(
            harness.publish(document("m1"), -1, 0),
            harness.publish(document("m2"), -1, 1),
        )
    winner = next(r for r in results if r.accepted)
    assert sorted(r.accepted for r in results) == [False, True]
    assert {r.current for r in results} == {winner.offset}
    assert harness.fold.document == document("m1" if results[0].accepted else "m2")


async def test_stale_base_is_reported_without_an_append():
    async with running_harness() as harness:
        first = await harness.publish(document("m1"), -1)
        late = await harness.publish(document("m2"), -1)
        assert (late.accepted, late.offset, late.current) == (False, -1, first.offset)
    assert harness.log.appends == 1


async def test_invalid_document_is_not_appended():
    async with running_harness() as harness:
        with pytest.raises(ConfigurationError):
            await harness.publish("[pool draft]\n", -1)
    assert harness.log.appends == 0


@pytest.mark.parametrize("lost", [0.0, 0.5])
async def test_concurrent_changes_give_the_same_state_in_every_reader(lost):
    async with running_harness() as harness:
        harness.log.faults.answer_loss_rate = lost

        async def change(operator):
            accepted_versions = []
            for turn in range(12):
                text = document(f"m{operator}-{turn}")
                result = await harness.publish(text, harness.fold.version, operator)
                accepted_versions += [result.offset] * result.accepted
            return accepted_versions

        started = harness.clock.monotonic()
        accepted_versions = await asyncio.gather(change(0), change(1))
        assert lost or harness.clock.monotonic() - started < 16
        other = harness.follower()
        await follow_until(other, harness.reader.offset)
    versions = [entry.version for entry in harness.fold.history]
    assert versions == sorted(accepted_versions[0] + accepted_versions[1])
    assert len(versions) >= 12
    bases = [entry.base for entry in harness.fold.history]
    assert bases == [-1, *versions[:-1]]
    assert other.fold.dump() == harness.fold.dump()


async def test_version_never_decreases_under_concurrent_changes():
    seen = []
    async with running_harness() as harness:
        harness.reader.subscribe(lambda: seen.append(harness.fold.version))
        for turn in range(20):
            base = harness.fold.version
            await asyncio.gather(
                *(harness.publish(document(f"m{turn}{n}"), base, n) for n in (0, 1))
            )
    assert seen == sorted(seen)
    assert len(set(seen)) >= 20


async def test_invalid_document_on_the_log_changes_nothing():
    async with running_harness() as harness:
        first = await harness.publish(document("m1"), -1)
        change = ConfigurationChange(base_version=first.offset, document="[pool")
        offset = await harness.appenders[0].append(
            "config", RecordKind.CONFIGURATION, change
        )
        await harness.reader.wait_for(offset, TIMEOUT)
    assert harness.fold.version == first.offset
    assert harness.reader.refusals == {RefusalReason.VOID: 1}


async def test_change_without_an_append_answer_is_reported_as_unknown():
    async with running_harness() as harness:
        harness.log.faults.append_loss_rate = 1.0
        with pytest.raises(PlatformError) as exc_info:
            await harness.publish(document("m1"), -1)
    assert exc_info.value.code is ErrorCode.APPEND_UNKNOWN


async def test_dump_of_the_fold_restores_the_same_state():
    async with running_harness() as harness:
        for turn in range(3):
            await harness.publish(document(f"m{turn}"), harness.fold.version)
    copy = ConfigurationFold()
    copy.restore(harness.fold.dump())
    assert copy.current == harness.fold.current
    assert copy.history == harness.fold.history
    assert copy.dump() == harness.fold.dump()
