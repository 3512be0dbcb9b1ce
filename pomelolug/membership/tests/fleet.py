"""Cluster of meshes on an in-memory network, for the tests."""

import asyncio
import datetime
import random

from pomelolug.membership import (
    MemoryNetwork,
    Mesh,
    NodeState,
    PausableClock,
    PeerKeyRing,
)
from pomelolug.testing import LoopClock

KEY = "k1=" + "0a" * 16
SILENCE_TIMEOUT = datetime.timedelta(seconds=3)


class Fleet:
    def __init__(self, count, *, zones=1, keys=(KEY,), **options):
        self.network = MemoryNetwork(PeerKeyRing([KEY]))
        self.options = options
        self.keys = keys
        self.zones = zones
        self.meshes = {}
        self.clocks = {}
        self.tasks = {}
        for number in range(count):
            self.start(number)

    def start(self, number):
        name = f"n{number:03}"
        clock = PausableClock(LoopClock())
        mesh = Mesh(
            node=name,
            zone=f"z{number % self.zones}",
            region="r1",
            address=name,
            seeds=["n000", "n001"],
            keys=PeerKeyRing(self.keys),
            clock=clock,
            random_state=random.Random(number),
            dialer=self.network.dialer(name),
            **self.options,
        )
        self.network.clocks[name] = clock
        self.network.listen(name, mesh, clock, SILENCE_TIMEOUT)
        self.meshes[name] = mesh
        self.clocks[name] = clock
        self.tasks[name] = asyncio.create_task(mesh.run())
        return mesh

    async def stop(self, name):
        """Stop the process without notifying its peers, like the loss of its VM."""
        self.network.stop_listening(name)
        for other in self.meshes:
            self.network.cut(name, other)
            self.network.cut(other, name)
        self.tasks[name].cancel()
        await asyncio.gather(self.tasks[name], return_exceptions=True)
        for link in list(self.meshes[name]._links.values()):
            link.connection.close("stopped")

    def cut(self, left, right):
        for a in left:
            for b in right:
                self.network.cut(a, b)
                self.network.cut(b, a)

    async def close(self):
        for task in self.tasks.values():
            task.cancel()
        await asyncio.gather(*self.tasks.values(), return_exceptions=True)
        await self.network.close()

    def live_nodes(self, name):
        return {info.node for info in self.meshes[name].live_nodes()}

    def state(self, observer, name):
        for info in self.meshes[observer].nodes():
            if info.node == name:
                return info.state
        return None

    def has_converged(self, names=None):
        names = set(names or self.meshes)
        return all(self.live_nodes(name) == names for name in names)

    async def wait_until(self, condition, timeout):
        loop = asyncio.get_running_loop()
        start = loop.time()
        while not condition():
            if loop.time() - start > timeout:
                raise AssertionError(f"condition not met within {timeout} s")
            await asyncio.sleep(0.1)
        return loop.time() - start


ALIVE, SUSPECT, DEAD = NodeState.ALIVE, NodeState.SUSPECT, NodeState.DEAD
