"""Guards that a violated invariant is counted and the operation refused."""

import datetime

import pytest

from pomelolug.errors import ErrorCode, Outcome, RequestError
from pomelolug.gateway.tests.harness import status
from pomelolug.invariants import Invariant, InvariantChecker, InvariantError


@pytest.fixture
def violations():
    return []


@pytest.fixture
def checker(violations):
    return InvariantChecker(violations.append)


def test_older_configuration_is_refused(checker, violations):
    checker.check_configuration(7)
    checker.check_configuration(7)
    with pytest.raises(InvariantError):
        checker.check_configuration(6)
    assert violations == [Invariant.CONFIGURATION_MONOTONIC]


def test_dispatch_to_a_broken_group_is_refused(checker, violations):
    checker.check_dispatch(status("g1"))
    with pytest.raises(InvariantError):
        checker.check_dispatch(status("g1", phase="broken"))
    assert violations == [Invariant.GROUP_COMPLETE]


def test_not_run_is_replaced_for_a_request_that_may_have_run(checker, violations):
    error = RequestError(
        ErrorCode.NO_GROUP,
        "x",
        status=503,
        retry_after=datetime.timedelta(seconds=1),
    )
    assert checker.correct_outcome(error, maybe_ran=False, request_id="r") is error
    corrected = checker.correct_outcome(error, maybe_ran=True, request_id="r")
    assert corrected.outcome is Outcome.UNKNOWN
    assert (corrected.code, corrected.status) == (error.code, error.status)
    assert corrected.retry_after == error.retry_after
    assert violations == [Invariant.NOT_RUN_IS_TRUE]


def test_second_dispatch_after_one_that_may_have_run_is_refused(checker, violations):
    checker.check_single_dispatch(maybe_ran=False, request_id="r")
    with pytest.raises(InvariantError):
        checker.check_single_dispatch(maybe_ran=True, request_id="r")
    assert violations == [Invariant.AT_MOST_ONCE]
