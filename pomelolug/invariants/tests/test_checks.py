"""Guards that a violated promise is counted and the operation refused."""

import datetime

import pytest

from pomelolug.errors import ErrorCode, Outcome, RequestError
from pomelolug.gateway.tests.harness import status
from pomelolug.invariants import Invariant, InvariantError, Invariants


@pytest.fixture
def seen():
    return []


@pytest.fixture
def checks(seen):
    return Invariants(seen.append)


def test_older_configuration_is_refused(checks, seen):
    checks.check_configuration(7)
    checks.check_configuration(7)
    with pytest.raises(InvariantError):
        checks.check_configuration(6)
    assert seen == [Invariant.CONFIGURATION_MONOTONIC]


def test_broken_group_gets_no_request(checks, seen):
    checks.check_dispatch(status("g1"))
    with pytest.raises(InvariantError):
        checks.check_dispatch(status("g1", phase="broken"))
    assert seen == [Invariant.GROUP_COMPLETE]


def test_not_run_about_a_request_that_may_have_run_is_replaced(checks, seen):
    error = RequestError(
        ErrorCode.NO_GROUP,
        "x",
        status=503,
        retry_after=datetime.timedelta(seconds=1),
    )
    assert checks.check_outcome(error, maybe_ran=False, request_id="r") is error
    told = checks.check_outcome(error, maybe_ran=True, request_id="r")
    assert told.outcome is Outcome.UNKNOWN
    assert (told.code, told.status) == (error.code, error.status)
    assert told.retry_after == error.retry_after
    assert seen == [Invariant.NOT_RUN_IS_TRUE]


def test_second_dispatch_after_one_that_may_have_run_is_refused(checks, seen):
    checks.check_single_dispatch(maybe_ran=False, request_id="r")
    with pytest.raises(InvariantError):
        checks.check_single_dispatch(maybe_ran=True, request_id="r")
    assert seen == [Invariant.AT_MOST_ONCE]
