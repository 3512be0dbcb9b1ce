"""Decoding of the declaration that the operator writes to the store."""

import datetime
import functools
from collections.abc import Iterable, Sequence
from typing import TypeVar

import msgspec

from pomelolug.deployment import (
    ClientAccount,
    Declaration,
    EngineProfile,
    ModelProfile,
    Repeatability,
    Route,
    Service,
    ServiceShare,
)
from pomelolug.errors import ErrorCode, Finding, InvalidInputError
from pomelolug.ids import AccountId, ModelName, ServiceName

__all__ = ["DeclarationDecoder", "decode_declaration"]

_DISTINCT_VALUES = 256
"""Times and splits of routes that are built once for all routes that have them."""

# Requests of kind `unsafe` may run at most once. The kind `keyed` is not available
# here and is treated the same way.
_REPEATABILITY = {
    "safe": Repeatability.IDEMPOTENT,
    "unsafe": Repeatability.AT_MOST_ONCE,
    "keyed": Repeatability.AT_MOST_ONCE,
    "streaming": Repeatability.STREAM,
}


_RecordT = TypeVar("_RecordT")


class _Split(msgspec.Struct, frozen=True):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct, frozen=True):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 1000.0
    priority: int = 0
    service: str = ""
    split: tuple[_Split, ...] = ()
    max_attempts: int = 1
    public: bool = False
    # Set on routes whose requests name a model. Requests are not pinned to a server.
    sticky: bool = False
    resumable: bool = False
    gap_target_ms: float = 0.0


class _Model(msgspec.Struct, frozen=True):
    name: str
    # Number of VMs in a replica group.
    size: int
    # Factor on all execution times.
    pace: float = 1.0
    # Share of the work, measured in accelerators.
    share: float = 1.0
    load_s: float = 0.0
    # Time to join a group if the weights are already on the VM's host.
    warm_s: float = 0.0


class _Engine(msgspec.Struct, frozen=True):
    slots: int = 1
    kv_capacity_tokens: int = 0
    step_ms: float = 1.0
    per_seq_ms: float = 0.0
    # Milliseconds per step for each thousand tokens of context.
    context_per_k: float = 0.0
    # Prompt tokens processed per second.
    read_per_s: float = 1000.0
    # Number of decode steps, and so of tokens, per event of a stream.
    stride: int = 1
    loads_per_s: float = 1.0
    loads_at_once: int = 1
    # Number of models whose weights stay on a host.
    retain_count: int = 1
    form_ms: float = 0.0
    # Mean numbers of tokens, under the keys `prompt` and `answer`.
    usual: dict[str, float] = {}
    models: tuple[_Model, ...] = ()


class _Service(msgspec.Struct, frozen=True):
    name: str
    health_path: str = "/health"
    # Limit for all callers of the service together.
    max_conns: int = 100
    # Time for which a server is cold after its start, and the requests per second
    # that it bears meanwhile from all callers; 0 if the service has no cold servers.
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
    engine: _Engine | None = None


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class _ClientAccount(msgspec.Struct, frozen=True):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None


class _DeclarationRecord(msgspec.Struct, frozen=True):
    version: int
    # A route is decoded only if the version before it does not have it.
    routes: tuple[msgspec.Raw, ...] = ()
    services: tuple[_Service, ...] = ()
    limits: _Limits = _Limits()
    tenants: tuple[_ClientAccount, ...] | None = None


class DeclarationDecoder:
    """Decodes successive versions of the declaration.

    Versions of a large declaration differ in a few routes. The objects of the routes
    whose encoding is unchanged are taken over from the version decoded last.
    """

    def __init__(self) -> None:
        self._routes: dict[bytes, Route] = {}

    def decode(self, data: bytes) -> Declaration:
        """Return the declaration that is encoded in a record of the store.

        Raises
        ------
        InvalidInputError
            If the record cannot be decoded; no part of it may be applied then.
        """
        raw = _decode_json(data, _DeclarationRecord, place="$")
        encoded_routes = [bytes(route) for route in raw.routes]
        routes = self._decode_routes(encoded_routes)
        declaration = Declaration(
            version=raw.version,
            routes=routes,
            services={ServiceName(s.name): _decode_service(s) for s in raw.services},
            accounts_by_key=_decode_accounts(raw.tenants),
            max_header_bytes=raw.limits.max_header_bytes,
            max_body_bytes=raw.limits.max_body_bytes,
            header_timeout=_from_milliseconds(raw.limits.header_timeout_ms),
            idle_timeout=_from_milliseconds(raw.limits.idle_timeout_ms),
        )
        self._routes = dict(zip(encoded_routes, routes, strict=True))
        return declaration

    def _decode_routes(self, encoded_routes: Iterable[bytes]) -> tuple[Route, ...]:
        routes = []
        for number, encoded in enumerate(encoded_routes):
            route = self._routes.get(encoded)
            if route is None:
                raw = _decode_json(encoded, _Route, place=f"$.routes[{number}]")
                route = _decode_route(raw)
            routes.append(route)
        return tuple(routes)


