"""Interface for sending orders to backend servers."""

import abc
import dataclasses
import enum

from pomelolug.deployment._servers import BackendServer, GroupMembership
from pomelolug.ids import GroupId, ModelName, VmId

__all__ = ["OrderResult", "ServerControl", "ServerReport"]


class OrderResult(enum.Enum):
    """Outcome of an order, as far as the sender knows it."""

    BEGUN = "begun"
    """The server has accepted the order and begun to carry it out."""
    SATISFIED = "holds"
    """The server is already in the state that the order asks for."""
    CONFLICT = "conflict"
    """The order does not fit the server's state, or another order came first."""
    FENCED = "fenced"
    """The server has seen a higher fencing token or epoch."""
    OTHER_SERVER = "other_server"
    """Another server uses the address."""
    INVALID = "invalid"
    """The server does not support the order, or sent an unexpected status."""
    UNREACHABLE = "unreachable"
    """No connection could be opened, so the order was not sent."""
    UNKNOWN = "unknown"
    """No response arrived; the server may still carry out the order later."""

    @property
    def is_accepted(self) -> bool:
        """Whether the server is in the requested state or will reach it."""
        return self in (OrderResult.BEGUN, OrderResult.SATISFIED)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerReport:
    """A server's report on its own state, a few hundred milliseconds old.

    `slowdown_factor` multiplies all execution times of the server; it is above 1
    if the server is slow.
    """

    orders_begun: int
    start_time_ms: int
    queued: int
    running: int
    used_kv_tokens: int
    slowdown_factor: float
    membership: GroupMembership | None
    model: ModelName | None
    staged: frozenset[ModelName]


class ServerControl(abc.ABC):
    """Sends orders to servers and asks for their reports.

    Each order carries a fencing token, as `epoch` or `fence`, and `orders_begun`,
    the number of orders that the server is known to have begun since it started.
    The server rejects the order if either value is out of date.
    """

    @abc.abstractmethod
    async def join(
        self,
        server: BackendServer,
        *,
        group: GroupId,
        epoch: int,
        model: ModelName,
        members: tuple[VmId, ...],
        orders_begun: int,
    ) -> OrderResult:
        """Add a server to a replica group; the first of `members` is the head."""

    @abc.abstractmethod
    async def open(
        self,
        server: BackendServer,
        *,
        group: GroupId,
        epoch: int,
        fence: int,
        orders_begun: int,
    ) -> OrderResult:
        """Start serving at the head of a group."""

    @abc.abstractmethod
    async def close(
        self,
        server: BackendServer,
        *,
        group: GroupId,
        epoch: int,
        fence: int,
        finish: bool,
        orders_begun: int,
    ) -> OrderResult:
        """Stop serving at the head, after it has finished its work if `finish`."""

    @abc.abstractmethod
    async def leave(
        self,
        server: BackendServer,
        *,
        group: GroupId,
        epoch: int,
        fence: int,
        orders_begun: int,
    ) -> OrderResult:
        """Remove a server from its group immediately."""

    @abc.abstractmethod
    async def stage(
        self,
        server: BackendServer,
        *,
        model: ModelName,
        fence: int,
        orders_begun: int,
    ) -> OrderResult:
        """Load the weights of a model onto the host of the server."""

    @abc.abstractmethod
    async def report(self, server: BackendServer) -> ServerReport | None:
        """Return the server's report, or None if it does not respond in time."""
