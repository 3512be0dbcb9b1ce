"""Declaration of many routes in the format of the users' platform."""

import random

import msgspec

__all__ = ["encode_large_declaration"]


def encode_large_declaration(count: int, *, version: int = 1) -> bytes:
    """Return a declaration of which each version changes one route."""
    rng = random.Random(1)
    routes = [
        {
            "name": f"r-{rng.getrandbits(36):09x}",
            "host": f"h{rng.getrandbits(32):08x}.example",
            "path_prefix": f"/p{rng.getrandbits(32):08x}/",
            "kind": "streaming",
            "timeout_ms": 6075.0,
            "target_latency_ms": 253.0,
            "split": [{"service": "llm", "weight": 1.0}],
            "max_attempts": 2,
            "public": False,
            "sticky": True,
            "resumable": True,
            "gap_target_ms": 200.0,
        }
        for _ in range(count)
    ]
    routes[version % count]["timeout_ms"] = 5000.0
    return msgspec.json.encode({"version": version, "routes": routes})
