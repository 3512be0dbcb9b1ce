"""Logging configuration of the processes."""

from pomelolug.telemetry._logging import configure_logging
from pomelolug.telemetry._nonblocking_writer import NonBlockingWriter

__all__ = ["NonBlockingWriter", "configure_logging"]
