"""Nodes of which a test cuts some off from the servers, and requests to them."""

import asyncio
import collections
import contextlib
import dataclasses
import time

import msgspec

from pomelolug.entry.tests.harness import (
    MODEL,
    CallerOfNode,
    Harness,
    declaration,
    encode_event,
    send_response,
    start_stream,
)
from pomelolug.entry.tests.server_links import LinkCut, ServerLinks
from pomelolug.testing import RunningStopwatch
from pomelolug.transport import HttpConnectionError

__all__ = [
    "ACQUAINTANCE_S",
    "DETECTION_S",
    "MAX_S",
    "MIN_SERVED",
    "REQUEST_COUNT",
    "ROUTES",
    "STREAM_HEADERS",
    "TIMEOUT_MS",
    "Answer",
    "Deployment",
    "Servers",
    "check_service",
    "count_served",
    "keep_sending",
    "run_nodes",
    "send",
    "send_many",
    "warm_up",
]

ROUTES = ("safe", "once", "stream")
STREAM_HEADERS = {"Model": MODEL, "Token_Count": "100,50"}
DETECTION_S = 3.0
"""Time after the start of a cut from which requests have to be served."""
REQUEST_COUNT = 40
MIN_SERVED = 38
MAX_S = 1.0
"""Longest time of a request after the detection."""
INTERVAL_S = 0.025
"""Interval between the requests to one node."""
ACQUAINTANCE_S = 0.5
"""Time in which nodes that have started learn of each other."""
TIMEOUT_MS = 6000


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Status and body of a response, 0 if the connection failed, and its time.

    Pauses of the process, which runs the nodes and the servers too, are left out.
    """

    status: int
    body: bytes
    took_s: float


class Servers:
    """Script of all servers; counts the runs of each request id."""

    def __init__(self, *, event_count: int, event_interval_s: float) -> None:
        self.event_count = event_count
        self._event_interval_s = event_interval_s
        self.runs: collections.Counter[str] = collections.Counter()
        self.deadlines_ms: dict[str, list[float]] = {}
        self.held = 0
        self.ended = 0
        """Number of runs of paths that end with `hold`, and of those that ended."""

    @property
    def whole_stream(self) -> bytes:
        return b"".join(map(encode_event, range(self.event_count)))

    async def run(self, request) -> None:
        if request.target.startswith("/-/"):
            _send_report(request)
            return
        self.runs[request.request_id] += 1
        deadline_ms = float(request.headers.get("deadline-ms", "inf"))
        self.deadlines_ms.setdefault(request.request_id, []).append(deadline_ms)
        if request.target.endswith("/hold"):
            self.held += 1
            if request.target.startswith("/stream/"):
                start_stream(request)
                request.send_chunk(encode_event(0))
            try:
                await request.wait_closed()
            finally:
                self.ended += 1
        elif request.target.startswith("/stream/"):
            await self._send_stream(request)
        else:
            send_response(request)

    async def _send_stream(self, request) -> None:
        start_stream(request)
        first = int(request.headers.get("last-event-id", "-1")) + 1
        for number in range(first, self.event_count):
            request.send_chunk(encode_event(number))
            await request.writer.drain()
            await asyncio.sleep(self._event_interval_s)
        request.send_chunk(b"")


def _send_report(request) -> None:
    """Send the report of a sound server, or refuse an order."""
    if request.target != "/-/report":
        request.send("404 Not Found", {})
        return
    vm = request.headers.get("expect-instance", "")
    report = {"seq": 1, "born": 1}
    if vm.startswith("llm"):
        group = {"name": f"g-{vm}", "epoch": 1, "rank": 0, "state": "open"}
        report |= {"group": group, "models": [{"name": MODEL}]}
    request.send("200 OK", {}, msgspec.json.encode(report))


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Nodes with the links of each to the servers, in the order of the zones."""

    nodes: list[Harness]
    links: list[ServerLinks]
    servers: Servers

    def cut(self, kind: LinkCut, *indexes: int) -> None:
        for index in indexes:
            self.links[index].cut(kind)

    def assert_unsafe_requests_ran_once(self) -> None:
        repeated = {
            request_id: count
            for request_id, count in self.servers.runs.items()
            if "once" in request_id and count > 1
        }
        assert repeated == {}


