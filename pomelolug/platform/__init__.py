"""The platform's services as interfaces, with one HTTP adapter each."""

from pomelolug.platform._base import (
    LogPage,
    LogRecord,
    LogService,
    VmDirectory,
    VmEntry,
    VmRole,
    WeightStore,
    WeightStoreInfo,
)
from pomelolug.platform._http import (
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
