"""Readiness, draining and the number of requests in flight."""

import contextlib
import datetime
from collections.abc import Iterator

from pomelolug.configuration import Configuration
from pomelolug.errors import ErrorCode, RequestError

__all__ = ["Lifecycle"]

_RETRY_AFTER = datetime.timedelta(seconds=1)


class Lifecycle:
    """Readiness and drain state of this gateway, and its requests in flight.

    Examples
    --------
    >>> lifecycle = Lifecycle()
    >>> lifecycle.unready_reason(None)
    'no_configuration'
    """

    def __init__(self) -> None:
        self._is_draining = False
        self._in_flight = 0

    @property
    def is_draining(self) -> bool:
        """Whether a planned stop has begun."""
        return self._is_draining

    @property
    def in_flight(self) -> int:
        """Number of requests in flight."""
        return self._in_flight

    def start_draining(self) -> None:
        """Fail the readiness check; requests that still arrive are served."""
        self._is_draining = True

    def unready_reason(self, configuration: Configuration | None) -> str:
        """Return why the gateway is not ready, or an empty string if it is."""
        if self._is_draining:
            return ErrorCode.DRAINING.value
        if configuration is None:
            return ErrorCode.NO_CONFIGURATION.value
        return ""

    @contextlib.contextmanager
    def track_request(self, max_in_flight: int) -> Iterator[None]:
        """Count a request in flight inside the context.

        Raises
        ------
        RequestError
            ``queue_full`` if `max_in_flight` requests are in flight already.
        """
        if self._in_flight >= max_in_flight:
            raise RequestError(
                ErrorCode.QUEUE_FULL,
                "the gateway has too many requests in flight",
                status=503,
                retry_after=_RETRY_AFTER,
            )
        self._in_flight += 1
        try:
            yield
        finally:
            self._in_flight -= 1
