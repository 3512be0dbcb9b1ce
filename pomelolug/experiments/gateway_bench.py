"""Cost of one gateway, compared with direct calls to the same simulated engine.

Run ``python -m pomelolug.experiments.gateway_bench``. Gateway and direct runs
alternate. Each line of standard output is one JSON object: figure, median through
the gateway, median of the direct calls, their ratio and difference, the spread
(minimum and maximum of the runs) and the number of runs.
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
_CLIENT_COUNT = 16
_PROBE_RATE_PER_S = 7.0
_STREAM_COUNT = 100
# Tokens per second on one node at the planned size.
_TOKENS_PER_S = 2540
_TOKEN_INTERVAL_S = _STREAM_COUNT / _TOKENS_PER_S

_Phase = Callable[[StreamTarget], Awaitable[dict[str, float]]]


def _make_trace() -> Trace:
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
            step_ms=_TOKEN_INTERVAL_S * 1000,
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


class _GatewayBenchmark:
    """Phases of the benchmark; each returns its measurements by name."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        gateway: psutil.Process,
        rng: random.Random,
        seconds: float,
    ) -> None:
        self._session = session
        self._gateway = gateway
        self._rng = rng
        self._duration_s = seconds
        self._request_count = 0

    async def measure_requests(self, target: StreamTarget) -> dict[str, float]:
        """Run one-token requests with a fixed number of concurrent clients."""
        loop = asyncio.get_running_loop()
        cpu_before_s, started_s = self._cpu_s(), loop.time()
        ends_at_s = started_s + self._duration_s
        counts = await asyncio.gather(
            *(self._run_client(target, ends_at_s) for _ in range(_CLIENT_COUNT))
        )
        elapsed_s, cpu_used_s = loop.time() - started_s, self._cpu_s() - cpu_before_s
        return {
            "requests_per_s": sum(counts) / elapsed_s,
            "gateway_cpu_ms_per_request": cpu_used_s / sum(counts) * 1000,
        }

    async def measure_latency(self, target: StreamTarget) -> dict[str, float]:
        """Time one-token requests at a low rate while other streams are open."""
        tokens = round(self._duration_s * 2 / _TOKEN_INTERVAL_S)
        streams = [
            asyncio.create_task(self._read_stream(target, tokens))
            for _ in range(_STREAM_COUNT)
        ]
        loop = asyncio.get_running_loop()
        next_at_s = loop.time() + 0.5
        ends_at_s = next_at_s + self._duration_s
        probes = []
        while next_at_s < ends_at_s:
            await asyncio.sleep(next_at_s - loop.time())
            probes.append(asyncio.create_task(self._read_stream(target, 1)))
            next_at_s += self._rng.expovariate(_PROBE_RATE_PER_S)
        first_token_ms = [
            probe.first_token_s * 1000 for probe in await asyncio.gather(*probes)
        ]
        for stream in streams:
            stream.cancel()
        results = await asyncio.gather(*streams, return_exceptions=True)
        for result in results:
            if isinstance(result, RuntimeError | aiohttp.ClientError):
                raise result
        return {
            "first_token_p50_ms": percentile(first_token_ms, 0.5) or 0.0,
            "first_token_p99_ms": percentile(first_token_ms, 0.99) or 0.0,
        }

    async def measure_tokens(self, target: StreamTarget) -> dict[str, float]:
        """Run streams that together carry the planned number of tokens per second."""
        loop = asyncio.get_running_loop()
        per_stream = round(self._duration_s / _TOKEN_INTERVAL_S)
        cpu_before_s, started_s = self._cpu_s(), loop.time()
        streams = await asyncio.gather(
            *(self._read_stream(target, per_stream) for _ in range(_STREAM_COUNT))
        )
        elapsed_s, cpu_used_s = loop.time() - started_s, self._cpu_s() - cpu_before_s
        total = sum(stream.tokens for stream in streams)
        return {
            "tokens_per_s": total / elapsed_s,
            "gateway_core_share": cpu_used_s / elapsed_s,
            "gateway_cpu_us_per_token": cpu_used_s / total * 1e6,
        }

    async def _run_client(self, target: StreamTarget, ends_at_s: float) -> int:
        loop = asyncio.get_running_loop()
        count = 0
        while loop.time() < ends_at_s:
            await self._read_stream(target, 1)
            count += 1
        return count

    async def _read_stream(self, target: StreamTarget, tokens: int) -> StreamTimes:
        self._request_count += 1
        prompt = f"bench request {self._request_count}"
        return await read_stream(self._session, target, prompt=prompt, tokens=tokens)

    def _cpu_s(self) -> float:
        times = self._gateway.cpu_times()
        return times.user + times.system


