"""HTTP client for orders to backend servers and for their reports."""

import asyncio
import datetime
import enum
from collections.abc import Callable
from typing import Any

import msgspec

from pomelolug.deployment import (
    BackendServer,
    GroupMembership,
    GroupState,
    OrderResult,
    ServerControl,
    ServerNotice,
    ServerReport,
)
from pomelolug.ids import GroupId, ModelName, VmId
from pomelolug.platform import _wire_names
from pomelolug.platform._cold_times import decode_cold_time
from pomelolug.platform._headers import decode_server_notice
from pomelolug.transport import (
    ConnectionPool,
    HttpConnectionError,
    ResponseHead,
    encode_request,
)

__all__ = ["HttpServerControl", "ProbeResult"]

_MAX_REPORT_BYTES = 64 * 1024
_OTHER_SERVER_STATUS = 421
_CONNECT_FAILURES = frozenset(
    {"connect_refused", "connect_timeout", "invalid_address", "no_descriptor"}
)
"""Reasons of connections that have not opened."""

_RESULT_BY_STATUS = {
    200: OrderResult.SATISFIED,
    202: OrderResult.BEGUN,
    409: OrderResult.CONFLICT,
    412: OrderResult.FENCED,
    _OTHER_SERVER_STATUS: OrderResult.OTHER_SERVER,
}


class _Group(msgspec.Struct, frozen=True):
    name: str
    epoch: int
    rank: int
    state: GroupState


class _Model(msgspec.Struct, frozen=True):
    name: str


class _Report(msgspec.Struct, frozen=True):
    # Number of orders that the server has begun since it started.
    seq: int = 0
    born: int = 0
    queued: int = 0
    running: int = 0
    kv_used: int = 0
    # Factor on all execution times; above 1 if the server is slow.
    pace: float = 1.0
    group: _Group | None = None
    staged: tuple[str, ...] = ()
    models: tuple[_Model, ...] = ()
    # Of any type, so that an odd value does not make the report unreadable.
    cold_remaining_ms: msgspec.Raw = msgspec.Raw(b"")


class ProbeResult(enum.Enum):
    """What a probe of a server has shown."""

    RESPONDED = "responded"
    OPENED = "opened"
    """A connection has opened, but no response has arrived."""
    NOT_CONNECTED = "not_connected"
    """No connection has opened."""


