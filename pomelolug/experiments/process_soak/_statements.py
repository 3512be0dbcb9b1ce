"""Checks that entry VMs keep to what servers state in their responses."""

from collections.abc import Iterable, Iterator, Mapping

from pomelolug.experiments.process_soak._calls import (
    CallOutcome,
    SentCall,
    ServerRun,
    TurnedAwayRequest,
)
from pomelolug.experiments.process_soak._disturbances import FaultWindows

__all__ = ["departure_violations", "pause_violations"]

_DRAIN_LIMIT_S = 2.0
"""Time after a response with a statement from which requests must not be sent."""
_PAUSE_KNOWN_S = 0.5
"""Time after a refusal from which requests count."""
_MAX_REQUESTS_IN_PAUSE = 2
_LINK_DELAY_S = 1.0
"""Time before a refusal from which a disturbed link may have held requests back."""


def departure_violations(
    calls: Mapping[str, SentCall], runs: Iterable[ServerRun], windows: FaultWindows
) -> Iterator[str]:
    """Yield the runs at servers that had told the entry VM that they leave.

    A fault of the store excuses none of them, but one of the entry VM does.
    """
    told_at_s: dict[tuple[str, int, str], float] = {}
    leaving = [
        (run, call)
        for run in runs
        if run.is_server_leaving and (call := calls.get(run.request_id)) is not None
    ]
    for run, call in leaving:
        if call.outcome is CallOutcome.ANSWERED:
            key = (run.vm, run.life, call.entry)
            told_at_s[key] = min(told_at_s.get(key, call.ended_at_s), call.ended_at_s)
    for run, call in leaving:
        told_s = told_at_s.get((run.vm, run.life, call.entry), float("inf"))
        if call.sent_at_s > told_s + _DRAIN_LIMIT_S and not windows.is_affected(
            call.entry, told_s, run.started_at_s, by_store=False
        ):
            yield (
                f"{run.request_id} ran at {run.vm}, which had told {call.entry} "
                f"{call.sent_at_s - told_s:.1f} s before that it leaves"
            )


def pause_violations(
    calls: Mapping[str, SentCall],
    runs: Iterable[ServerRun],
    turned_away: Iterable[TurnedAwayRequest],
    windows: FaultWindows,
) -> Iterator[str]:
    """Yield the pauses in which an entry VM sent more requests than allowed.

    Faults of the entry VM and of the link to the server excuse them, those of the store
    do not. An entry VM ends the request of a caller who leaves, so it does not read a
    refusal that is sent then.
    """
    refusals = list(turned_away)
    arrivals = [(r.vm, r.life, r.request_id, r.started_at_s) for r in runs]
    arrivals += [(r.vm, r.life, r.request_id, r.at_s) for r in refusals]
    for refusal in refusals:
        call = calls.get(refusal.request_id)
        until_s = refusal.at_s + refusal.pause_s
        if (
            call is None
            or _left_unread(refusal, call)
            or any(
                windows.is_affected(
                    name, refusal.at_s - _LINK_DELAY_S, until_s, by_store=False
                )
                for name in (call.entry, refusal.vm)
            )
        ):
            continue
        entry = call.entry
        count = sum(
            refusal.at_s + _PAUSE_KNOWN_S < at_s < until_s
            and (vm, life) == (refusal.vm, refusal.life)
            and (sent := calls.get(request_id)) is not None
            and sent.entry == entry
            for vm, life, request_id, at_s in arrivals
        )
        if count > _MAX_REQUESTS_IN_PAUSE:
            yield (
                f"{refusal.vm} asked {entry} for a pause of {refusal.pause_s} s and "
                f"got {count} requests in it"
            )


def _left_unread(refusal: TurnedAwayRequest, call: SentCall) -> bool:
    """Return whether the caller left before the entry VM had to know of a refusal."""
    return (
        call.outcome is CallOutcome.LEFT
        and call.ended_at_s <= refusal.at_s + _PAUSE_KNOWN_S
    )
