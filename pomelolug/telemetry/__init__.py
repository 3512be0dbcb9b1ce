"""Logging set-up and metrics of the processes."""

from pomelolug.telemetry._logging import configure_logging

__all__ = ["configure_logging"]
