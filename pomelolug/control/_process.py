"""Control process: its tasks, message handlers and operator pages."""

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
from pomelolug.control._gateways import GatewayConnections
from pomelolug.control._http import PageHandler
from pomelolug.control._metrics import ControlMetrics
from pomelolug.control._statuses import GroupStatusCache
from pomelolug.control._streams import StreamFollower
from pomelolug.control._tables import RoutingTableBuilder
from pomelolug.control._watchers import WatcherSet
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

__all__ = ["ControlParts", "ControlProcess"]

_log = structlog.get_logger()
_STATUS_PULL_INTERVAL = datetime.timedelta(milliseconds=500)
_MAX_KNOWN_LOSSES = 2048
_HOUSEKEEPING_INTERVAL = datetime.timedelta(seconds=1)


class ControlParts(msgspec.Struct, frozen=True, kw_only=True):
    """Connected components of a control process."""

    node: str
    mesh: Mesh
    config_reader: StreamReader
    config_fold: ConfigurationFold
    groups_reader: StreamReader
    groups_fold: GroupsFold
    containment_reader: StreamReader
    containment_fold: ContainmentFold
    appender: Appender
    stream_follower: StreamFollower
    checkpoint_publishers: tuple[CheckpointPublisher, ...]
    directory: DirectoryPoller
    status_cache: GroupStatusCache
    watchers: WatcherSet
    controller: GroupController
    claim_router: ClaimRouter
    table_builder: RoutingTableBuilder
    gateways: GatewayConnections
    event_log: EventLog
    metrics: ControlMetrics
    invariants: InvariantChecker
    clock: Clock


