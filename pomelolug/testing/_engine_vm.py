"""State of one simulated backend server and its handling of group orders."""

import dataclasses
import datetime

import msgspec

from pomelolug.clock import Clock
from pomelolug.engines import (
    AssignOrder,
    CacheEvent,
    CacheEventPage,
    EngineStatus,
    FencingKind,
    ReleaseOrder,
)

__all__ = ["EngineTimes", "EngineVm", "PrefixCache", "RequestRefusedError"]

_MAX_CACHE_EVENTS = 2000


class RequestRefusedError(Exception):
    """The backend server refused a request; the argument is the refusal code."""

    @property
    def code(self) -> str:
        """Refusal code."""
        return str(self.args[0])


class EngineTimes(msgspec.Struct, frozen=True, kw_only=True):
    """Simulated latencies of an engine.

    `first_token` is the time to first token for an uncached prompt and
    `first_token_cached` for a fully cached one; `step` is the duration of one
    decoding step.
    """

    first_token: datetime.timedelta = datetime.timedelta(milliseconds=80)
    first_token_cached: datetime.timedelta = datetime.timedelta(milliseconds=20)
    step: datetime.timedelta = datetime.timedelta(milliseconds=20)


class PrefixCache:
    """Prefix cache of limited size with least-recently-used eviction.

    Parameters
    ----------
    size : int
        Maximum number of cached blocks.
    """

    def __init__(self, size: int) -> None:
        self._size = size
        self._blocks: dict[str, None] = {}
        self._events: list[CacheEvent] = []
        self._sequence = 0

    def access(self, blocks: tuple[str, ...]) -> float:
        """Cache `blocks` and return the fraction of them that was already cached."""
        cached_count = sum(block in self._blocks for block in blocks)
        new_blocks = tuple(block for block in blocks if block not in self._blocks)
        for block in blocks:
            self._blocks.pop(block, None)
            self._blocks[block] = None
        if new_blocks:
            self._add_event("stored", new_blocks)
        evicted = list(self._blocks)[: max(0, len(self._blocks) - self._size)]
        for block in evicted:
            del self._blocks[block]
        if evicted:
            self._add_event("removed", tuple(evicted))
        return cached_count / len(blocks) if blocks else 0.0

    def clear(self) -> None:
        """Remove all blocks."""
        self._blocks.clear()
        self._add_event("cleared", ())

    def events_after(self, after: int) -> CacheEventPage:
        """Return the cache events with a sequence number above `after`."""
        oldest = self._events[0].sequence if self._events else self._sequence + 1
        events = tuple(event for event in self._events if event.sequence > after)
        return CacheEventPage(oldest=oldest, events=events)

    def _add_event(self, action: str, blocks: tuple[str, ...]) -> None:
        self._sequence += 1
        self._events.append(
            CacheEvent(sequence=self._sequence, action=action, blocks=blocks)
        )
        del self._events[:-_MAX_CACHE_EVENTS]


@dataclasses.dataclass(kw_only=True)
class EngineVm:
    """State of one backend server: identity, assignment, load and faults.

    `alive` is false while the VM is down. `reachable` is false while the VM sends
    no responses. `held_models` are the models whose weights are loaded and
    `remaining_load_bytes` is the rest of the load in progress. `leaving_since_s`
    is in monotonic seconds. `service` is empty for an engine.
    """

    vm: str
    address: str
    zone: str
    region: str
    domain: str
    clock: Clock
    times: EngineTimes
    capacity: int
    model_bytes: int
    service: str = ""
    fencing: FencingKind = FencingKind.REFUSES
    incarnation: int = 1
    alive: bool = True
    reachable: bool = True
    leaving_since_s: float | None = None
    slowdown: float = 1.0
    group: str = ""
    token: int = -1
    rank: int = -1
    members: tuple[str, ...] = ()
    model: str = ""
    version: str = ""
    adapters: tuple[str, ...] = ()
    role: str = "both"
    remaining_load_bytes: float = 0.0
    held_models: set[str] = dataclasses.field(default_factory=set)
    running: int = 0
    waiting: int = 0
    cache: PrefixCache = dataclasses.field(default_factory=lambda: PrefixCache(4096))

    @property
    def is_ready(self) -> bool:
        """Whether the weights of the assigned model are loaded."""
        return bool(self.group) and self.remaining_load_bytes <= 0

    @property
    def step_time_s(self) -> float:
        """Duration of one decoding step, in seconds."""
        return self.times.step.total_seconds() * self.slowdown

    def status(self) -> EngineStatus:
        """Return the status that the backend server reports."""
        return EngineStatus(
            vm=self.vm,
            incarnation=self.incarnation,
            group=self.group,
            token=self.token,
            model=self.model,
            version=self.version,
            ready=self.is_ready,
            held=tuple(sorted(self.held_models)),
            running=self.running,
            waiting=self.waiting,
            capacity=self.capacity,
            step_time_s=self.step_time_s,
            leaving=self.leaving_since_s is not None,
            fencing=self.fencing,
        )

    def assign(self, order: AssignOrder) -> None:
        """Join the group in `order` and start loading its weights if needed.

        Raises
        ------
        RequestRefusedError
            If the VM enforces fencing and the fencing token is stale.
        """
        if self.fencing is FencingKind.REFUSES and order.token < self.token:
            raise RequestRefusedError("stale_token")
        if (order.group, order.token) != (self.group, self.token):
            self.cache.clear()
        has_same_weights = (order.model, order.version) == (self.model, self.version)
        if not (has_same_weights and self.group):
            self.remaining_load_bytes = (
                0 if order.model in self.held_models else self.model_bytes
            )
        self.group = order.group
        self.token = order.token
        self.rank = order.rank
        self.members = order.members
        self.model = order.model
        self.version = order.version
        self.adapters = order.adapters
        self.role = order.role
        if self.remaining_load_bytes <= 0:
            self.held_models.add(self.model)

    def release(self, order: ReleaseOrder) -> None:
        """Leave the group in `order`; the weights stay loaded.

        Raises
        ------
        RequestRefusedError
            If the VM enforces fencing, and the fencing token is stale or the
            order names another group.
        """
        if self.fencing is FencingKind.REFUSES:
            if order.token < self.token:
                raise RequestRefusedError("stale_token")
            if self.group and order.group != self.group:
                raise RequestRefusedError("wrong_group")
        self.token = max(self.token, order.token)
        self._clear_assignment()

    def restart(self) -> None:
        """Restart under a new incarnation, without assignment or loaded weights."""
        self.incarnation += 1
        self.token = -1
        self._clear_assignment()
        self.held_models.clear()
        self.alive = True
        self.reachable = True
        self.leaving_since_s = None
        self.cache.clear()

    def receive_weights(self, received_bytes: float) -> None:
        """Subtract `received_bytes` from the load in progress."""
        self.remaining_load_bytes = max(0.0, self.remaining_load_bytes - received_bytes)
        if self.remaining_load_bytes <= 0:
            self.held_models.add(self.model)

    def _clear_assignment(self) -> None:
        self.group = ""
        self.rank = -1
        self.members = ()
        self.model = ""
        self.version = ""
        self.remaining_load_bytes = 0.0