async def _make_targets(deployment: Deployment) -> tuple[StreamTarget, StreamTarget]:
    vms = await deployment.simulators.vms()
    leader = next(vm for vm in vms if vm.rank == 0 and vm.status.ready)
    via_gateway = StreamTarget(
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
    return via_gateway, direct


async def _run_alternately(
    phase: _Phase, via_gateway: StreamTarget, direct: StreamTarget, runs: int
) -> list[dict[str, Any]]:
    values: dict[str, dict[str, list[float]]] = {"gateway": {}, "direct": {}}
    for run in range(runs):
        # The order alternates so that drift on the VM affects both targets alike.
        order = (via_gateway, direct) if run % 2 == 0 else (direct, via_gateway)
        for target in order:
            for name, value in (await phase(target)).items():
                values[target.name].setdefault(name, []).append(value)
    return [
        _summarize(name, gateway_values, values["direct"][name])
        for name, gateway_values in values["gateway"].items()
    ]


def _summarize(
    name: str, gateway_values: Sequence[float], direct: Sequence[float]
) -> dict[str, Any]:
    median, direct_median = statistics.median(gateway_values), statistics.median(direct)
    line: dict[str, Any] = {
        "figure": name,
        "gateway": round(median, 4),
        "gateway_spread": [
            round(min(gateway_values), 4),
            round(max(gateway_values), 4),
        ],
        "runs": len(gateway_values),
    }
    # A direct call has no counterpart to the gateway's processor time.
    if not name.startswith("gateway_"):
        line["direct"] = round(direct_median, 4)
        line["direct_spread"] = [round(min(direct), 4), round(max(direct), 4)]
        line["added"] = round(median - direct_median, 4)
        line["ratio"] = round(median / direct_median, 4) if direct_median else None
    return line


async def _run_benchmark(
    runs: int, seconds: float, random_state: int, logs: str
) -> None:
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=None)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        with tempfile.TemporaryDirectory(prefix="pomelolug-") as temporary:
            directory = pathlib.Path(logs or temporary)
            directory.mkdir(parents=True, exist_ok=True)  # noqa: ASYNC240
            deployment = Deployment(_make_trace(), directory, session)
            try:
                await _run_phases(deployment, session, runs, seconds, random_state)
            finally:
                await asyncio.shield(deployment.close())


async def _run_phases(
    deployment: Deployment,
    session: aiohttp.ClientSession,
    runs: int,
    seconds: float,
    random_state: int,
) -> None:
    await deployment.start()
    if await deployment.publish(base_version=-1) is None:
        raise RuntimeError("the deployment did not accept the configuration")
    await deployment.wait_for_gateways(_READY_TIMEOUT_S)
    await deployment.wait_for_groups(_READY_TIMEOUT_S)
    via_gateway, direct = await _make_targets(deployment)
    gateway = deployment.entries[0].gateway
    assert gateway is not None
    benchmark = _GatewayBenchmark(
        session, psutil.Process(gateway.pid), random.Random(random_state), seconds
    )
    await read_stream(session, via_gateway, prompt="first", tokens=1)
    _print_load_average("load_average_before")
    for phase in (
        benchmark.measure_requests,
        benchmark.measure_latency,
        benchmark.measure_tokens,
    ):
        for line in await _run_alternately(phase, via_gateway, direct, runs):
            print(msgspec.json.encode(line).decode(), flush=True)
    _print_load_average("load_average_after")


def _print_load_average(name: str) -> None:
    """Print the load average, which is needed to interpret the measurements."""
    line = {"figure": name, "load": os.getloadavg()[0], "cores": os.cpu_count()}
    print(msgspec.json.encode(line).decode(), flush=True)


def main(
    runs: int = 5, seconds: float = 8.0, random_state: int = 1, logs: str = ""
) -> None:
    """Run every phase `runs` times through the gateway and directly.

    Parameters
    ----------
    runs : int
        Number of runs of each phase and target.
    seconds : float
        Duration of one run.
    random_state : int
        Seed of the arrival times.
    logs : str
        Directory for settings and logs; a temporary one if empty.
    """
    run_interruptible(_run_benchmark(runs, seconds, random_state, logs))


if __name__ == "__main__":
    fire.Fire(main)
