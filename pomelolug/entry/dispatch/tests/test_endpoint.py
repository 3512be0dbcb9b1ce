"""Questions of nodes to dispatchers, over a network that loses messages."""

import asyncio
import random

import pytest

from pomelolug.entry.dispatch import (
    DispatchEndpoint,
    DispatcherAddresses,
    Holder,
    _endpoint,
)
from pomelolug.entry.dispatch.tests.dispatch_fixtures import (
    SLOTS,
    make_dispatcher,
    make_heads,
    make_question,
)
from pomelolug.ids import ZoneId
from pomelolug.messages import DispatchEnd, DispatchRequest
from pomelolug.testing import LoopClock

pytestmark = pytest.mark.looptime


class Network:
    """Endpoints that reach each other by their addresses."""

    def __init__(self) -> None:
        self.endpoints: dict[str, DispatchEndpoint] = {}
        self.dispatchers = {}
        self.silent: set[str] = set()
        self.delay_s = 0.002
        self.loses_ends = False
        self.question_count = 0

    def add(
        self, address: str, *, groups: int = 2, started_ms: int = 1, **options
    ) -> DispatchEndpoint:
        dispatcher = make_dispatcher(make_heads(groups))
        self.dispatchers[address] = dispatcher
        endpoint = DispatchEndpoint(
            dispatcher=dispatcher,
            holder=Holder(address, started_ms),
            send=self._send,
            clock=LoopClock(),
            rng=random.Random(0),
            **options,
        )
        self.endpoints[address] = endpoint
        return endpoint

    def _send(self, message, address: str) -> None:
        self.question_count += isinstance(message, DispatchRequest)
        if address in self.silent:
            return
        if isinstance(message, DispatchEnd) and self.loses_ends:
            return
        endpoint = self.endpoints[address]
        asyncio.get_running_loop().call_later(self.delay_s, endpoint.receive, message)


def make_pair(*, groups: int = 2) -> tuple[Network, DispatchEndpoint]:
    """Return a network and a node whose zone has a dispatcher at `d`."""
    network = Network()
    network.add("d", groups=groups).set_addresses(DispatcherAddresses(("d",)))
    node = network.add("n")
    node.set_addresses(DispatcherAddresses(("d",)))
    return network, node


async def test_group_is_assigned_and_returned():
    # Guards against a place that is held after its stream has ended.
    network, node = make_pair()
    assignment = await node.assign(make_question())
    assert assignment.head in ("a0", "a1")
    assert network.dispatchers["d"].open_assignments == 1
    assignment.end()
    assignment.end()
    await asyncio.sleep(0.01)
    assert network.dispatchers["d"].open_assignments == 0


async def test_silent_dispatcher_costs_a_moment_and_is_then_avoided():
    # Guards against requests that wait for a dispatcher which was killed or frozen.
    network, node = make_pair()
    network.silent.add("d")
    began_s = asyncio.get_running_loop().time()
    for _ in range(20):
        assert await node.assign(make_question()) is None
    assert asyncio.get_running_loop().time() - began_s <= 0.1
    assert network.question_count <= 3
    network.silent.clear()
    await asyncio.sleep(1.1)
    assert (await node.assign(make_question())).head is not None


async def test_reply_that_waits_during_a_pause_of_the_node_is_used():
    # Guards against a node that, whenever its own event loop pauses for a moment,
    # withdraws what was assigned to it and avoids a sound dispatcher.
    network, node = make_pair()
    network.delay_s = _endpoint._REPLY_TIMEOUT_S / 2 - 1e-10
    for _ in range(3):
        assert (await node.assign(make_question())).head is not None
    await asyncio.sleep(0.1)
    assert network.dispatchers["d"].open_assignments == 3
    assert node.timeout_count == 0


async def test_slow_dispatcher_is_asked_once_a_second():
    # Guards against a node whose streams lose 30 ms twice a second to a dispatcher that
    # runs and is too slow.
    network, node = make_pair()
    network.delay_s = 0.05
    for _ in range(60):
        await node.assign(make_question())
        await asyncio.sleep(0.1)
    assert node.timeout_count <= 8
    network.delay_s = 0.002
    await asyncio.sleep(1.1)
    for _ in range(2):
        assert (await node.assign(make_question())).head is not None


async def test_late_reply_leaves_no_place_taken():
    # Guards against a place that nobody uses, since its reply came too late.
    network, node = make_pair()
    node_endpoint = network.endpoints.pop("n")
    network.endpoints["n"] = type("Slow", (), {"receive": lambda self, message: None})()
    assert await node_endpoint.assign(make_question()) is None
    await asyncio.sleep(0.01)
    assert network.dispatchers["d"].open_assignments == 0


async def test_full_zone_is_helped_by_others_that_have_room():
    # Guards against refusals while another zone has room, and against a zone whose
    # groups are all asked for although they are full.
    network, node = make_pair(groups=1)
    network.add("e", groups=1).set_addresses(DispatcherAddresses(("e",)))
    node.set_addresses(DispatcherAddresses(("d",), {ZoneId("b"): "e"}))
    question = make_question(target_s=0.0)
    assignments = [await node.assign(question) for _ in range(2 * SLOTS + 1)]
    assert all(a.head is not None for a in assignments[:-1])
    assert assignments[-1].head is None
    assert network.dispatchers["d"].open_assignments == SLOTS
    assert network.dispatchers["e"].open_assignments == SLOTS


