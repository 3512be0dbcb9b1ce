"""Which runs count as losses of their servers."""

import asyncio
import datetime
import random

import pytest

from pomelolug.deployment import (
    BackendServer,
    GroupMembership,
    GroupState,
    ServerRegistry,
    ServerState,
)
from pomelolug.entry.losses import (
    PoisonRequestDetector,
    QuarantinedError,
    RequestIdentity,
    RunEnd,
    RunMonitor,
    ServerRun,
)
from pomelolug.entry.servers import ServerContact
from pomelolug.ids import DomainId, GroupId, Offset, ServiceName, VmId, ZoneId
from pomelolug.testing import LoopClock

ENTRY_LIFETIME = datetime.timedelta(seconds=3.6)
REQUEST = "fingerprint"


def make_server(vm: str = "s1", *, born: int = 1, group: str = "", rank: int = 0):
    membership = None
    if group:
        membership = GroupMembership(GroupId(group), 7, rank, GroupState.OPEN)
    return BackendServer(
        vm=VmId(vm),
        start_time_ms=born,
        service=ServiceName("s"),
        address="127.0.0.1:1",
        zone=ZoneId("z"),
        domain=DomainId("d"),
        state=ServerState.READY,
        slots=4,
        staged=frozenset(),
        model=None,
        membership=membership,
    )


class Node:
    """Run monitor and detector of one node with its registry."""

    def __init__(self) -> None:
        self.clock = LoopClock()
        self.registry = ServerRegistry(clock=self.clock)
        self.registry_age_s = 0.0
        self.detector = PoisonRequestDetector(clock=self.clock)
        self.reaches_servers = True
        self.contact = ServerContact(
            registry=self.registry,
            probe=self._probe,
            probe_timeout=datetime.timedelta(seconds=0.3),
            on_change=lambda is_cut_off: None,
            clock=self.clock,
            rng=random.Random(1),
        )
        self.monitor = RunMonitor(
            detector=self.detector,
            registry=self.registry,
            registry_age_s=lambda: self.registry_age_s,
            entry_lifetime=ENTRY_LIFETIME,
            contact=self.contact,
            clock=self.clock,
        )
        self._offset = 0

    async def set_links(self, *, up: bool) -> None:
        """Let the links to the servers fail or return, and the node notice it."""
        self.reaches_servers = up
        await self.contact._run_round()
        assert self.contact.is_cut_off != up

    async def _probe(self, server: BackendServer) -> bool:
        return self.reaches_servers

    def publish(self, *servers: BackendServer) -> None:
        for server in servers:
            self._apply(server.vm, server)

    def remove(self, vm: str) -> None:
        self._apply(VmId(vm), None)

    def _apply(self, vm: VmId, server: BackendServer | None) -> None:
        self._offset += 1
        change = self.registry.apply([(vm, Offset(self._offset), server)])
        self.monitor.on_registry_change(change)

    def begin(self, server: BackendServer, *, connected_at_s=None) -> ServerRun:
        if connected_at_s is None:
            connected_at_s = self.clock.monotonic()
        return self.monitor.begin(
            RequestIdentity(REQUEST), server, connected_at_s=connected_at_s
        )

    @property
    def losses(self) -> int:
        return self.detector.loss_count(REQUEST)

    @property
    def told(self) -> bool:
        return REQUEST in self.detector.losses_to_send()


async def settle(node: Node, seconds: float = 10.0) -> None:
    await asyncio.sleep(seconds)
    node.monitor.settle_overdue()


@pytest.mark.looptime
@pytest.mark.parametrize(
    "end", [RunEnd.UNANSWERED, RunEnd.INTERRUPTED, RunEnd.CONNECTION_LOST]
)
async def test_loss_counts_at_once_and_is_cleared_if_the_server_lives(end):
    # Guards against a request that crashes more servers while its first losses are
    # examined, and against a harmless one that is refused because servers are slow.
    node = Node()
    server = make_server()
    node.publish(server)
    node.monitor.finish(node.begin(server), end)
    assert node.losses == 1
    await settle(node, 8.0)
    assert node.losses == 1
    await settle(node, 3.0)
    assert node.losses == 0


