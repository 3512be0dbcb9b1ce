"""Servers that a request crashes, and callers that send it again."""

import asyncio

from pomelolug.entry.tests.harness import (
    API_KEY,
    MODEL,
    Harness,
    ProcessNode,
    encode_caller_request,
    encode_event,
    send_response,
    start_stream,
)
from pomelolug.transport import HttpConnectionError

__all__ = ["CrashingServers", "crash_until_stopped", "send_crashing", "send_harmless"]


class CrashingServers:
    """Servers that end when they run a request whose path ends with "crash".

    `end` says what the entry process sees of it: the connection is reset or closed
    before a response, the response is cut inside, the server falls silent, its caller
    leaves before that is noticed, or a kept connection is closed.
    """

    def __init__(self, harness: Harness, kind: str, end: str) -> None:
        self.harness = harness
        self.kind = kind
        self.end = end
        self.runs: list[str] = []
        self._names: list[str] = []
        self._crashed: list[int] = []
        self._starts = 1

    async def add(self, count: int) -> None:
        for number in range(count):
            script = self._script(number)
            service = "llm" if self.kind == "stream" else "plain"
            self._names.append(await self.harness.add_server(script, service=service))

    def restart_crashed(self) -> None:
        """Publish the entries of the servers that crashed, after their restart."""
        self._starts += 1
        for number in set(self._crashed):
            self.harness.publish_server(
                self._names[number],
                self.harness.servers[number].address,
                service="llm" if self.kind == "stream" else "plain",
                born=self._starts,
            )
        self._crashed.clear()

    def _script(self, number: int):
        async def script(request):
            if not request.target.startswith(f"/{self.kind}/"):
                # A report or an order of the controller.
                request.send("404 Not Found", {})
            elif request.target.endswith("/crash"):
                self.runs.append(request.request_id)
                self._crashed.append(number)
                await self._crash(request)
            elif self.kind == "stream":
                start_stream(request)
                request.send_chunk(encode_event(0))
                request.send_chunk(b"")
            else:
                send_response(request)

        return script

    async def _crash(self, request) -> None:
        if self.end in ("silent", "left"):
            await request.wait_closed()
            request.reset()
            return
        if self.end == "begun":
            last = request.headers.get("last-event-id")
            start_stream(request)
            request.send_chunk(encode_event(int(last) + 1 if last else 0))
            await request.writer.drain()
            # A reset may overtake what has just been sent.
            await asyncio.sleep(0.05)
            request.reset()
            return
        if self.end == "cut" and self.kind == "stream":
            start_stream(request)
            request.send_chunk(encode_event(0)[:9])
            request.send_chunk(b"")
        elif self.end == "cut":
            headers = {"Request-Id": request.request_id, "Response-Seal": "s"}
            request.send_head("200 OK", headers | {"Content-Length": "100"})
            request.writer.write(b"half")
        if self.end != "reset":
            await request.writer.drain()
            request.writer.close()
        else:
            request.reset()


async def send_crashing(
    h: Harness | ProcessNode, servers: CrashingServers, name: str, **headers: str
) -> int | None:
    """Send the request under a new id; return its status, None without an answer."""
    connection = await h.connect()
    method = b"GET" if servers.kind == "safe" else b"POST"
    headers = {"Model": MODEL, "Token_Count": "100,50"} | headers
    connection.send(
        encode_caller_request(
            f"/{servers.kind}/crash",
            method=method,
            body=b"" if servers.kind == "safe" else b"same",
            request_id=name,
            key=API_KEY,
            deadline_ms=800,
            **headers if servers.kind == "stream" else {},
        )
    )
    patience_s = 0.3 if servers.end == "left" else 3.0
    try:
        async with asyncio.timeout(patience_s):
            head = await connection.read_head()
            await connection.read_body(1 << 20)
            return head.status
    except (HttpConnectionError, TimeoutError):
        return None
    finally:
        connection.abort()
        await asyncio.sleep(0.02)


async def send_harmless(h: Harness, servers: CrashingServers, name: str) -> int:
    headers = {"Model": MODEL, "Token_Count": "100,50"}
    head, _ = await h.request(
        f"/{servers.kind}/fine",
        method=b"GET" if servers.kind == "safe" else b"POST",
        request_id=name,
        **headers if servers.kind == "stream" else {},
    )
    return head.status


async def crash_until_stopped(h: Harness, servers: CrashingServers) -> None:
    """Send the request often enough to crash more servers than are allowed."""
    for number in range(6):
        if servers.end == "pooled":
            for other in range(4):
                await send_harmless(h, servers, f"before{number}.{other}")
        await send_crashing(h, servers, f"p{number}")
        servers.restart_crashed()
        await asyncio.sleep(0.3)
