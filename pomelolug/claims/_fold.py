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

__all__ = ["ClaimState", "ClaimsFold", "Holding", "Verdict"]

DEFAULT_WINDOW = datetime.timedelta(hours=1)
# The same on every node, as it decides about verdicts.
MAX_CLAIMS = 250_000
MAX_NONCE_BYTES = 32
DIGEST_BYTES = 32
# 128 bits of the digest tell two bodies of one key apart.
BODY_BYTES = 16
MAX_HOLDERS = 4096
_EPOCH = datetime.datetime(1970, 1, 1, tzinfo=datetime.UTC)
_MILLISECOND = datetime.timedelta(milliseconds=1)


class ClaimState(enum.Enum):
    """What became of a claim that won."""

    HELD = "held"
    RELEASED = "released"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


class Verdict(enum.Enum):
    """Answer to a claim."""

    GRANTED = "granted"
    IN_PROGRESS = "in_progress"
    ALREADY_ANSWERED = "already_answered"
    OUTCOME_UNKNOWN = "outcome_unknown"
    KEY_REUSED = "key_reused"
    UNAVAILABLE = "unavailable"


class Holding(NamedTuple):
    """The claim that won a key; `stamp` is log time in milliseconds since 1970."""

    body: bytes
    node: str
    incarnation: int
    nonce: bytes
    stamp: int
    state: ClaimState


_VERDICTS = {
    ClaimState.HELD: Verdict.IN_PROGRESS,
    ClaimState.ANSWERED: Verdict.ALREADY_ANSWERED,
    ClaimState.UNKNOWN: Verdict.OUTCOME_UNKNOWN,
}
# ``UNKNOWN`` is what others conclude of a silent holder; the holder itself knows
# better. An answered claim stays answered.
_TRANSITIONS = {
    ClaimState.HELD: {ClaimState.RELEASED, ClaimState.ANSWERED, ClaimState.UNKNOWN},
    ClaimState.UNKNOWN: {ClaimState.RELEASED, ClaimState.ANSWERED},
    ClaimState.ANSWERED: set(),
}