@pytest.mark.looptime
async def test_cut_of_an_unread_response_is_no_loss():
    # Guards against requests that are refused because their callers read slowly.
    node = Node()
    server = make_server()
    node.publish(server)
    for _ in range(5):
        node.monitor.finish(node.begin(server), RunEnd.LEFT_UNREAD)
    assert node.losses == 0
    assert not node.told
    await settle(node, 11.0)
    assert node.losses == 0


@pytest.mark.looptime
@pytest.mark.parametrize("shown_first", [False, True])
async def test_end_of_a_server_counts_though_its_response_was_left_unread(shown_first):
    # Guards against a crash that is taken for a cut because the caller read slowly.
    node = Node()
    server = make_server()
    node.publish(server)
    run = node.begin(server)
    if shown_first:
        node.publish(make_server(born=2))
    node.monitor.finish(run, RunEnd.LEFT_UNREAD)
    if not shown_first:
        node.publish(make_server(born=2))
    assert node.losses == 1


@pytest.mark.looptime
@pytest.mark.parametrize("how", ["lapsed", "restarted"])
async def test_silent_server_that_has_ended_is_a_loss(how):
    # Guards against servers that end without closing their connections.
    node = Node()
    server = make_server()
    node.publish(server)
    node.monitor.finish(node.begin(server), RunEnd.UNANSWERED)
    assert not node.told
    await asyncio.sleep(3.6)
    if how == "lapsed":
        node.remove("s1")
    else:
        node.publish(make_server(born=2))
    assert node.told
    await settle(node)
    assert node.losses == 1


@pytest.mark.looptime
async def test_server_that_ended_before_the_run_was_given_up_is_a_loss():
    # Guards against a caller that waits longer than the entry of the server lives.
    node = Node()
    server = make_server()
    node.publish(server)
    run = node.begin(server)
    await asyncio.sleep(4.0)
    node.remove("s1")
    await asyncio.sleep(1.0)
    node.monitor.finish(run, RunEnd.UNANSWERED)
    assert node.told
    await settle(node)
    assert node.losses == 1


@pytest.mark.looptime
async def test_end_of_a_server_counts_while_its_caller_still_waits():
    # Guards against a request that crashes more servers while the callers of the first
    # ones wait for their deadlines.
    node = Node()
    server = make_server()
    node.publish(server)
    run = node.begin(server)
    await asyncio.sleep(3.6)
    node.remove("s1")
    assert node.losses == 1
    assert node.told
    node.monitor.finish(run, RunEnd.UNANSWERED)
    assert node.losses == 1


@pytest.mark.looptime
async def test_server_whose_entry_is_gone_may_still_answer():
    # Guards against losses of servers that leave and finish their work.
    node = Node()
    server = make_server()
    node.publish(server)
    run = node.begin(server)
    node.remove("s1")
    node.monitor.finish(run, RunEnd.ANSWERED)
    assert node.losses == 0


@pytest.mark.looptime
async def test_other_nodes_are_told_at_once_of_a_server_that_was_silent_for_long():
    # Guards against a request that crashes one server through each node before the
    # entries of the first ones lapse, and against a report for each caller that leaves.
    node = Node()
    server = make_server()
    node.publish(server)
    node.monitor.finish(node.begin(server), RunEnd.UNANSWERED)
    run = node.begin(server)
    await asyncio.sleep(1.5)
    node.monitor.finish(run, RunEnd.INTERRUPTED)
    assert not node.told
    run = node.begin(server, connected_at_s=0.0)
    await asyncio.sleep(1.5)
    node.monitor.finish(run, RunEnd.UNANSWERED)
    assert node.told


