"""Share of each node in the requests per second that a limited server takes.

The share rests on the limit and on the nodes alone, not on what other nodes have sent:
news of that would be older than the time between two requests. So nodes that do not
hear each other stay within the limit together.
"""

import dataclasses
import random
from collections.abc import Collection

from pomelolug.clock import Clock
from pomelolug.entry.servers._server_limits import ServerLimits
from pomelolug.ids import NodeId, VmId, ZoneId
from pomelolug.rendezvous import rendezvous

__all__ = ["RequestRateLimiter"]

_WINDOW_S = 4.0
_EXCESS_FACTOR = 0.5
_EXCESS_REQUESTS = 5.0
"""Excess that the users accept: in any `_WINDOW_S`, `_EXCESS_FACTOR` times the requests
that the limit allows, and `_EXCESS_REQUESTS` more."""
_EXCESS_SHARE = 0.8
"""Fraction of the excess that the nodes use, since their views of each other differ."""
_MIN_RATE_PER_S = 0.1
"""Least rate at which a server is asked, so that the end of its limit is noticed."""
_TOKEN_TOLERANCE = 1e-3


@dataclasses.dataclass(frozen=True, slots=True)
class _Share:
    """Requests per second of this node, and how many it may save up.

    The rate is 0 if other nodes send to the server.
    """

    limit_per_s: float
    rate_per_s: float
    capacity: int


@dataclasses.dataclass(slots=True)
class _TokenBucket:
    """Requests that this node may send; `refilled_at_s` is monotonic."""

    tokens: float
    refilled_at_s: float
    share: _Share


class RequestRateLimiter:
    """Limits the requests of this node to servers that limit them.

    Each node may send an equal part of a server's limit. What nodes without requests
    have saved up can arrive at once, so if there are too many nodes for that, only
    some of them, of all zones, send to the server.

    Parameters
    ----------
    limits : ServerLimits
        Limits of the servers.
    node : NodeId
        Name of this node.
    zone : ZoneId
        Zone of this node.
    zones : collection of ZoneId
        All zones with nodes.
    clock : Clock
        Source of monotonic time.
    rng : random.Random
        Spreads the first requests of the nodes over time.
    """

    def __init__(
        self,
        *,
        limits: ServerLimits,
        node: NodeId,
        zone: ZoneId,
        zones: Collection[ZoneId],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._limits = limits
        self._node = node
        self._zone = zone
        self._zones = frozenset({zone, *zones})
        self._clock = clock
        self._rng = rng
        self._node_count = 1
        self._zone_nodes: frozenset[NodeId] = frozenset({node})
        self._buckets: dict[VmId, _TokenBucket] = {}

    @property
    def limits(self) -> ServerLimits:
        """Limits of the servers."""
        return self._limits

    def set_nodes(self, *, count: int, zone_nodes: Collection[NodeId]) -> None:
        """Divide the limits among other nodes.

        Parameters
        ----------
        count : int
            Number of nodes in all zones.
        zone_nodes : collection of NodeId
            Nodes of this zone that send requests.
        """
        zone_nodes = frozenset({self._node, *zone_nodes})
        count = max(count, len(zone_nodes))
        if (count, zone_nodes) == (self._node_count, self._zone_nodes):
            return
        self._node_count, self._zone_nodes = count, zone_nodes
        for vm, bucket in self._buckets.items():
            self._refill(bucket)
            bucket.share = self._compute_share(vm, bucket.share.limit_per_s)

    def wait_s(self, vm: VmId) -> float:
        """Return the seconds until a server takes a request, 0 if it does now."""
        bucket = self._find_bucket(vm)
        if bucket is None:
            return 0.0
        share = bucket.share
        if not share.rate_per_s:
            # A caller that returns reaches another node, perhaps one that may send.
            return 1.0 / share.limit_per_s
        missing = 1.0 - bucket.tokens
        return missing / share.rate_per_s if missing > _TOKEN_TOLERANCE else 0.0

    def record_request(self, vm: VmId) -> None:
        """Count a request that is sent to a server."""
        bucket = self._find_bucket(vm)
        if bucket is not None:
            bucket.tokens = max(bucket.tokens - 1.0, -float(bucket.share.capacity))

    def drop_unlimited(self) -> None:
        """Drop the state of servers that no longer limit their requests."""
        limited = self._limits.limited_servers()
        for vm in [vm for vm in self._buckets if vm not in limited]:
            del self._buckets[vm]

    def _find_bucket(self, vm: VmId) -> _TokenBucket | None:
        """Return the refilled bucket of a server, None if it is not limited."""
        rate_per_s = self._limits.rate_per_s(vm)
        if rate_per_s is None:
            self._buckets.pop(vm, None)
            return None
        limit_per_s = max(rate_per_s, _MIN_RATE_PER_S)
        bucket = self._buckets.get(vm)
        if bucket is None:
            bucket = self._buckets[vm] = _TokenBucket(
                tokens=self._rng.random(),
                refilled_at_s=self._clock.monotonic(),
                share=self._compute_share(vm, limit_per_s),
            )
            return bucket
        self._refill(bucket)
        if bucket.share.limit_per_s != limit_per_s:
            bucket.share = self._compute_share(vm, limit_per_s)
        return bucket

    def _refill(self, bucket: _TokenBucket) -> None:
        now_s = self._clock.monotonic()
        earned = (now_s - bucket.refilled_at_s) * bucket.share.rate_per_s
        bucket.tokens = min(bucket.tokens + earned, float(bucket.share.capacity))
        bucket.refilled_at_s = now_s

    def _compute_share(self, vm: VmId, limit_per_s: float) -> _Share:
        """Return this node's share of a limit.

        If each node saves up `capacity` requests and then sends as fast as its rate
        allows, the nodes stay within the excess in any window.
        """
        excess = _EXCESS_FACTOR * _WINDOW_S * limit_per_s + _EXCESS_REQUESTS
        burst = max(int(_EXCESS_SHARE * excess), 1)
        sender_count = min(burst, self._node_count)
        if sender_count < self._node_count and not self._is_sender(vm, sender_count):
            return _Share(limit_per_s, 0.0, 0)
        return _Share(limit_per_s, limit_per_s / sender_count, burst // sender_count)

    def _is_sender(self, vm: VmId, sender_count: int) -> bool:
        """Return whether this node is one of those that send to a server."""
        zones = rendezvous(vm, self._zones, len(self._zones))
        quotient, remainder = divmod(sender_count, len(zones))
        zone_count = quotient + (zones.index(self._zone) < remainder)
        return self._node in rendezvous(vm, self._zone_nodes, zone_count)
