"""Which streams are asked to move when the events of a group pause."""

import asyncio

import pytest

from pomelolug.entry.servers import StallDetector
from pomelolug.ids import VmId
from pomelolug.testing import LoopClock

pytestmark = pytest.mark.looptime
HEAD = VmId("head")


class Moves:
    """Counts how often a stream was asked to move."""

    def __init__(self) -> None:
        self.count = 0

    def __call__(self) -> None:
        self.count += 1


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
async def test_slow_stream_without_a_stall_does_not_move(interval_s):
    # Guards against sound streams of a slow group that move, because a single pause is
    # somewhat longer than the one that shows a stall of a fast group.
    watch, moves = Watch(), Moves()
    stream = watch.detector.add(HEAD, move=moves)
    for _ in range(10):
        await asyncio.sleep(interval_s)
        watch.detector.on_event(HEAD, stream)
    for _ in range(10):
        await asyncio.sleep(2.0 * interval_s)
        watch.detector.on_event(HEAD, stream)
    assert moves.count == 0
    assert watch.stalled == []
    await watch.stop()


@pytest.mark.parametrize("interval_s", [0.1, 0.5, 5.0])
async def test_stall_is_noticed_before_the_caller_leaves(interval_s):
    # Guards against a slow group whose loss is noticed too late to resume elsewhere.
    watch, moves = Watch(), Moves()
    stream = watch.detector.add(HEAD, move=moves)
    for _ in range(3):
        await asyncio.sleep(min(interval_s, 0.55))
        watch.detector.on_event(HEAD, stream)
    await asyncio.sleep(1.8)
    assert moves.count >= 1
    assert watch.stalled[0] == HEAD
    await watch.stop()


async def test_stream_that_cannot_move_is_left_to_its_group():
    # Guards against an answer that is given up although its group only paused.
    watch, moves = Watch(), Moves()
    streams = [
        watch.detector.add(HEAD, move=moves),
        watch.detector.add(HEAD, move=None),
    ]
    for stream in streams:
        watch.detector.on_event(HEAD, stream)
    await asyncio.sleep(0.8)
    assert moves.count == 1
    assert watch.stalled == [HEAD]
    watch.detector.remove(HEAD, streams[0])
    watch.detector.on_event(HEAD, streams[1])
    await asyncio.sleep(3.0)
    assert moves.count == 1
    assert len(watch.stalled) <= 6
    await watch.stop()
