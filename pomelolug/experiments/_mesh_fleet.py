"""Fleets of meshes on the in-memory network, for the experiments."""

import asyncio
import datetime
import random
from collections.abc import Coroutine
from typing import Any, TypeVar

import looptime

from pomelolug.membership import Keys, MemoryNetwork, Mesh, PausableClock
from pomelolug.testing import LoopClock

__all__ = ["KEYS", "Fleet", "PlainMesh", "virtual"]

KEYS = Keys(["k=" + "0a" * 16])
SUSPECT_AFTER = datetime.timedelta(seconds=3)
POLL_SECONDS = 0.1
T = TypeVar("T")


class PlainMesh(Mesh):
    """Baseline: plain timeout on what each node hears itself.

    Time in which the own process was paused counts, and nobody vouches.
    """

    def _advance_table_clock(self) -> None:
        now = self._clock.monotonic()
        self._table.unpaused_s += max(0.0, now - self._clock_read_at_s)
        self._clock_read_at_s = now

    def _update_liveness(self) -> None:
        heard = {node: link.last_digest_s for node, link in self._links.items()}
        for member in self._table.update_liveness(heard, dict.fromkeys(heard, 1)):
            self._notify_state_change(member)


class Fleet:
    """Meshes on an in-memory network."""

    def __init__(
        self,
        count: int,
        *,
        seed: int,
        zones: int,
        kind: type[Mesh] = Mesh,
        **options: Any,
    ) -> None:
        self.network = MemoryNetwork(KEYS)
        self.meshes: dict[str, Mesh] = {}
        self.clocks: dict[str, PausableClock] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        silence = options.get("suspect_after", SUSPECT_AFTER)
        for number in range(count):
            name = f"node-{number:03}"
            clock = PausableClock(LoopClock())
            mesh = kind(
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
            self.network.listen(name, mesh, clock, silence)
            self.meshes[name], self.clocks[name] = mesh, clock
            self.tasks[name] = asyncio.create_task(mesh.run())

    def converged(self, names: set[str]) -> bool:
        """Return whether each of `names` sees exactly `names` alive."""
        return all(
            {info.node for info in self.meshes[name].live_nodes()} == names
            for name in names
        )

    async def until_converged(self, names: set[str], limit: float) -> float:
        """Wait for convergence and return the seconds it took."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        for _ in range(int(limit / POLL_SECONDS)):
            if self.converged(names):
                break
            await asyncio.sleep(POLL_SECONDS)
        return loop.time() - start

    async def stop(self, name: str) -> None:
        """End a process without a word."""
        self.network.stop_listening(name)
        for other in self.meshes:
            self.network.cut(name, other)
            self.network.cut(other, name)
        self.tasks[name].cancel()
        await asyncio.gather(self.tasks[name], return_exceptions=True)

    async def close(self) -> None:
        """End all."""
        for task in self.tasks.values():
            task.cancel()
        await asyncio.gather(*self.tasks.values(), return_exceptions=True)
        await self.network.close()


def virtual(work: Coroutine[Any, Any, T]) -> T:
    loop: Any = asyncio.new_event_loop()
    # Nothing here waits for input, so time advances without idle cycles.
    patched = looptime.patch_event_loop(loop, noop_cycles=1)
    try:
        return patched.run_until_complete(work)
    finally:
        patched.close()