@pytest.mark.looptime
async def test_loss_after_a_false_alarm_counts():
    # Guards against a loss that is taken for the one that another node has cleared.
    nodes = [Node(), Node()]
    server = make_server()
    for node in nodes:
        node.publish(server)
    nodes[0].monitor.finish(nodes[0].begin(server), RunEnd.CONNECTION_LOST)
    await settle(nodes[0])
    nodes[1].detector.merge(
        {},
        cleared=nodes[0].detector.cleared_to_send(),
        is_own_zone=True,
        source="peer",
    )
    nodes[1].monitor.finish(nodes[1].begin(server), RunEnd.CONNECTION_LOST)
    assert nodes[1].losses == 1


@pytest.mark.looptime
async def test_lost_member_counts_as_the_loss_of_its_group():
    # Guards against a request that crashes other members than the head it is sent to.
    node = Node()
    head = make_server("s1", group="g", rank=0)
    node.publish(head, make_server("s2", group="g", rank=1))
    node.monitor.finish(node.begin(head), RunEnd.CONNECTION_LOST)
    await asyncio.sleep(3.6)
    node.remove("s2")
    await settle(node)
    assert node.losses == 1


@pytest.mark.looptime
async def test_loss_is_not_cleared_by_old_data_of_the_store():
    # Guards against a lost server that counts as alive while the store is away.
    node = Node()
    server = make_server()
    node.publish(server)
    node.monitor.finish(node.begin(server), RunEnd.CONNECTION_LOST)
    node.registry_age_s = 20.0
    await settle(node, 20.0)
    assert node.losses == 1
    # The store is back, but entries may not have lapsed while it was away.
    node.registry_age_s = 0.0
    await settle(node, 4.0)
    assert node.losses == 1
    await settle(node)
    assert node.losses == 0


@pytest.mark.looptime
async def test_copies_of_a_request_at_one_lost_server_are_one_loss():
    # Guards against a harmless request that is refused because many callers had sent
    # it to a server that was lost.
    nodes = [Node(), Node()]
    server = make_server()
    for node in nodes:
        node.publish(server)
        runs = [node.begin(server) for _ in range(5)]
        await asyncio.sleep(0.1)
        for run in runs:
            node.monitor.finish(run, RunEnd.CONNECTION_LOST)
            await asyncio.sleep(0.1)
    nodes[0].detector.merge(
        nodes[1].detector.losses_to_send(),
        cleared={},
        is_own_zone=True,
        source="peer",
    )
    assert nodes[0].losses == 1


@pytest.mark.looptime
async def test_server_that_was_lost_again_is_a_further_loss():
    # Guards against a restarted server whose next loss is taken for the first one.
    node = Node()
    node.publish(make_server())
    for born in (1, 2, 2):
        server = make_server(born=born)
        node.publish(server)
        await asyncio.sleep(0.1)
        node.monitor.finish(node.begin(server), RunEnd.CONNECTION_LOST)
    assert node.losses == 3


@pytest.mark.looptime
async def test_run_that_a_server_survives_is_no_loss():
    # Guards against refusals of requests whose servers answer, well or badly.
    node = Node()
    server = make_server()
    node.publish(server)
    for end in (RunEnd.SURVIVED, RunEnd.ANSWERED):
        node.monitor.finish(node.begin(server), end)
    assert node.losses == 0


PART = "part"


def begin_with_part(node: Node, server: BackendServer, number: int = 0) -> ServerRun:
    identity = RequestIdentity(f"{number:08x}".ljust(16, "0"), (PART,))
    return node.monitor.begin(identity, server, connected_at_s=node.clock.monotonic())


