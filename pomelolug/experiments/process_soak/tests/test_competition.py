"""Which streams are reported while dispatchers are lost or accounts compete."""

import dataclasses

import pytest

from pomelolug.experiments.process_soak._calls import CallKind, CallOutcome
from pomelolug.experiments.process_soak._competition import DispatcherLoss
from pomelolug.experiments.process_soak._disturbances import FaultWindows
from pomelolug.experiments.process_soak._promises import GuaranteeChecker
from pomelolug.experiments.process_soak.tests.test_promises import (
    START,
    TIMEOUTS,
    make_call,
    make_run,
)
from pomelolug.testing import CallerResponse

REFUSED = CallerResponse(status=503, is_complete=True)
CUT = {"outcome": CallOutcome.BROKEN, "answer": CallerResponse(status=200)}
SERVER_LOST = {"answer": CallerResponse(status=502, is_complete=True)}


def make_streams(served: int, count: int, *, start_s: float = 0.0, **changes):
    """Return streams of 0.3 s, 0.1 s apart, of which the first ones are served."""
    for number in range(count):
        name = f"r-{changes.get('account', '')}-{start_s}-{number}"
        at_s = START + start_s + number / 10
        call = make_call(
            CallKind.STREAM,
            request_id=name,
            sent_at_s=at_s,
            ended_at_s=at_s + 0.3,
            **changes,
        )
        answer = dataclasses.replace(call.answer, request_id=name, has_seal=True)
        yield dataclasses.replace(call, answer=answer if number < served else REFUSED)


def find_loss_violations(*calls, target: str = "", **changes) -> list[str]:
    """Return the violations of a loss of `entry-9` for 3 s and of streams elsewhere.

    A fault affects `target` shortly before.
    """
    windows = FaultWindows()
    guarantees = GuaranteeChecker(windows)
    window = windows.open("entry-9", start_s=START, is_planned=False)
    window.end_s = START + 3.0
    if target:
        other = windows.open(target, start_s=START - 1.0, is_planned=False)
        other.end_s = START + 1.0
    guarantees.record_dispatcher_loss(
        DispatcherLoss(window=window, peers=frozenset({"entry-0"}))
    )
    for call in calls:
        guarantees.record_call(dataclasses.replace(call, **changes))
        guarantees.record_run(
            make_run(request_id=call.request_id, path=call.path, vm="domain-0-vm-1")
        )
    found = guarantees.check(timeouts=TIMEOUTS)
    return [line for line in found if "dispatcher" in line]


@pytest.mark.parametrize("changes", [CUT, SERVER_LOST])
def test_streams_that_are_cut_with_the_dispatcher_are_reported(changes):
    # Guards against a soak that accepts streams which end with another entry VM.
    (call,) = make_streams(1, 1, start_s=-0.1)
    (violation,) = find_loss_violations(call, **changes)
    assert violation.startswith(f"{call.request_id} at entry-0 was cut while entry-9")
    assert not find_loss_violations(call)
    for target in ("entry-0", "domain-0-vm-1", "domain"):
        assert not find_loss_violations(call, target=target, **changes)
    assert not find_loss_violations(call, entry="entry-9", **changes)
    (later,) = make_streams(1, 1, start_s=3.1)
    assert not find_loss_violations(later, **changes)


def test_refusals_for_want_of_a_dispatcher_are_reported():
    # Guards against a soak that takes refusals for streams that go on.
    before = list(make_streams(20, 20, start_s=-2.5))
    (violation,) = find_loss_violations(*before, *make_streams(5, 20))
    assert violation.startswith("5 of 20 streams were served without the dispatcher")
    assert not find_loss_violations(*before, *make_streams(15, 20))
    # As few were served before, or the entry VM had another fault.
    full = list(make_streams(5, 20, start_s=-2.5))
    assert not find_loss_violations(*full, *make_streams(5, 20))
    assert not find_loss_violations(*before, *make_streams(5, 20), target="entry-0")


def find_starved(served: int, count: int, others: int, *, target: str = "") -> list:
    windows = FaultWindows()
    guarantees = GuaranteeChecker(windows)
    guarantees.record_competition(START, START + 6.0)
    if target:
        windows.open(target, start_s=START, is_planned=False)
    for call in make_streams(served, count, account="account-c"):
        guarantees.record_call(call)
    for call in make_streams(others, 40, account="account-a"):
        guarantees.record_call(call)
    found = guarantees.check(timeouts=TIMEOUTS)
    return [line for line in found if "account" in line]


def test_account_that_is_starved_is_reported():
    # Guards against a soak that accepts that one account has all the servers.
    assert find_starved(0, 20, 30) == [
        "none of 20 streams of account-c was served while 30 of others were"
    ]
    assert not find_starved(1, 20, 30)
    # Too few calls to tell, nobody is served, or the entry VM has a fault.
    assert not find_starved(0, 9, 30)
    assert not find_starved(0, 20, 0)
    assert not find_starved(0, 20, 30, target="entry-0")
