"""HTTP interface of simulated servers: requests, streams, orders and reports."""

import abc
import asyncio
import dataclasses
import hashlib
import random
import time
from collections.abc import Callable
from typing import Any

import msgspec

from pomelolug.deployment import (
    BackendServer,
    GroupMembership,
    GroupState,
    OrderResult,
)
from pomelolug.ids import GroupId, ModelName, VmId
from pomelolug.testing._group_servers import GroupServers, SimulatedServer
from pomelolug.transport import Exchange

__all__ = [
    "CRASHING_PROMPT_PART",
    "CRASH_PATH_PART",
    "GroupServerApp",
    "PlainServerApp",
    "ResponseFaults",
    "ServerApp",
    "encode_entry",
]

_JSON_HEADERS = ((b"Content-Type", b"application/json"),)
_STATUS_BY_RESULT = {
    OrderResult.SATISFIED: 200,
    OrderResult.BEGUN: 202,
    OrderResult.CONFLICT: 409,
    OrderResult.FENCED: 412,
}
_EVENT_INTERVAL_S = 0.02
"""Time between two events of a stream."""
_PLAIN_RESPONSE_TIME_S = 0.03
_POLL_INTERVAL_S = 0.02
_NO_RESPONSE_S = 3600.0

CRASH_PATH_PART = "/crash/"
CRASHING_PROMPT_PART = "dead0001"
"""Id of a part of prompts that crashes each server that runs a request with it."""
"""Part of the path of requests that crash each server that runs them."""

RequestCallback = Callable[[dict[str, Any]], None]
CrashCallback = Callable[[VmId], None]


@dataclasses.dataclass(slots=True)
class ResponseFaults:
    """Fraction of responses to corrupt, and factor that slows all responses.

    `request_limit_per_s` is the limit of requests named in responses, 0 for none.
    `states_leaving` adds to all responses that the server leaves. `pause_s` is the
    pause that requests are turned away with, 0 if they are not.
    """

    corrupted_share: float = 0.0
    slowdown_factor: float = 1.0
    request_limit_per_s: float = 0.0
    states_leaving: bool = False
    pause_s: float = 0.0


class ServerApp(abc.ABC):
    """Base class of plain servers and model servers.

    Parameters
    ----------
    vm : VmId
        Name of the server.
    on_request : callable
        Called with a record of each request when it begins to run.
    rng : random.Random
        Selects the responses to corrupt.
    on_crash : callable
        Called when a request that crashes servers begins to run.
    """

    def __init__(
        self,
        vm: VmId,
        *,
        on_request: RequestCallback,
        rng: random.Random,
        on_crash: CrashCallback,
    ) -> None:
        self._vm = vm
        self._on_request = on_request
        self._on_crash = on_crash
        self._rng = rng
        self.response_faults = ResponseFaults()
        self.is_unresponsive = False
        """Whether requests get no response."""
        self.life = 0
        """Number of restarts."""

    async def handle(self, exchange: Exchange) -> None:
        """Handle one request or order."""
        if self.is_unresponsive:
            await asyncio.sleep(_NO_RESPONSE_S)
        fields = {k.lower().decode(): v.decode() for k, v in exchange.headers}
        if fields.get("expect-instance", self._vm) != self._vm:
            exchange.reply(421, self._refusal_headers(fields), b"")
            return
        if self.response_faults.pause_s and not exchange.target.startswith(b"/-/"):
            self._turn_away(exchange, fields)
            return
        await self._handle_request(exchange, fields)

    def restart(self) -> None:
        """Forget the statements of the life that has ended."""
        self.life += 1
        self.is_unresponsive = False
        self.response_faults.states_leaving = False
        self.response_faults.pause_s = 0.0

    def _turn_away(self, exchange: Exchange, fields: dict[str, str]) -> None:
        pause_s = self.response_faults.pause_s
        self._on_request(
            {
                "refused": fields.get("request-id", ""),
                "vm": self._vm,
                "life": self.life,
                "pause": pause_s,
                "at": time.monotonic(),
            }
        )
        pause = (b"Retry-After", b"%.2f" % pause_s)
        exchange.reply(503, (*self._refusal_headers(fields), pause), b"")

    @abc.abstractmethod
    async def _handle_request(self, exchange: Exchange, fields: dict[str, str]) -> None:
        """Handle a request that is addressed to this server."""

    def _refusal_headers(
        self, fields: dict[str, str]
    ) -> tuple[tuple[bytes, bytes], ...]:
        return (
            (b"Request-Id", fields.get("request-id", "").encode()),
            (b"Not-Executed", b"1"),
            (b"At-Server", self._vm.encode()),
            *self._leaving_headers(),
        )

    def _leaving_headers(self) -> tuple[tuple[bytes, bytes], ...]:
        is_leaving = self.response_faults.states_leaving
        return ((b"Server-Leaving", b"1"),) if is_leaving else ()

    async def _start_run(self, exchange: Exchange, fields: dict[str, str]) -> None:
        """Report that a request begins to run; return unless it crashes the server."""
        self._on_request(
            {
                "run": fields.get("request-id", ""),
                "vm": self._vm,
                "account": fields.get("tenant", ""),
                "key": fields.get("authorization", ""),
                "path": exchange.target.decode(),
                "body": hashlib.sha256(exchange.body).hexdigest()[:16],
                "at": time.monotonic(),
                "life": self.life,
                "leaving": self.response_faults.states_leaving,
            }
        )
        if CRASH_PATH_PART in exchange.target.decode() or (
            CRASHING_PROMPT_PART in fields.get("prompt-prefix", "")
        ):
            self._on_crash(self._vm)
            await asyncio.sleep(_NO_RESPONSE_S)

    def _response_headers(
        self, fields: dict[str, str], content_type: bytes
    ) -> list[tuple[bytes, bytes]]:
        headers = [
            (b"Request-Id", fields.get("request-id", "").encode()),
            (b"Response-Seal", b"s." + fields.get("request-id", "").encode()),
            (b"Content-Type", content_type),
        ]
        limit_per_s = self.response_faults.request_limit_per_s
        if limit_per_s:
            headers.append((b"Server-Limit", b"%.2f" % limit_per_s))
        return headers + list(self._leaving_headers())

    def _should_corrupt(self) -> bool:
        return self._rng.random() < self.response_faults.corrupted_share


