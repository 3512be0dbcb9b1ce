"""Latency added by claims and appends per second, against the batch delay.

Usage: ``python -m pomelolug.experiments.claims [--seconds S] [--seeds N]``.

The fold, relay and client are the production code; time is virtual. The log is
modelled as one server with a fixed service time in another zone; its readers
receive each record after the same one-way delay.
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

__all__ = ["ClaimCluster", "Scenario", "SimulatedLog", "main"]

PARTITIONS = 16
ZONE_DELAY_S = 0.001
LOCAL_DELAY_S = 0.0001
# 400 appends per second over all partitions.
APPEND_SERVICE_S = 0.0025
APPEND_TIMEOUT_S = 2.0
MEAN_ANSWER_S = 1.0
BATCH_DELAYS_MS = (0, 5, 20, 50)
APPEND_INTERVALS_MS = (0, 50)
BODY_DIGEST = bytes(32)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Scenario:
    """Parameters of a run; `rate_per_s` is the rate of claims of all nodes."""

    name: str
    nodes: int
    rate_per_s: float
    batch_delay_ms: float
    append_interval_ms: float
    is_direct: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class ScenarioResult:
    """Measurements of one run.

    `latencies_ms` are those of the granted claims; `not_granted` counts the others.
    """

    latencies_ms: list[float]
    appends: int
    not_granted: int


class SimulatedLog:
    """Log service modelled as one server with bounded throughput."""

    def __init__(self) -> None:
        self._free_at_s = 0.0
        self.appends = 0
        self._folds_by_partition: dict[int, list[ClaimsFold]] = collections.defaultdict(
            list
        )
        self._next_offsets: collections.Counter[int] = collections.Counter()

    def add_fold(self, partition: int, fold: ClaimsFold) -> None:
        """Deliver the records of a partition to `fold`."""
        self._folds_by_partition[partition].append(fold)

    async def append(self, partition: int, message: Message) -> Offset:
        """Append a record and return its offset."""
        loop = asyncio.get_running_loop()
        start_s = max(loop.time() + ZONE_DELAY_S, self._free_at_s)
        if start_s - loop.time() > APPEND_TIMEOUT_S:
            await asyncio.sleep(APPEND_TIMEOUT_S)
            raise PlatformError(ErrorCode.PLATFORM_UNAVAILABLE, "the log is overloaded")
        self._free_at_s = start_s + APPEND_SERVICE_S
        self.appends += 1
        await asyncio.sleep(self._free_at_s - loop.time())
        offset = Offset(self._next_offsets[partition])
        self._next_offsets[partition] += 1
        record = Record(
            offset=offset,
            timestamp=LoopClock().now(),
            kind=RecordKind.CLAIMS,
            author="node:n",
            nonce=b"",
            body=encode(message),
        )
        loop.call_later(ZONE_DELAY_S, self._deliver, partition, record)
        await asyncio.sleep(ZONE_DELAY_S)
        return offset

    def _deliver(self, partition: int, record: Record) -> None:
        for fold in self._folds_by_partition[partition]:
            fold.apply(record)


class ClaimCluster:
    """Claim clients of all nodes and one relay for each partition.

    If the scenario is direct, each claim and each update is a separate append by
    the control process of the gateway's VM; this is the baseline.
    """

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self._scenario = scenario
        self._rng = random.Random(seed)
        self.log = SimulatedLog()
        self.latencies_ms: list[float] = []
        self.not_granted = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._folds = [ClaimsFold() for _ in range(PARTITIONS)]
        for partition, fold in enumerate(self._folds):
            self.log.add_fold(partition, fold)
        self._relays = [self._make_relay(p) for p in range(PARTITIONS)]
        self._clients = [self._make_client(n) for n in range(scenario.nodes)]

    def _make_relay(self, partition: int) -> ClaimRelay:
        scenario = self._scenario

        async def append(kind: RecordKind, message: Message) -> Offset:
            return await self.log.append(partition, message)

        relay = ClaimRelay(
            partition=partition,
            fold=self._folds[partition],
            append=append,
            clock=LoopClock(),
            batch_delay=datetime.timedelta(milliseconds=scenario.batch_delay_ms),
            append_interval=datetime.timedelta(
                milliseconds=scenario.append_interval_ms
            ),
            random_state=random.Random(self._rng.random()),
        )
        self._start_task(relay.run())
        return relay

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _make_client(self, number: int) -> ClaimClient:
        def send(message: Message) -> bool:
            self._start_task(self._deliver_message(client, message))
            return True

        client = ClaimClient(
            node=f"node-{number}",
            incarnation=1 << 16,
            send=send,
            clock=LoopClock(),
            random_state=random.Random(self._rng.random()),
        )
        return client

    async def _deliver_message(self, client: ClaimClient, message: Message) -> None:
        await asyncio.sleep(LOCAL_DELAY_S)
        if isinstance(message, ClaimUpdate):
            await self._submit_update(message)
        if isinstance(message, ClaimRequest):
            verdict = await self._decide(message.claim)
            await asyncio.sleep(LOCAL_DELAY_S)
            client.on_verdict(
                ClaimVerdict(serial=message.serial, verdict=verdict.value)
            )

    async def _submit_update(self, update: ClaimUpdate) -> None:
        partition = partition_for_key(update.key, PARTITIONS)
        if self._scenario.is_direct:
            with contextlib.suppress(PlatformError):
                await self.log.append(partition, ClaimBatch(updates=(update,)))
        else:
            await asyncio.sleep(ZONE_DELAY_S)
            await self._relays[partition].submit_update(update)

    async def _decide(self, claim: Claim) -> Verdict:
        partition = partition_for_key(claim.key, PARTITIONS)
        if not self._scenario.is_direct:
            await asyncio.sleep(ZONE_DELAY_S)
            verdict = await self._relays[partition].decide(claim)
            await asyncio.sleep(ZONE_DELAY_S)
            return verdict
        try:
            await self.log.append(partition, ClaimBatch(claims=(claim,)))
        except PlatformError:
            return Verdict.UNAVAILABLE
        await asyncio.sleep(0)
        return self._folds[partition].verdict(claim)

    async def _make_call(self, serial: int) -> None:
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        client = self._rng.choice(self._clients)
        ticket = await client.claim(
            derive_claim_key("account", str(serial)), BODY_DIGEST
        )
        if ticket.verdict is not Verdict.GRANTED:
            self.not_granted += 1
            return
        self.latencies_ms.append((loop.time() - start_s) * 1000)
        ticket.try_dispatch()
        await asyncio.sleep(self._rng.expovariate(1 / MEAN_ANSWER_S))
        ticket.mark_answered()

    async def run(self, duration_s: float) -> ScenarioResult:
        """Offer Poisson arrivals for `duration_s` and return the measurements."""
        loop = asyncio.get_running_loop()
        ends_at_s = loop.time() + duration_s
        serial = 0
        while loop.time() < ends_at_s:
            await asyncio.sleep(self._rng.expovariate(self._scenario.rate_per_s))
            serial += 1
            self._start_task(self._make_call(serial))
        appends = self.log.appends
        await asyncio.sleep(5)
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        return ScenarioResult(
            latencies_ms=self.latencies_ms,
            appends=appends,
            not_granted=self.not_granted,
        )


def _scenarios() -> Iterator[Scenario]:
    for name, nodes, rate_per_s in (("today", 9, 20.0), ("planned", 390, 240.0)):
        yield Scenario(
            name=name,
            nodes=nodes,
            rate_per_s=rate_per_s,
            batch_delay_ms=0,
            append_interval_ms=0,
            is_direct=True,
        )
        for append_interval_ms in APPEND_INTERVALS_MS:
            for batch_delay_ms in BATCH_DELAYS_MS:
                yield Scenario(
                    name=name,
                    nodes=nodes,
                    rate_per_s=rate_per_s,
                    batch_delay_ms=batch_delay_ms,
                    append_interval_ms=append_interval_ms,
                )


async def _run_scenario(
    scenario: Scenario, seed: int, duration_s: float
) -> ScenarioResult:
    return await ClaimCluster(scenario, seed).run(duration_s)


def _measure_scenario(scenario: Scenario, seeds: int, duration_s: float) -> str:
    p50_ms, p99_ms, appends, not_granted = [], [], [], 0
    for seed in range(seeds):
        event_loop: Any = asyncio.new_event_loop()
        # No task waits for external input, so time may advance after one idle cycle.
        loop = looptime.patch_event_loop(event_loop, noop_cycles=1)
        result = loop.run_until_complete(_run_scenario(scenario, seed, duration_s))
        loop.close()
        p50_ms.append(float(np.percentile(result.latencies_ms or [0], 50)))
        p99_ms.append(float(np.percentile(result.latencies_ms or [0], 99)))
        appends.append(result.appends / duration_s)
        not_granted += result.not_granted
    label = (
        "one append each"
        if scenario.is_direct
        else f"batch {scenario.batch_delay_ms} ms"
    )
    return (
        f"{scenario.name:8} {scenario.rate_per_s:5.0f}/s {label:16}"
        f" interval {scenario.append_interval_ms:3} ms:"
        f" p50 {_format_mean(p50_ms)} ms, p99 {_format_mean(p99_ms)} ms,"
        f" appends {_format_mean(appends)} /s, not granted {not_granted}"
    )


def _format_mean(values: list[float]) -> str:
    deviation = statistics.stdev(values) if len(values) > 1 else 0.0
    return f"{statistics.mean(values):7.1f} +- {deviation:4.1f}"


def main() -> None:
    """Measure every scenario and print one line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--seeds", type=int, default=3)
    options = parser.parse_args()
    print("+- is the standard deviation over seeds; time is virtual", flush=True)
    for scenario in _scenarios():
        print(_measure_scenario(scenario, options.seeds, options.seconds), flush=True)


if __name__ == "__main__":
    main()
