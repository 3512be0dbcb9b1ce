"""Guards against folds that differ between nodes or lose a holder."""

import datetime

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pomelolug.claims import ClaimsFold, ClaimState, Verdict
from pomelolug.claims.tests.fake_stream import claim, record
from pomelolug.errors import ErrorCode
from pomelolug.messages import ClaimBatch, ClaimUpdate
from pomelolug.state import RecordKind, VoidRecordError

KEY = b"k" * 32
HOUR = 3600


def make(**options):
    return ClaimsFold(window=datetime.timedelta(hours=1), **options)


def batch(*claims, updates=()):
    return ClaimBatch(claims=claims, updates=updates)


def update(nonce, state, key=KEY):
    return ClaimUpdate(key=key, nonce=nonce, state=state)


def test_first_claim_wins_until_the_window_has_passed_in_log_time():
    fold = make()
    fold.apply(record(0, batch(claim(nonce=b"1"))))
    fold.apply(record(1, batch(claim(nonce=b"2")), seconds=HOUR - 1))
    assert fold.verdict(claim(nonce=b"1")) is Verdict.GRANTED
    assert fold.verdict(claim(nonce=b"2")) is Verdict.IN_PROGRESS
    fold.apply(record(2, batch(claim(nonce=b"3")), seconds=HOUR))
    assert fold.verdict(claim(nonce=b"3")) is Verdict.GRANTED


def test_decreasing_timestamp_neither_restores_nor_shortens_a_claim():
    fold = make()
    fold.apply(record(0, batch(claim(nonce=b"1")), seconds=100))
    fold.apply(record(1, batch(claim(key=b"l" * 32, nonce=b"2")), seconds=0))
    fold.apply(record(2, batch(), seconds=HOUR + 99))
    assert len(fold) == 2
    fold.apply(record(3, batch(), seconds=HOUR + 100))
    assert len(fold) == 0


def test_claim_after_its_own_release_is_ignored():
    fold = make()
    fold.apply(record(0, batch(updates=(update(b"1", "released"),))))
    fold.apply(record(1, batch(claim(nonce=b"1"))))
    assert fold.winning_claim(KEY) is None


def test_only_the_holder_changes_a_claim():
    fold = make()
    fold.apply(record(0, batch(claim(nonce=b"1"))))
    for state in ("released", "answered", "unknown", "nonsense"):
        fold.apply(
            record(fold.applied_offset + 1, batch(updates=(update(b"2", state),)))
        )
    assert fold.verdict(claim(nonce=b"1")) is Verdict.GRANTED


@pytest.mark.parametrize("state", ["released", "unknown", "held"])
def test_answered_claim_stays_answered(state):
    fold = make()
    fold.apply(record(0, batch(claim(nonce=b"1"), updates=(update(b"1", "answered"),))))
    fold.apply(record(1, batch(updates=(update(b"1", state),))))
    assert fold.verdict(claim(nonce=b"2")) is Verdict.ALREADY_ANSWERED


def test_memory_is_bounded_and_a_full_fold_grants_nothing():
    fold = make(max_claims=10)
    for number in range(20):
        key = bytes([number]) * 32
        releases = (update(b"r%d" % number, "released"),)
        fold.apply(record(number, batch(claim(key=key), updates=releases)))
    assert len(fold) == 10
    last = claim(key=bytes([19]) * 32)
    assert fold.verdict(last) is Verdict.UNAVAILABLE
    assert len(fold._released_nonces) == 10
    fold.apply(record(20, batch(last), seconds=HOUR))
    assert fold.verdict(last) is Verdict.GRANTED


def test_foreign_repeated_and_malformed_records_are_void():
    fold = make()
    fold.apply(record(5, batch(claim())))
    before = fold.dump()
    for bad in (
        record(5, batch(claim(key=b"l" * 32))),
        record(6, batch(), kind=RecordKind.DRAIN),
        record(6, b"\xff"),
    ):
        with pytest.raises(VoidRecordError):
            fold.apply(bad)
    assert fold.dump() == before


def test_malformed_claims_are_ignored():
    fold = make()
    bad = [
        claim(key=b"k"),
        claim(body=b"b" * 33),
        claim(nonce=b""),
        claim(nonce=KEY * 2),
    ]
    fold.apply(record(0, batch(*bad)))
    assert len(fold) == 0


KEYS = st.sampled_from([b"a" * 32, b"b" * 32, b"c" * 32])
NONCES = st.sampled_from([b"1", b"2", b"3", b"4"])
CLAIMS = st.builds(claim, key=KEYS, nonce=NONCES, body=st.sampled_from([b"x", b"y"]))
STATES = st.sampled_from(["released", "answered", "unknown"])
UPDATES = st.builds(update, NONCES, STATES, key=KEYS)
BATCHES = st.builds(
    ClaimBatch,
    claims=st.lists(CLAIMS, max_size=3).map(tuple),
    updates=st.lists(UPDATES, max_size=3).map(tuple),
)
RECORDS = st.lists(st.tuples(BATCHES, st.integers(0, 3 * HOUR)), max_size=12)


@settings(max_examples=200, deadline=None)
@given(RECORDS, st.integers(0, 12))
def test_restore_at_any_record_leads_to_the_same_checkpoint(records, cut):
    whole, resumed = make(), make()
    for offset, (content, seconds) in enumerate(records):
        if offset == cut:
            resumed.restore(whole.dump())
        whole.apply(record(offset, content, seconds=seconds))
        if offset >= cut:
            resumed.apply(record(offset, content, seconds=seconds))
    if cut < len(records):
        assert resumed.dump() == whole.dump()
    again = make()
    again.restore(whole.dump())
    assert again.dump() == whole.dump()


@settings(max_examples=200, deadline=None)
@given(RECORDS)
def test_holder_changes_only_by_release_or_expiry(records):
    fold = make()
    for offset, (content, seconds) in enumerate(records):
        before = {
            key: fold.winning_claim(key) for key in (b"a" * 32, b"b" * 32, b"c" * 32)
        }
        fold.apply(record(offset, content, seconds=seconds))
        now = fold._log_time_ms
        for key, old in before.items():
            new = fold.winning_claim(key)
            if old is None or (new and new.nonce == old.nonce):
                continue
            is_released = update(old.nonce, "released", key) in content.updates
            assert is_released or old.claimed_at_ms + HOUR * 1000 <= now
            assert not (is_released and old.state is ClaimState.ANSWERED) or (
                old.claimed_at_ms + HOUR * 1000 <= now
            )


def test_refusing_verdicts_have_the_values_of_error_codes():
    refusals = {v for v in Verdict if v not in (Verdict.GRANTED, Verdict.UNAVAILABLE)}
    assert {v.value for v in refusals} <= {code.value for code in ErrorCode}
