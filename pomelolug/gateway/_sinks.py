"""Where the tokens of an answer go: an event stream or one JSON body."""

import abc

from starlette.types import Send

from pomelolug.errors import RequestError
from pomelolug.gateway._replies import (
    TokenFormat,
    answer_body,
    end_event,
    error_event,
    error_response,
)

__all__ = ["AnswerSink", "BufferSink", "EventSink"]


class AnswerSink(abc.ABC):
    """Receives the tokens of one answer in order."""

    @property
    @abc.abstractmethod
    def started(self) -> bool:
        """Whether the caller has received a status line."""

    @abc.abstractmethod
    async def token(self, position: int, text: str) -> None:
        """Pass one token on."""

    @abc.abstractmethod
    async def end(self, tokens: int, reason: str) -> None:
        """Finish a complete answer."""

    @abc.abstractmethod
    async def fail(self, error: RequestError) -> None:
        """Finish without a complete answer; never looks like an end."""


class _AsgiSink(AnswerSink):
    def __init__(self, send: Send, request_id: str, model: str, chat: bool) -> None:
        self._send = send
        self._request_id = request_id
        self._model = model
        self._chat = chat
        self._started = False

    @property
    def started(self) -> bool:
        """Whether the caller has received a status line."""
        return self._started

    async def _start(self, media_type: bytes) -> None:
        self._started = True
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

    async def _body(self, data: bytes, *, more: bool) -> None:
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": more}
        )

    async def _refuse(self, error: RequestError) -> None:
        self._started = True
        response = error_response(error, self._request_id)
        await self._send(
            {
                "type": "http.response.start",
                "status": response.status_code,
                "headers": response.raw_headers,
            }
        )
        await self._body(bytes(response.body), more=False)


class EventSink(_AsgiSink):
    """Server-sent events, one for each token.

    Writes to the ASGI connection itself: a response object would add a task
    and a queue hop for each token.
    """

    def __init__(self, send: Send, request_id: str, model: str, chat: bool) -> None:
        super().__init__(send, request_id, model, chat)
        self._format = TokenFormat(request_id, model, chat=chat)

    async def token(self, position: int, text: str) -> None:
        """Pass one token on."""
        if not self._started:
            await self._start(b"text/event-stream")
        await self._send(
            {
                "type": "http.response.body",
                "body": self._format.event(position, text),
                "more_body": True,
            }
        )

    async def end(self, tokens: int, reason: str) -> None:
        """Finish a complete answer with the end marker."""
        if not self._started:
            await self._start(b"text/event-stream")
        event = end_event(self._request_id, self._model, tokens, reason, self._chat)
        await self._body(event, more=False)

    async def fail(self, error: RequestError) -> None:
        """Finish with an error event, or an error status if nothing was sent."""
        if not self._started:
            await self._refuse(error)
            return
        await self._body(error_event(error, self._request_id), more=False)


class BufferSink(_AsgiSink):
    """Collects the tokens and sends one JSON body at the end."""

    def __init__(self, send: Send, request_id: str, model: str, chat: bool) -> None:
        super().__init__(send, request_id, model, chat)
        self._texts: list[str] = []

    async def token(self, position: int, text: str) -> None:
        """Keep one token."""
        self._texts.append(text)

    async def end(self, tokens: int, reason: str) -> None:
        """Send the complete answer."""
        body = answer_body(
            self._request_id, self._model, self._texts, reason, self._chat
        )
        await self._start(b"application/json")
        await self._body(body, more=False)

    async def fail(self, error: RequestError) -> None:
        """Send an error status; the tokens collected so far are dropped."""
        await self._refuse(error)
