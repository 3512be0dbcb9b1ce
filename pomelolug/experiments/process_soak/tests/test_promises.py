"""Guards against a checker that misses violations or reports allowed behaviour."""

import dataclasses
import datetime

import pytest

from pomelolug.experiments.process_soak._calls import (
    CallKind,
    CallOutcome,
    SentCall,
    ServerRun,
    TurnedAwayRequest,
)
from pomelolug.experiments.process_soak._disturbances import FaultWindows
from pomelolug.experiments.process_soak._promises import GuaranteeChecker
from pomelolug.testing import CallerResponse

TIMEOUTS = dict.fromkeys(CallKind, datetime.timedelta(seconds=1.5))
START = 100.0


def make_call(kind: CallKind = CallKind.ONCE, **changes) -> SentCall:
    call = SentCall(
        request_id="r1",
        kind=kind,
        path="/p/1",
        body_digest="d",
        account="a",
        key="k",
        entry="entry-0",
        sent_at_s=START,
        event_count=2 if kind is CallKind.STREAM else 0,
        ended_at_s=START + 0.1,
        outcome=CallOutcome.ANSWERED,
        answer=CallerResponse(
            status=200,
            request_id="r1",
            has_seal=True,
            body=b"answer to /p/1",
            is_complete=True,
        ),
    )
    if kind is CallKind.STREAM:
        call.answer.body = stream(1, 2)
    return dataclasses.replace(call, **changes)


def stream(*numbers: int) -> bytes:
    return b"".join(b"id: %d\ndata: token %d\n\n" % (n, n) for n in numbers)


def with_answer(kind: CallKind = CallKind.ONCE, **changes) -> SentCall:
    call = make_call(kind)
    call.answer = dataclasses.replace(call.answer, **changes)
    return call


def find_limit_violations(
    *entries: str, interval_s: float = 0.25, **fault: str
) -> list[str]:
    """Return the violations of a limit of 1/s, with 32 runs through each of `entries`.

    The entry VM `target` of a fault is disturbed all the while.
    """
    fault_windows = FaultWindows()
    if fault:
        window = fault_windows.open(fault["target"], start_s=START, is_planned=False)
        window.end_s = START + 8.0
    guarantees = GuaranteeChecker(fault_windows)
    period = guarantees.record_limit("vm-1", 1.0, start_s=START)
    period.end_s = START + 8.0
    for entry in entries:
        for number in range(32):
            name = f"{entry}-{number}"
            at_s = START + number * interval_s
            call = make_call(
                request_id=name, entry=entry, sent_at_s=at_s, ended_at_s=at_s + 0.1
            )
            call.answer = dataclasses.replace(call.answer, request_id=name)
            guarantees.record_call(call)
            guarantees.record_run(make_run(request_id=name, started_at_s=at_s + 0.01))
    return guarantees.check(timeouts=TIMEOUTS)


def find_cold_violations(*entries: str, interval_s: float, **fault: str) -> list[str]:
    """Return the violations of a cold server that accepts 5 requests in a second."""
    fault_windows = FaultWindows()
    if fault:
        window = fault_windows.open(fault["target"], start_s=START, is_planned=False)
        window.end_s = START + 8.0
    guarantees = GuaranteeChecker(fault_windows)
    guarantees.record_coldness("vm-1", 5.0, start_s=START, length_s=4.0)
    for entry in entries:
        for number in range(round(8.0 / interval_s)):
            name = f"{entry}-{number}"
            at_s = START + number * interval_s
            call = make_call(
                request_id=name, entry=entry, sent_at_s=at_s, ended_at_s=at_s + 0.1
            )
            call.answer = dataclasses.replace(call.answer, request_id=name)
            guarantees.record_call(call)
            guarantees.record_run(make_run(request_id=name, started_at_s=at_s + 0.01))
    return guarantees.check(timeouts=TIMEOUTS)


def test_requests_beyond_what_a_cold_server_accepts_are_reported():
    # Guards against a soak that misses entry VMs that exceed the bound together.
    assert find_cold_violations("entry-0", "entry-1", interval_s=0.25) == [
        "vm-1 was cold, accepts 5 requests in 1 s and got 8"
    ]
    assert not find_cold_violations("entry-0", interval_s=0.25)
    assert not find_cold_violations(
        "entry-0", "entry-1", interval_s=0.25, target="entry-1"
    )


