"""Orders to backend servers, as an interface."""

import abc
import dataclasses
import enum

from pomelolug.deployment._servers import BackendServer, GroupMembership
from pomelolug.ids import GroupId, ModelName, VmId

__all__ = ["OrderResult", "ServerControl", "ServerReport"]


class OrderResult(enum.Enum):
    """What is known of an order after its call."""

    BEGUN = "begun"
    """The server has accepted the order."""
    SATISFIED = "holds"
    """The state that the order asks for is there."""
    CONFLICT = "conflict"
    """It does not fit the server's state, or another order came before it."""
    FENCED = "fenced"
    """The server has seen a higher fencing token or epoch."""
    OTHER_SERVER = "other_server"
    """Another server has the address."""
    INVALID = "invalid"
    """The server does not know the order."""
    UNREACHABLE = "unreachable"
    """No connection was made; the order was not sent."""
    UNKNOWN = "unknown"
    """No answer; the order may be carried out later."""

    @property
    def is_accepted(self) -> bool:
        """Whether the state that the order asks for is, or will be, there."""
        return self in (OrderResult.BEGUN, OrderResult.SATISFIED)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerReport:
    """A server's account of itself, some hundred milliseconds old.

    `slowdown_factor` is a factor on all its times; above 1 the server is slow.
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

    Each order carries a fencing token and `orders_begun`, the number of orders
    that the server is known to have begun since its start. A server refuses it
    if either is out of date.
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
        """Make a server a member of a group; the first member is the head."""

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
        """Let the head of a group begin to serve."""

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
        """End serving at the head, after its work if `finish`."""

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
        """Take a server out of its group at once."""

    @abc.abstractmethod
    async def stage(
        self,
        server: BackendServer,
        *,
        model: ModelName,
        fence: int,
        orders_begun: int,
    ) -> OrderResult:
        """Load the weights of a model onto the server's host."""

    @abc.abstractmethod
    async def report(self, server: BackendServer) -> ServerReport | None:
        """Return the server's report, or None if it does not answer in time."""
