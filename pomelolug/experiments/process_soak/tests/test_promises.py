"""Each promise is found broken when callers and servers saw it broken."""

import dataclasses
import datetime

import pytest

from pomelolug.experiments.process_soak._calls import (
    CallKind,
    End,
    SentCall,
    ServerRun,
)
from pomelolug.experiments.process_soak._disturbances import Disturbances
from pomelolug.experiments.process_soak._promises import Promises
from pomelolug.testing import CallerResponse

TIMEOUTS = dict.fromkeys(CallKind, datetime.timedelta(seconds=1.5))
START = 100.0


def sent(kind: CallKind = CallKind.ONCE, **changes) -> SentCall:
    call = SentCall(
        request="r1",
        kind=kind,
        path="/p/1",
        digest="d",
        account="a",
        key="k",
        entry="entry-0",
        sent_at=START,
        events=2 if kind is CallKind.STREAM else 0,
        ended_at=START + 0.1,
        end=End.ANSWERED,
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


def answered(kind: CallKind = CallKind.ONCE, **changes) -> SentCall:
    call = sent(kind)
    call.answer = dataclasses.replace(call.answer, **changes)
    return call


def run(**changes) -> ServerRun:
    made = ServerRun(
        request="r1",
        vm="vm-1",
        account="a",
        key="",
        path="/p/1",
        digest="d",
        at=START + 0.01,
    )
    return dataclasses.replace(made, **changes)


def found(call: SentCall | None, *runs: ServerRun, **disturbed) -> list[str]:
    disturbances = Disturbances()
    if disturbed:
        span = disturbances.begin(
            disturbed["place"],
            at=disturbed["at"],
            planned=disturbed.get("planned", False),
        )
        span.end = disturbed["at"] + 1.0
    promises = Promises(disturbances)
    if call is not None:
        promises.ended(call)
    for each in runs:
        promises.ran(each)
    return promises.check(timeouts=TIMEOUTS)


@pytest.mark.parametrize("kind", CallKind)
def test_sound_call_breaks_no_promise(kind):
    # Guards against a check that reports what is allowed.
    assert found(sent(kind), run()) == []


def test_repeatable_call_may_run_twice():
    assert found(sent(CallKind.SAFE), run(), run(vm="vm-2")) == []


@pytest.mark.parametrize(
    ("call", "runs", "text"),
    [
        (sent(), [run(), run(vm="vm-2")], "may run once"),
        (answered(status=503, has_seal=False), [run()], "503 and ran"),
        (answered(status=401, has_seal=False), [], "valid key was answered 401"),
        (answered(request_id="r2"), [run()], "the answer of r2"),
        (answered(has_seal=False), [run()], "without a seal"),
        (answered(body=b"answer to /p/2"), [run()], "another body"),
        (answered(CallKind.STREAM, body=stream(1, 3)), [run()], "events [1, 3]"),
        (answered(CallKind.STREAM, body=stream(1, 1, 2)), [run()], "events [1, 1, 2]"),
        (answered(CallKind.STREAM, body=stream(1)), [run()], "complete after 1"),
        (
            answered(CallKind.STREAM, body=stream(1, 2) + b"id: 3"),
            [run()],
            "ended as complete",
        ),
        (sent(ended_at=START + 2.1), [run()], "was held for 2.10 s"),
        (sent(), [run(request="r9")], "no caller sent"),
        (sent(), [run(key="Bearer k")], "got the key"),
        (sent(), [run(account="b")], "ran for 'b'"),
        (sent(), [run(path="/p/2")], "another path or body"),
        (sent(), [run(digest="e")], "another path or body"),
        (
            sent(end=End.LEFT, ended_at=START + 0.1, answer=CallerResponse()),
            [run(at=START + 0.7)],
            "after its caller had left",
        ),
        (
            sent(end=End.BROKEN, answer=CallerResponse()),
            [run()],
            "got no whole answer",
        ),
    ],
)
def test_broken_promise_is_found(call, runs, text):
    # Guards against a soak that passes whatever the entry process does.
    assert [line for line in found(call, *runs) if text in line]


def test_key_taken_away_is_no_longer_accepted():
    promises = Promises(Disturbances())
    promises.ended(sent())
    promises.ran(run())
    promises.revoked("k", START - 5.5)
    assert "its key went" in promises.check(timeouts=TIMEOUTS)[0]


def test_leaving_server_gets_no_new_call():
    promises = Promises(Disturbances())
    promises.ended(sent())
    promises.ran(run())
    promises.drained("vm-1", START - 2.5)
    assert "which leaves" in promises.check(timeouts=TIMEOUTS)[0]


def test_disturbed_entry_vm_is_excused_from_bounds_in_time():
    late = sent(ended_at=START + 2.1)
    assert found(late, run(), place="entry-0", at=START - 3.0) == []
    # Another entry VM, or a calm of four seconds, excuses nothing.
    assert found(late, run(), place="entry-1", at=START - 3.0)
    assert found(late, run(), place="entry-0", at=START - 6.0)


def test_planned_stop_does_not_excuse_a_lost_answer():
    broken = sent(end=End.BROKEN, answer=CallerResponse())
    assert found(broken, run(), place="entry-0", at=START, planned=True)
    assert found(broken, run(), place="entry-1", at=START) == []
