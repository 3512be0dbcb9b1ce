"""Relay that appends the claims of one partition and reads their verdicts."""

import asyncio
import collections
import contextlib
import datetime
import math
import random
from collections.abc import Awaitable, Callable

import structlog

from pomelolug.claims._fold import ClaimsFold, ClaimState, Verdict
from pomelolug.claims._metrics import APPENDS, DROPPED_UPDATES, VERDICTS
from pomelolug.clock import Clock
from pomelolug.errors import PlatformError, PomelolugError
from pomelolug.ids import Offset
from pomelolug.membership import process_generation
from pomelolug.messages import Claim, ClaimBatch, ClaimUpdate, Message
from pomelolug.state import RecordKind

__all__ = ["Append", "ClaimRelay"]

Append = Callable[[RecordKind, Message], Awaitable[Offset]]

# An encoded claim takes about 250 bytes and an update about 120, so that a full
# batch stays below the message limit of 256 KiB.
MAX_BATCH_CLAIMS = 600
MAX_BATCH_UPDATES = 600
MAX_QUEUED_CLAIMS = 4096
MAX_QUEUED_UPDATES = 16384
# With this interval, 16 partitions make at most 320 appends per second.
APPEND_INTERVAL = datetime.timedelta(milliseconds=50)
# Callers wait for claims but not for updates. Half a second lets most updates
# share an append and is shorter than the shortest ``Retry-After``.
UPDATE_DELAY = datetime.timedelta(milliseconds=500)
DECISION_TIMEOUT = datetime.timedelta(seconds=2)
INITIAL_BACKOFF = datetime.timedelta(milliseconds=100)
# A wait shorter than the timer resolution would not end by itself.
TIMER_RESOLUTION_S = 1e-4
# Claims are refused during the backoff, even if the log has recovered.
MAX_BACKOFF = datetime.timedelta(seconds=1)

_log = structlog.get_logger(__name__)


class _PendingClaim:
    """Claim that waits for its verdict."""

    __slots__ = ("arrived_at_s", "claim", "offset", "verdict_future")

    def __init__(self, claim: Claim, arrived_at_s: float) -> None:
        self.claim = claim
        self.arrived_at_s = arrived_at_s
        self.verdict_future: asyncio.Future[Verdict] = (
            asyncio.get_running_loop().create_future()
        )
        self.offset: Offset | None = None

    def resolve(self, verdict: Verdict) -> None:
        if not self.verdict_future.done():
            self.verdict_future.set_result(verdict)


