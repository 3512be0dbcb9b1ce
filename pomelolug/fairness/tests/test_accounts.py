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


def test_thousands_of_accounts_are_not_examined_for_each_request(monkeypatch):
    # Guards against a dispatcher or gateway that spends its time on the shares of
    # thousands of accounts, of which each request may bring a new one.
    examined = []
    take_snapshot = AccountShares._take_snapshot
    monkeypatch.setattr(
        AccountShares,
        "_take_snapshot",
        lambda shares, *args: (
            examined.append(len(shares._last_requests)),
            take_snapshot(shares, *args),
        ),
    )
    shares = AccountShares()
    request_count = 5000
    for number in range(request_count):
        now_s = number / 500
        shares.on_request(f"a{number}", weight=1.0, now_s=now_s)
        shares.reserved_slots(f"a{number}", free=10, now_s=now_s)
    assert sum(examined) <= 100 * request_count


def test_new_account_among_many_lowers_the_share_of_the_others_at_once():
    # Guards against shares that are too large while the accounts are not examined.
    shares = account_shares(dict.fromkeys(map(str, range(1000)), 0) | {"big": 4})
    assert shares.reserved_slots("big", free=996, now_s=1.001) > 0
    for number in range(1000, 4000):
        shares.on_request(str(number), weight=1.0, now_s=1.002)
    shares.on_grant("1")
    # A share of a quarter of a slot; four slots are more than three times as much.
    assert shares.reserved_slots("1", free=996, now_s=1.003) > 0


def test_inactive_account_has_no_reserve():
    shares = account_shares({"big": 90, "gone": 0})
    assert shares.reserved_slots("big", free=10, now_s=1.0) > 0
    shares.on_request("big", weight=1.0, now_s=30.0)
    assert shares.reserved_slots("big", free=10, now_s=30.0) == 0
