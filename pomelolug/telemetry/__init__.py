"""Logging set-up and metrics of the processes."""

from pomelolug.telemetry._bounded import BoundedWriter
from pomelolug.telemetry._logging import configure_logging

__all__ = ["BoundedWriter", "configure_logging"]
