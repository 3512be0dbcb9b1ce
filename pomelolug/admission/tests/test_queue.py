"""Tests of slot accounting, priorities, fairness and timely refusals."""

import asyncio
import datetime
import random

import pytest

from pomelolug.admission import AdmissionQueue, AdmissionRequest
from pomelolug.configuration import WorkClass
from pomelolug.errors import ErrorCode, Outcome, RequestError
from pomelolug.testing import LoopClock

pytestmark = pytest.mark.looptime


def make_work_class(name="chat", *, priority=1, ttft_s=1000.0, queue_limit=100):
    return WorkClass(
        name=name,
        priority=priority,
        ttft_target=datetime.timedelta(seconds=ttft_s),
        gap_target=datetime.timedelta(seconds=0.05),
        deadline=datetime.timedelta(seconds=60),
        pool="p",
        queue_limit=queue_limit,
    )


class FakePool:
    """Pool whose slots are used by dispatched requests only, as in `RoutingView`."""

    def __init__(self, slots, *, has_spare_slots=False):
        self.slots = slots
        self.has_spare_slots = has_spare_slots
        self.queue = AdmissionQueue(
            clock=LoopClock(),
            free_slots=lambda pool: self.slots - self.in_flight,
            random_state=random.Random(1),
            has_spare_slots=lambda pool: self.has_spare_slots,
        )
        self.in_flight = 0
        self.order = []

    def request(self, name, work_class=None, *, account="a", **options):
        return AdmissionRequest(
            request_id=name,
            work_class=work_class or make_work_class(),
            account=account,
            **options,
        )

    async def run(self, name, work_class=None, *, hold_s=1.0, **options):
        permit = await self.queue.admit(self.request(name, work_class, **options))
        self.order.append(name)
        permit.mark_dispatched()
        self.in_flight += 1
        assert self.in_flight <= self.slots
        await asyncio.sleep(hold_s)
        self.in_flight -= 1
        permit.release()
        return permit


async def start_tasks(*runs):
    tasks = []
    for run in runs:
        tasks.append(asyncio.create_task(run))
        await asyncio.sleep(0)
    return tasks


async def test_class_of_higher_priority_is_served_first():
    pool = FakePool(1)
    low, high = make_work_class("low", priority=1), make_work_class("high", priority=9)
    await asyncio.gather(
        *await start_tasks(
            pool.run("first", low),
            pool.run("low", low),
            pool.run("high", high),
        )
    )
    assert pool.order == ["first", "high", "low"]


async def test_undispatched_permit_reduces_the_free_slots():
    pool = FakePool(1)
    await pool.queue.admit(pool.request("one"))
    second = asyncio.create_task(pool.queue.admit(pool.request("two")))
    await asyncio.sleep(1)
    assert not second.done()
    second.cancel()


async def test_cancelled_waiter_does_not_leak_a_slot():
    pool = FakePool(1)
    first = await pool.queue.admit(pool.request("first"))
    waiter = asyncio.create_task(pool.queue.admit(pool.request("second")))
    await asyncio.sleep(0)
    # The permit is granted, but the waiter is cancelled before it resumes.
    first.release()
    waiter.cancel()
    with pytest.raises(asyncio.CancelledError):
        await waiter
    assert pool.queue.held("p") == 0
    third = await pool.queue.admit(pool.request("third"))
    assert third.waited == datetime.timedelta(0)


async def test_request_with_unmeetable_deadline_is_refused_immediately():
    pool = FakePool(1)
    await pool.run("warm", hold_s=20.0)
    asyncio.create_task(pool.run("running", hold_s=20.0))
    await asyncio.sleep(0)
    before = asyncio.get_running_loop().time()
    with pytest.raises(RequestError) as caught:
        await pool.queue.admit(pool.request("late", deadline_s=30.0))
    assert asyncio.get_running_loop().time() == before
    assert caught.value.code is ErrorCode.DEADLINE_UNMEETABLE
    assert caught.value.status == 503
    assert caught.value.outcome is Outcome.NOT_RUN
    assert caught.value.retry_after >= datetime.timedelta(seconds=1)


async def test_accounts_share_by_weight_and_none_starves():
    pool = FakePool(1)
    runs = [pool.run(f"big{i}", account="big") for i in range(40)]
    runs += [pool.run(f"two{i}", account="two", weight=2.0) for i in range(8)]
    runs += [pool.run(f"one{i}", account="one") for i in range(4)]
    tasks = await start_tasks(pool.run("first", account="other"), *runs)
    await asyncio.sleep(14)
    # The four requests of `one` and the eight of `two`, which has twice the weight,
    # take about sixteen seconds of the slot although 40 requests arrived before them.
    done = [name[:3] for name in pool.order]
    assert done.count("two") >= 6
    assert done.count("one") >= 3
    for task in tasks:
        task.cancel()


async def test_unused_share_is_available_to_any_account():
    pool = FakePool(4)
    tasks = await start_tasks(*(pool.run(f"r{i}", account="only") for i in range(8)))
    await asyncio.sleep(1.5)
    assert pool.in_flight == 4
    await asyncio.gather(*tasks)
    assert len(pool.order) == 8


async def test_classes_of_equal_priority_do_not_starve_each_other():
    pool = FakePool(1)
    one, two = make_work_class("one"), make_work_class("two")
    tasks = await start_tasks(
        pool.run("first", one),
        pool.run("two0", two),
        *(pool.run(f"one{i}", one) for i in range(6)),
    )
    await asyncio.gather(*tasks)
    assert pool.order[1] == "two0"


