"""Guards against a group that serves without proof of every member."""

import asyncio

import pytest

from pomelolug.engines import AssignOrder, EngineRefusedError, FencingKind
from pomelolug.groups import Group, GroupLimits, GroupPhase, GroupWatcher, Member
from pomelolug.testing import FakeEngineFleet, FakeWeightStore, LoopClock

pytestmark = pytest.mark.looptime

VMS = ("a", "b", "c")


class Bench:
    """A group of three ready members and its watcher."""

    def __init__(self, **options):
        clock = LoopClock()
        store = FakeWeightStore(clock=clock, rate_bytes_per_s=1e9, sizes={"m": 1})
        self.fleet = FakeEngineFleet(clock=clock, store=store)
        self.published = []
        self.violations = []
        for vm in VMS:
            self.fleet.add(vm, held=["m"], fencing=FencingKind.IGNORES)
        self.group = Group(
            id="g",
            pool="p",
            model="m",
            version="1",
            members=tuple(Member(vm=vm, incarnation=1) for vm in VMS),
            token=7,
            zone="z1",
            domain="d1",
        )
        self.watcher = GroupWatcher(
            engine=self.fleet,
            group=self.group,
            addresses={v.vm: v.address for v in self.fleet.vms.values()},
            clock=clock,
            publish=self.published.append,
            violated=self.violations.append,
            **options,
        )
        for vm in VMS:
            self.join(vm)

    def join(self, vm, *, token=7, group="g", version="1"):
        state = self.fleet.vms[vm]
        order = AssignOrder(
            group=group, token=token, rank=0, members=(), model="m", version=version
        )
        state.order = order

    @property
    def phase(self):
        return self.published[-1].phase


@pytest.mark.parametrize("vm", VMS)
@pytest.mark.parametrize(
    "change",
    [
        {"token": 6},
        {"token": 8},
        {"group": "other"},
        {"version": "2"},
    ],
    ids=str,
)
async def test_no_service_while_one_member_differs(vm, change):
    """Guards against a read-back that skips a member or a field."""
    bench = Bench()
    bench.join(vm, **change)
    await bench.watcher.verify_once()
    assert bench.phase == "forming"
    bench.join(vm)
    await bench.watcher.verify_once()
    assert bench.phase == "serving"
    bench.join(vm, **change)
    await bench.watcher.verify_once()
    assert bench.phase == "broken"


@pytest.mark.parametrize("vm", VMS)
@pytest.mark.parametrize("change", [{"incarnation": 2}, {"identity": "x"}], ids=str)
async def test_no_service_under_another_incarnation_or_identity(vm, change):
    """Guards against a restarted server that has joined under its old token."""
    bench = Bench()
    await bench.watcher.verify_once()
    for name, value in change.items():
        setattr(bench.fleet.vms[vm], name, value)
    await bench.watcher.verify_once()
    assert bench.phase == "broken"


@pytest.mark.parametrize("fault", ["kill", "pause", "restart"])
@pytest.mark.parametrize("vm", VMS)
async def test_lost_member_closes_the_group_within_three_seconds(vm, fault):
    bench = Bench()
    task = asyncio.create_task(bench.watcher.run())
    await asyncio.sleep(3.02)
    assert bench.phase == "serving"
    getattr(bench.fleet, fault)(vm)
    await asyncio.sleep(3)
    assert bench.phase == "broken"
    assert not bench.violations
    task.cancel()


async def test_one_lost_answer_does_not_close_the_group():
    bench = Bench()
    task = asyncio.create_task(bench.watcher.run())
    await asyncio.sleep(0.9)
    bench.fleet.pause("a")
    await asyncio.sleep(0.6)
    bench.fleet.resume("a")
    await asyncio.sleep(5)
    assert {status.phase for status in bench.published[1:]} == {"serving"}
    task.cancel()


async def test_refused_read_back_closes_at_once(monkeypatch):
    bench = Bench()
    await bench.watcher.verify_once()

    async def refuse(address, *, timeout):
        raise EngineRefusedError("busy")

    monkeypatch.setattr(bench.fleet, "fetch_status", refuse)
    await bench.watcher.verify_once()
    assert bench.phase == "broken"


async def test_age_counts_from_before_the_request_was_sent(monkeypatch):
    """Guards against an answer that was on its way longer than the lease."""
    bench = Bench()
    status = bench.fleet.fetch_status

    async def slow(address, *, timeout):
        answer = await status(address, timeout=timeout)
        await asyncio.sleep(2.5)
        return answer

    monkeypatch.setattr(bench.fleet, "fetch_status", slow)
    published = await bench.watcher.verify_once()
    assert published.phase == "serving"
    assert published.verified_age_s >= 2.5
    await asyncio.sleep(0.6)
    assert bench.watcher._status().phase == "broken"


async def test_wrong_choice_of_phase_is_caught_and_fails_closed(monkeypatch):
    bench = Bench()
    await bench.watcher.verify_once()
    bench.watcher.evidence["b"].status = None
    monkeypatch.setattr(bench.watcher, "_next_phase", lambda: GroupPhase.SERVING)
    assert bench.watcher._status().phase == "broken"
    assert bench.violations == ["serving_with_unverified_member"]


async def test_leaving_or_draining_group_gets_no_new_work():
    draining = []
    bench = Bench(draining=lambda: bool(draining), limits=GroupLimits())
    await bench.watcher.verify_once()
    draining.append(True)
    await bench.watcher.verify_once()
    assert bench.phase == "draining"
    draining.clear()
    bench.fleet.vms["c"].leaving = True
    await bench.watcher.verify_once()
    assert bench.phase == "draining"
