"""Checks of streams while dispatchers are lost or accounts compete."""

import dataclasses
from collections.abc import Iterable, Iterator

from pomelolug.experiments.process_soak._calls import (
    CallKind,
    CallOutcome,
    SentCall,
    ServerRun,
)
from pomelolug.experiments.process_soak._disturbances import (
    SOAK_PROCESS,
    FaultWindow,
    FaultWindows,
    server_targets,
)
from pomelolug.experiments.process_soak._interruptions import (
    crashes_servers,
    is_lost_answer,
    is_share_too_small,
    is_undisturbed,
)

__all__ = ["DispatcherLoss", "dispatcher_violations", "starvation_violations"]

_TIME_BEFORE_S = 3.0
"""Time before the loss of a dispatcher with which the time of the loss is compared."""
_MIN_CALLS = 10
"""Calls of an account, and served calls of others, without which nothing is judged."""
_SERVER_LOST_STATUS = 502


@dataclasses.dataclass(frozen=True, kw_only=True)
class DispatcherLoss:
    """Window in which the dispatcher of a zone is lost, and the other entry VMs."""

    window: FaultWindow
    peers: frozenset[str]


def dispatcher_violations(
    calls: Iterable[SentCall],
    runs: Iterable[ServerRun],
    losses: Iterable[DispatcherLoss],
    windows: FaultWindows,
) -> Iterator[str]:
    """Yield the streams of other entry VMs that do not go on without a dispatcher.

    Other faults of the entry VM or of the servers excuse a stream that was cut. Those
    of servers concern the time before the loss as well.
    """
    streams = list(filter(_is_judged, calls))
    servers: dict[str, set[str]] = {}
    for run in runs:
        servers.setdefault(run.request_id, set()).update(
            (run.vm, *server_targets(run.vm))
        )
    for loss in losses:
        before, meanwhile = [], []
        until_s = loss.window.end_s
        for call in streams:
            if (
                call.entry not in loss.peers
                or until_s is None
                or not is_undisturbed(call, (), windows, (loss.window,))
            ):
                continue
            began_s = call.sent_at_s - loss.window.start_s
            if -_TIME_BEFORE_S <= began_s < 0.0:
                before.append(_is_served(call))
            elif 0.0 <= began_s and call.sent_at_s < until_s:
                meanwhile.append(_is_served(call))
            ran_at = servers.get(call.request_id, set())
            if (
                ran_at
                and loss.window.overlaps(call.sent_at_s, call.ended_at_s)
                and (
                    is_lost_answer(call, has_run=True)
                    or call.answer.status == _SERVER_LOST_STATUS
                )
                and is_undisturbed(call, ran_at, windows, (loss.window,))
            ):
                yield (
                    f"{call.request_id} at {call.entry} was cut while "
                    f"{', '.join(loss.window.targets)}, the dispatcher, was lost"
                )
        if is_share_too_small(meanwhile, before):
            yield (
                f"{sum(meanwhile)} of {len(meanwhile)} streams were served without the "
                f"dispatcher {', '.join(loss.window.targets)}, {sum(before)} of "
                f"{len(before)} before"
            )


def starvation_violations(
    calls: Iterable[SentCall],
    periods: Iterable[tuple[float, float]],
    windows: FaultWindows,
) -> Iterator[str]:
    """Yield the accounts of which no stream was served while others were.

    Parameters
    ----------
    calls : iterable of SentCall
        Calls with valid keys.
    periods : iterable of tuple of float
        Begin and end of each time in which accounts compete for the servers.
    windows : FaultWindows
        Faults of entry VMs, whose calls are left out.
    """
    streams = list(filter(_is_judged, calls))
    for start_s, end_s in periods:
        served: dict[str, list[bool]] = {}
        for call in streams:
            if start_s <= call.sent_at_s and call.ended_at_s <= end_s:
                is_affected = any(
                    windows.is_affected(target, call.sent_at_s, call.ended_at_s)
                    for target in (call.entry, SOAK_PROCESS)
                )
                if not is_affected:
                    served.setdefault(call.account, []).append(_is_served(call))
        total = sum(map(sum, served.values()))
        for account, outcomes in served.items():
            if not any(outcomes) and min(len(outcomes), total) >= _MIN_CALLS:
                yield (
                    f"none of {len(outcomes)} streams of {account} was served while "
                    f"{total} of others were"
                )


def _is_judged(call: SentCall) -> bool:
    return (
        call.kind is CallKind.STREAM
        and call.outcome
        not in (CallOutcome.LEFT, CallOutcome.UNFINISHED, CallOutcome.NOT_CONNECTED)
        and not crashes_servers(call)
    )


def _is_served(call: SentCall) -> bool:
    return call.answer.is_complete and call.answer.status == 200
