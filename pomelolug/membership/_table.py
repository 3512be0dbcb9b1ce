"""Membership table: the state of all known nodes."""

import collections
import dataclasses
import datetime
import enum
import math
from collections.abc import Iterator

import msgspec

from pomelolug.ids import Incarnation, NodeId, RegionId, ZoneId
from pomelolug.messages import Heartbeat

__all__ = [
    "INFINITE_DISTANCE",
    "Member",
    "NodeInfo",
    "NodeState",
    "MembershipTable",
    "first_incarnation",
    "process_generation",
]

# Distance of a node that no peer reports as reachable.
INFINITE_DISTANCE = 99
# The low bits of an incarnation count the suspicions refuted by a process.
REFUTATION_BITS = 16
MAX_MEMBERS = 2048
# Older pauses affect no age that is still reported.
MAX_PAUSES = 16
# Longer than a network partition between regions lasts, so that the addresses of
# the other side are still known when it heals.
DEAD_RETENTION = datetime.timedelta(hours=2)


def first_incarnation(now: datetime.datetime) -> Incarnation:
    """Return the incarnation of a process that starts at `now`.

    Nothing is persisted across restarts, so the wall time makes the number
    higher than that of the previous process. If the clock was set back, the
    peers report the old number and the node raises its own above it.
    """
    return Incarnation(int(now.timestamp() * 1000) << REFUTATION_BITS)


def process_generation(incarnation: int) -> int:
    """Return the part of an incarnation that is constant within a process.

    Examples
    --------
    >>> process_generation((7 << 16) + 3)
    7
    """
    return incarnation >> REFUTATION_BITS


