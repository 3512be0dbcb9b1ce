"""In-memory network between the nodes of a soak, with overlapping cuts."""

import asyncio
import collections
import datetime

from pomelolug.clock import Clock
from pomelolug.control._process import ControlProcess
from pomelolug.errors import PeerError
from pomelolug.membership import PeerKeyRing, Side, open_connection
from pomelolug.membership._memory_network import MemoryNetwork, MemoryTransport

__all__ = ["SoakNetwork"]

_SILENCE_TIMEOUT = datetime.timedelta(seconds=3)


class SoakNetwork(MemoryNetwork):
    """In-memory network that counts the cuts of each direction.

    Faults may overlap: a direction works again when its last cut is undone.

    Parameters
    ----------
    keys : PeerKeyRing
        Shared keys.
    """

    def __init__(self, keys: PeerKeyRing) -> None:
        super().__init__(keys)
        self._cut_counts: collections.Counter[tuple[str, str]] = collections.Counter()
        self._connection_tasks: dict[str, set[asyncio.Task[None]]] = (
            collections.defaultdict(set)
        )

    def listen_control(
        self, address: str, control: ControlProcess, keys: PeerKeyRing, clock: Clock
    ) -> None:
        """Accept connections to `address` and let `control` serve them."""

        async def accept(transport: MemoryTransport) -> None:
            task = asyncio.current_task()
            assert task is not None
            self._connection_tasks[address].add(task)
            try:
                connection = await open_connection(
                    transport,
                    Side.ACCEPTOR,
                    control.identity,
                    keys,
                    clock=clock,
                    timeout=_SILENCE_TIMEOUT,
                    silence_timeout=_SILENCE_TIMEOUT,
                )
                await control.serve(connection)
            except PeerError:
                return
            finally:
                self._connection_tasks[address].discard(task)

        self._acceptors[address] = accept

    async def stop_server(self, address: str) -> None:
        """Stop the server at `address` and end all connections to it."""
        self.stop_listening(address)
        tasks = sorted(
            self._connection_tasks.pop(address, ()), key=lambda t: t.get_name()
        )
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether frames from `source` to `target` are held."""
        return (source, target) in self._cut_directions

    def cut(self, source: str, target: str) -> None:
        """Hold back frames from `source` to `target` and count the cut."""
        self._cut_counts[source, target] += 1
        super().cut(source, target)

    def uncut(self, source: str, target: str) -> None:
        """Undo one cut; deliver the held frames when no cut is left."""
        self._cut_counts[source, target] -= 1
        if self._cut_counts[source, target] > 0:
            return
        del self._cut_counts[source, target]
        self._cut_directions.discard((source, target))
        kept = []
        for held in self._held_frames:
            if held[:2] == (source, target):
                held[3].deliver(held[2])
            else:
                kept.append(held)
        self._held_frames = kept
