"""The gateway's side of claims."""

import asyncio
import collections
import datetime
import enum
import random
from collections.abc import Callable

from pomelolug.claims._fold import ClaimState, Verdict
from pomelolug.claims._metrics import GIVEN_UP, UNSENT_UPDATES, WAIT
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
MAX_PENDING = 4096
MAX_UNSENT = 16384
TIMEOUT = datetime.timedelta(seconds=3)
# Far below the window, so that a grant cannot outlive its claim.
VALID_FOR = datetime.timedelta(seconds=60)


class TicketState(enum.Enum):
    """How far the holder of a claim has got."""

    REFUSED = "refused"
    GRANTED = "granted"
    DISPATCHED = "dispatched"
    GIVEN_UP = "given_up"
    FINISHED = "finished"


class ClaimTicket:
    """Result of one claim; made by `ClaimClient.claim`.

    A ticket is dispatched or given up, never both.
    """

    def __init__(
        self,
        claim: Claim,
        verdict: Verdict,
        *,
        valid_until: float,
        clock: Clock,
        report: Callable[[ClaimUpdate], None],
    ) -> None:
        granted = verdict is Verdict.GRANTED
        self._claim = claim
        self._verdict = verdict
        self._valid_until = valid_until
        self._clock = clock
        self._report = report
        self._state = TicketState.GRANTED if granted else TicketState.REFUSED

    @property
    def verdict(self) -> Verdict:
        """What was decided."""
        return self._verdict

    @property
    def state(self) -> TicketState:
        """How far the holder has got."""
        return self._state

    def dispatch(self) -> bool:
        """Return whether the request may be sent now.

        To be called after the last await before the request is sent. True is
        returned once; the claim cannot be released from then on unless the
        dispatch is `refused`. If the grant is too old, the claim is released
        and false is returned.
        """
        if self._state is not TicketState.GRANTED:
            return False
        if self._clock.monotonic() >= self._valid_until:
            GIVEN_UP.labels(reason="grant_expired").inc()
            self.release()
            return False
        self._state = TicketState.DISPATCHED
        return True

    def release(self) -> None:
        """Give the claim up; it is never dispatched afterwards.

        Raises
        ------
        PomelolugError
            If the request was dispatched: it may have run.
        """
        if self._state in (TicketState.DISPATCHED, TicketState.FINISHED):
            raise PomelolugError(
                ErrorCode.INVARIANT_VIOLATED, "release of a dispatched claim"
            )
        if self._state is TicketState.GRANTED:
            self._state = TicketState.GIVEN_UP
            self._tell(ClaimState.RELEASED)

    def refused(self) -> None:
        """Take a dispatch back that certainly ran nothing.

        Only if the backend server refused explicitly or nothing was sent. The
        request may then be dispatched again or released.
        """
        if self._state is TicketState.DISPATCHED:
            self._state = TicketState.GRANTED

    def answered(self) -> None:
        """Record that the request was answered completely."""
        self._finish(ClaimState.ANSWERED)

    def unknown(self) -> None:
        """Record that the request may or may not have run."""
        self._finish(ClaimState.UNKNOWN)

    def _finish(self, state: ClaimState) -> None:
        if self._state is TicketState.DISPATCHED:
            self._state = TicketState.FINISHED
            self._tell(state)

    def _tell(self, state: ClaimState) -> None:
        claim = self._claim
        self._report(ClaimUpdate(key=claim.key, nonce=claim.nonce, state=state.value))


