"""Server that states something about itself in its responses, and its callers."""

import asyncio
import contextlib
import time

from pomelolug.entry.tests.harness import (
    MODEL,
    CallerOfNode,
    Harness,
    encode_event,
    send_response,
    start_stream,
)
from pomelolug.transport import HttpConnectionError

KINDS = ("stream", "safe", "once")
_SERVICES = {"stream": "llm", "safe": "plain", "once": "plain"}


class StatingServer:
    """Server whose responses carry `headers`, and which notes when requests arrive.

    It refuses requests if `refuses`, fails them after the first event or with status
    500 if `fails`, and holds them open for `takes_s`. It answers requests for its
    report with `report`, if that is not None.
    """

    def __init__(self, kind: str, **headers: str) -> None:
        self.kind = kind
        self.headers = headers
        self.refuses = False
        self.fails = False
        self.takes_s = 0.0
        self.zone = "z1"
        self.report: bytes | None = None
        self.arrivals_s: list[float] = []
        self.request_ids: list[str] = []
        self.name = ""
        self._address = ""

    async def add_to(self, harness: Harness, **fields) -> None:
        fields = {"zone": self.zone} | fields
        self.name = await harness.add_server(
            self._run, service=_SERVICES[self.kind], **fields
        )
        self._address = harness.servers[-1].address

    def publish(
        self, harness: Harness, *, born: int = 1, state: str = "ready", **fields
    ) -> None:
        """Write the entry of the server again; `born` changes if it has restarted."""
        service = _SERVICES[self.kind]
        harness.publish_server(
            self.name,
            self._address,
            service=service,
            born=born,
            state=state,
            **({"zone": self.zone} | fields),
        )

    def count_after(self, start_s: float) -> int:
        return sum(t >= start_s for t in self.arrivals_s)

    def most_in_window(self, window_s: float, *, since_s: float) -> int:
        """Return the most arrivals in a window that begins at `since_s` or later."""
        times = [t for t in self.arrivals_s if t >= since_s]
        return max(
            (sum(start <= t < start + window_s for t in times) for start in times),
            default=0,
        )

    def _wire_headers(self) -> dict[str, str]:
        return {name.replace("_", "-"): text for name, text in self.headers.items()}

    async def _run(self, request) -> None:
        if not request.target.startswith(f"/{self.kind}/"):
            # A report or an order of the controller.
            if self.report is None:
                request.send("404 Not Found", {})
            else:
                request.send("200 OK", self._wire_headers(), self.report)
            return
        self.arrivals_s.append(time.monotonic())
        self.request_ids.append(request.request_id)
        if self.refuses:
            headers = {"Not-Executed": "1"} | self._wire_headers()
            request.send(
                "503 Unavailable", headers | {"Request-Id": request.request_id}
            )
        elif self.kind == "stream":
            await self._stream(request)
        else:
            await asyncio.sleep(self.takes_s)
            status = "500 Internal Server Error" if self.fails else "200 OK"
            send_response(request, status, **self._wire_headers())

    async def _stream(self, request) -> None:
        last = request.headers.get("last-event-id")
        start_stream(request, **self._wire_headers())
        request.send_chunk(encode_event(int(last) + 1 if last else 0))
        await request.writer.drain()
        if self.fails:
            # A reset may overtake what has just been sent.
            await asyncio.sleep(0.02)
            request.reset()
            return
        until_s = time.monotonic() + self.takes_s
        number = int(last) + 2 if last else 1
        while time.monotonic() < until_s:
            await asyncio.sleep(0.1)
            request.send_chunk(encode_event(number))
            number += 1
        request.send_chunk(b"")


class Answer:
    """Status, Retry-After and body of a response, and how long it took."""

    def __init__(
        self, status: int, retry_after_s: float, took_s: float, body: bytes = b""
    ) -> None:
        self.status = status
        self.body = body
        self.retry_after_s = retry_after_s
        self.took_s = took_s


async def send(
    node: CallerOfNode, kind: str, name: str, *, deadline_ms: int = 3000
) -> Answer:
    """Send one request of a kind and return its complete answer."""
    headers = {"Model": MODEL, "Token_Count": "100,50"} if kind == "stream" else {}
    started_s = time.monotonic()
    connection = await node.connect()
    try:
        head, body = await node.request(
            f"/{kind}/x",
            method=b"GET" if kind == "safe" else b"POST",
            request_id=name,
            connection=connection,
            deadline_ms=deadline_ms,
            **headers,
        )
    finally:
        connection.close()
    retry_after = head.get(b"Retry-After") if head.status == 503 else None
    retry_after_s = float(retry_after or b"nan")
    return Answer(head.status, retry_after_s, time.monotonic() - started_s, body)


async def send_for(
    duration_s: float, kind: str, *nodes: CallerOfNode, pause_s: float = 0.03
) -> list[Answer]:
    """Send requests to nodes, one after the other to each; return the answers."""
    answers: list[Answer] = []
    until_s = time.monotonic() + duration_s

    async def send_repeatedly(node: CallerOfNode, prefix: str) -> None:
        number = 0
        while time.monotonic() < until_s:
            number += 1
            with contextlib.suppress(HttpConnectionError):
                answers.append(await send(node, kind, f"{prefix}-{number}"))
            await asyncio.sleep(pause_s)

    names = [f"{time.monotonic_ns()}-{k}" for k in range(len(nodes))]
    await asyncio.gather(*map(send_repeatedly, nodes, names))
    return answers
