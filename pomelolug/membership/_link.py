"""Exchange of membership digests on a peer connection."""

import collections
import math
from collections.abc import Iterable, Mapping

import msgspec

from pomelolug.membership._connection import Connection
from pomelolug.membership._table import (
    INFINITE_DISTANCE,
    Member,
    MembershipTable,
    NodeState,
    process_generation,
)
from pomelolug.messages import Digest, Heartbeat, VersionUpdate, encode

__all__ = ["Link", "merge_link_reports"]

# To other hubs, a node reports as reachable only nodes that it hears directly; to
# the rest, also nodes that one of its peers hears. Without the bounds, two nodes could
# keep reporting a dead third one as reachable to each other (count to infinity).
MAX_DISTANCE_TO_HUB = 1
MAX_DISTANCE = 2
EMPTY_DIGEST_FRAME = encode(Digest())
MAX_ENTRIES = 500
UNREACHABLE = -1


class Link:
    """State of the digest exchange on a peer connection.

    A digest contains the entries that changed since the previous one. An entry
    contains the distance to a node or, if the node is not reported as reachable,
    the time since it was last heard.

    Parameters
    ----------
    connection : Connection
        Connection to the peer.
    table : MembershipTable
        Membership table of this node.
    """

    def __init__(self, connection: Connection, table: MembershipTable) -> None:
        self.connection = connection
        self.peer_is_hub = False
        self.last_digest_s = table.unpaused_s
        self.undesired_heartbeats = 0
        self._table = table
        self._sent_version = 0
        self._sent_entries: dict[str, Heartbeat] = {}
        self._sent_indices: dict[str, int] = {}
        self._received_nodes: list[str] = []
        self._received_node_set: set[str] = set()
        self._reachable: dict[str, tuple[int, int]] = {}
        self._unreachable: dict[str, float] = {}
        self._reachable_cache: dict[str, int] = {}
        self._reachable_cache_version = 0

    @property
    def node(self) -> str:
        """Name of the peer."""
        return self.connection.peer.node

    def set_peer_is_hub(self, peer_is_hub: bool) -> None:
        """Set whether the peer is a hub.

        After a change the next digest considers all nodes again.
        """
        if peer_is_hub is not self.peer_is_hub:
            self.peer_is_hub = peer_is_hub
            self._sent_version = 0

    def unreachable_last_heard_s(self) -> Mapping[str, float]:
        """Return when the nodes that the peer reports as unreachable were last heard.

        Times are in unpaused seconds, see `MembershipTable`.
        """
        return self._unreachable

    def reachable_distances(self) -> Mapping[str, int]:
        """Return the distance through the peer of each node it reports as reachable.

        Reports about an earlier process of a node are left out.
        """
        if self._reachable_cache_version != self._table.state_version:
            self._reachable_cache_version = self._table.state_version
            self._reachable_cache = {
                node: distance + 1
                for node, (distance, generation) in self._reachable.items()
                if (member := self._table.get(node))
                and process_generation(member.heartbeat.incarnation) == generation
            }
        return self._reachable_cache

    def send_digest(self) -> None:
        """Send a digest with all changes since the previous one."""
        version = self._table.version
        entries: list[Heartbeat] = []
        updates: dict[tuple[int, int], list[int]] = collections.defaultdict(list)
        if version > self._sent_version:
            for member in self._table:
                is_suppressed = self._table.is_resuming and member.distance > 0
                if member.version > self._sent_version and not is_suppressed:
                    self._add_entry(member, entries, updates)
        version_updates = tuple(
            VersionUpdate(
                config_version=config_version,
                groups_offset=groups_offset,
                nodes=tuple(indices),
            )
            for (config_version, groups_offset), indices in updates.items()
        )
        for digest in _split_digest(entries, version_updates):
            # Digests are incremental, so none may be lost: if the queue refuses one,
            # the connection is closed.
            frame = (
                encode(digest)
                if digest.entries or digest.updates
                else EMPTY_DIGEST_FRAME
            )
            if not self.connection.send_encoded(frame):
                self.connection.close("digest refused by the send queue")
                return
        if not self._table.is_resuming:
            self._sent_version = version

    def _add_entry(
        self,
        member: Member,
        entries: list[Heartbeat],
        updates: dict[tuple[int, int], list[int]],
    ) -> None:
        entry = self._make_entry(member)
        node = entry.node
        sent_before = self._sent_entries.get(node)
        if node == self.node and member.state is NodeState.ALIVE:
            # The peer needs no entry about itself, unless it restarted after its clock
            # was set back and must learn the higher incarnation.
            peer_generation = process_generation(self.connection.peer.incarnation)
            if process_generation(entry.incarnation) <= peer_generation:
                return
        was_reachable = sent_before is not None and sent_before.distance != UNREACHABLE
        is_new = member.state_version > self._sent_version or was_reachable
        if entry.distance == UNREACHABLE and self.peer_is_hub and not is_new:
            return
        if sent_before is not None and entry.distance != UNREACHABLE:
            unchanged = msgspec.structs.replace(
                sent_before,
                config_version=entry.config_version,
                groups_offset=entry.groups_offset,
                distance=entry.distance,
            )
            # The exact distance matters only where it decides about reachability.
            if (
                unchanged == entry
                and was_reachable
                and sent_before.distance == entry.distance
            ):
                if sent_before != entry:
                    key = (entry.config_version, entry.groups_offset)
                    updates[key].append(self._sent_indices[node])
                    self._sent_entries[node] = entry
                return
        self._sent_indices.setdefault(node, len(self._sent_indices))
        self._sent_entries[node] = entry
        entries.append(entry)

    def _make_entry(self, member: Member) -> Heartbeat:
        max_distance = MAX_DISTANCE_TO_HUB if self.peer_is_hub else MAX_DISTANCE
        if member.state is NodeState.ALIVE and member.distance <= max_distance:
            return msgspec.structs.replace(
                member.heartbeat, distance=member.distance, age_ms=0
            )
        # Hubs are told when this node itself last heard the member. If hubs passed on
        # reports of others, they would repeat each other's estimates and detect
        # failures late.
        reported_s = (
            member.last_heard_directly_s if self.peer_is_hub else member.last_heard_s
        )
        heard_s = member.last_heard_s if reported_s == -math.inf else reported_s
        age_s = self._table.age_with_pauses_s(heard_s)
        return msgspec.structs.replace(
            member.heartbeat, distance=UNREACHABLE, age_ms=int(age_s * 1000)
        )

    def receive(self, digest: Digest) -> None:
        """Merge a digest from the peer into the table."""
        self.last_digest_s = self._table.unpaused_s
        for entry in digest.entries:
            if entry.node not in self._received_node_set:
                self._received_node_set.add(entry.node)
                self._received_nodes.append(entry.node)
            if entry.node == self._table.own_heartbeat.node:
                self._receive_own_entry(entry)
            else:
                self._receive_peer_entry(entry)
        for update in digest.updates:
            for index in update.nodes:
                if 0 <= index < len(self._received_nodes):
                    self._table.merge_versions(
                        self._received_nodes[index],
                        update.config_version,
                        update.groups_offset,
                    )

    def _receive_own_entry(self, entry: Heartbeat) -> None:
        own_incarnation = self._table.own_heartbeat.incarnation
        is_suspected = (
            entry.distance == UNREACHABLE
            and entry.age_ms >= self._table.suspect_after_s * 1000
        )
        if entry.incarnation > own_incarnation or (
            entry.incarnation == own_incarnation and is_suspected
        ):
            self._table.refute(entry.incarnation)

    def _receive_peer_entry(self, entry: Heartbeat) -> None:
        now_s = self._table.unpaused_s
        is_unreachable = not 0 <= entry.distance < INFINITE_DISTANCE
        heard_s = now_s - max(0, entry.age_ms) / 1000 if is_unreachable else now_s
        normalized = msgspec.structs.replace(entry, distance=0, age_ms=0)
        member = self._table.merge_entry(normalized, heard_s)
        self._reachable_cache_version = 0
        if member is None or is_unreachable:
            self._reachable.pop(entry.node, None)
            if member is not None:
                self._unreachable[entry.node] = heard_s
        else:
            self._unreachable.pop(entry.node, None)
            generation = process_generation(entry.incarnation)
            self._reachable[entry.node] = (entry.distance, generation)


