"""Structured logging with one JSON object per line."""

import logging
import sys
from typing import Any

import structlog

__all__ = ["configure_logging"]


def configure_logging(level: str, *, file: Any = None, **context: str) -> None:
    """Configure structlog for the process.

    Parameters
    ----------
    level : str
        Lowest level that is logged: debug, info, warning or error.
    file : text file, optional
        Output of the log lines, by default standard error.
    **context : str
        Fields added to each line, for example the name of the node.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.PrintLoggerFactory(file=file or sys.stderr),
    )
    structlog.contextvars.bind_contextvars(**context)
