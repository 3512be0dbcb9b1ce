"""Prometheus metrics of the control process."""

from prometheus_client import CollectorRegistry, Counter, Gauge

__all__ = ["ControlMetrics"]


class ControlMetrics:
    """Metrics of the control process that no other package registers itself.

    Parameters
    ----------
    registry : prometheus_client.CollectorRegistry
        Registry for the metrics.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self.violations = Counter(
            "pomelolug_invariant_violations_total",
            "Violations of the promised invariants",
            ["invariant"],
            registry=registry,
        )
        self.findings = Counter(
            "pomelolug_findings_total",
            "Findings about VMs, orders and lists, by reason",
            ["reason"],
            registry=registry,
        )
        self.config_version = Gauge(
            "pomelolug_config_version",
            "Configuration version in force; -1 if none",
            registry=registry,
        )
        self.groups = Gauge(
            "pomelolug_groups", "Known groups by phase", ["phase"], registry=registry
        )
        self.vm_list_age = Gauge(
            "pomelolug_vm_list_age_seconds",
            "Age of the platform's VM list; -1 before the first",
            registry=registry,
        )
        self.stream_offset = Gauge(
            "pomelolug_stream_offset",
            "Last applied offset of a stream",
            ["stream"],
            registry=registry,
        )
        self.stream_following = Gauge(
            "pomelolug_stream_following",
            "1 if the stream is up to date with the log",
            ["stream"],
            registry=registry,
        )
