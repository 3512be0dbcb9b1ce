"""Exit statuses of the ``pomelolug`` command."""

import enum
import sys
from collections.abc import Callable

from pomelolug.errors import (
    ErrorCode,
    InvalidInputError,
    LogRegressedError,
    PlatformError,
    PomelolugError,
)

__all__ = ["ExitStatus", "exit_status_for", "run_and_exit"]


class ExitStatus(enum.IntEnum):
    """Exit statuses of the ``pomelolug`` command.

    ``DONE``: the command succeeded.
    ``FAILED``: any error that has no status of its own below.
    ``INVALID``: the arguments, the settings or the document are invalid; nothing
    was appended.
    ``RACED``: another change replaced the base version first.
    ``UNAVAILABLE``: the log or the control process does not respond; nothing was
    appended.
    ``UNKNOWN``: the record may be on the log, or it is there and its effect is not
    known.
    ``LOG_DAMAGED``: the log was replaced or shortened, or lacks records.
    """

    DONE = 0
    FAILED = 1
    INVALID = 2
    RACED = 3
    UNAVAILABLE = 4
    UNKNOWN = 5
    LOG_DAMAGED = 6


_STATUS_BY_ERROR_CODE = {
    ErrorCode.APPEND_UNKNOWN: ExitStatus.UNKNOWN,
    ErrorCode.CONFIGURATION_RACED: ExitStatus.RACED,
    ErrorCode.BAD_REQUEST: ExitStatus.INVALID,
    ErrorCode.LOG_INCOMPLETE: ExitStatus.LOG_DAMAGED,
}


def exit_status_for(error: PomelolugError) -> ExitStatus:
    """Return the exit status for `error`.

    Examples
    --------
    >>> exit_status_for(PlatformError(ErrorCode.APPEND_UNKNOWN, "no response")).name
    'UNKNOWN'
    """
    if error.code in _STATUS_BY_ERROR_CODE:
        return _STATUS_BY_ERROR_CODE[error.code]
    if isinstance(error, InvalidInputError):
        return ExitStatus.INVALID
    if isinstance(error, LogRegressedError):
        return ExitStatus.LOG_DAMAGED
    if isinstance(error, PlatformError):
        return ExitStatus.UNAVAILABLE
    return ExitStatus.FAILED


def run_and_exit(command: Callable[[], object]) -> None:
    """Run `command`; on an error, print it and exit with its status."""
    try:
        command()
    except PomelolugError as error:
        print(error, file=sys.stderr)
        sys.exit(exit_status_for(error))
    except (OSError, UnicodeDecodeError) as error:
        print(f"{type(error).__name__}: {error}", file=sys.stderr)
        sys.exit(ExitStatus.INVALID)
