"""What a backend server states about itself in the header of a response."""

import abc
import dataclasses
import datetime

from pomelolug.deployment._servers import BackendServer

__all__ = ["ServerNotice", "StatedAvailability"]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerNotice:
    """Statements of a server in one response.

    Parameters
    ----------
    request_limit_per_s : float or None
        Requests per second that the server takes from all nodes together.
    is_leaving : bool
        Whether the server is about to leave and takes no further requests.
    pause : datetime.timedelta or None
        Time for which the server, which has turned the request away, wants no requests
        from this node.
    has_invalid_pause : bool
        Whether the server named a pause that is not a positive number of seconds.
    cold_for : datetime.timedelta or None
        Time for which the server stays cold; None if it does not say it.
    has_invalid_cold_time : bool
        Whether the server named a time that is not a number of 0 or more.
    start_time_ms : int
        Unix time of the server's start in milliseconds, 0 if it does not say it.
    """

    request_limit_per_s: float | None = None
    is_leaving: bool = False
    pause: datetime.timedelta | None = None
    has_invalid_pause: bool = False
    cold_for: datetime.timedelta | None = None
    has_invalid_cold_time: bool = False
    start_time_ms: int = 0


class StatedAvailability(abc.ABC):
    """What servers have stated about whether they take requests."""

    @abc.abstractmethod
    def is_leaving(self, server: BackendServer) -> bool:
        """Return whether a server has stated that it is about to leave."""

    @abc.abstractmethod
    def is_paused(self, server: BackendServer) -> bool:
        """Return whether a server wants no requests from this node for a while."""
