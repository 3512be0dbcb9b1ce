"""Detection time, convergence and cost of the mesh.

Usage: ``python -m pomelolug.experiments.membership PART`` with PART one of
``detection``, ``heal``, ``memory-transport``, ``changes`` and ``loopback``.

All but ``loopback`` run the real mesh under virtual time on the in-memory
network: bytes are message payloads, processor time is that of the mesh without
the websockets library. ``loopback`` runs all nodes in one
process in real time over websockets on 127.0.0.1: processor time and memory
include the library and both ends of each connection.
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
from pomelolug.experiments._mesh_fleet import KEYS, Fleet, PlainMesh, virtual
from pomelolug.membership import Mesh, NodeInfo, NodeState, PeerServer
from pomelolug.membership._metrics import BYTES

__all__ = ["main"]

ZONES = 7
SIZES = (4, 8, 16, 32, 64, 128, 390)
LOOPBACK_SIZES = (4, 8, 16, 32, 64, 128)
LOOPBACK_FULL_MESH = 32
ALL = 10_000
PARTS = ("detection", "heal", "memory-transport", "changes", "loopback")
# 2,600 changes a day; a node adopts one within a few seconds.
CHANGE_SECONDS = 33.2
ADOPT_SECONDS = 3.0
DETECTION_SECONDS = 200
# A full mesh of more nodes takes too long to simulate.
FULL_MESH_MEASURED = 64


def _spread(values: list[float]) -> str:
    error = statistics.stdev(values) if len(values) > 1 else 0.0
    return f"{statistics.mean(values):.2f} +- {error:.2f}"


async def _pauses(fleet: Fleet, name: str, source: random.Random) -> None:
    while True:
        await asyncio.sleep(source.expovariate(1 / 30))
        fleet.clocks[name].pause()
        # Half of the pauses last below 0.5 s, 1 in 30 above 3 s.
        await asyncio.sleep(min(8.0, source.lognormvariate(np.log(0.5), 1.0)))
        fleet.clocks[name].resume()


async def _detection(
    kind: type[Mesh], suspect: float, beat: float, seed: int
) -> tuple[float, list[float]]:
    fleet = Fleet(
        9,
        seed=seed,
        zones=3,
        kind=kind,
        heartbeat=datetime.timedelta(seconds=beat),
        suspect_after=datetime.timedelta(seconds=suspect),
        dead_after=datetime.timedelta(seconds=suspect * 10 / 3),
    )
    loop = asyncio.get_running_loop()
    await fleet.until_converged(set(fleet.meshes), 60)
    await asyncio.sleep(10)
    false: collections.Counter[str] = collections.Counter()
    found: list[float] = []
    crash = [float("inf")]

    def note(seer: str, info: NodeInfo) -> None:
        if info.state is NodeState.SUSPECT and info.node != "node-008":
            false[seer] += 1
        if info.node == "node-008" and info.state is NodeState.SUSPECT:
            if loop.time() >= crash[0]:
                found.append(loop.time() - crash[0])

    for name, mesh in fleet.meshes.items():
        mesh.on_change(functools.partial(note, name))
    source = random.Random(seed)
    pausing = [
        asyncio.create_task(_pauses(fleet, name, random.Random(source.random())))
        for name in fleet.meshes
        if name != "node-008"
    ]
    start = loop.time()
    await asyncio.sleep(DETECTION_SECONDS)
    rate = sum(false.values()) / (loop.time() - start) * 3600 / 9
    crash[0] = loop.time()
    await fleet.stop("node-008")
    await asyncio.sleep(suspect * 3 + 10)
    for task in pausing:
        task.cancel()
    await fleet.close()
    return rate, found


def detection() -> None:
    """Print detection time and false suspicions for several settings."""
    print("9 nodes, each but one paused every 30 s (median 0.5 s, up to 8 s); false")
    print("suspicions of running or paused processes per observer and hour; 3 seeds")
    for name, kind in (("plain timeout", PlainMesh), ("mesh", Mesh)):
        for suspect, beat in ((1.0, 0.3), (2.0, 0.5), (3.0, 1.0), (5.0, 1.0)):
            rates, found = [], []
            for seed in range(3):
                rate, times = virtual(_detection(kind, suspect, beat, seed))
                rates.append(rate)
                found += times
            p50, p99 = np.percentile(found or [np.nan], [50, 99])
            print(
                f"{name:14} suspect after {suspect} s, heartbeat {beat} s:"
                f" false {_spread(rates)} /h,"
                f" detection p50 {p50:.2f} s, p99 {p99:.2f} s",
                flush=True,
            )


async def _heal(count: int, seed: int) -> float:
    fleet = Fleet(count, seed=seed, zones=3)
    names = set(fleet.meshes)
    await fleet.until_converged(names, 60)
    await asyncio.sleep(10)
    left = {name for name in names if int(name[-3:]) % 3 == 0}
    for one in left:
        for other in names - left:
            fleet.network.cut(one, other)
            fleet.network.cut(other, one)
    await asyncio.sleep(60 + random.Random(seed).random() * 10)
    fleet.network.heal()
    took = await fleet.until_converged(names, 120)
    await fleet.close()
    return took


def heal() -> None:
    """Print how long views take to agree after a partition of a minute."""
    for count in (9, 16, 32):
        times = [virtual(_heal(count, seed)) for seed in range(5)]
        print(
            f"{count} nodes, one zone of three cut off for a minute: all agree after"
            f" {_spread(times)} s, worst {max(times):.1f} s of 5 seeds",
            flush=True,
        )


async def _change_versions(fleet: Fleet) -> None:
    source = random.Random(1)
    version = 0

    async def adopt(mesh: Mesh, version: int) -> None:
        await asyncio.sleep(source.random() * ADOPT_SECONDS)
        mesh.set_versions(config_version=version, groups_offset=version)

    while True:
        version += 1
        await asyncio.gather(*(adopt(m, version) for m in fleet.meshes.values()))
        await asyncio.sleep(CHANGE_SECONDS - ADOPT_SECONDS)


async def _cost(
    count: int, limit: int, seconds: float, changing: bool = False
) -> tuple[float, float, float]:
    fleet = Fleet(count, seed=1, zones=ZONES, full_mesh_nodes=limit)
    names = set(fleet.meshes)
    await fleet.until_converged(names, 120)
    await asyncio.sleep(20)
    changes = asyncio.create_task(_change_versions(fleet)) if changing else None
    gc.collect()
    before = dict(fleet.network.sent_bytes)
    started = time.process_time()
    await asyncio.sleep(seconds)
    used = time.process_time() - started
    sent = [
        (total - before.get(name, 0)) / seconds
        for name, total in fleet.network.sent_bytes.items()
    ]
    if changes is not None:
        changes.cancel()
    await fleet.close()
    # What one node receives is, on average, what one node sends.
    return statistics.mean(sent), max(sent), used / seconds / count


def memory_transport(seconds: float) -> None:
    """Print bytes and processor time per node against the number of nodes."""
    for name, limit in (("full mesh", ALL), ("hubs", 16)):
        sizes, sent_means, cpus = [], [], []
        for count in SIZES:
            if limit == ALL and count > FULL_MESH_MEASURED:
                continue
            sent, worst, cpu = virtual(_cost(count, limit, seconds))
            sizes.append(count)
            sent_means.append(sent)
            cpus.append(cpu * 100)
            print(
                f"{name:9} {count:4} nodes: sent {sent:8.0f} B/s a node (most"
                f" {worst:8.0f}), {cpu * 100:.3f}% of a core a node",
                flush=True,
            )
        print(f"{name:9} slope: {_slope(sizes, sent_means)} B/s a node per node added")
        print(f"{name:9} slope: {_slope(sizes, cpus)} % of a core per node added")


def version_changes() -> None:
    """Print the cost while the configuration changes at the planned rate."""
    for count in (9, 390):
        seconds = 2 * CHANGE_SECONDS
        sent, worst, cpu = virtual(_cost(count, 16, seconds, changing=True))
        print(
            f"{count:4} nodes, a change each {CHANGE_SECONDS} s: sent {sent:.0f} B/s a"
            f" node (most {worst:.0f}), {cpu * 100:.3f}% of a core a node",
            flush=True,
        )


def _slope(sizes: list[int], values: list[float]) -> str:
    coefficients, covariance = np.polyfit(sizes, values, 1, cov=True)
    return f"{coefficients[0]:.5f} +- {np.sqrt(covariance[0][0]):.5f}"


class LoopbackNode:
    """A mesh with its server on 127.0.0.1."""

    def __init__(self, number: int, limit: int, clock: Clock) -> None:
        self._number = number
        self._limit = limit
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
            zone=f"zone-{self._number % ZONES}",
            region="region-1",
            address=address,
            seeds=seeds,
            keys=KEYS,
            clock=self._clock,
            random_state=random.Random(self._number),
            full_mesh_nodes=self._limit,
        )
        self.task = asyncio.create_task(self.mesh.run())
        return address


async def _loopback(count: int, limit: int, seconds: float) -> tuple[float, ...]:
    process = psutil.Process()
    gc.collect()
    memory_before = process.memory_info().rss
    nodes: list[LoopbackNode] = []
    seeds: list[str] = []
    for number in range(count):
        node = LoopbackNode(number, limit, SystemClock())
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
    bytes_before, started = sent.get(), time.process_time()
    await asyncio.sleep(seconds)
    used = time.process_time() - started
    moved = sent.get() - bytes_before
    memory = process.memory_info().rss - memory_before
    for node in nodes:
        node.task.cancel()
        if node.server is not None:
            await node.server.close()
    return moved / seconds / count, used / seconds / count, memory / count, links, alive


def loopback(seconds: float) -> None:
    """Print the cost of real websockets, all nodes in one process."""
    for name, limit in (("full mesh", ALL), ("hubs", 16)):
        sizes, cpus = [], []
        for count in LOOPBACK_SIZES:
            if limit == ALL and count > LOOPBACK_FULL_MESH:
                continue
            if limit != ALL and count < LOOPBACK_FULL_MESH:
                continue
            sent, cpu, memory, links, alive = asyncio.run(
                _loopback(count, limit, seconds)
            )
            sizes.append(count)
            cpus.append(cpu * 100)
            print(
                f"{name:9} {count:4} nodes, {links:5.1f} connections a node, all see"
                f" {alive:.0f}: sent {sent:7.0f} B/s, {cpu * 100:.3f}% of a core,"
                f" {memory / 1e6:.2f} MB a node",
                flush=True,
            )
        if len(sizes) > 2:
            print(f"{name:9} slope: {_slope(sizes, cpus)} % of a core per node added")


def main() -> None:
    """Run the chosen part."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("part", choices=PARTS)
    parser.add_argument("--seconds", type=float, default=20.0)
    options = parser.parse_args()
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    if options.part == "detection":
        detection()
    elif options.part == "heal":
        heal()
    elif options.part == "changes":
        version_changes()
    elif options.part == "memory-transport":
        memory_transport(options.seconds)
    else:
        loopback(options.seconds)


if __name__ == "__main__":
    main()