@pytest.mark.looptime
@pytest.mark.parametrize("end", [RunEnd.STALLED, RunEnd.UNANSWERED, RunEnd.INTERRUPTED])
async def test_silence_of_servers_does_not_name_the_parts_of_prompts(end):
    # Guards against harmless requests that are refused for a part of their prompts
    # because many sound servers paused.
    node = Node()
    servers = [make_server(f"s{number}") for number in range(6)]
    node.publish(*servers)
    for number, server in enumerate(servers):
        run = begin_with_part(node, server, number)
        await asyncio.sleep(1.6)
        node.monitor.finish(run, end)
    node.monitor.check(RequestIdentity("f" * 16, (PART,)))
    assert node.detector.loss_count(PART) == 0
    assert node.detector.losses_to_send() == {}


@pytest.mark.looptime
async def test_end_of_silent_servers_names_the_parts_of_prompts():
    # Guards against a part of prompts that crashes servers which end without closing
    # their connections.
    node = Node()
    servers = [make_server(f"s{number}") for number in range(3)]
    node.publish(*servers)
    for number, server in enumerate(servers):
        run = begin_with_part(node, server, number)
        await asyncio.sleep(1.1)
        node.monitor.finish(run, RunEnd.STALLED)
    for server in servers:
        node.remove(server.vm)
    assert node.detector.loss_count(PART) == 3
    assert node.detector.is_quarantined(PART)
    assert PART in node.detector.losses_to_send()


@pytest.mark.looptime
@pytest.mark.parametrize("end", [RunEnd.ANSWERED, RunEnd.SURVIVED])
async def test_server_that_ends_after_its_response_does_not_name_the_parts(end):
    # Guards against parts that are suspected because a server paused, responded and
    # then ended for another reason.
    node = Node()
    server = make_server()
    node.publish(server)
    run = begin_with_part(node, server)
    node.monitor.record_silence(run)
    node.monitor.finish(run, end)
    node.remove("s1")
    assert node.detector.loss_count(PART) == 0


@pytest.mark.looptime
async def test_end_of_a_silent_server_does_not_name_parts_answered_meanwhile():
    # Guards against a part that is suspected anew, although another server has written
    # an answer on it since the silence.
    node = Node()
    server, other = make_server(), make_server("s2")
    node.publish(server, other)
    node.monitor.finish(begin_with_part(node, server, 1), RunEnd.STALLED)
    await asyncio.sleep(0.5)
    node.monitor.finish(begin_with_part(node, other, 2), RunEnd.ANSWERED)
    node.remove("s1")
    assert node.detector.loss_count(PART) == 0


@pytest.mark.looptime
async def test_short_runs_at_a_server_that_responds_do_not_add_up_to_a_silence():
    # Guards against a report to other nodes for callers who leave early one after the
    # other, while the server responds to others or is not asked.
    node = Node()
    server = make_server()
    node.publish(server)
    for is_heard in (True, False):
        for _ in range(4):
            run = node.begin(server, connected_at_s=0.0)
            await asyncio.sleep(1.0)
            node.monitor.finish(run, RunEnd.UNANSWERED)
            if is_heard:
                other = begin_with_part(node, server)
                node.monitor.finish(other, RunEnd.ANSWERED)
            else:
                await asyncio.sleep(0.1)
    assert not node.told


@pytest.mark.looptime
async def test_refusal_for_silent_servers_says_when_they_are_examined():
    # Guards against callers that are sent away for minutes because servers paused,
    # also after other nodes have repeated what they were told.
    node = Node()
    servers = [make_server(f"s{number}") for number in range(4)]
    node.publish(*servers)
    for server in servers:
        node.monitor.finish(node.begin(server), RunEnd.UNANSWERED)
    node.detector.merge(
        node.detector.losses_to_send(), cleared={}, is_own_zone=True, source="peer"
    )
    with pytest.raises(QuarantinedError) as caught:
        node.monitor.check(RequestIdentity(REQUEST))
    assert caught.value.retry_after <= ENTRY_LIFETIME + datetime.timedelta(seconds=6)
    for server in servers:
        node.remove(server.vm)
    with pytest.raises(QuarantinedError) as caught:
        node.monitor.check(RequestIdentity(REQUEST))
    assert caught.value.retry_after > datetime.timedelta(seconds=290)


