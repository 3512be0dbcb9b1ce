"""Readers of the shared streams and exchange of their records with peers."""

import asyncio
import datetime
import random

import structlog

from pomelolug.clock import Clock
from pomelolug.ids import Offset
from pomelolug.membership import Mesh, NodeInfo
from pomelolug.messages import Message, RecordsRequest, StreamRecords
from pomelolug.state import StreamReader

__all__ = ["StreamFollower"]

_log = structlog.get_logger()
_PEER_REQUEST_INTERVAL = datetime.timedelta(seconds=1)


class StreamFollower:
    """Runs the stream readers and requests missing records from peers.

    Records are requested as soon as a peer is known to be ahead, whether or not
    the log seems to respond: an unnecessary request costs one message, but waiting
    could exceed the time within which a configuration has to be in force.

    Parameters
    ----------
    config_reader, groups_reader, containment_reader : StreamReader
        Readers of the three streams.
    mesh : Mesh
        Connections to the peers.
    clock : Clock
        Time source.
    random_state : random.Random
        Source of the choice among peers.
    """

    def __init__(
        self,
        *,
        config_reader: StreamReader,
        groups_reader: StreamReader,
        containment_reader: StreamReader,
        mesh: Mesh,
        clock: Clock,
        random_state: random.Random,
    ) -> None:
        self._readers = {
            reader.stream: reader
            for reader in (config_reader, groups_reader, containment_reader)
        }
        self._config_reader = config_reader
        self._groups_reader = groups_reader
        self._mesh = mesh
        self._clock = clock
        self._random = random_state
        mesh.on(RecordsRequest, self._on_request)
        mesh.on(StreamRecords, self._on_records)

    async def run(self) -> None:
        """Follow all streams and request missing records until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for reader in self._readers.values():
                tasks.create_task(reader.run())
            while True:
                self._request_from_peers()
                await self._clock.sleep(_PEER_REQUEST_INTERVAL)

    def _request_from_peers(self) -> None:
        other_nodes = [
            info for info in self._mesh.live_nodes() if info.node != self._own_node()
        ]
        self._request_records(
            self._config_reader, [i for i in other_nodes if self._has_newer_config(i)]
        )
        self._request_records(
            self._groups_reader, [i for i in other_nodes if self._has_newer_groups(i)]
        )

    def _own_node(self) -> str:
        return self._mesh.identity.node

    def _has_newer_config(self, info: NodeInfo) -> bool:
        return info.config_version > self._config_reader.offset

    def _has_newer_groups(self, info: NodeInfo) -> bool:
        return info.groups_offset > self._groups_reader.offset

    def _request_records(
        self, reader: StreamReader, newer_peers: list[NodeInfo]
    ) -> None:
        if newer_peers:
            peer = self._random.choice(newer_peers)
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
