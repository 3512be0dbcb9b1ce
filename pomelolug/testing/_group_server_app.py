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

__all__ = ["Garble", "GroupServerApp", "PlainServerApp", "ServerApp", "entry_bytes"]

_JSON = ((b"Content-Type", b"application/json"),)
_STATUS = {
    OrderResult.SATISFIED: 200,
    OrderResult.BEGUN: 202,
    OrderResult.CONFLICT: 409,
    OrderResult.FENCED: 412,
}
_STEP_S = 0.02
"""Time between two events of a stream."""
_PLAIN_S = 0.03
_POLL_S = 0.02
_FOREVER_S = 3600.0

Note = Callable[[dict[str, Any]], None]


@dataclasses.dataclass(slots=True)
class Garble:
    """Share of answers that are spoilt, and by how much all are slowed."""

    share: float = 0.0
    slowness: float = 1.0


class ServerApp(abc.ABC):
    """What plain servers and model servers have in common.

    Parameters
    ----------
    vm : VmId
        Name of the server.
    note : callable
        Called with each request that begins to run.
    rng : random.Random
        Chooses which answers are spoilt.
    """

    def __init__(self, vm: VmId, *, note: Note, rng: random.Random) -> None:
        self._vm = vm
        self._note = note
        self._rng = rng
        self.garble = Garble()
        self.dark = False
        """Whether nothing is answered any more."""

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request or order."""
        if self.dark:
            await asyncio.sleep(_FOREVER_S)
        fields = {k.lower().decode(): v.decode() for k, v in exchange.headers}
        if fields.get("expect-instance", self._vm) != self._vm:
            exchange.reply(421, self._refusal(fields), b"")
            return
        await self._answer(exchange, fields)

    @abc.abstractmethod
    async def _answer(self, exchange: Exchange, fields: dict[str, str]) -> None:
        """Answer a request that is meant for this server."""

    def _refusal(self, fields: dict[str, str]) -> tuple[tuple[bytes, bytes], ...]:
        return (
            (b"Request-Id", fields.get("request-id", "").encode()),
            (b"Not-Executed", b"1"),
            (b"At-Server", self._vm.encode()),
        )

    def _begin(self, exchange: Exchange, fields: dict[str, str]) -> None:
        self._note(
            {
                "run": fields.get("request-id", ""),
                "vm": self._vm,
                "account": fields.get("tenant", ""),
                "key": fields.get("authorization", ""),
                "path": exchange.target.decode(),
                "body": hashlib.sha256(exchange.body).hexdigest()[:16],
                "at": time.monotonic(),
            }
        )

    def _head(self, fields: dict[str, str], kind: bytes) -> list[tuple[bytes, bytes]]:
        return [
            (b"Request-Id", fields.get("request-id", "").encode()),
            (b"Response-Seal", b"s." + fields.get("request-id", "").encode()),
            (b"Content-Type", kind),
        ]

    def _is_spoilt(self) -> bool:
        return self._rng.random() < self.garble.share


class PlainServerApp(ServerApp):
    """Answers each request with a text that names its path."""

    async def _answer(self, exchange: Exchange, fields: dict[str, str]) -> None:
        self._begin(exchange, fields)
        await asyncio.sleep(_PLAIN_S * self.garble.slowness)
        if self.dark:
            await asyncio.sleep(_FOREVER_S)
        body = b"answer to " + exchange.target
        head = self._head(fields, b"text/plain")
        if not self._is_spoilt():
            exchange.reply(200, tuple(head), body)
            return
        fault = self._rng.choice(("foreign", "unsealed", "cut", "failed", "extra"))
        if fault == "foreign":
            head[0] = (b"Request-Id", b"of-another-caller")
        elif fault == "unsealed":
            del head[1]
        elif fault == "failed":
            exchange.reply(500, tuple(head), b"")
            return
        elif fault == "cut":
            exchange.start(200, tuple(head), length=len(body))
            exchange.write(body[:5])
            exchange.abort()
            return
        exchange.reply(200, tuple(head), body)
        if fault == "extra":
            exchange.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")


class GroupServerApp(ServerApp):
    """One server of a fabric domain.

    Parameters
    ----------
    servers : GroupServers
        The servers of the domain.
    slots : int
        Requests that a head runs at once.
    """

    def __init__(
        self,
        vm: VmId,
        *,
        servers: GroupServers,
        slots: int,
        note: Note,
        rng: random.Random,
    ) -> None:
        super().__init__(vm, note=note, rng=rng)
        self._servers = servers
        self._slots = slots
        self._running = 0

    @property
    def _server(self) -> SimulatedServer:
        return self._servers.servers[self._vm]

    async def _answer(self, exchange: Exchange, fields: dict[str, str]) -> None:
        path = exchange.target.decode()
        if path == "/-/report":
            exchange.reply(200, _JSON, msgspec.json.encode(self._report()))
        elif path == "/-/order":
            await self._take_order(exchange)
        else:
            await self._stream(exchange, fields)

    def _report(self) -> dict[str, Any]:
        server = self._server
        report = _state(server.membership, server.model, server.staged)
        report |= {"seq": server.begun, "born": server.born_ms, "queued": 0}
        return report | {"running": self._running, "kv_used": 0, "pace": 1.0}

    async def _take_order(self, exchange: Exchange) -> None:
        order = msgspec.json.decode(exchange.body)
        result = await self._order(self._as_known(), order)
        exchange.reply(_STATUS[result], _JSON, b"{}")

    def _as_known(self) -> BackendServer:
        return self._servers.entry(self._vm)

    async def _order(self, server: BackendServer, order: dict[str, Any]) -> OrderResult:
        begun = order["precondition"]
        if order["operation"] == "stage":
            model = ModelName(order["model"])
            return await self._servers.stage(
                server, model=model, fence=order["fence"], orders_begun=begun
            )
        group, epoch = GroupId(order["group"]), order["epoch"]
        if order["operation"] == "join":
            return await self._servers.join(
                server,
                group=group,
                epoch=epoch,
                model=ModelName(order["model"]),
                members=tuple(VmId(vm) for vm in order["members"]),
                orders_begun=begun,
            )
        common = {
            "group": group,
            "epoch": epoch,
            "fence": order["fence"],
            "orders_begun": begun,
        }
        if order["operation"] == "open":
            return await self._servers.open(server, **common)
        if order["operation"] == "leave":
            return await self._servers.leave(server, **common)
        finish = order["close_mode"] == "queue"
        return await self._servers.close(server, finish=finish, **common)

    async def _stream(self, exchange: Exchange, fields: dict[str, str]) -> None:
        server = self._server
        m = server.membership
        serves = (
            m is not None
            and m.rank == 0
            and m.state is GroupState.OPEN
            and server.broken_at is None
            and server.model == fields.get("model")
        )
        if not serves or self._running >= self._slots:
            exchange.reply(503, self._refusal(fields), b"")
            return
        self._begin(exchange, fields)
        self._running += 1
        try:
            await self._run(exchange, fields, server)
        finally:
            self._running -= 1

    async def _run(
        self, exchange: Exchange, fields: dict[str, str], server: SimulatedServer
    ) -> None:
        """Send the events that the caller lacks; the path names their number."""
        count = int(exchange.target.rpartition(b"/")[2])
        first = int(fields.get("last-event-id", "0")) + 1
        cut_at = self._rng.randint(first, count) if self._is_spoilt() else 0
        for number in range(first, count + 1):
            await asyncio.sleep(_STEP_S * self.garble.slowness)
            if not await self._may_go_on(server):
                exchange.abort()
                return
            if not exchange.has_started:
                head = self._head(fields, b"text/event-stream")
                exchange.start(200, tuple(head), length=None)
            event = b"id: %d\ndata: token %d\n\n" % (number, number)
            if number == cut_at:
                exchange.write(event[:-3])
                exchange.abort()
                return
            exchange.write(event)
            await exchange.drain()
        if not exchange.has_started:
            head = self._head(fields, b"text/event-stream")
            exchange.start(200, tuple(head), length=None)
        exchange.finish()

    async def _may_go_on(self, server: SimulatedServer) -> bool:
        """Wait while a member is missing; False once the group is broken."""
        while server.broken_at is not None or self.dark or not server.alive:
            if self._server is not server:
                return False
            if server.broken_at is not None and not self.dark and server.alive:
                if asyncio.get_running_loop().time() >= server.broken_at:
                    return False
            await asyncio.sleep(_POLL_S)
        return self._server is server


def _state(
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


def entry_bytes(server: BackendServer) -> bytes:
    """Return the entry of a server as it stands in the store."""
    state = _state(server.membership, server.model, set(server.staged))
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
