"""Interfaces of the platform's services, each with an HTTP adapter."""

from pomelolug.infrastructure._base import (
    LogPage,
    LogRecord,
    LogService,
    VmDirectory,
    VmEntry,
    VmRole,
    WeightStore,
    WeightStoreInfo,
)
from pomelolug.infrastructure._http import (
    HttpLogService,
    HttpVmDirectory,
    HttpWeightStore,
)

__all__ = [
    "HttpLogService",
    "HttpVmDirectory",
    "HttpWeightStore",
    "LogPage",
    "LogRecord",
    "LogService",
    "VmDirectory",
    "VmEntry",
    "VmRole",
    "WeightStore",
    "WeightStoreInfo",
]
