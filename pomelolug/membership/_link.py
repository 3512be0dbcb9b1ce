"""The digests on one peer connection."""

import collections
import math
from collections.abc import Iterable, Mapping

import msgspec

from pomelolug.membership._connection import Connection
from pomelolug.membership._table import FAR, Member, NodeState, Table, start_of
from pomelolug.messages import Digest, Heartbeat, VersionUpdate, encode

__all__ = ["Link", "combine"]

# A hub vouches only for nodes that it hears itself, towards other hubs, and for
# those that another hub hears, towards the rest. Bounded distances keep two
# nodes from vouching for a dead third one in a circle.
MAX_DISTANCE_TO_HUB = 1
MAX_DISTANCE = 2
EMPTY_DIGEST = encode(Digest())
MAX_ENTRIES = 500
SILENT = -1


class Link:
    """What was sent and received on one peer connection.

    Parameters
    ----------
    connection : Connection
        The connection.
    table : Table
        The node's table.
    """

    def __init__(self, connection: Connection, table: Table) -> None:
        self.connection = connection
        self.to_hub = False
        self.last_digest = table.awake
        self.unwanted_for = 0
        self._table = table
        self._sent_version = 0
        self._sent: dict[str, Heartbeat] = {}
        self._numbers: dict[str, int] = {}
        self._names: list[str] = []
        self._named: set[str] = set()
        self._vouched: dict[str, tuple[int, int]] = {}
        self._silent: dict[str, float] = {}
        self._checked: dict[str, int] = {}
        self._checked_at = 0

    @property
    def node(self) -> str:
        """Node at the other end."""
        return self.connection.peer.node

    def set_hub(self, to_hub: bool) -> None:
        """Tell whether the other end is a hub."""
        if to_hub is not self.to_hub:
            self.to_hub = to_hub
            self._sent_version = 0

    def silent(self) -> Mapping[str, float]:
        """Return when nodes were last heard that the other end does not hear."""
        return self._silent

    def vouched(self) -> Mapping[str, int]:
        """Return the distance of each node that the other end vouches for."""
        if self._checked_at != self._table.events:
            self._checked_at = self._table.events
            self._checked = {
                node: distance + 1
                for node, (distance, start) in self._vouched.items()
                if (member := self._table.get(node))
                and start_of(member.beat.incarnation) == start
            }
        return self._checked

    def send_digest(self) -> None:
        """Send a digest with all that changed since the last one."""
        version = self._table.version
        entries: list[Heartbeat] = []
        updates: dict[tuple[int, int], list[int]] = collections.defaultdict(list)
        if version > self._sent_version:
            for member in self._table:
                mute = self._table.is_mute and member.distance > 0
                if member.changed > self._sent_version and not mute:
                    self._collect(member, entries, updates)
        grouped = tuple(
            VersionUpdate(config_version=c, groups_offset=g, nodes=tuple(numbers))
            for (c, g), numbers in updates.items()
        )
        for part in _parts(entries, grouped):
            # Within the queue a digest must not be lost: what it renews depends
            # on all digests before it.
            frame = encode(part) if part.entries or part.updates else EMPTY_DIGEST
            if not self.connection.send_encoded(frame):
                self.connection.close("digest refused by the send queue")
                return
        if not self._table.is_mute:
            self._sent_version = version

    def _collect(
        self,
        member: Member,
        entries: list[Heartbeat],
        updates: dict[tuple[int, int], list[int]],
    ) -> None:
        entry = self._entry(member)
        node = entry.node
        before = self._sent.get(node)
        if node == self.node and member.state is NodeState.ALIVE:
            # Nothing new to the node itself, unless it has restarted with its
            # clock gone back and needs to learn the higher number.
            peer_start = start_of(self.connection.peer.incarnation)
            if start_of(entry.incarnation) <= peer_start:
                return
        was_vouched = before is not None and before.distance != SILENT
        is_news = member.event > self._sent_version or was_vouched
        if entry.distance == SILENT and self.to_hub and not is_news:
            return
        if before is not None and entry.distance != SILENT:
            unchanged = msgspec.structs.replace(
                before,
                config_version=entry.config_version,
                groups_offset=entry.groups_offset,
                distance=entry.distance,
            )
            # The exact distance matters only where it decides about vouching.
            if unchanged == entry and was_vouched and before.distance == entry.distance:
                if before != entry:
                    key = (entry.config_version, entry.groups_offset)
                    updates[key].append(self._numbers[node])
                    self._sent[node] = entry
                return
        self._numbers.setdefault(node, len(self._numbers))
        self._sent[node] = entry
        entries.append(entry)

    def _entry(self, member: Member) -> Heartbeat:
        bound = MAX_DISTANCE_TO_HUB if self.to_hub else MAX_DISTANCE
        if member.state is NodeState.ALIVE and member.distance <= bound:
            return msgspec.structs.replace(
                member.beat, distance=member.distance, age_ms=0
            )
        # A hub is told what was heard directly: were it told what others say,
        # each would repeat the other's estimate and all would be late.
        told = member.direct if self.to_hub else member.heard
        heard = member.heard if told == -math.inf else told
        age = self._table.true_age(heard)
        return msgspec.structs.replace(
            member.beat, distance=SILENT, age_ms=int(age * 1000)
        )

    def receive(self, digest: Digest) -> None:
        """Merge a digest of the other end into the table."""
        self.last_digest = self._table.awake
        for entry in digest.entries:
            if entry.node not in self._named:
                self._named.add(entry.node)
                self._names.append(entry.node)
            if entry.node == self._table.own.node:
                self._hear_of_self(entry)
            else:
                self._hear_of_other(entry)
        for update in digest.updates:
            for number in update.nodes:
                if 0 <= number < len(self._names):
                    self._table.learn_versions(
                        self._names[number], update.config_version, update.groups_offset
                    )

    def _hear_of_self(self, entry: Heartbeat) -> None:
        own = self._table.own.incarnation
        suspected = (
            entry.distance == SILENT
            and entry.age_ms >= self._table.suspect_after * 1000
        )
        if entry.incarnation > own or (entry.incarnation == own and suspected):
            self._table.refute(entry.incarnation)

    def _hear_of_other(self, entry: Heartbeat) -> None:
        awake = self._table.awake
        silent = not 0 <= entry.distance < FAR
        heard = awake - max(0, entry.age_ms) / 1000 if silent else awake
        plain = msgspec.structs.replace(entry, distance=0, age_ms=0)
        member = self._table.learn(plain, heard)
        self._checked_at = 0
        if member is None or silent:
            self._vouched.pop(entry.node, None)
            if member is not None:
                self._silent[entry.node] = heard
        else:
            self._silent.pop(entry.node, None)
            start = start_of(entry.incarnation)
            self._vouched[entry.node] = (entry.distance, start)


