"""Time windows in which injected faults affected entry VMs or servers."""

import dataclasses
from collections.abc import Container

__all__ = [
    "QUIET_PERIOD_S",
    "SOAK_PROCESS",
    "FaultWindow",
    "FaultWindows",
    "server_targets",
]

QUIET_PERIOD_S = 4.0
"""Time after a fault window at which time bounds apply again."""

SOAK_PROCESS = "soak"
"""Target of windows in which the soak itself, with its callers and proxies, paused."""

_ALL_TARGETS = ""


@dataclasses.dataclass(eq=False, kw_only=True)
class FaultWindow:
    """Window in which a fault or planned work affects its targets."""

    targets: frozenset[str]
    start_s: float
    is_planned: bool
    is_of_store: bool = False
    end_s: float | None = None

    def overlaps(self, start_s: float, end_s: float) -> bool:
        """Return whether the window overlaps a time span."""
        has_ended = self.end_s is not None and self.end_s < start_s
        return self.start_s <= end_s and not has_ended


class FaultWindows:
    """Windows in which time bounds are suspended for some targets."""

    def __init__(self) -> None:
        self._windows: list[FaultWindow] = []

    def open(
        self,
        *targets: str,
        start_s: float,
        is_planned: bool,
        is_of_store: bool = False,
    ) -> FaultWindow:
        """Open a window for `targets`, or for every target if there are none."""
        window = FaultWindow(
            targets=frozenset(targets or (_ALL_TARGETS,)),
            start_s=start_s,
            is_planned=is_planned,
            is_of_store=is_of_store,
        )
        self._windows.append(window)
        return window

    def is_affected(
        self,
        target: str,
        start_s: float,
        end_s: float,
        *,
        by_store: bool = True,
        ignored: Container[FaultWindow] = (),
    ) -> bool:
        """Return whether a window of an entry VM or server overlaps the time span.

        Without `by_store`, faults of the store do not count; `ignored` windows neither.
        """
        return any(
            window.overlaps(start_s, end_s)
            for window in self._windows
            if (target in window.targets or _ALL_TARGETS in window.targets)
            and (by_store or not window.is_of_store)
            and window not in ignored
        )

    def has_unplanned(self, start_s: float, end_s: float) -> bool:
        """Return whether the window of an unplanned fault overlaps the time span."""
        return any(
            window.overlaps(start_s, end_s)
            for window in self._windows
            if not window.is_planned
        )


def server_targets(vm: str) -> tuple[str, str]:
    """Return the targets that stand for the process of a server and for its kind.

    Windows of faults that do not suspend the time bounds of a server have only these.
    """
    process = vm.partition("-vm-")[0]
    return process, process.partition("-")[0]