async def test_account_cannot_fill_the_queue_of_its_class():
    pool = FakePool(1)
    work_class = make_work_class(queue_limit=4)
    await start_tasks(pool.run("first", work_class, account="big"))
    big = await start_tasks(
        *(pool.run(f"b{i}", work_class, account="big") for i in range(4))
    )
    with pytest.raises(RequestError) as caught:
        await pool.queue.admit(pool.request("b4", work_class, account="big"))
    assert caught.value.code is ErrorCode.QUEUE_FULL
    small = await start_tasks(pool.run("small", work_class, account="small"))
    with pytest.raises(RequestError) as caught:
        await big[-1]
    assert caught.value.code is ErrorCode.ACCOUNT_LIMIT
    assert caught.value.status == 429
    await asyncio.gather(*big[:-1], *small)
    assert pool.order.index("small") <= 2


async def test_account_over_its_limit_is_refused():
    pool = FakePool(10)
    for number in range(2):
        await pool.queue.admit(pool.request(str(number), max_in_flight=2))
    with pytest.raises(RequestError) as caught:
        await pool.queue.admit(pool.request("third", max_in_flight=2))
    assert caught.value.code is ErrorCode.ACCOUNT_LIMIT


async def test_waiter_is_refused_if_the_backend_servers_slow_down():
    pool = FakePool(1)
    work_class = make_work_class(ttft_s=8.0)
    await pool.run("warm", work_class, hold_s=1.0)
    await start_tasks(pool.run("stuck", work_class, hold_s=1000.0))
    began = asyncio.get_running_loop().time()
    with pytest.raises(RequestError) as caught:
        await pool.queue.admit(pool.request("late", work_class, deadline_s=30.0))
    waited = asyncio.get_running_loop().time() - began
    assert caught.value.code in (
        ErrorCode.DEADLINE_EXCEEDED,
        ErrorCode.DEADLINE_UNMEETABLE,
    )
    assert waited <= 8.0


async def test_slots_that_become_free_elsewhere_are_granted_on_notify():
    pool = FakePool(0)
    waiter = asyncio.create_task(pool.queue.admit(pool.request("one")))
    await asyncio.sleep(0)
    pool.slots = 1
    pool.queue.notify()
    permit = await waiter
    assert permit.waited == datetime.timedelta(0)


async def test_permit_is_released_only_once():
    pool = FakePool(1)
    permit = await pool.queue.admit(pool.request("one"))
    assert pool.queue.held("p") == 1
    permit.release()
    permit.release()
    await pool.queue.admit(pool.request("two"))
    assert pool.queue.held("p") == 1


async def test_account_far_over_its_share_leaves_slots_for_others():
    pool = FakePool(100)
    for number in range(4):
        await start_tasks(pool.run(f"other{number}", account=f"a{number}", hold_s=50.0))
    await start_tasks(
        *(pool.run(f"big{i}", account="big", hold_s=100.0) for i in range(200))
    )
    assert 80 <= pool.in_flight < 97
    for number in range(4):
        permit = await pool.queue.admit(
            pool.request(f"more{number}", account=f"a{number}")
        )
        assert permit.waited == datetime.timedelta(0)


async def test_sole_account_may_take_every_slot():
    pool = FakePool(100)
    await start_tasks(
        *(pool.run(f"r{i}", account="big", hold_s=50.0) for i in range(150))
    )
    assert pool.in_flight == 100


async def test_reserve_leaves_no_slot_idle_if_every_account_wants_more():
    pool = FakePool(100)
    runs = [
        pool.run(f"{account}.{i}", account=account, hold_s=50.0)
        for account in ("a", "b", "c", "d")
        for i in range(60)
    ]
    await start_tasks(*runs)
    assert pool.in_flight == 100


@pytest.mark.parametrize("spare", [False, True])
async def test_burst_is_not_refused_while_there_are_spare_slots(spare):
    # A gateway owns few slots of a large fleet, so its own release rate does not
    # include the slots that it may borrow with the next routing table.
    pool = FakePool(1, has_spare_slots=spare)
    work_class = make_work_class(ttft_s=1.0)
    await pool.run("first", work_class, hold_s=30.0)
    holding = asyncio.create_task(pool.run("second", work_class, hold_s=30.0))
    await asyncio.sleep(0.01)
    waiting = asyncio.create_task(pool.run("third", work_class))
    await asyncio.sleep(0.2)
    if spare:
        assert not waiting.done()
        pool.slots = 2
        pool.queue.notify()
        await waiting
    else:
        with pytest.raises(RequestError) as caught:
            await waiting
        assert caught.value.code is ErrorCode.DEADLINE_UNMEETABLE
    await holding


async def test_spare_slots_do_not_delay_a_refusal_beyond_the_target():
    pool = FakePool(1, has_spare_slots=True)
    work_class = make_work_class(ttft_s=1.0)
    holding = asyncio.create_task(pool.run("first", work_class, hold_s=30.0))
    await asyncio.sleep(0.01)
    before = asyncio.get_running_loop().time()
    with pytest.raises(RequestError):
        await pool.run("second", work_class)
    assert asyncio.get_running_loop().time() - before <= 1.0
    await holding
