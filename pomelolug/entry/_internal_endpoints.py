"""HTTP endpoints for the load balancer, for peers and for operators."""

from collections.abc import Mapping
from typing import Any

import msgspec

from pomelolug.deployment import ServerRegistry
from pomelolug.entry._lifecycle import Lifecycle
from pomelolug.entry._metrics import EntryMetrics
from pomelolug.entry._topic_consumers import DeclarationCache
from pomelolug.entry.peers import (
    COMPRESSED_FIELD,
    DECLARATION_PATH,
    RECORDS_PATH,
    PeerCoordinator,
    accepts_compressed,
    serve_records,
)
from pomelolug.entry.preview import (
    DISPATCH_PREVIEW_PATH,
    PREVIEW_PATH,
    PreviewEndpoint,
)
from pomelolug.entry.servers import EvacuatedZones, ServerContact, ServerTracker
from pomelolug.feeds import TopicFeed
from pomelolug.platform import READY_PATH
from pomelolug.replicas import ControllerLease, group_views
from pomelolug.transport import Exchange

__all__ = ["InternalEndpoints"]

_STATUS_PATH = b"/status"
_JSON_HEADERS = ((b"Content-Type", b"application/json"),)
_METRICS_HEADERS = ((b"Content-Type", b"text/plain; version=0.0.4"),)


class InternalEndpoints:
    """Request handlers of the addresses that callers do not use."""

    def __init__(
        self,
        *,
        lifecycle: Lifecycle,
        declarations: DeclarationCache,
        server_tracker: ServerTracker,
        registry: ServerRegistry,
        lease: ControllerLease,
        metrics: EntryMetrics,
        peer_coordinator: PeerCoordinator,
        feeds: Mapping[str, TopicFeed],
        server_contact: ServerContact,
        evacuated_zones: EvacuatedZones,
        previews: PreviewEndpoint,
    ) -> None:
        self._lifecycle = lifecycle
        self._declarations = declarations
        self._server_tracker = server_tracker
        self._registry = registry
        self._lease = lease
        self._metrics = metrics
        self._peer_coordinator = peer_coordinator
        self._feeds = feeds
        self._server_contact = server_contact
        self._evacuated_zones = evacuated_zones
        self._previews = previews

    async def handle_readiness(self, exchange: Exchange) -> None:
        """Answer 200 if the node is ready for callers, else 503 with the reason."""
        if exchange.target != READY_PATH:
            exchange.reply(404, (), b"")
            return
        reason = self._lifecycle.unready_reason()
        exchange.reply(503 if reason else 200, (), reason.encode())

    async def handle_peer(self, exchange: Exchange) -> None:
        """Answer with the declaration, records, the state of the node or a preview."""
        if exchange.target == DECLARATION_PATH and self._declarations.encoded:
            self._reply_declaration(exchange)
        elif exchange.target.startswith(RECORDS_PATH):
            await serve_records(exchange, self._feeds)
        elif exchange.target == _STATUS_PATH:
            exchange.reply(
                200, _JSON_HEADERS, msgspec.json.encode(self._describe_state())
            )
        elif exchange.target in (PREVIEW_PATH, DISPATCH_PREVIEW_PATH):
            await self._previews.handle(exchange)
        else:
            exchange.reply(404, (), b"")

    def _reply_declaration(self, exchange: Exchange) -> None:
        if accepts_compressed(exchange.headers):
            headers = (*_JSON_HEADERS, COMPRESSED_FIELD)
            exchange.reply(200, headers, self._declarations.compressed)
        else:
            exchange.reply(200, _JSON_HEADERS, self._declarations.encoded)

    async def handle_metrics(self, exchange: Exchange) -> None:
        """Answer with the metrics in the Prometheus text format."""
        exchange.reply(200, _METRICS_HEADERS, self._metrics.render())

    def _describe_state(self) -> dict[str, Any]:
        views = group_views(self._registry.servers.values())
        return {
            "declaration": self._declarations.version,
            "store_ages_s": {t: round(f.age_s, 3) for t, f in self._feeds.items()},
            "relay": self._peer_coordinator.is_relay,
            "ready": self._lifecycle.unready_reason() or "ready",
            "reaches_servers": not self._server_contact.is_cut_off,
            "evacuated_zones": sorted(self._evacuated_zones.zones),
            "forms_groups": self._lease.is_held,
            "peers": {p.node: p.declaration for p in self._peer_coordinator.live_peers},
            "suspects": self._server_tracker.suspects(),
            "groups": [
                {
                    "group": view.key[0],
                    "epoch": view.key[1],
                    "model": view.model,
                    "state": view.head_state.value if view.head_state else "no_head",
                    "members": {r: s.vm for r, s in sorted(view.members.items())},
                    "in_flight": self._server_tracker.in_flight(view.head.vm)
                    if view.head
                    else 0,
                }
                for view in views.values()
            ],
        }