class ClaimRelay:
    """Decides the claims of one partition by appending them to its stream.

    Several relays of one partition may run concurrently, because the fold alone
    determines the verdicts. One append is in flight at a time; claims that
    arrive meanwhile form the next batch.

    Parameters
    ----------
    partition : int
        Number of the partition.
    fold : ClaimsFold
        Fold of the partition's stream, fed by a reader.
    append : async callable
        Appends a record and returns its offset once it is known to be on the
        log; raises `PlatformError` if this cannot be determined.
    clock : Clock
        Source of time.
    batch_delay : datetime.timedelta
        How long claims are collected before they are appended.
    random_state : random.Random
        Source of the retry jitter.
    append_interval : datetime.timedelta
        Minimum time between the starts of two appends.
    update_delay : datetime.timedelta
        How long updates wait for a claim whose append they can share.
    decision_timeout : datetime.timedelta
        Longest wait for a verdict; after it, the verdict is ``UNAVAILABLE``
        and the claim is withdrawn.
    """

    def __init__(
        self,
        *,
        partition: int,
        fold: ClaimsFold,
        append: Append,
        clock: Clock,
        batch_delay: datetime.timedelta,
        random_state: random.Random,
        append_interval: datetime.timedelta = APPEND_INTERVAL,
        update_delay: datetime.timedelta = UPDATE_DELAY,
        decision_timeout: datetime.timedelta = DECISION_TIMEOUT,
    ) -> None:
        self._partition = partition
        self._fold = fold
        self._append = append
        self._clock = clock
        self._batch_delay_s = batch_delay.total_seconds()
        self._append_interval_s = append_interval.total_seconds()
        self._update_delay_s = update_delay.total_seconds()
        self._random = random_state
        self._decision_timeout_s = decision_timeout.total_seconds()
        self._queued_claims: collections.deque[_PendingClaim] = collections.deque()
        self._undecided: dict[bytes, _PendingClaim] = {}
        self._queued_updates: collections.deque[ClaimUpdate] = collections.deque()
        self._wake = asyncio.Event()
        self._updates_queued_since_s = 0.0
        self._is_backing_off = False
        self._last_append_at_s = -math.inf
        fold.add_observer(self._resolve_decided)

    @property
    def partition(self) -> int:
        """Number of the partition."""
        return self._partition

    @property
    def queued_update_count(self) -> int:
        """Number of updates that wait to be appended."""
        return len(self._queued_updates)

    async def decide(self, claim: Claim) -> Verdict:
        """Return the verdict on `claim`.

        Returns
        -------
        Verdict
            ``UNAVAILABLE`` if the log does not answer in time; the claim is
            then released as soon as possible, and its holder must not dispatch
            the request.
        """
        verdict = self._immediate_verdict(claim)
        if verdict is None:
            verdict = await self._await_verdict(claim)
        VERDICTS.labels(verdict=verdict.value).inc()
        return verdict

    def _immediate_verdict(self, claim: Claim) -> Verdict | None:
        winner = self._fold.winning_claim(claim.key)
        if winner is not None:
            # The records read so far suffice: a release that has not been read
            # yet can only make the verdict stricter, never more permissive.
            return self._fold.verdict(claim)
        if self._is_backing_off or len(self._queued_claims) >= MAX_QUEUED_CLAIMS:
            return Verdict.UNAVAILABLE
        return None

    async def _await_verdict(self, claim: Claim) -> Verdict:
        pending = _PendingClaim(claim, self._clock.monotonic())
        self._queued_claims.append(pending)
        self._wake.set()
        try:
            async with asyncio.timeout(self._decision_timeout_s):
                return await pending.verdict_future
        except (TimeoutError, asyncio.CancelledError) as error:
            self._abandon(pending)
            if isinstance(error, asyncio.CancelledError):
                raise
            return Verdict.UNAVAILABLE

    def _abandon(self, pending: _PendingClaim) -> None:
        if pending in self._queued_claims:
            self._queued_claims.remove(pending)
        else:
            self._undecided.pop(pending.claim.nonce, None)
            self._queue_release(pending.claim)

    def _queue_release(self, claim: Claim) -> None:
        self._queue_update(
            ClaimUpdate(
                key=claim.key, nonce=claim.nonce, state=ClaimState.RELEASED.value
            )
        )

    async def submit_update(self, update: ClaimUpdate) -> None:
        """Queue an update for the next batch, which is appended in the background."""
        if update.state == ClaimState.RELEASED.value:
            self._cancel_queued(update.nonce)
        self._queue_update(update)

    def _cancel_queued(self, nonce: bytes) -> None:
        for pending in list(self._queued_claims):
            if pending.claim.nonce == nonce:
                self._queued_claims.remove(pending)
                pending.resolve(Verdict.UNAVAILABLE)

    def _queue_update(self, update: ClaimUpdate) -> None:
        if len(self._queued_updates) >= MAX_QUEUED_UPDATES:
            # The claim stays held until its window has passed. This is safe, but
            # its caller cannot retry before then.
            DROPPED_UPDATES.labels(side="relay").inc()
            return
        if not self._queued_updates:
            self._updates_queued_since_s = self._clock.monotonic()
        self._queued_updates.append(update)
        self._wake.set()

    def mark_claims_unknown(
        self, node: str, *, before_incarnation: int | None = None
    ) -> int:
        """Record the outcome of a lost node's claims as unknown.

        Has to be called once the node is dead or has restarted as another
        process. The claims are not granted to other callers.

        Parameters
        ----------
        node : str
            The lost node.
        before_incarnation : int, optional
            Incarnation of the process that has replaced the lost one; the
            claims of that process are not changed.

        Returns
        -------
        int
            Number of claims concerned.
        """
        updates = [
            ClaimUpdate(key=key, nonce=held.nonce, state=ClaimState.UNKNOWN.value)
            for key, held in self._fold.held_claims(node)
            if before_incarnation is None
            or process_generation(held.incarnation)
            < process_generation(before_incarnation)
        ]
        for update in updates:
            self._queue_update(update)
        return len(updates)

    async def run(self) -> None:
        """Append batches until cancelled."""
        backoff = INITIAL_BACKOFF
        try:
            while True:
                await self._wait_until_due()
                if await self._append_batch():
                    backoff = INITIAL_BACKOFF
                else:
                    # Refuse callers at once instead of letting them wait in vain.
                    self._is_backing_off = True
                    factor = 0.5 + self._random.random()
                    await self._clock.sleep(backoff * factor)
                    backoff = min(2 * backoff, MAX_BACKOFF)
                    self._is_backing_off = False
        finally:
            for pending in [*self._queued_claims, *self._undecided.values()]:
                pending.resolve(Verdict.UNAVAILABLE)

    async def _wait_until_due(self) -> None:
        while True:
            self._wake.clear()
            due_at_s = self._next_append_at_s()
            remaining_s = (
                None if due_at_s is None else due_at_s - self._clock.monotonic()
            )
            if remaining_s is not None and remaining_s <= TIMER_RESOLUTION_S:
                return
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining_s):
                    await self._wake.wait()

    def _next_append_at_s(self) -> float | None:
        if self._queued_claims:
            due_at_s = self._queued_claims[0].arrived_at_s + self._batch_delay_s
        elif self._queued_updates:
            due_at_s = self._updates_queued_since_s + self._update_delay_s
        else:
            return None
        return max(due_at_s, self._last_append_at_s + self._append_interval_s)

    def _take_batch(self) -> tuple[list[_PendingClaim], list[ClaimUpdate]]:
        claims = [
            self._queued_claims.popleft()
            for _ in range(min(len(self._queued_claims), MAX_BATCH_CLAIMS))
        ]
        updates = [
            self._queued_updates.popleft()
            for _ in range(min(len(self._queued_updates), MAX_BATCH_UPDATES))
        ]
        return claims, updates

    async def _append_batch(self) -> bool:
        claims, updates = self._take_batch()
        if not claims and not updates:
            return True
        for pending in claims:
            self._undecided[pending.claim.nonce] = pending
        batch = ClaimBatch(
            claims=tuple(pending.claim for pending in claims), updates=tuple(updates)
        )
        self._last_append_at_s = self._clock.monotonic()
        try:
            offset = await self._append(RecordKind.CLAIMS, batch)
        except PomelolugError as error:
            self._handle_append_failure(claims, updates, error)
            return False
        APPENDS.labels(result="appended").inc()
        for pending in claims:
            pending.offset = offset
        self._resolve_decided()
        return True

    def _handle_append_failure(
        self,
        claims: list[_PendingClaim],
        updates: list[ClaimUpdate],
        error: PomelolugError,
    ) -> None:
        may_be_applied = isinstance(error, PlatformError) and error.maybe_applied
        APPENDS.labels(result="unknown" if may_be_applied else "failed").inc()
        _log.warning(
            "claims_not_appended", partition=self._partition, code=error.code.value
        )
        # Updates are idempotent, so they may be appended again.
        self._queued_updates.extendleft(reversed(updates))
        for pending in claims:
            if self._undecided.pop(pending.claim.nonce, None) is None:
                continue
            if may_be_applied:
                self._queue_release(pending.claim)
            pending.resolve(Verdict.UNAVAILABLE)

    def _resolve_decided(self) -> None:
        for nonce, pending in list(self._undecided.items()):
            winner = self._fold.winning_claim(pending.claim.key)
            is_winner = winner is not None and winner.nonce == nonce
            # A claim has finally lost only once its own record has been read.
            # Before that, the winner may be released and this claim may win.
            is_record_read = (
                pending.offset is not None
                and self._fold.applied_offset >= pending.offset
            )
            if is_winner or is_record_read:
                del self._undecided[nonce]
                pending.resolve(self._fold.verdict(pending.claim))
