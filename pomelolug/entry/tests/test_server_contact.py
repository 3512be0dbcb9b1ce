"""When a node counts as cut off from the servers, and when it no longer does."""

import asyncio
import dataclasses
import datetime
import itertools
import random

import pytest
import structlog.testing

from pomelolug.deployment import BackendServer, ServerRegistry, ServerState
from pomelolug.entry.servers import ServerContact
from pomelolug.entry.tests.backend import make_backend_server
from pomelolug.ids import DomainId, Offset, ServiceName, VmId, ZoneId
from pomelolug.testing import LoopClock

pytestmark = pytest.mark.looptime

PROBE_S = 0.3
"""Time that a failed probe takes."""


def make_server(number: int, **changes) -> BackendServer:
    changes = {"vm": VmId(f"s{number}"), "domain": DomainId(f"d{number}")} | changes
    return dataclasses.replace(make_backend_server(), **changes)


class SuspendableClock(LoopClock):
    """Clock that jumps as it does when the process has been suspended."""

    def __init__(self) -> None:
        self.suspended_s = 0.0

    def monotonic(self) -> float:
        return super().monotonic() + self.suspended_s


class Links:
    """Links of a node to its servers, with the contact that watches them."""

    def __init__(self, *servers: BackendServer, probe_s: float = PROBE_S) -> None:
        self.clock = SuspendableClock()
        self.registry = ServerRegistry(clock=self.clock)
        self.registry.apply([(s.vm, Offset(n), s) for n, s in enumerate(servers)])
        self.reachable: set[str] = set()
        self.probe_s = probe_s
        self.rounds: list[float] = []
        self.probed: list[BackendServer] = []
        self.running = 0
        self.changes: list[tuple[float, bool]] = []
        self.doubts: list[tuple[float, bool]] = []
        self.has_peers = True
        self.paused: set[str] = set()
        self.contact = ServerContact(
            registry=self.registry,
            is_paused=lambda server: server.vm in self.paused,
            probe=self._probe,
            probe_timeout=datetime.timedelta(seconds=PROBE_S),
            has_peers=lambda: self.has_peers,
            on_change=lambda cut: self.changes.append((self.clock.monotonic(), cut)),
            on_doubt=lambda doubt: self.doubts.append((self.clock.monotonic(), doubt)),
            clock=self.clock,
            rng=random.Random(1),
        )
        self._task = asyncio.create_task(self.contact.run())

    async def __aenter__(self) -> "Links":
        return self

    async def __aexit__(self, *error) -> None:
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    def send(self, *vms: str) -> None:
        for vm in vms:
            self.contact.record_request(VmId(vm))

    async def cut(self) -> None:
        """Let the node be cut off."""
        self.report("s0", "s1")
        await asyncio.sleep(0.5)
        assert self.contact.is_cut_off

    def report(self, *vms: str) -> None:
        for vm in vms:
            self.contact.report_trouble(VmId(vm))

    async def _probe(self, server: BackendServer) -> bool:
        if not self.running:
            self.rounds.append(self.clock.monotonic())
        self.running += 1
        self.probed.append(server)
        assert self.running <= 4
        opens = server.vm in self.reachable
        await asyncio.sleep(0.01 if opens else self.probe_s)
        self.running -= 1
        return opens


def make_links(count: int = 6, **options) -> Links:
    return Links(*map(make_server, range(count)), **options)


async def test_trouble_at_two_servers_with_failed_probes_shows_lost_links():
    # Guards against a node that goes on sending to servers that it does not reach.
    with structlog.testing.capture_logs() as lines:
        async with make_links() as links:
            links.report("s0", "s1")
            await asyncio.sleep(0.4)
            assert links.contact.is_cut_off
            assert [cut for _, cut in links.changes] == [True]
            assert lines[-1]["event"] == "servers_out_of_reach"
            assert lines[-1]["probes"] == lines[-1]["failed"] == 4


async def test_servers_that_asked_for_a_pause_are_not_probed():
    # Guards against requests to servers that want none.
    async with make_links() as links:
        links.paused = {"s2", "s3", "s4"}
        links.report("s0", "s1")
        await asyncio.sleep(0.4)
        assert links.probed
        assert not {server.vm for server in links.probed} & links.paused


async def test_trouble_at_one_server_probes_nothing():
    # Guards against probes, and lost links, for the failure of a single server.
    async with make_links() as links:
        for _ in range(50):
            links.report("s0")
            await asyncio.sleep(0.1)
        assert not links.rounds
        assert not links.contact.is_cut_off


async def test_trouble_far_apart_is_not_taken_together():
    # Guards against probes for single servers that fail now and then.
    async with make_links() as links:
        links.report("s0")
        await asyncio.sleep(2.1)
        links.report("s1")
        await asyncio.sleep(1.0)
        assert not links.rounds


