"""Requests that a node forwards to another node which reaches the servers.

The other node handles such a request like one of its own caller. It passes a server's
response on as it is. An error that it makes itself carries a field with its outcome
and its code.
"""

import dataclasses
import re
from collections.abc import Iterable

import msgspec

from pomelolug.entry.requests._attempt import (
    CONNECTION_END_REASONS,
    AttemptError,
    BaseAttempt,
    RunStatus,
)
from pomelolug.errors import ErrorCode, Outcome, RequestError
from pomelolug.platform import (
    ServerReply,
    decode_retry_after,
    decode_server_reply,
    find_forwarded_field,
    find_outcome_field,
)
from pomelolug.transport import HttpConnectionError, ResponseHead

__all__ = [
    "ForwardedRequest",
    "PeerAttempt",
    "PeerRefusalError",
    "decode_forwarded",
    "decode_outcome",
    "encode_forwarded",
    "encode_outcome",
]

_FORWARDED = re.compile(rb"([0-9]{1,18}) ([0-9]{1,9})")
"""Version and number of runs; the lengths keep both within 64 bits."""
_MAX_ERROR_BODY_BYTES = 64 * 1024
"""Largest error body that is read; errors of a node take some hundred bytes."""
_ELSEWHERE_CODES = frozenset(
    {
        ErrorCode.BACKEND_UNREACHABLE,
        ErrorCode.CONNECTION_LIMIT,
        ErrorCode.DRAINING,
        ErrorCode.MEMORY_LIMIT,
        ErrorCode.NO_CONFIGURATION,
        # A node that has lost its servers too lists none of them as ready.
        ErrorCode.NO_GROUP,
    }
)
"""Codes of errors whose cause is the node, so that another one may do better."""
_UNKNOWN_MESSAGE = "another node could not complete the request"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ForwardedRequest:
    """What a node states about a request that it forwards.

    Parameters
    ----------
    declaration_version : int
        Version of the declaration in force on the node that forwards the request.
    possible_runs : int
        Number of times that the request may have run so far.
    """

    declaration_version: int
    possible_runs: int


class PeerRefusalError(Exception):
    """Another node answered a forwarded request with an error of its own.

    Parameters
    ----------
    error : RequestError
        The error, whose outcome is that of the attempts of the other node.
    """

    def __init__(self, error: RequestError) -> None:
        super().__init__(str(error))
        self._error = error

    @property
    def error(self) -> RequestError:
        """The error of the other node."""
        return self._error

    @property
    def has_not_run(self) -> bool:
        """Whether the other node states that no server has run the request."""
        return self._error.outcome is Outcome.NOT_RUN

    @property
    def may_try_another(self) -> bool:
        """Whether a further node may succeed, and this one has not run the request."""
        return self.has_not_run and self._error.code in _ELSEWHERE_CODES


class PeerAttempt(BaseAttempt):
    """Request to another node, used as an asynchronous context manager.

    On exit, the connection returns to the pool if the whole response was read.
    Otherwise it is aborted, which makes the other node give up the run.
    """

    async def send(self, data: bytes, *, fresh: bool) -> None:
        """Send a complete request; `fresh` requires a new connection.

        Raises
        ------
        AttemptError
            If the node cannot be reached, which proves that the request did not run.
        """
        try:
            self._connection = await self._pool.acquire(self._address, fresh=fresh)
            self._connection.send(data)
        except HttpConnectionError as error:
            raise AttemptError(
                "peer_unreachable",
                run_status=RunStatus.NOT_RUN,
                may_have_arrived=False,
            ) from error

    async def read_head(self) -> tuple[ServerReply, ResponseHead]:
        """Return the head of the server's response, as the other node passes it on.

        Raises
        ------
        AttemptError
            If the connection ends first, or the response belongs to another request.
        PeerRefusalError
            If the other node made an error itself.
        """
        try:
            head = await self._require_connection().read_head()
        except HttpConnectionError as error:
            raise self._lost_head_error(error) from error
        outcome_field = find_outcome_field(head)
        if outcome_field is not None:
            raise PeerRefusalError(await self._read_error(head, outcome_field))
        reply = decode_server_reply(head)
        if reply.request_id not in (None, self._request_id):
            raise AttemptError(
                "foreign_responses",
                run_status=RunStatus.MAY_HAVE_RUN,
                may_have_arrived=True,
            )
        return reply, head

    def record_event(self) -> None:
        """Do nothing: the other node records the run."""

    async def _read_error(
        self, head: ResponseHead, outcome_field: bytes
    ) -> RequestError:
        outcome, code = decode_outcome(outcome_field)
        try:
            body = await self.read_body(_MAX_ERROR_BODY_BYTES)
        except AttemptError:
            # The field states the outcome without the body.
            body = b""
        return RequestError(
            code,
            _decode_message(body),
            status=head.status,
            outcome=outcome,
            retry_after=decode_retry_after(head),
        )

    def _lost_reason(self, error: HttpConnectionError) -> str:
        reason = super()._lost_reason(error)
        return "peer_lost" if reason in CONNECTION_END_REASONS else reason


class _ErrorDetail(msgspec.Struct):
    message: str = _UNKNOWN_MESSAGE


class _ErrorBody(msgspec.Struct):
    error: _ErrorDetail


def encode_forwarded(forwarded: ForwardedRequest) -> bytes:
    """Return the value of the field of a forwarded request."""
    return b"%d %d" % (forwarded.declaration_version, forwarded.possible_runs)


def decode_forwarded(
    headers: Iterable[tuple[bytes, bytes]],
) -> ForwardedRequest | None:
    """Return what a node states about a request, None if that is unreadable."""
    match = _FORWARDED.fullmatch(find_forwarded_field(headers) or b"")
    if match is None:
        return None
    return ForwardedRequest(
        declaration_version=int(match[1]), possible_runs=int(match[2])
    )


def encode_outcome(outcome: Outcome, code: ErrorCode) -> bytes:
    """Return the value of the field of an error that a node makes itself."""
    return f"{outcome.value} {code.value}".encode()


def decode_outcome(value: bytes) -> tuple[Outcome, ErrorCode]:
    """Return outcome and code of an error of another node.

    A node of another version may use values that are not known here. An unknown
    outcome value becomes ``UNKNOWN``, and an unknown code ``BACKEND_LOST``.
    """
    outcome_text, _, code_text = value.decode("latin-1").strip().partition(" ")
    try:
        outcome = Outcome(outcome_text)
    except ValueError:
        outcome = Outcome.UNKNOWN
    try:
        code = ErrorCode(code_text)
    except ValueError:
        code = ErrorCode.BACKEND_LOST
    return outcome, code


def _decode_message(body: bytes) -> str:
    try:
        return msgspec.json.decode(body, type=_ErrorBody).error.message
    except (msgspec.DecodeError, UnicodeDecodeError):
        return _UNKNOWN_MESSAGE
