"""Tests that nodes agree on the configuration after simultaneous faults."""

import asyncio
import contextlib
import datetime
import random

import pytest

from pomelolug.configuration import ConfigurationFold, publish
from pomelolug.errors import PomelolugError
from pomelolug.ids import NodeId
from pomelolug.state import (
    Appender,
    CheckpointPublisher,
    KeyRing,
    ReaderState,
    RefusalReason,
    StreamReader,
)
from pomelolug.testing import LoopClock, MemoryLog

pytestmark = pytest.mark.looptime

NODES = tuple(NodeId(name) for name in "abcde")
RETENTION = datetime.timedelta(minutes=5)
DURATION_S = 900


class Fleet:
    """Nodes that restart, an operator with concurrent changes, and a faulty log."""

    def __init__(self, seed):
        self.clock, self.random = LoopClock(), random.Random(seed)
        self.keyring = KeyRing.from_options(("k=" + "11" * 16,), ("ada=" + "22" * 16,))
        self.log = MemoryLog(
            clock=self.clock, random_state=self.random, retention=RETENTION
        )
        self.readers, self.tasks = {}, {}
        self.accepted_versions = []
        self.mismatches = self.decreases = 0

    def appender(self, author):
        return Appender(
            log=self.log,
            keyring=self.keyring,
            author=author,
            clock=self.clock,
            random_state=self.random,
        )

    def start(self, node):
        reader = StreamReader(
            log=self.log,
            stream="config",
            fold=ConfigurationFold(),
            keyring=self.keyring,
            clock=self.clock,
            random_state=self.random,
            author=f"node:{node}",
        )
        publisher = CheckpointPublisher(
            reader=reader,
            appender=self.appender(f"node:{node}"),
            clock=self.clock,
            random_state=self.random,
            retention=RETENTION,
            node=node,
            live_nodes=lambda: NODES,
            records_per_checkpoint=10,
        )
        versions = []

        def record_version():
            versions.append(reader.fold.version)
            self.decreases += versions[-2:] != sorted(versions[-2:])

        reader.subscribe(record_version)
        self.readers[node] = reader
        self.tasks[node] = [
            asyncio.create_task(part.run()) for part in (reader, publisher)
        ]

    def stop(self, node):
        self.mismatches += self.readers[node].refusals.get(
            RefusalReason.CHECKPOINT_MISMATCH, 0
        )
        for task in self.tasks[node]:
            task.cancel()

    async def change(self, number):
        reader = self.readers[self.random.choice(NODES)]
        with contextlib.suppress(PomelolugError, TimeoutError):
            result = await publish(
                f"[pool p]\nmodel = m{number}\n",
                base=reader.fold.version,
                appender=self.appender("operator:ada"),
                reader=reader,
                fold=reader.fold,
            )
            self.accepted_versions += [result.offset] * result.accepted

    async def inject_faults(self):
        faults = self.log.faults
        faults.answer_loss_rate = self.random.choice((0.0, 0.3))
        faults.append_loss_rate = self.random.choice((0.0, 0.0, 0.2))
        faults.down = self.random.random() < 0.2
        faults.silent = self.random.random() < 0.1
        faults.apply_delay = datetime.timedelta(seconds=self.random.choice((0, 3)))
        if self.random.random() < 0.3:
            node = self.random.choice(NODES)
            self.stop(node)
            self.start(node)
        changes = (self.change(self.random.randrange(10**6)) for _ in range(2))
        await asyncio.gather(*changes, asyncio.sleep(self.random.uniform(1, 40)))


@pytest.mark.parametrize("seed", [1, 2])
async def test_nodes_agree_after_simultaneous_faults(seed):
    fleet = Fleet(seed)
    for node in NODES:
        fleet.start(node)
    while fleet.clock.monotonic() < DURATION_S:
        await fleet.inject_faults()
    faults = fleet.log.faults
    faults.down = faults.silent = False
    faults.answer_loss_rate = faults.append_loss_rate = 0.0
    await asyncio.sleep(120)
    states = {reader.state for reader in fleet.readers.values()}
    dumps = {reader.fold.dump() for reader in fleet.readers.values()}
    versions = [e.version for e in fleet.readers["a"].fold.history]
    for node in NODES:
        fleet.stop(node)
    assert states == {ReaderState.FOLLOWING}
    assert len(dumps) == 1
    assert (fleet.mismatches, fleet.decreases) == (0, 0)
    assert len(fleet.accepted_versions) == len(set(fleet.accepted_versions)) > 10
    assert [v for v in fleet.accepted_versions if v >= versions[0]] == [
        v for v in versions if v in fleet.accepted_versions
    ]
