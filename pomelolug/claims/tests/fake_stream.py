"""Fake log stream with faults, and relays that use it."""

import asyncio
import datetime
import random

from pomelolug.claims import ClaimRelay, ClaimsFold
from pomelolug.errors import ErrorCode, PlatformError
from pomelolug.ids import Offset
from pomelolug.messages import Claim, encode
from pomelolug.state import Record, RecordKind, VoidRecordError
from pomelolug.testing import LoopClock

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
BATCH_DELAY = datetime.timedelta(milliseconds=20)


def record(offset, batch, *, seconds=0.0, kind=RecordKind.CLAIMS):
    body = batch if isinstance(batch, bytes) else encode(batch)
    return Record(
        offset=Offset(offset),
        timestamp=START + datetime.timedelta(seconds=seconds),
        kind=kind,
        author="node:n",
        nonce=b"%d" % offset,
        body=body,
    )


def claim(key=b"k" * 32, body=b"b" * 32, nonce=b"1", node="a", incarnation=1 << 16):
    return Claim(key=key, body=body, node=node, incarnation=incarnation, nonce=nonce)


class FakeStream:
    """Stream of the log; `mode` selects the fault of the following appends."""

    def __init__(self, *, append_delay=0.005, read_delay=0.005):
        self.records = []
        self.folds = []
        self.mode = "ok"
        self.is_readable = True
        self.append_delay = append_delay
        self.read_delay = read_delay
        self.append_count = 0

    async def append(self, kind, message):
        self.append_count += 1
        await asyncio.sleep(self.append_delay)
        if self.mode == "down":
            raise PlatformError(ErrorCode.PLATFORM_UNAVAILABLE, "down")
        if self.mode == "late":
            # The record is accepted, but the answer is lost and the record is
            # delayed.
            loop = asyncio.get_running_loop()
            loop.call_later(1.0, self.add_record, message)
        elif self.mode == "lost":
            pass
        else:
            offset = self.add_record(message)
            if self.mode == "ok":
                return offset
        raise PlatformError(ErrorCode.APPEND_UNKNOWN, "unknown", maybe_applied=True)

    def add_record(self, message):
        now = asyncio.get_running_loop().time()
        entry = record(len(self.records), message, seconds=now)
        self.records.append(entry)
        if self.is_readable:
            asyncio.get_running_loop().call_later(self.read_delay, self.catch_up)
        return entry.offset

    def catch_up(self):
        if not self.is_readable:
            return
        for fold in self.folds:
            for entry in self.records[fold.applied_offset + 1 :]:
                try:
                    fold.apply(entry)
                except VoidRecordError:
                    pass

    def start_relay(self, seed=0, *, window=3600, **options):
        fold = ClaimsFold(window=datetime.timedelta(seconds=window))
        self.folds.append(fold)
        self.catch_up()
        relay = ClaimRelay(
            partition=0,
            fold=fold,
            append=self.append,
            clock=LoopClock(),
            batch_delay=options.pop("batch_delay", BATCH_DELAY),
            random_state=random.Random(seed),
            **options,
        )
        relay.task = asyncio.create_task(relay.run())
        relay.fold = fold
        return relay
