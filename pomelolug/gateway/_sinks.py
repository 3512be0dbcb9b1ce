"""Sinks that write a response to the caller as an event stream or JSON body."""

import abc

from starlette.types import Send

from pomelolug.errors import RequestError
from pomelolug.gateway._replies import (
    TokenEventEncoder,
    encode_completion,
    encode_error_event,
    encode_final_events,
    make_error_response,
)

__all__ = ["EventStreamSink", "JsonSink", "ResponseSink"]


class ResponseSink(abc.ABC):
    """Receives the tokens of one response in order."""

    @property
    @abc.abstractmethod
    def has_started(self) -> bool:
        """Whether the status line has been sent."""

    @abc.abstractmethod
    async def write_token(self, position: int, text: str) -> None:
        """Add one token to the response."""

    @abc.abstractmethod
    async def finish(self, token_count: int, finish_reason: str) -> None:
        """End a complete response."""

    @abc.abstractmethod
    async def fail(self, error: RequestError) -> None:
        """End an incomplete response in a way that shows it is incomplete."""


class _AsgiSink(ResponseSink):
    """Base class of the sinks that write to an ASGI connection."""

    def __init__(self, send: Send, request_id: str, model: str, chat: bool) -> None:
        self._send = send
        self._request_id = request_id
        self._model = model
        self._chat = chat
        self._has_started = False

    @property
    def has_started(self) -> bool:
        """Whether the status line has been sent."""
        return self._has_started

    async def _send_response_start(self, media_type: bytes) -> None:
        self._has_started = True
        await self._send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": [
                    (b"content-type", media_type),
                    (b"cache-control", b"no-store"),
                    (b"x-request-id", self._request_id.encode()),
                ],
            }
        )

    async def _send_body(self, data: bytes, *, has_more: bool) -> None:
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": has_more}
        )

    async def _send_error_response(self, error: RequestError) -> None:
        self._has_started = True
        response = make_error_response(error, self._request_id)
        await self._send(
            {
                "type": "http.response.start",
                "status": response.status_code,
                "headers": response.raw_headers,
            }
        )
        await self._send_body(bytes(response.body), has_more=False)


class EventStreamSink(_AsgiSink):
    """Sends each token as a server-sent event.

    It calls the ASGI ``send`` directly: a response object would add a task and a
    queue for each token.
    """

    def __init__(self, send: Send, request_id: str, model: str, chat: bool) -> None:
        super().__init__(send, request_id, model, chat)
        self._encoder = TokenEventEncoder(request_id, model, chat=chat)

    async def write_token(self, position: int, text: str) -> None:
        """Send one token."""
        if not self._has_started:
            await self._send_response_start(b"text/event-stream")
        await self._send(
            {
                "type": "http.response.body",
                "body": self._encoder.encode(position, text),
                "more_body": True,
            }
        )

    async def finish(self, token_count: int, finish_reason: str) -> None:
        """Send the last chunk and the end marker."""
        if not self._has_started:
            await self._send_response_start(b"text/event-stream")
        event = encode_final_events(
            self._request_id, self._model, token_count, finish_reason, self._chat
        )
        await self._send_body(event, has_more=False)

    async def fail(self, error: RequestError) -> None:
        """Send an error event, or an error status if nothing has been sent."""
        if not self._has_started:
            await self._send_error_response(error)
            return
        await self._send_body(
            encode_error_event(error, self._request_id), has_more=False
        )


class JsonSink(_AsgiSink):
    """Collects the tokens and sends one JSON body at the end."""

    def __init__(self, send: Send, request_id: str, model: str, chat: bool) -> None:
        super().__init__(send, request_id, model, chat)
        self._texts: list[str] = []

    async def write_token(self, position: int, text: str) -> None:
        """Store one token."""
        self._texts.append(text)

    async def finish(self, token_count: int, finish_reason: str) -> None:
        """Send the complete response."""
        body = encode_completion(
            self._request_id, self._model, self._texts, finish_reason, self._chat
        )
        await self._send_response_start(b"application/json")
        await self._send_body(body, has_more=False)

    async def fail(self, error: RequestError) -> None:
        """Send an error status and discard the collected tokens."""
        await self._send_error_response(error)