def test_requests_beyond_the_limit_of_a_server_are_reported():
    assert find_limit_violations("entry-0") == [
        "vm-1 limits requests to 1.0/s and got 16 in 4 s"
    ]
    # Entry VMs that each keep to the limit exceed it together.
    assert not find_limit_violations("entry-0", interval_s=1.0)
    assert find_limit_violations("entry-0", "entry-1", "entry-2", interval_s=1.0) == [
        "vm-1 limits requests to 1.0/s and got 12 in 4 s"
    ]


def test_entry_vms_that_are_disturbed_do_not_count_towards_a_limit():
    assert find_limit_violations("entry-0", target="entry-1")
    assert not find_limit_violations("entry-0", target="entry-0")


def find_evacuation_violations(
    *, sent_after_s: float, zone: str = "z1", ended_after_s: float = 60.0, **fault: str
) -> list[str]:
    """Return the violations of a call to a server of an evacuated zone."""
    fault_windows = FaultWindows()
    if fault:
        window = fault_windows.open(fault["target"], start_s=START, is_planned=False)
        window.end_s = START + 8.0
    guarantees = GuaranteeChecker(fault_windows)
    guarantees.evacuations.record_server("vm-1", zone)
    guarantees.evacuations.record_evacuation("z1", START)
    guarantees.evacuations.record_end("z1", START + ended_after_s)
    at_s = START + sent_after_s
    guarantees.record_call(make_call(sent_at_s=at_s, ended_at_s=at_s + 0.1))
    guarantees.record_run(make_run(started_at_s=at_s + 0.01))
    return guarantees.check(timeouts=TIMEOUTS)


def test_requests_to_an_evacuated_zone_are_reported():
    assert find_evacuation_violations(sent_after_s=3.5) == [
        "r1 ran at vm-1 in z1 3.5 s after its evacuation"
    ]
    assert not find_evacuation_violations(sent_after_s=2.5)
    assert not find_evacuation_violations(sent_after_s=3.5, zone="z2")
    assert not find_evacuation_violations(sent_after_s=3.5, ended_after_s=3.0)
    assert find_evacuation_violations(sent_after_s=3.5, target="entry-1")
    assert not find_evacuation_violations(sent_after_s=3.5, target="entry-0")


@pytest.mark.parametrize("zone", ["z1", "z2"])
def test_zone_that_is_not_used_again_is_reported(zone):
    guarantees = GuaranteeChecker(FaultWindows())
    guarantees.evacuations.record_server("vm-1", zone)
    guarantees.evacuations.record_evacuation("z1", START - 10.0)
    guarantees.evacuations.record_end("z1", START - 5.0)
    for number in range(60):
        name = f"r{number}"
        call = make_call(request_id=name)
        call.answer = dataclasses.replace(call.answer, request_id=name)
        guarantees.record_call(call)
        guarantees.record_run(make_run(request_id=name))
    expected = [] if zone == "z1" else ["z1 was not used again after its evacuation"]
    assert guarantees.check(timeouts=TIMEOUTS) == expected


def make_run(**changes) -> ServerRun:
    run = ServerRun(
        request_id="r1",
        vm="vm-1",
        account="a",
        key="",
        path="/p/1",
        body_digest="d",
        started_at_s=START + 0.01,
    )
    return dataclasses.replace(run, **changes)


def find_violations(call: SentCall | None, *runs: ServerRun, **options) -> list[str]:
    fault_windows = FaultWindows()
    if options:
        window = fault_windows.open(
            options["target"],
            start_s=options["start_s"],
            is_planned=options.get("is_planned", False),
        )
        window.end_s = options["start_s"] + 1.0
    guarantees = GuaranteeChecker(fault_windows)
    if call is not None:
        guarantees.record_call(call)
    for run in runs:
        guarantees.record_run(run)
    return guarantees.check(timeouts=TIMEOUTS)


@pytest.mark.parametrize("kind", CallKind)
def test_correct_call_violates_no_guarantee(kind):
    # Guards against a checker that reports allowed behaviour.
    assert find_violations(make_call(kind), make_run()) == []


def test_idempotent_call_may_run_twice():
    assert (
        find_violations(make_call(CallKind.SAFE), make_run(), make_run(vm="vm-2")) == []
    )


