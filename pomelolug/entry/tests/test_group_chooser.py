"""Groups of streams whose zone is full by its dispatcher."""

import random
from types import SimpleNamespace

from pomelolug.entry.dispatch import Assignment
from pomelolug.entry.dispatch.tests.dispatch_fixtures import (
    SERVICE,
    ManualClock,
    make_declaration,
    make_heads,
)
from pomelolug.entry.performance import DeclaredDelayEstimator
from pomelolug.entry.requests import GroupChooser
from pomelolug.entry.servers import GroupSelector, ServerOptions
from pomelolug.entry.tests.choice_simulation import MODEL
from pomelolug.ids import ZoneId


class FullZone:
    """Dispatcher of a full zone, at a node that cannot ask some other zones."""

    is_enabled = True

    def __init__(self, unasked: set[str]) -> None:
        self._unasked = frozenset(map(ZoneId, unasked))

    async def assign(self, question) -> Assignment:
        return Assignment(None, unasked=self._unasked)


class IdleTracker:
    """Groups of three zones, all idle as far as this node knows."""

    def __init__(self) -> None:
        self._heads = [head for zone in "abc" for head in make_heads(2, zone=zone)]

    def heads(self, service, model):
        return self._heads

    open_heads = heads

    def head_options(self, service, model) -> ServerOptions:
        return ServerOptions(self._heads, None)

    def in_flight(self, vm) -> int:
        return 0


async def select_zone(unasked: set[str]) -> str | None:
    declaration = make_declaration()
    context = SimpleNamespace(
        service=declaration.services[SERVICE],
        route=declaration.routes[0],
        request_head=SimpleNamespace(model=MODEL.name, prompt_tokens=700),
        account=None,
        urgency=0,
    )
    dispatch = FullZone(unasked)
    chooser = GroupChooser(
        server_tracker=IdleTracker(),
        notices=SimpleNamespace(is_cold=lambda head: False),
        group_selector=GroupSelector(zone=ZoneId("a"), rng=random.Random(0)),
        delay_estimator=DeclaredDelayEstimator(),
        dispatch=lambda: dispatch,
        clock=ManualClock(),
    )
    selected = await chooser.select(context, set(), waits=False)
    return None if isinstance(selected, ServerOptions) else selected.server.zone


async def test_zone_that_could_not_be_asked_is_used():
    # Guards against refusals while another zone has free groups, and against a queue
    # at groups that are full by their dispatcher although this node believes them idle.
    assert await select_zone({"c"}) == "c"


async def test_stream_is_refused_if_all_dispatchers_say_that_they_are_full():
    # Guards against queues at full groups.
    assert await select_zone(set()) is None
