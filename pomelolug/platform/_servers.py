"""Decoding of the entries that backend servers write to the store."""

from typing import Annotated

import msgspec

from pomelolug.deployment import (
    BackendServer,
    GroupMembership,
    GroupState,
    ServerState,
)
from pomelolug.ids import DomainId, GroupId, ModelName, ServiceName, VmId, ZoneId
from pomelolug.platform._cold_times import decode_cold_time
from pomelolug.transport import is_address

__all__ = ["decode_server"]


_MAX_INTEGER = 2**53
"""Largest integer that all readers of JSON carry exactly."""
_Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_INTEGER)]


class _Group(msgspec.Struct, frozen=True):
    name: str
    epoch: _Count
    rank: _Count
    state: GroupState


class _Model(msgspec.Struct, frozen=True):
    name: str


class _ServerEntry(msgspec.Struct, frozen=True):
    # `seq` is not decoded: in an entry it counts renewals, in a report it counts
    # orders.
    service: str
    address: str
    state: ServerState
    zone: str = ""
    slots: _Count = 1
    # Unix time of the start in milliseconds; distinguishes a restarted server from
    # an earlier one with the same id.
    born: _Count = 0
    domain: str = ""
    staged: tuple[str, ...] = ()
    models: tuple[_Model, ...] = ()
    group: _Group | None = None
    # Of any type, so that an odd value does not make a sound server invisible.
    cold_remaining_ms: msgspec.Raw = msgspec.Raw(b"")


def decode_server(vm: VmId, data: bytes) -> BackendServer | None:
    """Return the server that an entry describes, or None if the entry is invalid.

    Other programs may write to the topic. An entry that cannot be decoded is
    ignored, so that it does not affect the other entries.
    """
    try:
        raw = msgspec.json.decode(data, type=_ServerEntry)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    if not (_is_token(vm) and is_address(raw.address) and raw.service):
        return None
    cold_for, has_invalid_cold_time = decode_cold_time(bytes(raw.cold_remaining_ms))
    return BackendServer(
        vm=vm,
        start_time_ms=raw.born,
        service=ServiceName(raw.service),
        address=raw.address,
        zone=ZoneId(raw.zone),
        domain=DomainId(raw.domain),
        state=raw.state,
        slots=raw.slots,
        staged=frozenset(ModelName(name) for name in raw.staged),
        model=ModelName(raw.models[0].name) if raw.models else None,
        membership=_decode_membership(raw.group),
        cold_for=cold_for,
        has_invalid_cold_time=has_invalid_cold_time,
    )


def _is_token(text: str) -> bool:
    """Return whether a text is fit for a header field: visible ASCII, no spaces."""
    return text.isascii() and text.isprintable() and bool(text) and " " not in text


def _decode_membership(raw: _Group | None) -> GroupMembership | None:
    if raw is None:
        return None
    return GroupMembership(GroupId(raw.name), raw.epoch, raw.rank, raw.state)