@pytest.mark.parametrize(
    ("call", "runs", "expected_text"),
    [
        (make_call(), [make_run(), make_run(vm="vm-2")], "may run once"),
        (with_answer(status=503, has_seal=False), [make_run()], "503 and ran"),
        (
            with_answer(status=401, has_seal=False),
            [],
            "valid key was answered 401",
        ),
        (with_answer(request_id="r2"), [make_run()], "the answer of r2"),
        (with_answer(has_seal=False), [make_run()], "without a seal"),
        (with_answer(body=b"answer to /p/2"), [make_run()], "another body"),
        (
            with_answer(CallKind.STREAM, body=stream(1, 3)),
            [make_run()],
            "events [1, 3]",
        ),
        (
            with_answer(CallKind.STREAM, body=stream(1, 1, 2)),
            [make_run()],
            "events [1, 1, 2]",
        ),
        (
            with_answer(CallKind.STREAM, body=stream(1)),
            [make_run()],
            "complete after 1",
        ),
        (
            with_answer(CallKind.STREAM, body=stream(1, 2) + b"id: 3"),
            [make_run()],
            "ended as complete",
        ),
        (make_call(ended_at_s=START + 2.1), [make_run()], "was held for 2.10 s"),
        (make_call(), [make_run(request_id="r9")], "no caller sent"),
        (make_call(), [make_run(key="Bearer k")], "got the key"),
        (make_call(), [make_run(account="b")], "ran for 'b'"),
        (make_call(), [make_run(path="/p/2")], "another path or body"),
        (make_call(), [make_run(body_digest="e")], "another path or body"),
        (
            make_call(
                outcome=CallOutcome.LEFT,
                ended_at_s=START + 0.1,
                answer=CallerResponse(),
            ),
            [make_run(started_at_s=START + 0.7)],
            "after its caller had left",
        ),
        (
            make_call(outcome=CallOutcome.BROKEN, answer=CallerResponse()),
            [make_run()],
            "got no whole answer",
        ),
    ],
)
def test_violated_guarantee_is_reported(call, runs, expected_text):
    # Guards against a soak that passes regardless of what the entry process does.
    assert [line for line in find_violations(call, *runs) if expected_text in line]


def test_revoked_key_is_no_longer_accepted():
    guarantees = GuaranteeChecker(FaultWindows())
    guarantees.record_call(make_call())
    guarantees.record_run(make_run())
    guarantees.record_revocation("k", START - 5.5)
    assert "its key went" in guarantees.check(timeouts=TIMEOUTS)[0]


@pytest.mark.parametrize("returns_s", [None, 0.5])
def test_server_that_leaves_gets_no_new_call(returns_s):
    # Guards against a checker that forgets a departure when the server returns.
    guarantees = GuaranteeChecker(FaultWindows())
    guarantees.record_call(make_call())
    guarantees.record_run(make_run())
    guarantees.record_departure("vm-1", START - 2.5)
    if returns_s is not None:
        guarantees.record_return("vm-1", START + returns_s)
    assert guarantees.check(timeouts=TIMEOUTS) == ["r1 ran at vm-1, which leaves"]


def test_server_that_has_returned_gets_calls():
    guarantees = GuaranteeChecker(FaultWindows())
    guarantees.record_call(make_call())
    guarantees.record_run(make_run())
    guarantees.record_departure("vm-1", START - 2.5)
    guarantees.record_return("vm-1", START - 0.5)
    assert guarantees.check(timeouts=TIMEOUTS) == []


def test_fault_window_suspends_time_bounds_of_entry_vm():
    late = make_call(ended_at_s=START + 2.1)
    assert (
        find_violations(late, make_run(), target="entry-0", start_s=START - 3.0) == []
    )
    # A window of another VM, or one that ended over four seconds ago, has no effect.
    assert find_violations(late, make_run(), target="entry-1", start_s=START - 3.0)
    assert find_violations(late, make_run(), target="entry-0", start_s=START - 6.0)


def test_planned_stop_does_not_permit_a_lost_answer():
    broken = make_call(outcome=CallOutcome.BROKEN, answer=CallerResponse())
    assert find_violations(
        broken, make_run(), target="entry-0", start_s=START, is_planned=True
    )
    assert find_violations(broken, make_run(), target="entry-1", start_s=START) == []


def crash(
    guarantees: GuaranteeChecker,
    *times_s: float,
    entry: str = "entry-0",
    path: str = "/safe/crash/0",
) -> None:
    for number, at_s in enumerate(times_s):
        request_id = f"{entry}-{at_s}"
        call = make_call(
            CallKind.SAFE,
            request_id=request_id,
            path=path.format(number),
            entry=entry,
            sent_at_s=START + at_s,
            ended_at_s=START + at_s + 0.1,
            answer=CallerResponse(status=502, is_complete=True),
        )
        guarantees.record_call(call)
        guarantees.record_run(
            make_run(
                request_id=request_id,
                path=call.path,
                vm=f"vm-{number}",
                started_at_s=START + at_s,
            )
        )


