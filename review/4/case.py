"""Requests that are cut off when a node stops while the store is silent."""

import asyncio
import os
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

_GRACE_S = 8.0
_CONNECTIONS = 24
_SENT_AFTER_S = (3.05, 3.4)
"""When the requests are sent, from the SIGTERM on."""
_WORK_S = 5.5
_OUTAGE_BEFORE_S = 0.5
_OUTAGE_S = 4.5
_TIMEOUT_MS = 8000


class PlainServer(standins.Server):
    """Server that works on a request for as long as its path says."""

    async def handle(self, request: standins.Request) -> None:
        """Work on a request and answer it."""
        self.begin_run(request)
        await asyncio.sleep(int(request.path.rpartition("/")[2]) / 1000)
        request.send(
            "200 OK", self.answer_headers(request), b"done " + request.id.encode()
        )


def configuration() -> dict[str, object]:
    """Return a configuration with a route of kind safe."""
    route = {
        "name": "r-1",
        "host": "h.example",
        "path_prefix": "/report/",
        "kind": "safe",
        "timeout_ms": _TIMEOUT_MS,
        "target_latency_ms": 7000,
        "priority": 2,
        "service": "api",
        "max_attempts": 1,
        "public": False,
    }
    return {
        "version": 7,
        "routes": [route],
        "services": [{"name": "api", "health_path": "/health", "max_conns": 110}],
        "limits": standins.LIMITS,
    }


class Client:
    """A client with a kept connection to the first node."""

    def __init__(self, deployment: standins.Deployment, number: int) -> None:
        self._deployment, self._record = deployment, deployment.record
        self._number = number
        self._connection: standins.KeptConnection | None = None

    async def open(self) -> None:
        """Open the connection with a short request."""
        ip = self._deployment.nodes[0].ip
        self._connection = await standins.KeptConnection.open(ip, standins.FRONT_PORT)
        answer = await self._send(self._connection, 20)
        assert answer.is_whole and answer.status == 200, answer

    async def send_long(self, at_s: float) -> bool:
        """Send a long request at a monotonic time; return whether it is answered.

        If the node has closed the connection before, the request goes to the other
        node on a new one.
        """
        assert self._connection is not None
        await asyncio.sleep(at_s - time.monotonic())
        connection = self._connection
        if connection.is_closed:
            ip = self._deployment.nodes[1].ip
            connection = await standins.KeptConnection.open(ip, standins.FRONT_PORT)
        answer = await self._send(connection, round(_WORK_S * 1000))
        return answer.is_whole

    async def _send(
        self, connection: standins.KeptConnection, work_ms: int
    ) -> standins.Answer:
        request_id = standins.new_request_id()
        self._record.write("sent", request=request_id, host=connection.host, ms=work_ms)
        answer = await connection.call(
            f"/report/{work_ms}",
            method="GET",
            headers={
                "Host": "h.example",
                "Request-Id": request_id,
                "Deadline-Ms": str(_TIMEOUT_MS),
            },
        )
        self._record.write(
            "answered" if answer.is_whole else "cut off without an answer",
            request=request_id,
            status=answer.status,
        )
        return answer


async def scenario(deployment: standins.Deployment, has_trouble: bool) -> bool:
    """Stop a node in a planned way while the store is silent."""
    store = deployment.store
    await store.start(f"{deployment.prefix}.20")
    store.put("keyed.op", "config", configuration())
    for number in range(3):
        await PlainServer(
            store,
            deployment.record,
            service="api",
            zone="zone-a",
            host=f"{deployment.prefix}.{30 + number}",
        ).start()
    await deployment.start_nodes(["zone-a", "zone-a"])
    await asyncio.sleep(4.0)
    clients = [Client(deployment, number) for number in range(_CONNECTIONS)]
    await asyncio.gather(*(client.open() for client in clients))
    await asyncio.sleep(1.0)
    if has_trouble:
        deployment.record.write("the store falls silent")
        store.is_silent = True
        asyncio.get_running_loop().call_later(_OUTAGE_S, store.resume)
    await asyncio.sleep(_OUTAGE_BEFORE_S)
    node = deployment.nodes[0]
    node.send_signal(signal.SIGTERM)
    stopped_at_s = time.monotonic()
    first_s, last_s = _SENT_AFTER_S
    step_s = (last_s - first_s) / _CONNECTIONS
    sends = [
        asyncio.create_task(client.send_long(stopped_at_s + first_s + k * step_s))
        for k, client in enumerate(clients)
    ]
    killed_at_s = stopped_at_s + _GRACE_S
    while node.is_running and time.monotonic() < killed_at_s:  # noqa: ASYNC110
        await asyncio.sleep(0.01)
    if node.is_running:
        node.send_signal(signal.SIGKILL)
    await node.kill()
    deployment.record.write(
        "node has ended", after_s=round(time.monotonic() - stopped_at_s, 2)
    )
    answered = await asyncio.gather(*sends)
    deployment.record.write("count", answered=sum(answered), of=len(answered))
    return all(answered)


if __name__ == "__main__":
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(standins.run_case(FOLDER, scenario, has_trouble=has_trouble))
