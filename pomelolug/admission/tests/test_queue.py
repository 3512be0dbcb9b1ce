"""Guards against leaked slots, inversion, starvation and late refusals."""

import asyncio
import datetime
import random

import pytest

from pomelolug.admission import AdmissionQueue, AdmissionRequest
from pomelolug.configuration import WorkClass
from pomelolug.errors import ErrorCode, Outcome, RequestError
from pomelolug.testing import LoopClock

pytestmark = pytest.mark.looptime


def work_class(name="chat", *, priority=1, ttft_s=10.0, queue_limit=100):
    return WorkClass(
        name=name,
        priority=priority,
        ttft_target=datetime.timedelta(seconds=ttft_s),
        gap_target=datetime.timedelta(seconds=0.05),
        deadline=datetime.timedelta(seconds=60),
        pool="p",
        queue_limit=queue_limit,
    )


class Pool:
    """Slots counted as the router does: only dispatched requests use one."""

    def __init__(self, slots):
        self.slots = slots
        self.queue = AdmissionQueue(
            clock=LoopClock(),
            free_slots=lambda pool: self.slots - self.in_flight,
            random_state=random.Random(1),
        )
        self.in_flight = 0
        self.order = []

    def request(self, name, kind=None, *, account="a", **options):
        return AdmissionRequest(
            request_id=name,
            work_class=kind or work_class(),
            account=account,
            **options,
        )

    async def run(self, name, kind=None, *, hold_s=1.0, **options):
        permit = await self.queue.admit(self.request(name, kind, **options))
        self.order.append(name)
        permit.dispatched()
        self.in_flight += 1
        assert self.in_flight <= self.slots
        await asyncio.sleep(hold_s)
        self.in_flight -= 1
        permit.release()
        return permit


async def start(*runs):
    tasks = []
    for run in runs:
        tasks.append(asyncio.create_task(run))
        await asyncio.sleep(0)
    return tasks


async def test_higher_class_goes_first_although_it_came_later():
    pool = Pool(1)
    low, high = work_class("low", priority=1), work_class("high", priority=9)
    await asyncio.gather(
        *await start(
            pool.run("first", low),
            pool.run("low", low),
            pool.run("high", high),
        )
    )
    assert pool.order == ["first", "high", "low"]


async def test_undispatched_permit_counts_against_the_slots():
    pool = Pool(1)
    await pool.queue.admit(pool.request("one"))
    second = asyncio.create_task(pool.queue.admit(pool.request("two")))
    await asyncio.sleep(1)
    assert not second.done()
    second.cancel()


async def test_cancelled_waiter_leaks_no_slot():
    pool = Pool(1)
    first = await pool.queue.admit(pool.request("first"))
    waiter = asyncio.create_task(pool.queue.admit(pool.request("second")))
    await asyncio.sleep(0)
    # The permit is granted, and the waiter is cancelled before it runs again.
    first.release()
    waiter.cancel()
    with pytest.raises(asyncio.CancelledError):
        await waiter
    assert pool.queue.held("p") == 0
    third = await pool.queue.admit(pool.request("third"))
    assert third.waited == datetime.timedelta(0)


async def test_hopeless_request_is_refused_without_waiting():
    pool = Pool(1)
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
