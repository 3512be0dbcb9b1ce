"""When which entry VM or server was disturbed by an injected fault."""

import dataclasses

__all__ = ["Disturbances"]

_EVERYWHERE = ""


@dataclasses.dataclass(kw_only=True)
class _Span:
    places: frozenset[str]
    start: float
    planned: bool
    end: float | None = None


class Disturbances:
    """Spans in which bounds in time are suspended at some places."""

    def __init__(self) -> None:
        self._spans: list[_Span] = []

    def begin(self, *places: str, at: float, planned: bool) -> _Span:
        """Begin a span; without a place it concerns every one."""
        span = _Span(
            places=frozenset(places or (_EVERYWHERE,)), start=at, planned=planned
        )
        self._spans.append(span)
        return span

    def touches(self, place: str, start: float, end: float) -> bool:
        """Return whether an entry VM or server was disturbed in a span of time."""
        return any(
            _overlaps(span, start, end)
            for span in self._spans
            if place in span.places or _EVERYWHERE in span.places
        )

    def any_unplanned(self, start: float, end: float) -> bool:
        """Return whether anything unplanned happened in a span of time."""
        return any(
            _overlaps(span, start, end) for span in self._spans if not span.planned
        )


def _overlaps(span: _Span, start: float, end: float) -> bool:
    return span.start <= end and (span.end is None or span.end >= start)