async def test_one_open_connection_shows_that_servers_fail_themselves():
    # Guards against a node that counts as cut off because several servers end at once.
    async with make_links() as links:
        links.reachable = {"s5"}
        links.report("s0", "s1", "s2")
        await asyncio.sleep(3.0)
        assert len(links.rounds) == 1
        assert links.changes == []


async def test_servers_without_trouble_are_probed_first():
    # Guards against lost links that are inferred from servers known to have failed.
    async with make_links(41) as links:
        links.reachable = {"s40"}
        links.report(*(f"s{number}" for number in range(40)))
        await asyncio.sleep(1.0)
        assert "s40" in {s.vm for s in links.probed}
        assert not links.contact.is_cut_off


@pytest.mark.parametrize(
    ("field", "kind"),
    [("domain", DomainId), ("zone", ZoneId), ("service", ServiceName)],
)
async def test_probes_are_spread(field, kind):
    # Guards against lost links that are inferred from the loss of one fabric domain,
    # zone or service, to which most servers belong.
    same = {"domain": DomainId("d"), "zone": ZoneId("z")}
    crowd = [make_server(number, **same) for number in range(40)]
    others = [make_server(100 + n, **same | {field: kind(f"x{n}")}) for n in range(3)]
    async with Links(*crowd, *others) as links:
        links.report("s0", "s1")
        await asyncio.sleep(0.2)
        assert len({getattr(s, field) for s in links.probed}) == 4


async def test_only_ready_servers_are_probed():
    # Guards against lost links that are inferred from servers that are about to end.
    draining = [make_server(n, state=ServerState.DRAINING) for n in range(3)]
    async with Links(*draining, make_server(9)) as links:
        links.reachable = {"s9"}
        links.report("s0", "s1")
        await asyncio.sleep(0.5)
        assert [s.vm for s in links.probed] == ["s9"]


async def test_nothing_is_decided_without_servers():
    # Guards against a node that counts as cut off because no server has started.
    async with Links() as links:
        for _ in range(20):
            links.report("s0", "s1")
            await asyncio.sleep(0.1)
        assert links.changes == []


async def test_return_needs_half_of_the_probes():
    # Guards against a node that takes requests again when a few links return, and
    # against one that stays cut off after its links have returned.
    with structlog.testing.capture_logs() as lines:
        async with make_links(4) as links:
            await links.cut()
            links.reachable = {"s0"}
            await asyncio.sleep(3.0)
            assert links.contact.is_cut_off
            links.reachable = {"s0", "s3"}
            await asyncio.sleep(0.9)
            assert not links.contact.is_cut_off
            assert [cut for _, cut in links.changes] == [True, False]
            assert lines[-1]["event"] == "servers_in_reach"
            assert lines[-1]["failed"] == 2
            rounds = len(links.rounds)
            await asyncio.sleep(3.0)
            assert len(links.rounds) == rounds


@pytest.mark.parametrize("reachable", [(), ("s0", "s1", "s2", "s3")])
async def test_probes_are_bounded(reachable):
    # Guards against a storm of connections while many servers fail.
    async with make_links(4) as links:
        links.reachable = set(reachable)
        for _ in range(500):
            links.report("s0", "s1", "s2", "s3")
            await asyncio.sleep(0.01)
        intervals = [b - a for a, b in itertools.pairwise(links.rounds)]
        assert len(intervals) >= 8
        assert min(intervals) >= (0.25 if reachable else 0.5) - 1e-6
        assert max(intervals) <= 0.65


async def test_trouble_from_before_a_pause_of_the_process_is_dropped():
    # Guards against a node that counts as cut off because it was suspended itself.
    async with make_links() as links:
        await asyncio.sleep(0.01)
        links.report("s0", "s1")
        links.clock.suspended_s = 0.5
        await asyncio.sleep(1.0)
        assert not links.rounds


async def test_probes_that_outlast_their_time_limit_prove_nothing():
    # Guards against a node that counts as cut off because it was suspended during the
    # probes, so that their time limits passed.
    async with make_links(probe_s=2.0) as links:
        links.report("s0", "s1")
        await asyncio.sleep(5.0)
        assert len(links.rounds) == 1
        assert links.changes == []


async def test_doubt_begins_some_seconds_before_the_links_are_found_lost():
    # Guards against evidence that is not taken back although the links explain it.
    async with make_links() as links:
        assert links.contact.doubtful_since_s == float("inf")
        await asyncio.sleep(10.0)
        await links.cut()
        found_s = links.changes[0][0]
        assert links.contact.doubtful_since_s == pytest.approx(found_s - 5.0)
        links.reachable = {f"s{number}" for number in range(6)}
        await asyncio.sleep(1.0)
        # Suspicions from the time without links are taken back at its end.
        assert not links.contact.is_cut_off
        assert links.contact.doubtful_since_s == pytest.approx(found_s - 5.0)


