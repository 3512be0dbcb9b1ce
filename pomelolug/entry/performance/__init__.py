"""How long servers take, and how many requests they take well."""

from pomelolug.entry.performance._base import DelayEstimator
from pomelolug.entry.performance._declared import (
    DeclaredDelayEstimator,
    estimate_event_interval_s,
    estimate_first_event_s,
)
from pomelolug.entry.performance._learned import (
    LearnedDelayEstimator,
    PerformanceSummary,
    SpeedReports,
)
from pomelolug.entry.performance._observation import (
    Measure,
    PlainObservation,
    StreamObservation,
)

__all__ = [
    "DeclaredDelayEstimator",
    "DelayEstimator",
    "LearnedDelayEstimator",
    "Measure",
    "PerformanceSummary",
    "PlainObservation",
    "SpeedReports",
    "StreamObservation",
    "estimate_event_interval_s",
    "estimate_first_event_s",
]
