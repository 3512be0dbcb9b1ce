"""Run-time invariant checks, cheap enough to stay enabled in production."""

import collections
import enum
from collections.abc import Callable, Iterable

import structlog

from pomelolug.errors import ErrorCode, Outcome, PomelolugError, RequestError
from pomelolug.messages import GroupStatus

__all__ = ["Invariant", "InvariantChecker", "InvariantError"]

_log = structlog.get_logger()
_SERVING = "serving"


class Invariant(enum.Enum):
    """Invariants that are checked at run time."""

    GROUP_COMPLETE = "group_complete"
    ONE_GROUP_PER_VM = "one_group_per_vm"
    OWN_WHOLE_ANSWER = "own_whole_answer"
    NOT_RUN_IS_TRUE = "not_run_is_true"
    AT_MOST_ONCE = "at_most_once"
    LEAVING_GETS_NO_WORK = "leaving_gets_no_work"
    STOP_CUTS_NOTHING = "stop_cuts_nothing"
    CONFIGURATION_MONOTONIC = "configuration_monotonic"
    FOLDS_AGREE = "folds_agree"


class InvariantError(PomelolugError):
    """An operation was refused because it would violate an invariant."""


class InvariantChecker:
    """Checks invariants, counts and logs violations, and fails closed.

    Parameters
    ----------
    count_violation : callable
        Called with the violated `Invariant`; increments its counter.

    Examples
    --------
    >>> violations = []
    >>> checker = InvariantChecker(violations.append)
    >>> checker.check_configuration(7)
    >>> checker.check_configuration(8)
    >>> violations
    []
    """

    def __init__(self, count_violation: Callable[[Invariant], None]) -> None:
        self._count_violation = count_violation
        self._config_version = -1

    def report_violation(self, invariant: Invariant, **context: str | int) -> None:
        """Count and log a violation with its `context`, without raising."""
        self._count_violation(invariant)
        _log.error("invariant_violated", invariant=invariant.value, **context)

    def _report_and_raise(self, invariant: Invariant, **context: str | int) -> None:
        self.report_violation(invariant, **context)
        raise InvariantError(
            ErrorCode.INVARIANT_VIOLATED, f"{invariant.value} violated: {context}"
        )

    def check_dispatch(self, group: GroupStatus) -> None:
        """Check that a request may be dispatched to `group`.

        Raises
        ------
        InvariantError
            If the group is not serving or has no leader address.
        """
        if group.phase != _SERVING or not group.leader:
            self._report_and_raise(
                Invariant.GROUP_COMPLETE, group=group.group, phase=group.phase
            )

    def check_configuration(self, version: int) -> None:
        """Check that the configuration version never decreases.

        Raises
        ------
        InvariantError
            If `version` is older than the version in force.
        """
        if version < self._config_version:
            self._report_and_raise(
                Invariant.CONFIGURATION_MONOTONIC,
                version=version,
                in_force=self._config_version,
            )
        self._config_version = version

    def find_groups_sharing_vm(self, groups: Iterable[GroupStatus]) -> frozenset[str]:
        """Return the serving groups that must not be used because they share a VM.

        All groups that share a VM are returned, and each shared VM is reported as
        a violation. Two statuses may also overlap for a moment while one is stale
        and superseded by the one with the higher fencing token; tokens are not
        compared here.
        """
        groups_by_vm: dict[str, list[GroupStatus]] = collections.defaultdict(list)
        for group in groups:
            if group.phase == _SERVING:
                for vm in group.members:
                    groups_by_vm[vm].append(group)
        groups_to_stop: set[str] = set()
        for vm, sharing_groups in groups_by_vm.items():
            if len(sharing_groups) < 2:
                continue
            self.report_violation(
                Invariant.ONE_GROUP_PER_VM,
                vm=vm,
                groups=",".join(sorted(group.group for group in sharing_groups)),
            )
            groups_to_stop.update(group.group for group in sharing_groups)
        return frozenset(groups_to_stop)

    def correct_outcome(
        self, error: RequestError, *, maybe_ran: bool, request_id: str
    ) -> RequestError:
        """Return the error to report to the caller.

        If the request may have run, the outcome "not run" is replaced by "outcome
        unknown" and counted as a violation.
        """
        if error.outcome is Outcome.NOT_RUN and maybe_ran:
            self.report_violation(Invariant.NOT_RUN_IS_TRUE, request_id=request_id)
            return error.with_outcome(Outcome.UNKNOWN)
        return error

    def check_single_dispatch(self, *, maybe_ran: bool, request_id: str) -> None:
        """Check that a non-idempotent request may be dispatched.

        Raises
        ------
        InvariantError
            If an earlier dispatch of the request may have run.
        """
        if maybe_ran:
            self._report_and_raise(Invariant.AT_MOST_ONCE, request_id=request_id)
