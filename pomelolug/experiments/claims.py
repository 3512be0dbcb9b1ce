"""Added latency and appends of claims against the batch time.

Usage: ``python -m pomelolug.experiments.claims [--seconds S] [--seeds N]``.

The code of fold, relay and client is the real one; time is virtual. The log is
modelled as one server with a fixed service time, reached over a zone boundary;
its readers get each record after the same way back.
"""

import argparse
import asyncio
import collections
import contextlib
import dataclasses
import datetime
import random
import statistics
from collections.abc import Coroutine, Iterator
from typing import Any

import looptime
import numpy as np

from pomelolug.claims import (
    ClaimClient,
    ClaimRelay,
    ClaimsFold,
    Verdict,
    derive_claim_key,
    partition_for_key,
)
from pomelolug.errors import ErrorCode, PlatformError
from pomelolug.ids import Offset
from pomelolug.messages import (
    Claim,
    ClaimBatch,
    ClaimRequest,
    ClaimUpdate,
    ClaimVerdict,
    Message,
    encode,
)
from pomelolug.state import Record, RecordKind
from pomelolug.testing import LoopClock

__all__ = ["Fleet", "Log", "Setting", "main"]

PARTITIONS = 16
ZONE_SECONDS = 0.001
LOCAL_SECONDS = 0.0001
# 400 appends a second in total.
APPEND_SECONDS = 0.0025
APPEND_TIMEOUT_SECONDS = 2.0
ANSWER_SECONDS = 1.0
BATCHES_MS = (0, 5, 20, 50)
INTERVALS_MS = (0, 50)
BODY = bytes(32)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Setting:
    """One measured setting; rates in claims a second, times in milliseconds."""

    name: str
    nodes: int
    rate: float
    batch_ms: float
    interval_ms: float
    direct: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outcome:
    """What one run measured; latencies in milliseconds."""

    latencies: list[float]
    appends: int
    refused: int


class Log:
    """Log service with one server and bounded throughput."""

    def __init__(self) -> None:
        self._free_at = 0.0
        self.appends = 0
        self._streams: dict[int, list[ClaimsFold]] = collections.defaultdict(list)
        self._ends: collections.Counter[int] = collections.Counter()

    def follow(self, partition: int, fold: ClaimsFold) -> None:
        """Have `fold` read a stream."""
        self._streams[partition].append(fold)

    async def append(self, partition: int, message: Message) -> Offset:
        """Append a record and return its offset."""
        loop = asyncio.get_running_loop()
        start = max(loop.time() + ZONE_SECONDS, self._free_at)
        if start - loop.time() > APPEND_TIMEOUT_SECONDS:
            await asyncio.sleep(APPEND_TIMEOUT_SECONDS)
            raise PlatformError(ErrorCode.PLATFORM_UNAVAILABLE, "log is overloaded")
        self._free_at = start + APPEND_SECONDS
        self.appends += 1
        await asyncio.sleep(self._free_at - loop.time())
        offset = Offset(self._ends[partition])
        self._ends[partition] += 1
        record = Record(
            offset=offset,
            stamp=LoopClock().now(),
            kind=RecordKind.CLAIMS,
            author="node:n",
            nonce=b"",
            body=encode(message),
        )
        loop.call_later(ZONE_SECONDS, self._deliver, partition, record)
        await asyncio.sleep(ZONE_SECONDS)
        return offset

    def _deliver(self, partition: int, record: Record) -> None:
        for fold in self._streams[partition]:
            fold.apply(record)