class HttpServerControl(ServerControl):
    """Sends orders and requests reports over HTTP.

    Parameters
    ----------
    pool : ConnectionPool
        Connection pool that only this client uses.
    order_timeout, report_timeout : datetime.timedelta
        Time limits of one order and of one report.
    on_notice : callable
        Called with a server that responded and with what it states about itself.
    """

    def __init__(
        self,
        *,
        pool: ConnectionPool,
        order_timeout: datetime.timedelta,
        report_timeout: datetime.timedelta,
        on_notice: Callable[[BackendServer, ServerNotice], None],
    ) -> None:
        self._pool = pool
        self._on_notice = on_notice
        self._order_timeout_s = order_timeout.total_seconds()
        self._report_timeout_s = report_timeout.total_seconds()

    async def join(
        self,
        server: BackendServer,
        *,
        group: GroupId,
        epoch: int,
        model: ModelName,
        members: tuple[VmId, ...],
        orders_begun: int,
    ) -> OrderResult:
        """Add a server to a replica group; the first of `members` is the head."""
        return await self._order(
            server,
            epoch,
            orders_begun,
            {
                "operation": "join",
                "group": group,
                "epoch": epoch,
                "model": model,
                "members": list(members),
            },
        )

    async def open(
        self,
        server: BackendServer,
        *,
        group: GroupId,
        epoch: int,
        fence: int,
        orders_begun: int,
    ) -> OrderResult:
        """Start serving at the head of a group."""
        body = {"operation": "open", "group": group, "epoch": epoch}
        return await self._order(server, fence, orders_begun, body)

    async def close(
        self,
        server: BackendServer,
        *,
        group: GroupId,
        epoch: int,
        fence: int,
        finish: bool,
        orders_begun: int,
    ) -> OrderResult:
        """Stop serving at the head, after it has finished its work if `finish`."""
        mode = "queue" if finish else "preempt"
        body = {
            "operation": "close",
            "group": group,
            "epoch": epoch,
            "close_mode": mode,
        }
        return await self._order(server, fence, orders_begun, body)

    async def leave(
        self,
        server: BackendServer,
        *,
        group: GroupId,
        epoch: int,
        fence: int,
        orders_begun: int,
    ) -> OrderResult:
        """Remove a server from its group immediately."""
        body = {"operation": "leave", "group": group, "epoch": epoch}
        return await self._order(server, fence, orders_begun, body)

    async def stage(
        self,
        server: BackendServer,
        *,
        model: ModelName,
        fence: int,
        orders_begun: int,
    ) -> OrderResult:
        """Load the weights of a model onto the host of the server."""
        return await self._order(
            server, fence, orders_begun, {"operation": "stage", "model": model}
        )

    async def probe(
        self, server: BackendServer, *, health_path: str | None = None
    ) -> ProbeResult:
        """Return whether a server responds in time over a new connection.

        Whatever it responds, it is reached.

        Parameters
        ----------
        server : BackendServer
            Server to probe.
        health_path : str or None
            Path of its health check, which may wait for a slot. None to ask for its
            report, which needs none.
        """
        if health_path is None:
            request = _encode_report_request(server)
        else:
            request = _encode_get_request(server, health_path.encode())
        try:
            await self._call(server, request, self._report_timeout_s, fresh=True)
        except TimeoutError:
            return ProbeResult.OPENED
        except HttpConnectionError as error:
            is_open = error.reason not in _CONNECT_FAILURES
            return ProbeResult.OPENED if is_open else ProbeResult.NOT_CONNECTED
        return ProbeResult.RESPONDED

    async def report(self, server: BackendServer) -> ServerReport | None:
        """Return the server's report, or None if it does not respond in time."""
        request = _encode_report_request(server)
        try:
            head, body = await self._call(
                server, request, self._report_timeout_s, fresh=False
            )
            if head.status != 200:
                return None
            raw = msgspec.json.decode(body, type=_Report)
            notice = _decode_report_notice(raw)
            if notice != ServerNotice():
                self._on_notice(server, notice)
            return _convert_report(raw)
        except (
            HttpConnectionError,
            TimeoutError,
            msgspec.DecodeError,
            RecursionError,
            UnicodeDecodeError,
        ):
            return None

    async def _order(
        self, server: BackendServer, fence: int, orders_begun: int, body: dict[str, Any]
    ) -> OrderResult:
        # `precondition` is the number of orders begun. The server rejects an order
        # that arrives late, after another order was begun.
        body = body | {"fence": fence, "precondition": orders_begun}
        request = encode_request(
            b"POST",
            _wire_names.ORDER_PATH,
            [
                (b"Host", server.address.encode()),
                (b"Content-Type", b"application/json"),
                (_wire_names.EXPECT_INSTANCE, server.vm.encode()),
            ],
            msgspec.json.encode(body),
        )
        try:
            # Responses to orders have no id. On a connection in use again, a late copy
            # of an earlier one would be taken for the response to this order.
            head, _ = await self._call(
                server, request, self._order_timeout_s, fresh=True
            )
        except HttpConnectionError as error:
            if error.reason in _CONNECT_FAILURES:
                return OrderResult.UNREACHABLE
            return OrderResult.UNKNOWN
        except TimeoutError:
            return OrderResult.UNKNOWN
        return _RESULT_BY_STATUS.get(head.status, OrderResult.INVALID)

    async def _call(
        self, server: BackendServer, request: bytes, timeout_s: float, *, fresh: bool
    ) -> tuple[ResponseHead, bytes]:
        async with asyncio.timeout(timeout_s):
            connection = await self._pool.acquire(server.address, fresh=fresh)
            try:
                connection.send(request)
                head = await connection.read_head()
                body = await connection.read_body(_MAX_REPORT_BYTES)
            except BaseException:
                connection.abort()
                raise
            if fresh:
                connection.close()
            else:
                self._pool.release(server.address, connection)
        # Another server may have taken over the address.
        if head.status != _OTHER_SERVER_STATUS:
            self._on_notice(server, decode_server_notice(head))
        return head, body


def _encode_report_request(server: BackendServer) -> bytes:
    return _encode_get_request(server, _wire_names.REPORT_PATH)


def _encode_get_request(server: BackendServer, path: bytes) -> bytes:
    return encode_request(
        b"GET",
        path,
        [
            (b"Host", server.address.encode()),
            (_wire_names.EXPECT_INSTANCE, server.vm.encode()),
        ],
    )


def _decode_report_notice(raw: _Report) -> ServerNotice:
    cold_for, has_invalid_cold_time = decode_cold_time(bytes(raw.cold_remaining_ms))
    return ServerNotice(
        cold_for=cold_for,
        has_invalid_cold_time=has_invalid_cold_time,
        start_time_ms=raw.born,
    )


def _convert_report(raw: _Report) -> ServerReport:
    return ServerReport(
        orders_begun=raw.seq,
        start_time_ms=raw.born,
        queued=raw.queued,
        running=raw.running,
        used_kv_tokens=raw.kv_used,
        slowdown_factor=raw.pace,
        membership=_decode_membership(raw.group),
        model=ModelName(raw.models[0].name) if raw.models else None,
        staged=frozenset(ModelName(name) for name in raw.staged),
    )


def _decode_membership(raw: _Group | None) -> GroupMembership | None:
    if raw is None:
        return None
    return GroupMembership(GroupId(raw.name), raw.epoch, raw.rank, raw.state)
