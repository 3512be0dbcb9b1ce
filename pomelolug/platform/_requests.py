"""Headers of callers' requests and of servers' responses."""

import dataclasses
from collections.abc import Iterable

from pomelolug.ids import AccountId, ModelName, RequestId, VmId
from pomelolug.platform import _words
from pomelolug.transport import ResponseHead

__all__ = [
    "CallerHead",
    "ServerReply",
    "decode_caller_head",
    "decode_server_reply",
    "forwarded_headers",
    "refusal_headers",
    "response_headers",
]

_CONNECTION_FIELDS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
_OWN_FIELDS = frozenset(
    name.lower()
    for name in (
        _words.DEADLINE_MS,
        _words.TENANT,
        _words.EXPECT_INSTANCE,
        _words.AUTHORIZATION,
        _words.LAST_EVENT_ID,
        _words.URGENCY,
    )
)
_LARGEST_DEADLINE_MS = 86_400_000.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallerHead:
    """What a caller's header fields say.

    Parameters
    ----------
    request : RequestId
        Id of this try; another try of the same caller has another id.
    host : str
        Host that selects the route.
    path : str
        Path without the query.
    deadline_s : float or None
        How long the caller waits, in seconds.
    key : str or None
        Key of the client account.
    model : ModelName or None
        Model that has to run the request.
    prompt_tokens, answer_tokens : int
        Tokens of the prompt, and the most of the answer; 0 if unknown.
    last_event : int or None
        Id of the event after which the caller resumes a stream.
    """

    request: RequestId
    host: str
    path: str
    deadline_s: float | None
    key: str | None
    model: ModelName | None
    prompt_tokens: int
    answer_tokens: int
    last_event: int | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerReply:
    """What the head of a server's response says.

    `refused` is the server's statement that the request did not run. `sealed`
    is whether the response carries the server's signature, which a success
    needs. `encoded` marks a body that is not the server's own bytes.
    """

    status: int
    request: RequestId | None
    sealed: bool
    refused: bool
    encoded: bool
    at_fault: VmId | None


def decode_caller_head(
    target: bytes, headers: Iterable[tuple[bytes, bytes]]
) -> CallerHead:
    """Return the typed head of a caller's request; absent fields are None."""
    fields = {name.lower(): value for name, value in headers}
    prompt, answer = _tokens(fields.get(_words.TOKENS.lower(), b""))
    return CallerHead(
        request=RequestId(_text(fields.get(_words.REQUEST_ID.lower()))),
        host=_text(fields.get(b"host")).lower(),
        path=_text(target.partition(b"?")[0]),
        deadline_s=_deadline_s(fields.get(_words.DEADLINE_MS.lower())),
        key=_key(fields.get(_words.AUTHORIZATION.lower())),
        model=_model(fields.get(_words.MODEL.lower())),
        prompt_tokens=prompt,
        answer_tokens=answer,
        last_event=_integer(fields.get(_words.LAST_EVENT_ID.lower())),
    )


def forwarded_headers(
    headers: Iterable[tuple[bytes, bytes]],
    *,
    server: VmId,
    remaining_s: float,
    account: AccountId | None,
    last_event: int | None,
    urgency: int | None = None,
) -> list[tuple[bytes, bytes]]:
    """Return the header fields of a request for a server.

    Fields that concern the caller's connection or that this system sets are
    replaced; the caller's key is not passed on.
    """
    dropped = _CONNECTION_FIELDS | _OWN_FIELDS
    fields = [(k, v) for k, v in headers if k.lower() not in dropped]
    fields.append((_words.DEADLINE_MS, b"%d" % max(int(remaining_s * 1000), 1)))
    fields.append((_words.EXPECT_INSTANCE, server.encode()))
    if account is not None:
        fields.append((_words.TENANT, account.encode()))
    if last_event is not None:
        fields.append((_words.LAST_EVENT_ID, b"%d" % last_event))
    if urgency is not None:
        fields.append((_words.URGENCY, b"%d" % urgency))
    return fields


def decode_server_reply(head: ResponseHead) -> ServerReply:
    """Return the typed head of a server's response."""
    request = head.get(_words.REQUEST_ID)
    at_fault = head.get(_words.AT_SERVER)
    return ServerReply(
        status=head.status,
        request=RequestId(_text(request)) if request is not None else None,
        sealed=head.get(_words.SEAL) is not None,
        refused=head.status == 421 or head.get(_words.NOT_EXECUTED) is not None,
        encoded=head.get(b"content-encoding") is not None,
        at_fault=VmId(_text(at_fault)) if at_fault is not None else None,
    )


def response_headers(head: ResponseHead) -> tuple[tuple[bytes, bytes], ...]:
    """Return a server's header fields that go to the caller."""
    return tuple((k, v) for k, v in head.headers if k.lower() not in _CONNECTION_FIELDS)


def refusal_headers(
    request: RequestId, retry_after_s: float | None = None
) -> tuple[tuple[bytes, bytes], ...]:
    """Return the header fields of a response made by this system."""
    fields = [(b"Content-Type", b"application/json")]
    if request:
        fields.append((_words.REQUEST_ID, request.encode("latin-1")))
    if retry_after_s is not None:
        fields.append((_words.RETRY_AFTER, b"%.3f" % max(retry_after_s, 0.0)))
    return tuple(fields)


def _text(value: bytes | None) -> str:
    return value.decode("latin-1") if value is not None else ""


def _integer(value: bytes | None) -> int | None:
    try:
        return int(value) if value is not None else None
    except ValueError:
        return None


def _deadline_s(value: bytes | None) -> float | None:
    try:
        milliseconds = float(value) if value is not None else -1.0
    except ValueError:
        return None
    if not 0.0 <= milliseconds <= _LARGEST_DEADLINE_MS:
        return None
    return milliseconds / 1000.0


def _key(value: bytes | None) -> str | None:
    scheme, _, key = _text(value).partition(" ")
    return key.strip() if scheme.lower() == "bearer" and key.strip() else None


def _model(value: bytes | None) -> ModelName | None:
    return ModelName(_text(value)) if value else None


def _tokens(value: bytes) -> tuple[int, int]:
    prompt, _, answer = value.partition(b",")
    return max(_integer(prompt) or 0, 0), max(_integer(answer) or 0, 0)
