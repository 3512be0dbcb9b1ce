"""HTTP application of the simulated platform.

It speaks the protocol of `pomelolug.infrastructure`. Faults are set with ``POST
/faults`` and the fields of `PlatformFaults`; ``GET /faults`` returns them.
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
_MAX_HISTORY = 1000

_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class LogMode(enum.Enum):
    """How the log answers: normally, with status 503, or not at all."""

    UP = "up"
    DOWN = "down"
    SILENT = "silent"


class PlatformFaults(msgspec.Struct, kw_only=True, omit_defaults=False):
    """Faults in force.

    Parameters
    ----------
    log_mode : LogMode
        How the log answers.
    log_delay_s : float
        Time added to each answer of the log, seconds.
    lose_append_answers : int
        Number of coming appends that take effect and then lose their answer.
    keep_records : int, optional
        Newest records kept of each stream; None keeps all.
    replace_log : bool
        Starts an empty log with another identity; always reads as false.
    vm_list_lag_s : float
        Age of the VM list that is returned, seconds.
    vm_list_down, weights_down : bool
        Whether the service answers with status 503.
    cut_zones : tuple of str
        Zones whose port does not answer.
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
    """One VM of the list."""

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
    """Log, VM list and weight store in memory.

    Parameters
    ----------
    clock : Clock
        Source of time.
    rate_bytes_per_s : float
        Rate limit that the weight store reports.
    sizes : dict
        Size of each model in bytes.
    zone_ports : dict
        Zone of each listening port that belongs to one zone.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rate_bytes_per_s: float,
        sizes: dict[str, int],
        zone_ports: dict[int, str] | None = None,
    ) -> None:
        self._clock = clock
        self._log = LogStore(clock=clock)
        self._faults = PlatformFaults()
        self._rate_bytes_per_s = rate_bytes_per_s
        self._sizes = sizes
        self._zone_ports = zone_ports or {}
        self._vms: dict[str, VmRecord] = {}
        self._history: list[tuple[float, dict[str, VmRecord]]] = []

    @property
    def faults(self) -> PlatformFaults:
        """Faults in force."""
        return self._faults

    @property
    def log(self) -> LogStore:
        """The log."""
        return self._log

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(
            middlewares=[self._partition], client_max_size=_MAX_RECORD_BYTES
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
    async def _partition(
        self, request: web.Request, handler: _Handler
    ) -> web.StreamResponse:
        await self._await_zone(request)
        response = await handler(request)
        await self._await_zone(request)
        return response

    async def _await_zone(self, request: web.Request) -> None:
        transport = request.transport
        if not self._zone_ports or transport is None:
            return
        zone = self._zone_ports.get(transport.get_extra_info("sockname")[1])
        while zone in self._faults.cut_zones:
            await self._clock.sleep(datetime.timedelta(milliseconds=50))

    async def _append(self, request: web.Request) -> web.StreamResponse:
        data = await request.read()
        await self._log_gate()
        offset = await self._log.append(request.match_info["stream"], data)
        if self._faults.lose_append_answers > 0:
            self._faults.lose_append_answers -= 1
            if request.transport is not None:
                request.transport.abort()
        return _json({"offset": offset})

    async def _read(self, request: web.Request) -> web.StreamResponse:
        await self._log_gate()
        first = _int(request, "from", 0)
        limit = min(_int(request, "limit", _MAX_PAGE_RECORDS), _MAX_PAGE_RECORDS)
        wait_ms = min(_int(request, "wait_ms", 0), _MAX_WAIT_MS)
        oldest, end, records = await self._log.read(
            request.match_info["stream"],
            max(first, 0),
            limit=max(limit, 1),
            wait=datetime.timedelta(milliseconds=wait_ms),
        )
        # A long poll that began before an outage must not answer during it.
        await self._log_gate()
        page = [
            {
                "offset": record.offset,
                "stamp_ms": record.stamp_ms,
                "data": base64.b64encode(record.data).decode("ascii"),
            }
            for record in records
        ]
        return _json(
            {
                "log_id": self._log.log_id,
                "oldest": oldest,
                "end": end,
                "records": page,
            }
        )

    async def _log_gate(self) -> None:
        if self._faults.log_delay_s > 0:
            await self._clock.sleep(
                datetime.timedelta(seconds=self._faults.log_delay_s)
            )
        if self._faults.log_mode is LogMode.DOWN:
            raise web.HTTPServiceUnavailable
        if self._faults.log_mode is LogMode.SILENT:
            await asyncio.Event().wait()

    async def _streams(self, request: web.Request) -> web.StreamResponse:
        return _json(
            {
                "log_id": self._log.log_id,
                "appends": self._log.appends,
                "ends": self._log.end_offsets(),
            }
        )

    async def _list_vms(self, request: web.Request) -> web.StreamResponse:
        if self._faults.vm_list_down:
            raise web.HTTPServiceUnavailable
        return _json({"vms": list(self._seen_vms().values())})

    def _seen_vms(self) -> dict[str, VmRecord]:
        horizon = self._clock.monotonic() - self._faults.vm_list_lag_s
        seen: dict[str, VmRecord] = {}
        for at, vms in self._history:
            if at > horizon:
                break
            seen = vms
        return seen

    async def _change_vms(self, request: web.Request) -> web.StreamResponse:
        change = _decode(await request.read(), _VmChange)
        vms = {**self._vms, **{vm.vm: vm for vm in change.vms}}
        for vm in change.leaving:
            if vm in vms:
                vms[vm] = msgspec.structs.replace(vms[vm], leaving=True)
        for vm in change.remove:
            vms.pop(vm, None)
        self._vms = vms
        self._history.append((self._clock.monotonic(), vms))
        del self._history[:-_MAX_HISTORY]
        return _json({"vms": len(vms)})

    async def _weights(self, request: web.Request) -> web.StreamResponse:
        if self._faults.weights_down:
            raise web.HTTPServiceUnavailable
        return _json({"rate_bytes_per_s": self._rate_bytes_per_s, "sizes": self._sizes})

    async def _get_faults(self, request: web.Request) -> web.StreamResponse:
        return _json(self._faults)

    async def _set_faults(self, request: web.Request) -> web.StreamResponse:
        changes = _decode(await request.read(), dict[str, Any])
        merged = {**msgspec.to_builtins(self._faults), **changes}
        try:
            self._faults = msgspec.convert(merged, PlatformFaults)
        except msgspec.ValidationError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        if self._faults.replace_log:
            self._log.replace()
            self._faults.replace_log = False
        self._log.set_retention(self._faults.keep_records)
        return _json(self._faults)


def _json(value: Any) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value), content_type="application/json"
    )


def _decode(data: bytes, kind: Any) -> Any:
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.DecodeError as error:
        raise web.HTTPBadRequest(text=str(error)) from error


def _int(request: web.Request, name: str, default: int) -> int:
    try:
        return int(request.query.get(name, default))
    except ValueError as error:
        raise web.HTTPBadRequest(text=f"{name} is not an integer") from error
