import random

import aiohttp
import msgspec
import pytest
from aiohttp import web

from pomelolug.experiments._caller import Caller, LoadBalancer
from pomelolug.experiments._calls import CallOutcome
from pomelolug.experiments.tests.test_verdict import PLANS, complete_text

ERROR = {"error": {"code": "no_group", "outcome": "not_run", "request_id": "r7"}}


class Gateway:
    """Fake gateway that answers every call in the configured way."""

    def __init__(self) -> None:
        self.ready = True
        self.chunks: list[bytes] = []
        self.status = 200
        self.closes_early = False
        self.address = ""
        self.calls = 0

    async def readyz(self, request: web.Request) -> web.Response:
        return web.Response(status=200 if self.ready else 503)

    async def complete(self, request: web.Request) -> web.StreamResponse:
        self.calls += 1
        if self.status != 200:
            return web.json_response(ERROR, status=self.status)
        response = web.StreamResponse()
        await response.prepare(request)
        for chunk in self.chunks:
            await response.write(chunk)
        if self.closes_early and request.transport is not None:
            request.transport.close()
        return response


@pytest.fixture
async def gateways():
    runners, found = [], []
    for _ in range(2):
        gateway = Gateway()
        app = web.Application()
        app.add_routes(
            [
                web.get("/readyz", gateway.readyz),
                web.post("/v1/completions", gateway.complete),
            ]
        )
        runner = web.AppRunner(app, shutdown_timeout=0.05)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        gateway.address = "{}:{}".format(*runner.addresses[0][:2])
        runners.append(runner)
        found.append(gateway)
    yield found
    for runner in runners:
        await runner.cleanup()


@pytest.fixture
async def caller(gateways):
    async with aiohttp.ClientSession() as session:
        addresses = [gateway.address for gateway in gateways]
        balancer = LoadBalancer(session, addresses, random.Random(1))
        for address in addresses:
            await balancer._probe(address)
        yield Caller(session, balancer, {"a": "k"})


def event(text: str) -> bytes:
    chunk = {"id": "r", "choices": [{"text": text}]}
    return b"data: " + msgspec.json.encode(chunk) + b"\n\n"


async def make_call(caller, gateways, **state):
    for gateway in gateways:
        for name, value in state.items():
            setattr(gateway, name, value)
    await caller.make_call(PLANS[0])
    return caller.records[-1]


async def test_complete_stream_is_answered(caller, gateways):
    """Guards against a complete stream that is not recognized as an answer."""
    chunks = [event(complete_text()), b"data: [DONE]\n\n"]
    record = await make_call(caller, gateways, chunks=chunks)
    assert record.outcome is CallOutcome.ANSWERED
    assert record.check.is_exact and not record.truncated


async def test_stream_without_end_marker_is_lost(caller, gateways):
    """Guards against a truncated stream that is counted as answered."""
    record = await make_call(
        caller, gateways, chunks=[event(complete_text())], closes_early=True
    )
    assert record.outcome is CallOutcome.LOST


async def test_error_event_sets_the_outcome(caller, gateways):
    """Guards against a stream with an error event that is counted as lost."""
    body = {"error": {"code": "stream_cut", "outcome": "outcome_unknown"}}
    error = b"event: error\ndata: " + msgspec.json.encode(body) + b"\n\n"
    record = await make_call(caller, gateways, chunks=[event("x"), error])
    assert (record.outcome, record.code) == (CallOutcome.UNKNOWN, "stream_cut")


async def test_missing_token_truncates_the_answer(caller, gateways):
    """Guards against missing tokens in a stream that ends normally."""
    text = complete_text().partition(" ")[2]
    chunks = [event(text), b"data: [DONE]\n\n"]
    record = await make_call(caller, gateways, chunks=chunks)
    assert record.truncated


async def test_refusal_sets_the_outcome(caller, gateways):
    """Guards against a caller that ignores the outcome in an error response."""
    record = await make_call(caller, gateways, status=503)
    assert (record.outcome, record.code) == (CallOutcome.NOT_RUN, "no_group")
    assert record.request_id == "r7"


async def test_balancer_skips_a_gateway_that_is_not_ready(caller, gateways):
    """Guards against calls to a gateway that is draining."""
    gateways[0].ready = False
    await caller._balancer._probe(gateways[0].address)
    for _ in range(5):
        await make_call(caller, gateways, status=503)
    assert (gateways[0].calls, gateways[1].calls) == (0, 5)


async def test_text_outside_tokens_is_garbage(caller, gateways):
    """Guards against extraneous text that is accepted as part of the answer."""
    chunks = [event(complete_text() + "???"), b"data: [DONE]\n\n"]
    record = await make_call(caller, gateways, chunks=chunks)
    assert record.check.garbage == 3 and record.truncated
