"""Client through which a gateway claims requests."""

import asyncio
import collections
import datetime
import enum
import random
from collections.abc import Callable

from pomelolug.claims._fold import ClaimState, Verdict
from pomelolug.claims._metrics import DROPPED_UPDATES, GIVEN_UP_CLAIMS, WAIT_SECONDS
from pomelolug.clock import Clock
from pomelolug.errors import ErrorCode, PomelolugError
from pomelolug.messages import (
    Claim,
    ClaimRequest,
    ClaimUpdate,
    ClaimVerdict,
    Message,
)

__all__ = ["ClaimClient", "ClaimTicket", "TicketState"]

NONCE_BYTES = 16
MAX_PENDING_CLAIMS = 4096
MAX_UNSENT_UPDATES = 16384
VERDICT_TIMEOUT = datetime.timedelta(seconds=3)
# Far shorter than the time for which a key is remembered, so that a grant cannot
# outlive its claim.
GRANT_VALIDITY = datetime.timedelta(seconds=60)


class TicketState(enum.Enum):
    """State of a `ClaimTicket`."""

    REFUSED = "refused"
    GRANTED = "granted"
    DISPATCHED = "dispatched"
    GIVEN_UP = "given_up"
    FINISHED = "finished"


class ClaimTicket:
    """Result of one claim; created by `ClaimClient.claim`.

    A ticket is either dispatched or given up, never both.
    """

    def __init__(
        self,
        claim: Claim,
        verdict: Verdict,
        *,
        valid_until_s: float,
        clock: Clock,
        report_update: Callable[[ClaimUpdate], None],
    ) -> None:
        is_granted = verdict is Verdict.GRANTED
        self._claim = claim
        self._verdict = verdict
        self._valid_until_s = valid_until_s
        self._clock = clock
        self._report_update = report_update
        self._state = TicketState.GRANTED if is_granted else TicketState.REFUSED

    @property
    def verdict(self) -> Verdict:
        """Verdict on the claim."""
        return self._verdict

    @property
    def state(self) -> TicketState:
        """Current state of the ticket."""
        return self._state

    def try_dispatch(self) -> bool:
        """Mark the request as dispatched and return whether it may be sent.

        Has to be called after the last await before the request is sent. After
        true was returned, further calls return false and the claim cannot be
        released, unless `revert_dispatch` is called. If the grant has expired,
        the claim is released and false is returned.
        """
        if self._state is not TicketState.GRANTED:
            return False
        if self._clock.monotonic() >= self._valid_until_s:
            GIVEN_UP_CLAIMS.labels(reason="grant_expired").inc()
            self.release()
            return False
        self._state = TicketState.DISPATCHED
        return True

    def release(self) -> None:
        """Give up the claim, so that it is never dispatched afterwards.

        Raises
        ------
        PomelolugError
            If the request was dispatched, because it may have run.
        """
        if self._state in (TicketState.DISPATCHED, TicketState.FINISHED):
            raise PomelolugError(
                ErrorCode.INVARIANT_VIOLATED, "release of a dispatched claim"
            )
        if self._state is TicketState.GRANTED:
            self._state = TicketState.GIVEN_UP
            self._report_state(ClaimState.RELEASED)

    def revert_dispatch(self) -> None:
        """Revert a dispatch that is known not to have executed the request.

        Allowed only if the backend server refused the request explicitly or
        nothing was sent. Afterwards the request may be dispatched again or its
        claim released.
        """
        if self._state is TicketState.DISPATCHED:
            self._state = TicketState.GRANTED

    def mark_answered(self) -> None:
        """Record that the request was answered completely."""
        self._finish(ClaimState.ANSWERED)

    def mark_unknown(self) -> None:
        """Record that the request may or may not have run."""
        self._finish(ClaimState.UNKNOWN)

    def _finish(self, state: ClaimState) -> None:
        if self._state is TicketState.DISPATCHED:
            self._state = TicketState.FINISHED
            self._report_state(state)

    def _report_state(self, state: ClaimState) -> None:
        claim = self._claim
        self._report_update(
            ClaimUpdate(key=claim.key, nonce=claim.nonce, state=state.value)
        )


