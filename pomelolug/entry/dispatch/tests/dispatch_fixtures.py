"""Groups, clock and declaration for the tests of the dispatcher."""

import dataclasses
import datetime
import random

from pomelolug.clock import Clock
from pomelolug.deployment import (
    BackendServer,
    Declaration,
    Repeatability,
    Route,
    Service,
    ServiceShare,
)
from pomelolug.entry.dispatch import GroupDispatcher, Question
from pomelolug.entry.performance import DeclaredDelayEstimator
from pomelolug.entry.tests.choice_simulation import ENGINE_OF_TEST, MODEL, _Group
from pomelolug.ids import ServiceName, ZoneId

SERVICE = ServiceName("llm")
ZONE = ZoneId("a")
SLOTS = ENGINE_OF_TEST.slots


class ManualClock(Clock):
    """Clock that a test sets."""

    def __init__(self) -> None:
        self.time_s = 1000.0

    def monotonic(self) -> float:
        return self.time_s

    def now(self) -> datetime.datetime:
        return datetime.datetime.fromtimestamp(self.time_s, datetime.UTC)

    async def sleep(self, duration: datetime.timedelta) -> None:
        raise AssertionError("the dispatcher does not sleep")


def make_declaration() -> Declaration:
    route = Route(
        name="r",
        host="h",
        prefix="/",
        shares=(ServiceShare(service=SERVICE, weight=1.0),),
        repeatability=Repeatability.STREAM,
        timeout=datetime.timedelta(seconds=6),
        latency_target=datetime.timedelta(seconds=0.3),
        gap_target=datetime.timedelta(seconds=0.2),
        priority=0,
        max_attempts=2,
        public=False,
        resumable=True,
        is_model_route=True,
    )
    slow_route = dataclasses.replace(
        route,
        name="slow",
        repeatability=Repeatability.AT_MOST_ONCE,
        timeout=datetime.timedelta(seconds=120),
        resumable=False,
        is_model_route=False,
    )
    service = Service(
        name=SERVICE, health_path="/", max_connections=100, engine=ENGINE_OF_TEST
    )
    return Declaration(
        version=1,
        routes=(route, slow_route),
        services={SERVICE: service},
        accounts_by_key=None,
        max_header_bytes=1000,
        max_body_bytes=1000,
        header_timeout=datetime.timedelta(seconds=1),
        idle_timeout=datetime.timedelta(seconds=1),
    )


def make_heads(count: int, *, zone: str = "a") -> list[BackendServer]:
    return [_Group(f"{zone}{n}", ZoneId(zone), 1.0).server for n in range(count)]


def make_dispatcher(
    heads: list[BackendServer], *, clock: Clock | None = None, seed: int = 0
) -> GroupDispatcher:
    return GroupDispatcher(
        heads=lambda service, model: heads if model == MODEL.name else [],
        estimator=DeclaredDelayEstimator(),
        declaration=make_declaration,
        zone=ZONE,
        clock=clock or ManualClock(),
        rng=random.Random(seed),
    )


def make_question(**changes) -> Question:
    fields = {
        "service": SERVICE,
        "model": MODEL.name,
        "prompt_tokens": 700,
        "target_s": 0.3,
    }
    return Question(**fields | changes)
