"""Costs of the entry process against the number of servers.

Run ``python -m pomelolug.experiments.entry_slopes``; each line of standard output
is one JSON object with sizes, figures, slope and the value at the planned size.
"""

import dataclasses
import datetime
import functools
import itertools
import json
import logging
import random
import time
from collections.abc import Callable

import fire
import msgspec
import structlog

from pomelolug.clock import Clock
from pomelolug.deployment import (
    BackendServer,
    Declaration,
    EngineProfile,
    GroupMembership,
    GroupState,
    ModelProfile,
    ServerRegistry,
    ServerState,
    Service,
)
from pomelolug.entry.dispatch import GroupDispatcher, Holder, Question
from pomelolug.entry.losses import PoisonRequestDetector, compute_fingerprint
from pomelolug.entry.performance import LearnedDelayEstimator
from pomelolug.entry.servers import (
    ColdServers,
    EvacuatedZones,
    RequestRateLimiter,
    ServerLimits,
    ServerNotices,
    ServerTracker,
)
from pomelolug.experiments._slopes import (
    LinearFit,
    fit_line,
    measure_cpu_s,
    measure_memory_kib,
)
from pomelolug.feeds import pack_value, unpack_value
from pomelolug.ids import (
    AccountId,
    DomainId,
    GroupId,
    ModelName,
    NodeId,
    Offset,
    ServiceName,
    VmId,
    ZoneId,
)
from pomelolug.messages import NodeStatus, decode, encode
from pomelolug.platform import DeclarationDecoder, decode_declaration, decode_server
from pomelolug.replicas import FreeServer, group_views, needed_servers, plan_groups
from pomelolug.testing import encode_large_declaration

__all__ = ["main"]

PLANNED_SERVERS = 600
GROUP_SIZE = 8
_DOMAIN_SIZE = 27
_MODEL = ModelName("model")
_SERVICE = ServiceName("llm")
_SERVER_COUNTS = (75, 150, 300, 600)
_LOSS_COUNTS = (125, 250, 500, 1000)
_PLANNED_NODES = 390
_PLANNED_ZONE_NODES = 56
_LIMIT_PER_S = 2.0
_ROUTE_COUNTS = (250, 500, 1000, 2000)
_PLANNED_ROUTES = 2300
_PLANNED_LOSSES = 500
"""Requests that were running on the servers lost in a day, 19 times 26."""


