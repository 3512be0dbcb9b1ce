"""Exception classes; each exception carries a stable error code."""

import datetime
from collections.abc import Sequence

from pomelolug.errors._codes import ErrorCode, Outcome
from pomelolug.errors._findings import Finding

__all__ = [
    "ConfigurationError",
    "InvalidInputError",
    "LogRegressedError",
    "PeerError",
    "PlatformError",
    "PomelolugError",
    "RequestError",
]


class PomelolugError(Exception):
    """Base class of the exceptions that carry an `ErrorCode`.

    Parameters
    ----------
    code : ErrorCode
        Stable code for callers, logs and metrics.
    message : str
        One sentence for people. Must not contain keys, prompts or response text.
    """

    def __init__(self, code: ErrorCode, message: str) -> None:
        super().__init__(message)
        self._code = code

    @property
    def code(self) -> ErrorCode:
        """Stable code of the error."""
        return self._code


class RequestError(PomelolugError):
    """A request ends with an error response.

    Parameters
    ----------
    code : ErrorCode
        Stable code for the error body.
    message : str
        One sentence for the caller.
    status : int
        HTTP status.
    outcome : Outcome
        ``NOT_RUN`` only if it is proven that nothing was executed.
    retry_after : datetime.timedelta, optional
        Time after which the caller should retry.
    """

    def __init__(
        self,
        code: ErrorCode,
        message: str,
        *,
        status: int,
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after: datetime.timedelta | None = None,
    ) -> None:
        super().__init__(code, message)
        self._status = status
        self._outcome = outcome
        self._retry_after = retry_after

    @property
    def status(self) -> int:
        """HTTP status of the error response."""
        return self._status

    @property
    def outcome(self) -> Outcome:
        """Outcome reported to the caller."""
        return self._outcome

    @property
    def retry_after(self) -> datetime.timedelta | None:
        """Time after which the caller should retry."""
        return self._retry_after

    def with_outcome(self, outcome: Outcome) -> "RequestError":
        """Return a copy of this error with a different outcome."""
        return RequestError(
            self.code,
            str(self),
            status=self._status,
            outcome=outcome,
            retry_after=self._retry_after,
        )


class PlatformError(PomelolugError):
    """The platform did not respond, or rejected an operation.

    Parameters
    ----------
    code : ErrorCode
        ``PLATFORM_UNAVAILABLE`` or ``APPEND_UNKNOWN``.
    message : str
        One sentence for the log.
    maybe_applied : bool
        Whether the operation may have taken effect despite the error.
    """

    def __init__(
        self, code: ErrorCode, message: str, *, maybe_applied: bool = False
    ) -> None:
        super().__init__(code, message)
        self._maybe_applied = maybe_applied

    @property
    def maybe_applied(self) -> bool:
        """Whether the operation may have taken effect despite the error."""
        return self._maybe_applied


class LogRegressedError(PomelolugError):
    """The log was replaced, or records that were already applied are missing."""


class PeerError(PomelolugError):
    """A peer violated the protocol or failed authentication."""


class InvalidInputError(PomelolugError):
    """A document or settings file is invalid; all problems are reported together.

    Parameters
    ----------
    code : ErrorCode
        Stable code for the kind of input.
    findings : sequence of Finding
        All problems, in input order.
    """

    def __init__(self, code: ErrorCode, findings: Sequence[Finding]) -> None:
        super().__init__(code, "\n".join(str(finding) for finding in findings))
        self._findings = tuple(findings)

    @property
    def findings(self) -> tuple[Finding, ...]:
        """All problems, in input order."""
        return self._findings


class ConfigurationError(InvalidInputError):
    """A declared configuration is invalid; no part of it is applied."""
