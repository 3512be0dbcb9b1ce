"""Reading, validation and classification of callers' requests."""

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

__all__ = ["CallerRequest", "classify_request", "parse_completion", "read_body"]

MAX_PROMPT_MESSAGES = 1000
MAX_TOKENS_LIMIT = 131_072
DEFAULT_MAX_TOKENS = 256
_KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,200}")
_FALSE_VALUES = frozenset({"no", "false", "0"})
_TRUE_VALUES = frozenset({"yes", "true", "1"})


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallerRequest:
    """Authenticated and classified request of a caller.

    Parameters
    ----------
    request_id : str
        Identifier that the response carries as ``X-Request-Id``.
    account : Account
        Client account of the caller.
    work_class : WorkClass
        Work class of the request.
    idempotent : bool
        False if either the work class or the request declares it not idempotent.
    idempotency_key : str
        Idempotency key of the caller, empty if there is none.
    body : bytes
        Request body as received.
    completion : dict
        Parsed completion request, empty for a request to a plain service.
    chat : bool
        Whether the caller used the chat completion endpoint.
    stream : bool
        Whether the caller asked for server-sent events.
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
        """Digest of account and body, by which a repeated request is recognised."""
        digest = hashlib.blake2b(digest_size=16)
        digest.update(self.account.name.encode())
        digest.update(self.body)
        return digest.digest()


async def read_body(
    request: Request, *, max_bytes: int, timeout: datetime.timedelta
) -> bytes:
    """Read the request body, limited in size and time.

    Parameters
    ----------
    request : starlette.requests.Request
        Request to read.
    max_bytes : int
        Largest accepted size in bytes.
    timeout : datetime.timedelta
        Time in which the whole body must arrive.

    Returns
    -------
    bytes
        Complete body.

    Raises
    ------
    RequestError
        ``body_too_large``, ``body_too_slow``, or ``bad_request`` if the caller
        disconnects.
    """
    content_length = request.headers.get("content-length", "0")
    if content_length.isdigit() and int(content_length) > max_bytes:
        raise _body_too_large_error(max_bytes)
    chunks: list[bytes] = []
    size = 0
    try:
        async with asyncio.timeout(timeout.total_seconds()):
            async for chunk in request.stream():
                size += len(chunk)
                if size > max_bytes:
                    raise _body_too_large_error(max_bytes)
                chunks.append(chunk)
    except TimeoutError:
        raise RequestError(
            ErrorCode.BODY_TOO_SLOW, "the body did not arrive in time", status=408
        ) from None
    except ClientDisconnect:
        raise RequestError(
            ErrorCode.BAD_REQUEST, "the caller closed the connection", status=400
        ) from None
    return b"".join(chunks)


def _body_too_large_error(max_bytes: int) -> RequestError:
    return RequestError(
        ErrorCode.BODY_TOO_LARGE, f"the body exceeds {max_bytes} bytes", status=413
    )


def _bad_request_error(message: str) -> RequestError:
    return RequestError(ErrorCode.BAD_REQUEST, message, status=400)


def classify_request(
    request: Request,
    *,
    configuration: Configuration,
    account: Account,
    model_pool: str | None = None,
    service: str | None = None,
) -> tuple[WorkClass, bool, str]:
    """Return the work class, idempotence and idempotency key of a request.

    The class is the one that ``X-Work-Class`` names. Without that header, it is
    the class with the lowest priority that the account may use for the target,
    so that an unlabelled request cannot displace a labelled one. Idempotent
    classes are preferred in that choice, because the others require a key.

    Raises
    ------
    RequestError
        ``unknown_class``, ``class_not_allowed``, ``key_malformed`` or
        ``key_required``, or ``bad_request`` for an invalid ``X-Idempotent``.
    """
    name = request.headers.get("x-work-class")
    if name is not None:
        candidates = [c for c in configuration.classes if c.name == name]
        if not candidates:
            raise RequestError(
                ErrorCode.UNKNOWN_CLASS, f"no class {name[:60]!r}", status=400
            )
    else:
        candidates = [
            c
            for c in sorted(configuration.classes, key=_default_class_sort_key)
            if (c.pool == model_pool if service is None else c.service == service)
            and (not account.classes or c.name in account.classes)
        ]
        if not candidates:
            raise RequestError(
                ErrorCode.UNKNOWN_CLASS, "no class fits the request", status=400
            )
    work_class = candidates[0]
    if account.classes and work_class.name not in account.classes:
        raise RequestError(
            ErrorCode.CLASS_NOT_ALLOWED,
            f"the account may not use class {work_class.name!r}",
            status=403,
        )
    is_for_target = (
        work_class.service == service
        if service is not None
        else work_class.pool == model_pool
    )
    if not is_for_target:
        raise RequestError(
            ErrorCode.UNKNOWN_CLASS,
            f"class {work_class.name!r} is not for this target",
            status=400,
        )
    idempotent = work_class.idempotent and _is_declared_idempotent(request)
    key = request.headers.get("idempotency-key", "")
    if key and not _KEY_PATTERN.fullmatch(key):
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


def _default_class_sort_key(work_class: WorkClass) -> tuple[bool, int, str]:
    return (not work_class.idempotent, work_class.priority, work_class.name)


def _is_declared_idempotent(request: Request) -> bool:
    value = request.headers.get("x-idempotent", "yes").lower()
    if value in _TRUE_VALUES:
        return True
    if value in _FALSE_VALUES:
        return False
    raise _bad_request_error("X-Idempotent must be yes or no")


def parse_completion(body: bytes, *, chat: bool) -> dict[str, Any]:
    """Decode and validate the completion request in `body`.

    Parameters
    ----------
    body : bytes
        JSON object of a completion or chat completion request.
    chat : bool
        Whether it is a chat completion request.

    Returns
    -------
    dict
        Request whose fields ``model``, ``max_tokens``, ``stream`` and ``prompt``
        or ``messages`` have valid types; other fields are kept unchanged.

    Raises
    ------
    RequestError
        ``bad_request`` that names the first invalid field.

    Examples
    --------
    >>> parse_completion(b'{"model": "m", "prompt": "p"}', chat=False)["max_tokens"]
    256
    """
    try:
        parsed = msgspec.json.decode(body, type=dict[str, Any])
    except (msgspec.DecodeError, RecursionError):
        raise _bad_request_error("the body is not a JSON object") from None
    model = parsed.get("model")
    if not isinstance(model, str) or not model:
        raise _bad_request_error("model must be a non-empty string")
    max_tokens = parsed.setdefault("max_tokens", DEFAULT_MAX_TOKENS)
    if type(max_tokens) is not int or not 1 <= max_tokens <= MAX_TOKENS_LIMIT:
        raise _bad_request_error(
            f"max_tokens must be an integer from 1 to {MAX_TOKENS_LIMIT}"
        )
    if type(parsed.setdefault("stream", False)) is not bool:
        raise _bad_request_error("stream must be true or false")
    if parsed.get("n", 1) != 1:
        raise _bad_request_error("n must be 1")
    if chat:
        _check_messages(parsed.get("messages"))
    elif not isinstance(parsed.get("prompt"), str):
        raise _bad_request_error("prompt must be a string")
    return parsed


def _check_messages(messages: Any) -> None:
    if not isinstance(messages, list) or not 0 < len(messages) <= MAX_PROMPT_MESSAGES:
        raise _bad_request_error(
            f"messages must be a list of 1 to {MAX_PROMPT_MESSAGES} messages"
        )
    for message in messages:
        if (
            not isinstance(message, dict)
            or not isinstance(message.get("role"), str)
            or not isinstance(message.get("content"), str)
        ):
            raise _bad_request_error("each message needs a role and a content string")