def _parts(
    entries: list[Heartbeat], updates: tuple[VersionUpdate, ...]
) -> list[Digest]:
    parts = [
        Digest(entries=tuple(entries[start : start + MAX_ENTRIES]))
        for start in range(0, len(entries), MAX_ENTRIES)
    ]
    return [*parts, Digest(updates=updates)] if updates or not parts else parts


def combine(
    links: Iterable[Link], table: Table, *, fresh_for: float
) -> tuple[dict[str, float], dict[str, int]]:
    """Return what all connections together tell of the nodes.

    Parameters
    ----------
    links : iterable of Link
        The open connections.
    table : Table
        The node's table; when it heard its peers itself is noted in it.
    fresh_for : float
        How long after a digest its sender still vouches, in seconds. A late
        digest ends the vouching before the suspicion, so that the true age is
        known everywhere by then.

    Returns
    -------
    heard : dict
        Awake time at which each node was last heard.
    distances : dict
        Distance of each node that is vouched for.
    """
    heard: dict[str, float] = collections.defaultdict(lambda: -math.inf)
    distances: dict[str, int] = {}
    for link in links:
        last = link.last_digest
        fresh = table.awake - last < fresh_for
        member = table.get(link.node)
        if member is not None and not table.is_mute:
            member.direct = last
        for node, distance in link.vouched().items():
            if last > heard[node]:
                heard[node] = last
            if fresh and distance < distances.get(node, FAR):
                distances[node] = distance
        for node, when in link.silent().items():
            if when > heard[node]:
                heard[node] = when
    return heard, distances
