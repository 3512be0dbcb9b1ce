"""Frames that errors keep in memory after they have been handled."""

__all__ = ["drop_tracebacks"]


def drop_tracebacks(error: BaseException) -> None:
    """Drop the tracebacks of an error and of those that it was raised from.

    The frames of a traceback hold the request, and often the error itself. Only the
    garbage collector would free such a cycle, long after the memory budget has counted
    the request as gone.
    """
    chain: list[BaseException | None] = [error]
    seen: set[int] = set()
    while chain:
        current = chain.pop()
        if current is None or id(current) in seen:
            continue
        seen.add(id(current))
        current.__traceback__ = None
        chain += [current.__cause__, current.__context__]
