"""Slopes of the entry process, and what they give at the planned size.

Run ``python -m pomelolug.experiments.entry_slopes``; each line of standard output
is one JSON object with sizes, figures, slope and the value at the planned size.
"""

import dataclasses
import datetime
import functools
import json
import time
from collections.abc import Callable

import fire
import msgspec

from pomelolug.clock import Clock
from pomelolug.deployment import (
    BackendServer,
    GroupMembership,
    GroupState,
    ModelProfile,
    ServerRegistry,
    ServerState,
)
from pomelolug.entry._server_tracker import ServerTracker
from pomelolug.experiments._slopes import Slope, fit, kilobytes, seconds
from pomelolug.ids import (
    DomainId,
    GroupId,
    ModelName,
    Offset,
    ServiceName,
    VmId,
    ZoneId,
)
from pomelolug.messages import NodeStatus, decode, encode
from pomelolug.platform import decode_server
from pomelolug.replicas import FreeServer, group_views, needed_servers, plan_groups

__all__ = ["main"]

SERVERS = 600
MEMBERS = 8
_DOMAIN = 27
_MODEL = ModelName("model")
_SIZES = (75, 150, 300, 600)


class _ProcessClock(Clock):
    """Clock without an event loop."""

    def monotonic(self) -> float:
        """Return the process's monotonic time in seconds."""
        return time.monotonic()

    def now(self) -> datetime.datetime:
        """Return the wall time in UTC."""
        return datetime.datetime.now(datetime.UTC)

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Return at once; nothing here waits."""
        del duration


def _server(number: int) -> BackendServer:
    group, rank = divmod(number, MEMBERS)
    state = GroupState.OPEN if rank == 0 else GroupState.READY
    return BackendServer(
        vm=VmId(f"i-{number:010x}"),
        start_time_ms=1,
        service=ServiceName("llm"),
        address="10.1.2.3:8080",
        zone=ZoneId("z"),
        domain=DomainId(f"d{number // _DOMAIN}"),
        state=ServerState.READY,
        slots=13,
        staged=frozenset({_MODEL}),
        model=_MODEL,
        membership=GroupMembership(GroupId(f"g{group}"), group, rank, state),
    )


def _registry(count: int) -> ServerRegistry:
    registry = ServerRegistry(clock=_ProcessClock())
    registry.apply(
        (server.vm, Offset(number), server)
        for number, server in enumerate(map(_server, range(count)))
    )
    return registry


def _tracker_refresh(count: int) -> Callable[[], object]:
    server_tracker = ServerTracker(registry=_registry(count), clock=_ProcessClock())
    return lambda: server_tracker.refresh({_MODEL: MEMBERS})


def _views(count: int) -> Callable[[], object]:
    servers = list(_registry(count).servers.values())
    return lambda: group_views(servers)


def _plan(count: int) -> Callable[[], object]:
    model = ModelProfile(
        name=_MODEL,
        group_size=MEMBERS,
        time_factor=1.0,
        work_share=1.0,
        load_time=datetime.timedelta(seconds=16),
        warm_load_time=datetime.timedelta(seconds=1.6),
    )
    # A tenth of the servers is free after losses.
    free = [FreeServer(_server(n), _MODEL) for n in range(0, count, 10)]
    needed = needed_servers([model], {_MODEL: 500}, slots=13, server_count=count)
    return lambda: plan_groups(
        free, [model], {_MODEL: count}, needed, allow_loads=False
    )


def _status(heads: int) -> NodeStatus:
    load = {f"i-{number:010x}": 5 for number in range(heads)}
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


def _entry_bytes() -> bytes:
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


def _by_servers(name: str, make: Callable[[int], Callable[[], object]]) -> Slope:
    figures = [1e3 * seconds(make(count)) for count in _SIZES]
    return fit(name, "ms", "server", _SIZES, figures, SERVERS)


def main() -> None:
    """Measure all slopes and print them."""
    slopes = [
        _by_servers("routable groups, worked out again", _tracker_refresh),
        _by_servers("views of groups", _views),
        _by_servers("plan of new groups, a tenth of the servers free", _plan),
        fit(
            "registry of servers, memory",
            "KiB",
            "server",
            _SIZES,
            [kilobytes(functools.partial(_registry, count)) for count in _SIZES],
            SERVERS,
        ),
    ]
    heads = (5, 10, 20, 40, 75)
    encoded = [encode(_status(count)) for count in heads]
    slopes += [
        fit("status, bytes", "B", "head", heads, [len(e) for e in encoded], 75),
        fit(
            "status, decode",
            "us",
            "head",
            heads,
            [1e6 * seconds(functools.partial(decode, e, NodeStatus)) for e in encoded],
            75,
        ),
        fit(
            "status, encode",
            "us",
            "head",
            heads,
            [1e6 * seconds(functools.partial(encode, _status(c))) for c in heads],
            75,
        ),
    ]
    for slope in slopes:
        print(json.dumps(dataclasses.asdict(slope)))
    data = _entry_bytes()
    each_us = 1e6 * seconds(lambda: decode_server(VmId("a"), data))
    print(json.dumps({"name": "entry, decode", "unit": "us", "each": each_us}))


if __name__ == "__main__":
    fire.Fire(main)
