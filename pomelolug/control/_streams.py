"""Readers of the shared streams, and the exchange of records with peers."""

import asyncio
import datetime
import random

import structlog

from pomelolug.clock import Clock
from pomelolug.ids import Offset
from pomelolug.membership import Mesh, NodeInfo
from pomelolug.messages import Message, RecordsRequest, StreamRecords
from pomelolug.state import StreamReader

__all__ = ["StreamSet"]

_log = structlog.get_logger()
_ASK_EVERY = datetime.timedelta(seconds=1)


class StreamSet:
    """Runs the readers and asks peers for what the log does not give.

    A peer is asked as soon as it is known to be ahead, whether or not the log
    seems to answer: the longer way costs a message, waiting costs the bound on
    how soon a configuration is in force.

    Parameters
    ----------
    config, groups, containment : StreamReader
        Readers of the three streams.
    mesh : Mesh
        Peers.
    clock : Clock
        Time source.
    random_state : random.Random
        Chooses the peer to ask.
    """

    def __init__(
        self,
        *,
        config: StreamReader,
        groups: StreamReader,
        containment: StreamReader,
        mesh: Mesh,
        clock: Clock,
        random_state: random.Random,
    ) -> None:
        self._readers = {
            reader.stream: reader for reader in (config, groups, containment)
        }
        self._config = config
        self._groups = groups
        self._mesh = mesh
        self._clock = clock
        self._random = random_state
        mesh.on(RecordsRequest, self._on_request)
        mesh.on(StreamRecords, self._on_records)

    async def run(self) -> None:
        """Follow all streams until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for reader in self._readers.values():
                tasks.create_task(reader.run())
            while True:
                self._ask_peers()
                await self._clock.sleep(_ASK_EVERY)

    def _ask_peers(self) -> None:
        others = [info for info in self._mesh.live_nodes() if info.node != self._own()]
        self._ask(self._config, [i for i in others if self._is_ahead_config(i)])
        self._ask(self._groups, [i for i in others if self._is_ahead_groups(i)])

    def _own(self) -> str:
        return self._mesh.identity.node

    def _is_ahead_config(self, info: NodeInfo) -> bool:
        return info.config_version > self._config.offset

    def _is_ahead_groups(self, info: NodeInfo) -> bool:
        return info.groups_offset > self._groups.offset

    def _ask(self, reader: StreamReader, ahead: list[NodeInfo]) -> None:
        if ahead:
            peer = self._random.choice(ahead)
            request = RecordsRequest(
                stream=reader.stream, from_offset=reader.offset + 1
            )
            self._mesh.send(peer.node, request)

    async def _on_request(self, node: str, message: Message) -> None:
        assert isinstance(message, RecordsRequest)
        reader = self._readers.get(message.stream)
        if reader is None:
            return
        records = reader.records_from(Offset(message.from_offset))
        if records is not None:
            self._mesh.send(node, records)

    async def _on_records(self, node: str, message: Message) -> None:
        assert isinstance(message, StreamRecords)
        reader = self._readers.get(message.stream)
        if reader is not None:
            applied = reader.apply_relayed(message)
            if applied:
                _log.info("records_from_peer", peer=node, stream=message.stream)
