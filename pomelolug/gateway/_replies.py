"""Response bodies: OpenAI-compatible objects, server-sent events and errors."""

from typing import Any

import msgspec
from starlette.responses import Response

from pomelolug.errors import RequestError

__all__ = [
    "DONE_EVENT",
    "TokenEventEncoder",
    "encode_completion",
    "encode_error",
    "encode_error_event",
    "encode_final_events",
    "make_error_response",
]

DONE_EVENT = b"data: [DONE]\n\n"
_encode = msgspec.json.Encoder().encode


class TokenEventEncoder:
    """Encodes the token events of one response.

    Only position and text differ between tokens; the rest is encoded once.

    Parameters
    ----------
    request_id : str
        Identifier of the request.
    model : str
        Name of the model.
    chat : bool
        Whether the events are chunks of a chat completion.

    Examples
    --------
    >>> TokenEventEncoder("r1", "m", chat=False).encode(0, "a")[:24]
    b'data: {"id":"r1","object'
    """

    def __init__(self, request_id: str, model: str, *, chat: bool) -> None:
        object_type = "chat.completion.chunk" if chat else "text_completion"
        common_fields = _encode(
            {"id": request_id, "object": object_type, "model": model}
        )
        self._prefix = b"data: " + common_fields[:-1] + b',"position":'
        self._text_prefix = b',"choices":[{"index":0,"finish_reason":null,' + (
            b'"delta":{"content":' if chat else b'"text":'
        )
        self._suffix = b"}}]}\n\n" if chat else b"}]}\n\n"

    def encode(self, position: int, text: str) -> bytes:
        """Return one token as a server-sent event, including the blank line."""
        return b"%b%d%b%b%b" % (
            self._prefix,
            position,
            self._text_prefix,
            _encode(text),
            self._suffix,
        )


def encode_final_events(
    request_id: str, model: str, token_count: int, finish_reason: str, chat: bool
) -> bytes:
    """Return the last chunk of a complete response and the ``[DONE]`` marker."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
    if chat:
        choice["delta"] = {}
    else:
        choice["text"] = ""
    body = {
        "id": request_id,
        "object": "chat.completion.chunk" if chat else "text_completion",
        "model": model,
        "position": token_count,
        "choices": [choice],
        "usage": {"completion_tokens": token_count},
    }
    return b"data: %b\n\n" % _encode(body) + DONE_EVENT


def encode_completion(
    request_id: str, model: str, texts: list[str], finish_reason: str, chat: bool
) -> bytes:
    """Return the JSON body of a complete, non-streamed response."""
    text = "".join(texts)
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return _encode(
        {
            "id": request_id,
            "object": "chat.completion" if chat else "text_completion",
            "model": model,
            "choices": [choice],
            "usage": {"completion_tokens": len(texts)},
        }
    )


def encode_error(error: RequestError, request_id: str) -> bytes:
    """Return the JSON body of an error response."""
    return _encode(
        {
            "error": {
                "code": error.code.value,
                "message": str(error),
                "outcome": error.outcome.value,
                "request_id": request_id,
            }
        }
    )


def encode_error_event(error: RequestError, request_id: str) -> bytes:
    """Return the event that ends an incomplete stream."""
    return b"event: error\ndata: %b\n\n" % encode_error(error, request_id)


def make_error_response(error: RequestError, request_id: str) -> Response:
    """Return the complete HTTP response that reports `error`."""
    headers = {"X-Request-Id": request_id, "X-Outcome": error.outcome.value}
    if error.retry_after is not None:
        # Retry-After takes whole seconds; rounding up avoids early retries.
        seconds = -(-error.retry_after.total_seconds() // 1)
        headers["Retry-After"] = str(max(1, int(seconds)))
    if error.status == 401:
        headers["WWW-Authenticate"] = "Bearer"
    return Response(
        encode_error(error, request_id),
        status_code=error.status,
        headers=headers,
        media_type="application/json",
    )
