"""The operator's declaration: routes, services, limits and client accounts."""

import collections
import dataclasses
import datetime
import enum
from collections.abc import Mapping

from pomelolug.ids import AccountId, ModelName, ServiceName

__all__ = [
    "Declaration",
    "EngineProfile",
    "ModelProfile",
    "Repeatability",
    "Route",
    "Service",
    "ServiceShare",
    "Tenant",
]


class Repeatability(enum.Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "once"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServiceShare:
    """A service and its part of a route's requests, relative to the others."""

    service: ServiceName
    weight: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Class of work, selected by host and path.

    Parameters
    ----------
    name, host, prefix : str
        Name; host; path prefix with a slash at both ends.
    shares : tuple of ServiceShare
        Services that may run the requests.
    repeatability : Repeatability
        Whether a request may run more than once.
    timeout : datetime.timedelta
        Longest time that a request may be kept.
    latency_target : datetime.timedelta
        Latency target: to the whole answer, or to the first event of a stream.
    gap_target : datetime.timedelta
        Longest pause between two events that is still on time.
    priority : int
        Rank; 0 is the highest.
    max_attempts : int
        Servers that may run one request.
    public : bool
        Whether no key is needed.
    resumable : bool
        Whether another server may continue a stream.
    is_model_route : bool
        Whether requests are for a model and go to replica groups.
    """

    name: str
    host: str
    prefix: str
    shares: tuple[ServiceShare, ...]
    repeatability: Repeatability
    timeout: datetime.timedelta
    latency_target: datetime.timedelta
    gap_target: datetime.timedelta
    priority: int
    max_attempts: int
    public: bool
    resumable: bool
    is_model_route: bool

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may be sent again after it may have run."""
        if self.repeatability is Repeatability.STREAM:
            return self.resumable
        return self.repeatability is Repeatability.IDEMPOTENT


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ModelProfile:
    """A model: VMs in a replica group, pace and load times.

    `time_factor` is a factor on all times of a group of this model. `work_share` is its
    part of the work, in accelerators. `load_time` is the time to load the weights
    from the weight store, `warm_load_time` from the VM's host.
    """

    name: ModelName
    group_size: int
    time_factor: float
    work_share: float
    load_time: datetime.timedelta
    warm_load_time: datetime.timedelta


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EngineProfile:
    """Timing of the replica groups of one service.

    Durations of single steps are float milliseconds, since they are summed.
    """

    slots: int
    kv_tokens: int
    step_ms: float
    step_ms_per_request: float
    step_ms_per_1000_tokens: float
    prefill_tokens_per_s: float
    tokens_per_event: int
    loads_per_s: float
    max_concurrent_loads: int
    staged_models: int
    open_delay: datetime.timedelta
    mean_prompt_tokens: float
    mean_answer_tokens: float
    models: tuple[ModelProfile, ...]

    def find_model(self, name: ModelName) -> ModelProfile | None:
        """Return the profile of a model."""
        return next((m for m in self.models if m.name == name), None)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A pool of backend servers."""

    name: ServiceName
    health_path: str
    max_connections: int
    engine: EngineProfile | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Tenant:
    """A client account; its priority, if any, goes before the route's."""

    account: AccountId
    priority: int | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Declaration:
    """One accepted configuration.

    Parameters
    ----------
    version : int
        Increases with each accepted configuration.
    routes : tuple of Route
        All routes.
    services : mapping
        Services by name.
    tenants : mapping of str to Tenant
        Client accounts by key; None if callers need no key.
    max_header_bytes, max_body_bytes : int
        Bounds on what a caller may send.
    header_timeout, idle_timeout : datetime.timedelta
        Time for the header fields, and between two requests.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[ServiceName, Service]
    tenants: Mapping[str, Tenant] | None
    max_header_bytes: int
    max_body_bytes: int
    header_timeout: datetime.timedelta
    idle_timeout: datetime.timedelta

    def __post_init__(self) -> None:
        by_host: dict[str, list[Route]] = collections.defaultdict(list)
        for route in self.routes:
            by_host[route.host].append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: -len(route.prefix))
        object.__setattr__(self, "_by_host", dict(by_host))

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of `path` on `host`."""
        by_host: Mapping[str, list[Route]] = self.__dict__["_by_host"]
        for route in by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def engine_services(self) -> tuple[Service, ...]:
        """Return the services that run models."""
        return tuple(s for s in self.services.values() if s.engine is not None)
