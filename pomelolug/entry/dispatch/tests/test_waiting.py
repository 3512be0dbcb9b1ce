"""Streams that wait for a slot at the dispatcher of a full zone."""

import dataclasses
import heapq
import itertools
import random
import time

import pytest

from pomelolug.entry.dispatch import GroupDispatcher, Holder, Question
from pomelolug.entry.dispatch.tests.dispatch_fixtures import (
    SLOTS,
    ManualClock,
    make_declaration,
    make_dispatcher,
    make_heads,
    make_question,
)
from pomelolug.entry.performance import DeclaredDelayEstimator

NODE = Holder("10.0.0.1:7340", 1)
GROUPS = 14
FIRST_EVENT_S = 0.17
"""Time to the first event at a group with a free slot."""
TARGET_S = 0.25


class SteadyDelay(DeclaredDelayEstimator):
    """Groups at which the first event takes `FIRST_EVENT_S` up to the last slot."""

    def first_event_s(
        self, head, engine, model, *, in_flight: int, prompt_tokens: int
    ) -> float:
        """Return a second more for each stream beyond the slots."""
        return FIRST_EVENT_S + max(in_flight + 1 - SLOTS, 0)


@dataclasses.dataclass
class Result:
    """Streams by what became of them, and those that waited, by their wait."""

    on_time: int = 0
    late: int = 0
    refused: int = 0
    waits_s: list[float] = dataclasses.field(default_factory=list)

    @property
    def on_time_share(self) -> float:
        """Share of all streams whose first event was on time."""
        return self.on_time / (self.on_time + self.late + self.refused)


class Load:
    """Streams of about a second that a dispatcher assigns, without a network."""

    def __init__(self, *, groups: int = GROUPS, seed: int = 0) -> None:
        self.clock = ManualClock()
        self._arrivals = random.Random(seed)
        self._durations = random.Random(seed)
        self.heads = make_heads(groups)
        self.dispatcher = GroupDispatcher(
            heads=lambda service, model: self.heads,
            estimator=SteadyDelay(),
            declaration=make_declaration,
            zone=self.heads[0].zone,
            clock=self.clock,
            rng=random.Random(seed),
        )
        self.result = Result()
        self.refused: list[int] = []
        self._serials = itertools.count()
        self._events: list[tuple[float, int, int]] = []
        self._durations_s: dict[int, float] = {}
        self._waiting: dict[int, float] = {}

    def run(self, *, rate_per_s: float, for_s: float, waits: bool, **fields) -> Result:
        """Send streams for some seconds; return what became of them."""
        self.result = Result()
        until_s = self.clock.time_s + for_s
        while True:
            arrival_s = self.clock.time_s + self._arrivals.expovariate(rate_per_s)
            if arrival_s >= until_s:
                return self.result
            while self._events and self._events[0][0] <= arrival_s:
                self._end(*heapq.heappop(self._events))
            self.clock.time_s = arrival_s
            self.ask(waits=waits, **fields)

    def ask(self, *, waits: bool, **fields) -> int:
        """Send one stream; it asks once without and once with a wait."""
        serial = next(self._serials)
        self._durations_s[serial] = 0.7 + 0.6 * self._durations.random()
        question = make_question(target_s=TARGET_S, **fields)
        decision = self.dispatcher.decide(NODE, serial, question)
        if decision.head is None and waits:
            question = dataclasses.replace(question, time_left_s=TARGET_S)
            decision = self.dispatcher.decide(NODE, serial, question)
        self._begin_granted()
        if decision.head is not None:
            self._begin(serial, 0.0)
        elif decision.wait_s > 0.0:
            self._waiting[serial] = self.clock.time_s
            event = (self.clock.time_s + decision.wait_s, 1, serial)
            heapq.heappush(self._events, event)
        else:
            self._refuse(serial)
        return serial

    def _begin(self, serial: int, waited_s: float) -> None:
        first_event_s = waited_s + FIRST_EVENT_S
        self.result.on_time += first_event_s <= TARGET_S
        self.result.late += first_event_s > TARGET_S
        ends_at_s = self.clock.time_s + self._durations_s[serial]
        heapq.heappush(self._events, (ends_at_s, 0, serial))

    def _begin_granted(self) -> None:
        for grant in self.dispatcher.take_grants():
            waited_s = self.clock.time_s - self._waiting.pop(grant.serial)
            self.result.waits_s.append(waited_s)
            self._begin(grant.serial, waited_s)

    def _refuse(self, serial: int) -> None:
        self.result.refused += 1
        self.refused.append(serial)

    def _end(self, at_s: float, is_expiry: int, serial: int) -> None:
        self.clock.time_s = at_s
        if not is_expiry:
            self.dispatcher.end(NODE, [serial])
            self._begin_granted()
        elif self.dispatcher.stop_waiting(NODE, serial):
            del self._waiting[serial]
            self._refuse(serial)


