"""Test harness with readers, appenders and an in-memory log on a virtual clock."""

import asyncio
import contextlib
import datetime
import random

import cbor2

from pomelolug.errors import ErrorCode
from pomelolug.ids import Offset
from pomelolug.messages import RecordsRequest, decode
from pomelolug.state import (
    Appender,
    Fold,
    KeyRing,
    RecordKind,
    StreamReader,
    VoidRecordError,
    encode_record,
)
from pomelolug.testing import MemoryLog

STREAM = "groups"
NODE_KEY = "k1=" + "11" * 32
OPERATOR_KEY = "ada=" + "22" * 32
SECONDS = datetime.timedelta(seconds=1)


class NumbersFold(Fold):
    """Stores the numbers in its records; a record with a negative one is void."""

    def __init__(self):
        self.numbers = []

    def apply(self, record):
        number = decode(record.body, RecordsRequest).from_offset
        if number < 0:
            raise VoidRecordError(ErrorCode.BAD_REQUEST, "negative")
        if number == 666:
            raise ZeroDivisionError("error in the fold")
        self.numbers.append(number)

    def dump(self):
        return cbor2.dumps(self.numbers)

    def restore(self, data):
        self.numbers = list(cbor2.loads(data))


class StateHarness:
    def __init__(self, *, clock, random_state, **log_options):
        self.clock = clock
        self.random = random_state
        self.keyring = KeyRing.from_options((NODE_KEY,), (OPERATOR_KEY,))
        self.log = MemoryLog(
            clock=clock,
            random_state=random.Random(random_state.random()),
            **log_options,
        )
        self._serial = 0

    def appender(self, author="node:a", **options):
        return Appender(
            log=self.log,
            keyring=self.keyring,
            author=author,
            clock=self.clock,
            random_state=self.random,
            **options,
        )

    def reader(self, **options):
        options = {"author": "node:a", "random_state": self.random, **options}
        return StreamReader(
            log=self.log,
            stream=STREAM,
            fold=NumbersFold(),
            keyring=self.keyring,
            clock=self.clock,
            **options,
        )

    def record(self, number, **options):
        self._serial += 1
        given = {
            "stream": STREAM,
            "kind": RecordKind.FORMATION,
            "author": "node:a",
            "nonce": self._serial.to_bytes(16, "big"),
            "message": RecordsRequest(stream="", from_offset=number),
            "keyring": self.keyring,
        }
        return encode_record(**{**given, **options})

    def put(self, *numbers):
        return [self.log.put(STREAM, self.record(number)) for number in numbers]

    def put_checkpoint(self, reader, **options):
        options = {
            "kind": RecordKind.CHECKPOINT,
            "message": reader.checkpoint(),
        } | options
        return self.log.put(STREAM, self.record(0, **options))


@contextlib.asynccontextmanager
async def running(*tasks):
    started = [asyncio.create_task(task.run()) for task in tasks]
    try:
        yield
    finally:
        for task in started:
            task.cancel()
        await asyncio.gather(*started, return_exceptions=True)


async def wait_for_state(reader, state, seconds=30):
    await reader.wait_until(lambda: reader.state is state, seconds * SECONDS)


async def wait_for_offset(reader, offset, seconds=30):
    await reader.wait_for(Offset(offset), seconds * SECONDS)
