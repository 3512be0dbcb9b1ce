"""Limit of the bytes of response bodies that a process holds at a time."""

__all__ = ["BufferBudget"]


class BufferBudget:
    """Bytes that the bodies in assembly may occupy together.

    Parameters
    ----------
    limit : int
        Maximum number of bytes.

    Examples
    --------
    >>> budget = BufferBudget(10)
    >>> budget.try_reserve(8), budget.try_reserve(8)
    (True, False)
    >>> budget.release(8)
    >>> budget.try_reserve(8)
    True
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._reserved = 0

    def try_reserve(self, size: int) -> bool:
        """Reserve `size` bytes; return whether they were available."""
        if self._reserved + size > self._limit:
            return False
        self._reserved += size
        return True

    def release(self, size: int) -> None:
        """Return bytes that were reserved."""
        self._reserved -= size
