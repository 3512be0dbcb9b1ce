"""When which entry VM or server was disturbed by an injected fault."""

import dataclasses

__all__ = ["FaultWindows"]

_ALL_TARGETS = ""


@dataclasses.dataclass(kw_only=True)
class FaultWindow:
    targets: frozenset[str]
    start_s: float
    is_planned: bool
    end_s: float | None = None


class FaultWindows:
    """Spans in which bounds in time are suspended at some places."""

    def __init__(self) -> None:
        self._windows: list[FaultWindow] = []

    def open(self, *targets: str, start_s: float, is_planned: bool) -> FaultWindow:
        """Begin a span; without a place it concerns every one."""
        window = FaultWindow(
            targets=frozenset(targets or (_ALL_TARGETS,)),
            start_s=start_s,
            is_planned=is_planned,
        )
        self._windows.append(window)
        return window

    def is_affected(self, target: str, start_s: float, end_s: float) -> bool:
        """Return whether an entry VM or server was disturbed in a span of time."""
        return any(
            _overlaps(window, start_s, end_s)
            for window in self._windows
            if target in window.targets or _ALL_TARGETS in window.targets
        )

    def has_unplanned(self, start_s: float, end_s: float) -> bool:
        """Return whether anything unplanned happened in a span of time."""
        return any(
            _overlaps(window, start_s, end_s)
            for window in self._windows
            if not window.is_planned
        )


def _overlaps(window: FaultWindow, start_s: float, end_s: float) -> bool:
    return window.start_s <= end_s and (window.end_s is None or window.end_s >= start_s)
