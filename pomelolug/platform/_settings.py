"""The settings file that the platform writes for each process."""

import datetime
import math
import pathlib
import tomllib
from typing import Any

import msgspec

from pomelolug.errors import ErrorCode, Finding, InvalidInputError
from pomelolug.ids import NodeId, ZoneId

__all__ = ["NodeSettings", "load_settings"]

_HEARTBEATS_PER_LIFETIME = 3
"""Heartbeat intervals of silence after which the store removes an entry."""
_LONGEST_HEARTBEAT = 1.25
"""Longest time between two writes of a server, in heartbeat intervals."""
_BYTES_PER_MB = 1_000_000
_FILE_DESCRIPTORS = 200
"""Descriptors that the platform reserves for files."""


class _Listen(msgspec.Struct, frozen=True):
    front: str = ""
    ready: str = ""
    control: str = ""


class _Bounds(msgspec.Struct, frozen=True):
    grace_s: float = 8.0
    # Time after which a server that leaves gets no new requests.
    drain_ms: float = 2000.0
    # Time after which a declaration is in force.
    config_ms: float = 2000.0
    # Time after which the servers of an evacuated zone get no requests.
    evacuate_ms: float = math.inf
    stall_ms: float = 5000.0
    retry_budget_ratio: float = 0.2
    budget_slack: float = 50.0
    # Requests that a cold server accepts in any second, as a multiple of what it
    # bears, and beyond that.
    cold_overage: float = 1.0
    cold_slack: float = 0.0


class _Platform(msgspec.Struct, frozen=True):
    address: str
    min_ttl_ms: float = 1000.0


class _Limits(msgspec.Struct, frozen=True):
    # A process that uses more memory is killed; 0 without a limit.
    memory_mb: float = 0.0
    max_fds: int = 0


class _SettingsFile(msgspec.Struct, frozen=True):
    node: str
    ip: str
    zone: str
    platform: _Platform
    listen: _Listen
    role: str = ""
    region: str = ""
    heartbeat_ms: float = 1200.0
    internal_ports: tuple[int, ...] = ()
    seeds: tuple[str, ...] = ()
    # Region of each zone.
    zones: dict[str, str] = {}
    bounds: _Bounds = _Bounds()
    limits: _Limits = _Limits()


class NodeSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one entry VM, independent of the names in the file."""

    node: NodeId
    ip: str
    zone: ZoneId
    zones: tuple[ZoneId, ...] = ()
    """All zones of the deployment; may be empty."""
    store_address: str
    caller_address: str
    """Address on which callers connect."""
    readiness_address: str
    """Address on which the load balancer checks readiness."""
    peer_address: str
    """Address on which peers connect; empty if the platform assigns none."""
    internal_ports: tuple[int, ...]
    peer_seeds: tuple[str, ...]
    """Peer addresses of at most three nodes; may be out of date."""
    stop_grace: datetime.timedelta
    """Time between the request to stop and the forced kill."""
    stall_timeout: datetime.timedelta
    """Time after which a group that lost a member reports that it is broken."""
    retry_ratio: float
    retry_reserve: float
    """Retries of all nodes in a window that are allowed beyond `retry_ratio`."""
    longest_record_delay: datetime.timedelta
    """Time after which each node acts on a record of the store."""
    server_entry_lifetime: datetime.timedelta
    """Time after which the store removes the entry of a silent server."""
    shortest_lapse: datetime.timedelta
    """Shortest time without the store in which the entry of a live server can lapse."""
    least_lease: datetime.timedelta
    """Shortest time to live that the store accepts for a membership."""
    cold_accepted_factor: float = 1.0
    """Requests that a cold server accepts in a second, as a multiple of its limit."""
    cold_excess_requests: float = 0.0
    """Requests that a cold server accepts in a second beyond that."""
    memory_limit_bytes: int | None = None
    """Memory above which the process is killed, None if no limit is known."""
    socket_limit: int | None = None
    """Sockets that the process may have open, None if no limit is known."""


def load_settings(path: pathlib.Path) -> NodeSettings:
    """Read and decode the settings file.

    Raises
    ------
    InvalidInputError
        If the file cannot be read or decoded; names the invalid field.
    """
    try:
        raw = tomllib.loads(path.read_text())
    except OSError as error:
        raise _settings_error(path, "", str(error)) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise _settings_error(path, "", f"invalid TOML: {error}") from error
    return decode_settings(raw, path=path)


def decode_settings(raw: dict[str, Any], *, path: pathlib.Path) -> NodeSettings:
    """Return the settings from parsed TOML; unknown fields are ignored."""
    try:
        file = msgspec.convert(raw, _SettingsFile, strict=False)
    except msgspec.ValidationError as error:
        message, _, place = str(error).partition(" - at ")
        raise _settings_error(path, place.strip("`"), message) from error
    bounds = file.bounds
    heartbeat = datetime.timedelta(milliseconds=file.heartbeat_ms)
    return NodeSettings(
        node=NodeId(file.node),
        ip=file.ip,
        zone=ZoneId(file.zone),
        zones=tuple(ZoneId(zone) for zone in file.zones),
        store_address=file.platform.address,
        caller_address=file.listen.front,
        readiness_address=file.listen.ready,
        peer_address=file.listen.control,
        internal_ports=file.internal_ports,
        peer_seeds=file.seeds,
        stop_grace=datetime.timedelta(seconds=bounds.grace_s),
        stall_timeout=datetime.timedelta(milliseconds=bounds.stall_ms),
        retry_ratio=bounds.retry_budget_ratio,
        retry_reserve=bounds.budget_slack,
        longest_record_delay=datetime.timedelta(
            milliseconds=min(bounds.drain_ms, bounds.config_ms, bounds.evacuate_ms)
        ),
        server_entry_lifetime=_HEARTBEATS_PER_LIFETIME * heartbeat,
        shortest_lapse=(_HEARTBEATS_PER_LIFETIME - _LONGEST_HEARTBEAT) * heartbeat,
        least_lease=datetime.timedelta(milliseconds=file.platform.min_ttl_ms),
        cold_accepted_factor=bounds.cold_overage,
        cold_excess_requests=bounds.cold_slack,
        memory_limit_bytes=int(file.limits.memory_mb * _BYTES_PER_MB) or None,
        socket_limit=max(file.limits.max_fds - _FILE_DESCRIPTORS, 0) or None,
    )


def _settings_error(path: pathlib.Path, place: str, message: str) -> InvalidInputError:
    finding = Finding(
        location=f"{path}{': ' if place else ''}{place}", value="", problem=message
    )
    return InvalidInputError(ErrorCode.SETTINGS_INVALID, [finding])
