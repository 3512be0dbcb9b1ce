"""HTTP API of a simulated plain service that echoes the path and the body."""

import datetime
import hashlib

import msgspec
from aiohttp import web

from pomelolug.testing._fleet import BackendServer, Fleet

__all__ = ["service_routes"]


def service_routes(
    fleet: Fleet, server: BackendServer, *, service_time: datetime.timedelta
) -> list[web.RouteDef]:
    """Return the HTTP routes of the plain service on `server`."""
    app = _ServiceApp(fleet, server, service_time)
    return [web.route("*", "/{path:.*}", app.echo)]


class _ServiceApp:
    def __init__(
        self, fleet: Fleet, server: BackendServer, service_time: datetime.timedelta
    ) -> None:
        self._fleet = fleet
        self._server = server
        self._service_time = service_time

    async def echo(self, request: web.Request) -> web.Response:
        body = await request.read()
        vm = self._server.vm
        self._fleet.check_vm_leaving(vm)
        execution = self._fleet.ledger.begin_execution(
            request_id=request.headers.get("X-Request-Id", ""),
            key=request.headers.get("Idempotency-Key", ""),
            digest=hashlib.sha256(body).hexdigest(),
            vm=vm.vm,
        )
        vm.running += 1
        try:
            await self._fleet.clock.sleep(self._service_time * vm.slowdown)
            await self._server.listener.wait_until_sendable(request.transport)
            execution.complete = True
        finally:
            vm.running -= 1
            self._fleet.ledger.end_execution(execution)
        if self._server.responses_to_lose > 0 and request.transport is not None:
            self._server.responses_to_lose -= 1
            request.transport.abort()
        reply = {
            "service": vm.service,
            "vm": vm.vm,
            "method": request.method,
            "path": request.path_qs,
            "body": body.decode("utf-8", "replace"),
            "request_id": execution.request_id,
            "key": execution.key,
        }
        return web.Response(
            body=msgspec.json.encode(reply), content_type="application/json"
        )
