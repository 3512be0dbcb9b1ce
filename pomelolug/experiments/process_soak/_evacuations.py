"""Checks that entry VMs send nothing to the servers of evacuated zones."""

import dataclasses
from collections.abc import Iterable, Iterator, Mapping

from pomelolug.experiments.process_soak._calls import SentCall, ServerRun
from pomelolug.experiments.process_soak._disturbances import (
    QUIET_PERIOD_S,
    SOAK_PROCESS,
    FaultWindows,
)
from pomelolug.testing import EVACUATION_TIME_S

__all__ = ["EvacuationChecker"]

_BACK_IN_USE_S = 2.0
"""Time after the end of the last evacuation from which the zone has to be used."""
_MIN_RUNS_AFTER = 50
"""Runs after that time from which on none of them in the zone shows a fault."""


@dataclasses.dataclass(kw_only=True)
class _Evacuation:
    zone: str
    start_s: float
    end_s: float = float("inf")


class EvacuationChecker:
    """Evacuations as the store acknowledged them, and the zones of servers."""

    def __init__(self) -> None:
        self._evacuations: list[_Evacuation] = []
        self._zones: dict[str, str] = {}

    def record_server(self, vm: str, zone: str) -> None:
        """Record the zone of a server."""
        self._zones[vm] = zone

    def record_evacuation(self, zone: str, at_s: float) -> None:
        """Record when the order to evacuate a zone was stored."""
        if not any(e.zone == zone and e.end_s > at_s for e in self._evacuations):
            self._evacuations.append(_Evacuation(zone=zone, start_s=at_s))

    def record_end(self, zone: str, at_s: float) -> None:
        """Record when the removal of that order was stored."""
        for evacuation in self._evacuations:
            if evacuation.zone == zone:
                evacuation.end_s = min(evacuation.end_s, at_s)

    def violations(
        self,
        calls: Mapping[str, SentCall],
        runs: Iterable[ServerRun],
        windows: FaultWindows,
    ) -> Iterator[str]:
        """Yield the runs in evacuated zones, and a zone that was not used again.

        Calls at entry VMs that a fault affects do not count, since they may hear of
        the order late.
        """
        runs = list(runs)
        for run in runs:
            call = calls.get(run.request_id)
            for evacuation in self._evacuations:
                if (
                    call is not None
                    and self._zones.get(run.vm) == evacuation.zone
                    and call.sent_at_s > evacuation.start_s + EVACUATION_TIME_S
                    and run.started_at_s < evacuation.end_s
                    and not _is_affected(call, run, windows)
                ):
                    yield (
                        f"{run.request_id} ran at {run.vm} in {evacuation.zone} "
                        f"{run.started_at_s - evacuation.start_s:.1f} s after its "
                        "evacuation"
                    )
        if self._evacuations:
            yield from self._disuse_violations(self._evacuations[-1], runs)

    def _disuse_violations(
        self, evacuation: _Evacuation, runs: Iterable[ServerRun]
    ) -> Iterator[str]:
        after = [r for r in runs if r.started_at_s > evacuation.end_s + _BACK_IN_USE_S]
        if len(after) >= _MIN_RUNS_AFTER and not any(
            self._zones.get(run.vm) == evacuation.zone for run in after
        ):
            yield f"{evacuation.zone} was not used again after its evacuation"


def _is_affected(call: SentCall, run: ServerRun, windows: FaultWindows) -> bool:
    start_s, end_s = call.sent_at_s, run.started_at_s
    # A link or a server that held the request back starts it late.
    return windows.is_affected(SOAK_PROCESS, start_s, end_s) or any(
        windows.is_affected(target, start_s - QUIET_PERIOD_S, end_s)
        for target in (call.entry, run.vm)
    )
