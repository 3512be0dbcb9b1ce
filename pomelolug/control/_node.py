"""One control process: its tasks and what it shows to operators."""

import asyncio
import contextlib
import datetime
from collections.abc import Coroutine, Mapping
from typing import Any

import msgspec
import structlog

from pomelolug.clock import Clock
from pomelolug.configuration import ConfigurationFold
from pomelolug.control._claims import ClaimRouter
from pomelolug.control._containment import CONTAINMENT_STREAM, ContainmentFold
from pomelolug.control._directory import DirectoryPoller
from pomelolug.control._events import EventLog
from pomelolug.control._gateways import GatewayHub
from pomelolug.control._http import Page
from pomelolug.control._metrics import ControlMetrics
from pomelolug.control._statuses import StatusBoard
from pomelolug.control._streams import StreamSet
from pomelolug.control._tables import TableBuilder
from pomelolug.control._watching import WatcherSet
from pomelolug.errors import PomelolugError
from pomelolug.groups import GroupController, GroupPhase, GroupsFold
from pomelolug.infrastructure import VmRole
from pomelolug.invariants import InvariantChecker
from pomelolug.membership import Connection, Identity, Mesh, NodeInfo, Role
from pomelolug.messages import LossReport, Message, StatusBatch, StatusPull
from pomelolug.state import (
    Appender,
    CheckpointPublisher,
    ReaderState,
    RecordKind,
    StreamReader,
)

__all__ = ["ControlNode", "ControlParts"]

_log = structlog.get_logger()
_PULL_EVERY = datetime.timedelta(milliseconds=500)
_MAX_KNOWN_LOSSES = 2048
_HOUSEKEEPING_EVERY = datetime.timedelta(seconds=1)


class ControlParts(msgspec.Struct, frozen=True, kw_only=True):
    """The wired parts of a control process."""

    node: str
    mesh: Mesh
    config: StreamReader
    config_fold: ConfigurationFold
    groups: StreamReader
    groups_fold: GroupsFold
    containment: StreamReader
    containment_fold: ContainmentFold
    appender: Appender
    streams: StreamSet
    checkpoints: tuple[CheckpointPublisher, ...]
    directory: DirectoryPoller
    board: StatusBoard
    watchers: WatcherSet
    controller: GroupController
    claims: ClaimRouter
    tables: TableBuilder
    gateways: GatewayHub
    events: EventLog
    metrics: ControlMetrics
    invariants: InvariantChecker
    clock: Clock


