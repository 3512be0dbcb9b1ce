"""Restart from a checkpoint against the replay of the whole stream."""

import asyncio
import datetime
import random
import time

from pomelolug.configuration import CONFIG_STREAM, ConfigurationFold
from pomelolug.experiments._state_baselines import Figure, on_virtual_time
from pomelolug.experiments._state_bench import declared_document
from pomelolug.ids import Offset
from pomelolug.messages import ConfigurationChange, Message
from pomelolug.state import (
    KeyRing,
    ReaderState,
    RecordKind,
    StreamReader,
    encode_record,
)
from pomelolug.testing import LoopClock, MemoryLog

__all__ = ["restart_figures"]

_RECORDS = 2600
_AFTER_CHECKPOINT = 1000
_NONCE_BYTES = 16
_TIMEOUT = datetime.timedelta(seconds=60)


class _Stream:
    """A day of changes, and a reader that has applied them."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._clock = LoopClock()
        self._ring = KeyRing.from_options(("n=" + "11" * 32,), ("o=" + "22" * 32,))
        self.log = MemoryLog(clock=self._clock, random_state=self._random)

    def put(self, message: Message, kind: RecordKind, author: str) -> None:
        data = encode_record(
            stream=CONFIG_STREAM,
            kind=kind,
            author=author,
            nonce=self._random.randbytes(_NONCE_BYTES),
            message=message,
            keyring=self._ring,
        )
        self.log.put(CONFIG_STREAM, data)

    def put_changes(self, first: int, count: int, base: int) -> None:
        for number in range(first, first + count):
            change = ConfigurationChange(
                base_version=base, document=declared_document(number)
            )
            base = number
            self.put(change, RecordKind.CONFIGURATION, "operator:o")

    async def follow(self) -> StreamReader:
        """Return a new reader once it has caught up."""
        reader = StreamReader(
            log=self.log,
            stream=CONFIG_STREAM,
            fold=ConfigurationFold(),
            keyring=self._ring,
            clock=self._clock,
            random_state=self._random,
        )
        task = asyncio.create_task(reader.run())
        following = ReaderState.FOLLOWING
        await reader.wait_until(lambda: reader.state is following, _TIMEOUT)
        task.cancel()
        return reader


def restart_figures(random_state: int) -> list[Figure]:
    """Return the VM's time and the reads of both kinds of start."""
    return on_virtual_time(lambda: _restart_figures(random_state))


async def _restart_figures(seed: int) -> list[Figure]:
    stream = _Stream(seed)
    covered = _RECORDS - _AFTER_CHECKPOINT
    stream.put_changes(0, covered, -1)
    writer = await stream.follow()
    stream.put(writer.checkpoint(), RecordKind.CHECKPOINT, "node:n")
    stream.put_changes(covered + 1, _AFTER_CHECKPOINT - 1, covered - 1)
    whole, figures = await _timed(stream, "whole replay of 2,600 records")
    stream.log.expire_before(CONFIG_STREAM, Offset(1))
    restored, more = await _timed(stream, "checkpoint and 1,000 records")
    if whole.fold.dump() != restored.fold.dump():
        raise RuntimeError("the two starts have different states")
    stream.put(restored.checkpoint(), RecordKind.CHECKPOINT, "node:n")
    _, last = await _timed(stream, "checkpoint alone")
    size = sum(len(record.data) for record in stream.log.records(CONFIG_STREAM))
    return [
        *figures,
        *more,
        *last,
        Figure(name="size of the stream", unit="bytes", value=size),
    ]


async def _timed(stream: _Stream, name: str) -> tuple[StreamReader, list[Figure]]:
    reads, began = stream.log.reads, time.perf_counter()
    reader = await stream.follow()
    took = time.perf_counter() - began
    return reader, [
        Figure(name=f"{name}: time", unit="s", value=round(took, 4)),
        Figure(name=f"{name}: reads", unit="reads", value=stream.log.reads - reads),
    ]
