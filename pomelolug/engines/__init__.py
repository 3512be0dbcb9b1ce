"""Model engines: the data path, orders and status of one group member."""

from pomelolug.engines._base import (
    AssignOrder,
    CacheEvent,
    CachePage,
    Engine,
    EngineRefusedError,
    EngineRequest,
    EngineUnavailableError,
    FencingKind,
    MemberStatus,
    ReleaseOrder,
    StreamEnd,
    TokenEvent,
)
from pomelolug.engines._http import HttpEngine

__all__ = [
    "AssignOrder",
    "CacheEvent",
    "CachePage",
    "Engine",
    "EngineRefusedError",
    "EngineRequest",
    "EngineUnavailableError",
    "FencingKind",
    "HttpEngine",
    "MemberStatus",
    "ReleaseOrder",
    "StreamEnd",
    "TokenEvent",
]
