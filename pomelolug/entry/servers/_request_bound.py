"""Bounds on the requests that a server accepts from all nodes together."""

import abc
import dataclasses
import enum
from collections.abc import Collection

from pomelolug.ids import VmId

__all__ = ["BoundKind", "BoundSource", "RequestBound"]


class BoundKind(enum.Enum):
    """What a bound follows from."""

    LIMIT = "limit"
    COLD = "cold"


@dataclasses.dataclass(frozen=True, slots=True)
class RequestBound:
    """Bound on the requests of all nodes to a server.

    Parameters
    ----------
    kind : BoundKind
        What the bound follows from.
    rate_per_s : float
        Requests per second that the nodes may send in the long run.
    window_s : float
        Length of the window in which requests are counted.
    accepted_requests : float
        Requests accepted in any window.
    uses_registered_nodes : bool
        Whether the nodes that send are chosen among all registered ones, rather than
        among those that hear each other. Nodes that hear nothing of each other then
        choose the same ones, but none takes over from a node that is gone.
    """

    kind: BoundKind
    rate_per_s: float
    window_s: float
    accepted_requests: float
    uses_registered_nodes: bool


class BoundSource(abc.ABC):
    """Source of the bounds of one kind."""

    @property
    @abc.abstractmethod
    def kind(self) -> BoundKind:
        """Kind of the bounds."""

    @abc.abstractmethod
    def find_bound(self, vm: VmId) -> RequestBound | None:
        """Return the bound of a server, None if it has none now."""

    @abc.abstractmethod
    def remaining_s(self, vm: VmId) -> float:
        """Return for how many seconds the bound of a server holds; may be infinite."""

    @abc.abstractmethod
    def bounded_servers(self) -> Collection[VmId]:
        """Return the servers that have a bound now."""
