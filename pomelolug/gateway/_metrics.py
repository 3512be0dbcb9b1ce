"""Prometheus metrics of the gateway.

Label values are codes and the names of classes and services in the
configuration, never text that a caller sent.
"""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

__all__ = ["GatewayMetrics"]

_TTFT_BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 0.99, 1.5, 2.0, 3.0, 5.0, 10.0, 30.0)
_TOKEN_GAP_BUCKETS_S = (0.01, 0.02, 0.03, 0.044, 0.06, 0.1, 0.2, 0.5, 1.0, 3.0)


class GatewayMetrics:
    """All metrics of one gateway.

    Parameters
    ----------
    registry : prometheus_client.CollectorRegistry
        Registry in which the metrics are registered.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self.requests = Counter(
            "pomelolug_requests_total",
            "Requests by class and outcome",
            ["work_class", "outcome"],
            registry=registry,
        )
        self.refusals = Counter(
            "pomelolug_refusals_total",
            "Requests that ended without an answer, by code",
            ["code"],
            registry=registry,
        )
        self.retries = Counter(
            "pomelolug_retries_total",
            "Further attempts of the gateway, by reason",
            ["reason"],
            registry=registry,
        )
        self.dropped_events = Counter(
            "pomelolug_dropped_events_total",
            "Engine events that were not passed on, by reason",
            ["reason"],
            registry=registry,
        )
        self.invariant_violations = Counter(
            "pomelolug_invariant_violations_total",
            "Violations of the promised invariants",
            ["invariant"],
            registry=registry,
        )
        self.ttft_seconds = Histogram(
            "pomelolug_ttft_seconds",
            "Time from the request to its first token",
            ["work_class"],
            buckets=_TTFT_BUCKETS_S,
            registry=registry,
        )
        self.token_gap_seconds = Histogram(
            "pomelolug_token_gap_seconds",
            "Mean time between tokens of an answer",
            ["work_class"],
            buckets=_TOKEN_GAP_BUCKETS_S,
            registry=registry,
        )
        self.in_flight = Gauge(
            "pomelolug_in_flight", "Requests in flight", registry=registry
        )
        self.table_age_seconds = Gauge(
            "pomelolug_table_age_seconds",
            "Age of the routing table",
            registry=registry,
        )
        self.config_version = Gauge(
            "pomelolug_config_version",
            "Configuration version in force; -1 if none",
            registry=registry,
        )