def test_request_that_goes_on_crashing_servers_is_reported():
    # Guards against a soak that accepts a request which crashes any number of servers.
    allowed, broken = (GuaranteeChecker(FaultWindows()) for _ in range(2))
    crash(allowed, 0.0, 1.0, 2.0, 4.9, 5.1, 7.0, 8.0)
    assert allowed.check(timeouts=TIMEOUTS) == []
    crash(broken, 0.0, 1.0, 2.0, 5.1, 6.0, 7.0, 8.0)
    (violation,) = broken.check(timeouts=TIMEOUTS)
    assert "ran 4 times after loss 3 was known" in violation


def test_part_of_prompts_that_goes_on_crashing_servers_is_reported():
    # Guards against a soak that accepts calls, no two alike, that crash servers.
    allowed, broken = (GuaranteeChecker(FaultWindows()) for _ in range(2))
    path = "/stream/tainted/{}/1"
    crash(allowed, 0.0, 1.0, 2.0, 3.0, 4.0, 6.9, 7.1, 8.0, 9.0, path=path)
    assert allowed.check(timeouts=TIMEOUTS) == []
    crash(broken, 0.0, 1.0, 2.0, 3.0, 4.0, 7.1, 8.0, 9.0, 9.5, path=path)
    (violation,) = broken.check(timeouts=TIMEOUTS)
    assert "a part of prompts" in violation and "ran 4 times" in violation


def test_crashes_through_a_disturbed_entry_vm_are_allowed():
    # Guards against a checker that expects knowledge of a node that was cut off.
    fault_windows = FaultWindows()
    window = fault_windows.open("entry-0", start_s=START, is_planned=False)
    window.end_s = START + 6.0
    guarantees = GuaranteeChecker(fault_windows)
    crash(guarantees, 0.0, 1.0, 2.0, 6.0, 7.0, 8.0, 9.0)
    assert guarantees.check(timeouts=TIMEOUTS) == []


def test_pause_of_the_soak_suspends_time_bounds_only_while_it_lasts():
    # Guards against delays of the soak's own callers and proxies that are blamed on an
    # entry VM, and against a pause that excuses more than its own time.
    late = make_call(ended_at_s=START + 2.1)
    assert find_violations(late, make_run(), target="soak", start_s=START + 0.5) == []
    assert find_violations(late, make_run(), target="soak", start_s=START - 1.5)


def test_pause_of_the_soak_excuses_no_crashes():
    fault_windows = FaultWindows()
    fault_windows.open("soak", start_s=START, is_planned=False)
    guarantees = GuaranteeChecker(fault_windows)
    crash(guarantees, 0.0, 1.0, 2.0, 5.1, 6.0, 7.0, 8.0)
    assert "ran 4 times" in guarantees.check(timeouts=TIMEOUTS)[0]


def find_statement_violations(
    *,
    entry: str = "entry-0",
    life: int = 0,
    is_leaving: bool,
    left_after_s: float | None = None,
    turned_away: int = 1,
    **fault,
) -> list[str]:
    """Return the violations of calls every 0.2 s after `vm-1` has stated something.

    The first one, through `entry-0`, gets the statement: that the server leaves or a
    pause of 4 s, with which it turns away the first `turned_away` calls. The first
    caller leaves after `left_after_s`. The others go through `entry` and reach the
    server in its `life`.
    """
    windows = FaultWindows()
    if fault:
        window = windows.open(
            fault.get("target", "entry-0"),
            start_s=START + 1.0,
            is_planned=False,
            is_of_store=fault.get("is_of_store", False),
        )
        window.end_s = START + 1.5
    guarantees = GuaranteeChecker(windows)
    for number in range(20):
        sent_at_s = START + 0.2 * number
        call = make_call(
            CallKind.SAFE,
            request_id=f"r{number}",
            path=f"/p/{number}",
            sent_at_s=sent_at_s,
            ended_at_s=sent_at_s + 0.05,
            entry=entry if number else "entry-0",
            answer=CallerResponse(
                status=200,
                request_id=f"r{number}",
                has_seal=True,
                body=b"answer to /p/%d" % number,
                is_complete=True,
            ),
        )
        if left_after_s is not None and not number:
            call.outcome = CallOutcome.LEFT
            call.ended_at_s = sent_at_s + left_after_s
            call.answer = CallerResponse()
        guarantees.record_call(call)
        if not is_leaving and number < turned_away:
            guarantees.record_turned_away(
                TurnedAwayRequest(
                    request_id=call.request_id,
                    vm="vm-1",
                    life=0,
                    pause_s=4.0,
                    at_s=sent_at_s,
                )
            )
            continue
        guarantees.record_run(
            ServerRun(
                request_id=f"r{number}",
                vm="vm-1",
                account="a",
                key="",
                path=f"/p/{number}",
                body_digest="d",
                started_at_s=sent_at_s,
                life=life if number else 0,
                is_server_leaving=is_leaving and (not number or not life),
            )
        )
    return guarantees.check(timeouts=TIMEOUTS)