class ClaimClient:
    """Sends claims to the control process and matches the verdicts.

    Parameters
    ----------
    node : str
        Node of the gateway.
    incarnation : int
        Incarnation of the gateway process.
    send : callable
        Queues a message to the control process and tells whether it was taken.
    clock : Clock
        Source of monotonic time.
    random_state : random.Random
        Draws the nonces; it must not repeat after a restart.
    timeout : datetime.timedelta
        Bound on the wait for a verdict.
    valid_for : datetime.timedelta
        How long after the request a grant may be dispatched.
    """

    def __init__(
        self,
        *,
        node: str,
        incarnation: int,
        send: Callable[[Message], bool],
        clock: Clock,
        random_state: random.Random,
        timeout: datetime.timedelta = TIMEOUT,
        valid_for: datetime.timedelta = VALID_FOR,
    ) -> None:
        self._node = node
        self._incarnation = incarnation
        self._send = send
        self._clock = clock
        self._random = random_state
        self._timeout = timeout.total_seconds()
        self._valid_for = valid_for.total_seconds()
        self._serial = 0
        self._pending: dict[int, asyncio.Future[Verdict]] = {}
        self._unsent: collections.deque[ClaimUpdate] = collections.deque()

    @property
    def unsent(self) -> int:
        """Updates that wait for a connection."""
        return len(self._unsent)

    async def claim(self, key: bytes, body: bytes) -> ClaimTicket:
        """Ask for the right to dispatch a request.

        Parameters
        ----------
        key : bytes
            Result of `claim_key`.
        body : bytes
            SHA-256 of the request body and target.

        Returns
        -------
        ClaimTicket
            Its verdict is ``UNAVAILABLE`` if none arrived in time; the claim is
            released then.
        """
        claim = Claim(
            key=key,
            body=body,
            node=self._node,
            incarnation=self._incarnation,
            nonce=self._random.randbytes(NONCE_BYTES),
        )
        # The grant's age counts from before the request, whatever the answer
        # took.
        started = self._clock.monotonic()
        verdict = await self._ask(claim)
        WAIT.observe(self._clock.monotonic() - started)
        return ClaimTicket(
            claim,
            verdict,
            valid_until=started + self._valid_for,
            clock=self._clock,
            report=self._report,
        )

    async def _ask(self, claim: Claim) -> Verdict:
        if len(self._pending) >= MAX_PENDING:
            return Verdict.UNAVAILABLE
        self._serial += 1
        serial = self._serial
        answer: asyncio.Future[Verdict] = asyncio.get_running_loop().create_future()
        self._pending[serial] = answer
        try:
            if not self._send(ClaimRequest(serial=serial, claim=claim)):
                GIVEN_UP.labels(reason="not_connected").inc()
                return Verdict.UNAVAILABLE
            async with asyncio.timeout(self._timeout):
                verdict = await answer
        except TimeoutError:
            self._give_up(claim, "timeout")
            return Verdict.UNAVAILABLE
        except asyncio.CancelledError:
            self._give_up(claim, "cancelled")
            raise
        finally:
            del self._pending[serial]
        if verdict is Verdict.UNAVAILABLE:
            # Whoever answered may not know whether the claim is on the log.
            self._give_up(claim, "unavailable")
        return verdict

    def _give_up(self, claim: Claim, reason: str) -> None:
        GIVEN_UP.labels(reason=reason).inc()
        self._report(
            ClaimUpdate(
                key=claim.key, nonce=claim.nonce, state=ClaimState.RELEASED.value
            )
        )

    def on_verdict(self, message: ClaimVerdict) -> None:
        """Take a verdict; one that nobody waits for any more is ignored."""
        answer = self._pending.get(message.serial)
        if answer is None or answer.done():
            return
        try:
            answer.set_result(Verdict(message.verdict))
        except ValueError:
            answer.set_result(Verdict.UNAVAILABLE)

    def on_disconnected(self) -> None:
        """Give up all claims whose verdict cannot arrive any more."""
        for answer in self._pending.values():
            if not answer.done():
                answer.set_result(Verdict.UNAVAILABLE)

    def on_connected(self) -> None:
        """Send the updates that have waited for a connection."""
        while self._unsent and self._send(self._unsent[0]):
            self._unsent.popleft()

    def _report(self, update: ClaimUpdate) -> None:
        if len(self._unsent) >= MAX_UNSENT:
            # The claim stays held until the window has passed, which is safe.
            UNSENT_UPDATES.labels(side="gateway").inc()
        else:
            self._unsent.append(update)
        self.on_connected()