class ClaimsFold(Fold):
    """Who holds which key, as a function of the records alone.

    The first claim on a key wins until it is released or the window has passed
    in log time. The released nonce is remembered for a window, so that a claim
    that reaches the log after its own release is void.

    Parameters
    ----------
    window : datetime.timedelta
        How long a key is remembered; the same on every node.
    max_claims : int
        Most keys that are remembered; a claim beyond is not granted. The same
        on every node.
    """

    def __init__(
        self,
        *,
        window: datetime.timedelta = DEFAULT_WINDOW,
        max_claims: int = MAX_CLAIMS,
    ) -> None:
        self._window_ms = window // _MILLISECOND
        self._max_claims = max_claims
        self._latest_ms = 0
        self._applied = Offset(-1)
        self._watchers: list[Callable[[], None]] = []
        self._held: dict[bytes, Holding] = {}
        # Keys by the stamp of their claim, the oldest first. A key that was
        # released and claimed again is in it twice.
        self._by_stamp: collections.deque[tuple[int, list[bytes]]] = collections.deque()
        self._holders: dict[tuple[str, int], tuple[str, int]] = {}
        # In the order of the stamps, the oldest first.
        self._voided: collections.OrderedDict[bytes, int] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._held)

    @property
    def applied(self) -> Offset:
        """Offset of the last record that was applied; -1 if none was."""
        return self._applied

    @property
    def latest(self) -> datetime.datetime:
        """Log time that the fold has reached."""
        return _EPOCH + self._latest_ms * _MILLISECOND

    def watch(self, watcher: Callable[[], None]) -> None:
        """Have `watcher` called after each applied record and each restore."""
        self._watchers.append(watcher)

    def apply(self, record: Record) -> None:
        """Apply the next record; see `Fold.apply`."""
        if record.kind is not RecordKind.CLAIMS:
            raise VoidRecordError(ErrorCode.BAD_REQUEST, "not a record of claims")
        if record.offset <= self._applied:
            raise VoidRecordError(ErrorCode.BAD_REQUEST, "record already applied")
        try:
            batch = decode(record.body, ClaimBatch)
        except PeerError as error:
            raise VoidRecordError(error.code, "malformed batch of claims") from error
        # Stamps of the log may go back a little; the time of the fold does not.
        self._latest_ms = max(self._latest_ms, (record.stamp - _EPOCH) // _MILLISECOND)
        self._applied = record.offset
        self._expire()
        for claim in batch.claims:
            self._claim(claim)
        for update in batch.updates:
            self._update(update)
        self._notify()

    def _notify(self) -> None:
        for watcher in self._watchers:
            watcher()

    def _expire(self) -> None:
        bound = self._latest_ms - self._window_ms
        while self._by_stamp and self._by_stamp[0][0] <= bound:
            for key in self._by_stamp.popleft()[1]:
                holding = self._held.get(key)
                if holding is not None and holding.stamp <= bound:
                    del self._held[key]
        while self._voided and next(iter(self._voided.values())) <= bound:
            self._voided.popitem(last=False)

    def _claim(self, claim: Claim) -> None:
        well_formed = (
            len(claim.key) == DIGEST_BYTES
            and len(claim.body) <= DIGEST_BYTES
            and 0 < len(claim.nonce) <= MAX_NONCE_BYTES
        )
        full = len(self._held) >= self._max_claims
        if not well_formed or full or claim.key in self._held:
            return
        if claim.nonce in self._voided:
            return
        node, incarnation = self._shared(claim.node, claim.incarnation)
        self._held[claim.key] = Holding(
            body=claim.body[:BODY_BYTES],
            node=node,
            incarnation=incarnation,
            nonce=claim.nonce,
            stamp=self._latest_ms,
            state=ClaimState.HELD,
        )
        self._remember_stamp(claim.key, self._latest_ms)

    def _shared(self, node: str, incarnation: int) -> tuple[str, int]:
        # There are few holders and many claims: one object for each holder.
        if len(self._holders) >= MAX_HOLDERS:
            self._holders.clear()
        return self._holders.setdefault((node, incarnation), (node, incarnation))

    def _remember_stamp(self, key: bytes, stamp: int) -> None:
        if not self._by_stamp or self._by_stamp[-1][0] != stamp:
            self._by_stamp.append((stamp, []))
        self._by_stamp[-1][1].append(key)

    def _update(self, update: ClaimUpdate) -> None:
        try:
            state = ClaimState(update.state)
        except ValueError:
            return
        holding = self._held.get(update.key)
        if holding is None or holding.nonce != update.nonce:
            if state is ClaimState.RELEASED:
                self._void(update.nonce)
            return
        if state not in _TRANSITIONS[holding.state]:
            return
        if state is ClaimState.RELEASED:
            del self._held[update.key]
            self._void(update.nonce)
        else:
            self._held[update.key] = holding._replace(state=state)

    def _void(self, nonce: bytes) -> None:
        if 0 < len(nonce) <= MAX_NONCE_BYTES and len(self._voided) < self._max_claims:
            self._voided.setdefault(nonce, self._latest_ms)

    def holding(self, key: bytes) -> Holding | None:
        """Return the claim that holds `key`, None if it is free."""
        return self._held.get(key)

    def holdings_of(self, node: str) -> Iterator[tuple[bytes, Holding]]:
        """Yield the keys with an undecided claim of `node`."""
        for key, holding in self._held.items():
            if holding.node == node and holding.state is ClaimState.HELD:
                yield key, holding

    def holders(self) -> frozenset[tuple[str, int]]:
        """Return node and incarnation of each process with an undecided claim."""
        return frozenset(
            (holding.node, holding.incarnation)
            for holding in self._held.values()
            if holding.state is ClaimState.HELD
        )

    def verdict(self, claim: Claim) -> Verdict:
        """Return what the records say about a claim that is on the log."""
        holding = self._held.get(claim.key)
        if holding is None:
            return Verdict.UNAVAILABLE
        if holding.nonce == claim.nonce:
            if holding.state is ClaimState.HELD:
                return Verdict.GRANTED
            return _VERDICTS[holding.state]
        if holding.body != claim.body[:BODY_BYTES]:
            return Verdict.KEY_REUSED
        return _VERDICTS[holding.state]

    def dump(self) -> bytes:
        """Return the state; see `Fold.dump`."""
        held = [
            [key, h.body, h.node, h.incarnation, h.nonce, h.stamp, h.state.value]
            for key, h in self._held.items()
        ]
        voided = [[nonce, stamp] for nonce, stamp in self._voided.items()]
        state = [self._applied, self._latest_ms, held, voided]
        return cbor2.dumps(state, canonical=True)

    def restore(self, data: bytes) -> None:
        """Replace the state; see `Fold.restore`."""
        applied, latest, held, voided = cbor2.loads(data)
        self._applied = Offset(applied)
        self._latest_ms = latest
        self._held = {}
        self._by_stamp.clear()
        for key, body, node, incarnation, nonce, stamp, state in held:
            holder = self._shared(node, incarnation)
            self._held[key] = Holding(body, *holder, nonce, stamp, ClaimState(state))
            self._remember_stamp(key, stamp)
        self._voided = collections.OrderedDict((n, stamp) for n, stamp in voided)
        self._notify()
