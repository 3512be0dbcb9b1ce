"""Prometheus metrics of the entry process."""

import prometheus_client

__all__ = ["EntryMetrics"]

_DURATION_BUCKETS_S = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.15,
    0.2,
    0.3,
    0.4,
    0.6,
    1.0,
    2.0,
    4.0,
    8.0,
)


class EntryMetrics:
    """Counters, gauges and histograms of the entry process.

    The values of each label come from a closed set, so that the number of time
    series is bounded.
    """

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        name = "pomelolug_entry"
        self.answers = prometheus_client.Counter(
            f"{name}_answers",
            "Answers to callers by status and code.",
            ["status", "code"],
            registry=self._registry,
        )
        self.attempts = prometheus_client.Counter(
            f"{name}_attempts",
            "Requests at servers by result.",
            ["result"],
            registry=self._registry,
        )
        self.repeats = prometheus_client.Counter(
            f"{name}_repeats",
            "Requests sent to a further server, by the reason.",
            ["reason"],
            registry=self._registry,
        )
        self.repeats_denied = prometheus_client.Counter(
            f"{name}_repeats_denied",
            "Repeats that the budget denied.",
            registry=self._registry,
        )
        self.stalls = prometheus_client.Counter(
            f"{name}_stalls",
            "Groups whose streams stood still.",
            registry=self._registry,
        )
        self.group_events = prometheus_client.Counter(
            f"{name}_group_events",
            "Decisions and orders on replica groups.",
            ["event", "result"],
            registry=self._registry,
        )
        self.first_event_seconds = prometheus_client.Histogram(
            f"{name}_first_event_seconds",
            "Time to the first event of a stream.",
            buckets=_DURATION_BUCKETS_S,
            registry=self._registry,
        )
        self.whole_seconds = prometheus_client.Histogram(
            f"{name}_whole_seconds",
            "Time to the end of an answer.",
            buckets=_DURATION_BUCKETS_S,
            registry=self._registry,
        )
        self.in_flight = prometheus_client.Gauge(
            f"{name}_in_flight", "Requests in flight.", registry=self._registry
        )
        self.declaration_version = prometheus_client.Gauge(
            f"{name}_declaration_version",
            "Declaration in force, -1 before the first one.",
            registry=self._registry,
        )
        self.open_groups = prometheus_client.Gauge(
            f"{name}_open_groups", "Open replica groups.", registry=self._registry
        )
        self.quarantined_requests = prometheus_client.Gauge(
            f"{name}_quarantined_requests",
            "Requests that are refused because they crash servers.",
            registry=self._registry,
        )
        self.limited_servers = prometheus_client.Gauge(
            f"{name}_limited_servers",
            "Servers that limit their requests per second.",
            registry=self._registry,
        )
        self.cold_servers = prometheus_client.Gauge(
            f"{name}_cold_servers",
            "Servers that are cold, so that they bear fewer requests.",
            registry=self._registry,
        )
        self.cold_attempts = prometheus_client.Counter(
            f"{name}_cold_attempts",
            "Requests sent to cold servers.",
            registry=self._registry,
        )
        self.delay_samples = prometheus_client.Counter(
            f"{name}_delay_samples",
            "Delays from which the speed of servers is learned, by what was measured.",
            ["measure"],
            registry=self._registry,
        )
        self.slow_servers = prometheus_client.Gauge(
            f"{name}_slow_servers",
            "Servers whose learned limit is far below the declared one.",
            registry=self._registry,
        )
        self.server_speed_spread = prometheus_client.Gauge(
            f"{name}_server_speed_spread",
            "Largest learned factor on the delay of a server over the smallest one.",
            registry=self._registry,
        )
        self.servers_out_of_reach = prometheus_client.Gauge(
            f"{name}_servers_out_of_reach",
            "1 if no server is reached, else 0.",
            registry=self._registry,
        )
        self.group_choices = prometheus_client.Counter(
            f"{name}_group_choices",
            "Requests at servers by how the server was chosen.",
            ["choice"],
            registry=self._registry,
        )
        self.open_assignments = prometheus_client.Gauge(
            f"{name}_open_assignments",
            "Streams that this node has assigned as a dispatcher.",
            registry=self._registry,
        )
        self.dispatch_timeouts = prometheus_client.Gauge(
            f"{name}_dispatch_timeouts",
            "Questions to dispatchers without a reply, since the start.",
            registry=self._registry,
        )
        self.evacuated_zones = prometheus_client.Gauge(
            f"{name}_evacuated_zones",
            "Zones whose servers get no requests, by order of the operator.",
            registry=self._registry,
        )
        self.server_silences = prometheus_client.Counter(
            f"{name}_server_silences",
            "Times at which no server responded to requests or probes.",
            registry=self._registry,
        )
        self.held_bytes = prometheus_client.Gauge(
            f"{name}_held_bytes",
            "Bytes of requests and unread responses that are held.",
            registry=self._registry,
        )
        self.connections = prometheus_client.Gauge(
            f"{name}_connections",
            "Open connections of callers and other nodes.",
            registry=self._registry,
        )
        self.unread_disconnects = prometheus_client.Counter(
            f"{name}_unread_disconnects",
            "Callers disconnected because they did not read their response.",
            registry=self._registry,
        )
        self.lapsed_servers = prometheus_client.Gauge(
            f"{name}_lapsed_servers",
            "Servers that are kept although their entry was removed.",
            registry=self._registry,
        )
        self.limited_attempts = prometheus_client.Counter(
            f"{name}_limited_attempts",
            "Requests sent to servers that limit their requests.",
            registry=self._registry,
        )
        self.log_lines_dropped = prometheus_client.Gauge(
            f"{name}_log_lines_dropped",
            "Log lines dropped because their reader was slow.",
            registry=self._registry,
        )

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)
