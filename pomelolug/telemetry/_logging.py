"""Structured logs: one JSON object a line."""

import logging
import sys
from typing import Any

import structlog

__all__ = ["configure_logging"]


def configure_logging(level: str, *, file: Any = None, **context: str) -> None:
    """Set up structlog for the process.

    Parameters
    ----------
    level : str
        Lowest level that is written: debug, info, warning or error.
    file : text file, optional
        Where lines go, by default standard error.
    **context : str
        Fields that each line carries, for example the node's name.
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
