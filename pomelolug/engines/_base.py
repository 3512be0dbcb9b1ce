"""Abstract engine client with its request, order, status and event types."""

import abc
import datetime
import enum
from collections.abc import AsyncGenerator
from typing import Any

import msgspec

from pomelolug.errors import ErrorCode, PomelolugError

__all__ = [
    "AssignOrder",
    "CacheEvent",
    "CacheEventPage",
    "EngineClient",
    "EngineRefusedError",
    "EngineStatus",
    "EngineUnavailableError",
    "FencingKind",
    "GenerationRequest",
    "ReleaseOrder",
    "StreamEnd",
    "TokenEvent",
]


class FencingKind(enum.Enum):
    """How a backend server treats the fencing token of an order or a request.

    ``REFUSES`` rejects a stale token; ``IGNORES`` and ``UNCHECKED`` accept any token.
    """

    REFUSES = "refuses"
    IGNORES = "ignores"
    UNCHECKED = "unchecked"


class EngineStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Status that a backend server reports about itself.

    `group` is empty if the backend server is not a member of a group. `token` is
    the fencing token of its membership. `ready` tells whether the weights of
    `model` are loaded. `held` names the models whose weights are on the VM.
    `running` and `waiting` count requests, and `capacity` is the number of
    requests that can run at once. `step_time_s` is the time of one decoding step
    in seconds.
    """

    vm: str
    incarnation: int
    group: str = ""
    token: int = -1
    model: str = ""
    version: str = ""
    ready: bool = False
    held: tuple[str, ...] = ()
    running: int = 0
    waiting: int = 0
    capacity: int = 0
    step_time_s: float = 0.0
    leaving: bool = False
    fencing: FencingKind = FencingKind.REFUSES


class AssignOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Order to join a group and load its model.

    `token` is the fencing token of the group. `members` has the IP address and
    port of each member in the order of their ranks.
    """

    group: str
    token: int
    rank: int
    members: tuple[str, ...]
    model: str
    version: str = ""
    adapters: tuple[str, ...] = ()
    role: str = "both"


class ReleaseOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Order to leave a group; the weights stay on the VM.

    `token` is the fencing token of the order.
    """

    group: str
    token: int


class GenerationRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Generation request to the leader of a group.

    `token` is the fencing token of the group. `body` is the completion request of
    the caller. Generation starts at token position `resume_from`. Requests with a
    higher `priority` go first.
    """

    request_id: str
    group: str
    token: int
    body: dict[str, Any]
    priority: int = 0
    resume_from: int = 0
    deadline_s: float = 60.0


class TokenEvent(msgspec.Struct, frozen=True):
    """One generated token with its request, its position and its text."""

    request_id: str
    position: int
    text: str


class StreamEnd(msgspec.Struct, frozen=True):
    """End marker of a complete response, which has `token_count` tokens in total."""

    request_id: str
    token_count: int
    finish_reason: str


class CacheEvent(msgspec.Struct, frozen=True):
    """Change of a prefix cache: blocks stored or removed, or all blocks cleared.

    `sequence` numbers the events of one cache. `action` is ``stored``,
    ``removed`` or ``cleared``.
    """

    sequence: int
    action: str
    blocks: tuple[str, ...] = ()


class CacheEventPage(msgspec.Struct, frozen=True):
    """Cache events after a requested sequence number.

    `oldest` is the sequence number of the oldest event that the server still
    keeps; a higher value than expected means that events were missed.
    """

    oldest: int
    events: tuple[CacheEvent, ...]


class EngineRefusedError(PomelolugError):
    """The engine refused a request or an order without executing it.

    Parameters
    ----------
    reason : str
        Refusal code of the engine: ``stale_token``, ``wrong_group``, ``incomplete``,
        ``leaving``, ``busy``, ``loading`` or ``bad_request``.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(ErrorCode.BACKEND_REFUSED, f"engine refused: {reason}")
        self._reason = reason

    @property
    def reason(self) -> str:
        """Refusal code of the engine."""
        return self._reason


class EngineUnavailableError(PomelolugError):
    """A backend server did not respond, or its response was cut off or invalid.

    Parameters
    ----------
    message : str
        Description of the failure.
    maybe_ran : bool
        Whether the request may have reached the backend server.
    """

    def __init__(self, message: str, *, maybe_ran: bool) -> None:
        super().__init__(ErrorCode.BACKEND_LOST, message)
        self._maybe_ran = maybe_ran

    @property
    def maybe_ran(self) -> bool:
        """Whether the request may have reached the backend server."""
        return self._maybe_ran


class EngineClient(abc.ABC):
    """Client for the engines of all VMs.

    The client is not bound to one engine: each call names the address.
    """

    @abc.abstractmethod
    async def fetch_status(
        self, address: str, *, timeout: datetime.timedelta
    ) -> EngineStatus:
        """Return the status that the backend server at `address` reports.

        Raises
        ------
        EngineUnavailableError
            If it does not respond within `timeout`.
        """

    @abc.abstractmethod
    async def assign(
        self, address: str, order: AssignOrder, *, timeout: datetime.timedelta
    ) -> None:
        """Order a member to join a group and load its model.

        Raises
        ------
        EngineRefusedError
            If the engine refuses the order, for example for a stale token.
        EngineUnavailableError
            If it does not respond; the order may have taken effect.
        """

    @abc.abstractmethod
    async def release(
        self, address: str, order: ReleaseOrder, *, timeout: datetime.timedelta
    ) -> None:
        """Order a member to leave a group.

        Raises the same errors as `assign`.
        """

    @abc.abstractmethod
    def generate(
        self, address: str, request: GenerationRequest
    ) -> AsyncGenerator[TokenEvent | StreamEnd, None]:
        """Yield the tokens and, if the response is complete, the end marker.

        Closing the generator cancels the request and closes its connection.

        Raises
        ------
        EngineRefusedError
            If the engine refuses to run the request.
        EngineUnavailableError
            If the connection fails, the stream ends without an end marker, or an
            event is malformed.
        """

    @abc.abstractmethod
    async def fetch_cache_events(
        self, address: str, after: int, *, timeout: datetime.timedelta
    ) -> CacheEventPage:
        """Return the prefix-cache events with a sequence number above `after`.

        Raises
        ------
        EngineRefusedError
            If the engine refuses.
        EngineUnavailableError
            If it does not respond within `timeout`.
        """
