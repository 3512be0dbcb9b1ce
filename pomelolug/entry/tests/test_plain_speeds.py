"""Choice among plain servers of different speed, on a clock without a network."""

import dataclasses
import heapq
import itertools
import random
from collections import Counter
from types import SimpleNamespace

import pytest

from pomelolug.entry.dispatch.tests.dispatch_fixtures import ManualClock, make_heads
from pomelolug.entry.performance import LearnedDelayEstimator
from pomelolug.entry.requests import PlainServerChooser
from pomelolug.entry.servers import ServerOptions
from pomelolug.ids import ZoneId

SLOTS = 6
WORK_S = 0.015
SLOWDOWN = 4.0


class PlainSimulation:
    """One node that sends requests to a server in each of three zones.

    Servers run as many requests at once as they have slots; others wait there.
    """

    def __init__(self, *, is_applied: bool, seed: int) -> None:
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.servers = [
            dataclasses.replace(
                make_heads(1, zone=zone)[0], slots=SLOTS, membership=None, model=None
            )
            for zone in "abc"
        ]
        self.in_flight: Counter[str] = Counter()
        self.served: Counter[str] = Counter()
        self.times_s: list[float] = []
        self.learned = LearnedDelayEstimator(
            zone=ZoneId("a"), clock=self.clock, is_applied=lambda: is_applied
        )
        tracker = SimpleNamespace(
            in_flight=lambda vm: self.in_flight[vm],
            failure_score=lambda vm: 0.0,
        )
        self.chooser = PlainServerChooser(
            server_tracker=tracker,
            notices=SimpleNamespace(is_cold=lambda server: False),
            delay_estimator=self.learned,
            zone=ZoneId("a"),
            rng=self.rng,
        )

    def run(self, seconds: float, *, rate_per_s: float, slow_vm: str) -> None:
        """Serve requests that arrive at random for a time."""
        number = itertools.count()
        ends: list[tuple[float, int, str, float, object]] = []
        began_s = self.clock.time_s
        arrival_s = began_s
        while arrival_s < began_s + seconds:
            arrival_s += self.rng.expovariate(rate_per_s)
            while ends and ends[0][0] <= arrival_s:
                self._end(*heapq.heappop(ends))
            self.clock.time_s = arrival_s
            options = ServerOptions(self.servers, None)
            server = self.chooser.select(options, set())
            waiting = max(self.in_flight[server.vm] + 1 - SLOTS, 0)
            work_s = WORK_S * (SLOWDOWN if server.vm == slow_vm else 1.0)
            work_s *= self.rng.uniform(0.7, 1.3) * (1.0 + waiting / SLOTS)
            answer = self.learned.begin_answer(
                server, "r", in_flight=self.in_flight[server.vm]
            )
            self.in_flight[server.vm] += 1
            heapq.heappush(
                ends, (arrival_s + work_s, next(number), server.vm, work_s, answer)
            )
        while ends:
            self._end(*heapq.heappop(ends))

    def _end(self, at_s: float, number: int, vm: str, work_s: float, answer) -> None:
        self.clock.time_s = at_s
        self.in_flight[vm] -= 1
        self.served[vm] += 1
        self.times_s.append(work_s)
        answer.end(is_sound=True)


@pytest.mark.parametrize("slow_vm", ["a0", "b0"])
@pytest.mark.parametrize("rate_per_s", [10.0, 60.0, 300.0])
def test_slow_plain_server_gets_less_work(rate_per_s, slow_vm):
    # Guards against a slow server, of the own zone or of another one, that gets as
    # many requests as before while the others have free slots.
    mean_s, shares = {}, {}
    for is_applied in (False, True):
        simulation = PlainSimulation(is_applied=is_applied, seed=1)
        simulation.run(10.0, rate_per_s=rate_per_s, slow_vm=slow_vm)
        mean_s[is_applied] = sum(simulation.times_s) / len(simulation.times_s)
        shares[is_applied] = simulation.served[slow_vm] / simulation.served.total()
    assert shares[True] <= 0.5 * shares[False] or shares[True] <= 0.05
    assert mean_s[True] <= mean_s[False]


def test_plain_server_that_is_fast_again_gets_its_share_back():
    # Guards against a server that is avoided for good.
    simulation = PlainSimulation(is_applied=True, seed=1)
    simulation.run(10.0, rate_per_s=200.0, slow_vm="a0")
    simulation.served.clear()
    simulation.run(10.0, rate_per_s=200.0, slow_vm="")
    simulation.served.clear()
    simulation.run(5.0, rate_per_s=200.0, slow_vm="")
    assert simulation.served["a0"] >= simulation.served.total() / 3