class NodeState(enum.Enum):
    """Liveness of a node, by the time since it was last heard."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NodeInfo:
    """State of a node as seen by this node."""

    node: NodeId
    zone: ZoneId
    region: RegionId
    address: str
    state: NodeState
    incarnation: Incarnation
    config_version: int
    groups_offset: int


class Member:
    """Mutable entry of the membership table.

    `last_heard_s` and `last_heard_directly_s` are the times at which any node
    and at which this node itself last heard the member, in unpaused seconds (see
    `MembershipTable`). `version` and `state_version` are the table versions of
    the last change of any kind and of the last change of state or incarnation.
    """

    __slots__ = (
        "heartbeat",
        "version",
        "last_heard_directly_s",
        "distance",
        "state_version",
        "last_heard_s",
        "state",
    )

    def __init__(self, heartbeat: Heartbeat, last_heard_s: float, version: int) -> None:
        self.heartbeat = heartbeat
        self.last_heard_s = last_heard_s
        self.last_heard_directly_s = -math.inf
        self.state = NodeState.ALIVE
        self.distance = INFINITE_DISTANCE
        self.version = version
        self.state_version = version

    def info(self) -> NodeInfo:
        """Return an immutable snapshot of the entry."""
        heartbeat = self.heartbeat
        return NodeInfo(
            node=NodeId(heartbeat.node),
            zone=ZoneId(heartbeat.zone),
            region=RegionId(heartbeat.region),
            address=heartbeat.address,
            state=self.state,
            incarnation=Incarnation(heartbeat.incarnation),
            config_version=heartbeat.config_version,
            groups_offset=heartbeat.groups_offset,
        )


class MembershipTable:
    """Table of all known nodes.

    Times are measured in unpaused seconds: the time during which this process
    was paused is excluded, because nothing could be heard in it. `version` is
    the version of the last change of any kind, `state_version` that of the last
    change of a state, of an incarnation or of the set of nodes.

    Parameters
    ----------
    own : Heartbeat
        Heartbeat of this node.
    suspect_after, dead_after : datetime.timedelta
        Silence after which a node is suspected and after which it is considered
        dead.
    """

    def __init__(
        self,
        own: Heartbeat,
        *,
        suspect_after: datetime.timedelta,
        dead_after: datetime.timedelta,
    ) -> None:
        self._suspect_after_s = suspect_after.total_seconds()
        self._dead_after_s = dead_after.total_seconds()
        self._own_node = own.node
        self.version = 1
        self.state_version = 1
        self.unpaused_s = 0.0
        self._resuming_until_s = -math.inf
        self._pauses: collections.deque[tuple[float, float]] = collections.deque(
            maxlen=MAX_PAUSES
        )
        self._members = {own.node: Member(own, 0.0, self.version)}
        self._members[own.node].distance = 0

    def advance(self, elapsed_s: float, max_step_s: float) -> None:
        """Advance the time by `elapsed_s`, of which at most `max_step_s` is counted.

        After a pause during which other nodes may have died, buffered messages
        are of unknown age. The node then reports nothing about other nodes until
        its connections have had time to show which ones are still heard.
        """
        counted_s = max(0.0, min(elapsed_s, max_step_s))
        self.unpaused_s += counted_s
        if elapsed_s > max_step_s:
            self._pauses.append((self.unpaused_s, elapsed_s - counted_s))
        if elapsed_s >= self._suspect_after_s:
            self._resuming_until_s = (
                self.unpaused_s + self._suspect_after_s + max_step_s
            )

    @property
    def is_resuming(self) -> bool:
        """Whether a long pause was so recent that no other nodes may be reported."""
        return self.unpaused_s < self._resuming_until_s

    def age_with_pauses_s(self, last_heard_s: float) -> float:
        """Return the age of a time including pauses of this process, in seconds."""
        paused_s = sum(
            duration_s for ended_s, duration_s in self._pauses if ended_s > last_heard_s
        )
        return max(0.0, self.unpaused_s - last_heard_s + paused_s)

    def __iter__(self) -> Iterator[Member]:
        return iter(self._members.values())

    def __len__(self) -> int:
        return len(self._members)

    def get(self, node: str) -> Member | None:
        """Return the entry of `node`, or None if it is unknown."""
        return self._members.get(node)

    @property
    def own_heartbeat(self) -> Heartbeat:
        """Heartbeat of this node."""
        return self._members[self._own_node].heartbeat

    @property
    def suspect_after_s(self) -> float:
        """Silence after which a node is suspected, in seconds."""
        return self._suspect_after_s

    def set_versions(self, config_version: int, groups_offset: int) -> None:
        """Set the versions that this node reports for itself."""
        own = self._members[self._own_node]
        if (own.heartbeat.config_version, own.heartbeat.groups_offset) != (
            config_version,
            groups_offset,
        ):
            own.heartbeat = msgspec.structs.replace(
                own.heartbeat,
                config_version=config_version,
                groups_offset=groups_offset,
            )
            self._mark_changed(own, state_changed=False)

    def refute(self, incarnation: int) -> None:
        """Raise the incarnation of this node above `incarnation`."""
        own = self._members[self._own_node]
        raised = max(own.heartbeat.incarnation, incarnation) + 1
        own.heartbeat = msgspec.structs.replace(own.heartbeat, incarnation=raised)
        self._mark_changed(own, state_changed=True)

    def merge_entry(self, entry: Heartbeat, last_heard_s: float) -> Member | None:
        """Merge the entry that a peer reported for another node.

        Returns
        -------
        Member or None
            None if the entry belongs to an earlier process of that node, is too
            old to add or does not fit into the full table.
        """
        member = self._members.get(entry.node)
        if member is None:
            # Do not add an entry that is close to its removal.
            too_old = (
                self.unpaused_s - last_heard_s > DEAD_RETENTION.total_seconds() / 2
            )
            if too_old or len(self._members) >= MAX_MEMBERS:
                return None
            member = self._members[entry.node] = Member(
                entry, last_heard_s, self.version
            )
            member.state = self._state_for(last_heard_s)
            self._mark_changed(member, state_changed=True)
            return member
        if process_generation(entry.incarnation) < process_generation(
            member.heartbeat.incarnation
        ):
            return None
        self._merge_into(member, entry)
        return member

    def _merge_into(self, member: Member, entry: Heartbeat) -> None:
        heartbeat = member.heartbeat
        if process_generation(entry.incarnation) > process_generation(
            heartbeat.incarnation
        ):
            member.heartbeat = entry
            self._mark_changed(member, state_changed=True)
            return
        # Within a process none of the three numbers ever decreases.
        merged = msgspec.structs.replace(
            heartbeat,
            incarnation=max(entry.incarnation, heartbeat.incarnation),
            config_version=max(entry.config_version, heartbeat.config_version),
            groups_offset=max(entry.groups_offset, heartbeat.groups_offset),
        )
        if merged != heartbeat:
            member.heartbeat = merged
            self._mark_changed(
                member, state_changed=merged.incarnation != heartbeat.incarnation
            )

    def merge_versions(
        self, node: str, config_version: int, groups_offset: int
    ) -> None:
        """Merge the versions that a peer reported for a node."""
        member = self._members.get(node)
        if member is not None and node != self._own_node:
            self._merge_into(
                member,
                msgspec.structs.replace(
                    member.heartbeat,
                    config_version=config_version,
                    groups_offset=groups_offset,
                ),
            )

    def update_liveness(
        self, last_heard_s: dict[str, float], distances: dict[str, int]
    ) -> list[Member]:
        """Recompute the state and the distance of every node.

        Parameters
        ----------
        last_heard_s : dict
            Time at which each node was last heard according to all open links, in
            unpaused seconds. May be earlier than previously assumed.
        distances : dict
            Shortest distance of each node over links with valid reports.

        Returns
        -------
        list of Member
            The members whose state changed.
        """
        changed = []
        for node, member in list(self._members.items()):
            if node == self._own_node:
                member.last_heard_s = self.unpaused_s
                continue
            member.last_heard_s = last_heard_s.get(node, member.last_heard_s)
            distance = distances.get(node, INFINITE_DISTANCE)
            state = self._state_for(member.last_heard_s)
            if state is not member.state:
                member.state = state
                self._mark_changed(member, state_changed=True)
                changed.append(member)
            if distance != member.distance:
                member.distance = distance
                self._mark_changed(member, state_changed=False)
            if self.unpaused_s - member.last_heard_s > DEAD_RETENTION.total_seconds():
                del self._members[node]
                self.state_version = self.version = self.version + 1
        return changed

    def _state_for(self, last_heard_s: float) -> NodeState:
        age_s = self.unpaused_s - last_heard_s
        if age_s >= self._dead_after_s:
            return NodeState.DEAD
        return NodeState.SUSPECT if age_s >= self._suspect_after_s else NodeState.ALIVE

    def _mark_changed(self, member: Member, *, state_changed: bool) -> None:
        self.version += 1
        member.version = self.version
        if state_changed:
            member.state_version = self.version
            self.state_version = self.version
