"""Limits that backend servers set on the requests that they take per second.

A server under load names its limit in its responses. The limit holds for all nodes
together, until a response without one.
"""

import dataclasses

import structlog

from pomelolug.clock import Clock
from pomelolug.ids import VmId

__all__ = ["ServerLimits"]

_log = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class _Statement:
    """What a server stated in a response.

    `rate_per_s` is None if it no longer limits requests; `at_s` is the monotonic time
    of the response.
    """

    rate_per_s: float | None
    at_s: float


class ServerLimits:
    """Latest limit of each server.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._own: dict[VmId, _Statement] = {}

    def rate_per_s(self, vm: VmId) -> float | None:
        """Return the requests per second that a server takes, None if unlimited."""
        statement = self._own.get(vm)
        return statement.rate_per_s if statement is not None else None

    def limited_servers(self) -> dict[VmId, float]:
        """Return the requests per second of each server that limits them."""
        return {
            vm: statement.rate_per_s
            for vm, statement in self._own.items()
            if statement.rate_per_s is not None
        }

    def record_response(
        self, vm: VmId, rate_per_s: float | None, *, sent_at_s: float
    ) -> None:
        """Record the limit named in a response, None if it names none.

        Parameters
        ----------
        vm : VmId
            Server that responded.
        rate_per_s : float or None
            Limit in requests per second.
        sent_at_s : float
            Monotonic time at which the request was sent. A response without a limit
            may overtake one that names it, so it counts only if its request was sent
            after the limit was known.
        """
        known = self._own.get(vm)
        if rate_per_s is None:
            if known is None or known.rate_per_s is None or sent_at_s < known.at_s:
                return
            _log.info("server_limit_ended", server=vm)
        elif known is None or known.rate_per_s is None:
            _log.info("server_limited", server=vm, rate_per_s=rate_per_s)
        self._own[vm] = _Statement(rate_per_s, self._clock.monotonic())