@pytest.mark.looptime
@pytest.mark.parametrize(
    "end", [RunEnd.UNANSWERED, RunEnd.INTERRUPTED, RunEnd.CONNECTION_LOST]
)
@pytest.mark.parametrize("ends", ["cut_off", "after_return"])
async def test_run_that_lost_links_may_have_ended_is_no_loss(end, ends):
    # Guards against harmless requests that are refused because a node was cut off from
    # all servers while it ran them.
    node = Node()
    server = make_server()
    node.publish(server)
    runs = [node.begin(server) for _ in range(3)]
    await asyncio.sleep(1.5)
    await node.set_links(up=False)
    if ends == "after_return":
        await asyncio.sleep(2.0)
        await node.set_links(up=True)
    for run in runs:
        node.monitor.finish(run, end)
    assert node.losses == 0
    await settle(node)
    assert node.losses == 0


@pytest.mark.looptime
async def test_loss_after_the_return_of_the_links_counts():
    # Guards against a request that crashes servers and is not refused any more.
    node = Node()
    server = make_server()
    node.publish(server)
    await node.set_links(up=False)
    await asyncio.sleep(1.0)
    await node.set_links(up=True)
    await asyncio.sleep(0.1)
    node.monitor.finish(node.begin(server), RunEnd.CONNECTION_LOST)
    assert node.losses == 1


@pytest.mark.looptime
async def test_losses_shortly_before_the_links_are_found_lost_are_withdrawn():
    # Guards against harmless requests that other nodes refuse because this node took
    # the loss of its links for losses of servers.
    node, peer = Node(), Node()
    server, earlier = make_server(), make_server("s2")
    node.publish(server, earlier)
    node.monitor.finish(node.begin(earlier), RunEnd.CONNECTION_LOST)
    await asyncio.sleep(1.0)
    since_s = node.clock.monotonic()
    node.monitor.finish(node.begin(server), RunEnd.CONNECTION_LOST)
    assert node.losses == 2

    def tell_peer() -> None:
        peer.detector.merge(
            node.detector.losses_to_send(),
            cleared=node.detector.cleared_to_send(),
            is_own_zone=True,
            source="node",
        )

    tell_peer()
    assert peer.losses == 2
    await node.set_links(up=False)
    node.monitor.withdraw_losses(since_s=since_s)
    tell_peer()
    assert node.losses == peer.losses == 1


@pytest.mark.looptime
@pytest.mark.parametrize("when", ["withdrawn", "cut_off", "running"])
async def test_loss_that_the_registry_shows_counts_while_the_links_are_lost(when):
    # Guards against a request that crashes servers and is not counted, because the
    # node that ran it was cut off afterwards.
    node = Node()
    server = make_server()
    node.publish(server, make_server("s2"))
    run = node.begin(server)
    if when == "withdrawn":
        node.monitor.finish(run, RunEnd.CONNECTION_LOST)
    await node.set_links(up=False)
    node.monitor.withdraw_losses(since_s=0.0)
    if when == "cut_off":
        node.monitor.finish(run, RunEnd.CONNECTION_LOST)
    assert node.losses == 0
    await asyncio.sleep(3.6)
    node.remove("s1")
    assert node.losses == 1
    assert node.told
    await settle(node)
    assert node.losses == 1


@pytest.mark.looptime
async def test_confirmed_loss_is_not_withdrawn():
    # Guards against the loss of a crashed server that is taken back.
    node = Node()
    server = make_server()
    node.publish(server, make_server("s2"))
    node.monitor.finish(node.begin(server), RunEnd.CONNECTION_LOST)
    await asyncio.sleep(1.0)
    node.remove("s1")
    await node.set_links(up=False)
    node.monitor.withdraw_losses(since_s=0.0)
    assert node.losses == 1
