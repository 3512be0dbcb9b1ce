"""Share of each node in the requests that a server accepts from all nodes.

The share rests on the bound and on the nodes alone, not on what other nodes have sent:
news of that would be older than the time between two requests. So nodes that do not
hear each other stay within the bound together.
"""

import copy
import dataclasses
import random
from collections.abc import Collection, Sequence

from pomelolug.clock import Clock
from pomelolug.entry.servers._request_bound import (
    BoundKind,
    BoundSource,
    RequestBound,
)
from pomelolug.ids import NodeId, VmId, ZoneId
from pomelolug.rendezvous import rendezvous

__all__ = ["RequestRateLimiter"]

_EXCESS_SHARE = 0.8
"""Fraction of the excess that the nodes use, since their views of each other differ."""
_KNOWN_SHARE = 0.9
"""Least fraction of the registered nodes that a node must know to be a sender.

A node that knows fewer would take the place of senders that it has not heard of.
"""
_TOKEN_TOLERANCE = 1e-3
_RECENT_PERIOD_S = 1.0
"""Period in which requests are counted before a bound is known."""
_RATE_MARGIN = 0.99
"""Factor that keeps a lone sender's next request out of a full window."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Share:
    """Requests per second of this node, and how many it may save up.

    The rate is 0 if other nodes send to the server.
    """

    rate_per_s: float
    capacity: int


_NO_SHARE = _Share(0.0, 0)


@dataclasses.dataclass(slots=True)
class _TokenBucket:
    """Requests that this node may send; `refilled_at_s` is monotonic."""

    tokens: float
    refilled_at_s: float
    bound: RequestBound
    share: _Share


@dataclasses.dataclass(slots=True)
class _RecentRequests:
    """Requests to a server in the current period and the one before."""

    began_at_s: float
    current: int = 0
    previous: int = 0

    def advance(self, now_s: float) -> None:
        """Begin a new period if the current one is over."""
        periods = int((now_s - self.began_at_s) / _RECENT_PERIOD_S)
        if periods:
            self.previous = self.current if periods == 1 else 0
            self.current = 0
            self.began_at_s += periods * _RECENT_PERIOD_S


class RequestRateLimiter:
    """Limits the requests of this node to servers that accept only so many.

    Each node may send an equal part of what a server accepts. What nodes without
    requests have saved up can arrive at once, so if there are too many nodes for that,
    only some of them, of all zones, send to the server. If several bounds hold, each
    of them has to admit a request.

    Parameters
    ----------
    sources : sequence of BoundSource
        Bounds of the servers.
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
        sources: Sequence[BoundSource],
        node: NodeId,
        zone: ZoneId,
        zones: Collection[ZoneId],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._sources = tuple(sources)
        self._node = node
        self._zone = zone
        self._zones = frozenset({zone, *zones})
        self._clock = clock
        self._rng = rng
        self._node_count = 1
        self._zone_nodes: frozenset[NodeId] = frozenset({node})
        self._registered: frozenset[NodeId] = frozenset()
        self._buckets: dict[BoundKind, dict[VmId, _TokenBucket]] = {
            source.kind: {} for source in sources
        }
        self._recent: dict[VmId, _RecentRequests] = {}

    def set_nodes(
        self,
        *,
        count: int,
        zone_nodes: Collection[NodeId],
        registered: Collection[NodeId] = (),
    ) -> None:
        """Divide the bounds among other nodes.

        Parameters
        ----------
        count : int
            Number of nodes in all zones.
        zone_nodes : collection of NodeId
            Nodes of this zone that send requests.
        registered : collection of NodeId
            Nodes of all zones that this node knows by name, whether it hears them or
            not; empty if it has not read them yet.
        """
        zone_nodes = frozenset({self._node, *zone_nodes})
        registered = frozenset({*zone_nodes, *registered} if registered else ())
        count = max(count, len(zone_nodes), len(registered))
        nodes = (count, zone_nodes, registered)
        if nodes == (self._node_count, self._zone_nodes, self._registered):
            return
        self._node_count, self._zone_nodes, self._registered = nodes
        for buckets in self._buckets.values():
            for vm, bucket in buckets.items():
                self._refill(bucket)
                bucket.share = self._compute_share(vm, bucket.bound)

    def wait_s(self, vm: VmId) -> float:
        """Return the seconds until a server takes a request, 0 if it does now."""
        wait = self.find_wait(vm)
        return wait[1] if wait is not None else 0.0

    def find_wait(self, vm: VmId) -> tuple[BoundKind, float] | None:
        """Return which bound keeps requests from a server longest, and the seconds.

        None if the server takes a request now.
        """
        longest = None
        for source in self._sources:
            wait_s = self._source_wait_s(source, vm)
            if wait_s > 0.0 and (longest is None or wait_s > longest[1]):
                longest = source.kind, wait_s
        return longest

    def find_waits(self, vm: VmId) -> list[tuple[BoundKind, float]]:
        """Return each bound that keeps requests from a server, and the seconds."""
        waits = [(s.kind, self._source_wait_s(s, vm)) for s in self._sources]
        return [(kind, wait_s) for kind, wait_s in waits if wait_s > 0.0]

    def find_bounds(self, vm: VmId) -> list[RequestBound]:
        """Return the bounds of a server for the requests of all nodes."""
        bounds = [source.find_bound(vm) for source in self._sources]
        return [bound for bound in bounds if bound is not None]

    def has_share(self, vm: VmId, kind: BoundKind) -> bool:
        """Return whether this node has a share in a bound of a server yet.

        It begins with a random number of requests when the first one comes.
        """
        return vm in self._buckets[kind]

    def snapshot(self, rng: random.Random) -> "RequestRateLimiter":
        """Return a limiter with the same state, which counts apart from this one.

        Parameters
        ----------
        rng : random.Random
            Used by the new limiter.
        """
        snapshot = copy.copy(self)
        snapshot._rng = rng
        snapshot._buckets = {
            kind: {vm: dataclasses.replace(bucket) for vm, bucket in buckets.items()}
            for kind, buckets in self._buckets.items()
        }
        snapshot._recent = {
            vm: dataclasses.replace(recent) for vm, recent in self._recent.items()
        }
        return snapshot

    def record_request(self, vm: VmId) -> None:
        """Count a request that is sent to a server."""
        self._count(vm, self._find_buckets(vm))
        self._count_recent(vm)

    def try_take(
        self, vm: VmId, counted: frozenset[BoundKind] = frozenset()
    ) -> frozenset[BoundKind] | None:
        """Count a request towards the bounds of a server, if all of them admit it.

        Parameters
        ----------
        vm : VmId
            Server to which the request is sent.
        counted : frozenset of BoundKind
            Bounds towards which the request has been counted already.

        Returns
        -------
        frozenset of BoundKind or None
            Bounds towards which the request has been counted, None if one does not
            admit it.
        """
        buckets = {
            kind: bucket
            for kind, bucket in self._find_buckets(vm).items()
            if kind not in counted
        }
        for bucket in buckets.values():
            if not bucket.share.rate_per_s or 1.0 - bucket.tokens > _TOKEN_TOLERANCE:
                return None
        self._count(vm, buckets)
        if not counted:
            self._count_recent(vm)
        return counted | frozenset(buckets)

    def drop_unlimited(self) -> None:
        """Drop the state of servers whose bounds have ended."""
        for source in self._sources:
            bounded = source.bounded_servers()
            buckets = self._buckets[source.kind]
            for vm in [vm for vm in buckets if vm not in bounded]:
                del buckets[vm]
        oldest_s = self._clock.monotonic() - 2.0 * _RECENT_PERIOD_S
        for vm in [vm for vm, r in self._recent.items() if r.began_at_s < oldest_s]:
            del self._recent[vm]

    def _source_wait_s(self, source: BoundSource, vm: VmId) -> float:
        bucket = self._find_bucket(source, vm)
        if bucket is None:
            return 0.0
        share, bound = bucket.share, bucket.bound
        if not share.rate_per_s:
            # A caller that returns reaches another node, perhaps one that may send.
            takers = self._node_count if bound.uses_registered_nodes else 1
            wait_s = takers / bound.rate_per_s
        else:
            missing = 1.0 - bucket.tokens
            wait_s = missing / share.rate_per_s if missing > _TOKEN_TOLERANCE else 0.0
        return min(wait_s, source.remaining_s(vm))

    def _find_buckets(self, vm: VmId) -> dict[BoundKind, _TokenBucket]:
        buckets = {}
        for source in self._sources:
            bucket = self._find_bucket(source, vm)
            if bucket is not None:
                buckets[source.kind] = bucket
        return buckets

    def _find_bucket(self, source: BoundSource, vm: VmId) -> _TokenBucket | None:
        """Return the refilled bucket of a server, None if the source sets no bound."""
        buckets = self._buckets[source.kind]
        bound = source.find_bound(vm)
        if bound is None:
            buckets.pop(vm, None)
            return None
        bucket = buckets.get(vm)
        if bucket is None:
            share = self._compute_share(vm, bound)
            bucket = buckets[vm] = _TokenBucket(
                tokens=self._initial_tokens(vm, share),
                refilled_at_s=self._clock.monotonic(),
                bound=bound,
                share=share,
            )
            return bucket
        self._refill(bucket)
        if bucket.bound != bound:
            bucket.bound, bucket.share = bound, self._compute_share(vm, bound)
        return bucket

    def _initial_tokens(self, vm: VmId, share: _Share) -> float:
        """Return the tokens of a bucket whose server has had requests before.

        Nothing has been saved up, and what was sent just now counts.
        """
        recent = self._recent.get(vm)
        if recent is None:
            return self._rng.random()
        recent.advance(self._clock.monotonic())
        sent = min(
            float(recent.current + recent.previous), share.rate_per_s * _RECENT_PERIOD_S
        )
        return self._rng.random() - sent

    def _count(self, vm: VmId, buckets: dict[BoundKind, _TokenBucket]) -> None:
        for bucket in buckets.values():
            bucket.tokens = max(bucket.tokens - 1.0, -float(bucket.share.capacity))

    def _count_recent(self, vm: VmId) -> None:
        now_s = self._clock.monotonic()
        recent = self._recent.setdefault(vm, _RecentRequests(now_s))
        recent.advance(now_s)
        recent.current += 1

    def _refill(self, bucket: _TokenBucket) -> None:
        now_s = self._clock.monotonic()
        earned = (now_s - bucket.refilled_at_s) * bucket.share.rate_per_s
        bucket.tokens = min(bucket.tokens + earned, float(bucket.share.capacity))
        bucket.refilled_at_s = now_s

    def _compute_share(self, vm: VmId, bound: RequestBound) -> _Share:
        """Return this node's share of a bound.

        If each node saves up `capacity` requests and then sends as fast as its rate
        allows, the nodes stay within the bound in any window.
        """
        if bound.accepted_requests < 1.0:
            return _NO_SHARE
        excess = bound.accepted_requests - bound.rate_per_s * bound.window_s
        burst = max(int(_EXCESS_SHARE * excess), 1)
        sender_count = min(burst, self._node_count)
        if not self._is_sender(vm, sender_count, bound):
            return _NO_SHARE
        rate_per_s = min(bound.rate_per_s, _sustained_rate_per_s(bound, burst))
        return _Share(rate_per_s / sender_count, burst // sender_count)

    def _is_sender(self, vm: VmId, sender_count: int, bound: RequestBound) -> bool:
        """Return whether this node is one of those that send to a server."""
        if bound.uses_registered_nodes:
            known_count = len(self._registered)
            if not known_count:
                return False
            if sender_count == self._node_count:
                return True
            return known_count >= _KNOWN_SHARE * self._node_count and (
                self._node in rendezvous(vm, self._registered, sender_count)
            )
        if sender_count == self._node_count:
            return True
        zones = rendezvous(vm, self._zones, len(self._zones))
        quotient, remainder = divmod(sender_count, len(zones))
        zone_count = quotient + (zones.index(self._zone) < remainder)
        return self._node in rendezvous(vm, self._zone_nodes, zone_count)


def _sustained_rate_per_s(bound: RequestBound, burst: int) -> float:
    """Return the rate of all nodes that leaves room for a burst in any window."""
    if burst == 1:
        # A lone sender's requests are counted as whole ones.
        return _RATE_MARGIN * int(bound.accepted_requests) / bound.window_s
    return (bound.accepted_requests - burst) / bound.window_s
