"""Failure detection time, convergence and cost of the mesh.

Usage: ``python -m pomelolug.experiments.membership PART`` with PART one of
``detection``, ``heal``, ``memory-transport``, ``changes`` and ``loopback``.

All but ``loopback`` run the production mesh on virtual time on the in-memory
network: bytes are message payloads, and processor time excludes the websockets
library. ``loopback`` runs all nodes in one process in real time over websockets on
127.0.0.1: processor time and memory include the library and both ends of each
connection.
"""

import argparse
import asyncio
import collections
import datetime
import functools
import gc
import logging
import random
import statistics
import time

import numpy as np
import psutil
import structlog

from pomelolug.clock import Clock, SystemClock
from pomelolug.experiments._mesh_cluster import (
    KEYS,
    MeshCluster,
    TimeoutMesh,
    run_coroutine_on_virtual_time,
)
from pomelolug.membership import Mesh, NodeInfo, NodeState, PeerServer
from pomelolug.membership._metrics import BYTES

__all__ = ["main"]

ZONE_COUNT = 7
NODE_COUNTS = (4, 8, 16, 32, 64, 128, 390)
LOOPBACK_NODE_COUNTS = (4, 8, 16, 32, 64, 128)
LOOPBACK_FULL_MESH_MAX_NODES = 32
UNLIMITED = 10_000
PARTS = ("detection", "heal", "memory-transport", "changes", "loopback")
# 2,600 changes a day; each node adopts a change within a few seconds.
CHANGE_INTERVAL_S = 33.2
ADOPTION_TIME_S = 3.0
DETECTION_DURATION_S = 200
# Larger full meshes take too long to simulate.
FULL_MESH_MAX_NODES = 64


def _format_mean(values: list[float]) -> str:
    deviation = statistics.stdev(values) if len(values) > 1 else 0.0
    return f"{statistics.mean(values):.2f} +- {deviation:.2f}"


async def _pause_randomly(cluster: MeshCluster, name: str, rng: random.Random) -> None:
    while True:
        await asyncio.sleep(rng.expovariate(1 / 30))
        cluster.clocks[name].pause()
        # Half of the pauses are shorter than 0.5 s, 1 in 30 is longer than 3 s.
        await asyncio.sleep(min(8.0, rng.lognormvariate(np.log(0.5), 1.0)))
        cluster.clocks[name].resume()


async def _measure_detection(
    mesh_type: type[Mesh], suspect_after_s: float, heartbeat_s: float, seed: int
) -> tuple[float, list[float]]:
    cluster = MeshCluster(
        9,
        seed=seed,
        zones=3,
        mesh_type=mesh_type,
        heartbeat=datetime.timedelta(seconds=heartbeat_s),
        suspect_after=datetime.timedelta(seconds=suspect_after_s),
        dead_after=datetime.timedelta(seconds=suspect_after_s * 10 / 3),
    )
    loop = asyncio.get_running_loop()
    await cluster.wait_converged(set(cluster.meshes), 60)
    await asyncio.sleep(10)
    false_suspicions: collections.Counter[str] = collections.Counter()
    detection_times_s: list[float] = []
    crashed_at_s = [float("inf")]

    def record_suspicion(observer: str, info: NodeInfo) -> None:
        if info.state is NodeState.SUSPECT and info.node != "node-008":
            false_suspicions[observer] += 1
        if info.node == "node-008" and info.state is NodeState.SUSPECT:
            if loop.time() >= crashed_at_s[0]:
                detection_times_s.append(loop.time() - crashed_at_s[0])

    for name, mesh in cluster.meshes.items():
        mesh.on_change(functools.partial(record_suspicion, name))
    rng = random.Random(seed)
    pause_tasks = [
        asyncio.create_task(_pause_randomly(cluster, name, random.Random(rng.random())))
        for name in cluster.meshes
        if name != "node-008"
    ]
    started_s = loop.time()
    await asyncio.sleep(DETECTION_DURATION_S)
    rate_per_h = sum(false_suspicions.values()) / (loop.time() - started_s) * 3600 / 9
    crashed_at_s[0] = loop.time()
    await cluster.crash_node("node-008")
    await asyncio.sleep(suspect_after_s * 3 + 10)
    for task in pause_tasks:
        task.cancel()
    await cluster.close()
    return rate_per_h, detection_times_s


