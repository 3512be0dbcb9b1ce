"""Limit of the bytes of response bodies that a process holds at a time."""

from pomelolug.transport._memory_budget import MemoryBudget

__all__ = ["BufferBudget"]


class BufferBudget:
    """Bytes that the bodies in assembly may occupy together.

    Parameters
    ----------
    limit : int
        Maximum number of bytes.
    memory_budget : MemoryBudget or None
        Budget of the process, which the bytes are charged to as well.

    Examples
    --------
    >>> budget = BufferBudget(10)
    >>> budget.try_reserve(8), budget.try_reserve(8)
    (True, False)
    >>> budget.release(8)
    >>> budget.try_reserve(8)
    True
    """

    def __init__(
        self, limit: int, *, memory_budget: MemoryBudget | None = None
    ) -> None:
        self._limit = limit
        self._memory_budget = memory_budget or MemoryBudget(None)
        self._reserved = 0

    def try_reserve(self, size: int) -> bool:
        """Reserve `size` bytes; return whether they were available."""
        if self._reserved + size > self._limit:
            return False
        old = self._reserved
        if not self._memory_budget.try_replace(old, old + size):
            return False
        self._reserved += size
        return True

    def release(self, size: int) -> None:
        """Return bytes that were reserved."""
        self._memory_budget.replace(self._reserved, self._reserved - size)
        self._reserved -= size