def fill(load: Load) -> None:
    """Fill the slots, and let so many get free that waiting streams have hope."""
    load.run(rate_per_s=3 * GROUPS * SLOTS, for_s=2.0, waits=False)


def compare(*, rate: float, groups: int = GROUPS) -> tuple[Result, Result]:
    """Return results without and with a wait; `rate` is a share of all slots."""
    results = []
    for waits in (False, True):
        load = Load(groups=GROUPS)
        load.run(rate_per_s=0.8 * GROUPS * SLOTS, for_s=3.0, waits=waits)
        del load.heads[groups:]
        rate_per_s = rate * GROUPS * SLOTS
        results.append(load.run(rate_per_s=rate_per_s, for_s=10.0, waits=waits))
    return results[0], results[1]


def test_slots_that_get_free_steadily_serve_streams_that_wait():
    # Guards against refusals at full groups although a slot gets free within
    # milliseconds.
    without, waiting = compare(rate=1.0)
    assert waiting.refused <= 0.75 * without.refused
    assert waiting.on_time_share >= without.on_time_share + 0.01
    assert waiting.late == 0


def test_burst_of_1_7_times_gets_all_slots_and_is_not_late():
    # Guards against a queue that makes the streams of a burst late, and against slots
    # that stay free in one.
    without, waiting = compare(rate=1.36)
    assert waiting.on_time_share >= without.on_time_share
    assert waiting.late == 0
    assert max(waiting.waits_s) <= TARGET_S - FIRST_EVENT_S


