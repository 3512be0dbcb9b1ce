"""HTTP API of a simulated engine: status, group orders and generation."""

import asyncio
from typing import Any

import msgspec
from aiohttp import web

from pomelolug.engines import AssignOrder, FencingKind, ReleaseOrder
from pomelolug.testing._engine_vm import RequestRefusedError
from pomelolug.testing._fleet import BackendServer, Fleet, RunningStream
from pomelolug.testing._tokens import (
    format_token,
    prefix_blocks,
    prompt_digest,
    prompt_text,
)

__all__ = ["engine_routes"]

_MAX_WAITING_REQUESTS = 256
_DEFAULT_MAX_TOKENS = 16
_MAX_TOKENS_LIMIT = 100_000


def engine_routes(fleet: Fleet, server: BackendServer) -> list[web.RouteDef]:
    """Return the HTTP routes of the engine on `server`."""
    app = _EngineApp(fleet, server)
    return [
        web.get("/control/status", app.status),
        web.post("/control/assign", app.assign),
        web.post("/control/release", app.release),
        web.get("/control/cache-events", app.cache_events),
        web.post("/v1/completions", app.generate),
    ]


class _EngineApp:
    """Request handlers of one simulated engine."""

    def __init__(self, fleet: Fleet, server: BackendServer) -> None:
        self._fleet = fleet
        self._server = server
        self._vm = server.vm

    async def status(self, request: web.Request) -> web.Response:
        self._vm.waiting = self._server.slots.waiting
        return _json_response(self._vm.status())

    async def assign(self, request: web.Request) -> web.Response:
        order = _decode_json(await request.read(), AssignOrder)
        previous = (self._vm.group, self._vm.token, self._vm.members)
        try:
            self._vm.assign(order)
        except RequestRefusedError as error:
            return self._refusal_response(error.code)
        if previous != (order.group, order.token, order.members):
            self._fleet.abort_streams_of(self._vm)
        return _json_response({})

    async def release(self, request: web.Request) -> web.Response:
        order = _decode_json(await request.read(), ReleaseOrder)
        try:
            self._vm.release(order)
        except RequestRefusedError as error:
            return self._refusal_response(error.code)
        self._fleet.abort_streams_of(self._vm)
        return _json_response({})

    async def cache_events(self, request: web.Request) -> web.Response:
        after = int(request.query.get("after", "0"))
        return _json_response(self._vm.cache.events_after(after))

    async def generate(self, request: web.Request) -> web.StreamResponse:
        body = _decode_json(await request.read(), dict[str, Any])
        try:
            self._check_acceptable(request)
            if self._server.slots.waiting >= _MAX_WAITING_REQUESTS:
                raise RequestRefusedError("busy")
        except RequestRefusedError as error:
            return self._refusal_response(error.code)
        await self._server.slots.acquire(_header_int(request, "X-Priority", 0))
        try:
            self._check_acceptable(request)
            return await self._execute(request, body)
        except RequestRefusedError as error:
            return self._refusal_response(error.code)
        finally:
            self._server.slots.release()

    def _check_acceptable(self, request: web.Request) -> None:
        """Raise `RequestRefusedError` if the group cannot run `request` now."""
        vm = self._vm
        self._fleet.check_group_leaving(vm)
        if vm.leaving_since_s is not None:
            raise RequestRefusedError("leaving")
        if not vm.group or vm.rank != 0:
            raise RequestRefusedError("wrong_group")
        if vm.fencing is not FencingKind.UNCHECKED:
            if request.headers.get("X-Group", vm.group) != vm.group:
                raise RequestRefusedError("wrong_group")
        if vm.fencing is FencingKind.REFUSES:
            if _header_int(request, "X-Fencing-Token", vm.token) != vm.token:
                raise RequestRefusedError("stale_token")
            if self._fleet.find_absent_members(vm):
                raise RequestRefusedError("incomplete")
        if self._fleet.find_dead_members(vm):
            raise RequestRefusedError("incomplete")
        if any(not member.vm.is_ready for member in self._fleet.group_members(vm)):
            raise RequestRefusedError("loading")

    async def _execute(
        self, request: web.Request, body: dict[str, Any]
    ) -> web.StreamResponse:
        vm = self._vm
        self._fleet.check_membership(vm)
        token_count = _token_count(body)
        first_position = _header_int(request, "X-Resume-From", 0)
        execution = self._fleet.ledger.begin_execution(
            request_id=request.headers.get("X-Request-Id", ""),
            key=request.headers.get("Idempotency-Key", ""),
            digest=prompt_digest(body),
            vm=vm.vm,
            group=vm.group,
            token=vm.token,
            first_position=first_position,
        )
        stream = RunningStream(
            execution=execution,
            members=self._fleet.group_members(vm),
            transport=request.transport,
        )
        self._server.streams.add(stream)
        vm.running += 1
        try:
            return await self._stream_tokens(request, body, stream, token_count)
        finally:
            vm.running -= 1
            self._server.streams.discard(stream)
            self._fleet.ledger.end_execution(execution)

    async def _stream_tokens(
        self,
        request: web.Request,
        body: dict[str, Any],
        stream: RunningStream,
        token_count: int,
    ) -> web.StreamResponse:
        execution = stream.execution
        await asyncio.sleep(self._time_to_first_token_s(body))
        self._fleet.crash_if_marked(self._server, prompt_text(body))
        response = web.StreamResponse(
            headers={"Content-Type": "text/event-stream", "Cache-Control": "no-store"}
        )
        await response.prepare(request)
        # The request ID is encoded once; the tokens need no JSON escaping.
        start = b'data: {"id":' + msgspec.json.encode(execution.request_id)
        loop = asyncio.get_running_loop()
        next_step_at_s = loop.time()
        for position in range(execution.first_position, token_count):
            if position > execution.first_position:
                next_step_at_s = max(
                    next_step_at_s + self._step_time_s(stream), loop.time()
                )
                await asyncio.sleep(next_step_at_s - loop.time())
            await self._wait_until_sendable(request, stream)
            text = format_token(execution.digest, position)
            await response.write(
                b'%b,"position":%d,"choices":[{"text":"%b"}]}\n\n'
                % (start, position, text.encode())
            )
            execution.tokens += 1
        await self._wait_until_sendable(request, stream)
        await response.write(
            b'%b,"position":%d,"choices":[{"text":"","finish_reason":"length"}]}\n\n'
            b"data: [DONE]\n\n" % (start, token_count)
        )
        execution.complete = True
        await response.write_eof()
        return response

    async def _wait_until_sendable(
        self, request: web.Request, stream: RunningStream
    ) -> None:
        # A decoding step is collective, so one paused member stalls the group.
        for member in stream.members:
            if not member.vm.reachable:
                await member.listener.wait_until_sendable(None)
        await self._server.listener.wait_until_sendable(request.transport)

    def _step_time_s(self, stream: RunningStream) -> float:
        return max(member.vm.step_time_s for member in stream.members)

    def _time_to_first_token_s(self, body: dict[str, Any]) -> float:
        times = self._vm.times
        cached_share = self._vm.cache.access(prefix_blocks(body))
        cache_saving = times.first_token - times.first_token_cached
        seconds = (times.first_token - cache_saving * cached_share).total_seconds()
        return seconds * self._vm.slowdown

    def _refusal_response(self, code: str) -> web.Response:
        self._fleet.ledger.count_refusal(code)
        return _json_response({"code": code}, status=409)


def _token_count(body: dict[str, Any]) -> int:
    count = body.get("max_tokens", _DEFAULT_MAX_TOKENS)
    if not isinstance(count, int) or not 0 <= count <= _MAX_TOKENS_LIMIT:
        raise RequestRefusedError("bad_request")
    return count


def _header_int(request: web.Request, name: str, default: int) -> int:
    try:
        return int(request.headers.get(name, default))
    except ValueError as error:
        raise RequestRefusedError("bad_request") from error


def _json_response(value: Any, *, status: int = 200) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value),
        status=status,
        content_type="application/json",
    )


def _decode_json(data: bytes, kind: Any) -> Any:
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.DecodeError as error:
        raise web.HTTPBadRequest(text=str(error)) from error
