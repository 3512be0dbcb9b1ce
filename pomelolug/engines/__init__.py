"""Client of model engines: status, orders, generation and cache events."""

from pomelolug.engines._base import (
    AssignOrder,
    CacheEvent,
    CacheEventPage,
    EngineClient,
    EngineRefusedError,
    EngineStatus,
    EngineUnavailableError,
    FencingKind,
    GenerationRequest,
    ReleaseOrder,
    StreamEnd,
    TokenEvent,
)
from pomelolug.engines._http import HttpEngineClient

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
    "HttpEngineClient",
    "ReleaseOrder",
    "StreamEnd",
    "TokenEvent",
]
