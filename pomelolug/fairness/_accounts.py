"""Slots held by accounts, and the reserve that protects their shares."""

from pomelolug.ids import AccountId

__all__ = ["AccountShares"]

_RESERVE_FRACTION = 0.12
_OVER_SHARE_FACTOR = 3.0
# An account is active for this time after a request, and while it holds a slot.
_ACTIVE_WINDOW_S = 10.0
# The reserve is recomputed at this interval, and when one of few accounts is new.
# With many accounts, it is recomputed so much more rarely that its cost stays the same.
_SNAPSHOT_INTERVAL_S = 0.05
_FEW_ACCOUNTS = 256
_MAX_ACCOUNTS = 4096


class AccountShares:
    """Reserves a few slots for accounts that hold less than their share.

    Any account may use slots that other accounts leave unused. However, an account
    that holds three times its share, or half-way between its share and all slots if
    that is less, must leave the reserve free. Otherwise a request of another account
    would have to wait until a long request ends. The reserve is at most 12% of the
    slots and never exceeds the unused part of the shares of active accounts, so a
    pool is filled completely if all accounts want more than their share.

    Examples
    --------
    >>> shares = AccountShares()
    >>> shares.on_request("big", weight=1.0, now_s=0.0)
    >>> shares.on_request("small", weight=1.0, now_s=0.0)
    >>> for _ in range(80):
    ...     shares.on_grant("big")
    >>> shares.reserved_slots("big", free=20, now_s=0.0)
    12
    >>> shares.reserved_slots("small", free=20, now_s=0.0)
    0
    """

    def __init__(self) -> None:
        self._held: dict[AccountId, int] = {}
        self._total_held = 0
        self._last_requests: dict[AccountId, tuple[float, float]] = {}
        self._total_weight = 1.0
        self._reserved_slots = 0
        self._snapshot_at_s = -_SNAPSHOT_INTERVAL_S

    def held(self, account: AccountId) -> int:
        """Return the number of slots held by `account`."""
        return self._held.get(account, 0)

    def on_request(self, account: AccountId, *, weight: float, now_s: float) -> None:
        """Record a request, which makes its account active."""
        is_new = account not in self._last_requests
        self._last_requests[account] = (max(weight, 1e-6), now_s)
        if not is_new:
            return
        if len(self._last_requests) <= _FEW_ACCOUNTS:
            self._snapshot_at_s = now_s - _SNAPSHOT_INTERVAL_S
        else:
            self._total_weight += self._last_requests[account][0]

    def on_grant(self, account: AccountId) -> None:
        """Record that `account` took a slot."""
        self._held[account] = self._held.get(account, 0) + 1
        self._total_held += 1

    def on_release(self, account: AccountId) -> None:
        """Record that `account` released a slot."""
        self._held[account] -= 1
        self._total_held -= 1
        if self._held[account] == 0:
            del self._held[account]

    def reserved_slots(self, account: AccountId, *, free: int, now_s: float) -> int:
        """Return the number of slots that `account` must leave free.

        Parameters
        ----------
        account : AccountId
            Account of the request.
        free : int
            Number of free slots.
        now_s : float
            Monotonic time in seconds.
        """
        total = self._total_held + max(free, 0)
        many = max(len(self._last_requests) / _FEW_ACCOUNTS, 1.0)
        if now_s - self._snapshot_at_s >= many * _SNAPSHOT_INTERVAL_S:
            self._take_snapshot(total, now_s)
        weight = self._last_requests.get(account, (1.0, now_s))[0]
        share = total * weight / self._total_weight
        over_share_limit = min(_OVER_SHARE_FACTOR * share, (share + total) / 2.0)
        return self._reserved_slots if self.held(account) >= over_share_limit else 0

    def _take_snapshot(self, total: int, now_s: float) -> None:
        """Recompute the total weight and the reserve from the active accounts."""
        self._snapshot_at_s = now_s
        if len(self._last_requests) > _MAX_ACCOUNTS:
            self._last_requests = {
                account: entry
                for account, entry in self._last_requests.items()
                if now_s - entry[1] < _ACTIVE_WINDOW_S
            }
        active = {
            account: weight
            for account, (weight, requested_at_s) in self._last_requests.items()
            if now_s - requested_at_s < _ACTIVE_WINDOW_S or account in self._held
        }
        self._total_weight = sum(active.values()) or 1.0
        unused = sum(
            max(total * weight / self._total_weight - self.held(account), 0.0)
            for account, weight in active.items()
        )
        self._reserved_slots = int(min(_RESERVE_FRACTION * total, unused))
