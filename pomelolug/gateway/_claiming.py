"""Claims of requests, with refusals as errors for the caller."""

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
_HTTP_CONFLICT = 409
_SOLO_KEY_PREFIX = b"isolated run\0"
_SOLO_RETRY_INTERVAL = datetime.timedelta(milliseconds=250)
_CONFLICT_ERRORS = {
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
    """Obtains and settles the claims of requests.

    A non-idempotent request is claimed by its idempotency key, so that only the copy
    whose claim is granted is dispatched. An idempotent request with a strike is
    claimed by its fingerprint, so that its copies run one after another. This is what
    a solo run means here; the placement keeps it apart from other requests with a
    strike.

    Parameters
    ----------
    client : ClaimClient
        Client of the claim relays.
    clock : Clock
        Source of wall time, used for keys that contain a time, and of monotonic time.
    window : datetime.timedelta
        Time for which keys are remembered.
    """

    def __init__(
        self, *, client: ClaimClient, clock: Clock, window: datetime.timedelta
    ) -> None:
        self._client = client
        self._clock = clock
        self._window = window

    @contextlib.asynccontextmanager
    async def hold_claim(
        self, request: CallerRequest, content: bytes
    ) -> AsyncIterator[ClaimTicket]:
        """Hold the claim of a request inside the context.

        When the context ends, a ticket that was dispatched but not settled is
        recorded as unknown, and one that was not dispatched is released.

        Parameters
        ----------
        request : CallerRequest
            Request with an idempotency key.
        content : bytes
            Content that is the same in all copies of the request.

        Raises
        ------
        RequestError
            If the claim is not granted or the key is too old.
        """
        self._check_key_age(request.idempotency_key)
        ticket = await self._client.claim(
            derive_claim_key(request.account.name, request.idempotency_key),
            hashlib.sha256(content).digest(),
        )
        if ticket.verdict is not Verdict.GRANTED:
            raise _refusal_error(ticket.verdict)
        try:
            yield ticket
        finally:
            if ticket.state is TicketState.DISPATCHED:
                ticket.mark_unknown()
            elif ticket.state is TicketState.GRANTED:
                ticket.release()

    @contextlib.asynccontextmanager
    async def hold_solo_run(
        self,
        fingerprint: bytes,
        *,
        wait_until_s: float,
        check_allowed: Callable[[], None],
    ) -> AsyncIterator[None]:
        """Let a request with a strike run inside the context, without other copies.

        Copies of a request that crashes its groups can arrive through several entry
        VMs at once, and each would cost a group if they ran concurrently. If the log
        does not respond, the request runs nevertheless, because idempotent requests
        must not depend on the log.

        Parameters
        ----------
        fingerprint : bytes
            Digest of the request.
        wait_until_s : float
            Monotonic time until which to wait for another copy, in seconds.
        check_allowed : callable
            Called before each try; raises if the request may no longer run.

        Raises
        ------
        RequestError
            ``in_progress`` if another copy still runs at `wait_until_s`.
        """
        key = hashlib.sha256(_SOLO_KEY_PREFIX + fingerprint).digest()
        ticket = await self._claim_solo_run(key, wait_until_s, check_allowed)
        try:
            yield
        finally:
            if ticket.state is TicketState.GRANTED:
                ticket.release()

    async def _claim_solo_run(
        self, key: bytes, wait_until_s: float, check_allowed: Callable[[], None]
    ) -> ClaimTicket:
        while True:
            check_allowed()
            ticket = await self._client.claim(key, key)
            if ticket.verdict is not Verdict.IN_PROGRESS:
                return ticket
            if self._clock.monotonic() >= wait_until_s:
                raise _refusal_error(Verdict.IN_PROGRESS)
            await self._clock.sleep(_SOLO_RETRY_INTERVAL)

    def _check_key_age(self, key: str) -> None:
        created_at = parse_key_time(key)
        if created_at is not None and self._clock.now() - created_at > self._window:
            raise RequestError(
                ErrorCode.KEY_EXPIRED,
                "the key is older than the time for which keys are remembered",
                status=_HTTP_CONFLICT,
                outcome=Outcome.UNKNOWN,
            )


def _refusal_error(verdict: Verdict) -> RequestError:
    if verdict in _CONFLICT_ERRORS:
        code, message = _CONFLICT_ERRORS[verdict]
        return RequestError(
            code,
            message,
            status=_HTTP_CONFLICT,
            outcome=Outcome.UNKNOWN,
            retry_after=_RETRY_AFTER,
        )
    if verdict is Verdict.KEY_REUSED:
        return RequestError(
            ErrorCode.KEY_REUSED,
            "the idempotency key was used with another request",
            status=_HTTP_CONFLICT,
        )
    return RequestError(
        ErrorCode.CLAIMS_UNAVAILABLE,
        "the request could not be claimed; nothing was sent",
        status=503,
        retry_after=_RETRY_AFTER,
    )