class ControlProcess:
    """Runs the components of a control process and passes messages between them.

    Parameters
    ----------
    parts : ControlParts
        Components of the process.
    """

    def __init__(self, parts: ControlParts) -> None:
        self._parts = parts
        self._append_tasks: set[asyncio.Task[None]] = set()
        self._config_version = -1
        self._known_losses: dict[str, None] = {}
        mesh = parts.mesh
        mesh.on(StatusPull, self._on_status_pull)
        mesh.on(StatusBatch, self._on_status_batch)
        mesh.on(LossReport, self._on_peer_loss)
        mesh.on_change(self._on_node_change)
        parts.config_reader.subscribe(self._on_configuration)
        parts.groups_reader.subscribe(self._on_groups)
        parts.containment_reader.subscribe(self._on_containment)

    @property
    def identity(self) -> Identity:
        """Identity that this process presents in a handshake."""
        return self._parts.mesh.identity

    async def serve(self, connection: Connection) -> None:
        """Serve an authenticated connection according to the role of the peer."""
        if connection.peer.role is Role.CONTROL:
            await self._parts.mesh.serve(connection)
        elif connection.peer.role is Role.GATEWAY:
            await self._parts.gateways.serve(connection)
        else:
            connection.close("role is not served")

    async def run(self) -> None:
        """Run all components until cancelled or until one of them fails."""
        parts = self._parts
        coroutines: tuple[Coroutine[Any, Any, None], ...] = (
            parts.mesh.run(),
            parts.stream_follower.run(),
            *(publisher.run() for publisher in parts.checkpoint_publishers),
            parts.directory.run(),
            parts.watchers.run(),
            parts.controller.run(),
            parts.claim_router.run(),
            self._pull_statuses(),
            self._run_housekeeping(),
        )
        async with asyncio.TaskGroup() as tasks:
            for coroutine in coroutines:
                tasks.create_task(coroutine)

    async def _pull_statuses(self) -> None:
        parts = self._parts
        while True:
            for peer in parts.mesh.connected_nodes:
                parts.mesh.send(
                    peer, parts.status_cache.create_pull(peer), key="status pull"
                )
            await parts.clock.sleep(_STATUS_PULL_INTERVAL)

    async def _on_status_pull(self, node: str, message: Message) -> None:
        assert isinstance(message, StatusPull)
        batch = self._parts.status_cache.create_batch(message)
        self._parts.mesh.send(node, batch, key="status batch")

    async def _on_status_batch(self, node: str, message: Message) -> None:
        assert isinstance(message, StatusBatch)
        self._parts.status_cache.add_batch(node, message)

    def on_gateway_loss(self, report: LossReport) -> None:
        """Share the report of a lost group from a gateway of this VM."""
        parts = self._parts
        parts.event_log.add(
            "group_lost", group=report.group, requests=len(report.fingerprints)
        )
        parts.mesh.broadcast(report)
        parts.gateways.broadcast(report)
        task = asyncio.create_task(self._append_loss(report))
        self._append_tasks.add(task)
        task.add_done_callback(self._append_tasks.discard)

    async def _append_loss(self, report: LossReport) -> None:
        try:
            await self._parts.appender.append(
                CONTAINMENT_STREAM, RecordKind.CONTAINMENT, report
            )
        except PomelolugError as error:
            # Live peers receive the report over the mesh; the log copy is only
            # needed by nodes that missed it, such as those that start later.
            _log.warning("loss_not_appended", code=error.code.value)

    async def _on_peer_loss(self, node: str, message: Message) -> None:
        self._parts.gateways.broadcast(message)

    def _on_node_change(self, info: NodeInfo) -> None:
        self._parts.event_log.add("node", node=info.node, state=info.state.value)
        self._parts.status_cache.forget_peer(info.node)

    def _on_configuration(self) -> None:
        parts = self._parts
        version = parts.config_fold.version
        self._announce_offsets()
        if version == self._config_version:
            return
        with contextlib.suppress(PomelolugError):
            parts.invariants.check_configuration(version)
        self._config_version = version
        parts.metrics.config_version.set(version)
        parts.event_log.add("configuration", version=version)
        _log.info("configuration_in_force", version=version)
        parts.gateways.push_tables()

    def _on_groups(self) -> None:
        self._announce_offsets()
        self._parts.watchers.update_watchers()
        self._parts.gateways.push_tables()

    def _on_containment(self) -> None:
        # A node that was paused or disconnected reads from the log the reports that
        # its peers exchanged in the meantime.
        for report in self._parts.containment_fold.losses:
            if report.loss_id not in self._known_losses:
                self._known_losses[report.loss_id] = None
                self._parts.gateways.broadcast(report)
        while len(self._known_losses) > _MAX_KNOWN_LOSSES:
            del self._known_losses[next(iter(self._known_losses))]

    def _announce_offsets(self) -> None:
        parts = self._parts
        parts.mesh.set_versions(
            config_version=parts.config_reader.offset,
            groups_offset=parts.groups_reader.offset,
        )

    async def _run_housekeeping(self) -> None:
        parts = self._parts
        while True:
            parts.mesh.add_addresses(
                entry.address
                for entry in parts.directory.entries_with_role(VmRole.ENTRY)
            )
            self._update_metrics()
            await parts.clock.sleep(_HOUSEKEEPING_INTERVAL)

    def _update_metrics(self) -> None:
        parts = self._parts
        phases = [status.phase for status in parts.table_builder.live_statuses()]
        for phase in GroupPhase:
            parts.metrics.groups.labels(phase.value).set(phases.count(phase.value))
        parts.metrics.vm_list_age.set(parts.directory.age_s)
        for reader in (
            parts.config_reader,
            parts.groups_reader,
            parts.containment_reader,
        ):
            is_following = reader.state is ReaderState.FOLLOWING
            parts.metrics.stream_offset.labels(reader.stream).set(reader.offset)
            parts.metrics.stream_following.labels(reader.stream).set(is_following)

    def pages(self) -> dict[str, PageHandler]:
        """Return the handlers of the operator pages by path."""
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
        observed = {s.group: s for s in self._parts.table_builder.live_statuses()}
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
                    "from_peer": reader.is_from_peer,
                    "refused": {k.value: v for k, v in reader.refusals.items()},
                }
                for reader in (
                    parts.config_reader,
                    parts.groups_reader,
                    parts.containment_reader,
                )
            ],
            "relayed_partitions": parts.claim_router.partitions,
            "vm_list_age_s": parts.directory.age_s,
        }

    def _configuration_page(self, query: Mapping[str, str]) -> object:
        fold = self._parts.config_fold
        return {"version": fold.version, "document": _without_keys(fold.document)}

    def _events_page(self, query: Mapping[str, str]) -> object:
        since = query.get("since", "0")
        serial = int(since) if since.isdigit() else 0
        return {"events": self._parts.event_log.since(serial)}

    def _explain_page(self, query: Mapping[str, str]) -> object:
        request = query.get("request", "")
        return {"request": request, "steps": self._parts.gateways.explain(request)}


def _without_keys(document: str) -> str:
    """Return a configuration document with the hashes of account keys hidden."""
    lines = [
        "keys = (hidden)" if line.strip().startswith("keys") else line
        for line in document.splitlines()
    ]
    return "\n".join(lines)
