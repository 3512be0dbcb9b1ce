"""Claims of non-idempotent requests, with verdicts as callers' errors."""

import contextlib
import datetime
import hashlib
from collections.abc import AsyncIterator, Callable

from pomelolug.claims import (
    ClaimClient,
    ClaimTicket,
    TicketState,
    Verdict,
    derive_claim_key,
    parse_key_time,
)
from pomelolug.clock import Clock
from pomelolug.errors import ErrorCode, Outcome, RequestError
from pomelolug.gateway._parsing import CallerRequest

__all__ = ["Claimant"]

_RETRY_AFTER = datetime.timedelta(seconds=2)
_CONFLICT = 409
_ALONE = b"isolated run\0"
_ALONE_PAUSE = datetime.timedelta(milliseconds=250)
_REFUSALS = {
    Verdict.IN_PROGRESS: (
        ErrorCode.IN_PROGRESS,
        "another copy of this request is in progress",
    ),
    Verdict.ALREADY_ANSWERED: (
        ErrorCode.ALREADY_ANSWERED,
        "another copy of this request was answered",
    ),
    Verdict.OUTCOME_UNKNOWN: (
        ErrorCode.OUTCOME_UNKNOWN,
        "another copy of this request may have run",
    ),
}


class Claimant:
    """Obtains and settles the claim of a request.

    Parameters
    ----------
    client : ClaimClient
        Connection to the relays.
    clock : Clock
        Source of wall time, for keys that carry a time.
    window : datetime.timedelta
        How long keys are remembered.
    """

    def __init__(
        self, *, client: ClaimClient, clock: Clock, window: datetime.timedelta
    ) -> None:
        self._client = client
        self._clock = clock
        self._window = window

    @contextlib.asynccontextmanager
    async def claimed(
        self, request: CallerRequest, content: bytes
    ) -> AsyncIterator[ClaimTicket]:
        """Hold the claim of `request` inside the context.

        A ticket that was dispatched and not settled when the context ends is
        recorded as unknown; one that was not dispatched is released.

        Parameters
        ----------
        request : CallerRequest
            Request with an idempotency key.
        content : bytes
            What all copies of the request have in common.

        Raises
        ------
        RequestError
            If the claim was not granted.
        """
        self._check_age(request.idempotency_key)
        ticket = await self._client.claim(
            derive_claim_key(request.account.name, request.idempotency_key),
            hashlib.sha256(content).digest(),
        )
        if ticket.verdict is not Verdict.GRANTED:
            raise _refusal(ticket.verdict)
        try:
            yield ticket
        finally:
            if ticket.state is TicketState.DISPATCHED:
                ticket.mark_unknown()
            elif ticket.state is TicketState.GRANTED:
                ticket.release()

    @contextlib.asynccontextmanager
    async def alone(
        self, fingerprint: bytes, *, until: float, check: Callable[[], None]
    ) -> AsyncIterator[None]:
        """Hold the only run of a struck request in the fleet inside the context.

        Copies of a request that crashes its groups arrive through several entry
        VMs at once; each would cost a group if they ran side by side. Without
        an answer from the log the request runs all the same: idempotent work
        does not rest on the log.

        Parameters
        ----------
        fingerprint : bytes
            Digest of the request.
        until : float
            Monotonic time at which waiting for another copy ends.
        check : callable
            Called before each try; raises if the request may not run any more.

        Raises
        ------
        RequestError
            ``in_progress`` if another copy ran until `until`.
        """
        key = hashlib.sha256(_ALONE + fingerprint).digest()
        ticket = await self._claim_alone(key, until, check)
        try:
            yield
        finally:
            if ticket.state is TicketState.GRANTED:
                ticket.release()

    async def _claim_alone(
        self, key: bytes, until: float, check: Callable[[], None]
    ) -> ClaimTicket:
        while True:
            check()
            ticket = await self._client.claim(key, key)
            if ticket.verdict is not Verdict.IN_PROGRESS:
                return ticket
            if self._clock.monotonic() >= until:
                raise _refusal(Verdict.IN_PROGRESS)
            await self._clock.sleep(_ALONE_PAUSE)

    def _check_age(self, key: str) -> None:
        made = parse_key_time(key)
        if made is not None and self._clock.now() - made > self._window:
            raise RequestError(
                ErrorCode.KEY_EXPIRED,
                "the key is older than the time for which keys are remembered",
                status=_CONFLICT,
                outcome=Outcome.UNKNOWN,
            )


def _refusal(verdict: Verdict) -> RequestError:
    if verdict in _REFUSALS:
        code, message = _REFUSALS[verdict]
        return RequestError(
            code,
            message,
            status=_CONFLICT,
            outcome=Outcome.UNKNOWN,
            retry_after=_RETRY_AFTER,
        )
    if verdict is Verdict.KEY_REUSED:
        return RequestError(
            ErrorCode.KEY_REUSED,
            "the idempotency key was used with another request",
            status=_CONFLICT,
        )
    return RequestError(
        ErrorCode.CLAIMS_UNAVAILABLE,
        "the request could not be claimed; nothing was sent",
        status=503,
        retry_after=_RETRY_AFTER,
    )
