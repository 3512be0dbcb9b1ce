"""Answers to the balancer, to peers and to operators."""

from collections.abc import Mapping
from typing import Any

import msgspec

from pomelolug.deployment import ServerRegistry
from pomelolug.entry._board import ServerBoard
from pomelolug.entry._feeds import DeclarationKeeper
from pomelolug.entry._lifecycle import Lifecycle
from pomelolug.entry._metrics import EntryMetrics
from pomelolug.entry._peering import DECLARATION_PATH, Peering
from pomelolug.entry._relay import RECORDS_PATH, serve_records
from pomelolug.feeds import TopicFeed
from pomelolug.platform import READY_PATH
from pomelolug.replicas import ControllerLease, group_views
from pomelolug.transport import Exchange

__all__ = ["SideHandlers"]

_STATUS_PATH = b"/status"
_JSON = ((b"Content-Type", b"application/json"),)
_TEXT = ((b"Content-Type", b"text/plain; version=0.0.4"),)


class SideHandlers:
    """Handlers of the addresses beside the callers' one."""

    def __init__(
        self,
        *,
        lifecycle: Lifecycle,
        declarations: DeclarationKeeper,
        board: ServerBoard,
        registry: ServerRegistry,
        duty: ControllerLease,
        metrics: EntryMetrics,
        peering: Peering,
        feeds: Mapping[str, TopicFeed],
    ) -> None:
        self._lifecycle = lifecycle
        self._declarations = declarations
        self._board = board
        self._registry = registry
        self._duty = duty
        self._metrics = metrics
        self._peering = peering
        self._feeds = feeds

    async def readiness(self, exchange: Exchange) -> None:
        """Answer whether the node takes callers."""
        if exchange.target != READY_PATH:
            exchange.reply(404, (), b"")
            return
        reason = self._lifecycle.reason()
        exchange.reply(503 if reason else 200, (), reason.encode())

    async def peer(self, exchange: Exchange) -> None:
        """Answer with the declaration in force, or the node's state."""
        if exchange.target == DECLARATION_PATH and self._declarations.raw:
            exchange.reply(200, _JSON, self._declarations.raw)
        elif exchange.target.startswith(RECORDS_PATH):
            await serve_records(exchange, self._feeds)
        elif exchange.target == _STATUS_PATH:
            exchange.reply(200, _JSON, msgspec.json.encode(self._state()))
        else:
            exchange.reply(404, (), b"")

    async def metrics(self, exchange: Exchange) -> None:
        """Answer with the metrics as text."""
        exchange.reply(200, _TEXT, self._metrics.render())

    def _state(self) -> dict[str, Any]:
        views = group_views(self._registry.servers.values())
        return {
            "declaration": self._declarations.version,
            "store_ages_s": {t: round(f.age_s, 3) for t, f in self._feeds.items()},
            "relay": self._peering.is_relay,
            "ready": self._lifecycle.reason() or "ready",
            "forms_groups": self._duty.is_held,
            "peers": {p.node: p.declaration for p in self._peering.peers},
            "suspects": self._board.suspects(),
            "groups": [
                {
                    "group": view.key[0],
                    "epoch": view.key[1],
                    "model": view.model,
                    "state": view.head_state.value if view.head_state else "no_head",
                    "members": {r: s.vm for r, s in sorted(view.members.items())},
                    "in_flight": self._board.in_flight(view.head.vm)
                    if view.head
                    else 0,
                }
                for view in views.values()
            ],
        }