def test_requests_to_a_server_that_has_stated_that_it_leaves_are_reported():
    found = find_statement_violations(is_leaving=True)
    assert len(found) == 9
    assert found[0].startswith("r11 ran at vm-1, which had told entry-0 2.")
    # The store is no excuse, a fault of the entry VM is.
    store = {"target": "", "is_of_store": True}
    assert find_statement_violations(is_leaving=True, **store) == found
    assert not find_statement_violations(is_leaving=True, target="entry-0")
    # A server that has restarted does not leave.
    assert not find_statement_violations(is_leaving=True, life=1)


def test_requests_in_a_pause_that_a_server_asked_for_are_reported():
    found = find_statement_violations(is_leaving=False)
    assert found == [
        "vm-1 asked entry-0 for a pause of 4.0 s and got 17 requests in it"
    ]
    assert not find_statement_violations(is_leaving=False, entry="entry-1")
    assert not find_statement_violations(is_leaving=False, life=1)
    assert not find_statement_violations(is_leaving=False, target="entry-0")
    assert not find_statement_violations(is_leaving=False, target="vm-1")


def test_pause_is_unknown_only_if_the_caller_left_as_the_server_turned_it_away():
    # Guards against an entry VM that is blamed for a refusal that it never read, and
    # against a caller who leaves that excuses requests after a refusal that it read.
    expected = ["vm-1 asked entry-0 for a pause of 4.0 s and got 17 requests in it"]
    assert not find_statement_violations(is_leaving=False, left_after_s=0.0)
    assert not find_statement_violations(is_leaving=False, left_after_s=0.4)
    assert find_statement_violations(is_leaving=False, left_after_s=0.6) == expected
    # The second caller reads its refusal, after the first one has left.
    (found,) = find_statement_violations(
        is_leaving=False, left_after_s=0.0, turned_away=2
    )
    assert found.endswith("got 16 requests in it")


CLOSED = {"outcome": CallOutcome.BROKEN, "answer": CallerResponse(status=200)}
ANSWERED_502 = {"answer": CallerResponse(status=502, is_complete=True)}


def find_silence_violations(
    kind: CallKind = CallKind.STREAM,
    *,
    vm: str = "domain-0-vm-1",
    target: str | None = None,
    is_of_store: bool = False,
    **changes,
) -> list[str]:
    """Return the violations of a call of 1.2 s whose servers are silent for 1.5 s.

    It runs at `vm`, or nowhere without it; a fault affects `target` shortly before.
    """
    call = make_call(kind, ended_at_s=START + 1.2)
    if "answer" in changes:
        changes["answer"] = dataclasses.replace(changes["answer"], has_seal=True)
    call = dataclasses.replace(call, **changes)
    windows = FaultWindows()
    guarantees = GuaranteeChecker(windows)
    silence = windows.open("domain-0", "domain", start_s=START + 0.1, is_planned=False)
    silence.end_s = START + 1.6
    guarantees.record_silence(silence)
    if target is not None:
        window = windows.open(
            *filter(None, [target]),
            start_s=START - 2.0,
            is_planned=False,
            is_of_store=is_of_store,
        )
        window.end_s = START - 1.5
    guarantees.record_call(call)
    if vm:
        guarantees.record_run(make_run(vm=vm, path=call.path))
    timeout = datetime.timedelta(seconds=9)
    return guarantees.check(timeouts=dict.fromkeys(CallKind, timeout))


