"""Tests that slots are not reserved for accounts that do not need them."""

from pomelolug.fairness import AccountShares


def account_shares(held):
    shares = AccountShares()
    for account, slots in held.items():
        shares.on_request(account, weight=1.0, now_s=0.0)
        for _ in range(slots):
            shares.on_grant(account)
    return shares


def test_reserve_is_at_most_the_unused_part_of_shares():
    held = {f"full{number}": 2 for number in range(46)}
    held |= {"big": 8, "idle0": 0, "idle1": 1, "idle2": 2}
    # 103 slots and 50 accounts: shares of 2.06, of which 5.9 slots are unused.
    assert 0 < account_shares(held).reserved_slots("big", free=0, now_s=0.0) < 6


def test_inactive_account_has_no_reserve():
    shares = account_shares({"big": 90, "gone": 0})
    assert shares.reserved_slots("big", free=10, now_s=1.0) > 0
    shares.on_request("big", weight=1.0, now_s=30.0)
    assert shares.reserved_slots("big", free=10, now_s=30.0) == 0