class ClaimClient:
    """Sends claims to the control process and matches verdicts to them.

    Parameters
    ----------
    node : str
        Name of the gateway's node.
    incarnation : int
        Incarnation of the gateway process.
    send : callable
        Queues a message to the control process and returns whether it was accepted.
    clock : Clock
        Source of monotonic time.
    random_state : random.Random
        Source of the nonces; its sequence must not repeat after a restart.
    verdict_timeout : datetime.timedelta
        Longest wait for a verdict.
    grant_validity : datetime.timedelta
        How long after its request a granted claim may be dispatched.
    """

    def __init__(
        self,
        *,
        node: str,
        incarnation: int,
        send: Callable[[Message], bool],
        clock: Clock,
        random_state: random.Random,
        verdict_timeout: datetime.timedelta = VERDICT_TIMEOUT,
        grant_validity: datetime.timedelta = GRANT_VALIDITY,
    ) -> None:
        self._node = node
        self._incarnation = incarnation
        self._send = send
        self._clock = clock
        self._random = random_state
        self._verdict_timeout_s = verdict_timeout.total_seconds()
        self._grant_validity_s = grant_validity.total_seconds()
        self._serial = 0
        self._pending: dict[int, asyncio.Future[Verdict]] = {}
        self._unsent_updates: collections.deque[ClaimUpdate] = collections.deque()

    @property
    def unsent_update_count(self) -> int:
        """Number of updates that wait for a connection."""
        return len(self._unsent_updates)

    async def claim(self, key: bytes, body_digest: bytes) -> ClaimTicket:
        """Claim the right to dispatch a request.

        Parameters
        ----------
        key : bytes
            Result of `derive_claim_key`.
        body_digest : bytes
            SHA-256 digest of the request body and target.

        Returns
        -------
        ClaimTicket
            Its verdict is ``UNAVAILABLE`` if none arrived in time; the claim is
            then released.
        """
        claim = Claim(
            key=key,
            body=body_digest,
            node=self._node,
            incarnation=self._incarnation,
            nonce=self._random.randbytes(NONCE_BYTES),
        )
        # The validity counts from before the request, so that a slow answer
        # does not extend it.
        requested_at_s = self._clock.monotonic()
        verdict = await self._request_verdict(claim)
        WAIT_SECONDS.observe(self._clock.monotonic() - requested_at_s)
        return ClaimTicket(
            claim,
            verdict,
            valid_until_s=requested_at_s + self._grant_validity_s,
            clock=self._clock,
            report_update=self._queue_update,
        )

    async def _request_verdict(self, claim: Claim) -> Verdict:
        if len(self._pending) >= MAX_PENDING_CLAIMS:
            return Verdict.UNAVAILABLE
        self._serial += 1
        serial = self._serial
        verdict_future: asyncio.Future[Verdict] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending[serial] = verdict_future
        try:
            if not self._send(ClaimRequest(serial=serial, claim=claim)):
                GIVEN_UP_CLAIMS.labels(reason="not_connected").inc()
                return Verdict.UNAVAILABLE
            async with asyncio.timeout(self._verdict_timeout_s):
                verdict = await verdict_future
        except TimeoutError:
            self._abandon(claim, "timeout")
            return Verdict.UNAVAILABLE
        except asyncio.CancelledError:
            self._abandon(claim, "cancelled")
            raise
        finally:
            del self._pending[serial]
        if verdict is Verdict.UNAVAILABLE:
            # The process that answered may not know whether the claim is on the log.
            self._abandon(claim, "unavailable")
        return verdict

    def _abandon(self, claim: Claim, reason: str) -> None:
        GIVEN_UP_CLAIMS.labels(reason=reason).inc()
        self._queue_update(
            ClaimUpdate(
                key=claim.key, nonce=claim.nonce, state=ClaimState.RELEASED.value
            )
        )

    def on_verdict(self, message: ClaimVerdict) -> None:
        """Handle a verdict; it is ignored if no claim waits for it."""
        verdict_future = self._pending.get(message.serial)
        if verdict_future is None or verdict_future.done():
            return
        try:
            verdict_future.set_result(Verdict(message.verdict))
        except ValueError:
            verdict_future.set_result(Verdict.UNAVAILABLE)

    def on_disconnected(self) -> None:
        """Give up all claims whose verdict can no longer arrive."""
        for verdict_future in self._pending.values():
            if not verdict_future.done():
                verdict_future.set_result(Verdict.UNAVAILABLE)

    def on_connected(self) -> None:
        """Send the updates that wait for a connection."""
        while self._unsent_updates and self._send(self._unsent_updates[0]):
            self._unsent_updates.popleft()

    def _queue_update(self, update: ClaimUpdate) -> None:
        if len(self._unsent_updates) >= MAX_UNSENT_UPDATES:
            # The claim stays held until its window has passed, which is safe.
            DROPPED_UPDATES.labels(side="gateway").inc()
        else:
            self._unsent_updates.append(update)
        self.on_connected()