def test_loss_of_a_quarter_of_the_groups_makes_no_waiting_stream_late():
    # Guards against streams that wait for groups which are gone.
    without, waiting = compare(rate=0.8, groups=GROUPS * 3 // 4)
    assert waiting.on_time_share >= without.on_time_share
    assert waiting.late == 0


def test_streams_with_room_do_not_wait():
    # Guards against delays at a zone that has room.
    _, waiting = compare(rate=0.7)
    assert waiting.refused == 0
    assert waiting.waits_s == []


def test_stream_that_cannot_be_on_time_is_refused_at_once():
    # Guards against callers who wait for an answer that is late for certain.
    load = Load()
    fill(load)
    question = make_question(target_s=TARGET_S, time_left_s=FIRST_EVENT_S)
    decision = load.dispatcher.decide(NODE, 10_000, question)
    assert (decision.head, decision.wait_s, decision.has_groups) == (None, 0.0, True)


def test_streams_that_would_wait_too_long_are_refused_at_once():
    # Guards against a long queue whose last streams are refused after the wait.
    load = Load()
    fill(load)
    rate_per_s = GROUPS * SLOTS
    serials = [load.ask(waits=True) for _ in range(100)]
    waiting = load.dispatcher.waiting_count
    assert 0 < waiting <= 1.5 * rate_per_s * (TARGET_S - FIRST_EVENT_S)
    assert set(serials[waiting:]) <= set(load.refused)


def test_newer_stream_of_the_same_urgency_does_not_skip_one_that_waits():
    # Guards against a slot that whoever asks next takes, as a group opens.
    load = Load()
    fill(load)
    first = load.ask(waits=True)
    load.heads += make_heads(GROUPS + 1)[GROUPS:]
    for serial in range(10_000, 10_000 + SLOTS):
        question = make_question(target_s=TARGET_S)
        decision = load.dispatcher.decide(NODE, serial, question)
    assert [grant.serial for grant in load.dispatcher.take_grants()] == [first]
    assert decision.head is None


def test_freed_slot_goes_to_the_more_urgent_stream_and_then_by_arrival():
    # Guards against urgent streams behind others, and against unordered ones.
    load = Load()
    load.ask(waits=False, urgency=2)
    fill(load)
    asked = [load.ask(waits=True, urgency=urgency) for urgency in (2, 0, 0)]
    served = list(range(asked[0]))
    granted: list[int] = []
    while served and len(granted) < 2:
        load.dispatcher.end(NODE, [served.pop()])
        granted += [grant.serial for grant in load.dispatcher.take_grants()]
    assert granted == asked[1:]


def test_account_with_fewer_slots_gets_the_next_one():
    # Guards against a large account whose streams are ahead of those of all others.
    load = Load()
    for number in range(100):
        account = "large" if number % 5 < 3 else "small"
        load.run(
            rate_per_s=3 * GROUPS * SLOTS, for_s=0.02, waits=False, account=account
        )
    load.ask(waits=True, account="large")
    small = load.ask(waits=True, account="small")
    served = list(range(small - 1))
    granted: list[int] = []
    while served and not granted:
        load.dispatcher.end(NODE, [served.pop()])
        granted += [grant.serial for grant in load.dispatcher.take_grants()]
    assert granted == [small]


@pytest.mark.parametrize("urgencies", [(0, 2), (2, 0)])
def test_less_urgent_streams_that_wait_are_served_too(urgencies):
    # Guards against a kind that waits in vain while more urgent streams come.
    load = Load()
    served = {0: 0, 2: 0}
    for number in range(60):
        for urgency, share in zip(urgencies, (0.5, 0.5), strict=True):
            result = load.run(
                rate_per_s=3 * GROUPS * SLOTS * share,
                for_s=0.05,
                waits=True,
                urgency=urgency,
            )
            if number >= 20:
                served[urgency] += result.on_time
    assert served[2] >= 0.3 * served[0]


def test_withdrawn_stream_gets_no_slot():
    # Guards against slots for callers who have left.
    load = Load()
    fill(load)
    serial = load.ask(waits=True)
    load.dispatcher.end(NODE, [serial])
    assert load.dispatcher.waiting_count == 0
    load.dispatcher.end(NODE, range(serial))
    assert load.dispatcher.take_grants() == []


def test_repeated_question_waits_once():
    # Guards against a datagram that the network has duplicated.
    load = Load()
    fill(load)
    question = make_question(target_s=TARGET_S, time_left_s=TARGET_S)
    waits_s = [load.dispatcher.decide(NODE, 9_999, question).wait_s for _ in range(2)]
    assert waits_s[0] > 0.0
    assert waits_s[1] == pytest.approx(waits_s[0])
    assert load.dispatcher.waiting_count == 1


def test_stream_whose_time_is_over_gets_no_slot_after_a_pause():
    # Guards against a dispatcher that has paused and assigns groups to streams whose
    # nodes have given up.
    load = Load()
    fill(load)
    serial = load.ask(waits=True)
    load.clock.time_s += 1.0
    load.dispatcher.end(NODE, range(serial))
    assert load.dispatcher.take_grants() == []
    assert load.dispatcher.wait_counts.expired == 1


def test_dispatcher_that_has_just_started_lets_nobody_wait():
    # Guards against waits at a dispatcher that does not know how fast slots get free.
    dispatcher = make_dispatcher(make_heads(1))
    for serial in range(SLOTS + 1):
        question = make_question(target_s=0.0, time_left_s=1.0)
        decision = dispatcher.decide(NODE, serial, question)
    assert (decision.head, decision.wait_s) == (None, 0.0)


def test_question_costs_no_more_while_others_wait():
    # Guards against a dispatcher that becomes slow as its zone becomes full.
    load = Load()
    fill(load)
    question = make_question(target_s=TARGET_S)
    without_s = measure_question_s(load, question)
    for _ in range(3):
        load.ask(waits=True)
    assert load.dispatcher.waiting_count
    assert measure_question_s(load, question) <= 1.3 * without_s


def measure_question_s(load: Load, question: Question) -> float:
    """Return the least processor time of a question, in seconds."""
    best_s = float("inf")
    for _ in range(40):
        began_s = time.process_time()
        for _ in range(20):
            load.dispatcher.decide(NODE, 99_999, question)
        best_s = min(best_s, (time.process_time() - began_s) / 20)
    return best_s
