"""Relay of one partition: collects claims, appends, reads the verdicts."""

import asyncio
import collections
import contextlib
import datetime
import math
import random
from collections.abc import Awaitable, Callable

import structlog

from pomelolug.claims._fold import ClaimsFold, ClaimState, Verdict
from pomelolug.claims._metrics import APPENDS, UNSENT_UPDATES, VERDICTS
from pomelolug.clock import Clock
from pomelolug.errors import PlatformError, PomelolugError
from pomelolug.ids import Offset
from pomelolug.membership import process_generation
from pomelolug.messages import Claim, ClaimBatch, ClaimUpdate, Message
from pomelolug.state import RecordKind

__all__ = ["Append", "ClaimRelay"]

Append = Callable[[RecordKind, Message], Awaitable[Offset]]

# A claim has some 250 bytes encoded and an update some 120; together they stay
# below the message limit of 256 KiB.
MAX_BATCH_CLAIMS = 600
MAX_BATCH_UPDATES = 600
MAX_WAITING = 4096
MAX_UPDATES = 16384
# 16 partitions take at most 320 appends a second at this interval.
INTERVAL = datetime.timedelta(milliseconds=50)
# Callers wait for claims and not for updates. Half a second lets most updates
# share an append and is below the shortest ``Retry-After``.
UPDATE_WAIT = datetime.timedelta(milliseconds=500)
DECIDE_WITHIN = datetime.timedelta(seconds=2)
FIRST_BACKOFF = datetime.timedelta(milliseconds=100)
# A wait below the resolution of the timers would not end by itself.
TIMER_SECONDS = 1e-4
# While it lasts claims are refused, also when the log has come back.
MAX_BACKOFF = datetime.timedelta(seconds=1)

_log = structlog.get_logger(__name__)


class _Pending:
    """A claim that waits for its verdict."""

    __slots__ = ("answer", "arrived", "claim", "offset")

    def __init__(self, claim: Claim, arrived: float) -> None:
        self.claim = claim
        self.arrived = arrived
        self.answer: asyncio.Future[Verdict] = (
            asyncio.get_running_loop().create_future()
        )
        self.offset: Offset | None = None

    def resolve(self, verdict: Verdict) -> None:
        if not self.answer.done():
            self.answer.set_result(verdict)


