"""Requests at nodes that reach no server while other nodes reach all of them."""

import asyncio
import collections
import contextlib
import dataclasses
import time

import msgspec
import pytest

from pomelolug.entry.requests import RequestContext
from pomelolug.entry.tests.harness import (
    MODEL,
    CallerOfNode,
    Harness,
    declaration,
    encode_caller_request,
    encode_event,
    send_response,
    start_stream,
)
from pomelolug.entry.tests.server_links import LinkCut, ServerLinks
from pomelolug.transport import HttpConnectionError

ROUTES = ("safe", "once", "stream")
STREAM_HEADERS = {"Model": MODEL, "Token_Count": "100,50"}
PROMPT_HEADERS = {"Prompt_Prefix": "5c1e07a2:40,91bd3f06:60"}
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
    """Status and body of a response, 0 if the connection failed, and its time."""

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
):
    """Run nodes in these zones, which know each other, with servers."""
    servers = Servers(event_count=event_count, event_interval_s=event_interval_s)
    async with contextlib.AsyncExitStack() as stack:
        root = await stack.enter_async_context(Harness())
        nodes = [root]
        for _ in zones[1:]:
            node = await stack.enter_async_context(Harness(joins=root))
            nodes.append(node)
        value = declaration()
        for route in value["routes"]:
            route["timeout_ms"] = TIMEOUT_MS
        root.publish_declaration(value)
        for number in range(plain):
            await root.add_server(servers.run, vm=f"plain-{number}")
        for number in range(groups):
            await root.add_server(servers.run, service="llm", vm=f"llm-{number}")
        links = [ServerLinks(node, root) for node in nodes]
        for link in links:
            stack.callback(link.restore)
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
    started_s = time.monotonic()
    if route == "stream":
        headers = STREAM_HEADERS | headers
    try:
        head, body = await node.request(
            f"/{route}/{target}",
            method=b"POST" if route == "stream" else b"GET",
            body=request_id.encode() if route == "stream" else b"",
            request_id=f"{route}-{request_id}",
            deadline_ms=deadline_ms,
            **headers,
        )
    except HttpConnectionError:
        return Answer(0, b"", time.monotonic() - started_s)
    return Answer(head.status, body, time.monotonic() - started_s)


async def send_many(
    node: CallerOfNode,
    routes: tuple[str, ...],
    name: str,
    *,
    count: int = REQUEST_COUNT,
    interval_s: float = INTERVAL_S,
) -> list[tuple[str, Answer]]:
    """Send requests at an interval; return the route and the answer of each."""
    tasks = []
    for number in range(count):
        route = routes[number % len(routes)]
        answer = send(node, route, f"{name}-{node.ip}-{number}")
        tasks.append((route, asyncio.create_task(answer)))
        await asyncio.sleep(interval_s)
    return [(route, await task) for route, task in tasks]


async def warm_up(deployment: Deployment, routes: tuple[str, ...]) -> None:
    """Let each node open connections to several servers, which it keeps."""
    answers = await asyncio.gather(
        *(
            send_many(node, routes, "first", count=12, interval_s=0.0)
            for node in deployment.nodes
        )
    )
    for of_node in answers:
        assert count_served(deployment, of_node) == len(of_node)


