"""Attribution of lost servers to the requests that they were running."""

from pomelolug.entry.losses._loss_publisher import (
    LossPublisher,
)
from pomelolug.entry.losses._poison_requests import (
    PoisonRequestDetector,
    QuarantinedError,
)
from pomelolug.entry.losses._request_identity import (
    RequestIdentity,
    compute_fingerprint,
)
from pomelolug.entry.losses._run_monitor import (
    RunEnd,
    RunMonitor,
    ServerRun,
)

__all__ = [
    "LossPublisher",
    "PoisonRequestDetector",
    "QuarantinedError",
    "RequestIdentity",
    "RunEnd",
    "RunMonitor",
    "ServerRun",
    "compute_fingerprint",
]
