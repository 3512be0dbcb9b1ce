"""HTTP application of the simulated platform.

It implements the protocol of `pomelolug.infrastructure`. ``POST /faults`` sets
faults by the fields of `PlatformFaults`, and ``GET /faults`` returns them.
``POST /vms`` takes ``{"vms": [...], "remove": [ids], "leaving": [ids]}``.
"""

import asyncio
import base64
import datetime
import enum
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from aiohttp import web

from pomelolug.clock import Clock
from pomelolug.infrastructure import VmRole
from pomelolug.testing._log_store import LogStore

__all__ = ["LogMode", "PlatformApp", "PlatformFaults", "VmRecord"]

_MAX_RECORD_BYTES = 1024 * 1024
_MAX_PAGE_RECORDS = 1000
_MAX_WAIT_MS = 30_000
_MAX_VM_LISTS = 1000

_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class LogMode(enum.Enum):
    """How the log responds: normally, with status 503, or not at all."""

    UP = "up"
    DOWN = "down"
    SILENT = "silent"


class PlatformFaults(msgspec.Struct, kw_only=True, omit_defaults=False):
    """Active faults of the platform.

    Parameters
    ----------
    log_mode : LogMode
        How the log responds.
    log_delay_s : float
        Delay of each request to the log, in seconds; applied twice to a read.
    lose_append_answers : int
        Number of coming appends that take effect but lose their response.
    keep_records : int, optional
        Number of newest records kept in each stream; None keeps all.
    replace_log : bool
        Replaces the log by an empty one with a new ID; always reads as false.
    vm_list_lag_s : float
        Age of the VM list that is returned, in seconds.
    vm_list_down, weights_down : bool
        Whether the service responds with status 503.
    cut_zones : tuple of str
        Availability zones whose port sends no responses.
    """

    log_mode: LogMode = LogMode.UP
    log_delay_s: float = 0.0
    lose_append_answers: int = 0
    keep_records: int | None = None
    replace_log: bool = False
    vm_list_lag_s: float = 0.0
    vm_list_down: bool = False
    weights_down: bool = False
    cut_zones: tuple[str, ...] = ()


class VmRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One entry of the VM list."""

    vm: str
    role: VmRole
    address: str
    zone: str
    region: str
    domain: str
    leaving: bool = False
    service: str = ""


class _VmChange(msgspec.Struct, kw_only=True):
    vms: tuple[VmRecord, ...] = ()
    remove: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()


class PlatformApp:
    """In-memory log, VM list and weight store.

    Parameters
    ----------
    clock : Clock
        Source of time.
    rate_bytes_per_s : float
        Rate limit reported by the weight store.
    sizes : dict
        Size of each model in bytes.
    zone_by_port : dict
        Availability zone of each listening port that belongs to a zone.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rate_bytes_per_s: float,
        sizes: dict[str, int],
        zone_by_port: dict[int, str] | None = None,
    ) -> None:
        self._clock = clock
        self._log = LogStore(clock=clock)
        self._faults = PlatformFaults()
        self._rate_bytes_per_s = rate_bytes_per_s
        self._sizes = sizes
        self._zone_by_port = zone_by_port or {}
        self._vms: dict[str, VmRecord] = {}
        self._vm_lists: list[tuple[float, dict[str, VmRecord]]] = []

    @property
    def faults(self) -> PlatformFaults:
        """Active faults."""
        return self._faults

    @property
    def log(self) -> LogStore:
        """In-memory log."""
        return self._log

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(
            middlewares=[self._apply_partition], client_max_size=_MAX_RECORD_BYTES
        )
        app.add_routes(
            [
                web.post("/streams/{stream}/records", self._append),
                web.get("/streams/{stream}/records", self._read),
                web.get("/streams", self._streams),
                web.get("/vms", self._list_vms),
                web.post("/vms", self._change_vms),
                web.get("/weights", self._weights),
                web.get("/faults", self._get_faults),
                web.post("/faults", self._set_faults),
            ]
        )
        return app

    @web.middleware
    async def _apply_partition(
        self, request: web.Request, handler: _Handler
    ) -> web.StreamResponse:
        await self._wait_while_cut_off(request)
        response = await handler(request)
        await self._wait_while_cut_off(request)
        return response

    async def _wait_while_cut_off(self, request: web.Request) -> None:
        transport = request.transport
        if not self._zone_by_port or transport is None:
            return
        zone = self._zone_by_port.get(transport.get_extra_info("sockname")[1])
        while zone in self._faults.cut_zones:
            await self._clock.sleep(datetime.timedelta(milliseconds=50))

    async def _append(self, request: web.Request) -> web.StreamResponse:
        data = await request.read()
        await self._apply_log_faults()
        offset = await self._log.append(request.match_info["stream"], data)
        if self._faults.lose_append_answers > 0:
            self._faults.lose_append_answers -= 1
            if request.transport is not None:
                request.transport.abort()
        return _json_response({"offset": offset})

    async def _read(self, request: web.Request) -> web.StreamResponse:
        await self._apply_log_faults()
        first = _query_int(request, "from", 0)
        limit = min(_query_int(request, "limit", _MAX_PAGE_RECORDS), _MAX_PAGE_RECORDS)
        wait_ms = min(_query_int(request, "wait_ms", 0), _MAX_WAIT_MS)
        oldest, end, records = await self._log.read(
            request.match_info["stream"],
            max(first, 0),
            limit=max(limit, 1),
            wait=datetime.timedelta(milliseconds=wait_ms),
        )
        # A long poll that started before an outage must not respond during it.
        await self._apply_log_faults()
        page = [
            {
                "offset": record.offset,
                "stamp_ms": record.stamp_ms,
                "data": base64.b64encode(record.data).decode("ascii"),
            }
            for record in records
        ]
        return _json_response(
            {
                "log_id": self._log.log_id,
                "oldest": oldest,
                "end": end,
                "records": page,
            }
        )

    async def _apply_log_faults(self) -> None:
        if self._faults.log_delay_s > 0:
            await self._clock.sleep(
                datetime.timedelta(seconds=self._faults.log_delay_s)
            )
        if self._faults.log_mode is LogMode.DOWN:
            raise web.HTTPServiceUnavailable
        if self._faults.log_mode is LogMode.SILENT:
            await asyncio.Event().wait()

    async def _streams(self, request: web.Request) -> web.StreamResponse:
        return _json_response(
            {
                "log_id": self._log.log_id,
                "appends": self._log.appends,
                "ends": self._log.end_offsets(),
            }
        )

    async def _list_vms(self, request: web.Request) -> web.StreamResponse:
        if self._faults.vm_list_down:
            raise web.HTTPServiceUnavailable
        return _json_response({"vms": list(self._lagged_vms().values())})

    def _lagged_vms(self) -> dict[str, VmRecord]:
        latest_s = self._clock.monotonic() - self._faults.vm_list_lag_s
        visible: dict[str, VmRecord] = {}
        for changed_at_s, vms in self._vm_lists:
            if changed_at_s > latest_s:
                break
            visible = vms
        return visible

    async def _change_vms(self, request: web.Request) -> web.StreamResponse:
        change = _decode_json(await request.read(), _VmChange)
        vms = {**self._vms, **{vm.vm: vm for vm in change.vms}}
        for vm in change.leaving:
            if vm in vms:
                vms[vm] = msgspec.structs.replace(vms[vm], leaving=True)
        for vm in change.remove:
            vms.pop(vm, None)
        self._vms = vms
        self._vm_lists.append((self._clock.monotonic(), vms))
        del self._vm_lists[:-_MAX_VM_LISTS]
        return _json_response({"vms": len(vms)})

    async def _weights(self, request: web.Request) -> web.StreamResponse:
        if self._faults.weights_down:
            raise web.HTTPServiceUnavailable
        return _json_response(
            {"rate_bytes_per_s": self._rate_bytes_per_s, "sizes": self._sizes}
        )

    async def _get_faults(self, request: web.Request) -> web.StreamResponse:
        return _json_response(self._faults)

    async def _set_faults(self, request: web.Request) -> web.StreamResponse:
        changes = _decode_json(await request.read(), dict[str, Any])
        merged = {**msgspec.to_builtins(self._faults), **changes}
        try:
            self._faults = msgspec.convert(merged, PlatformFaults)
        except msgspec.ValidationError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        if self._faults.replace_log:
            self._log.replace()
            self._faults.replace_log = False
        self._log.set_retention(self._faults.keep_records)
        return _json_response(self._faults)


def _json_response(value: Any) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value), content_type="application/json"
    )


def _decode_json(data: bytes, kind: Any) -> Any:
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.DecodeError as error:
        raise web.HTTPBadRequest(text=str(error)) from error


def _query_int(request: web.Request, name: str, default: int) -> int:
    try:
        return int(request.query.get(name, default))
    except ValueError as error:
        raise web.HTTPBadRequest(text=f"{name} is not an integer") from error
