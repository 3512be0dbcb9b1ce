"""Cost of one gateway against a direct call to the same simulated engine.

Run ``python -m pomelolug.experiments.gateway_bench``. Gateway and direct runs
alternate. Each line of standard output is one JSON object: figure, unit, median
through the gateway, median of the direct call, their ratio and difference, the
spread (lowest and highest value of the runs) and the number of runs.
"""

import asyncio
import os
import pathlib
import random
import statistics
import tempfile
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import aiohttp
import fire
import msgspec
import psutil

from pomelolug.experiments._bench_client import StreamTarget, StreamTimes, read_stream
from pomelolug.experiments._command import run_interruptible
from pomelolug.experiments._deployment import Deployment
from pomelolug.experiments._trace import (
    AccountSpec,
    ClassSpec,
    DeploymentSpec,
    LoadSpec,
    Trace,
)
from pomelolug.experiments._verdict import percentile

__all__ = ["main"]

_READY_TIMEOUT_S = 20.0
_CLIENTS = 16
_RATE_PER_S = 7.0
_STREAMS = 100
# Tokens a second on a node at the planned size.
_TOKENS_PER_S = 2540
_STEP_S = _STREAMS / _TOKENS_PER_S

_Phase = Callable[[StreamTarget], Awaitable[dict[str, float]]]


def _trace() -> Trace:
    return Trace(
        version=1,
        name="gateway-bench",
        duration_s=0.0,
        deployment=DeploymentSpec(
            entry_zones=("zone-a",),
            zones=("zone-a",),
            engines=1,
            domain_size=1,
            members=1,
            capacity=512,
            pools=("mesh",),
            services=("jobs",),
            service_vms=1,
            first_token_ms=2.0,
            first_token_cached_ms=2.0,
            step_ms=_STEP_S * 1000,
        ),
        classes=(
            ClassSpec(
                name="bench",
                priority=50,
                pool="mesh",
                ttft_target_s=0.99,
                gap_target_s=0.044,
                deadline_s=60.0,
            ),
        ),
        accounts=(AccountSpec(name="bench"),),
        loads=(LoadSpec(work_class="bench", account="bench", rate_per_s=1.0),),
    )


