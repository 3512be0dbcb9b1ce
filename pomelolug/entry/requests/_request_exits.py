"""Choice of another node that sends a request to the servers for this one."""

import copy
import datetime
import random
from collections.abc import Callable, Collection

from pomelolug.clock import Clock
from pomelolug.entry.requests._peer_forwarding import PeerAttempt
from pomelolug.entry.requests._request_context import RequestContext, RoutedRequest
from pomelolug.entry.requests._request_record import AttemptRecord
from pomelolug.entry.servers import ServerContact
from pomelolug.errors import ErrorCode, Outcome, RequestError
from pomelolug.ids import VmId
from pomelolug.transport import ConnectionPool

__all__ = ["MAX_UNREACHED_SERVERS", "RequestExits"]

MAX_UNREACHED_SERVERS = 2
"""Servers to which no connection opens before another node gets the request.

A single one has probably failed itself.
"""
_MAX_NODES = 3
"""Nodes that one request is sent to; they may lose their servers at the same time."""
_AVOIDANCE_S = 1.0
"""Time for which a node that did not take a request gets none.

Nodes state within about half a second that they do not reach the servers.
"""
_RETRY_AFTER = datetime.timedelta(seconds=1)
"""Retry-After time if no node reaches the servers; their links are probed as often."""
_RETRY_AFTER_JITTER = 0.2
"""Relative jitter of this time, so that callers do not return simultaneously."""


class RequestExits:
    """Other nodes that send requests to the servers for a node that reaches none.

    Parameters
    ----------
    contact : ServerContact
        Whether this node reaches the servers.
    list_addresses : callable
        Returns the addresses of the nodes that reach the servers, best first.
    pool : ConnectionPool
        Connections to other nodes.
    clock : Clock
        Source of monotonic time.
    rng : random.Random
        Jitters the time after which callers return.
    """

    def __init__(
        self,
        *,
        contact: ServerContact,
        list_addresses: Callable[[], list[str]],
        pool: ConnectionPool,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._contact = contact
        self._list_addresses = list_addresses
        self._pool = pool
        self._clock = clock
        self._rng = rng
        self._avoided_until_s: dict[str, float] = {}

    def snapshot(
        self, *, list_addresses: Callable[[], list[str]], rng: random.Random
    ) -> "RequestExits":
        """Return exits with the same state, to be asked without a change of these.

        Parameters
        ----------
        list_addresses : callable
            Returns the addresses of the nodes that reach the servers, best first.
        rng : random.Random
            Used by the new exits.
        """
        snapshot = copy.copy(self)
        snapshot._list_addresses = list_addresses
        snapshot._rng = rng
        return snapshot

    async def check_contact(self, context: RequestContext) -> None:
        """Wait until it is known whether a further server is worth a run.

        A request whose server is silent would lose it on another silent link.
        """
        if not context.is_forwarded:
            await self._contact.check()

    def is_needed(self, context: RoutedRequest) -> bool:
        """Return whether a request cannot be sent to any server from this node."""
        return self._contact.is_cut_off and not context.is_forwarded

    def may_use(self, context: RoutedRequest, *, unreached_count: int) -> bool:
        """Return whether another node may get a request.

        So it may if this node is in doubt whether it reaches the servers. If no other
        node takes the request, the servers still get it then.

        Parameters
        ----------
        context : RoutedRequest
            The request, which is passed on only once.
        unreached_count : int
            Number of servers to which no connection has opened in a row.
        """
        if context.is_forwarded:
            return False
        return (
            self._contact.is_cut_off
            or self._contact.is_in_doubt
            or unreached_count >= MAX_UNREACHED_SERVERS
        )

    def select(self, tried: Collection[str]) -> str | None:
        """Return the address of a node that was not tried yet, None if none is left."""
        if len(tried) >= _MAX_NODES:
            return None
        now_s = self._clock.monotonic()
        untried = [a for a in self._list_addresses() if a not in tried]
        return next(
            (a for a in untried if self._avoided_until_s.get(a, 0.0) <= now_s),
            next(iter(untried), None),
        )

    def avoid(self, address: str) -> None:
        """Prefer other nodes for a moment to one that did not take a request."""
        now_s = self._clock.monotonic()
        self._avoided_until_s = {
            a: until_s
            for a, until_s in self._avoided_until_s.items()
            if until_s > now_s
        }
        self._avoided_until_s[address] = now_s + _AVOIDANCE_S

    def create_attempt(
        self, context: RequestContext, address: str
    ) -> tuple[PeerAttempt, AttemptRecord]:
        """Return an attempt to send a request to a node, and its record."""
        record = AttemptRecord(VmId(""), 0, 0, node=address)
        context.record.attempts.append(record)
        request_id = context.request_head.request_id
        return PeerAttempt(self._pool, address, request_id=request_id), record

    def unreachable_error(self) -> RequestError:
        """Return the error of a request that no node can send to a server."""
        factor = 1.0 + self._rng.uniform(-_RETRY_AFTER_JITTER, _RETRY_AFTER_JITTER)
        return RequestError(
            ErrorCode.BACKEND_UNREACHABLE,
            "no node reaches the servers",
            status=503,
            outcome=Outcome.NOT_RUN,
            retry_after=_RETRY_AFTER * factor,
        )