@pytest.mark.parametrize(
    ("changes", "expected_text"),
    [(CLOSED, "got no whole answer from silent"), (ANSWERED_502, "got 502 from")],
)
def test_calls_that_are_lost_while_sound_servers_are_silent_are_reported(
    changes, expected_text
):
    # Guards against a soak that takes a silent server for a lost one.
    (violation,) = find_silence_violations(**changes)
    assert violation.startswith("r1 at entry-0") and expected_text in violation
    # A call that never ran, of which the server reports nothing, is lost as well.
    assert find_silence_violations(vm="", **changes) == [violation]
    # The store is no excuse, nor is another entry VM or process of servers.
    assert find_silence_violations(target="", is_of_store=True, **changes)
    assert find_silence_violations(target="entry-1", **changes)
    assert find_silence_violations(target="domain-1", **changes)


def test_calls_that_are_lost_for_another_reason_than_a_silence_are_allowed():
    # Guards against a checker that reports allowed behaviour.
    assert not find_silence_violations()
    refused = CallerResponse(status=503, is_complete=True)
    assert not find_silence_violations(answer=refused)
    for target in ("entry-0", "domain-0", ""):
        assert not find_silence_violations(target=target, **CLOSED)
    assert not find_silence_violations(vm="", target="domain", **ANSWERED_502)
    assert not find_silence_violations(vm="domain-1-vm-1", **CLOSED)
    assert not find_silence_violations(CallKind.ONCE, vm="plain-vm-1", **ANSWERED_502)
    # The deadline or the timeout of the route may have ended it.
    assert not find_silence_violations(ended_at_s=START + 5.1, **CLOSED)
    # It ended before the silence, or crashes servers.
    assert not find_silence_violations(ended_at_s=START + 0.05, **ANSWERED_502)
    assert not find_silence_violations(path="/stream/crash/1", **ANSWERED_502)


def find_cut_violations(
    served: int, others_served: int, *, count: int = 20, target: str = "", **changes
) -> list[str]:
    """Return the unserved calls of a cut of `entry-0` and `entry-1` that lasts 7 s.

    Each of four entry VMs gets `count` calls from 3.0 s after the cut began, of which
    the given number is served, and as many that are not served before and afterwards.
    A fault affects `target` all the while.
    """
    windows = FaultWindows()
    guarantees = GuaranteeChecker(windows)
    cut = windows.open("entry-0", "entry-1", start_s=START, is_planned=False)
    cut.end_s = START + 7.0
    guarantees.record_cut(cut)
    if target:
        windows.open(target, start_s=START, is_planned=False)
    for entry in range(4):
        counts_by_start_s = {
            0.5: 0,
            3.0: served if entry < 2 else others_served,
            7.5: 0,
        }
        for start_s, served_count in counts_by_start_s.items():
            for number in range(count):
                name = f"r{entry}-{start_s}-{number}"
                call = make_call(
                    CallKind.SAFE,
                    request_id=name,
                    entry=f"entry-{entry}",
                    sent_at_s=START + start_s + number / 100,
                    ended_at_s=START + start_s + 1.0,
                )
                status = 200 if number < served_count else 503
                call.answer = dataclasses.replace(
                    call.answer, request_id=name, status=status
                )
                guarantees.record_call(dataclasses.replace(call, **changes))
    found = guarantees.check(timeouts=TIMEOUTS)
    return [line for line in found if "without links" in line]


def test_cut_after_which_too_few_calls_are_served_is_reported():
    # Guards against a soak that takes refusals of cut-off entry VMs for service.
    assert find_cut_violations(8, 18) == [
        "entry-0, entry-1 without links to servers served 40% of 40 calls, others 90% "
        "of 40"
    ]
    assert find_cut_violations(9, 18) == []
    # The more calls there are, the closer is the bound to two thirds of the others.
    assert find_cut_violations(52, 90, count=100)
    assert find_cut_violations(53, 90, count=100) == []
    # Faults of one of the entry VMs, the servers or the store are no excuse.
    assert find_cut_violations(5, 18, target="entry-0")
    assert find_cut_violations(5, 18, target="entry-3")
    assert find_cut_violations(5, 18, target="domain-0")


def test_cuts_without_enough_undisturbed_calls_are_not_judged():
    # Guards against a checker that blames a cut for other faults or for chance.
    assert not find_cut_violations(0, 4, count=4)
    assert not find_cut_violations(0, 18, target="soak")
    assert not find_cut_violations(0, 18, path="/safe/crash/1")
    assert not find_cut_violations(0, 18, outcome=CallOutcome.LEFT)
