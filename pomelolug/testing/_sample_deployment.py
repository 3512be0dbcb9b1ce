"""Small deployment in the declaration format of the users' platform."""

import dataclasses
from typing import Any

import msgspec

__all__ = [
    "COLD_ACCEPTED_FACTOR",
    "COLD_EXCESS_REQUESTS",
    "EVACUATION_TIME_S",
    "SampleDeployment",
    "format_entry_settings",
]

HOST = "h.example"
GRACE_PERIOD_S = 8.0
STALL_TIMEOUT_S = 2.0
EVACUATION_TIME_S = 3.0
"""Time after which the servers of an evacuated zone get no requests."""
MEMORY_MB = 200
MAX_DESCRIPTORS = 4100
COLD_ACCEPTED_FACTOR = 1.5
COLD_EXCESS_REQUESTS = 1.0
"""Requests that a cold server accepts in a second, as a multiple of what it bears, and
beyond that."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class SampleDeployment:
    """Declared routes, services and API keys; a later version may revoke keys.

    Parameters
    ----------
    version : int
        Version of the declaration.
    keys : dict
        API keys of each client account.
    plain_timeout_ms, stream_timeout_ms : int
        Longest time to a response on a plain or a streaming route.
    cold_requests_per_s : float
        Requests per second that a cold server bears; 0 if no server is ever cold.
    """

    version: int
    keys: dict[str, tuple[str, ...]]
    plain_timeout_ms: int = 1500
    stream_timeout_ms: int = 5000
    cold_requests_per_s: float = 0.0

    def encode(self) -> bytes:
        """Encode the declaration as the metadata store holds it."""
        return msgspec.json.encode(
            {
                "version": self.version,
                "routes": self._routes(),
                "services": [
                    {"name": "plain", "cold_per_s": self.cold_requests_per_s},
                    {
                        "name": "llm",
                        "engine": self.engine_profile(),
                        "cold_per_s": self.cold_requests_per_s,
                    },
                ],
                "limits": {"max_header_bytes": 8192, "max_body_bytes": 100_000},
                "tenants": [
                    {"name": name, "api_keys": list(keys)}
                    for name, keys in self.keys.items()
                ],
            }
        )

    @staticmethod
    def engine_profile() -> dict[str, Any]:
        """Return the declared models and timing of the model servers."""
        return {
            "slots": 8,
            "models": [
                {"name": "large", "size": 3, "share": 0.6, "load_s": 1.5},
                {"name": "small", "size": 2, "share": 0.4, "load_s": 1.0},
            ],
            "step_ms": 10.0,
            "stride": 2,
            "read_per_s": 50000.0,
            "loads_per_s": 8.0,
            "loads_at_once": 8,
            "form_ms": 100.0,
        }

    def _routes(self) -> list[dict[str, Any]]:
        stream = {
            "resumable": True,
            "sticky": True,
            "gap_target_ms": 200,
            "timeout_ms": self.stream_timeout_ms,
        }
        return [
            self._route("safe", "safe", "plain", max_attempts=2),
            self._route("once", "unsafe", "plain", max_attempts=1),
            self._route("stream", "streaming", "llm", max_attempts=2) | stream,
        ]

    def _route(
        self, name: str, kind: str, service: str, *, max_attempts: int
    ) -> dict[str, Any]:
        return {
            "name": name,
            "host": HOST,
            "path_prefix": f"/{name}/",
            "kind": kind,
            "service": service,
            "timeout_ms": self.plain_timeout_ms,
            "target_latency_ms": 300,
            "max_attempts": max_attempts,
        }


def format_entry_settings(
    *, node: str, ip: str, zone: str, store: str, seeds: list[str]
) -> str:
    """Return the content of the settings file of one entry VM."""
    seed_list = ", ".join(f'"{seed}"' for seed in seeds)
    return (
        f'node = "{node}"\nip = "{ip}"\nzone = "{zone}"\n'
        f"internal_ports = [8004]\nseeds = [{seed_list}]\n"
        f'[listen]\nfront = "{ip}:8001"\nready = "{ip}:8002"\ncontrol = "{ip}:8003"\n'
        f'[platform]\naddress = "{store}"\nmin_ttl_ms = 1000\n'
        f"[bounds]\ngrace_s = {GRACE_PERIOD_S}\nstall_ms = {STALL_TIMEOUT_S * 1000}\n"
        f"evacuate_ms = {EVACUATION_TIME_S * 1000}\n"
        f"cold_overage = {COLD_ACCEPTED_FACTOR}\ncold_slack = {COLD_EXCESS_REQUESTS}\n"
        f"[limits]\nmemory_mb = {MEMORY_MB}\nmax_fds = {MAX_DESCRIPTORS}\n"
    )
