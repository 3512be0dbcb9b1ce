"""Clusters of mesh nodes on the in-memory network."""

import asyncio
import datetime
import random
from collections.abc import Coroutine
from typing import Any, TypeVar

import looptime

from pomelolug.membership import MemoryNetwork, Mesh, PausableClock, PeerKeyRing
from pomelolug.testing import LoopClock

__all__ = ["KEYS", "MeshCluster", "TimeoutMesh", "run_coroutine_on_virtual_time"]

KEYS = PeerKeyRing(["k=" + "0a" * 16])
SUSPECT_AFTER = datetime.timedelta(seconds=3)
POLL_INTERVAL_S = 0.1
T = TypeVar("T")


class TimeoutMesh(Mesh):
    """Baseline: each node applies a timeout to the digests that it receives itself.

    The time during which its own process was paused counts as silence, and other
    nodes' reports that a member is alive are not used.
    """

    def _advance_table_clock(self) -> None:
        now = self._clock.monotonic()
        self._table.unpaused_s += max(0.0, now - self._clock_read_at_s)
        self._clock_read_at_s = now

    def _update_liveness(self) -> None:
        last_heard_s = {node: link.last_digest_s for node, link in self._links.items()}
        for member in self._table.update_liveness(
            last_heard_s, dict.fromkeys(last_heard_s, 1)
        ):
            self._notify_state_change(member)


class MeshCluster:
    """Mesh nodes on one in-memory network."""

    def __init__(
        self,
        node_count: int,
        *,
        seed: int,
        zones: int,
        mesh_type: type[Mesh] = Mesh,
        **options: Any,
    ) -> None:
        self.network = MemoryNetwork(KEYS)
        self.meshes: dict[str, Mesh] = {}
        self.clocks: dict[str, PausableClock] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        suspect_after = options.get("suspect_after", SUSPECT_AFTER)
        for number in range(node_count):
            name = f"node-{number:03}"
            clock = PausableClock(LoopClock())
            mesh = mesh_type(
                node=name,
                zone=f"zone-{number % zones}",
                region="region-1",
                address=name,
                seeds=["node-000", "node-001"],
                keys=KEYS,
                clock=clock,
                random_state=random.Random(seed * 1000 + number),
                dialer=self.network.dialer(name),
                **options,
            )
            self.network.clocks[name] = clock
            self.network.listen(name, mesh, clock, suspect_after)
            self.meshes[name], self.clocks[name] = mesh, clock
            self.tasks[name] = asyncio.create_task(mesh.run())

    def has_converged(self, nodes: set[str]) -> bool:
        """Return whether each of `nodes` sees exactly `nodes` alive."""
        return all(
            {info.node for info in self.meshes[name].live_nodes()} == nodes
            for name in nodes
        )

    async def wait_converged(self, nodes: set[str], timeout_s: float) -> float:
        """Wait until `nodes` have converged and return the elapsed seconds.

        Returns the elapsed time also if they have not converged by `timeout_s`.
        """
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        for _ in range(int(timeout_s / POLL_INTERVAL_S)):
            if self.has_converged(nodes):
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        return loop.time() - started_s

    async def crash_node(self, name: str) -> None:
        """End a node without notice to the others."""
        self.network.stop_listening(name)
        for other in self.meshes:
            self.network.cut(name, other)
            self.network.cut(other, name)
        self.tasks[name].cancel()
        await asyncio.gather(self.tasks[name], return_exceptions=True)

    async def close(self) -> None:
        """End all nodes and close the network."""
        for task in self.tasks.values():
            task.cancel()
        await asyncio.gather(*self.tasks.values(), return_exceptions=True)
        await self.network.close()


def run_coroutine_on_virtual_time(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run `coroutine` on a new event loop with virtual time."""
    loop: Any = asyncio.new_event_loop()
    # No task waits for external input, so time may advance after one idle cycle.
    patched = looptime.patch_event_loop(loop, noop_cycles=1)
    try:
        return patched.run_until_complete(coroutine)
    finally:
        patched.close()
