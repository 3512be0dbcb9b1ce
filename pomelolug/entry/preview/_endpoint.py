"""HTTP endpoint of previews at the peer address, and its use by other nodes."""

import asyncio
import datetime
from collections.abc import Callable
from typing import TypeVar

import msgspec

from pomelolug.entry.dispatch import DispatchEndpoint
from pomelolug.entry.preview._dispatchers import report_ranking
from pomelolug.entry.preview._previewer import RequestPreviewer
from pomelolug.entry.preview._report import PreviewQuery, RankingReport
from pomelolug.errors import ErrorCode, PlatformError
from pomelolug.ids import NodeId
from pomelolug.messages import DispatchRequest
from pomelolug.transport import (
    Exchange,
    HttpConnectionError,
    connect,
    encode_request,
)

__all__ = [
    "DISPATCH_PREVIEW_PATH",
    "PREVIEW_PATH",
    "PreviewEndpoint",
    "fetch_ranking",
]

PREVIEW_PATH = b"/preview"
DISPATCH_PREVIEW_PATH = b"/preview/dispatch"

_TIMEOUT = datetime.timedelta(seconds=0.5)
"""Time limit of a preview at a dispatcher, which takes some milliseconds."""
_CONNECT_TIMEOUT = datetime.timedelta(milliseconds=300)
_MAX_REPORT_BYTES = 4 * 1024 * 1024
_JSON_HEADERS = ((b"Content-Type", b"application/json"),)
T = TypeVar("T")


class PreviewEndpoint:
    """Answers for previews of requests, and of questions of other nodes.

    Parameters
    ----------
    previewer : RequestPreviewer
        Makes the previews of requests.
    dispatch : callable
        Returns the endpoint that knows the dispatcher of this node.
    node : NodeId
        Name of this node.
    """

    def __init__(
        self,
        *,
        previewer: RequestPreviewer,
        dispatch: Callable[[], DispatchEndpoint],
        node: NodeId,
    ) -> None:
        self._previewer = previewer
        self._dispatch = dispatch
        self._node = node

    async def handle(self, exchange: Exchange) -> None:
        """Answer 200 with a preview, or 400 with the fault of the question."""
        try:
            answer: msgspec.Struct
            if exchange.target == PREVIEW_PATH:
                query = _decode(exchange.body, PreviewQuery)
                answer = await self._previewer.preview(query)
            else:
                message = _decode(exchange.body, DispatchRequest)
                ranking = self._dispatch().rank(message)
                answer = report_ranking(ranking, node=self._node)
        except PlatformError as error:
            exchange.reply(400, (), str(error).encode())
            return
        exchange.reply(200, _JSON_HEADERS, msgspec.json.encode(answer))


async def fetch_ranking(address: str, message: DispatchRequest) -> RankingReport:
    """Return where the dispatcher at a peer address would assign a stream.

    Parameters
    ----------
    address : str
        IP address and port of the node's peer address.
    message : DispatchRequest
        Question that the dispatcher would get.

    Raises
    ------
    PlatformError
        If it does not answer in time, or not with a ranking.
    """
    headers = [(b"Host", address.encode())]
    request = encode_request(
        b"POST", DISPATCH_PREVIEW_PATH, headers, msgspec.json.encode(message)
    )
    try:
        async with asyncio.timeout(_TIMEOUT.total_seconds()):
            connection = await connect(address, timeout=_CONNECT_TIMEOUT)
            try:
                connection.send(request)
                head = await connection.read_head()
                body = await connection.read_body(_MAX_REPORT_BYTES)
            finally:
                connection.abort()
    except HttpConnectionError as error:
        raise _unavailable_error(address, error.reason) from error
    except TimeoutError as error:
        raise _unavailable_error(address, "timed out") from error
    except ValueError as error:
        raise _unavailable_error(address, "no peer address") from error
    if head.status != 200:
        raise _unavailable_error(address, f"status {head.status}")
    return _decode(body, RankingReport)


def _decode(data: bytes, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise PlatformError(ErrorCode.BAD_REQUEST, f"malformed: {error}") from error


def _unavailable_error(address: str, reason: str) -> PlatformError:
    return PlatformError(ErrorCode.PLATFORM_UNAVAILABLE, f"{address}: {reason}")
