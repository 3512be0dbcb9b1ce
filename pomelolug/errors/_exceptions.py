"""The exception family: each error has a stable code."""

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
    """Base of all errors of this package.

    Parameters
    ----------
    code : ErrorCode
        Stable code for callers, logs and metrics.
    message : str
        One sentence for a person. Holds no key, prompt or answer text.
    """

    def __init__(self, code: ErrorCode, message: str) -> None:
        super().__init__(message)
        self._code = code

    @property
    def code(self) -> ErrorCode:
        """Stable code of the error."""
        return self._code


class RequestError(PomelolugError):
    """A caller's request ends without an answer.

    Parameters
    ----------
    code : ErrorCode
        Stable code for the error body.
    message : str
        One sentence for the caller.
    status : int
        HTTP status.
    outcome : Outcome
        ``NOT_RUN`` only with proof that nothing was executed.
    retry_after : datetime.timedelta, optional
        When a new try is worth making.
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
        """Outcome that the caller is told."""
        return self._outcome

    @property
    def retry_after(self) -> datetime.timedelta | None:
        """Time after which a new try is worth making."""
        return self._retry_after

    def with_outcome(self, outcome: Outcome) -> "RequestError":
        """Return the same error with another outcome."""
        return RequestError(
            self.code,
            str(self),
            status=self._status,
            outcome=outcome,
            retry_after=self._retry_after,
        )


class PlatformError(PomelolugError):
    """The platform did not answer, or refused.

    Parameters
    ----------
    code : ErrorCode
        ``PLATFORM_UNAVAILABLE`` or ``APPEND_UNKNOWN``.
    message : str
        One sentence for the log.
    maybe_applied : bool
        Whether the operation may have taken effect all the same.
    """

    def __init__(
        self, code: ErrorCode, message: str, *, maybe_applied: bool = False
    ) -> None:
        super().__init__(code, message)
        self._maybe_applied = maybe_applied

    @property
    def maybe_applied(self) -> bool:
        """Whether the operation may have taken effect."""
        return self._maybe_applied


class LogRegressedError(PomelolugError):
    """The log was replaced or lost records that had been applied."""


class PeerError(PomelolugError):
    """A peer broke the protocol or failed authentication."""


class InvalidInputError(PomelolugError):
    """A document or settings file has faults; all are reported together.

    Parameters
    ----------
    code : ErrorCode
        Which kind of input is at fault.
    findings : sequence of Finding
        Every fault, in the order of the input.
    """

    def __init__(self, code: ErrorCode, findings: Sequence[Finding]) -> None:
        super().__init__(code, "\n".join(str(finding) for finding in findings))
        self._findings = tuple(findings)

    @property
    def findings(self) -> tuple[Finding, ...]:
        """Every fault, in the order of the input."""
        return self._findings


class ConfigurationError(InvalidInputError):
    """A declared configuration has faults; nothing of it is applied."""
