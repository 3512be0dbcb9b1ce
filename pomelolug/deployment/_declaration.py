"""Configuration set by the operator: routes, services, limits and accounts."""

import collections
import dataclasses
import datetime
import enum
from collections.abc import Mapping

from pomelolug.ids import AccountId, ModelName, ServiceName

__all__ = [
    "ClientAccount",
    "Declaration",
    "EngineProfile",
    "ModelProfile",
    "Repeatability",
    "Route",
    "Service",
    "ServiceShare",
]


class Repeatability(enum.Enum):
    """Whether a request may run more than once, derived from the kind of its route."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "once"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServiceShare:
    """A service and its weight in the split of a route's requests."""

    service: ServiceName
    weight: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """A route, selected by the host and path of a request.

    Parameters
    ----------
    name, host, prefix : str
        Name of the route, and the host and path prefix that select it. The
        prefix begins and ends with a slash.
    shares : tuple of ServiceShare
        Services among which the requests are split.
    repeatability : Repeatability
        Whether a request may run more than once.
    timeout : datetime.timedelta
        Maximum time for which a request may be held.
    latency_target : datetime.timedelta
        Target for the time to the complete response or, for a stream, to its
        first event.
    gap_target : datetime.timedelta
        Target for the time between two events of a stream.
    priority : int
        Priority of the requests; 0 is the highest.
    max_attempts : int
        Maximum number of servers that may run one request.
    public : bool
        Whether requests need no API key.
    resumable : bool
        Whether another server may continue an interrupted stream.
    is_model_route : bool
        Whether requests name a model and are served by replica groups.
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
        """Whether a request that may already have run may be sent again."""
        if self.repeatability is Repeatability.STREAM:
            return self.resumable
        return self.repeatability is Repeatability.IDEMPOTENT


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ModelProfile:
    """Size, speed and load times of the replica groups of one model.

    Parameters
    ----------
    name : ModelName
        Name of the model.
    group_size : int
        Number of VMs of one fabric domain that form a replica group, which is one
        instance of the model.
    time_factor : float
        Factor on all execution times of a group of this model.
    work_share : float
        Share of the work that is for this model, measured in accelerators.
    load_time : datetime.timedelta
        Time to load the weights from the weight store.
    warm_load_time : datetime.timedelta
        Time to join a group if the weights are already on the VM's host.
    """

    name: ModelName
    group_size: int
    time_factor: float
    work_share: float
    load_time: datetime.timedelta
    warm_load_time: datetime.timedelta


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EngineProfile:
    """Capacity and timing of the replica groups of one service.

    Durations of single steps are floats in milliseconds because they are summed.

    Parameters
    ----------
    slots : int
        Number of requests that a group runs concurrently.
    kv_tokens : int
        Capacity of the KV cache of a group, in tokens.
    step_ms, step_ms_per_request, step_ms_per_1000_tokens : float
        Time of a decode step of an empty batch, and what each running request and
        each thousand tokens of its context add to it.
    prefill_tokens_per_s : float
        Prompt tokens that a group processes per second.
    tokens_per_event : int
        Number of decode steps, and so of tokens, per event of a stream.
    loads_per_s : float
        Declared rate of loads of weights.
    max_concurrent_loads : int
        Maximum number of concurrent loads of weights.
    staged_models : int
        Number of models whose weights stay on a VM's host.
    open_delay : datetime.timedelta
        Time that a group takes to open.
    mean_prompt_tokens, mean_answer_tokens : float
        Usual length of a prompt and of an answer.
    models : tuple of ModelProfile
        Models that the groups run.
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
        """Return the profile of a model, or None if it is not declared."""
        return next((m for m in self.models if m.name == name), None)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A service, run by a pool of backend servers.

    Parameters
    ----------
    name : ServiceName
        Name of the service.
    health_path : str
        Path at which a server tells whether it is healthy.
    max_connections : int
        Connections that a server accepts from all callers together.
    engine : EngineProfile or None
        Capacity of the replica groups; None if the service has none.
    cold_time : datetime.timedelta
        Time for which a server is cold after its start.
    cold_requests_per_s : float
        Requests per second that a cold server bears from all nodes together; 0 if the
        service names no such limit.
    """

    name: ServiceName
    health_path: str
    max_connections: int
    engine: EngineProfile | None
    cold_time: datetime.timedelta = datetime.timedelta(0)
    cold_requests_per_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClientAccount:
    """A client account; its priority, if set, overrides that of the route."""

    account_id: AccountId
    priority: int | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Declaration:
    """One version of the operator's configuration.

    Parameters
    ----------
    version : int
        Version number; increases with each accepted configuration.
    routes : tuple of Route
        All routes.
    services : mapping
        Services by name.
    accounts_by_key : mapping of str to ClientAccount
        Client accounts by API key; None if callers need no key.
    max_header_bytes, max_body_bytes : int
        Limits on the size of a request.
    header_timeout, idle_timeout : datetime.timedelta
        Time limits for receiving the header fields and between two requests.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[ServiceName, Service]
    accounts_by_key: Mapping[str, ClientAccount] | None
    max_header_bytes: int
    max_body_bytes: int
    header_timeout: datetime.timedelta
    idle_timeout: datetime.timedelta

    def __post_init__(self) -> None:
        by_host: dict[str, list[Route]] = collections.defaultdict(list)
        for route in self.routes:
            by_host[route.host].append(route)
        for routes in by_host.values():
            if len(routes) > 1:
                routes.sort(key=lambda route: -len(route.prefix))
        object.__setattr__(self, "_by_host", dict(by_host))

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of `host` with the longest prefix that matches `path`."""
        by_host: Mapping[str, list[Route]] = self.__dict__["_by_host"]
        for route in by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def engine_services(self) -> tuple[Service, ...]:
        """Return the services that run models."""
        return tuple(s for s in self.services.values() if s.engine is not None)
