"""Tests of the HTTP interface: input validation, errors and reported outcomes."""

import asyncio
import json

import msgspec
import pytest

from pomelolug.engines import (
    EngineUnavailableError,
    GenerationRequest,
    StreamEnd,
    TokenEvent,
)
from pomelolug.gateway.tests.harness import status
from pomelolug.gateway.tests.server import FakeService, deliver_table, running_gateway
from pomelolug.testing._scripted_engine import Delay, ScriptedEngine


def complete_response(engine_request: GenerationRequest):
    events = [TokenEvent(engine_request.request_id, n, f"t{n} ") for n in range(3)]
    return [*events, StreamEnd(engine_request.request_id, 3, "stop")]


def interrupted_response(engine_request: GenerationRequest):
    lost = EngineUnavailableError("lost", maybe_ran=True)
    return [TokenEvent(engine_request.request_id, 0, "t0 "), lost]


BODY = json.dumps({"model": "m", "prompt": "x"})
STREAM_BODY = json.dumps({"model": "m", "prompt": "x", "stream": True})


async def assert_refused(response, status, code):
    body = await response.json()
    assert response.status == status, body
    assert body["error"]["code"] == code
    assert body["error"]["outcome"] == response.headers["X-Outcome"]
    assert body["error"]["request_id"] == response.headers["X-Request-Id"]
    return body["error"]


async def test_completion_and_stream_follow_the_openai_format(tmp_path):
    async with running_gateway(
        tmp_path, ScriptedEngine([complete_response])
    ) as gateway:
        async with gateway.post("/v1/completions", BODY) as response:
            body = await response.json()
            assert body["choices"][0]["text"] == "t0 t1 t2 "
        async with gateway.post("/v1/completions", STREAM_BODY) as response:
            text = await response.text()
            assert response.headers["content-type"].startswith("text/event-stream")
        events = [line[6:] for line in text.split("\n") if line.startswith("data: ")]
        assert events[-1] == "[DONE]"
        assert json.loads(events[-2])["choices"][0]["finish_reason"] == "stop"


async def test_interrupted_stream_has_an_error_event_and_no_end_marker(tmp_path):
    async with running_gateway(
        tmp_path, ScriptedEngine([interrupted_response])
    ) as gateway:
        async with gateway.post("/v1/completions", STREAM_BODY) as response:
            text = await response.text()
    assert "event: error" in text
    assert "[DONE]" not in text
    assert "outcome_unknown" in text


@pytest.mark.parametrize(
    ("path", "body", "headers", "status", "code"),
    [
        ("/v1/completions", "{", {}, 400, "bad_request"),
        ("/v1/completions", "[]", {}, 400, "bad_request"),
        ("/v1/completions", '{"model": "m"}', {}, 400, "bad_request"),
        ("/v1/completions", '{"model": 1, "prompt": ""}', {}, 400, "bad_request"),
        (
            "/v1/completions",
            '{"model": "m", "prompt": "x", "max_tokens": -1}',
            {},
            400,
            "bad_request",
        ),
        (
            "/v1/chat/completions",
            '{"model": "m", "messages": [1]}',
            {},
            400,
            "bad_request",
        ),
        (
            "/v1/completions",
            '{"model": "q", "prompt": "x"}',
            {},
            404,
            "unknown_model",
        ),
        ("/v1/completions", "x" * 3000, {}, 413, "body_too_large"),
        ("/v1/completions", BODY, {"X_Work_Class": "no"}, 400, "unknown_class"),
        ("/v1/completions", BODY, {"X_Work_Class": "pull"}, 400, "unknown_class"),
        ("/v1/completions", BODY, {"X_Work_Class": "billed"}, 400, "key_required"),
        ("/v1/completions", BODY, {"X_Idempotent": "no"}, 400, "key_required"),
        ("/v1/completions", BODY, {"X_Idempotent": "?"}, 400, "bad_request"),
        ("/v1/completions", BODY, {"Idempotency_Key": "a b"}, 400, "key_malformed"),
        (
            "/v1/completions",
            BODY,
            {"Idempotency_Key": "x" * 201},
            400,
            "key_malformed",
        ),
        ("/services/no/x", "", {}, 404, "unknown_service"),
        (
            "/v1/completions",
            BODY,
            {"X_Idempotent": "no", "Idempotency_Key": "k"},
            503,
            "claims_unavailable",
        ),
    ],
)
async def test_invalid_request_is_refused_before_it_is_dispatched(
    tmp_path, path, body, headers, status, code
):
    engine = ScriptedEngine([complete_response])
    async with running_gateway(tmp_path, engine) as gateway:
        async with gateway.post(path, body, **headers) as response:
            error = await assert_refused(response, status, code)
    assert error["outcome"] == "not_run"
    assert engine.requests == []


async def test_unknown_key_and_disallowed_class_are_refused(tmp_path):
    async with running_gateway(
        tmp_path, ScriptedEngine([complete_response])
    ) as gateway:
        url = gateway.url("/v1/completions")
        async with gateway.session.post(url, data=BODY) as response:
            await assert_refused(response, 401, "unauthenticated")
        other_account = {"Authorization": "Bearer other", "X-Work-Class": "chat"}
        async with gateway.session.post(
            url, data=BODY, headers=other_account
        ) as response:
            await assert_refused(response, 403, "class_not_allowed")


async def send_raw(port, data, *, after_write=None):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    if after_write is not None:
        await after_write(writer)
    response = await asyncio.wait_for(reader.read(), 5)
    writer.close()
    return response


