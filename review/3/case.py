"""A resumed stream that starts again at its first event."""

import asyncio
import os
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

_EVENTS = 15
_EVENT_INTERVAL_S = 0.1
_STREAMS = 24
"""Streams that are under way when the process is killed."""
_ROUNDS = 3
_KILL_AFTER_S = 0.7
_RESTART_AFTER_S = 3.5
"""Time without the process, the longest of `node_kill` in the site file."""
_HEADERS = {
    "Host": "h.example",
    "Model": "m1",
    "Token-Count": "200,90",
    "Prompt-Prefix": "5c1e07a2:40,e4402b7d:160",
    "Deadline-Ms": "8000",
    "Authorization": "Bearer key-1",
}


async def send_events(server: standins.Server, request: standins.Request) -> None:
    """Send the events after the one that the client has already."""
    first = int(request.headers.get("last-event-id", "-1")) + 1
    server.begin_run(request)
    await asyncio.sleep(0.05)
    headers = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
    request.send_head("200 OK", server.answer_headers(request) | headers)
    for number in range(first, _EVENTS):
        request.send_chunk(standins.event(number))
        await request.writer.drain()
        await asyncio.sleep(_EVENT_INTERVAL_S)
    request.send_chunk(b"")


class ModelServer(standins.EngineServer):
    """Model server whose head streams events."""

    async def handle_stream(self, request: standins.Request) -> None:
        """Stream the events."""
        await send_events(self, request)


class StreamServer(standins.Server):
    """Server of a service without engines that streams events."""

    async def handle(self, request: standins.Request) -> None:
        """Stream the events."""
        await send_events(self, request)


def configuration() -> dict[str, object]:
    """Return a configuration with a streaming route that is split."""
    model = {"name": "m1", "size": 3, "share": 1.0, "pace": 0.6}
    route = {
        "name": "r-1",
        "host": "h.example",
        "path_prefix": "/draft/",
        "kind": "streaming",
        "timeout_ms": 8000,
        "target_latency_ms": 400,
        "priority": 1,
        "split": [{"service": "llm", "weight": 90}, {"service": "api", "weight": 10}],
        "max_attempts": 2,
        "public": False,
        "sticky": True,
        "resumable": True,
        "gap_target_ms": 250,
    }
    return {
        "version": 7,
        "routes": [route],
        "services": [
            {
                "name": "llm",
                "health_path": "/health",
                "max_conns": 404,
                "engine": standins.engine([model | {"load_s": 12.0, "warm_s": 1.1}]),
            },
            {"name": "api", "health_path": "/health", "max_conns": 110},
        ],
        "limits": standins.LIMITS,
        "tenants": [{"name": "t1", "api_keys": ["key-1"], "priority": 1}],
    }


async def stream(deployment: standins.Deployment) -> bool:
    """Get one stream, resume it once if it breaks; return whether it is in order."""
    record, received, last = deployment.record, [], None
    for node in deployment.nodes:
        request_id = standins.new_request_id()
        headers = _HEADERS | {"Request-Id": request_id}
        if last is not None:
            headers["Last-Event-Id"] = str(last)
        record.write("sent", request=request_id, node=node.name, last_event=last)
        answer = await standins.call(
            node.ip, standins.FRONT_PORT, "/draft/2f", headers=headers, body=b"x" * 700
        )
        ids = answer.event_ids if answer.status == 200 else []
        record.write(
            "answered",
            request=request_id,
            status=answer.status,
            whole=answer.is_whole,
            events=f"{ids[0]}..{ids[-1]}" if ids else "none",
        )
        received += ids
        if ids:
            last = ids[-1]
        if answer.is_whole:
            break
    is_in_order = received == list(range(len(received)))
    if not is_in_order:
        record.write("out of order", request=request_id, events=received)
    return is_in_order


async def scenario(deployment: standins.Deployment, has_trouble: bool) -> bool:
    """Kill the process that streams, and resume the streams at another node."""
    store = deployment.store
    await store.start(f"{deployment.prefix}.20")
    store.put("keyed.op", "config", configuration())
    for number in range(12):
        await ModelServer(
            store,
            deployment.record,
            service="llm",
            zone="zone-a",
            host=f"{deployment.prefix}.{30 + number}",
            domain="domain-1",
            model="m1",
        ).start()
    for number in range(2):
        await StreamServer(
            store,
            deployment.record,
            service="api",
            zone="zone-a",
            host=f"{deployment.prefix}.{50 + number}",
        ).start()
    await deployment.start_nodes(["zone-a", "zone-a"])
    await asyncio.sleep(6.0)
    is_kept = True
    for _ in range(_ROUNDS):
        streams = [asyncio.create_task(stream(deployment)) for _ in range(_STREAMS)]
        await asyncio.sleep(_KILL_AFTER_S)
        if has_trouble:
            deployment.nodes[0].send_signal(signal.SIGKILL)
            await deployment.nodes[0].kill()
        is_kept = all(await asyncio.gather(*streams)) and is_kept
        if has_trouble:
            await asyncio.sleep(_RESTART_AFTER_S)
            await deployment.nodes[0].start()
            await deployment.wait_until_ready()
        await asyncio.sleep(3.0)
    return is_kept


if __name__ == "__main__":
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(standins.run_case(FOLDER, scenario, has_trouble=has_trouble))
