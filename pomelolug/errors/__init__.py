"""Error codes, request outcomes and exception classes."""

from pomelolug.errors._codes import ErrorCode, Outcome
from pomelolug.errors._exceptions import (
    ConfigurationError,
    InvalidInputError,
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
    "InvalidInputError",
    "LogRegressedError",
    "Outcome",
    "PeerError",
    "PlatformError",
    "PomelolugError",
    "RequestError",
]