class ControlNode:
    """Runs the parts of a control process and connects them.

    Parameters
    ----------
    parts : ControlParts
        The wired parts.
    """

    def __init__(self, parts: ControlParts) -> None:
        self._parts = parts
        self._appending: set[asyncio.Task[None]] = set()
        self._version = -1
        self._known_losses: dict[str, None] = {}
        mesh = parts.mesh
        mesh.on(StatusPull, self._on_status_pull)
        mesh.on(StatusBatch, self._on_status_batch)
        mesh.on(LossReport, self._on_peer_loss)
        mesh.on_change(self._on_node)
        parts.config.subscribe(self._on_configuration)
        parts.groups.subscribe(self._on_groups)
        parts.containment.subscribe(self._on_containment)

    @property
    def identity(self) -> Identity:
        """Identity of this process at a handshake."""
        return self._parts.mesh.identity

    async def serve(self, connection: Connection) -> None:
        """Run an authenticated connection by the role of its other end."""
        if connection.peer.role is Role.CONTROL:
            await self._parts.mesh.serve(connection)
        elif connection.peer.role is Role.GATEWAY:
            await self._parts.gateways.serve(connection)
        else:
            connection.close("role is not served")

    async def run(self) -> None:
        """Run every part until cancelled or one of them fails."""
        parts = self._parts
        work: tuple[Coroutine[Any, Any, None], ...] = (
            parts.mesh.run(),
            parts.streams.run(),
            *(publisher.run() for publisher in parts.checkpoints),
            parts.directory.run(),
            parts.watchers.run(),
            parts.controller.run(),
            parts.claims.run(),
            self._pull_statuses(),
            self._housekeep(),
        )
        async with asyncio.TaskGroup() as tasks:
            for coroutine in work:
                tasks.create_task(coroutine)

    async def _pull_statuses(self) -> None:
        parts = self._parts
        while True:
            for peer in parts.mesh.connected_nodes:
                parts.mesh.send(peer, parts.board.pull(peer), key="status pull")
            await parts.clock.sleep(_PULL_EVERY)

    async def _on_status_pull(self, node: str, message: Message) -> None:
        assert isinstance(message, StatusPull)
        batch = self._parts.board.answer(message)
        self._parts.mesh.send(node, batch, key="status batch")

    async def _on_status_batch(self, node: str, message: Message) -> None:
        assert isinstance(message, StatusBatch)
        self._parts.board.learn(node, message)

    def on_gateway_loss(self, report: LossReport) -> None:
        """Share a loss that a gateway of this VM has seen."""
        parts = self._parts
        parts.events.note(
            "group_lost", group=report.group, requests=len(report.fingerprints)
        )
        parts.mesh.broadcast(report)
        parts.gateways.broadcast(report)
        task = asyncio.create_task(self._append_loss(report))
        self._appending.add(task)
        task.add_done_callback(self._appending.discard)

    async def _append_loss(self, report: LossReport) -> None:
        try:
            await self._parts.appender.append(
                CONTAINMENT_STREAM, RecordKind.CONTAINMENT, report
            )
        except PomelolugError as error:
            # Peers have the report; the log only serves nodes that start later.
            _log.warning("loss_not_appended", code=error.code.value)

    async def _on_peer_loss(self, node: str, message: Message) -> None:
        self._parts.gateways.broadcast(message)

    def _on_node(self, info: NodeInfo) -> None:
        self._parts.events.note("node", node=info.node, state=info.state.value)
        self._parts.board.forget_peer(info.node)

    def _on_configuration(self) -> None:
        parts = self._parts
        version = parts.config_fold.version
        self._announce()
        if version == self._version:
            return
        with contextlib.suppress(PomelolugError):
            parts.invariants.check_configuration(version)
        self._version = version
        parts.metrics.config_version.set(version)
        parts.events.note("configuration", version=version)
        _log.info("configuration_in_force", version=version)
        parts.gateways.push()

    def _on_groups(self) -> None:
        self._announce()
        self._parts.watchers.review()
        self._parts.gateways.push()

    def _on_containment(self) -> None:
        # A node that was paused or cut off learns from the log what its peers
        # have told each other meanwhile.
        for report in self._parts.containment_fold.losses:
            if report.loss_id not in self._known_losses:
                self._known_losses[report.loss_id] = None
                self._parts.gateways.broadcast(report)
        while len(self._known_losses) > _MAX_KNOWN_LOSSES:
            del self._known_losses[next(iter(self._known_losses))]

    def _announce(self) -> None:
        parts = self._parts
        parts.mesh.set_versions(
            config_version=parts.config.offset, groups_offset=parts.groups.offset
        )

    async def _housekeep(self) -> None:
        parts = self._parts
        while True:
            parts.mesh.add_addresses(
                entry.address for entry in parts.directory.with_role(VmRole.ENTRY)
            )
            self._measure()
            await parts.clock.sleep(_HOUSEKEEPING_EVERY)

    def _measure(self) -> None:
        parts = self._parts
        phases = [status.phase for status in parts.tables.groups()]
        for phase in GroupPhase:
            parts.metrics.groups.labels(phase.value).set(phases.count(phase.value))
        parts.metrics.vm_list_age.set(parts.directory.age_s)
        for reader in (parts.config, parts.groups, parts.containment):
            following = reader.state is ReaderState.FOLLOWING
            parts.metrics.stream_offset.labels(reader.stream).set(reader.offset)
            parts.metrics.stream_following.labels(reader.stream).set(following)

    def pages(self) -> dict[str, Page]:
        """Return the operators' pages by path."""
        return {
            "/v1/nodes": self._nodes_page,
            "/v1/groups": self._groups_page,
            "/v1/streams": self._streams_page,
            "/v1/configuration": self._configuration_page,
            "/v1/events": self._events_page,
            "/v1/explain": self._explain_page,
        }

    def _nodes_page(self, query: Mapping[str, str]) -> object:
        nodes = [
            {
                "node": info.node,
                "zone": info.zone,
                "region": info.region,
                "address": info.address,
                "state": info.state.value,
                "config_version": info.config_version,
                "groups_offset": info.groups_offset,
            }
            for info in self._parts.mesh.nodes()
        ]
        return {"nodes": nodes}

    def _groups_page(self, query: Mapping[str, str]) -> object:
        observed = {s.group: s for s in self._parts.tables.groups()}
        groups = []
        for group in self._parts.groups_fold.groups.values():
            status = observed.get(group.id)
            groups.append(
                {
                    "group": group.id,
                    "pool": group.pool,
                    "token": group.token,
                    "members": group.vms,
                    "phase": status.phase if status else GroupPhase.FORMING.value,
                    "verified_age_s": status.verified_age_s if status else None,
                    "load": status.load if status else None,
                }
            )
        return {"groups": groups, "drained": sorted(self._parts.groups_fold.drained)}

    def _streams_page(self, query: Mapping[str, str]) -> object:
        parts = self._parts
        return {
            "streams": [
                {
                    "stream": reader.stream,
                    "state": reader.state.value,
                    "offset": reader.offset,
                    "from_peer": reader.from_peer,
                    "refused": {k.value: v for k, v in reader.refusals.items()},
                }
                for reader in (parts.config, parts.groups, parts.containment)
            ],
            "relayed_partitions": parts.claims.partitions,
            "vm_list_age_s": parts.directory.age_s,
        }

    def _configuration_page(self, query: Mapping[str, str]) -> object:
        fold = self._parts.config_fold
        return {"version": fold.version, "document": _without_keys(fold.text)}

    def _events_page(self, query: Mapping[str, str]) -> object:
        since = query.get("since", "0")
        serial = int(since) if since.isdigit() else 0
        return {"events": self._parts.events.since(serial)}

    def _explain_page(self, query: Mapping[str, str]) -> object:
        request = query.get("request", "")
        return {"request": request, "steps": self._parts.gateways.explain(request)}


def _without_keys(document: str) -> str:
    """Return a document without the hashes of the accounts' keys."""
    lines = [
        "keys = (hidden)" if line.strip().startswith("keys") else line
        for line in document.splitlines()
    ]
    return "\n".join(lines)
