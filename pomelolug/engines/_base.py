"""Abstract engine and its typed requests, orders and events."""

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
    """What a backend server does with the fencing token of an order."""

    REFUSES = "refuses"
    IGNORES = "ignores"
    UNCHECKED = "unchecked"


class EngineStatus(msgspec.Struct, frozen=True, kw_only=True):
    """What one backend server reports of itself.

    `group` is empty if the backend server belongs to none. `step_time_s` is the
    time of one decoding step in seconds. `ready` tells whether the weights of
    `model` are loaded. `held` names the models whose weights are on the VM.
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

    `members` holds IP and port of each member in rank order.
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
    """Order to leave a group; the weights stay on the VM."""

    group: str
    token: int


class GenerationRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One generation request to the leader of a group.

    `body` is the caller's completion request. Generation starts at token
    position `resume_from`. A higher `priority` goes first.
    """

    request_id: str
    group: str
    token: int
    body: dict[str, Any]
    priority: int = 0
    resume_from: int = 0
    deadline_s: float = 60.0


class TokenEvent(msgspec.Struct, frozen=True):
    """One token: the request it belongs to, its position and its text."""

    request_id: str
    position: int
    text: str


class StreamEnd(msgspec.Struct, frozen=True):
    """End marker: the answer is complete and has `token_count` tokens in all."""

    request_id: str
    token_count: int
    finish_reason: str


class CacheEvent(msgspec.Struct, frozen=True):
    """Prefix-cache change: blocks stored or removed, or everything cleared.

    `action` is ``stored``, ``removed`` or ``cleared``.
    """

    sequence: int
    action: str
    blocks: tuple[str, ...] = ()


class CacheEventPage(msgspec.Struct, frozen=True):
    """Cache events after a sequence number, and the oldest one still kept."""

    oldest: int
    events: tuple[CacheEvent, ...]


class EngineRefusedError(PomelolugError):
    """The engine refused before it ran anything.

    Parameters
    ----------
    reason : str
        The engine's code: ``stale_token``, ``wrong_group``, ``incomplete``,
        ``leaving``, ``busy``, ``loading`` or ``bad_request``.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(ErrorCode.BACKEND_REFUSED, f"engine refused: {reason}")
        self._reason = reason

    @property
    def reason(self) -> str:
        """The engine's refusal code."""
        return self._reason


class EngineUnavailableError(PomelolugError):
    """The engine did not answer or its connection broke.

    Parameters
    ----------
    message : str
        What happened.
    maybe_ran : bool
        Whether the request may have reached the engine.
    """

    def __init__(self, message: str, *, maybe_ran: bool) -> None:
        super().__init__(ErrorCode.BACKEND_LOST, message)
        self._maybe_ran = maybe_ran

    @property
    def maybe_ran(self) -> bool:
        """Whether the request may have reached the engine."""
        return self._maybe_ran


class EngineClient(abc.ABC):
    """Access to the engines of all VMs; each call names the address."""

    @abc.abstractmethod
    async def fetch_status(
        self, address: str, *, timeout: datetime.timedelta
    ) -> EngineStatus:
        """Return what the backend server at `address` reports.

        Raises
        ------
        EngineUnavailableError
            If it does not answer within `timeout`.
        """

    @abc.abstractmethod
    async def assign(
        self, address: str, order: AssignOrder, *, timeout: datetime.timedelta
    ) -> None:
        """Order a member to join a group and load its model.

        Raises
        ------
        EngineRefusedError
            If the engine refuses, for example an old fencing token.
        EngineUnavailableError
            If it does not answer; the order may have taken effect.
        """

    @abc.abstractmethod
    async def release(
        self, address: str, order: ReleaseOrder, *, timeout: datetime.timedelta
    ) -> None:
        """Order a member to leave a group. Raises as `assign` does."""

    @abc.abstractmethod
    def generate(
        self, address: str, request: GenerationRequest
    ) -> AsyncGenerator[TokenEvent | StreamEnd, None]:
        """Yield the tokens and, if the answer is complete, the end marker.

        Closing the iterator cancels the request and closes its connection.

        Raises
        ------
        EngineRefusedError
            If the engine refuses before running the request.
        EngineUnavailableError
            If the connection fails or ends without an end marker.
        """

    @abc.abstractmethod
    async def fetch_cache_events(
        self, address: str, after: int, *, timeout: datetime.timedelta
    ) -> CacheEventPage:
        """Return prefix-cache events with a sequence number above `after`."""
