"""Bound, parse and classify callers' requests."""

import asyncio
import dataclasses
import datetime
import hashlib
import re
from typing import Any

import msgspec
from starlette.requests import ClientDisconnect, Request

from pomelolug.configuration import Account, Configuration, WorkClass
from pomelolug.errors import ErrorCode, RequestError

__all__ = ["CallerRequest", "classify", "parse_completion", "read_body"]

MAX_PROMPT_MESSAGES = 1000
MAX_TOKENS_LIMIT = 131_072
DEFAULT_MAX_TOKENS = 256
_KEY_FORM = re.compile(r"[\x21-\x7e]{1,200}")
_FALSE_WORDS = frozenset({"no", "false", "0"})
_TRUE_WORDS = frozenset({"yes", "true", "1"})


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallerRequest:
    """An authenticated and classified request.

    Parameters
    ----------
    request_id : str
        Identifier in the answer's ``X-Request-Id``.
    account : Account
        Client account of the caller.
    work_class : WorkClass
        Class of work.
    idempotent : bool
        False if either the class or the request says so.
    idempotency_key : str
        Caller's key, empty if none.
    body : bytes
        Body as received.
    completion : dict
        Parsed completion request, empty for a plain service.
    chat : bool
        Whether the caller used the chat call.
    stream : bool
        Whether the caller wants server-sent events.
    """

    request_id: str
    account: Account
    work_class: WorkClass
    idempotent: bool
    idempotency_key: str
    body: bytes
    completion: dict[str, Any] = dataclasses.field(default_factory=dict)
    chat: bool = False
    stream: bool = False

    @property
    def fingerprint(self) -> bytes:
        """Digest by which a request that is sent again is recognised."""
        digest = hashlib.blake2b(digest_size=16)
        digest.update(self.account.name.encode())
        digest.update(self.body)
        return digest.digest()


async def read_body(
    request: Request, *, limit: int, timeout: datetime.timedelta
) -> bytes:
    """Return the request's body.

    Parameters
    ----------
    request : starlette.requests.Request
        The request.
    limit : int
        Largest size in bytes.
    timeout : datetime.timedelta
        Time for the whole body; a slow sender is refused after it.

    Returns
    -------
    bytes
        The whole body.

    Raises
    ------
    RequestError
        ``body_too_large`` or ``body_too_slow``.
    """
    declared = request.headers.get("content-length", "0")
    if declared.isdigit() and int(declared) > limit:
        raise _too_large(limit)
    parts: list[bytes] = []
    size = 0
    try:
        async with asyncio.timeout(timeout.total_seconds()):
            async for part in request.stream():
                size += len(part)
                if size > limit:
                    raise _too_large(limit)
                parts.append(part)
    except TimeoutError:
        raise RequestError(
            ErrorCode.BODY_TOO_SLOW, "the body did not arrive in time", status=408
        ) from None
    except ClientDisconnect:
        raise RequestError(
            ErrorCode.BAD_REQUEST, "the caller closed the connection", status=400
        ) from None
    return b"".join(parts)


def _too_large(limit: int) -> RequestError:
    return RequestError(
        ErrorCode.BODY_TOO_LARGE, f"the body exceeds {limit} bytes", status=413
    )


def _bad(message: str) -> RequestError:
    return RequestError(ErrorCode.BAD_REQUEST, message, status=400)


