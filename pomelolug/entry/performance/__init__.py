"""How long servers take, and how many requests they take well."""

from pomelolug.entry.performance._base import DelayEstimator
from pomelolug.entry.performance._declared import (
    DeclaredDelayEstimator,
    estimate_event_interval_s,
    estimate_first_event_s,
)

__all__ = [
    "DeclaredDelayEstimator",
    "DelayEstimator",
    "estimate_event_interval_s",
    "estimate_first_event_s",
]
