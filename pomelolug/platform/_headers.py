"""Headers of callers' requests and of servers' responses."""

import dataclasses
import datetime
import math
from collections.abc import Iterable

from pomelolug.deployment import ServerNotice
from pomelolug.ids import AccountId, ModelName, RequestId, VmId
from pomelolug.platform import _wire_names
from pomelolug.platform._cold_times import decode_cold_time
from pomelolug.transport import ResponseHead

__all__ = [
    "RequestHead",
    "ServerReply",
    "decode_request_head",
    "decode_retry_after",
    "decode_server_notice",
    "decode_server_reply",
    "decode_store_era",
    "find_forwarded_field",
    "find_outcome_field",
    "forwarded_headers",
    "outcome_headers",
    "peer_headers",
    "refusal_headers",
    "response_headers",
]

_HOP_BY_HOP_FIELDS = frozenset(
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
_INTERNAL_FIELDS = frozenset(
    name.lower() for name in (_wire_names.FORWARDED, _wire_names.OUTCOME)
)
"""Fields between nodes, which neither servers nor callers send or receive."""
_MAX_PROMPT_PARTS = 32
"""Maximum number of parts of a prompt by which requests are compared."""
_REPLACED_FIELDS = frozenset(
    name.lower()
    for name in (
        _wire_names.DEADLINE_MS,
        _wire_names.TENANT,
        _wire_names.EXPECT_INSTANCE,
        _wire_names.AUTHORIZATION,
        _wire_names.LAST_EVENT_ID,
        _wire_names.REQUEST_URGENCY,
    )
)
_REPLACED_FOR_PEER = frozenset(
    name.lower() for name in (_wire_names.DEADLINE_MS, _wire_names.LAST_EVENT_ID)
)
_MAX_DEADLINE_MS = 86_400_000.0
_MAX_PAUSE_S = 86_400.0
"""Longest pause of a server, in seconds; a longer one is shortened to it."""
_UNAVAILABLE_STATUS = 503
_OTHER_SERVER_STATUS = 421
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestHead:
    """The decoded target and header fields of a caller's request.

    Parameters
    ----------
    request_id : RequestId
        Id of this attempt; a retry by the same caller has a different id.
    host : str
        Host name, which selects the route together with the path.
    path : str
        Path without the query.
    deadline_s : float or None
        Time that the caller waits for the response, in seconds.
    api_key : str or None
        API key of the client account.
    model : ModelName or None
        Model that the request is for.
    prompt_tokens, answer_tokens : int
        Prompt tokens and maximum output tokens; 0 if unknown.
    last_event_id : int or None
        Id of the event after which the caller resumes a stream.
    shared_prompt_parts : tuple of str
        Ids of the parts of the prompt that other requests may share, in order.
    """

    request_id: RequestId
    host: str
    path: str
    deadline_s: float | None
    api_key: str | None
    model: ModelName | None
    prompt_tokens: int
    answer_tokens: int
    last_event_id: int | None
    shared_prompt_parts: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerReply:
    """The decoded status and header fields of a server's response.

    `refused` is true if the server states that it did not run the request.
    `sealed` is true if the response carries the server's signature, which a
    successful response needs. `encoded` is true if the body has a content
    encoding, so that it is not the server's original bytes.
    `notice` is what the server states about itself.
    """

    status: int
    request_id: RequestId | None
    sealed: bool
    refused: bool
    encoded: bool
    at_fault: VmId | None
    notice: ServerNotice


def decode_request_head(
    target: bytes, headers: Iterable[tuple[bytes, bytes]]
) -> RequestHead:
    """Decode the target and header fields of a caller's request.

    Fields that are missing or malformed become None, an empty string or 0.
    """
    fields = {name.lower(): value for name, value in headers}
    prompt, answer = _decode_token_counts(
        fields.get(_wire_names.TOKEN_COUNT.lower(), b"")
    )
    return RequestHead(
        request_id=RequestId(_decode_text(fields.get(_wire_names.REQUEST_ID.lower()))),
        host=_decode_text(fields.get(b"host")).lower(),
        path=_decode_text(target.partition(b"?")[0]),
        deadline_s=_decode_deadline_s(fields.get(_wire_names.DEADLINE_MS.lower())),
        api_key=_decode_bearer_key(fields.get(_wire_names.AUTHORIZATION.lower())),
        model=_decode_model(fields.get(_wire_names.MODEL.lower())),
        prompt_tokens=prompt,
        answer_tokens=answer,
        last_event_id=_decode_integer(fields.get(_wire_names.LAST_EVENT_ID.lower())),
        shared_prompt_parts=_decode_shared_prompt_parts(
            fields.get(_wire_names.PROMPT_PREFIX.lower(), b"")
        ),
    )


def forwarded_headers(
    headers: Iterable[tuple[bytes, bytes]],
    *,
    server: VmId,
    remaining_s: float,
    account: AccountId | None,
    last_event_id: int | None,
    urgency: int | None = None,
) -> list[tuple[bytes, bytes]]:
    """Return the header fields of a request for a server.

    Hop-by-hop fields of the caller's connection and fields between nodes are removed.
    Fields that this system sets are replaced, and the caller's API key is not
    forwarded.
    """
    fields = _replace_fields(
        headers,
        replaced=_REPLACED_FIELDS,
        remaining_s=remaining_s,
        last_event_id=last_event_id,
    )
    fields.append((_wire_names.EXPECT_INSTANCE, server.encode()))
    if account is not None:
        fields.append((_wire_names.TENANT, account.encode()))
    if urgency is not None:
        fields.append((_wire_names.REQUEST_URGENCY, b"%d" % urgency))
    return fields


def peer_headers(
    headers: Iterable[tuple[bytes, bytes]],
    *,
    remaining_s: float,
    last_event_id: int | None,
    forwarded: bytes,
) -> list[tuple[bytes, bytes]]:
    """Return the header fields of a request that another node shall handle.

    The other node handles it like a request of its own caller, so the API key stays.
    `forwarded` is the value of the field by which it recognizes the request.
    """
    fields = _replace_fields(
        headers,
        replaced=_REPLACED_FOR_PEER,
        remaining_s=remaining_s,
        last_event_id=last_event_id,
    )
    fields.append((_wire_names.FORWARDED, forwarded))
    return fields


def find_forwarded_field(headers: Iterable[tuple[bytes, bytes]]) -> bytes | None:
    """Return the value of the field of a forwarded request.

    It is None if the field is missing or repeated.
    """
    name = _wire_names.FORWARDED.lower()
    values = [v for k, v in headers if k.lower() == name]
    return values[0] if len(values) == 1 else None


def outcome_headers(outcome: bytes) -> tuple[tuple[bytes, bytes], ...]:
    """Return the header fields that mark an error made by a node for another one."""
    return ((_wire_names.OUTCOME, outcome),)


def find_outcome_field(head: ResponseHead) -> bytes | None:
    """Return the value of the field that marks an error of another node, or None."""
    return head.get(_wire_names.OUTCOME)


def decode_server_reply(head: ResponseHead) -> ServerReply:
    """Decode the status and header fields of a server's response."""
    request = head.get(_wire_names.REQUEST_ID)
    at_fault = head.get(_wire_names.AT_SERVER)
    return ServerReply(
        status=head.status,
        request_id=RequestId(_decode_text(request)) if request is not None else None,
        sealed=head.get(_wire_names.RESPONSE_SEAL) is not None,
        refused=head.status == _OTHER_SERVER_STATUS
        or head.get(_wire_names.NOT_EXECUTED) is not None,
        encoded=head.get(b"content-encoding") is not None,
        at_fault=VmId(_decode_text(at_fault)) if at_fault is not None else None,
        notice=decode_server_notice(head),
    )


def decode_server_notice(head: ResponseHead) -> ServerNotice:
    """Return what a server states about itself in a response.

    A pause counts only in a response that turns the request away. It is a number of
    seconds: a date would depend on the clocks of both VMs. A response from another
    server than the one addressed says nothing of the latter's coldness.
    """
    retry_after = head.get(_wire_names.RETRY_AFTER)
    names_pause = head.status == _UNAVAILABLE_STATUS and retry_after is not None
    pause_s = _decode_pause_s(retry_after) if names_pause else None
    is_addressee = head.status != _OTHER_SERVER_STATUS
    cold_for, has_invalid_cold_time = decode_cold_time(
        head.get(_wire_names.COLD_MS) if is_addressee else None
    )
    return ServerNotice(
        request_limit_per_s=_decode_rate(head.get(_wire_names.SERVER_LIMIT)),
        is_leaving=(head.get(_wire_names.SERVER_LEAVING) or b"").strip() == b"1",
        pause=datetime.timedelta(seconds=pause_s) if pause_s is not None else None,
        has_invalid_pause=names_pause and pause_s is None,
        cold_for=cold_for,
        has_invalid_cold_time=has_invalid_cold_time,
    )


def decode_store_era(head: ResponseHead) -> int | None:
    """Return the era that the store names in a response, None if it names none."""
    era = _decode_integer(head.get(_wire_names.STORE_ERA))
    return era if era is not None and era >= 0 else None


def decode_retry_after(head: ResponseHead) -> datetime.timedelta | None:
    """Return the Retry-After of an error that a node made, None if it has none."""
    seconds = _decode_rate(head.get(_wire_names.RETRY_AFTER))
    if seconds is None:
        return None
    return datetime.timedelta(seconds=min(seconds, _MAX_PAUSE_S))


def implies_not_run(status: int) -> bool:
    """Return whether callers take a status as the promise that nothing has run."""
    return status in _NOT_RUN_STATUSES


def response_headers(head: ResponseHead) -> tuple[tuple[bytes, bytes], ...]:
    """Return a server's header fields that go to the caller."""
    dropped = _HOP_BY_HOP_FIELDS | _INTERNAL_FIELDS
    return tuple((k, v) for k, v in head.headers if k.lower() not in dropped)


def refusal_headers(
    request_id: RequestId, retry_after_s: float | None = None
) -> tuple[tuple[bytes, bytes], ...]:
    """Return the header fields of an error response generated by this system."""
    fields = [(b"Content-Type", b"application/json")]
    if request_id:
        fields.append((_wire_names.REQUEST_ID, request_id.encode("latin-1")))
    if retry_after_s is not None:
        fields.append((_wire_names.RETRY_AFTER, b"%.3f" % max(retry_after_s, 0.0)))
    return tuple(fields)


def _replace_fields(
    headers: Iterable[tuple[bytes, bytes]],
    *,
    replaced: frozenset[bytes],
    remaining_s: float,
    last_event_id: int | None,
) -> list[tuple[bytes, bytes]]:
    """Return a caller's fields that are passed on, with deadline and last event."""
    dropped = _HOP_BY_HOP_FIELDS | _INTERNAL_FIELDS | replaced
    fields = [(k, v) for k, v in headers if k.lower() not in dropped]
    fields.append((_wire_names.DEADLINE_MS, b"%d" % max(int(remaining_s * 1000), 1)))
    if last_event_id is not None:
        fields.append((_wire_names.LAST_EVENT_ID, b"%d" % last_event_id))
    return fields


def _decode_text(value: bytes | None) -> str:
    return value.decode("latin-1") if value is not None else ""


def _decode_integer(value: bytes | None) -> int | None:
    try:
        return int(value) if value is not None else None
    except ValueError:
        return None


def _decode_deadline_s(value: bytes | None) -> float | None:
    try:
        milliseconds = float(value) if value is not None else -1.0
    except ValueError:
        return None
    if not 0.0 <= milliseconds <= _MAX_DEADLINE_MS:
        return None
    return milliseconds / 1000.0


def _decode_rate(value: bytes | None) -> float | None:
    try:
        rate = float(value) if value is not None else -1.0
    except ValueError:
        return None
    return rate if rate >= 0.0 and math.isfinite(rate) else None


def _decode_pause_s(value: bytes | None) -> float | None:
    seconds = _decode_rate(value)
    return min(seconds, _MAX_PAUSE_S) if seconds else None


def _decode_bearer_key(value: bytes | None) -> str | None:
    scheme, _, key = _decode_text(value).partition(" ")
    return key.strip() if scheme.lower() == "bearer" and key.strip() else None


def _decode_model(value: bytes | None) -> ModelName | None:
    return ModelName(_decode_text(value)) if value else None


def _decode_shared_prompt_parts(value: bytes) -> tuple[str, ...]:
    """Return the ids of all parts but the last, which belongs to the request alone."""
    parts = [part.partition(b":")[0].strip() for part in value.split(b",")]
    shared = [_decode_text(part).lower() for part in parts[:-1] if part]
    return tuple(shared[:_MAX_PROMPT_PARTS])


def _decode_token_counts(value: bytes) -> tuple[int, int]:
    prompt, _, answer = value.partition(b",")
    return max(_decode_integer(prompt) or 0, 0), max(_decode_integer(answer) or 0, 0)
