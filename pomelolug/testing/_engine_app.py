"""HTTP interface of a simulated engine: status, orders and generation."""

import asyncio
from typing import Any

import msgspec
from aiohttp import web

from pomelolug.engines import AssignOrder, FencingKind, ReleaseOrder
from pomelolug.testing._engine_vm import OrderRefused
from pomelolug.testing._fleet import Fleet, Member, RunningStream
from pomelolug.testing._tokens import (
    prefix_blocks,
    prompt_digest,
    prompt_text,
    token,
)

__all__ = ["engine_routes"]

_MAX_WAITING = 256
_DEFAULT_TOKENS = 16
_MAX_TOKENS = 100_000


def engine_routes(fleet: Fleet, member: Member) -> list[web.RouteDef]:
    """Return the routes of the engine `member`."""
    app = _EngineApp(fleet, member)
    return [
        web.get("/control/status", app.status),
        web.post("/control/assign", app.assign),
        web.post("/control/release", app.release),
        web.get("/control/cache-events", app.cache_events),
        web.post("/v1/completions", app.generate),
    ]


class _EngineApp:
    def __init__(self, fleet: Fleet, member: Member) -> None:
        self._fleet = fleet
        self._member = member
        self._vm = member.vm

    async def status(self, request: web.Request) -> web.Response:
        self._vm.waiting = self._member.slots.waiting
        return _json(self._vm.status())

    async def assign(self, request: web.Request) -> web.Response:
        order = _decode(await request.read(), AssignOrder)
        before = (self._vm.group, self._vm.token, self._vm.members)
        try:
            self._vm.assign(order)
        except OrderRefused as error:
            return self._refusal(error.code)
        if before != (order.group, order.token, order.members):
            self._fleet.break_streams_of(self._vm)
        return _json({})

    async def release(self, request: web.Request) -> web.Response:
        order = _decode(await request.read(), ReleaseOrder)
        try:
            self._vm.release(order)
        except OrderRefused as error:
            return self._refusal(error.code)
        self._fleet.break_streams_of(self._vm)
        return _json({})

    async def cache_events(self, request: web.Request) -> web.Response:
        after = int(request.query.get("after", "0"))
        return _json(self._vm.cache.page(after))

    async def generate(self, request: web.Request) -> web.StreamResponse:
        body = _decode(await request.read(), dict[str, Any])
        try:
            self._check(request)
            if self._member.slots.waiting >= _MAX_WAITING:
                raise OrderRefused("busy")
        except OrderRefused as error:
            return self._refusal(error.code)
        await self._member.slots.acquire(_header_int(request, "X-Priority", 0))
        try:
            self._check(request)
            return await self._run(request, body)
        except OrderRefused as error:
            return self._refusal(error.code)
        finally:
            self._member.slots.release()

    def _check(self, request: web.Request) -> None:
        vm = self._vm
        self._fleet.check_leaving(vm)
        if vm.leaving_since is not None:
            raise OrderRefused("leaving")
        if not vm.group or vm.rank != 0:
            raise OrderRefused("wrong_group")
        if vm.fencing is not FencingKind.UNCHECKED:
            if request.headers.get("X-Group", vm.group) != vm.group:
                raise OrderRefused("wrong_group")
        if vm.fencing is FencingKind.REFUSES:
            if _header_int(request, "X-Fencing-Token", vm.token) != vm.token:
                raise OrderRefused("stale_token")
            if self._fleet.absent(vm):
                raise OrderRefused("incomplete")
        if self._fleet.down(vm):
            raise OrderRefused("incomplete")
        if any(not member.vm.ready for member in self._fleet.group_members(vm)):
            raise OrderRefused("loading")

    async def _run(
        self, request: web.Request, body: dict[str, Any]
    ) -> web.StreamResponse:
        vm = self._vm
        self._fleet.check_start(vm)
        total = _token_count(body)
        first = _header_int(request, "X-Resume-From", 0)
        execution = self._fleet.ledger.begin(
            request_id=request.headers.get("X-Request-Id", ""),
            key=request.headers.get("Idempotency-Key", ""),
            digest=prompt_digest(body),
            vm=vm.vm,
            group=vm.group,
            token=vm.token,
            first_position=first,
        )
        stream = RunningStream(
            execution=execution,
            members=self._fleet.group_members(vm),
            transport=request.transport,
        )
        self._member.streams.add(stream)
        vm.running += 1
        try:
            return await self._stream(request, body, stream, total)
        finally:
            vm.running -= 1
            self._member.streams.discard(stream)
            self._fleet.ledger.end(execution)

    async def _stream(
        self,
        request: web.Request,
        body: dict[str, Any],
        stream: RunningStream,
        total: int,
    ) -> web.StreamResponse:
        execution = stream.execution
        await asyncio.sleep(self._first_token_s(body))
        self._fleet.crash_if_marked(self._member, prompt_text(body))
        response = web.StreamResponse(
            headers={"Content-Type": "text/event-stream", "Cache-Control": "no-store"}
        )
        await response.prepare(request)
        # The identifier is encoded once; the tokens need no escaping.
        start = b'data: {"id":' + msgspec.json.encode(execution.request_id)
        loop = asyncio.get_running_loop()
        next_at = loop.time()
        for position in range(execution.first_position, total):
            if position > execution.first_position:
                next_at = max(next_at + self._step_s(stream), loop.time())
                await asyncio.sleep(next_at - loop.time())
            await self._wait_members(request, stream)
            text = token(execution.digest, position)
            await response.write(
                b'%b,"position":%d,"choices":[{"text":"%b"}]}\n\n'
                % (start, position, text.encode())
            )
            execution.tokens += 1
        await self._wait_members(request, stream)
        await response.write(
            b'%b,"position":%d,"choices":[{"text":"","finish_reason":"length"}]}\n\n'
            b"data: [DONE]\n\n" % (start, total)
        )
        execution.complete = True
        await response.write_eof()
        return response

    async def _wait_members(self, request: web.Request, stream: RunningStream) -> None:
        # A collective step stalls while any member is paused.
        for member in stream.members:
            if not member.vm.reachable:
                await member.server.wait_sendable(None)
        await self._member.server.wait_sendable(request.transport)

    def _step_s(self, stream: RunningStream) -> float:
        return max(member.vm.step_s for member in stream.members)

    def _first_token_s(self, body: dict[str, Any]) -> float:
        times = self._vm.times
        cached = self._vm.cache.use(prefix_blocks(body))
        span = times.first_token - times.first_token_cached
        seconds = (times.first_token - span * cached).total_seconds()
        return seconds * self._vm.slowdown

    def _refusal(self, code: str) -> web.Response:
        self._fleet.ledger.refused(code)
        return _json({"code": code}, status=409)


def _token_count(body: dict[str, Any]) -> int:
    count = body.get("max_tokens", _DEFAULT_TOKENS)
    if not isinstance(count, int) or not 0 <= count <= _MAX_TOKENS:
        raise OrderRefused("bad_request")
    return count


def _header_int(request: web.Request, name: str, default: int) -> int:
    try:
        return int(request.headers.get(name, default))
    except ValueError as error:
        raise OrderRefused("bad_request") from error


def _json(value: Any, *, status: int = 200) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value),
        status=status,
        content_type="application/json",
    )


def _decode(data: bytes, kind: Any) -> Any:
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.DecodeError as error:
        raise web.HTTPBadRequest(text=str(error)) from error