def print_detection() -> None:
    """Print detection times and false suspicions for several timeouts."""
    print("9 nodes, each but one paused every 30 s (median 0.5 s, up to 8 s); false")
    print("suspicions of running or paused processes per observer and hour; 3 seeds")
    for name, mesh_type in (("plain timeout", TimeoutMesh), ("mesh", Mesh)):
        for suspect_after_s, heartbeat_s in (
            (1.0, 0.3),
            (2.0, 0.5),
            (3.0, 1.0),
            (5.0, 1.0),
        ):
            rates_per_h, detection_times_s = [], []
            for seed in range(3):
                rate_per_h, times_s = run_coroutine_on_virtual_time(
                    _measure_detection(mesh_type, suspect_after_s, heartbeat_s, seed)
                )
                rates_per_h.append(rate_per_h)
                detection_times_s += times_s
            p50, p99 = np.percentile(detection_times_s or [np.nan], [50, 99])
            print(
                f"{name:14} suspect after {suspect_after_s} s,"
                f" heartbeat {heartbeat_s} s: false {_format_mean(rates_per_h)} /h,"
                f" detection p50 {p50:.2f} s, p99 {p99:.2f} s",
                flush=True,
            )


async def _measure_heal(count: int, seed: int) -> float:
    cluster = MeshCluster(count, seed=seed, zones=3)
    names = set(cluster.meshes)
    await cluster.wait_converged(names, 60)
    await asyncio.sleep(10)
    isolated = {name for name in names if int(name[-3:]) % 3 == 0}
    for node in isolated:
        for other in names - isolated:
            cluster.network.cut(node, other)
            cluster.network.cut(other, node)
    await asyncio.sleep(60 + random.Random(seed).random() * 10)
    cluster.network.heal()
    elapsed_s = await cluster.wait_converged(names, 120)
    await cluster.close()
    return elapsed_s


def print_heal() -> None:
    """Print the time until all views agree after a partition of a minute."""
    for count in (9, 16, 32):
        times_s = [
            run_coroutine_on_virtual_time(_measure_heal(count, seed))
            for seed in range(5)
        ]
        print(
            f"{count} nodes, one zone of three cut off for a minute: all agree after"
            f" {_format_mean(times_s)} s, worst {max(times_s):.1f} s of 5 seeds",
            flush=True,
        )


async def _change_versions(cluster: MeshCluster) -> None:
    rng = random.Random(1)
    version = 0

    async def adopt(mesh: Mesh, version: int) -> None:
        await asyncio.sleep(rng.random() * ADOPTION_TIME_S)
        mesh.set_versions(config_version=version, groups_offset=version)

    while True:
        version += 1
        await asyncio.gather(*(adopt(m, version) for m in cluster.meshes.values()))
        await asyncio.sleep(CHANGE_INTERVAL_S - ADOPTION_TIME_S)


async def _measure_cost(
    count: int, full_mesh_nodes: int, duration_s: float, has_changes: bool = False
) -> tuple[float, float, float]:
    cluster = MeshCluster(
        count, seed=1, zones=ZONE_COUNT, full_mesh_nodes=full_mesh_nodes
    )
    names = set(cluster.meshes)
    await cluster.wait_converged(names, 120)
    await asyncio.sleep(20)
    changes = asyncio.create_task(_change_versions(cluster)) if has_changes else None
    gc.collect()
    sent_before = dict(cluster.network.sent_bytes)
    started_s = time.process_time()
    await asyncio.sleep(duration_s)
    cpu_s = time.process_time() - started_s
    sent = [
        (total - sent_before.get(name, 0)) / duration_s
        for name, total in cluster.network.sent_bytes.items()
    ]
    if changes is not None:
        changes.cancel()
    await cluster.close()
    # On average a node receives as much as it sends.
    return statistics.mean(sent), max(sent), cpu_s / duration_s / count


def print_memory_transport(duration_s: float) -> None:
    """Print sent bytes and processor time per node by the number of nodes."""
    for name, full_mesh_nodes in (("full mesh", UNLIMITED), ("hubs", 16)):
        sizes, mean_sent, cpu_percents = [], [], []
        for count in NODE_COUNTS:
            if full_mesh_nodes == UNLIMITED and count > FULL_MESH_MAX_NODES:
                continue
            sent, max_sent, cpu = run_coroutine_on_virtual_time(
                _measure_cost(count, full_mesh_nodes, duration_s)
            )
            sizes.append(count)
            mean_sent.append(sent)
            cpu_percents.append(cpu * 100)
            print(
                f"{name:9} {count:4} nodes: sent {sent:8.0f} B/s a node (most"
                f" {max_sent:8.0f}), {cpu * 100:.3f}% of a core a node",
                flush=True,
            )
        print(
            f"{name:9} slope: {_format_slope(sizes, mean_sent)}"
            " B/s a node per node added"
        )
        print(
            f"{name:9} slope: {_format_slope(sizes, cpu_percents)}"
            " % of a core per node added"
        )


def print_version_changes() -> None:
    """Print the cost per node while versions change at the planned rate."""
    for count in (9, 390):
        duration_s = 2 * CHANGE_INTERVAL_S
        sent, max_sent, cpu = run_coroutine_on_virtual_time(
            _measure_cost(count, 16, duration_s, has_changes=True)
        )
        print(
            f"{count:4} nodes, a change each {CHANGE_INTERVAL_S} s: sent {sent:.0f}"
            f" B/s a node (most {max_sent:.0f}), {cpu * 100:.3f}% of a core a node",
            flush=True,
        )