class _Bench:
    """Phases of the benchmark; each returns its figures by name."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        gateway: psutil.Process,
        source: random.Random,
        seconds: float,
    ) -> None:
        self._session = session
        self._gateway = gateway
        self._source = source
        self._seconds = seconds
        self._serial = 0

    async def requests(self, target: StreamTarget) -> dict[str, float]:
        """Run short requests with a fixed number of clients."""
        loop = asyncio.get_running_loop()
        cpu, began = self._cpu_s(), loop.time()
        ends = began + self._seconds
        counts = await asyncio.gather(
            *(self._client(target, ends) for _ in range(_CLIENTS))
        )
        elapsed, used = loop.time() - began, self._cpu_s() - cpu
        return {
            "requests_per_s": sum(counts) / elapsed,
            "gateway_cpu_ms_per_request": used / sum(counts) * 1000,
        }

    async def latency(self, target: StreamTarget) -> dict[str, float]:
        """Time short requests at a low rate beside open streams."""
        tokens = round(self._seconds * 2 / _STEP_S)
        streams = [
            asyncio.create_task(self._read(target, tokens)) for _ in range(_STREAMS)
        ]
        loop = asyncio.get_running_loop()
        next_at = loop.time() + 0.5
        ends = next_at + self._seconds
        probes = []
        while next_at < ends:
            await asyncio.sleep(next_at - loop.time())
            probes.append(asyncio.create_task(self._read(target, 1)))
            next_at += self._source.expovariate(_RATE_PER_S)
        times = [probe.first_token_s * 1000 for probe in await asyncio.gather(*probes)]
        for stream in streams:
            stream.cancel()
        ends_of_streams = await asyncio.gather(*streams, return_exceptions=True)
        for end in ends_of_streams:
            if isinstance(end, RuntimeError | aiohttp.ClientError):
                raise end
        return {
            "first_token_p50_ms": percentile(times, 0.5) or 0.0,
            "first_token_p99_ms": percentile(times, 0.99) or 0.0,
        }

    async def tokens(self, target: StreamTarget) -> dict[str, float]:
        """Run streams that together carry the planned tokens a second."""
        loop = asyncio.get_running_loop()
        per_stream = round(self._seconds / _STEP_S)
        cpu, began = self._cpu_s(), loop.time()
        streams = await asyncio.gather(
            *(self._read(target, per_stream) for _ in range(_STREAMS))
        )
        elapsed, used = loop.time() - began, self._cpu_s() - cpu
        total = sum(stream.tokens for stream in streams)
        return {
            "tokens_per_s": total / elapsed,
            "gateway_core_share": used / elapsed,
            "gateway_cpu_us_per_token": used / total * 1e6,
        }

    async def _client(self, target: StreamTarget, ends: float) -> int:
        loop = asyncio.get_running_loop()
        count = 0
        while loop.time() < ends:
            await self._read(target, 1)
            count += 1
        return count

    async def _read(self, target: StreamTarget, tokens: int) -> StreamTimes:
        self._serial += 1
        prompt = f"bench request {self._serial}"
        return await read_stream(self._session, target, prompt=prompt, tokens=tokens)

    def _cpu_s(self) -> float:
        times = self._gateway.cpu_times()
        return times.user + times.system


async def _targets(deployment: Deployment) -> tuple[StreamTarget, StreamTarget]:
    vms = await deployment.simulators.vms()
    leader = next(vm for vm in vms if vm.rank == 0 and vm.status.ready)
    through = StreamTarget(
        name="gateway",
        url=f"http://{deployment.entries[0].gateway_address}/v1/completions",
        headers={
            "Authorization": f"Bearer {deployment.keys['bench']}",
            "X-Work-Class": "bench",
        },
    )
    direct = StreamTarget(
        name="direct",
        url=f"http://{leader.address}/v1/completions",
        headers={
            "X-Request-Id": "direct",
            "X-Group": leader.status.group,
            "X-Fencing-Token": str(leader.status.token),
        },
    )
    return through, direct


async def _alternate(
    phase: _Phase, through: StreamTarget, direct: StreamTarget, runs: int
) -> list[dict[str, Any]]:
    values: dict[str, dict[str, list[float]]] = {"gateway": {}, "direct": {}}
    for run in range(runs):
        # The order changes so that a drift of the VM affects both alike.
        order = (through, direct) if run % 2 == 0 else (direct, through)
        for target in order:
            for name, value in (await phase(target)).items():
                values[target.name].setdefault(name, []).append(value)
    return [
        _line(name, own, values["direct"][name])
        for name, own in values["gateway"].items()
    ]


def _line(name: str, own: Sequence[float], direct: Sequence[float]) -> dict[str, Any]:
    median, base = statistics.median(own), statistics.median(direct)
    line: dict[str, Any] = {
        "figure": name,
        "gateway": round(median, 4),
        "gateway_spread": [round(min(own), 4), round(max(own), 4)],
        "runs": len(own),
    }
    # The gateway's processor time has no counterpart in a direct call.
    if not name.startswith("gateway_"):
        line["direct"] = round(base, 4)
        line["direct_spread"] = [round(min(direct), 4), round(max(direct), 4)]
        line["added"] = round(median - base, 4)
        line["ratio"] = round(median / base, 4) if base else None
    return line


async def _bench(runs: int, seconds: float, random_state: int, logs: str) -> None:
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=None)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        with tempfile.TemporaryDirectory(prefix="pomelolug-") as temporary:
            directory = pathlib.Path(logs or temporary)
            directory.mkdir(parents=True, exist_ok=True)  # noqa: ASYNC240
            deployment = Deployment(_trace(), directory, session)
            try:
                await _measure(deployment, session, runs, seconds, random_state)
            finally:
                await asyncio.shield(deployment.close())


async def _measure(
    deployment: Deployment,
    session: aiohttp.ClientSession,
    runs: int,
    seconds: float,
    random_state: int,
) -> None:
    await deployment.start()
    if await deployment.publish(base_version=-1) is None:
        raise RuntimeError("the configuration was not accepted")
    await deployment.wait_for_gateways(_READY_TIMEOUT_S)
    await deployment.wait_for_groups(_READY_TIMEOUT_S)
    through, direct = await _targets(deployment)
    gateway = deployment.entries[0].gateway
    assert gateway is not None
    bench = _Bench(
        session, psutil.Process(gateway.pid), random.Random(random_state), seconds
    )
    await read_stream(session, through, prompt="first", tokens=1)
    _print_load("load_average_before")
    for phase in (bench.requests, bench.latency, bench.tokens):
        for line in await _alternate(phase, through, direct, runs):
            print(msgspec.json.encode(line).decode(), flush=True)
    _print_load("load_average_after")


def _print_load(name: str) -> None:
    """Print the load of the VM, without which the figures mean little."""
    line = {"figure": name, "load": os.getloadavg()[0], "cores": os.cpu_count()}
    print(msgspec.json.encode(line).decode(), flush=True)


def main(
    runs: int = 5, seconds: float = 8.0, random_state: int = 1, logs: str = ""
) -> None:
    """Run every phase `runs` times through the gateway and directly.

    Parameters
    ----------
    runs : int
        Runs of each phase and target.
    seconds : float
        Length of one run.
    random_state : int
        Seed of the arrival times.
    logs : str
        Folder for settings and logs; empty for a temporary one.
    """
    run_interruptible(_bench(runs, seconds, random_state, logs))


if __name__ == "__main__":
    fire.Fire(main)
