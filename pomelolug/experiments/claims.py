"""Added latency and appends of claims against the batch time.

Usage: ``python -m pomelolug.experiments.claims [--seconds S] [--seeds N]``.

The code of fold, relay and client is the real one; time is virtual. The log is
modelled as one server with a fixed service time, reached over a zone boundary;
its readers get each record after the same way back.
"""

import argparse
import asyncio
import collections
import dataclasses
import datetime
import random
import statistics
from collections.abc import Iterator

import looptime
import numpy as np

from pomelolug.claims import (
    ClaimClient,
    ClaimRelay,
    ClaimsFold,
    Verdict,
    claim_key,
    partition_of,
)
from pomelolug.errors import ErrorCode, PlatformError
from pomelolug.ids import Offset
from pomelolug.messages import (
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

    With ``direct`` each claim and update is an append of its own, made without
    collecting; this is the baseline.
    """

    def __init__(self, setting: Setting, seed: int) -> None:
        self._setting = setting
        self._random = random.Random(seed)
        self.log = Log()
        self.latencies: list[float] = []
        self.refused = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._relays = [list(self._make_relays(p)) for p in range(PARTITIONS)]
        self._clients = [self._make_client(n) for n in range(setting.nodes)]

    def _make_relays(self, partition: int) -> Iterator[ClaimRelay]:
        setting = self._setting
        # Without collecting, each node appends for itself: many relays.
        for _ in range(setting.nodes * 4 if setting.direct else 1):
            fold = ClaimsFold()
            self.log.follow(partition, fold)

            async def append(kind: RecordKind, message: Message) -> Offset:
                return await self.log.append(partition, message)

            relay = ClaimRelay(
                partition=partition,
                fold=fold,
                append=append,
                clock=LoopClock(),
                batch=datetime.timedelta(milliseconds=setting.batch_ms),
                interval=datetime.timedelta(milliseconds=setting.interval_ms),
                random_state=random.Random(self._random.random()),
            )
            self._start(relay.run())
            yield relay

    def _start(self, work) -> None:  # type: ignore[no-untyped-def]
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
        await asyncio.sleep(LOCAL_SECONDS + ZONE_SECONDS)
        if isinstance(message, ClaimUpdate):
            await self._relay(message.key).update(message)
        if isinstance(message, ClaimRequest):
            verdict = await self._relay(message.claim.key).decide(message.claim)
            await asyncio.sleep(LOCAL_SECONDS + ZONE_SECONDS)
            client.on_verdict(
                ClaimVerdict(serial=message.serial, verdict=verdict.value)
            )

    def _relay(self, key: bytes) -> ClaimRelay:
        return self._random.choice(self._relays[partition_of(key, PARTITIONS)])

    async def _call(self, serial: int) -> None:
        loop = asyncio.get_running_loop()
        start = loop.time()
        client = self._random.choice(self._clients)
        ticket = await client.claim(claim_key("account", str(serial)), BODY)
        if ticket.verdict is not Verdict.GRANTED:
            self.refused += 1
            return
        self.latencies.append((loop.time() - start) * 1000)
        ticket.dispatch()
        await asyncio.sleep(self._random.expovariate(1 / ANSWER_SECONDS))
        ticket.answered()

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
            nodes=min(nodes, 16),
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
        loop = looptime.patch_event_loop(asyncio.new_event_loop())  # type: ignore[arg-type]
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
