"""Gateway process: HTTP interface for callers, admission, routing and streaming."""

from pomelolug.gateway._compose import run_gateway

__all__ = ["run_gateway"]
