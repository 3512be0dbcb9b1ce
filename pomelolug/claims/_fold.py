"""Deterministic fold of the claim records of one partition."""

import collections
import datetime
import enum
from collections.abc import Callable, Iterator
from typing import NamedTuple

import cbor2

from pomelolug.errors import ErrorCode, PeerError
from pomelolug.ids import Offset
from pomelolug.messages import Claim, ClaimBatch, ClaimUpdate, decode
from pomelolug.state import Fold, Record, RecordKind, VoidRecordError

__all__ = ["ClaimState", "ClaimsFold", "Verdict", "WinningClaim"]

DEFAULT_WINDOW = datetime.timedelta(hours=1)
# Has to be the same on every node, because verdicts depend on it.
MAX_CLAIMS = 250_000
MAX_NONCE_BYTES = 32
DIGEST_BYTES = 32
# 128 bits of the digest suffice to distinguish two bodies of one key.
STORED_BODY_DIGEST_BYTES = 16
MAX_INTERNED_HOLDERS = 4096
_EPOCH = datetime.datetime(1970, 1, 1, tzinfo=datetime.UTC)
_MILLISECOND = datetime.timedelta(milliseconds=1)


class ClaimState(enum.Enum):
    """State of a claim that won its key."""

    HELD = "held"
    RELEASED = "released"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


class Verdict(enum.Enum):
    """Result of a claim."""

    GRANTED = "granted"
    IN_PROGRESS = "in_progress"
    ALREADY_ANSWERED = "already_answered"
    OUTCOME_UNKNOWN = "outcome_unknown"
    KEY_REUSED = "key_reused"
    UNAVAILABLE = "unavailable"


class WinningClaim(NamedTuple):
    """Claim that won a key; `claimed_at_ms` is log time in milliseconds since 1970."""

    body_digest: bytes
    node: str
    incarnation: int
    nonce: bytes
    claimed_at_ms: int
    state: ClaimState


_VERDICT_BY_STATE = {
    ClaimState.HELD: Verdict.IN_PROGRESS,
    ClaimState.ANSWERED: Verdict.ALREADY_ANSWERED,
    ClaimState.UNKNOWN: Verdict.OUTCOME_UNKNOWN,
}
# Other processes conclude ``UNKNOWN`` about a silent holder; the holder itself
# knows the outcome and may still replace it. ``ANSWERED`` is final.
_ALLOWED_TRANSITIONS = {
    ClaimState.HELD: {ClaimState.RELEASED, ClaimState.ANSWERED, ClaimState.UNKNOWN},
    ClaimState.UNKNOWN: {ClaimState.RELEASED, ClaimState.ANSWERED},
    ClaimState.ANSWERED: set(),
}