async def test_zones_that_could_not_be_asked_are_named_at_a_full_zone():
    # Guards against refusals while another zone has free groups: its dispatcher has
    # just been lost, or it has too few nodes for one.
    network, node = make_pair(groups=1)
    network.add("e", groups=1).set_addresses(DispatcherAddresses(("e",)))
    node.set_addresses(
        DispatcherAddresses(
            ("d",), {ZoneId("b"): "e", ZoneId("f"): "lost"}, frozenset({ZoneId("c")})
        )
    )
    network.silent.add("lost")
    question = make_question(target_s=0.0)
    assignments = [await node.assign(question) for _ in range(2 * SLOTS + 1)]
    assert assignments[-1].head is None
    assert assignments[-1].unasked == {"c", "f"}


async def test_node_without_groups_in_its_zone_uses_those_of_others():
    # Guards against refusals, and against choices by old loads, in a zone whose groups
    # are all gone or evacuated.
    network, node = make_pair(groups=0)
    assert await node.assign(make_question()) is None
    network.add("e", groups=1).set_addresses(DispatcherAddresses(("e",)))
    node.set_addresses(DispatcherAddresses(("d",), {ZoneId("b"): "e"}))
    assert (await node.assign(make_question())).head is not None


async def test_node_whose_dispatchers_are_silent_chooses_at_once():
    # Guards against further questions to other zones, which take their time too.
    network, node = make_pair()
    network.add("e").set_addresses(DispatcherAddresses(("e",)))
    node.set_addresses(DispatcherAddresses(("d",), {ZoneId("b"): "e"}))
    network.silent.add("d")
    assert await node.assign(make_question()) is None
    assert network.question_count == 1


async def test_streams_of_an_earlier_dispatcher_are_reported_to_the_next():
    # Guards against a successor that takes busy groups for free.
    network, node = make_pair()
    assignment = await node.assign(make_question())
    own_loads = {assignment.head: 1, "other": 2}
    assert node.unassigned(own_loads) == {"other": 2}
    node.set_addresses(DispatcherAddresses(("e",)))
    assert node.unassigned(own_loads) == own_loads
    assignment.end()
    await asyncio.sleep(0.01)
    assert network.dispatchers["d"].open_assignments == 0


async def test_streams_assigned_before_a_restart_are_reported_to_the_new_process():
    # Guards against a dispatcher that has restarted at its address before its loss was
    # seen, and that takes all groups for free.
    network, _ = make_pair(groups=1)
    restarts = []
    node = network.add("n", on_restart=lambda: restarts.append(1))
    node.set_addresses(DispatcherAddresses(("d",)))
    before = await node.assign(make_question())
    network.add("d", groups=1, started_ms=2).set_addresses(DispatcherAddresses(("d",)))
    assert node.unassigned({before.head: 1}) == {}
    after = await node.assign(make_question())
    assert restarts == [1]
    assert node.unassigned({before.head: 2}) == {before.head: 1}
    before.end()
    assert node.unassigned({before.head: 1}) == {}
    after.end()
    await asyncio.sleep(0.01)
    assert network.dispatchers["d"].open_assignments == 0


async def test_node_that_has_the_role_again_knows_its_streams():
    # Guards against a dispatcher that forgets streams which nodes still take for known
    # to it, as when a zone has one node less than a dispatcher needs for a moment.
    network, node = make_pair(groups=1)
    assignments = [await node.assign(make_question()) for _ in range(3)]
    load = {assignments[0].head: 3}
    for addresses in ((), ("e",), ("d",)):
        for endpoint in network.endpoints.values():
            endpoint.set_addresses(DispatcherAddresses(addresses))
        known = network.dispatchers["d"].open_assignments
        if addresses == ("d",):
            assert known + sum(node.unassigned(load).values()) == 3
        else:
            assert node.unassigned(load) == load
    assignments.pop().end()
    await asyncio.sleep(0.01)
    assert network.dispatchers["d"].open_assignments == 2


async def test_dispatcher_uses_no_messages_for_its_own_streams():
    # Guards against a node that asks itself over the network.
    network = Network()
    node = network.add("d")
    node.set_addresses(DispatcherAddresses(("d",)))
    assignment = await node.assign(make_question())
    assert assignment.head is not None
    assignment.end()
    assert network.question_count == 0
    assert network.dispatchers["d"].open_assignments == 0


async def test_caller_who_leaves_while_the_question_is_out_takes_no_place():
    # Guards against places that are held for streams which were never sent.
    network, node = make_pair()
    task = asyncio.create_task(node.assign(make_question()))
    await asyncio.sleep(0.001)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await asyncio.sleep(0.01)
    assert network.dispatchers["d"].open_assignments == 0


async def test_zone_without_a_dispatcher_asks_nobody():
    # Guards against a delay at deployments whose nodes choose for themselves.
    network = Network()
    node = network.add("n")
    assert await node.assign(make_question()) is None
    assert network.question_count == 0


async def test_stand_in_is_asked_while_the_dispatcher_is_silent():
    # Guards against a zone whose nodes all choose by old loads until the loss of the
    # dispatcher is known, which takes seconds.
    network, node = make_pair()
    addresses = DispatcherAddresses(("d", "s"))
    network.add("s").set_addresses(addresses)
    node.set_addresses(addresses)
    network.silent.add("d")
    for _ in range(5):
        assert (await node.assign(make_question())).head is not None
    assert network.dispatchers["s"].open_assignments == 5


async def test_node_that_is_no_dispatcher_says_so_at_once():
    # Guards against a wait for the reply of a node that knows of another dispatcher.
    network = Network()
    network.add("x")
    node = network.add("n")
    node.set_addresses(DispatcherAddresses(("x",)))
    began_s = asyncio.get_running_loop().time()
    assert await node.assign(make_question()) is None
    assert asyncio.get_running_loop().time() - began_s <= 0.01
