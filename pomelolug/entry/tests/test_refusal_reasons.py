"""Reasons of refusals while servers begin to take requests, without a network."""

import asyncio
import dataclasses
import datetime
import random
from types import SimpleNamespace

import pytest

from pomelolug.deployment import ServerRegistry
from pomelolug.entry.dispatch.tests.dispatch_fixtures import (
    SERVICE,
    ManualClock,
    make_declaration,
    make_heads,
)
from pomelolug.entry.performance import LearnedDelayEstimator
from pomelolug.entry.requests import (
    GroupChooser,
    GroupServers,
    PlainForwarder,
    RetryLimiter,
    StreamForwarder,
)
from pomelolug.entry.servers import (
    ColdServers,
    EvacuatedZones,
    GroupSelector,
    RequestRateLimiter,
    ServerLimits,
    ServerNotices,
    ServerTracker,
)
from pomelolug.entry.tests.choice_simulation import MODEL
from pomelolug.errors import ErrorCode, Outcome, RequestError
from pomelolug.ids import NodeId, Offset, ZoneId
from pomelolug.transport import HttpConnectionError, MemoryBudget

KINDS = ["plain", "stream"]
ZONE = ZoneId("a")
LIMIT_PER_S = 2.0
STEP_S = 0.001
"""Time that passes with each reading of the clock once it runs."""
READINGS = 120
"""More readings than all requests of a test take until they are refused."""
MAX_WAIT_S = 4.0


class SteppingClock(ManualClock):
    """Clock that goes on with each reading, so that no two looks are at one time."""

    step_s = 0.0

    def monotonic(self) -> float:
        self.time_s += self.step_s
        return self.time_s


NOT_OPENED = "no_descriptor"


class ClosedPool:
    """Pool that opens no connection, for a cause that says nothing of the server."""

    async def acquire(self, address: str, *, fresh: bool) -> None:
        raise HttpConnectionError(NOT_OPENED)


class Node:
    """Way of requests through a node with one server that limits its requests."""

    def __init__(self, kind: str) -> None:
        self.clock = SteppingClock()
        self.rng = random.Random(0)
        [self.server] = make_heads(1)
        if kind == "plain":
            self.server = dataclasses.replace(
                self.server, membership=None, model=None, slots=100
            )
        self._make_notices()
        registry = ServerRegistry(clock=self.clock)
        registry.apply([(self.server.vm, Offset(0), self.server)])
        self.tracker = ServerTracker(
            registry=registry, notices=self.notices, clock=self.clock
        )
        self.tracker.refresh({(SERVICE, MODEL.name): 1})
        self.forwarder = self._make_forwarder(kind)

    def _make_notices(self) -> None:
        limits = ServerLimits(zone=ZONE, clock=self.clock, on_news=lambda: None)
        limits.record_response(
            self.server.vm, LIMIT_PER_S, sent_at_s=self.clock.monotonic()
        )
        self.rate_limiter = RequestRateLimiter(
            sources=(limits,),
            node=NodeId("n"),
            zone=ZONE,
            zones=(),
            clock=self.clock,
            rng=self.rng,
        )
        self.notices = ServerNotices(
            limits=limits,
            cold_servers=ColdServers(
                zone=ZONE,
                clock=self.clock,
                accepted_factor=1.5,
                excess_requests=5.0,
                on_news=lambda: None,
            ),
            rate_limiter=self.rate_limiter,
            evacuated_zones=EvacuatedZones(
                known_zones=(), clock=self.clock, on_change=lambda: None
            ),
            clock=self.clock,
            rng=self.rng,
            on_leaving=lambda: None,
        )

    def _make_forwarder(self, kind: str) -> PlainForwarder | StreamForwarder:
        common = {
            "server_tracker": self.tracker,
            "pool": ClosedPool(),
            "retry_limiter": RetryLimiter(
                clock=self.clock,
                ratio=1.0,
                reserve=100.0,
                node_count=1,
                on_denied=lambda: None,
            ),
            "run_monitor": SimpleNamespace(
                contact=SimpleNamespace(report_trouble=lambda vm: None)
            ),
            "notices": self.notices,
            "delay_estimator": LearnedDelayEstimator(
                zone=ZONE, clock=self.clock, is_applied=lambda: False
            ),
            "exits": SimpleNamespace(
                may_use=lambda context, *, unreached_count: False,
                is_needed=lambda context: False,
            ),
            "clock": self.clock,
            "rng": self.rng,
        }
        if kind == "plain":
            return PlainForwarder(**common, memory_budget=MemoryBudget(None), zone=ZONE)
        chooser = GroupChooser(
            server_tracker=self.tracker,
            notices=self.notices,
            group_selector=GroupSelector(zone=ZONE, rng=self.rng),
            delay_estimator=common["delay_estimator"],
            dispatch=lambda: SimpleNamespace(is_enabled=False),
            clock=self.clock,
        )
        group_servers = GroupServers(
            chooser=chooser,
            server_tracker=self.tracker,
            delay_estimator=common.pop("delay_estimator"),
            rng=self.rng,
        )
        return StreamForwarder(
            **common,
            stall_detector=None,
            group_servers=group_servers,
            plain_servers=None,
        )

    def use_up_limit(self) -> float:
        """Take all that the server admits; return the time in s of the next one."""
        while self.notices.take_request(self.server) is not None:
            pass
        return self.clock.time_s + self.rate_limiter.wait_s(self.server.vm)

    async def send(self) -> tuple[RequestError, list[str]]:
        """Send a request; return its error and the results of its attempts."""
        declaration = make_declaration()
        context = SimpleNamespace(
            service=declaration.services[SERVICE],
            route=declaration.routes[0],
            request_head=SimpleNamespace(
                model=MODEL.name,
                prompt_tokens=700,
                last_event_id=None,
                request_id="r",
            ),
            account=None,
            urgency=0,
            identity=None,
            exchange=SimpleNamespace(has_ended=False),
            record=SimpleNamespace(attempts=[]),
            deadline_at_s=float("inf"),
            is_forwarded=False,
            prior_runs=0,
            encode_for_server=lambda vm, *, now_s, last_event_id: b"",
        )
        with pytest.raises(RequestError) as caught:
            await self.forwarder.forward(context)
        return caught.value, [a.result for a in context.record.attempts]


async def send_around_free_place(
    kind: str, *, count: int
) -> list[tuple[RequestError, list[str]]]:
    """Send requests such that the server takes one more at each reading in turn.

    Return the errors and results of those for which there was no connection attempt.
    """
    refused = []
    sent = 0
    for readings in range(READINGS):
        node = Node(kind)
        free_at_s = node.use_up_limit()
        node.clock.time_s = free_at_s - (readings + 0.5) * STEP_S
        node.clock.step_s = STEP_S
        answers = await asyncio.gather(*(node.send() for _ in range(count)))
        refused += [answer for answer in answers if NOT_OPENED not in answer[1]]
        sent += any(NOT_OPENED in results for _, results in answers)
    assert 0 < sent < READINGS
    return refused


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("count", [1, 3])
async def test_refusal_states_the_wait_whenever_a_server_takes_the_next_request(
    kind, count
):
    # Guards against a refusal for another reason, without the time to come back, if
    # the server takes requests again between the choice and the refusal.
    refused = await send_around_free_place(kind, count=count)
    assert refused
    for error, results in refused:
        assert error.code is ErrorCode.SERVER_LIMIT, (results, str(error))
        assert error.outcome is Outcome.NOT_RUN
        wait = error.retry_after
        assert wait is not None
        assert datetime.timedelta(0) < wait < datetime.timedelta(seconds=MAX_WAIT_S)
