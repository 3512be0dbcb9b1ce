"""Test helper: a gateway on a loopback port with a routing table from the test."""

import asyncio
import contextlib
import datetime
import pathlib
import random

import aiohttp
import msgspec
import uvicorn

from pomelolug.clock import SystemClock
from pomelolug.configuration import (
    Account,
    Configuration,
    Pool,
    Service,
    WorkClass,
    hash_key,
)
from pomelolug.engines import EngineUnavailableError
from pomelolug.gateway._compose import GatewayAdapters, compose
from pomelolug.gateway.tests.harness import status
from pomelolug.membership import WebsocketDialer
from pomelolug.messages import RoutingTable, ServiceStatus
from pomelolug.services import ServiceClient, ServiceResponse
from pomelolug.settings import load_settings
from pomelolug.settings._gateway_generated import GATEWAY_SPEC, GatewaySettings

SECOND = datetime.timedelta(seconds=1)
AUTHORIZATION_HEADERS = {"Authorization": "Bearer secret"}


def make_configuration():
    def work_class(name, **options):
        return WorkClass(
            name=name,
            ttft_target=SECOND,
            gap_target=SECOND,
            deadline=5 * SECOND,
            **options,
        )

    return Configuration(
        version=3,
        pools=(Pool(name="p", model="m"),),
        services=(Service(name="jobs", timeout=SECOND, max_body_bytes=1000),),
        classes=(
            work_class("chat", priority=5, pool="p"),
            work_class("billed", priority=1, pool="p", idempotent=False),
            work_class("pull", priority=1, service="jobs"),
        ),
        accounts=(
            Account(name="acme", keys=(hash_key("secret", b"12345678"),)),
            Account(
                name="small",
                keys=(hash_key("other", b"12345678"),),
                classes=("pull",),
            ),
        ),
    )


class FakeService(ServiceClient):
    """Plain service that echoes the body after the failures set by the test.

    Each entry of `failures` makes one request fail; the entry says whether the
    failed request may have run. `chunks` replaces the echoed body.
    """

    def __init__(self):
        self.requests = []
        self.failures = []
        self.chunks = None

    async def send(self, address, request):
        self.requests.append((address, request))
        if self.failures:
            raise EngineUnavailableError("down", maybe_ran=self.failures.pop(0))
        return ServiceResponse(
            status=200, headers=(("x-a", "b"),), body=self._body(request)
        )

    async def _body(self, request):
        for chunk in self.chunks or [request.body]:
            if isinstance(chunk, Exception):
                raise chunk
            yield chunk


class RunningGateway:
    """Started gateway with a client session for its port."""

    def __init__(self, gateway, server, session, port):
        self.gateway = gateway
        self.server = server
        self.session = session
        self.port = port

    def url(self, path):
        return f"http://127.0.0.1:{self.port}{path}"

    def post(self, path, body, **headers):
        header_values = {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        return self.session.post(
            self.url(path), data=body, headers=AUTHORIZATION_HEADERS | header_values
        )


@contextlib.asynccontextmanager
async def running_gateway(tmp_path: pathlib.Path, engine, *, service=None, extra=""):
    path = tmp_path / "gateway.ini"
    path.write_text(
        "[node]\nname=n\nzone=z1\n[listen]\naddress=127.0.0.1:0\n"
        "max_body_bytes=2000\nbody_timeout=300ms\n"
        "[control]\naddress=127.0.0.1:1\nkeys=a=" + "00" * 16 + "\n" + extra
    )
    settings = load_settings(path, GatewaySettings, GATEWAY_SPEC)
    gateway = compose(
        settings,
        GatewayAdapters(
            engine=engine,
            service_client=service or FakeService(),
            dialer=WebsocketDialer(),
        ),
        clock=SystemClock(),
        random_state=random.Random(1),
        nonce_source=random.Random(2),
    )
    deliver_table(gateway)
    config = uvicorn.Config(
        gateway.application.build(),
        port=0,
        http=gateway.protocol_class,
        log_config=None,
        lifespan="off",
    )
    server = uvicorn.Server(config)
    server.capture_signals = contextlib.nullcontext
    task = asyncio.create_task(server.serve())
    while not server.started:  # noqa: ASYNC110 - the library sets no event
        await asyncio.sleep(0.01)
    port = server.servers[0].sockets[0].getsockname()[1]
    async with aiohttp.ClientSession() as session:
        yield RunningGateway(gateway, server, session, port)
    server.should_exit = True
    server.force_exit = True
    await task


def deliver_table(gateway, *, groups=None, services=None):
    groups = (status("g1"),) if groups is None else groups
    if services is None:
        services = (
            ServiceStatus(
                service="jobs", vm="v1", zone="z1", address="a:1", leaving=False
            ),
            ServiceStatus(
                service="jobs", vm="v2", zone="z2", address="b:1", leaving=False
            ),
        )
    gateway.table_cache.receive(
        RoutingTable(
            config_version=3,
            config=msgspec.json.encode(make_configuration()),
            groups=groups,
            services=services,
            echo_s=asyncio.get_running_loop().time(),
        )
    )
