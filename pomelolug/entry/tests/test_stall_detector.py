"""Which streams are aborted when the events of a group pause."""

import asyncio

import pytest

from pomelolug.entry._watch import StallDetector
from pomelolug.ids import VmId
from pomelolug.testing import LoopClock

pytestmark = pytest.mark.looptime
HEAD = VmId("head")


class FakeAttempt:
    """Attempt that notes whether it was aborted."""

    def __init__(self) -> None:
        self.reason: str | None = None

    def abort(self, reason: str) -> None:
        self.reason = reason


class Watch:
    """A running detector, and the heads that it found stalled."""

    def __init__(self) -> None:
        self.stalled: list[VmId] = []
        self.detector = StallDetector(clock=LoopClock(), on_stall=self.stalled.append)
        self._task = asyncio.create_task(self.detector.run())

    async def stop(self) -> None:
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)


@pytest.mark.parametrize("interval_s", [0.1, 0.3, 0.45, 0.55])
async def test_slow_stream_without_a_stall_is_not_aborted(interval_s):
    # Guards against sound streams of a slow group that are cut, because a single pause
    # is somewhat longer than the one that shows a stall of a fast group.
    watch, attempt = Watch(), FakeAttempt()
    stream = watch.detector.add(HEAD, attempt, can_move=True)
    for _ in range(10):
        await asyncio.sleep(interval_s)
        watch.detector.on_event(HEAD, stream)
    for _ in range(10):
        await asyncio.sleep(2.0 * interval_s)
        watch.detector.on_event(HEAD, stream)
    assert attempt.reason is None
    assert watch.stalled == []
    await watch.stop()


@pytest.mark.parametrize("interval_s", [0.1, 0.5, 5.0])
async def test_stall_is_noticed_before_the_caller_leaves(interval_s):
    # Guards against a slow group whose loss is noticed too late to resume elsewhere.
    watch, attempt = Watch(), FakeAttempt()
    stream = watch.detector.add(HEAD, attempt, can_move=True)
    for _ in range(3):
        await asyncio.sleep(min(interval_s, 0.55))
        watch.detector.on_event(HEAD, stream)
    await asyncio.sleep(1.8)
    assert attempt.reason == "stalled"
    assert watch.stalled[0] == HEAD
    await watch.stop()


async def test_stream_that_cannot_move_is_left_to_its_group():
    # Guards against an answer that is given up although its group only paused.
    watch = Watch()
    movable, fixed = FakeAttempt(), FakeAttempt()
    streams = [
        watch.detector.add(HEAD, movable, can_move=True),
        watch.detector.add(HEAD, fixed, can_move=False),
    ]
    for stream in streams:
        watch.detector.on_event(HEAD, stream)
    await asyncio.sleep(0.8)
    assert movable.reason == "stalled"
    assert watch.stalled == [HEAD]
    watch.detector.remove(HEAD, streams[0])
    watch.detector.on_event(HEAD, streams[1])
    await asyncio.sleep(3.0)
    assert fixed.reason is None
    assert len(watch.stalled) <= 6
    await watch.stop()