class PlainServerApp(ServerApp):
    """Responds to each request with a text that contains its path."""

    async def _handle_request(self, exchange: Exchange, fields: dict[str, str]) -> None:
        await self._start_run(exchange, fields)
        await asyncio.sleep(
            _PLAIN_RESPONSE_TIME_S * self.response_faults.slowdown_factor
        )
        if self.is_unresponsive:
            await asyncio.sleep(_NO_RESPONSE_S)
        body = b"answer to " + exchange.target
        headers = self._response_headers(fields, b"text/plain")
        if not self._should_corrupt():
            exchange.reply(200, tuple(headers), body)
            return
        fault = self._rng.choice(("foreign", "unsealed", "cut", "failed", "extra"))
        if fault == "foreign":
            headers[0] = (b"Request-Id", b"of-another-caller")
        elif fault == "unsealed":
            del headers[1]
        elif fault == "failed":
            exchange.reply(500, tuple(headers), b"")
            return
        elif fault == "cut":
            exchange.start(200, tuple(headers), length=len(body))
            exchange.write(body[:5])
            exchange.abort()
            return
        exchange.reply(200, tuple(headers), body)
        if fault == "extra":
            exchange.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")


class GroupServerApp(ServerApp):
    """Model server of a fabric domain.

    Parameters
    ----------
    servers : GroupServers
        The servers of the domain.
    slots : int
        Number of requests that a head runs concurrently.
    """

    def __init__(
        self,
        vm: VmId,
        *,
        servers: GroupServers,
        slots: int,
        on_request: RequestCallback,
        rng: random.Random,
        on_crash: CrashCallback,
    ) -> None:
        super().__init__(vm, on_request=on_request, rng=rng, on_crash=on_crash)
        self._servers = servers
        self._slots = slots
        self._running_count = 0

    @property
    def _server(self) -> SimulatedServer:
        return self._servers.servers[self._vm]

    async def _handle_request(self, exchange: Exchange, fields: dict[str, str]) -> None:
        path = exchange.target.decode()
        if path == "/-/report":
            headers = (*_JSON_HEADERS, *self._leaving_headers())
            exchange.reply(200, headers, msgspec.json.encode(self._build_report()))
        elif path == "/-/order":
            await self._handle_order(exchange)
        else:
            await self._handle_stream(exchange, fields)

    def _build_report(self) -> dict[str, Any]:
        server = self._server
        report = _build_state(server.membership, server.model, server.staged)
        report |= {
            "seq": server.orders_begun,
            "born": server.start_time_ms,
            "queued": 0,
        }
        return report | {"running": self._running_count, "kv_used": 0, "pace": 1.0}

    async def _handle_order(self, exchange: Exchange) -> None:
        order = msgspec.json.decode(exchange.body)
        result = await self._execute_order(self._registry_entry(), order)
        exchange.reply(_STATUS_BY_RESULT[result], _JSON_HEADERS, b"{}")

    def _registry_entry(self) -> BackendServer:
        return self._servers.build_entry(self._vm)

    async def _execute_order(
        self, server: BackendServer, order: dict[str, Any]
    ) -> OrderResult:
        orders_begun = order["precondition"]
        if order["operation"] == "stage":
            model = ModelName(order["model"])
            return await self._servers.stage(
                server, model=model, fence=order["fence"], orders_begun=orders_begun
            )
        group, epoch = GroupId(order["group"]), order["epoch"]
        if order["operation"] == "join":
            return await self._servers.join(
                server,
                group=group,
                epoch=epoch,
                model=ModelName(order["model"]),
                members=tuple(VmId(vm) for vm in order["members"]),
                orders_begun=orders_begun,
            )
        common = {
            "group": group,
            "epoch": epoch,
            "fence": order["fence"],
            "orders_begun": orders_begun,
        }
        if order["operation"] == "open":
            return await self._servers.open(server, **common)
        if order["operation"] == "leave":
            return await self._servers.leave(server, **common)
        finish = order["close_mode"] == "queue"
        return await self._servers.close(server, finish=finish, **common)

    async def _handle_stream(self, exchange: Exchange, fields: dict[str, str]) -> None:
        server = self._server
        membership = server.membership
        can_serve = (
            membership is not None
            and membership.rank == 0
            and membership.state is GroupState.OPEN
            and server.broken_at_s is None
            and server.model == fields.get("model")
        )
        if not can_serve or self._running_count >= self._slots:
            exchange.reply(503, self._refusal_headers(fields), b"")
            return
        self._running_count += 1
        try:
            await self._start_run(exchange, fields)
            await self._send_events(exchange, fields, server)
        finally:
            self._running_count -= 1

    async def _send_events(
        self, exchange: Exchange, fields: dict[str, str], server: SimulatedServer
    ) -> None:
        """Send the events after Last-Event-Id; the path ends with the total number."""
        event_count = int(exchange.target.rpartition(b"/")[2])
        first = int(fields.get("last-event-id", "0")) + 1
        truncated_event = (
            self._rng.randint(first, event_count) if self._should_corrupt() else 0
        )
        for number in range(first, event_count + 1):
            await asyncio.sleep(
                _EVENT_INTERVAL_S * self.response_faults.slowdown_factor
            )
            if not await self._can_continue(server):
                exchange.abort()
                return
            if not exchange.has_started:
                headers = self._response_headers(fields, b"text/event-stream")
                exchange.start(200, tuple(headers), length=None)
            event = b"id: %d\ndata: token %d\n\n" % (number, number)
            if number == truncated_event:
                exchange.write(event[:-3])
                exchange.abort()
                return
            exchange.write(event)
            await exchange.drain()
        if not exchange.has_started:
            headers = self._response_headers(fields, b"text/event-stream")
            exchange.start(200, tuple(headers), length=None)
        exchange.finish()

    async def _can_continue(self, server: SimulatedServer) -> bool:
        """Wait while a member is missing, and return whether the stream can go on.

        It cannot once the group is broken or this server has restarted.
        """
        while (
            server.broken_at_s is not None or self.is_unresponsive or not server.alive
        ):
            if self._server is not server:
                return False
            if (
                server.broken_at_s is not None
                and not self.is_unresponsive
                and server.alive
            ):
                if asyncio.get_running_loop().time() >= server.broken_at_s:
                    return False
            await asyncio.sleep(_POLL_INTERVAL_S)
        return self._server is server


def _build_state(
    membership: GroupMembership | None, model: ModelName | None, staged: set[ModelName]
) -> dict[str, Any]:
    state: dict[str, Any] = {"staged": sorted(staged), "models": [], "group": None}
    if model is not None:
        state["models"] = [{"name": model, "version": 1, "adapters": []}]
    if membership is not None:
        state["group"] = {
            "name": membership.group,
            "epoch": membership.epoch,
            "rank": membership.rank,
            "state": membership.state.value,
        }
    return state


def encode_entry(server: BackendServer) -> bytes:
    """Encode the entry of a server as the metadata store holds it."""
    state = _build_state(server.membership, server.model, set(server.staged))
    return msgspec.json.encode(
        state
        | {
            "service": server.service,
            "address": server.address,
            "zone": server.zone,
            "state": server.state.value,
            "slots": server.slots,
            "born": server.start_time_ms,
            "domain": server.domain,
            "seq": 1,
        }
    )
