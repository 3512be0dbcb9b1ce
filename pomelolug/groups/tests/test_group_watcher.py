"""A group must not serve unless every member is verified."""

import asyncio

import pytest

from pomelolug.engines import AssignOrder, EngineRefusedError, FencingKind
from pomelolug.groups import Group, GroupLimits, GroupPhase, GroupWatcher, Member
from pomelolug.testing import FakeEngineFleet, FakeWeightStore, LoopClock

pytestmark = pytest.mark.looptime

VMS = ("a", "b", "c")


class Harness:
    """A group of three ready members and its watcher."""

    def __init__(self, **options):
        clock = LoopClock()
        store = FakeWeightStore(clock=clock, rate_bytes_per_s=1e9, sizes={"m": 1})
        self.fleet = FakeEngineFleet(clock=clock, store=store)
        self.published = []
        self.violations = []
        for vm in VMS:
            self.fleet.add(vm, held_models=["m"], fencing=FencingKind.IGNORES)
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
            on_violation=self.violations.append,
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
async def test_group_does_not_serve_while_one_member_differs(vm, change):
    """Verification must compare every field of every member."""
    harness = Harness()
    harness.join(vm, **change)
    await harness.watcher.verify_once()
    assert harness.phase == "forming"
    harness.join(vm)
    await harness.watcher.verify_once()
    assert harness.phase == "serving"
    harness.join(vm, **change)
    await harness.watcher.verify_once()
    assert harness.phase == "broken"


@pytest.mark.parametrize("vm", VMS)
@pytest.mark.parametrize("change", [{"incarnation": 2}, {"identity": "x"}], ids=str)
async def test_group_does_not_serve_with_another_incarnation_or_identity(vm, change):
    """A restarted server that rejoins with its old token must not be accepted."""
    harness = Harness()
    await harness.watcher.verify_once()
    for name, value in change.items():
        setattr(harness.fleet.vms[vm], name, value)
    await harness.watcher.verify_once()
    assert harness.phase == "broken"


@pytest.mark.parametrize("fault", ["kill", "pause", "restart"])
@pytest.mark.parametrize("vm", VMS)
async def test_lost_member_closes_the_group_within_three_seconds(vm, fault):
    harness = Harness()
    task = asyncio.create_task(harness.watcher.run())
    await asyncio.sleep(3.02)
    assert harness.phase == "serving"
    getattr(harness.fleet, fault)(vm)
    await asyncio.sleep(3)
    assert harness.phase == "broken"
    assert not harness.violations
    task.cancel()


async def test_one_missed_probe_does_not_close_the_group():
    harness = Harness()
    task = asyncio.create_task(harness.watcher.run())
    await asyncio.sleep(0.9)
    harness.fleet.pause("a")
    await asyncio.sleep(0.6)
    harness.fleet.resume("a")
    await asyncio.sleep(5)
    assert {status.phase for status in harness.published[1:]} == {"serving"}
    task.cancel()


async def test_refused_probe_closes_the_group_at_once(monkeypatch):
    harness = Harness()
    await harness.watcher.verify_once()

    async def refuse(address, *, timeout):
        raise EngineRefusedError("busy")

    monkeypatch.setattr(harness.fleet, "fetch_status", refuse)
    await harness.watcher.verify_once()
    assert harness.phase == "broken"


async def test_verified_age_counts_from_the_time_of_the_request(monkeypatch):
    """A slow response must not extend the verification beyond the lease."""
    harness = Harness()
    fetch_status = harness.fleet.fetch_status

    async def slow(address, *, timeout):
        member_status = await fetch_status(address, timeout=timeout)
        await asyncio.sleep(2.5)
        return member_status

    monkeypatch.setattr(harness.fleet, "fetch_status", slow)
    published = await harness.watcher.verify_once()
    assert published.phase == "serving"
    assert published.verified_age_s >= 2.5
    await asyncio.sleep(0.6)
    assert harness.watcher._update_status().phase == "broken"


async def test_serving_with_an_unverified_member_is_reported_and_closes_the_group(
    monkeypatch,
):
    harness = Harness()
    await harness.watcher.verify_once()
    harness.watcher.observations["b"].status = None
    monkeypatch.setattr(harness.watcher, "_next_phase", lambda: GroupPhase.SERVING)
    assert harness.watcher._update_status().phase == "broken"
    assert harness.violations == ["serving_with_unverified_member"]


async def test_draining_group_or_group_with_leaving_vm_is_published_as_draining():
    draining = []
    harness = Harness(is_draining=lambda: bool(draining), limits=GroupLimits())
    await harness.watcher.verify_once()
    draining.append(True)
    await harness.watcher.verify_once()
    assert harness.phase == "draining"
    draining.clear()
    harness.fleet.vms["c"].leaving = True
    await harness.watcher.verify_once()
    assert harness.phase == "draining"