async def keep_sending(
    deployment: Deployment, routes: tuple[str, ...], name: str = "early"
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
    deployment: Deployment, kind: LinkCut, routes: tuple[str, ...], cut_off: set[int]
) -> None:
    """Cut some nodes off, and check the requests to all of them after 3 s."""
    await warm_up(deployment, routes)
    started_s = time.monotonic()
    deployment.cut(kind, *cut_off)
    early = asyncio.create_task(keep_sending(deployment, routes))
    await asyncio.sleep(started_s + DETECTION_S - time.monotonic())
    answers = await asyncio.gather(
        *(send_many(node, routes, "late") for node in deployment.nodes)
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
    assert max(longest_s) <= MAX_S


@pytest.mark.parametrize("route", ROUTES)
@pytest.mark.parametrize("kind", LinkCut, ids=lambda kind: kind.value)
async def test_requests_at_a_node_without_servers_are_served(kind, route):
    # Guards against a node that refuses its callers because it reaches no server
    # itself, and against unsafe requests that run twice on the way.
    async with run_nodes("z1", "z1") as deployment:
        await check_service(deployment, kind, (route,), {0})


@pytest.mark.parametrize("kind", LinkCut, ids=lambda kind: kind.value)
async def test_requests_at_a_zone_without_servers_are_served(kind):
    # Guards against nodes that pass requests on within their zone only.
    async with run_nodes("z1", "z1", "z2") as deployment:
        await check_service(deployment, kind, ROUTES, {0, 1})


@pytest.mark.parametrize("kind", LinkCut, ids=lambda kind: kind.value)
async def test_stream_outlasts_the_cut_of_its_node(kind):
    # Guards against a stream that ends, or has a gap or an event twice, because its
    # node loses its links.
    async with run_nodes("z1", "z1", event_count=12, event_interval_s=0.1) as d:
        connection = await d.nodes[0].connect()
        connection.send(
            encode_caller_request(
                "/stream/x",
                method=b"POST",
                request_id="stream-1",
                deadline_ms=TIMEOUT_MS,
                **STREAM_HEADERS,
            )
        )
        assert (await connection.read_head()).status == 200
        events, gaps_s = [], []
        while True:
            asked_s = time.monotonic()
            chunk = await connection.read_chunk()
            if chunk is None:
                break
            events.append(chunk)
            gaps_s.append(time.monotonic() - asked_s)
            if len(events) == 3:
                d.cut(kind, 0)
        assert b"".join(events) == d.servers.whole_stream
        # Callers leave after 2 s without an event.
        assert max(gaps_s) < 2.0


async def test_stream_that_moves_to_another_node_states_its_running_attempt(
    monkeypatch,
):
    # Guards against a stream that runs more often than its route allows, since the
    # other node does not know of the run that has not ended.
    stated_runs = []
    encode = RequestContext.encode_for_peer

    def record(self, **values):
        stated_runs.append(values["possible_runs"])
        return encode(self, **values)

    monkeypatch.setattr(RequestContext, "encode_for_peer", record)
    async with run_nodes("z1", "z1", event_count=12, event_interval_s=0.1) as d:
        answer = asyncio.create_task(
            send(d.nodes[0], "stream", "moved", deadline_ms=TIMEOUT_MS)
        )
        await asyncio.sleep(0.4)
        d.cut(LinkCut.SILENT, 0)
        assert count_served(d, [("stream", await answer)]) == 1
        assert stated_runs == [1]


@pytest.mark.parametrize("kind", LinkCut, ids=lambda kind: kind.value)
async def test_restored_node_serves_by_itself(kind):
    # Guards against a node that depends on others after its links are restored.
    async with run_nodes("z1", "z1") as deployment:
        await check_service(deployment, kind, ROUTES, {0})
        deployment.links[0].restore()
        for answers in await keep_sending(deployment, ROUTES, "restored"):
            assert count_served(deployment, answers) == len(answers)
        deployment.cut(kind, 1)
        answers = await send_many(deployment.nodes[0], ROUTES, "own", count=12)
        assert count_served(deployment, answers) == len(answers)
        sent_ids = [i for i in deployment.links[0].sent_ids if "-own-" in i]
        assert len(sent_ids) == len(answers)


@pytest.mark.parametrize("route", ["safe", "stream"])
@pytest.mark.parametrize("kind", LinkCut, ids=lambda kind: kind.value)
async def test_caller_who_leaves_ends_the_run_through_another_node(kind, route):
    # Guards against a run that goes on at a server after its caller has left.
    async with run_nodes("z1", "z1") as deployment:
        await warm_up(deployment, (route,))
        deployment.cut(kind, 0)
        await keep_sending(deployment, (route,))
        servers, node = deployment.servers, deployment.nodes[0]
        connection = await node.connect()
        connection.send(
            encode_caller_request(
                f"/{route}/hold",
                method=b"POST" if route == "stream" else b"GET",
                deadline_ms=TIMEOUT_MS,
                **STREAM_HEADERS,
            )
        )
        async with asyncio.timeout(1.0):
            while not servers.held:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        connection.close()
        async with asyncio.timeout(0.5):
            while servers.ended < servers.held:  # noqa: ASYNC110
                await asyncio.sleep(0.01)


async def test_node_without_servers_rejects_bad_requests():
    # Guards against requests that are passed on before they are checked, or that get
    # another status than at a sound node.
    async with run_nodes("z1", "z1") as deployment:
        await warm_up(deployment, ROUTES)
        deployment.cut(LinkCut.SILENT, 0)
        await keep_sending(deployment, ROUTES)
        for node in deployment.nodes:
            for route in ROUTES:
                head, _ = await node.request(f"/{route}/x", key="unknown")
                assert head.status == 401
                head, _ = await node.request(f"/{route}/x", key=None)
                assert head.status == 401
            head, _ = await node.request("/other/x")
            assert head.status == 404


@pytest.mark.parametrize("kind", LinkCut, ids=lambda kind: kind.value)
async def test_requests_are_refused_at_once_if_all_nodes_are_cut_off(kind):
    # Guards against requests that nodes without servers pass to and fro, and against
    # callers that wait for a refusal.
    async with run_nodes("z1", "z1") as deployment:
        await warm_up(deployment, ROUTES)
        deployment.cut(kind, 0, 1)
        await keep_sending(deployment, ROUTES)
        answers = await asyncio.gather(
            *(send_many(node, ROUTES, "late") for node in deployment.nodes)
        )
        answers = [answer for of_node in answers for answer in of_node]
        # Kept connections go on to serve, but unsafe requests need new ones.
        kept = {200} if kind is LinkCut.NEW_REFUSED else set()
        for route in ROUTES:
            statuses = {answer.status for r, answer in answers if r == route}
            assert 503 in statuses or kept, route
            assert statuses <= {503} | (kept if route != "once" else set()), route
        assert max(answer.took_s for _, answer in answers) < MAX_S
        for links in deployment.links:
            late = {i: n for i, n in links.passed_on_ids.items() if "-late-" in i}
            assert max(late.values(), default=0) <= 1
        first, second = (set(links.passed_on_ids) for links in deployment.links)
        assert first & second == set()


async def test_passed_on_request_keeps_its_deadline():
    # Guards against a deadline that begins again at each node.
    async with run_nodes("z1", "z1") as deployment:
        await warm_up(deployment, ROUTES)
        deployment.cut(LinkCut.RESET, 0)
        await keep_sending(deployment, ROUTES)
        for route in ROUTES:
            answer = await send(deployment.nodes[0], route, "due", deadline_ms=800)
            assert answer.status == 200
            deadlines_ms = deployment.servers.deadlines_ms[f"{route}-due"]
            assert 0 < min(deadlines_ms)
            assert max(deadlines_ms) <= 800


async def test_sound_servers_stay_in_use_after_the_cut_of_a_node():
    # Guards against servers that other nodes avoid, and prompt parts that they refuse,
    # because streams with these parts broke off at a node that was cut off.
    async with run_nodes(
        "z1", "z1", plain=0, groups=8, event_count=20, event_interval_s=0.05
    ) as deployment:
        cut_off, other = deployment.nodes
        in_flight = [
            asyncio.create_task(
                send(
                    cut_off,
                    "stream",
                    f"early-{number}",
                    deadline_ms=TIMEOUT_MS,
                    **PROMPT_HEADERS,
                )
            )
            for number in range(12)
        ]
        async with asyncio.timeout(1.0):
            while sum(deployment.servers.runs.values()) < 12:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        deployment.cut(LinkCut.SILENT, 0)
        for burst in range(2):
            answers = await asyncio.gather(
                *(
                    send(other, "stream", f"{burst}-{number}", **PROMPT_HEADERS)
                    for number in range(4)
                )
            )
            during = [("stream", answer) for answer in answers]
            assert count_served(deployment, during) == 4
        early = await asyncio.gather(*in_flight)
        assert count_served(deployment, [("stream", answer) for answer in early]) == 12
        await asyncio.sleep(DETECTION_S)
        # All groups are needed for as many streams as there are slots.
        answers = await asyncio.gather(
            *(
                send(other, "stream", f"late-{number}", **PROMPT_HEADERS)
                for number in range(32)
            )
        )
        late = [("stream", answer) for answer in answers]
        assert count_served(deployment, late) == 32
        for server in cut_off.servers:
            assert any("late" in r.request_id for r in server.requests)


@pytest.mark.parametrize("kind", LinkCut, ids=lambda kind: kind.value)
async def test_cut_concerns_one_node_until_its_end(kind):
    # Guards against a stand-in that cuts nothing, other nodes as well, or for good.
    async with run_nodes(
        "z1", "z1", groups=1, event_count=8, event_interval_s=0.1
    ) as d:
        streams = [
            asyncio.create_task(send(node, "stream", node.ip)) for node in d.nodes
        ]
        await asyncio.sleep(0.3)
        d.cut(kind, 0)
        # Its request needs a new connection, and none of them is opened.
        _, other = await asyncio.gather(
            *(send(node, "once", node.ip, deadline_ms=400) for node in d.nodes)
        )
        assert d.links[0].sent_ids[f"once-{d.nodes[0].ip}"] == 0
        assert other.status == 200
        d.links[0].restore()
        of_cut_off, of_other = [await stream for stream in streams]
        assert of_other.body == d.servers.whole_stream
        if kind is not LinkCut.RESET:
            assert of_cut_off.body == d.servers.whole_stream
        answer = await send(d.nodes[0], "once", "restored")
        assert answer.status == 200