def classify(
    request: Request,
    *,
    configuration: Configuration,
    account: Account,
    pool_of_model: str | None = None,
    service: str | None = None,
) -> tuple[WorkClass, bool, str]:
    """Return class, idempotence and idempotency key of a request.

    The class is the one named by ``X-Work-Class``, else the lowest-priority
    class that the account may use for the target, so that an unlabelled request
    cannot displace a labelled one. Idempotent classes go first in that choice,
    because the others need a key.

    Raises
    ------
    RequestError
        ``unknown_class``, ``class_not_allowed``, ``key_malformed`` or
        ``key_required``.
    """
    name = request.headers.get("x-work-class")
    if name is not None:
        found = [c for c in configuration.classes if c.name == name]
        if not found:
            raise RequestError(
                ErrorCode.UNKNOWN_CLASS, f"no class {name[:60]!r}", status=400
            )
    else:
        found = [
            c
            for c in sorted(configuration.classes, key=_default_order)
            if (c.pool == pool_of_model if service is None else c.service == service)
            and (not account.classes or c.name in account.classes)
        ]
        if not found:
            raise RequestError(
                ErrorCode.UNKNOWN_CLASS, "no class fits the request", status=400
            )
    work_class = found[0]
    if account.classes and work_class.name not in account.classes:
        raise RequestError(
            ErrorCode.CLASS_NOT_ALLOWED,
            f"the account may not use class {work_class.name!r}",
            status=403,
        )
    fits = (
        work_class.service == service
        if service is not None
        else work_class.pool == pool_of_model
    )
    if not fits:
        raise RequestError(
            ErrorCode.UNKNOWN_CLASS,
            f"class {work_class.name!r} is not for this target",
            status=400,
        )
    idempotent = work_class.idempotent and _says_idempotent(request)
    key = request.headers.get("idempotency-key", "")
    if key and not _KEY_FORM.fullmatch(key):
        raise RequestError(
            ErrorCode.KEY_MALFORMED,
            "the idempotency key must be 1 to 200 printable ASCII characters",
            status=400,
        )
    if not idempotent and not key:
        raise RequestError(
            ErrorCode.KEY_REQUIRED,
            "a non-idempotent request needs an Idempotency-Key header",
            status=400,
        )
    return work_class, idempotent, key


def _default_order(work_class: WorkClass) -> tuple[bool, int, str]:
    return (not work_class.idempotent, work_class.priority, work_class.name)


def _says_idempotent(request: Request) -> bool:
    word = request.headers.get("x-idempotent", "yes").lower()
    if word in _TRUE_WORDS:
        return True
    if word in _FALSE_WORDS:
        return False
    raise _bad("X-Idempotent must be yes or no")


def parse_completion(body: bytes, *, chat: bool) -> dict[str, Any]:
    """Return the checked completion request in `body`.

    Parameters
    ----------
    body : bytes
        JSON of a completion or chat-completion request.
    chat : bool
        Which of the two it is.

    Returns
    -------
    dict
        With ``model``, ``max_tokens``, ``stream`` and ``prompt`` or
        ``messages`` of the right types; other fields are passed on.

    Raises
    ------
    RequestError
        ``bad_request`` naming the first field at fault.

    Examples
    --------
    >>> parse_completion(b'{"model": "m", "prompt": "p"}', chat=False)["max_tokens"]
    256
    """
    try:
        parsed = msgspec.json.decode(body, type=dict[str, Any])
    except (msgspec.DecodeError, RecursionError):
        raise _bad("the body is not a JSON object") from None
    model = parsed.get("model")
    if not isinstance(model, str) or not model:
        raise _bad("model must be a non-empty string")
    max_tokens = parsed.setdefault("max_tokens", DEFAULT_MAX_TOKENS)
    if type(max_tokens) is not int or not 1 <= max_tokens <= MAX_TOKENS_LIMIT:
        raise _bad(f"max_tokens must be an integer from 1 to {MAX_TOKENS_LIMIT}")
    if type(parsed.setdefault("stream", False)) is not bool:
        raise _bad("stream must be true or false")
    if parsed.get("n", 1) != 1:
        raise _bad("n must be 1")
    if chat:
        _check_messages(parsed.get("messages"))
    elif not isinstance(parsed.get("prompt"), str):
        raise _bad("prompt must be a string")
    return parsed


def _check_messages(messages: Any) -> None:
    if not isinstance(messages, list) or not 0 < len(messages) <= MAX_PROMPT_MESSAGES:
        raise _bad(f"messages must be a list of 1 to {MAX_PROMPT_MESSAGES} messages")
    for message in messages:
        if (
            not isinstance(message, dict)
            or not isinstance(message.get("role"), str)
            or not isinstance(message.get("content"), str)
        ):
            raise _bad("each message needs a role and a content string")
