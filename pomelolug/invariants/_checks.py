"""Run-time assertions, cheap enough to stay on in production."""

import collections
import enum
from collections.abc import Callable, Iterable

import structlog

from pomelolug.errors import ErrorCode, Outcome, PomelolugError, RequestError
from pomelolug.messages import GroupStatus

__all__ = ["Invariant", "InvariantError", "Invariants"]

_log = structlog.get_logger()
_SERVING = "serving"


class Invariant(enum.Enum):
    """The promises that are asserted."""

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
    """A promise was about to be broken; the operation is refused."""


class Invariants:
    """Checks the promises, counts and logs violations, and fails closed.

    Parameters
    ----------
    count : callable
        Called with the violated `Invariant`; increments its counter.

    Examples
    --------
    >>> seen = []
    >>> checks = Invariants(seen.append)
    >>> checks.check_configuration(7)
    >>> checks.check_configuration(8)
    >>> seen
    []
    """

    def __init__(self, count: Callable[[Invariant], None]) -> None:
        self._count = count
        self._version = -1

    def violated(self, invariant: Invariant, **place: str | int) -> None:
        """Count and log a violation at `place` without raising."""
        self._count(invariant)
        _log.error("invariant_violated", invariant=invariant.value, **place)

    def _fail(self, invariant: Invariant, **place: str | int) -> None:
        self.violated(invariant, **place)
        raise InvariantError(
            ErrorCode.INVARIANT_VIOLATED, f"{invariant.value} violated: {place}"
        )

    def check_dispatch(self, group: GroupStatus) -> None:
        """Check that `group` may take a request.

        Raises
        ------
        InvariantError
            If the group does not serve or has no leader address.
        """
        if group.phase != _SERVING or not group.leader:
            self._fail(Invariant.GROUP_COMPLETE, group=group.group, phase=group.phase)

    def check_configuration(self, version: int) -> None:
        """Check that the configuration version never goes backwards.

        Raises
        ------
        InvariantError
            If `version` is older than one that was in force.
        """
        if version < self._version:
            self._fail(
                Invariant.CONFIGURATION_MONOTONIC,
                version=version,
                in_force=self._version,
            )
        self._version = version

    def shared_members(self, groups: Iterable[GroupStatus]) -> frozenset[str]:
        """Return the serving groups that have to stop because they share a VM.

        Two statuses may overlap for a moment while one is stale; the one with
        the lower fencing token is superseded. Only groups at the same token, or
        two that were verified at once, are a violation; both stop.
        """
        owners: dict[str, list[GroupStatus]] = collections.defaultdict(list)
        for group in groups:
            if group.phase == _SERVING:
                for vm in group.members:
                    owners[vm].append(group)
        stopped: set[str] = set()
        for vm, claimed in owners.items():
            if len(claimed) < 2:
                continue
            self.violated(
                Invariant.ONE_GROUP_PER_VM,
                vm=vm,
                groups=",".join(sorted(group.group for group in claimed)),
            )
            stopped.update(group.group for group in claimed)
        return frozenset(stopped)

    def check_outcome(
        self, error: RequestError, *, maybe_ran: bool, request_id: str
    ) -> RequestError:
        """Return the error to tell the caller.

        A "not run" about a request that may have run is replaced by "outcome
        unknown" and counted.
        """
        if error.outcome is Outcome.NOT_RUN and maybe_ran:
            self.violated(Invariant.NOT_RUN_IS_TRUE, request_id=request_id)
            return error.with_outcome(Outcome.UNKNOWN)
        return error

    def check_single_dispatch(self, *, maybe_ran: bool, request_id: str) -> None:
        """Check before the dispatch of a non-idempotent request.

        Raises
        ------
        InvariantError
            If an earlier dispatch of the request may have run.
        """
        if maybe_ran:
            self._fail(Invariant.AT_MOST_ONCE, request_id=request_id)
