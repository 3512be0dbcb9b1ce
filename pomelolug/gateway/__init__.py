"""The gateway: callers' HTTP interface, admission, routing and streams."""

from pomelolug.gateway._compose import run_gateway

__all__ = ["run_gateway"]
