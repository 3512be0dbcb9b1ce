"""Network among the nodes of a soak, with cuts that can overlap."""

import asyncio
import collections
import datetime

from pomelolug.clock import Clock
from pomelolug.control._process import ControlProcess
from pomelolug.errors import PeerError
from pomelolug.membership import PeerKeyRing, Side, open_connection
from pomelolug.membership._memory_network import MemoryNetwork, MemoryTransport

__all__ = ["SoakNetwork"]

_SILENCE = datetime.timedelta(seconds=3)


class SoakNetwork(MemoryNetwork):
    """In-memory network whose cuts are counted, so that faults may overlap.

    Parameters
    ----------
    keys : PeerKeyRing
        Shared keys.
    """

    def __init__(self, keys: PeerKeyRing) -> None:
        super().__init__(keys)
        self._cuts: collections.Counter[tuple[str, str]] = collections.Counter()
        self._accepted: dict[str, set[asyncio.Task[None]]] = collections.defaultdict(
            set
        )

    def listen_control(
        self, address: str, control: ControlProcess, keys: PeerKeyRing, clock: Clock
    ) -> None:
        """Have `control` serve connections to `address`."""

        async def accept(transport: MemoryTransport) -> None:
            task = asyncio.current_task()
            assert task is not None
            self._accepted[address].add(task)
            try:
                connection = await open_connection(
                    transport,
                    Side.ACCEPTOR,
                    control.identity,
                    keys,
                    clock=clock,
                    timeout=_SILENCE,
                    silence_timeout=_SILENCE,
                )
                await control.serve(connection)
            except PeerError:
                return
            finally:
                self._accepted[address].discard(task)

        self._acceptors[address] = accept

    async def drop(self, address: str) -> None:
        """End the server at `address` with all connections to it."""
        self.stop_listening(address)
        tasks = sorted(self._accepted.pop(address, ()), key=lambda t: t.get_name())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether frames from `source` to `target` are held."""
        return (source, target) in self._cut_directions

    def cut(self, source: str, target: str) -> None:
        """Stop the frames from `source` to `target` once more."""
        self._cuts[source, target] += 1
        super().cut(source, target)

    def uncut(self, source: str, target: str) -> None:
        """Undo one cut; the last one delivers what was held."""
        self._cuts[source, target] -= 1
        if self._cuts[source, target] > 0:
            return
        del self._cuts[source, target]
        self._cut_directions.discard((source, target))
        kept = []
        for held in self._held_frames:
            if held[:2] == (source, target):
                held[3].deliver(held[2])
            else:
                kept.append(held)
        self._held_frames = kept
