"""Bound of the bytes that a process holds for its connections."""

__all__ = ["MemoryAccount", "MemoryBudget"]

_BUDGET_SHARE = 2
"""Divisor of the memory limit; the rest is the interpreter, its lists and copies."""
_SHARES = 4
"""Parts of the budget: one only for small holdings, one only for large ones."""
_SMALL_BYTES = 64 * 1024
"""Largest holding of a connection that counts as small: most requests are smaller."""


class MemoryBudget:
    """Bytes that all connections of a process hold together.

    A quarter is kept for connections that hold little and a quarter for those that
    hold much, so that neither kind takes the memory of the other. Both share the rest.

    Parameters
    ----------
    total : int or None
        Maximum number of bytes, None without a bound.

    Examples
    --------
    >>> budget = MemoryBudget(400_000)
    >>> budget.try_reserve(300_000), budget.try_reserve(100_001)
    (True, False)
    >>> budget.try_reserve(50_000)
    True
    >>> budget.release(300_000)
    >>> budget.held_bytes
    50000
    """

    def __init__(self, total: int | None) -> None:
        self._total = total
        self._own_part = 0 if total is None else total // _SHARES
        # Bytes held by connections that hold little, and by those that hold much.
        self._held = [0, 0]

    @classmethod
    def for_process(cls, memory_limit: int | None) -> "MemoryBudget":
        """Return the budget of a process that may use `memory_limit` bytes."""
        return cls(None if memory_limit is None else memory_limit // _BUDGET_SHARE)

    @property
    def total_bytes(self) -> int | None:
        """Maximum number of bytes, None without a bound."""
        return self._total

    @property
    def held_bytes(self) -> int:
        """Number of bytes held, which may exceed the total by what was not refused."""
        return sum(self._held)

    @property
    def connection_limit(self) -> int | None:
        """Maximum number of bytes of one connection, None without a bound."""
        return None if self._total is None else self._own_part

    def open_account(self) -> "MemoryAccount":
        """Return the account of a connection that holds nothing yet."""
        return MemoryAccount(self)

    def try_reserve(self, count: int) -> bool:
        """Reserve bytes of no account; return whether they were available."""
        return self.try_replace(0, count)

    def release(self, count: int) -> None:
        """Return bytes that `try_reserve` has reserved with one call."""
        self.replace(count, 0)

    def can_replace(self, old: int, new: int) -> bool:
        """Return whether a holding of `old` bytes may become one of `new` bytes."""
        if self._total is None or new <= old:
            return True
        is_large = new > _SMALL_BYTES
        kind = self._held[is_large] + new
        if (old > _SMALL_BYTES) == is_large:
            kind -= old
        if kind <= self._own_part:
            return True
        held = self.held_bytes - old + new
        return kind <= self._total - self._own_part and held <= self._total

    def try_replace(self, old: int, new: int) -> bool:
        """Change a holding of `old` to `new` bytes; return whether they fit."""
        if not self.can_replace(old, new):
            return False
        self.replace(old, new)
        return True

    def replace(self, old: int, new: int) -> None:
        """Change a holding of `old` to `new` bytes, which are held already."""
        self._held[old > _SMALL_BYTES] -= old
        self._held[new > _SMALL_BYTES] += new


class MemoryAccount:
    """Bytes that one connection holds.

    Parameters
    ----------
    budget : MemoryBudget
        Budget of all connections.
    """

    __slots__ = ("_budget", "_held", "_limit")

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._limit = budget.connection_limit
        self._held = 0

    @property
    def held_bytes(self) -> int:
        """Number of bytes that the connection holds."""
        return self._held

    def can_reserve(self, count: int) -> bool:
        """Return whether the connection may hold `count` bytes more."""
        new = self._held + count
        if self._limit is not None and new > self._limit:
            return False
        return self._budget.can_replace(self._held, new)

    def try_reserve(self, count: int) -> bool:
        """Reserve bytes; return whether the connection and all together may."""
        if not self.can_reserve(count):
            return False
        self.add(count)
        return True

    def add(self, count: int) -> None:
        """Count bytes that the connection holds already, whether they fit or not."""
        self._budget.replace(self._held, self._held + count)
        self._held += count

    def release(self, count: int) -> None:
        """Return bytes that are no longer held."""
        self.add(-count)