@contextlib.asynccontextmanager
async def run_nodes(
    *zones: str,
    plain: int = 3,
    groups: int = 3,
    event_count: int = 3,
    event_interval_s: float = 0.02,
    timeout_ms: int = TIMEOUT_MS,
    starts_cut: dict[int, LinkCut] | None = None,
):
    """Run nodes in these zones, which know each other, with servers.

    The routes have `timeout_ms` as their timeout. The nodes in `starts_cut` lose their
    links before they start.
    """
    servers = Servers(event_count=event_count, event_interval_s=event_interval_s)
    async with contextlib.AsyncExitStack() as stack:
        root = await stack.enter_async_context(Harness())
        nodes = [root]
        for _ in zones[1:]:
            node = await stack.enter_async_context(Harness(joins=root))
            nodes.append(node)
        value = declaration()
        for route in value["routes"]:
            route["timeout_ms"] = timeout_ms
        root.publish_declaration(value)
        for number in range(plain):
            await root.add_server(servers.run, vm=f"plain-{number}")
        for number in range(groups):
            await root.add_server(servers.run, service="llm", vm=f"llm-{number}")
        links = [ServerLinks(node, root) for node in nodes]
        for link in links:
            stack.callback(link.restore)
        for index, kind in (starts_cut or {}).items():
            links[index].cut(kind)
        for link, zone in zip(links, zones, strict=True):
            seeds = tuple(f"{node.ip}:8003" for node in nodes)
            await link.start_node(zone=zone, seeds=seeds)
        await asyncio.sleep(ACQUAINTANCE_S)
        deployment = Deployment(nodes, links, servers)
        yield deployment
        deployment.assert_unsafe_requests_ran_once()


async def send(
    node: CallerOfNode,
    route: str,
    request_id: str,
    *,
    target: str = "x",
    deadline_ms: int = 2000,
    **headers: str,
) -> Answer:
    """Send a request whose id contains the route."""
    if route == "stream":
        headers = STREAM_HEADERS | headers
    status, body = 0, b""
    with RunningStopwatch() as stopwatch, contextlib.suppress(HttpConnectionError):
        head, body = await node.request(
            f"/{route}/{target}",
            method=b"POST" if route == "stream" else b"GET",
            body=request_id.encode() if route == "stream" else b"",
            request_id=f"{route}-{request_id}",
            deadline_ms=deadline_ms,
            **headers,
        )
        status = head.status
    return Answer(status, body, stopwatch.elapsed_s)


async def send_many(
    node: CallerOfNode,
    routes: tuple[str, ...],
    name: str,
    *,
    count: int = REQUEST_COUNT,
    interval_s: float = INTERVAL_S,
    deadline_ms: int = 2000,
) -> list[tuple[str, Answer]]:
    """Send requests at an interval; return the route and the answer of each."""
    tasks = []
    for number in range(count):
        route = routes[number % len(routes)]
        request_id = f"{name}-{node.ip}-{number}"
        answer = send(node, route, request_id, deadline_ms=deadline_ms)
        tasks.append((route, asyncio.create_task(answer)))
        await asyncio.sleep(interval_s)
    return [(route, await task) for route, task in tasks]


async def warm_up(deployment: Deployment, routes: tuple[str, ...]) -> None:
    """Let each node open connections to several servers, which it keeps.

    The groups have no room for the streams of two nodes, so those of the next node come
    when it knows that the former ones have ended.
    """
    for node in deployment.nodes:
        answers = await send_many(node, routes, "first", count=12, interval_s=0.0)
        assert count_served(deployment, answers) == len(answers)
        await asyncio.sleep(ACQUAINTANCE_S)


async def keep_sending(
    deployment: Deployment,
    routes: tuple[str, ...],
    name: str = "early",
    *,
    deadline_ms: int = 2000,
):
    """Send requests to each node until the end of the detection time."""
    interval_s = 0.2
    return await asyncio.gather(
        *(
            send_many(
                node,
                routes,
                name,
                count=int(DETECTION_S / interval_s),
                interval_s=interval_s,
                deadline_ms=deadline_ms,
            )
            for node in deployment.nodes
        )
    )


def count_served(deployment: Deployment, answers: list[tuple[str, Answer]]) -> int:
    whole = {"stream": deployment.servers.whole_stream}
    return sum(
        answer.status == 200 and answer.body == whole.get(route, b"whole")
        for route, answer in answers
    )


async def check_service(
    deployment: Deployment,
    kind: LinkCut,
    routes: tuple[str, ...],
    cut_off: set[int],
    *,
    deadline_ms: int = 2000,
    warms_up: bool = True,
) -> None:
    """Cut some nodes off, and check the requests to all of them after 3 s."""
    if warms_up:
        await warm_up(deployment, routes)
    started_s = time.monotonic()
    deployment.cut(kind, *cut_off)
    early = asyncio.create_task(
        keep_sending(deployment, routes, deadline_ms=deadline_ms)
    )
    await asyncio.sleep(started_s + DETECTION_S - time.monotonic())
    answers = await asyncio.gather(
        *(
            send_many(node, routes, "late", deadline_ms=deadline_ms)
            for node in deployment.nodes
        )
    )
    served = [count_served(deployment, of_node) for of_node in answers]
    longest_s = [max(answer.took_s for _, answer in of_node) for of_node in answers]
    early_answers = await early
    statuses = [
        collections.Counter(
            (route, answer.status, answer.body[:80] if answer.status != 200 else b"")
            for route, answer in part
        )
        for part in answers
    ]
    for index, count in enumerate(served):
        if index not in cut_off:
            assert count == REQUEST_COUNT, statuses
            early_of_node = early_answers[index]
            early_served = count_served(deployment, early_of_node)
            assert early_served == len(early_of_node), early_of_node
    for index in cut_off:
        assert served[index] >= MIN_SERVED, statuses
    assert max(longest_s) <= MAX_S, longest_s
