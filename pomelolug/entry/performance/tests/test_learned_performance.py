"""What is learned of the speed of servers, on a clock that the tests set."""

import dataclasses
import datetime
import random

import pytest

from pomelolug.clock import Clock
from pomelolug.deployment import BackendServer, GroupMembership
from pomelolug.entry.performance import LearnedDelayEstimator
from pomelolug.entry.tests.choice_simulation import ENGINE_OF_TEST, MODEL, _Group
from pomelolug.ids import GroupId, ZoneId
from pomelolug.messages import NodeStatus

SLOTS = ENGINE_OF_TEST.slots
USUAL_S = 0.17
"""Time to the first event, which the declared figures put at a third of it."""
INTERVAL_S = 0.05
TARGET = datetime.timedelta(milliseconds=250)


class ManualClock(Clock):
    """Clock that stands still until a test advances it."""

    def __init__(self) -> None:
        self.time_s = 100.0

    def monotonic(self) -> float:
        """Return the time that the test has set."""
        return self.time_s

    def now(self) -> datetime.datetime:
        """Return the time after 1970."""
        return datetime.datetime.fromtimestamp(self.time_s, datetime.UTC)

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Advance the time."""
        self.time_s += duration.total_seconds()


class Node:
    """One node that serves streams one after the other."""

    def __init__(self, clock: ManualClock, zone: str = "a") -> None:
        self.clock = clock
        self.zone = zone
        self.learned = LearnedDelayEstimator(zone=ZoneId(zone), clock=clock)

    def stream(
        self,
        server: BackendServer,
        slowdown: float = 1.0,
        *,
        in_flight: int = 1,
        events: int = 10,
        first_s: float = USUAL_S,
    ) -> None:
        """Serve a stream; the clock stands afterwards where it stood before."""
        began_s = self.clock.time_s
        observation = self.learned.begin_stream(
            server, ENGINE_OF_TEST, MODEL, in_flight=in_flight, prompt_tokens=700
        )
        self.clock.time_s += first_s * slowdown
        for _ in range(events):
            observation.record_event()
            self.clock.time_s += INTERVAL_S * slowdown
        observation.end(is_sound=True)
        self.clock.time_s = began_s

    def serve(
        self, servers: list[BackendServer], seconds: float, slow: dict[str, float]
    ) -> None:
        """Serve ten streams a second at each server, `slow` ones by their factor."""
        for _ in range(round(10 * seconds)):
            for server in servers:
                self.stream(server, slow.get(server.vm, 1.0))
            self.clock.time_s += 0.1

    def limit(self, server: BackendServer) -> int:
        return self.learned.limit(server, ENGINE_OF_TEST)

    def delay_s(self, server: BackendServer, in_flight: int = 1) -> float:
        return self.learned.first_event_s(
            server, ENGINE_OF_TEST, MODEL, in_flight=in_flight, prompt_tokens=700
        )

    def choice_delay_s(self, server: BackendServer, in_flight: int = 1) -> float:
        return self.learned.choice_delay_s(
            server,
            ENGINE_OF_TEST,
            MODEL,
            in_flight=in_flight,
            prompt_tokens=700,
            target=TARGET,
        )

    def status(self, *, relay: bool = False, reaches_servers: bool = True):
        reports = self.learned.take_reports(
            is_relay=relay, reaches_servers=reaches_servers
        )
        return NodeStatus(
            node=f"node-{self.zone}",
            started_ms=1,
            serial=1,
            zone=self.zone,
            address="",
            datagram="",
            declaration=1,
            relay=relay,
            reaches_servers=reaches_servers,
            speeds=reports.own,
            zone_speeds=reports.zone,
            other_speeds=reports.other,
        )


def make_servers(count: int = 6) -> list[BackendServer]:
    return [_Group(f"s{number}", ZoneId("a"), 1.0).server for number in range(count)]


def make_node() -> Node:
    return Node(ManualClock())


def test_usual_delay_is_learned_and_no_server_differs():
    # Guards against a choice by the declared figures where first events take longer,
    # and against noise that orders equal servers.
    node, servers, rng = make_node(), make_servers(), random.Random(1)
    for _ in range(60):
        for server in servers:
            node.stream(server, rng.lognormvariate(0.0, 0.25))
        node.clock.time_s += 0.1
    assert node.delay_s(servers[0]) == pytest.approx(USUAL_S, rel=0.2)
    assert {node.limit(server) for server in servers} == {SLOTS}
    assert len({node.choice_delay_s(server) for server in servers}) == 1


def test_slow_server_is_found_and_takes_fewer_requests():
    # Guards against a slow server that gets as much work as the others.
    node, servers = make_node(), make_servers()
    node.serve(servers, 3.0, {"s2": 3.0})
    assert node.delay_s(servers[2]) > 1.8 * node.delay_s(servers[0])
    assert node.choice_delay_s(servers[2]) > node.choice_delay_s(servers[0]) + 0.1
    assert node.limit(servers[2]) <= SLOTS / 2
    assert node.limit(servers[2]) >= 1
    assert node.limit(servers[0]) == SLOTS


def test_slow_servers_are_found_though_most_are_slow():
    # Guards against slow servers that count as usual: if a sixth of all are slow, so
    # are half of the groups of four, and more of the larger ones.
    node, servers = make_node(), make_servers(9)
    slow = {f"s{number}": 3.0 for number in range(3, 9)}
    node.serve(servers, 3.0, slow)
    assert max(node.limit(server) for server in servers[3:]) <= SLOTS / 2
    assert {node.limit(server) for server in servers[:3]} == {SLOTS}


def test_speed_that_changes_is_followed_within_seconds():
    # Guards against evidence that outlives what it was about, in both directions.
    node, servers = make_node(), make_servers()
    node.serve(servers, 10.0, {})
    node.serve(servers, 2.0, {"s2": 5.0})
    assert node.limit(servers[2]) < 0.6 * SLOTS
    node.serve(servers, 6.0, {})
    assert node.limit(servers[2]) == SLOTS


def test_slow_server_without_requests_gets_some_again():
    # Guards against a server that is condemned for good as it shows nothing more.
    node, servers = make_node(), make_servers()
    node.serve(servers, 3.0, {"s2": 5.0})
    node.serve(servers[:2] + servers[3:], 20.0, {})
    assert node.limit(servers[2]) == SLOTS
    assert node.choice_delay_s(servers[2]) <= node.choice_delay_s(servers[0]) + 0.04


def test_server_that_slows_down_from_half_its_slots():
    # Guards against a limit for all loads: such a server serves some requests well.
    node, servers = make_node(), make_servers()
    for _ in range(40):
        for server in servers:
            slowdown = 3.0 if server.vm == "s2" else 1.0
            node.stream(server, in_flight=1)
            node.stream(server, slowdown, in_flight=6)
        node.clock.time_s += 0.1
    assert node.delay_s(servers[2]) < 1.2 * node.delay_s(servers[0])
    assert node.delay_s(servers[2], 6) > 1.5 * node.delay_s(servers[0], 6)
    assert SLOTS / 4 < node.limit(servers[2]) < 0.8 * SLOTS


@pytest.mark.parametrize("count", [1, 2, 6])
def test_no_server_is_condemned_if_all_slow_down_together(count):
    # Guards against a fleet that is refused work as a whole, as it is slow as a whole.
    node, servers = make_node(), make_servers(count)
    node.serve(servers, 5.0, {})
    node.serve(servers, 4.0, {server.vm: 4.0 for server in servers})
    assert {node.limit(server) for server in servers} == {SLOTS}


def test_single_slow_request_condemns_no_server():
    # Guards against a judgement on one request, where a node sees few of them.
    node, servers = make_node(), make_servers()
    node.serve(servers, 0.1, {})
    node.stream(servers[2], 4.0, events=1)
    node.clock.time_s += 0.3
    assert node.limit(servers[2]) >= 0.8 * SLOTS


def test_pause_of_a_sound_server_does_not_condemn_it():
    # Guards against a pause of 1.6 s that delays all streams of a server together.
    node, servers = make_node(), make_servers()
    node.serve(servers, 3.0, {})
    for _ in range(SLOTS):
        node.stream(servers[2], first_s=USUAL_S + 1.6, events=1)
    node.clock.time_s += 0.3
    assert node.limit(servers[2]) >= 0.6 * SLOTS
    node.serve(servers, 2.0, {})
    assert node.limit(servers[2]) == SLOTS


def test_pause_between_events_is_left_out():
    # Guards against intervals that a pause of a sound server stretches.
    node, servers = make_node(), make_servers()
    node.serve(servers, 3.0, {})
    before = node.learned.summary()
    for _ in range(SLOTS):
        began_s = node.clock.time_s
        observation = node.learned.begin_stream(
            servers[2], ENGINE_OF_TEST, MODEL, in_flight=1, prompt_tokens=700
        )
        node.clock.time_s += USUAL_S
        for number in range(9):
            observation.record_event()
            node.clock.time_s += 1.6 if number == 4 else INTERVAL_S
        observation.end(is_sound=True)
        node.clock.time_s = began_s
    node.clock.time_s += 0.3
    assert node.limit(servers[2]) == SLOTS
    assert node.learned.summary().limited == before.limited == 0


def test_server_whose_events_all_come_later_than_a_pause_is_found():
    # Guards against the slowest servers, which count as sound and paused for ever and
    # get as many requests as others.
    node, servers = make_node(), make_servers()
    node.serve(servers, 3.0, {})
    for _ in range(4):
        node.clock.time_s += 0.5
        for server in servers:
            slowdown = 12.0 if server is servers[2] else 1.0
            first_s = USUAL_S / slowdown
            node.stream(server, slowdown, first_s=first_s, events=12)
    assert node.limit(servers[2]) <= 0.6 * SLOTS
    assert node.limit(servers[0]) == SLOTS


def test_slow_server_with_few_requests_is_found_within_seconds():
    # Guards against a slow server that is known only after most of its slow time, since
    # it ends few requests and has ended many before.
    node, servers = make_node(), make_servers(20)
    node.serve(servers, 6.0, {})
    for _ in range(6):
        node.clock.time_s += 0.5
        for server in servers:
            node.stream(server, 3.0 if server is servers[2] else 1.0)
    assert node.limit(servers[2]) <= 0.6 * SLOTS
    assert node.choice_delay_s(servers[2]) > node.choice_delay_s(servers[0]) + 0.1
    assert node.limit(servers[0]) == SLOTS


def test_failures_do_not_count_as_fast():
    # Guards against a server that attracts requests by refusing or breaking them.
    node, servers = make_node(), make_servers()
    node.serve(servers, 3.0, {})
    for number in range(50):
        observation = node.learned.begin_stream(
            servers[2], ENGINE_OF_TEST, MODEL, in_flight=1, prompt_tokens=700
        )
        node.clock.time_s += 0.001
        if number % 2:
            observation.record_event()
        observation.end(is_sound=False)
        answer = node.learned.begin_answer(servers[3], "r", in_flight=1)
        answer.end(is_sound=False)
    node.clock.time_s += 0.3
    assert node.delay_s(servers[2]) == node.delay_s(servers[0])
    assert node.learned.service_factor(servers[3], in_flight=1) == 1.0


def test_slow_caller_says_nothing_of_the_server():
    # Guards against intervals that a caller who does not read has stretched.
    node, servers = make_node(), make_servers()
    node.serve(servers, 3.0, {})
    for _ in range(20):
        began_s = node.clock.time_s
        observation = node.learned.begin_stream(
            servers[2], ENGINE_OF_TEST, MODEL, in_flight=1, prompt_tokens=700
        )
        node.clock.time_s += USUAL_S
        observation.record_event()
        observation.set_held(True)
        for _ in range(10):
            node.clock.time_s += 0.4
            observation.record_event()
        observation.end(is_sound=True)
        node.clock.time_s = began_s
    node.clock.time_s += 0.3
    assert node.limit(servers[2]) == SLOTS


def test_pause_of_this_process_says_nothing_of_servers():
    # Guards against a VM that was stopped and takes the time for that of its servers.
    node, servers = make_node(), make_servers()
    node.serve(servers, 3.0, {})
    usual_s = node.delay_s(servers[0])
    node.learned.tick()
    observations = [
        node.learned.begin_stream(
            servers[2], ENGINE_OF_TEST, MODEL, in_flight=1, prompt_tokens=700
        )
        for _ in range(10)
    ]
    node.clock.time_s += 3.0
    for observation in observations:
        observation.record_event()
        observation.record_event()
    node.learned.tick()
    for observation in observations:
        observation.end(is_sound=True)
    assert node.limit(servers[2]) == SLOTS
    assert node.delay_s(servers[2]) == pytest.approx(usual_s, rel=0.05)


def test_slow_node_does_not_condemn_servers_at_others():
    # Guards against a slow VM whose times make the servers that it uses look slow.
    clock = ManualClock()
    slow, sound = Node(clock), Node(clock)
    servers = make_servers()
    for _ in range(40):
        for server in servers:
            sound.stream(server)
        for server in servers[:3]:
            slow.stream(server, 5.0)
        clock.time_s += 0.1
        sound.learned.merge(slow.status())
        slow.learned.merge(sound.status())
    assert {sound.limit(server) for server in servers} == {SLOTS}
    assert {slow.limit(server) for server in servers} == {SLOTS}


def test_length_of_answers_does_not_matter():
    # Guards against servers that seem slow because they got long answers.
    node, servers = make_node(), make_servers()
    for _ in range(40):
        for number, server in enumerate(servers):
            node.stream(server, events=2 + 12 * number)
        node.clock.time_s += 0.1
    assert {node.limit(server) for server in servers} == {SLOTS}


def test_fresh_server_that_was_slow_at_first_is_restored():
    # Guards against a judgement on the first seconds of a server, which is cold.
    node, servers = make_node(), make_servers()
    node.serve(servers[:-1], 5.0, {})
    node.serve(servers, 3.0, {"s5": 4.0})
    assert node.limit(servers[5]) < SLOTS
    node.serve(servers, 5.0, {})
    assert node.limit(servers[5]) == SLOTS


def test_restart_and_new_group_forget_everything():
    # Guards against the past of a server that has restarted under the same id, or
    # whose group was formed again of other members.
    node, servers = make_node(), make_servers()
    node.serve(servers, 3.0, {"s2": 4.0})
    server = servers[2]
    restarted = dataclasses.replace(server, start_time_ms=2)
    assert server.membership is not None
    regrouped = dataclasses.replace(
        server,
        membership=GroupMembership(GroupId("g9"), 2, 0, server.membership.state),
    )
    assert node.limit(server) < SLOTS
    assert node.limit(restarted) == SLOTS
    assert node.limit(regrouped) == SLOTS


def test_nodes_learn_from_each_other_and_from_other_zones():
    # Guards against nodes that each need their own samples: a node sees few requests.
    clock = ManualClock()
    relay_a, node_a = Node(clock), Node(clock)
    relay_b, node_b = Node(clock, "b"), Node(clock, "b")
    servers = make_servers()
    for _ in range(40):
        for server in servers:
            node_a.stream(server, 3.0 if server.vm == "s2" else 1.0)
        clock.time_s += 0.1
        relay_a.learned.merge(node_a.status())
        relay_b.learned.merge(relay_a.status(relay=True))
        node_b.learned.merge(relay_b.status(relay=True))
    for server in servers:
        for node in (relay_a, relay_b, node_b):
            node.limit(server)
    clock.time_s += 0.3
    for node in (relay_a, relay_b, node_b):
        assert node.limit(servers[2]) < 0.6 * SLOTS
        assert node.limit(servers[0]) == SLOTS


def test_evidence_is_not_echoed():
    # Guards against two relays that renew each other's evidence forever.
    clock = ManualClock()
    relay_a, relay_b = Node(clock), Node(clock, "b")
    relay_a.stream(make_servers()[0], 3.0)
    relay_b.learned.merge(relay_a.status(relay=True))
    echo = relay_b.status(relay=True)
    assert echo.other_speeds
    assert not echo.zone_speeds
    assert not echo.speeds
    assert not relay_a.status(relay=True).zone_speeds


def test_node_that_is_cut_off_reports_nothing():
    # Guards against a node whose links are the cause of what it sees.
    node = make_node()
    node.stream(make_servers()[0], 3.0)
    assert node.status(reaches_servers=False).speeds == b""


def test_report_is_small_and_a_damaged_one_does_no_harm():
    # Guards against statuses that grow with the servers, and records that are cut.
    clock = ManualClock()
    node, peer = Node(clock), Node(clock)
    for server in make_servers(200):
        node.stream(server, 2.0)
    status = node.status(relay=True)
    assert len(status.speeds) <= 36
    assert len(status.zone_speeds) <= 96
    peer.learned.merge(with_speeds(status, speeds=status.speeds[:-1]))
    peer.learned.merge(with_speeds(status, speeds=b"\xff" * 1000))
    assert peer.limit(make_servers()[0]) in range(1, SLOTS + 1)


def with_speeds(status: NodeStatus, *, speeds: bytes) -> NodeStatus:
    return NodeStatus(
        node=status.node,
        started_ms=1,
        serial=2,
        zone=status.zone,
        address="",
        datagram="",
        declaration=1,
        speeds=speeds,
    )


def test_plain_server_is_compared_by_its_answers():
    # Guards against a slow plain server that gets as much as the others, and against
    # a route of long work that makes its servers look slow.
    node = make_node()
    servers = [
        dataclasses.replace(server, membership=None, model=None)
        for server in make_servers(3)
    ]
    for _ in range(40):
        for server in servers:
            for route, work_s in (("short", 0.015), ("long", 0.1)):
                began_s = node.clock.time_s
                answer = node.learned.begin_answer(server, route, in_flight=1)
                node.clock.time_s += work_s * (3.0 if server.vm == "s1" else 1.0)
                answer.end(is_sound=True)
                node.clock.time_s = began_s
        node.clock.time_s += 0.1
    assert node.learned.service_factor(servers[1], in_flight=1) > 1.8
    assert node.learned.service_factor(servers[0], in_flight=1) == 1.0
    assert node.learned.plain_limit(servers[1]) <= SLOTS / 2
    assert node.learned.plain_limit(servers[2]) == SLOTS
