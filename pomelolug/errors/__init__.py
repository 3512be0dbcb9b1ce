"""Error codes, request outcomes and the exception family."""

from pomelolug.errors._codes import ErrorCode, Outcome
from pomelolug.errors._family import (
    ConfigurationError,
    FindingsError,
    LogRegressedError,
    PeerError,
    PlatformError,
    PomelolugError,
    RequestError,
)
from pomelolug.errors._findings import Finding

__all__ = [
    "ConfigurationError",
    "ErrorCode",
    "Finding",
    "FindingsError",
    "LogRegressedError",
    "Outcome",
    "PeerError",
    "PlatformError",
    "PomelolugError",
    "RequestError",
]