def _format_slope(sizes: list[int], values: list[float]) -> str:
    coefficients, covariance = np.polyfit(sizes, values, 1, cov=True)
    return f"{coefficients[0]:.5f} +- {np.sqrt(covariance[0][0]):.5f}"


class LoopbackNode:
    """A mesh node with a peer server on 127.0.0.1."""

    def __init__(self, number: int, full_mesh_nodes: int, clock: Clock) -> None:
        self._number = number
        self._full_mesh_nodes = full_mesh_nodes
        self._clock = clock
        self.mesh: Mesh | None = None
        self.server: PeerServer | None = None

    async def start(self, seeds: list[str]) -> str:
        """Start the node and return its address."""
        server = PeerServer(
            address="127.0.0.1:0",
            identity=lambda: self.mesh.identity,  # type: ignore[union-attr]
            keys=KEYS,
            on_connection=lambda c: self.mesh.serve(c),  # type: ignore[union-attr]
            clock=self._clock,
        )
        await server.start()
        address = f"127.0.0.1:{server.port}"
        self.server = server
        self.mesh = Mesh(
            node=f"node-{self._number:03}",
            zone=f"zone-{self._number % ZONE_COUNT}",
            region="region-1",
            address=address,
            seeds=seeds,
            keys=KEYS,
            clock=self._clock,
            random_state=random.Random(self._number),
            full_mesh_nodes=self._full_mesh_nodes,
        )
        self.task = asyncio.create_task(self.mesh.run())
        return address


async def _measure_loopback(
    count: int, full_mesh_nodes: int, duration_s: float
) -> tuple[float, ...]:
    process = psutil.Process()
    gc.collect()
    memory_before = process.memory_info().rss
    nodes: list[LoopbackNode] = []
    seeds: list[str] = []
    for number in range(count):
        node = LoopbackNode(number, full_mesh_nodes, SystemClock())
        address = await node.start(seeds[:2])
        seeds.append(address)
        nodes.append(node)
    for _ in range(60):
        await asyncio.sleep(0.5)
        if all(len(node.mesh.live_nodes()) == count for node in nodes if node.mesh):
            break
    await asyncio.sleep(12)
    alive = min(len(node.mesh.live_nodes()) for node in nodes if node.mesh)
    links = sum(len(node.mesh.connected_nodes) for node in nodes if node.mesh) / count
    sent = BYTES.labels(direction="sent")._value
    bytes_before, started_s = sent.get(), time.process_time()
    await asyncio.sleep(duration_s)
    cpu_s = time.process_time() - started_s
    sent_bytes = sent.get() - bytes_before
    memory = process.memory_info().rss - memory_before
    for node in nodes:
        node.task.cancel()
        if node.server is not None:
            await node.server.close()
    return (
        sent_bytes / duration_s / count,
        cpu_s / duration_s / count,
        memory / count,
        links,
        alive,
    )


def print_loopback(duration_s: float) -> None:
    """Print the cost per node over websockets, with all nodes in one process."""
    for name, full_mesh_nodes in (("full mesh", UNLIMITED), ("hubs", 16)):
        sizes, cpu_percents = [], []
        for count in LOOPBACK_NODE_COUNTS:
            if full_mesh_nodes == UNLIMITED and count > LOOPBACK_FULL_MESH_MAX_NODES:
                continue
            if full_mesh_nodes != UNLIMITED and count < LOOPBACK_FULL_MESH_MAX_NODES:
                continue
            sent, cpu, memory, links, alive = asyncio.run(
                _measure_loopback(count, full_mesh_nodes, duration_s)
            )
            sizes.append(count)
            cpu_percents.append(cpu * 100)
            print(
                f"{name:9} {count:4} nodes, {links:5.1f} connections a node, all see"
                f" {alive:.0f}: sent {sent:7.0f} B/s, {cpu * 100:.3f}% of a core,"
                f" {memory / 1e6:.2f} MB a node",
                flush=True,
            )
        if len(sizes) > 2:
            print(
                f"{name:9} slope: {_format_slope(sizes, cpu_percents)}"
                " % of a core per node added"
            )


def main() -> None:
    """Run the selected part."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("part", choices=PARTS)
    parser.add_argument("--seconds", type=float, default=20.0)
    options = parser.parse_args()
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    if options.part == "detection":
        print_detection()
    elif options.part == "heal":
        print_heal()
    elif options.part == "changes":
        print_version_changes()
    elif options.part == "memory-transport":
        print_memory_transport(options.seconds)
    else:
        print_loopback(options.seconds)


if __name__ == "__main__":
    main()
