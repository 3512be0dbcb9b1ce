"""Cost of a restart from a checkpoint and of a replay of the whole stream."""

import asyncio
import datetime
import random
import time

from pomelolug.configuration import CONFIG_STREAM, ConfigurationFold
from pomelolug.experiments._state_baselines import Measurement, run_on_virtual_time
from pomelolug.experiments._state_bench import make_document
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

__all__ = ["measure_restart"]

_TOTAL_RECORDS = 2600
_RECORDS_AFTER_CHECKPOINT = 1000
_NONCE_BYTES = 16
_TIMEOUT = datetime.timedelta(seconds=60)


class _ChangeStream:
    """Configuration stream with a day of changes, for new readers to follow."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._clock = LoopClock()
        self._keyring = KeyRing.from_options(("n=" + "11" * 32,), ("o=" + "22" * 32,))
        self.log = MemoryLog(clock=self._clock, random_state=self._rng)

    def append(self, message: Message, kind: RecordKind, author: str) -> None:
        data = encode_record(
            stream=CONFIG_STREAM,
            kind=kind,
            author=author,
            nonce=self._rng.randbytes(_NONCE_BYTES),
            message=message,
            keyring=self._keyring,
        )
        self.log.put(CONFIG_STREAM, data)

    def append_changes(self, first: int, count: int, base_version: int) -> None:
        for number in range(first, first + count):
            change = ConfigurationChange(
                base_version=base_version, document=make_document(number)
            )
            base_version = number
            self.append(change, RecordKind.CONFIGURATION, "operator:o")

    async def start_reader(self) -> StreamReader:
        """Start a reader and return it once it has caught up."""
        reader = StreamReader(
            log=self.log,
            stream=CONFIG_STREAM,
            fold=ConfigurationFold(),
            keyring=self._keyring,
            clock=self._clock,
            random_state=self._rng,
        )
        task = asyncio.create_task(reader.run())
        following = ReaderState.FOLLOWING
        await reader.wait_until(lambda: reader.state is following, _TIMEOUT)
        task.cancel()
        return reader


def measure_restart(random_state: int) -> list[Measurement]:
    """Return real time and log reads of a start with and without checkpoint."""
    return run_on_virtual_time(lambda: _measure_restart(random_state))


async def _measure_restart(seed: int) -> list[Measurement]:
    stream = _ChangeStream(seed)
    checkpointed = _TOTAL_RECORDS - _RECORDS_AFTER_CHECKPOINT
    stream.append_changes(0, checkpointed, -1)
    writer = await stream.start_reader()
    stream.append(writer.checkpoint(), RecordKind.CHECKPOINT, "node:n")
    stream.append_changes(
        checkpointed + 1, _RECORDS_AFTER_CHECKPOINT - 1, checkpointed - 1
    )
    replayed, replay_measurements = await _measure_start(
        stream, "whole replay of 2,600 records"
    )
    stream.log.expire_before(CONFIG_STREAM, Offset(1))
    restored, tail_measurements = await _measure_start(
        stream, "checkpoint and 1,000 records"
    )
    if replayed.fold.dump() != restored.fold.dump():
        raise RuntimeError(
            "the state restored from the checkpoint differs from the replayed state"
        )
    stream.append(restored.checkpoint(), RecordKind.CHECKPOINT, "node:n")
    _, checkpoint_measurements = await _measure_start(stream, "checkpoint alone")
    size_bytes = sum(len(record.data) for record in stream.log.records(CONFIG_STREAM))
    return [
        *replay_measurements,
        *tail_measurements,
        *checkpoint_measurements,
        Measurement(name="size of the stream", unit="bytes", value=size_bytes),
    ]


async def _measure_start(
    stream: _ChangeStream, name: str
) -> tuple[StreamReader, list[Measurement]]:
    reads_before, started_s = stream.log.reads, time.perf_counter()
    reader = await stream.start_reader()
    elapsed_s = time.perf_counter() - started_s
    return reader, [
        Measurement(name=f"{name}: time", unit="s", value=round(elapsed_s, 4)),
        Measurement(
            name=f"{name}: reads", unit="reads", value=stream.log.reads - reads_before
        ),
    ]