class Fleet:
    """Gateways of all nodes and one relay for each partition.

    With ``direct`` each claim and each update is an append of its own, made by the
    control process of the gateway's VM; this is the baseline.
    """

    def __init__(self, setting: Setting, seed: int) -> None:
        self._setting = setting
        self._random = random.Random(seed)
        self.log = Log()
        self.latencies: list[float] = []
        self.refused = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._folds = [ClaimsFold() for _ in range(PARTITIONS)]
        for partition, fold in enumerate(self._folds):
            self.log.follow(partition, fold)
        self._relays = [self._make_relay(p) for p in range(PARTITIONS)]
        self._clients = [self._make_client(n) for n in range(setting.nodes)]

    def _make_relay(self, partition: int) -> ClaimRelay:
        setting = self._setting

        async def append(kind: RecordKind, message: Message) -> Offset:
            return await self.log.append(partition, message)

        relay = ClaimRelay(
            partition=partition,
            fold=self._folds[partition],
            append=append,
            clock=LoopClock(),
            batch_delay=datetime.timedelta(milliseconds=setting.batch_ms),
            append_interval=datetime.timedelta(milliseconds=setting.interval_ms),
            random_state=random.Random(self._random.random()),
        )
        self._start(relay.run())
        return relay

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _make_client(self, number: int) -> ClaimClient:
        def send(message: Message) -> bool:
            self._start(self._carry(client, message))
            return True

        client = ClaimClient(
            node=f"node-{number}",
            incarnation=1 << 16,
            send=send,
            clock=LoopClock(),
            random_state=random.Random(self._random.random()),
        )
        return client

    async def _carry(self, client: ClaimClient, message: Message) -> None:
        await asyncio.sleep(LOCAL_SECONDS)
        if isinstance(message, ClaimUpdate):
            await self._update(message)
        if isinstance(message, ClaimRequest):
            verdict = await self._decide(message.claim)
            await asyncio.sleep(LOCAL_SECONDS)
            client.on_verdict(
                ClaimVerdict(serial=message.serial, verdict=verdict.value)
            )

    async def _update(self, update: ClaimUpdate) -> None:
        partition = partition_for_key(update.key, PARTITIONS)
        if self._setting.direct:
            with contextlib.suppress(PlatformError):
                await self.log.append(partition, ClaimBatch(updates=(update,)))
        else:
            await asyncio.sleep(ZONE_SECONDS)
            await self._relays[partition].submit_update(update)

    async def _decide(self, claim: Claim) -> Verdict:
        partition = partition_for_key(claim.key, PARTITIONS)
        if not self._setting.direct:
            await asyncio.sleep(ZONE_SECONDS)
            verdict = await self._relays[partition].decide(claim)
            await asyncio.sleep(ZONE_SECONDS)
            return verdict
        try:
            await self.log.append(partition, ClaimBatch(claims=(claim,)))
        except PlatformError:
            return Verdict.UNAVAILABLE
        await asyncio.sleep(0)
        return self._folds[partition].verdict(claim)

    async def _call(self, serial: int) -> None:
        loop = asyncio.get_running_loop()
        start = loop.time()
        client = self._random.choice(self._clients)
        ticket = await client.claim(derive_claim_key("account", str(serial)), BODY)
        if ticket.verdict is not Verdict.GRANTED:
            self.refused += 1
            return
        self.latencies.append((loop.time() - start) * 1000)
        ticket.try_dispatch()
        await asyncio.sleep(self._random.expovariate(1 / ANSWER_SECONDS))
        ticket.mark_answered()

    async def run(self, seconds: float) -> Outcome:
        """Offer Poisson arrivals for `seconds` and return what was measured."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        serial = 0
        while loop.time() < end:
            await asyncio.sleep(self._random.expovariate(self._setting.rate))
            serial += 1
            self._start(self._call(serial))
        appends = self.log.appends
        await asyncio.sleep(5)
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        return Outcome(latencies=self.latencies, appends=appends, refused=self.refused)


def _settings() -> Iterator[Setting]:
    for name, nodes, rate in (("today", 9, 20.0), ("planned", 390, 240.0)):
        yield Setting(
            name=name,
            nodes=nodes,
            rate=rate,
            batch_ms=0,
            interval_ms=0,
            direct=True,
        )
        for interval in INTERVALS_MS:
            for batch in BATCHES_MS:
                yield Setting(
                    name=name,
                    nodes=nodes,
                    rate=rate,
                    batch_ms=batch,
                    interval_ms=interval,
                )


async def _one(setting: Setting, seed: int, seconds: float) -> Outcome:
    return await Fleet(setting, seed).run(seconds)


def _measure(setting: Setting, seeds: int, seconds: float) -> str:
    medians, tails, appends, refused = [], [], [], 0
    for seed in range(seeds):
        base: Any = asyncio.new_event_loop()
        # Nothing here waits for input, so time advances without idle cycles.
        loop = looptime.patch_event_loop(base, noop_cycles=1)
        outcome = loop.run_until_complete(_one(setting, seed, seconds))
        loop.close()
        medians.append(float(np.percentile(outcome.latencies or [0], 50)))
        tails.append(float(np.percentile(outcome.latencies or [0], 99)))
        appends.append(outcome.appends / seconds)
        refused += outcome.refused
    kind = "one append each" if setting.direct else f"batch {setting.batch_ms} ms"
    return (
        f"{setting.name:8} {setting.rate:5.0f}/s {kind:16}"
        f" interval {setting.interval_ms:3} ms:"
        f" p50 {_spread(medians)} ms, p99 {_spread(tails)} ms,"
        f" appends {_spread(appends)} /s, not granted {refused}"
    )


def _spread(values: list[float]) -> str:
    error = statistics.stdev(values) if len(values) > 1 else 0.0
    return f"{statistics.mean(values):7.1f} +- {error:4.1f}"


def main() -> None:
    """Measure every setting and print one line each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--seeds", type=int, default=3)
    options = parser.parse_args()
    print("+- is the standard deviation over seeds; time is virtual", flush=True)
    for setting in _settings():
        print(_measure(setting, options.seeds, options.seconds), flush=True)


if __name__ == "__main__":
    main()
