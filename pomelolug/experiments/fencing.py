"""Effect of the successor wait for each kind of fencing.

``python -m pomelolug.experiments.fencing`` runs a group of four VMs and a spare
VM on virtual time. A member dies and a new formation replaces the group. A
controller of the former group, whose lease is still valid when the formation is
accepted, sends a surviving member one more order after a random delay within the
bounds on lease, pause and order. For each kind of fencing and each wait, one line
has the number of trials in which this order took the member back after it had
joined its new group, and the median and maximum time from the death to the
repaired group.
"""

import asyncio
import dataclasses
import datetime
import logging
import random
import statistics

import fire
import looptime
import structlog

from pomelolug.configuration import Pool
from pomelolug.engines import AssignOrder, FencingKind
from pomelolug.errors import PomelolugError
from pomelolug.groups import Group, GroupLimits
from pomelolug.testing import GroupSimulation, LoopClock

__all__ = ["main"]

_TIMEOUT_S = 60.0
_POLL_INTERVAL_S = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True)
class _FixedWaitLimits(GroupLimits):
    wait: datetime.timedelta

    @property
    def successor_wait(self) -> datetime.timedelta:
        return self.wait


async def _send_late_order(
    world: GroupSimulation, group: Group, *, random_state: random.Random
) -> None:
    """Send a member an order of its former group after a delay within the bounds."""
    records_before = len(world.records)
    for _ in range(int(_TIMEOUT_S / _POLL_INTERVAL_S)):
        await asyncio.sleep(_POLL_INTERVAL_S)
        if len(world.records) > records_before:
            break
    limits = GroupLimits()
    delay_s = sum(
        random_state.uniform(0, bound.total_seconds())
        for bound in (limits.lease, limits.pause_bound, limits.order_bound)
    )
    await asyncio.sleep(delay_s)
    vm = world.fleet.vms[group.vms[1]]
    order = AssignOrder(
        group=f"{group.id}-former",
        token=group.token,
        rank=1,
        members=(vm.address,),
        model=group.model,
        version=group.version,
    )
    try:
        await world.fleet.assign(vm.address, order, timeout=limits.order_bound)
    except PomelolugError:
        pass


async def _run_trial(
    kind: FencingKind, wait_s: float, seed: int, *, late: bool
) -> tuple[bool, float]:
    """Return whether the member was taken back, and the seconds until the repair."""
    rng = random.Random(seed)
    wait = datetime.timedelta(seconds=wait_s)
    world = GroupSimulation(
        clock=LoopClock(),
        pools=[Pool(name="p", model="m", members=4)],
        rate_bytes_per_s=1.0,
        sizes={"m": 1},
        limits=_FixedWaitLimits(wait=wait),
    )
    for number in range(5):
        world.fleet.add(f"vm{number}", fencing=kind, held_models=["m"])
    node = world.add_node(f"node-{seed}")
    await world.start()
    await asyncio.sleep(15 + rng.random())
    (group,) = node.fold.groups.values()
    if late:
        task = asyncio.create_task(_send_late_order(world, group, random_state=rng))
    world.fleet.kill(group.vms[0])
    died_at_s = world.clock.monotonic()
    await asyncio.sleep(4)
    for _ in range(int(_TIMEOUT_S / _POLL_INTERVAL_S)):
        if world.serving():
            break
        await asyncio.sleep(_POLL_INTERVAL_S)
    repair_s = world.clock.monotonic() - died_at_s
    if late:
        await task
    await asyncio.sleep(1)
    await world.stop()
    return _was_taken_back(world, group), repair_s


def _was_taken_back(world: GroupSimulation, group: Group) -> bool:
    has_joined = False
    for entry in world.fleet.membership_changes:
        if entry.vm == group.vms[1]:
            if has_joined and entry.token == group.token:
                return True
            has_joined |= entry.token > group.token
    return False


def _run_on_virtual_time(
    kind: FencingKind, wait_s: float, seed: int, *, late: bool
) -> tuple[bool, float]:
    loop = looptime.new_event_loop(start=0)
    try:
        return loop.run_until_complete(_run_trial(kind, wait_s, seed, late=late))
    finally:
        loop.close()


def main(*, trials: int = 50, late: bool = True) -> None:
    """Run `trials` seeds for each kind of fencing and wait, and print the table.

    Without `late`, no order of the former group is sent.
    """
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    print("fencing | wait | taken back | time to repair, median / greatest")
    for kind in FencingKind:
        for wait_s in (0.0, 3.0, 6.0):
            results = [
                _run_on_virtual_time(kind, wait_s, seed, late=late)
                for seed in range(1, trials + 1)
            ]
            taken_back = sum(result[0] for result in results)
            times_s = [result[1] for result in results]
            print(
                f"{kind.value:9} | {wait_s:.0f} s | {taken_back} of {trials} | "
                f"{statistics.median(times_s):.1f} s / {max(times_s):.1f} s",
                flush=True,
            )


if __name__ == "__main__":
    fire.Fire(main)