class ClaimRelay:
    """Decides claims of one partition.

    Any number of relays of a partition may work at once: the verdict comes from
    the fold alone. One append is in flight at a time; claims that arrive
    meanwhile form the next batch.

    Parameters
    ----------
    partition : int
        Number of the partition.
    fold : ClaimsFold
        Fold of the partition's stream, fed by a reader.
    append : async callable
        Appends a record and returns its offset once it is known to be on the
        log; raises `PlatformError` if that cannot be found out.
    clock : Clock
        Source of time.
    batch : datetime.timedelta
        How long claims are collected.
    random_state : random.Random
        Draws the jitter of retries.
    interval : datetime.timedelta
        Least time between the starts of two appends.
    update_wait : datetime.timedelta
        How long updates wait for a claim whose append they can share.
    decide_within : datetime.timedelta
        Bound on the time to a verdict; the claim is then unavailable and
        released.
    """

    def __init__(
        self,
        *,
        partition: int,
        fold: ClaimsFold,
        append: Append,
        clock: Clock,
        batch: datetime.timedelta,
        random_state: random.Random,
        interval: datetime.timedelta = INTERVAL,
        update_wait: datetime.timedelta = UPDATE_WAIT,
        decide_within: datetime.timedelta = DECIDE_WITHIN,
    ) -> None:
        self._partition = partition
        self._fold = fold
        self._append = append
        self._clock = clock
        self._batch = batch.total_seconds()
        self._interval = interval.total_seconds()
        self._update_wait = update_wait.total_seconds()
        self._random = random_state
        self._decide_within = decide_within.total_seconds()
        self._waiting: collections.deque[_Pending] = collections.deque()
        self._appended: dict[bytes, _Pending] = {}
        self._updates: collections.deque[ClaimUpdate] = collections.deque()
        self._wake = asyncio.Event()
        self._updates_since = 0.0
        self._refusing = False
        self._last_append = -math.inf
        fold.watch(self._settle)

    @property
    def partition(self) -> int:
        """Number of the partition."""
        return self._partition

    @property
    def backlog(self) -> int:
        """Updates that are not on the log yet."""
        return len(self._updates)

    async def decide(self, claim: Claim) -> Verdict:
        """Return the verdict on `claim`.

        Returns
        -------
        Verdict
            ``UNAVAILABLE`` if the log does not answer in time; the claim is
            then released as soon as that is possible, and its holder must not
            dispatch.
        """
        verdict = self._known(claim)
        if verdict is None:
            verdict = await self._decide(claim)
        VERDICTS.labels(verdict=verdict.value).inc()
        return verdict

    def _known(self, claim: Claim) -> Verdict | None:
        holding = self._fold.holding(claim.key)
        if holding is not None:
            # The records read so far decide; a release that has not been read
            # yet makes the answer stricter, never looser.
            return self._fold.verdict(claim)
        if self._refusing or len(self._waiting) >= MAX_WAITING:
            return Verdict.UNAVAILABLE
        return None

    async def _decide(self, claim: Claim) -> Verdict:
        pending = _Pending(claim, self._clock.monotonic())
        self._waiting.append(pending)
        self._wake.set()
        try:
            async with asyncio.timeout(self._decide_within):
                return await pending.answer
        except (TimeoutError, asyncio.CancelledError) as error:
            self._abandon(pending)
            if isinstance(error, asyncio.CancelledError):
                raise
            return Verdict.UNAVAILABLE

    def _abandon(self, pending: _Pending) -> None:
        if pending in self._waiting:
            self._waiting.remove(pending)
        else:
            self._appended.pop(pending.claim.nonce, None)
            self._release(pending.claim)

    def _release(self, claim: Claim) -> None:
        self._queue(
            ClaimUpdate(
                key=claim.key, nonce=claim.nonce, state=ClaimState.RELEASED.value
            )
        )

    async def update(self, update: ClaimUpdate) -> None:
        """Take an update for the next batch; it is appended in the background."""
        if update.state == ClaimState.RELEASED.value:
            self._drop_waiting(update.nonce)
        self._queue(update)

    def _drop_waiting(self, nonce: bytes) -> None:
        for pending in list(self._waiting):
            if pending.claim.nonce == nonce:
                self._waiting.remove(pending)
                pending.resolve(Verdict.UNAVAILABLE)

    def _queue(self, update: ClaimUpdate) -> None:
        if len(self._updates) >= MAX_UPDATES:
            # The claim stays held until the window has passed: safe, but its
            # caller gets no second try before.
            UNSENT_UPDATES.labels(side="relay").inc()
            return
        if not self._updates:
            self._updates_since = self._clock.monotonic()
        self._updates.append(update)
        self._wake.set()

    def node_lost(self, node: str, *, before: int | None = None) -> int:
        """Record that the outcome of a lost node's claims is unknown.

        To be called once the node is dead, or has come back as another process.
        The claims are not given to others.

        Parameters
        ----------
        node : str
            The lost node.
        before : int, optional
            Incarnation of the process that has taken its place; the claims of
            that process are left alone.

        Returns
        -------
        int
            Number of claims.
        """
        updates = [
            ClaimUpdate(key=key, nonce=held.nonce, state=ClaimState.UNKNOWN.value)
            for key, held in self._fold.holdings_of(node)
            if before is None
            or process_generation(held.incarnation) < process_generation(before)
        ]
        for update in updates:
            self._queue(update)
        return len(updates)

    async def run(self) -> None:
        """Append batches until cancelled."""
        backoff = FIRST_BACKOFF
        try:
            while True:
                await self._wait_until_due()
                if await self._append_batch():
                    backoff = FIRST_BACKOFF
                else:
                    # Callers are refused at once instead of waiting in vain.
                    self._refusing = True
                    factor = 0.5 + self._random.random()
                    await self._clock.sleep(backoff * factor)
                    backoff = min(2 * backoff, MAX_BACKOFF)
                    self._refusing = False
        finally:
            for pending in [*self._waiting, *self._appended.values()]:
                pending.resolve(Verdict.UNAVAILABLE)

    async def _wait_until_due(self) -> None:
        while True:
            self._wake.clear()
            due = self._due()
            left = None if due is None else due - self._clock.monotonic()
            if left is not None and left <= TIMER_SECONDS:
                return
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await self._wake.wait()

    def _due(self) -> float | None:
        if self._waiting:
            due = self._waiting[0].arrived + self._batch
        elif self._updates:
            due = self._updates_since + self._update_wait
        else:
            return None
        return max(due, self._last_append + self._interval)

    def _take(self) -> tuple[list[_Pending], list[ClaimUpdate]]:
        claims = [
            self._waiting.popleft()
            for _ in range(min(len(self._waiting), MAX_BATCH_CLAIMS))
        ]
        updates = [
            self._updates.popleft()
            for _ in range(min(len(self._updates), MAX_BATCH_UPDATES))
        ]
        return claims, updates

    async def _append_batch(self) -> bool:
        claims, updates = self._take()
        if not claims and not updates:
            return True
        for pending in claims:
            self._appended[pending.claim.nonce] = pending
        batch = ClaimBatch(
            claims=tuple(pending.claim for pending in claims), updates=tuple(updates)
        )
        self._last_append = self._clock.monotonic()
        try:
            offset = await self._append(RecordKind.CLAIMS, batch)
        except PomelolugError as error:
            self._failed(claims, updates, error)
            return False
        APPENDS.labels(result="appended").inc()
        for pending in claims:
            pending.offset = offset
        self._settle()
        return True

    def _failed(
        self, claims: list[_Pending], updates: list[ClaimUpdate], error: PomelolugError
    ) -> None:
        maybe = isinstance(error, PlatformError) and error.maybe_applied
        APPENDS.labels(result="unknown" if maybe else "failed").inc()
        _log.warning(
            "claims_not_appended", partition=self._partition, code=error.code.value
        )
        # A repeated update changes nothing, so it may be appended again.
        self._updates.extendleft(reversed(updates))
        for pending in claims:
            if self._appended.pop(pending.claim.nonce, None) is None:
                continue
            if maybe:
                self._release(pending.claim)
            pending.resolve(Verdict.UNAVAILABLE)

    def _settle(self) -> None:
        for nonce, pending in list(self._appended.items()):
            holding = self._fold.holding(pending.claim.key)
            won = holding is not None and holding.nonce == nonce
            # A loss is final only once the own record has been read: until then
            # the other claim may be released and this one win after all.
            read = pending.offset is not None and self._fold.applied >= pending.offset
            if won or read:
                del self._appended[nonce]
                pending.resolve(self._fold.verdict(pending.claim))
