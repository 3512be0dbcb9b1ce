"""Checks of answers while servers are silent or links to them are cut."""

import math
from collections.abc import Container, Iterable, Iterator, Sequence

from pomelolug.experiments.process_soak._calls import (
    TAINTED_PATH_PART,
    CallKind,
    CallOutcome,
    SentCall,
    ServerRun,
)
from pomelolug.experiments.process_soak._disturbances import (
    QUIET_PERIOD_S,
    SOAK_PROCESS,
    FaultWindow,
    FaultWindows,
    server_targets,
)
from pomelolug.testing import CRASH_PATH_PART

__all__ = [
    "crashes_servers",
    "cut_violations",
    "is_lost_answer",
    "is_share_too_small",
    "is_undisturbed",
    "silence_violations",
]

_SERVER_LOST_STATUS = 502
_ASSUMED_READ_S = 0.2
"""Time after which a request on a new connection counts as read.

A request that was read must be answered even if the entry VM is stopped as planned.
"""
_SHORTEST_TIMEOUT_S = {CallKind.SAFE: 1.0, CallKind.ONCE: 1.0, CallKind.STREAM: 5.0}
"""Time from which on the timeout of a route, which changes, may have ended a call."""
_CUT_KNOWN_S = 3.0
"""Time after the beginning of a cut from which calls have to be served."""
_MIN_SERVED_RATIO = 2 / 3
_MIN_CUT_CALLS = 10
"""Calls at cut-off entry VMs and at others without which shares are not compared."""
_CHANCE_DEVIATIONS = 2.0
"""Standard deviations by which chance may lower a share of so few calls."""
_SERVER_POOLS = {
    CallKind.SAFE: "plain",
    CallKind.ONCE: "plain",
    CallKind.STREAM: "domain",
}


def silence_violations(
    calls: Iterable[SentCall],
    runs: Iterable[ServerRun],
    silences: Iterable[FaultWindow],
    windows: FaultWindows,
) -> Iterator[str]:
    """Yield the calls that were lost because their sound servers were silent.

    Other faults of the entry VM or of the servers excuse them, those of the store do
    not.
    """
    silences = list(silences)
    processes: dict[str, set[str]] = {}
    for run in runs:
        process, _ = server_targets(run.vm)
        processes.setdefault(run.request_id, set()).add(process)
    for call in calls:
        # A call that no server reports may have been sent to any server of its kind.
        ran_at = processes.get(call.request_id, set())
        targets = ran_at or {_SERVER_POOLS[call.kind]}
        met = [
            silence
            for silence in silences
            if silence.overlaps(call.sent_at_s, call.ended_at_s)
            and targets & silence.targets
        ]
        if (
            met
            and not crashes_servers(call)
            and call.ended_at_s - call.sent_at_s < _SHORTEST_TIMEOUT_S[call.kind]
            and is_undisturbed(call, targets, windows, silences)
        ):
            if call.answer.is_complete and call.answer.status == _SERVER_LOST_STATUS:
                yield f"{call.request_id} at {call.entry} got 502 from silent servers"
            elif is_lost_answer(call, has_run=bool(ran_at)):
                yield (
                    f"{call.request_id} at {call.entry} got no whole answer from "
                    "silent servers"
                )


def cut_violations(
    calls: Iterable[SentCall], cuts: Iterable[FaultWindow], windows: FaultWindows
) -> Iterator[str]:
    """Yield the cuts in which too few calls at cut-off entry VMs were served.

    Only calls with a valid key whose entry VM has no other fault count. Faults of
    servers and the store concern all entry VMs.
    """
    calls = [
        call
        for call in calls
        if call.outcome not in (CallOutcome.LEFT, CallOutcome.UNFINISHED)
        and not crashes_servers(call)
    ]
    for cut in cuts:
        served: dict[bool, list[bool]] = {True: [], False: []}
        for call in calls:
            until_s = cut.end_s if cut.end_s is not None else call.sent_at_s
            if (
                cut.start_s + _CUT_KNOWN_S <= call.sent_at_s <= until_s
                and is_undisturbed(call, (), windows, (cut,))
            ):
                is_served = call.answer.is_complete and call.answer.status == 200
                served[call.entry in cut.targets].append(is_served)
        if is_share_too_small(served[True], served[False]):
            count, other_count = len(served[True]), len(served[False])
            share, other = sum(served[True]) / count, sum(served[False]) / other_count
            yield (
                f"{', '.join(sorted(cut.targets))} without links to servers served "
                f"{share:.0%} of {count} calls, others {other:.0%} of {other_count}"
            )


def is_share_too_small(served: Sequence[bool], others: Sequence[bool]) -> bool:
    """Return whether fewer than two thirds as many calls were served as of others.

    What chance may explain is allowed; shares of few calls are not compared.
    """
    if min(len(served), len(others)) < _MIN_CUT_CALLS:
        return False
    share, other = sum(served) / len(served), sum(others) / len(others)
    least = _MIN_SERVED_RATIO * other
    variance = least * (1 - least) / len(served)
    variance += _MIN_SERVED_RATIO**2 * other * (1 - other) / len(others)
    return share < least - _CHANCE_DEVIATIONS * math.sqrt(variance)


def is_lost_answer(call: SentCall, *, has_run: bool) -> bool:
    """Return whether a call that was read was closed without a whole answer."""
    # A call on a reused connection may race with its closing and never be read.
    was_read = has_run or (
        call.is_first_on_connection
        and call.ended_at_s - call.sent_at_s > _ASSUMED_READ_S
    )
    is_broken = call.outcome is CallOutcome.BROKEN and not call.answer.is_complete
    return is_broken and was_read


def is_undisturbed(
    call: SentCall,
    servers: Iterable[str],
    windows: FaultWindows,
    ignored: Container[FaultWindow],
) -> bool:
    """Return whether no other fault of entry VM, servers or soak affected a call."""
    start_s = call.sent_at_s - QUIET_PERIOD_S
    return not (
        windows.is_affected(SOAK_PROCESS, call.sent_at_s, call.ended_at_s)
        or any(
            windows.is_affected(
                target, start_s, call.ended_at_s, by_store=False, ignored=ignored
            )
            for target in (call.entry, *servers)
        )
    )


def crashes_servers(call: SentCall) -> bool:
    return CRASH_PATH_PART in call.path or TAINTED_PATH_PART in call.path