def decode_declaration(data: bytes) -> Declaration:
    """Return the declaration that is encoded in a record of the store.

    Raises
    ------
    InvalidInputError
        If the record cannot be decoded; no part of it may be applied then.
    """
    return DeclarationDecoder().decode(data)


def _decode_json(data: bytes, record_type: type[_RecordT], *, place: str) -> _RecordT:
    """Decode JSON that lies at `place` of the declaration."""
    try:
        return msgspec.json.decode(data, type=record_type, strict=False)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        message, _, inner_place = str(error).partition(" - at ")
        location = place + inner_place.strip("`").removeprefix("$")
        finding = Finding(location=location, value="", problem=message)
        raise InvalidInputError(ErrorCode.CONFIGURATION_INVALID, [finding]) from error


@functools.lru_cache(maxsize=_DISTINCT_VALUES)
def _from_milliseconds(milliseconds: float) -> datetime.timedelta:
    return datetime.timedelta(milliseconds=milliseconds)


@functools.lru_cache(maxsize=_DISTINCT_VALUES)
def _decode_shares(split: tuple[_Split, ...], service: str) -> tuple[ServiceShare, ...]:
    shares = tuple(
        ServiceShare(service=ServiceName(s.service), weight=s.weight) for s in split
    )
    if not shares and service:
        return (ServiceShare(service=ServiceName(service), weight=1.0),)
    return shares


def _decode_route(raw: _Route) -> Route:
    return Route(
        name=raw.name,
        host=raw.host,
        prefix=raw.path_prefix,
        shares=_decode_shares(raw.split, raw.service),
        repeatability=_REPEATABILITY.get(raw.kind, Repeatability.AT_MOST_ONCE),
        timeout=_from_milliseconds(raw.timeout_ms),
        latency_target=_from_milliseconds(raw.target_latency_ms),
        gap_target=_from_milliseconds(raw.gap_target_ms),
        priority=raw.priority,
        max_attempts=max(raw.max_attempts, 1),
        public=raw.public,
        resumable=raw.resumable,
        is_model_route=raw.sticky,
    )


def _decode_service(raw: _Service) -> Service:
    return Service(
        name=ServiceName(raw.name),
        health_path=raw.health_path,
        max_connections=raw.max_conns,
        cold_time=datetime.timedelta(seconds=max(raw.cold_start_s, 0.0)),
        cold_requests_per_s=max(raw.cold_per_s, 0.0),
        engine=_decode_engine(raw.engine) if raw.engine is not None else None,
    )


def _decode_engine(raw: _Engine) -> EngineProfile:
    return EngineProfile(
        slots=raw.slots,
        kv_tokens=raw.kv_capacity_tokens,
        step_ms=raw.step_ms,
        step_ms_per_request=raw.per_seq_ms,
        step_ms_per_1000_tokens=raw.context_per_k,
        prefill_tokens_per_s=raw.read_per_s,
        tokens_per_event=max(raw.stride, 1),
        loads_per_s=raw.loads_per_s,
        max_concurrent_loads=raw.loads_at_once,
        staged_models=raw.retain_count,
        open_delay=_from_milliseconds(raw.form_ms),
        mean_prompt_tokens=raw.usual.get("prompt", 1000.0),
        mean_answer_tokens=raw.usual.get("answer", 100.0),
        models=tuple(_decode_model(model) for model in raw.models),
    )


def _decode_model(raw: _Model) -> ModelProfile:
    return ModelProfile(
        name=ModelName(raw.name),
        group_size=raw.size,
        time_factor=raw.pace,
        work_share=raw.share,
        load_time=datetime.timedelta(seconds=raw.load_s),
        warm_load_time=datetime.timedelta(seconds=raw.warm_s),
    )


def _decode_accounts(
    raw: Sequence[_ClientAccount] | None,
) -> dict[str, ClientAccount] | None:
    if raw is None:
        return None
    accounts_by_key: dict[str, ClientAccount] = {}
    for entry in raw:
        account = ClientAccount(
            account_id=AccountId(entry.name), priority=entry.priority
        )
        accounts_by_key.update(dict.fromkeys(entry.api_keys, account))
    return accounts_by_key