class _ProcessClock(Clock):
    """Clock that needs no event loop."""

    def monotonic(self) -> float:
        """Return the process's monotonic time in seconds."""
        return time.monotonic()

    def now(self) -> datetime.datetime:
        """Return the wall-clock time in UTC."""
        return datetime.datetime.now(datetime.UTC)

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Return at once; the measured code never waits."""
        del duration


def _make_server(number: int) -> BackendServer:
    group, rank = divmod(number, GROUP_SIZE)
    state = GroupState.OPEN if rank == 0 else GroupState.READY
    return BackendServer(
        vm=VmId(f"i-{number:010x}"),
        start_time_ms=1,
        service=_SERVICE,
        address="10.1.2.3:8080",
        zone=ZoneId("z"),
        domain=DomainId(f"d{number // _DOMAIN_SIZE}"),
        state=ServerState.READY,
        slots=13,
        staged=frozenset({_MODEL}),
        model=_MODEL,
        membership=GroupMembership(GroupId(f"g{group}"), group, rank, state),
    )


def _make_registry(count: int) -> ServerRegistry:
    registry = ServerRegistry(clock=_ProcessClock())
    registry.apply(
        (server.vm, Offset(number), server)
        for number, server in enumerate(map(_make_server, range(count)))
    )
    return registry


def _make_rate_limiter() -> tuple[RequestRateLimiter, ServerLimits, ColdServers]:
    clock, zone = _ProcessClock(), ZoneId("z")
    limits = ServerLimits(zone=zone, clock=clock, on_news=lambda: None)
    cold_servers = ColdServers(
        zone=zone,
        clock=clock,
        accepted_factor=1.5,
        excess_requests=5.0,
        on_news=lambda: None,
    )
    rate_limiter = RequestRateLimiter(
        sources=(limits, cold_servers),
        node=NodeId("n"),
        zone=zone,
        zones=(),
        clock=clock,
        rng=random.Random(0),
    )
    return rate_limiter, limits, cold_servers


def _make_notices() -> ServerNotices:
    rate_limiter, limits, cold_servers = _make_rate_limiter()
    return ServerNotices(
        limits=limits,
        cold_servers=cold_servers,
        rate_limiter=rate_limiter,
        evacuated_zones=EvacuatedZones(
            known_zones=(), clock=_ProcessClock(), on_change=lambda: None
        ),
        clock=_ProcessClock(),
        rng=random.Random(0),
        on_leaving=lambda: None,
    )


def _make_tracker_refresh(count: int) -> Callable[[], object]:
    server_tracker = ServerTracker(
        registry=_make_registry(count),
        notices=_make_notices(),
        clock=_ProcessClock(),
    )
    return lambda: server_tracker.refresh({(_SERVICE, _MODEL): GROUP_SIZE})


def _make_group_views(count: int) -> Callable[[], object]:
    servers = list(_make_registry(count).servers.values())
    return lambda: group_views(servers)


def _make_model() -> ModelProfile:
    return ModelProfile(
        name=_MODEL,
        group_size=GROUP_SIZE,
        time_factor=1.0,
        work_share=1.0,
        load_time=datetime.timedelta(seconds=16),
        warm_load_time=datetime.timedelta(seconds=1.6),
    )


def _make_group_plan(count: int) -> Callable[[], object]:
    model = _make_model()
    # One server in ten is free, as after losses.
    free = [FreeServer(_make_server(n), _MODEL) for n in range(0, count, 10)]
    needed = needed_servers([model], {_MODEL: 500}, slots=13, server_count=count)
    return lambda: plan_groups(
        free, [model], {_MODEL: count}, needed, allow_loads=False
    )


def _make_status(leader_count: int) -> NodeStatus:
    load = {f"i-{number:010x}": 5 for number in range(leader_count)}
    return NodeStatus(
        node="front-zone-a-01",
        started_ms=1_790_000_000_000,
        serial=1000,
        zone="zone-a",
        address="10.1.2.3:8229",
        datagram="10.1.2.3:7340",
        declaration=1000,
        relay=True,
        load=load,
        zone_load=load,
        other_load=load,
        peers=tuple(f"10.1.2.{n}:7340" for n in range(12)),
    )


def _make_detector(count: int) -> PoisonRequestDetector:
    detector = PoisonRequestDetector(clock=_ProcessClock())
    for number in range(count):
        fingerprint = compute_fingerprint(None, b"/", b"%d" % number)
        detector.record_loss(fingerprint, f"{number // 26:016x}")
    return detector


def _make_loss_selection(count: int) -> Callable[[], object]:
    return _make_detector(count).losses_to_send


def _make_quarantined(count: int) -> dict[str, tuple[str, ...]]:
    detector = PoisonRequestDetector(clock=_ProcessClock())
    for number in range(count):
        fingerprint = compute_fingerprint(None, b"/", b"%d" % number)
        for loss in range(3):
            detector.record_loss(fingerprint, f"{loss:016x}")
    return detector.losses_to_send()


def _loss_fits() -> list[LinearFit]:
    counts = (1, 2, 4, 8, 16)
    sizes = [
        len(encode(msgspec.structs.replace(_make_status(0), strikes=strikes)))
        for strikes in map(_make_quarantined, counts)
    ]
    return [
        fit_line(
            "lost requests, selection for a status",
            "ms",
            "request",
            _LOSS_COUNTS,
            [1e3 * measure_cpu_s(_make_loss_selection(n)) for n in _LOSS_COUNTS],
            _PLANNED_LOSSES,
        ),
        fit_line(
            "lost requests, memory",
            "KiB",
            "request",
            _LOSS_COUNTS,
            [
                measure_memory_kib(functools.partial(_make_detector, n))
                for n in _LOSS_COUNTS
            ],
            _PLANNED_LOSSES,
        ),
        fit_line(
            "quarantined requests in a status",
            "B",
            "request",
            counts,
            sizes,
            counts[-1],
        ),
    ]


def _make_limited(
    count: int,
) -> tuple[RequestRateLimiter, ServerLimits, list[VmId]]:
    """Return the limiter of a node at the planned size, with limited servers."""
    limiter, limits, _ = _make_rate_limiter()
    zone_nodes = [NodeId(f"n{number}") for number in range(_PLANNED_ZONE_NODES)]
    limiter.set_nodes(count=_PLANNED_NODES, zone_nodes=zone_nodes)
    servers = [VmId(f"i-{number:010x}") for number in range(count)]
    for vm in servers:
        limits.record_response(vm, _LIMIT_PER_S, sent_at_s=0.0)
    return limiter, limits, servers


def _make_limit_checks(count: int) -> Callable[[], object]:
    limiter, _, servers = _make_limited(count)
    return lambda: [limiter.wait_s(vm) for vm in servers]


def _limit_fits() -> list[LinearFit]:
    counts = (1, 2, 4, 8)
    sizes = []
    for count in counts:
        _, limits, _ = _make_limited(count)
        reports = limits.own_reports()
        status = msgspec.structs.replace(
            _make_status(0), limits=reports, zone_limits=reports, other_limits=reports
        )
        sizes.append(len(encode(status)))
    return [
        fit_line("limited servers in a status", "B", "server", counts, sizes, 8),
        _fit_by_servers("limited servers, check before a choice", _make_limit_checks),
    ]


def _make_dispatch_decision(group_count: int) -> Callable[[], object]:
    """Return a question of a node to a dispatcher, and the end of its stream."""
    model = _make_model()
    engine = EngineProfile(
        slots=13,
        kv_tokens=1_000_000,
        step_ms=6.0,
        step_ms_per_request=0.1,
        step_ms_per_1000_tokens=0.01,
        prefill_tokens_per_s=50_000.0,
        tokens_per_event=6,
        loads_per_s=10.0,
        max_concurrent_loads=10,
        staged_models=1,
        open_delay=datetime.timedelta(seconds=0.3),
        mean_prompt_tokens=800.0,
        mean_answer_tokens=160.0,
        models=(model,),
    )
    service = Service(
        name=_SERVICE, health_path="/", max_connections=400, engine=engine
    )
    limit = datetime.timedelta(seconds=1)
    declaration = Declaration(
        version=1,
        routes=(),
        services={_SERVICE: service},
        accounts_by_key=None,
        max_header_bytes=1,
        max_body_bytes=1,
        header_timeout=limit,
        idle_timeout=limit,
    )
    heads = [_make_server(number * GROUP_SIZE) for number in range(group_count)]
    clock = _ProcessClock()
    dispatcher = GroupDispatcher(
        heads=lambda service, model: heads,
        estimator=LearnedDelayEstimator(
            zone=ZoneId("z"), clock=clock, on_sample=lambda measure: None
        ),
        declaration=lambda: declaration,
        zone=ZoneId("z"),
        clock=clock,
        rng=random.Random(1),
    )
    holder = Holder("10.1.2.4:7340", 1)
    question = Question(
        service=_SERVICE,
        model=model.name,
        prompt_tokens=700,
        target_s=0.25,
        account=AccountId("account"),
    )
    serials = itertools.count()

    def decide() -> None:
        serial = next(serials)
        dispatcher.decide(holder, serial, question)
        dispatcher.end(holder, [serial - 3 * group_count])

    return decide


def _declaration_fits() -> list[LinearFit]:
    """Return the costs of a large declaration of which one route changes."""

    def fit(name: str, unit: str, figures: list[float]) -> LinearFit:
        return fit_line(name, unit, "route", _ROUTE_COUNTS, figures, _PLANNED_ROUTES)

    def fit_cpu(name: str, functions: list[Callable[[], object]]) -> LinearFit:
        return fit(name, "ms", [1e3 * measure_cpu_s(f) for f in functions])

    versions = [
        (encode_large_declaration(count), encode_large_declaration(count, version=2))
        for count in _ROUTE_COUNTS
    ]
    whole = [pack_value(new) for _, new in versions]
    differences = [pack_value(new, base=old) for old, new in versions]
    decoders = [DeclarationDecoder() for _ in versions]
    for decoder, (old, _) in zip(decoders, versions, strict=True):
        decoder.decode(old)
    unpacked = list(zip(differences, versions, strict=True))
    return [
        fit("declaration, bytes", "B", [len(new) for _, new in versions]),
        fit("declaration compressed, bytes", "B", [len(p.data) for p in whole]),
        fit(
            "declaration as difference, bytes and numbers",
            "B",
            [len(p.data) + len(p.copies) for p in differences],
        ),
        fit_cpu(
            "declaration, first decode",
            [functools.partial(decode_declaration, new) for _, new in versions],
        ),
        fit_cpu(
            "declaration, decode after another version",
            [
                functools.partial(decoder.decode, new)
                for decoder, (_, new) in zip(decoders, versions, strict=True)
            ],
        ),
        fit_cpu(
            "declaration, difference packed",
            [functools.partial(pack_value, new, base=old) for old, new in versions],
        ),
        fit_cpu(
            "declaration, difference unpacked",
            [
                functools.partial(unpack_value, packed, base=old)
                for packed, (old, _) in unpacked
            ],
        ),
    ]


def _encode_entry() -> bytes:
    return msgspec.json.encode(
        {
            "service": "llm",
            "address": "10.128.0.9:8080",
            "zone": "zone-a",
            "slots": 13,
            "state": "ready",
            "seq": 4,
            "born": 1_790_000_000_000,
            "domain": "d1",
            "staged": [_MODEL],
            "models": [{"name": _MODEL}],
            "group": {"name": "g1", "epoch": 1, "rank": 0, "state": "open"},
        }
    )


def _fit_by_servers(
    name: str, make_function: Callable[[int], Callable[[], object]]
) -> LinearFit:
    cpu_ms = [1e3 * measure_cpu_s(make_function(count)) for count in _SERVER_COUNTS]
    return fit_line(name, "ms", "server", _SERVER_COUNTS, cpu_ms, PLANNED_SERVERS)


def main() -> None:
    """Print the fitted line of every cost as a JSON line."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    fits = [
        _fit_by_servers("routable groups, worked out again", _make_tracker_refresh),
        _fit_by_servers("views of groups", _make_group_views),
        _fit_by_servers(
            "plan of new groups, a tenth of the servers free", _make_group_plan
        ),
        fit_line(
            "registry of servers, memory",
            "KiB",
            "server",
            _SERVER_COUNTS,
            [
                measure_memory_kib(functools.partial(_make_registry, count))
                for count in _SERVER_COUNTS
            ],
            PLANNED_SERVERS,
        ),
    ]
    leader_counts = (5, 10, 20, 40, 75)
    encoded = [encode(_make_status(count)) for count in leader_counts]
    fits += [
        fit_line(
            "status, bytes", "B", "head", leader_counts, [len(e) for e in encoded], 75
        ),
        fit_line(
            "dispatcher, question and end",
            "us",
            "group of the zone",
            leader_counts,
            [
                1e6 * measure_cpu_s(_make_dispatch_decision(count))
                for count in leader_counts
            ],
            11,
        ),
        fit_line(
            "status, decode",
            "us",
            "head",
            leader_counts,
            [
                1e6 * measure_cpu_s(functools.partial(decode, e, NodeStatus))
                for e in encoded
            ],
            75,
        ),
        fit_line(
            "status, encode",
            "us",
            "head",
            leader_counts,
            [
                1e6 * measure_cpu_s(functools.partial(encode, _make_status(c)))
                for c in leader_counts
            ],
            75,
        ),
    ]
    fits += _loss_fits()
    fits += _limit_fits()
    fits += _declaration_fits()
    for fit in fits:
        print(json.dumps(dataclasses.asdict(fit)))
    encoded_entry = _encode_entry()
    cpu_us = 1e6 * measure_cpu_s(lambda: decode_server(VmId("a"), encoded_entry))
    print(json.dumps({"name": "entry, decode", "unit": "us", "each": cpu_us}))


if __name__ == "__main__":
    fire.Fire(main)
