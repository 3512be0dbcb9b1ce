"""Orders need ownership and a valid lease; the load queue grants loads in order."""

import datetime
import math

import pytest

from pomelolug.groups import Group, GroupLimits, GroupsFold, Member
from pomelolug.groups._inventory import Inventory
from pomelolug.groups._loads import LoadQueue
from pomelolug.groups._orders import OrderSender
from pomelolug.groups.tests.test_ownership_fold import formation, record
from pomelolug.testing import FakeEngineFleet, FakeWeightStore, LoopClock

pytestmark = pytest.mark.looptime


class Harness:
    def __init__(self):
        self.clock = LoopClock()
        self.store = FakeWeightStore(
            clock=self.clock, rate_bytes_per_s=10.0, sizes={"m": 100}
        )
        self.fleet = FakeEngineFleet(clock=self.clock, store=self.store)
        self.fold = GroupsFold()
        self.last_full_read_s = -math.inf
        self.findings = []
        self.inventory = Inventory(
            engine=self.fleet,
            clock=self.clock,
            timeout=datetime.timedelta(seconds=1),
            on_finding=self.findings.append,
        )
        self.orders = OrderSender(
            fold=self.fold,
            engine=self.fleet,
            clock=self.clock,
            limits=GroupLimits(),
            last_full_read_s=lambda: self.last_full_read_s,
            on_finding=self.findings.append,
        )
        self.queue = LoadQueue(weights=self.store, clock=self.clock, slots=1)

    async def refresh(self):
        self.inventory.update(self.fleet.entries(), frozenset())
        await self.inventory.probe(self.fleet.vms)
        await self.queue.refresh()

    def grant_loads(self, groups, *, competing=()):
        return self.queue.grant_loads(
            groups,
            inventory=self.inventory,
            accelerators={g.id: 8 * len(g.members) for g in [*groups, *competing]},
            statuses={},
            competing=competing,
        )


def group(name, vms, *, token):
    return Group(
        id=name,
        pool="p",
        model="m",
        version="1",
        members=tuple(Member(vm=vm, incarnation=1) for vm in vms),
        token=token,
        zone="z1",
        domain="d1",
    )


async def test_order_needs_ownership_at_the_token_and_a_recent_log_read():
    """An order decided before a new record must not be sent after it."""
    harness = Harness()
    harness.fleet.add("a")
    await harness.refresh()
    harness.fold.apply(record(0, formation("g", ["a"], base=-1)))
    old = harness.fold.groups["g"]
    entries = harness.inventory.entries
    assert not await harness.orders.assign(old, "a", entries)
    assert harness.findings == ["order_without_lease"]
    harness.last_full_read_s = harness.clock.monotonic()
    assert await harness.orders.assign(old, "a", entries)
    harness.fold.apply(record(1, formation("g", ["a"], base=0, replaces=["g"])))
    assert not await harness.orders.assign(old, "a", entries)
    assert harness.findings[1:] == ["order_not_owner"]
    await harness.refresh()
    status = harness.inventory.status("a")
    assert not await harness.orders.release_unowned(status, entries)


async def test_fewest_bytes_per_accelerator_load_first_and_loaded_groups_at_once():
    harness = Harness()
    for name in ("a1", "a2", "b1", "b2", "c1", "c2"):
        harness.fleet.add(name, held_models=["m"] if name in ("b2", "c1", "c2") else [])
    await harness.refresh()
    groups = [
        group("a", ["a1", "a2"], token=1),
        group("b", ["b1", "b2"], token=2),
        group("c", ["c1", "c2"], token=3),
    ]
    assert harness.grant_loads(groups) == {"b", "c"}


async def test_competing_group_ahead_loses_its_slot_if_it_does_not_load():
    harness = Harness()
    for name in ("a1", "a2", "b1", "b2"):
        harness.fleet.add(name, held_models=["m"] if name == "a2" else [])
    await harness.refresh()
    competitor, own = (
        group("a", ["a1", "a2"], token=2),
        group("b", ["b1", "b2"], token=1),
    )
    assert not harness.grant_loads([own], competing=[competitor])
    await harness.clock.sleep(datetime.timedelta(seconds=3))
    assert harness.grant_loads([own], competing=[competitor]) == {"b"}


async def test_stalled_load_moves_to_the_end_of_the_queue():
    harness = Harness()
    for name in ("a", "b"):
        harness.fleet.add(name)
    await harness.refresh()
    groups = [group("a", ["a"], token=1), group("b", ["b"], token=2)]
    assert harness.grant_loads(groups) == {"a"}
    await harness.clock.sleep(datetime.timedelta(seconds=60))
    assert harness.grant_loads(groups) == {"b"}