class ClaimsFold(Fold):
    """Fold that determines which claim holds each key, from the records alone.

    The first claim of a key wins until it is released or the window has passed
    in log time. A released nonce is remembered for one window, so that a claim
    that reaches the log after its own release is ignored.

    Parameters
    ----------
    window : datetime.timedelta
        How long a key is remembered; has to be the same on every node.
    max_claims : int
        Largest number of keys that are remembered; further claims are not
        granted. Has to be the same on every node.
    """

    def __init__(
        self,
        *,
        window: datetime.timedelta = DEFAULT_WINDOW,
        max_claims: int = MAX_CLAIMS,
    ) -> None:
        self._window_ms = window // _MILLISECOND
        self._max_claims = max_claims
        self._log_time_ms = 0
        self._applied_offset = Offset(-1)
        self._observers: list[Callable[[], None]] = []
        self._winning_claims: dict[bytes, WinningClaim] = {}
        # Keys grouped by the log time of their claim, oldest first. A key that was
        # released and claimed again is listed twice.
        self._keys_by_claim_time: collections.deque[tuple[int, list[bytes]]] = (
            collections.deque()
        )
        self._interned_holders: dict[tuple[str, int], tuple[str, int]] = {}
        # Log time of the release of each released nonce, oldest first.
        self._released_nonces: collections.OrderedDict[bytes, int] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._winning_claims)

    @property
    def applied_offset(self) -> Offset:
        """Offset of the last applied record; -1 if there is none."""
        return self._applied_offset

    @property
    def log_time(self) -> datetime.datetime:
        """Latest log time of the applied records."""
        return _EPOCH + self._log_time_ms * _MILLISECOND

    def add_observer(self, observer: Callable[[], None]) -> None:
        """Call `observer` after each applied record and each restore."""
        self._observers.append(observer)

    def apply(self, record: Record) -> None:
        """Apply the next record; see `Fold.apply`."""
        if record.kind is not RecordKind.CLAIMS:
            raise VoidRecordError(
                ErrorCode.BAD_REQUEST, "record is not a claims record"
            )
        if record.offset <= self._applied_offset:
            raise VoidRecordError(ErrorCode.BAD_REQUEST, "record was already applied")
        try:
            batch = decode(record.body, ClaimBatch)
        except PeerError as error:
            raise VoidRecordError(error.code, "malformed claim batch") from error
        # Timestamps of the log may decrease slightly; the log time here does not.
        self._log_time_ms = max(
            self._log_time_ms, (record.timestamp - _EPOCH) // _MILLISECOND
        )
        self._applied_offset = record.offset
        self._expire()
        for claim in batch.claims:
            self._apply_claim(claim)
        for update in batch.updates:
            self._apply_update(update)
        self._notify()

    def _notify(self) -> None:
        for observer in self._observers:
            observer()

    def _expire(self) -> None:
        cutoff_ms = self._log_time_ms - self._window_ms
        while self._keys_by_claim_time and self._keys_by_claim_time[0][0] <= cutoff_ms:
            for key in self._keys_by_claim_time.popleft()[1]:
                winner = self._winning_claims.get(key)
                if winner is not None and winner.claimed_at_ms <= cutoff_ms:
                    del self._winning_claims[key]
        while (
            self._released_nonces
            and next(iter(self._released_nonces.values())) <= cutoff_ms
        ):
            self._released_nonces.popitem(last=False)

    def _apply_claim(self, claim: Claim) -> None:
        is_well_formed = (
            len(claim.key) == DIGEST_BYTES
            and len(claim.body) <= DIGEST_BYTES
            and 0 < len(claim.nonce) <= MAX_NONCE_BYTES
        )
        is_full = len(self._winning_claims) >= self._max_claims
        if not is_well_formed or is_full or claim.key in self._winning_claims:
            return
        if claim.nonce in self._released_nonces:
            return
        node, incarnation = self._intern_holder(claim.node, claim.incarnation)
        self._winning_claims[claim.key] = WinningClaim(
            body_digest=claim.body[:STORED_BODY_DIGEST_BYTES],
            node=node,
            incarnation=incarnation,
            nonce=claim.nonce,
            claimed_at_ms=self._log_time_ms,
            state=ClaimState.HELD,
        )
        self._index_by_claim_time(claim.key, self._log_time_ms)

    def _intern_holder(self, node: str, incarnation: int) -> tuple[str, int]:
        # Claims share one object per holder, as there are few holders and many claims.
        if len(self._interned_holders) >= MAX_INTERNED_HOLDERS:
            self._interned_holders.clear()
        return self._interned_holders.setdefault(
            (node, incarnation), (node, incarnation)
        )

    def _index_by_claim_time(self, key: bytes, claimed_at_ms: int) -> None:
        if (
            not self._keys_by_claim_time
            or self._keys_by_claim_time[-1][0] != claimed_at_ms
        ):
            self._keys_by_claim_time.append((claimed_at_ms, []))
        self._keys_by_claim_time[-1][1].append(key)

    def _apply_update(self, update: ClaimUpdate) -> None:
        try:
            state = ClaimState(update.state)
        except ValueError:
            return
        winner = self._winning_claims.get(update.key)
        if winner is None or winner.nonce != update.nonce:
            if state is ClaimState.RELEASED:
                self._remember_released_nonce(update.nonce)
            return
        if state not in _ALLOWED_TRANSITIONS[winner.state]:
            return
        if state is ClaimState.RELEASED:
            del self._winning_claims[update.key]
            self._remember_released_nonce(update.nonce)
        else:
            self._winning_claims[update.key] = winner._replace(state=state)

    def _remember_released_nonce(self, nonce: bytes) -> None:
        if (
            0 < len(nonce) <= MAX_NONCE_BYTES
            and len(self._released_nonces) < self._max_claims
        ):
            self._released_nonces.setdefault(nonce, self._log_time_ms)

    def winning_claim(self, key: bytes) -> WinningClaim | None:
        """Return the claim that won `key`, or None if the key is free."""
        return self._winning_claims.get(key)

    def held_claims(self, node: str) -> Iterator[tuple[bytes, WinningClaim]]:
        """Yield the key and the claim of each ``HELD`` claim of `node`."""
        for key, winner in self._winning_claims.items():
            if winner.node == node and winner.state is ClaimState.HELD:
                yield key, winner

    def holders(self) -> frozenset[tuple[str, int]]:
        """Return node and incarnation of each process with a ``HELD`` claim."""
        return frozenset(
            (winner.node, winner.incarnation)
            for winner in self._winning_claims.values()
            if winner.state is ClaimState.HELD
        )

    def verdict(self, claim: Claim) -> Verdict:
        """Return the verdict of the applied records on a claim that is on the log."""
        winner = self._winning_claims.get(claim.key)
        if winner is None:
            return Verdict.UNAVAILABLE
        if winner.nonce == claim.nonce:
            if winner.state is ClaimState.HELD:
                return Verdict.GRANTED
            return _VERDICT_BY_STATE[winner.state]
        if winner.body_digest != claim.body[:STORED_BODY_DIGEST_BYTES]:
            return Verdict.KEY_REUSED
        return _VERDICT_BY_STATE[winner.state]

    def dump(self) -> bytes:
        """Return the state; see `Fold.dump`."""
        claims = [
            [
                key,
                claim.body_digest,
                claim.node,
                claim.incarnation,
                claim.nonce,
                claim.claimed_at_ms,
                claim.state.value,
            ]
            for key, claim in self._winning_claims.items()
        ]
        released_nonces = [
            [nonce, released_at_ms]
            for nonce, released_at_ms in self._released_nonces.items()
        ]
        state = [self._applied_offset, self._log_time_ms, claims, released_nonces]
        return cbor2.dumps(state, canonical=True)

    def restore(self, data: bytes) -> None:
        """Replace the state; see `Fold.restore`."""
        applied_offset, log_time_ms, claims, released_nonces = cbor2.loads(data)
        self._applied_offset = Offset(applied_offset)
        self._log_time_ms = log_time_ms
        self._winning_claims = {}
        self._keys_by_claim_time.clear()
        for key, body_digest, node, incarnation, nonce, claimed_at_ms, state in claims:
            holder = self._intern_holder(node, incarnation)
            self._winning_claims[key] = WinningClaim(
                body_digest, *holder, nonce, claimed_at_ms, ClaimState(state)
            )
            self._index_by_claim_time(key, claimed_at_ms)
        self._released_nonces = collections.OrderedDict(
            (nonce, released_at_ms) for nonce, released_at_ms in released_nonces
        )
        self._notify()
