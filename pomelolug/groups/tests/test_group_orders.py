"""Guards against orders without proof and against loads in a bad order."""

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


class Bench:
    def __init__(self):
        self.clock = LoopClock()
        self.store = FakeWeightStore(
            clock=self.clock, rate_bytes_per_s=10.0, sizes={"m": 100}
        )
        self.fleet = FakeEngineFleet(clock=self.clock, store=self.store)
        self.fold = GroupsFold()
        self.proof = -math.inf
        self.counts = []
        self.inventory = Inventory(
            engine=self.fleet,
            clock=self.clock,
            timeout=datetime.timedelta(seconds=1),
            counted=self.counts.append,
        )
        self.orders = OrderSender(
            fold=self.fold,
            engine=self.fleet,
            clock=self.clock,
            limits=GroupLimits(),
            log_proof=lambda: self.proof,
            counted=self.counts.append,
        )
        self.queue = LoadQueue(weights=self.store, clock=self.clock, slots=1)

    async def learn(self):
        self.inventory.update(self.fleet.entries(), frozenset())
        await self.inventory.read(self.fleet.vms)
        await self.queue.refresh()

    def granted(self, groups, *, rivals=()):
        return self.queue.granted(
            groups,
            inventory=self.inventory,
            accelerators={g.id: 8 * len(g.members) for g in [*groups, *rivals]},
            statuses={},
            rivals=rivals,
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


async def test_order_needs_ownership_at_the_token_and_a_fresh_log_read():
    """Guards against an order that is decided before a record and sent after."""
    bench = Bench()
    bench.fleet.add("a")
    await bench.learn()
    bench.fold.apply(record(0, formation("g", ["a"], base=-1)))
    old = bench.fold.groups["g"]
    entries = bench.inventory.entries
    assert not await bench.orders.assign(old, "a", entries)
    assert bench.counts == ["order_without_lease"]
    bench.proof = bench.clock.monotonic()
    assert await bench.orders.assign(old, "a", entries)
    bench.fold.apply(record(1, formation("g", ["a"], base=0, replaces=["g"])))
    assert not await bench.orders.assign(old, "a", entries)
    assert bench.counts[1:] == ["order_not_owner"]
    await bench.learn()
    stray = bench.inventory.status("a")
    assert not await bench.orders.release_free(stray, entries)


async def test_least_bytes_for_each_accelerator_load_first_and_held_ones_at_once():
    bench = Bench()
    for name in ("a1", "a2", "b1", "b2", "c1", "c2"):
        bench.fleet.add(name, held=["m"] if name in ("b2", "c1", "c2") else [])
    await bench.learn()
    groups = [
        group("a", ["a1", "a2"], token=1),
        group("b", ["b1", "b2"], token=2),
        group("c", ["c1", "c2"], token=3),
    ]
    assert bench.granted(groups) == {"b", "c"}


async def test_rival_ahead_has_its_turn_and_loses_it_when_it_does_not_load():
    bench = Bench()
    for name in ("a1", "a2", "b1", "b2"):
        bench.fleet.add(name, held=["m"] if name == "a2" else [])
    await bench.learn()
    rival, mine = group("a", ["a1", "a2"], token=2), group("b", ["b1", "b2"], token=1)
    assert not bench.granted([mine], rivals=[rival])
    await bench.clock.sleep(datetime.timedelta(seconds=3))
    assert bench.granted([mine], rivals=[rival]) == {"b"}


async def test_stalled_load_goes_behind_the_others():
    bench = Bench()
    for name in ("a", "b"):
        bench.fleet.add(name)
    await bench.learn()
    groups = [group("a", ["a"], token=1), group("b", ["b"], token=2)]
    assert bench.granted(groups) == {"a"}
    await bench.clock.sleep(datetime.timedelta(seconds=60))
    assert bench.granted(groups) == {"b"}