async def test_too_many_or_too_large_headers_are_refused(tmp_path):
    async with running_gateway(
        tmp_path, ScriptedEngine([complete_response])
    ) as gateway:
        many_headers = b"".join(b"x-%d: 1\r\n" % n for n in range(200))
        response = await send_raw(
            gateway.port, b"GET /healthz HTTP/1.1\r\n" + many_headers + b"\r\n"
        )
        assert response.startswith(b"HTTP/1.1 431")
        large_header = b"x: " + b"y" * 40_000 + b"\r\n\r\n"
        response = await send_raw(
            gateway.port, b"GET /healthz HTTP/1.1\r\n" + large_header
        )
        assert response.startswith(b"HTTP/1.1 431")
        assert b"headers_too_large" in response
        async with gateway.session.get(gateway.url("/metrics")) as response:
            metrics = await response.text()
    assert 'pomelolug_refusals_total{code="headers_too_large"} 2.0' in metrics


async def test_slow_request_body_is_refused_after_the_timeout(tmp_path):
    head = (
        b"POST /v1/completions HTTP/1.1\r\nhost: x\r\n"
        b"authorization: Bearer secret\r\ncontent-length: 50\r\n\r\n{"
    )
    async with running_gateway(
        tmp_path, ScriptedEngine([complete_response])
    ) as gateway:
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
        writer.write(head)
        response = await asyncio.wait_for(reader.readuntil(b"}}"), 3)
        writer.close()
    assert response.startswith(b"HTTP/1.1 408")
    assert b"body_too_slow" in response


async def test_disconnect_of_the_caller_cancels_the_engine_stream(tmp_path):
    engine = ScriptedEngine(
        [lambda engine_request: [*complete_response(engine_request)[:1], Delay(30.0)]]
    )
    async with running_gateway(tmp_path, engine) as gateway:
        response = await gateway.post("/v1/completions", STREAM_BODY)
        await response.content.readline()
        assert engine.closed_streams == 0
        response.close()
        for _ in range(100):
            if engine.closed_streams:
                break
            await asyncio.sleep(0.01)
        assert engine.closed_streams == 1
        assert gateway.gateway.lifecycle.in_flight == 0


async def test_draining_fails_readiness_but_still_serves_requests(tmp_path):
    async with running_gateway(
        tmp_path, ScriptedEngine([complete_response])
    ) as gateway:
        async with gateway.session.get(gateway.url("/readyz")) as response:
            assert response.status == 200
        gateway.gateway.lifecycle.start_draining()
        async with gateway.session.get(gateway.url("/readyz")) as response:
            assert response.status == 503
            assert await response.text() == "draining\n"
        async with gateway.post("/v1/completions", BODY) as response:
            assert response.status == 200


async def test_service_request_forwards_body_and_headers_but_not_the_key(tmp_path):
    service = FakeService()
    async with running_gateway(tmp_path, ScriptedEngine([]), service=service) as g:
        async with g.post("/services/jobs/a/b?c=1", "hello", X_Own="v") as response:
            assert await response.text() == "hello"
            assert response.headers["x-a"] == "b"
    address, service_request = service.requests[0]
    assert address == "a:1"
    assert (service_request.path, service_request.query) == ("/a/b", "c=1")
    header_names = {name for name, _ in service_request.headers}
    assert "x-own" in header_names
    assert "authorization" not in header_names


async def test_failed_service_request_is_retried_and_reports_whether_it_ran(tmp_path):
    service = FakeService()
    async with running_gateway(tmp_path, ScriptedEngine([]), service=service) as g:
        service.failures = [True]
        async with g.post("/services/jobs/x", "1") as response:
            assert response.status == 200
        assert [address for address, _ in service.requests] == ["a:1", "b:1"]
        service.failures = [False, False, False]
        async with g.post("/services/jobs/x", "1") as response:
            error = await assert_refused(response, 503, "no_group")
            assert error["outcome"] == "not_run"


async def test_service_request_that_crashes_servers_is_refused_after_three(tmp_path):
    # Guards against a request to a plain service that crashes one server after another.
    service = FakeService()
    async with running_gateway(tmp_path, ScriptedEngine([]), service=service) as g:
        service.failures = [True] * 20
        for _ in range(6):
            async with g.post("/services/jobs/x", "crash") as response:
                assert response.status in (502, 503)
    assert len(service.requests) <= 3


async def test_interrupted_service_response_fails_the_transfer(tmp_path):
    service = FakeService()
    service.chunks = [b"part", EngineUnavailableError("x", maybe_ran=True)]
    async with running_gateway(tmp_path, ScriptedEngine([]), service=service) as g:
        with pytest.raises(Exception):  # noqa: B017 - any transfer error is accepted
            async with g.post("/services/jobs/x", "1") as response:
                await response.read()


async def test_groups_that_share_a_vm_receive_no_requests(tmp_path):
    engine = ScriptedEngine([complete_response])
    overlapping = msgspec.structs.replace(
        status("g2", token=2), members=("g1-a", "g2-b")
    )
    async with running_gateway(tmp_path, engine) as gateway:
        deliver_table(gateway.gateway, groups=(status("g1"), overlapping))
        async with gateway.post("/v1/completions", BODY) as response:
            await assert_refused(response, 503, "deadline_exceeded")
        async with gateway.session.get(gateway.url("/metrics")) as response:
            metrics = await response.text()
    assert engine.requests == []
    assert 'invariant="one_group_per_vm"} 1.0' in metrics