def _split_digest(
    entries: list[Heartbeat], updates: tuple[VersionUpdate, ...]
) -> list[Digest]:
    parts = [
        Digest(entries=tuple(entries[start : start + MAX_ENTRIES]))
        for start in range(0, len(entries), MAX_ENTRIES)
    ]
    return [*parts, Digest(updates=updates)] if updates or not parts else parts


def merge_link_reports(
    links: Iterable[Link], table: MembershipTable, *, fresh_for_s: float
) -> tuple[dict[str, float], dict[str, int]]:
    """Combine the reports of all links about the nodes.

    Parameters
    ----------
    links : iterable of Link
        The open links.
    table : MembershipTable
        Membership table of this node. The times at which it last heard its
        peers directly are stored in it.
    fresh_for_s : float
        Time after a digest during which its reachability reports are valid, in
        seconds. They expire before the sender is suspected, so that by then all
        nodes know how long each node has been silent.

    Returns
    -------
    last_heard_s : dict
        Time at which each node was last heard, in unpaused seconds.
    distances : dict
        Shortest distance of each node that is reported as reachable.
    """
    last_heard_s: dict[str, float] = collections.defaultdict(lambda: -math.inf)
    distances: dict[str, int] = {}
    for link in links:
        digest_s = link.last_digest_s
        is_fresh = table.unpaused_s - digest_s < fresh_for_s
        member = table.get(link.node)
        if member is not None and not table.is_resuming:
            member.last_heard_directly_s = digest_s
        for node, distance in link.reachable_distances().items():
            if digest_s > last_heard_s[node]:
                last_heard_s[node] = digest_s
            if is_fresh and distance < distances.get(node, INFINITE_DISTANCE):
                distances[node] = distance
        for node, heard_s in link.unreachable_last_heard_s().items():
            if heard_s > last_heard_s[node]:
                last_heard_s[node] = heard_s
    return last_heard_s, distances
