"""The platform's services as interfaces, with one HTTP adapter each."""

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