async def test_doubt_begins_after_the_last_open_connection():
    # Guards against evidence from sound links that is taken back.
    async with make_links() as links:
        await asyncio.sleep(10.0)
        links.reachable = {f"s{number}" for number in range(6)}
        links.report("s0", "s1")
        await asyncio.sleep(1.0)
        links.reachable = set()
        await links.cut()
        assert links.contact.doubtful_since_s == pytest.approx(10.04, abs=0.04)


async def test_contact_tells_whether_the_links_were_lost_since_a_time():
    # Guards against requests that count against servers because the links returned
    # before they ended, and against losses that never count any more.
    async with make_links() as links:
        assert not links.contact.was_cut_off_since(0.0)
        await links.cut()
        assert links.contact.was_cut_off_since(links.clock.monotonic())
        links.reachable = {f"s{number}" for number in range(6)}
        await asyncio.sleep(1.0)
        returned_s = links.changes[1][0]
        assert links.contact.was_cut_off_since(returned_s - 0.01)
        assert not links.contact.was_cut_off_since(returned_s + 0.01)


SILENT_PROBE_S = 0.59
"""Time of a probe of a server that is silent, below the time limit of a round."""


async def test_silence_of_all_servers_puts_the_links_in_doubt():
    # Guards against links that pass nothing and are noticed only when requests over
    # them have timed out.
    with structlog.testing.capture_logs() as lines:
        async with make_links(probe_s=SILENT_PROBE_S) as links:
            links.send("s0", "s1")
            await asyncio.sleep(0.8)
            assert links.contact.is_in_doubt
            assert not links.contact.is_cut_off
            assert links.contact.was_cut_off_since(links.clock.monotonic())
            await asyncio.sleep(0.2)
            assert links.contact.is_cut_off
            assert not links.contact.is_in_doubt
            events = [line["event"] for line in lines]
            assert events == ["servers_silent", "servers_out_of_reach"]


async def test_response_during_the_probes_ends_the_doubt():
    # Guards against a node that passes all requests on because its servers paused.
    async with make_links(probe_s=SILENT_PROBE_S) as links:
        links.send("s0", "s1")
        await asyncio.sleep(0.8)
        links.contact.record_response(VmId("s1"))
        assert [doubt for _, doubt in links.doubts] == [True, False]
        assert not links.contact.is_in_doubt


@pytest.mark.parametrize("heard", ["s0", "s5"])
async def test_servers_that_respond_to_others_are_not_probed(heard):
    # Guards against probes for requests that take long while servers respond.
    async with make_links() as links:
        for _ in range(50):
            links.send("s0", "s1", "s2")
            links.contact.record_response(VmId(heard))
            await asyncio.sleep(0.1)
        assert not links.rounds


async def test_probes_for_silence_are_rare_while_servers_respond_to_them():
    # Guards against many probes by a node whose few requests take long.
    async with make_links() as links:
        links.reachable = {f"s{number}" for number in range(6)}
        for _ in range(100):
            links.send("s0", "s1")
            await asyncio.sleep(0.1)
        assert 5 <= len(links.rounds) <= 10
        assert links.doubts == links.changes == []


async def test_silence_of_one_server_or_without_peers_causes_no_probe():
    # Guards against probes whose result changes nothing.
    async with make_links() as links:
        links.send("s0")
        await asyncio.sleep(1.0)
        links.has_peers = False
        links.send("s1", "s2")
        await asyncio.sleep(1.0)
        assert not links.rounds


@pytest.mark.parametrize(
    ("reachable", "longest_s", "is_in_doubt"),
    [({f"s{number}" for number in range(6)}, 0.1, False), (set(), 0.5, True)],
)
async def test_check_waits_for_a_response_or_doubt(reachable, longest_s, is_in_doubt):
    # Guards against a stream that loses its last run on a further silent link.
    async with make_links(probe_s=SILENT_PROBE_S) as links:
        links.reachable = reachable
        await asyncio.sleep(1.0)
        async with asyncio.timeout(longest_s):
            await links.contact.check()
        assert links.contact.is_in_doubt is is_in_doubt


async def test_check_of_links_in_use_returns_at_once():
    # Guards against moves of streams that wait for probes they do not need.
    async with make_links() as links:
        links.contact.record_response(VmId("s0"))
        await links.contact.check()
        links.has_peers = False
        await asyncio.sleep(1.0)
        await links.contact.check()
        assert not links.rounds


async def test_server_that_has_ended_is_not_waited_for():
    # Guards against probes for a request to an earlier start of a server.
    async with make_links() as links:
        links.send("s0")
        links.report("s0")
        links.contact.forget_server(VmId("s0"))
        links.send("s1")
        await asyncio.sleep(1.0)
        assert not links.rounds
