"""What a node knows of all nodes."""

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
    "FAR",
    "Member",
    "NodeInfo",
    "NodeState",
    "Table",
    "first_incarnation",
    "start_of",
]

# Distance of a node that no connection vouches for.
FAR = 99
# Low bits of an incarnation count the refuted suspicions of one process.
REFUTATION_BITS = 16
MAX_MEMBERS = 2048
# Earlier pauses than the last ones matter to no age that is still told.
MAX_SKIPPED = 16
# Longer than a partition between regions lasts, so that the addresses of the
# other side are still known when it heals.
DEAD_KEPT = datetime.timedelta(hours=2)


def first_incarnation(now: datetime.datetime) -> Incarnation:
    """Return the incarnation of a process that starts at `now`.

    Nothing is kept over a restart, so the wall time makes the number higher
    than that of the previous process. Should the clock have gone back, the
    peers tell the old number and the node raises its own above it.
    """
    return Incarnation(int(now.timestamp() * 1000) << REFUTATION_BITS)


def start_of(incarnation: int) -> int:
    """Return the part of an incarnation that is the same for one process.

    Examples
    --------
    >>> start_of((7 << 16) + 3)
    7
    """
    return incarnation >> REFUTATION_BITS


class NodeState(enum.Enum):
    """How recently a node was heard."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NodeInfo:
    """One node as this node sees it."""

    node: NodeId
    zone: ZoneId
    region: RegionId
    address: str
    state: NodeState
    incarnation: Incarnation
    config_version: int
    groups_offset: int


class Member:
    """Entry of the table.

    `heard` and `direct` tell when anyone and when this node itself last heard
    it, in awake seconds (see `Table`). `changed` and `event` are the
    table versions of the last change of any kind and of the last change of
    state or incarnation.
    """

    __slots__ = (
        "beat",
        "changed",
        "direct",
        "distance",
        "event",
        "heard",
        "state",
    )

    def __init__(self, beat: Heartbeat, heard: float, version: int) -> None:
        self.beat = beat
        self.heard = heard
        self.direct = -math.inf
        self.state = NodeState.ALIVE
        self.distance = FAR
        self.changed = version
        self.event = version

    def info(self) -> NodeInfo:
        """Return the entry for users of the mesh."""
        beat = self.beat
        return NodeInfo(
            node=NodeId(beat.node),
            zone=ZoneId(beat.zone),
            region=RegionId(beat.region),
            address=beat.address,
            state=self.state,
            incarnation=Incarnation(beat.incarnation),
            config_version=beat.config_version,
            groups_offset=beat.groups_offset,
        )


class Table:
    """All known nodes.

    Ages are measured in awake seconds: time in which the own process was paused
    is left out, because nothing could be heard in it.

    Parameters
    ----------
    own : Heartbeat
        Entry of this node.
    suspect_after, dead_after : datetime.timedelta
        Silence after which a node is suspected and considered dead.
    """

    def __init__(
        self,
        own: Heartbeat,
        *,
        suspect_after: datetime.timedelta,
        dead_after: datetime.timedelta,
    ) -> None:
        self._suspect_after = suspect_after.total_seconds()
        self._dead_after = dead_after.total_seconds()
        self._name = own.node
        self.version = 1
        self.events = 1
        self.awake = 0.0
        self._mute_until = -math.inf
        self._skipped: collections.deque[tuple[float, float]] = collections.deque(
            maxlen=MAX_SKIPPED
        )
        self._members = {own.node: Member(own, 0.0, self.version)}
        self._members[own.node].distance = 0

    def advance(self, elapsed: float, bound: float) -> None:
        """Let `elapsed` seconds pass, of which at most `bound` count as awake.

        After a pause in which others may have died, what lies in the buffers is
        of unknown age. The node then tells nothing of others until its
        connections have had time to show which are still heard.
        """
        counted = max(0.0, min(elapsed, bound))
        self.awake += counted
        if elapsed > bound:
            self._skipped.append((self.awake, elapsed - counted))
        if elapsed >= self._suspect_after:
            self._mute_until = self.awake + self._suspect_after + bound

    @property
    def is_mute(self) -> bool:
        """Whether nothing may be told of other nodes now."""
        return self.awake < self._mute_until

    def true_age(self, heard: float) -> float:
        """Return the age of an awake time with the own pauses counted, seconds."""
        paused = sum(amount for at, amount in self._skipped if at > heard)
        return max(0.0, self.awake - heard + paused)

    def __iter__(self) -> Iterator[Member]:
        return iter(self._members.values())

    def __len__(self) -> int:
        return len(self._members)

    def get(self, node: str) -> Member | None:
        """Return the entry of `node`, None if it is not known."""
        return self._members.get(node)

    @property
    def own(self) -> Heartbeat:
        """Entry of this node."""
        return self._members[self._name].beat

    @property
    def suspect_after(self) -> float:
        """Silence after which a node is suspected, seconds."""
        return self._suspect_after

    def set_versions(self, config_version: int, groups_offset: int) -> None:
        """Set the versions that this node tells of itself."""
        own = self._members[self._name]
        if (own.beat.config_version, own.beat.groups_offset) != (
            config_version,
            groups_offset,
        ):
            own.beat = msgspec.structs.replace(
                own.beat, config_version=config_version, groups_offset=groups_offset
            )
            self._touch(own, event=False)

    def refute(self, incarnation: int) -> None:
        """Raise the own incarnation above `incarnation`."""
        own = self._members[self._name]
        raised = max(own.beat.incarnation, incarnation) + 1
        own.beat = msgspec.structs.replace(own.beat, incarnation=raised)
        self._touch(own, event=True)

    def learn(self, entry: Heartbeat, heard: float) -> Member | None:
        """Merge what a peer told of another node.

        Returns
        -------
        Member or None
            None if the entry is about an earlier process of that name, or the
            table is full.
        """
        member = self._members.get(entry.node)
        if member is None:
            # An entry that is about to be forgotten is not taken up again.
            too_old = self.awake - heard > DEAD_KEPT.total_seconds() / 2
            if too_old or len(self._members) >= MAX_MEMBERS:
                return None
            member = self._members[entry.node] = Member(entry, heard, self.version)
            member.state = self._state(heard)
            self._touch(member, event=True)
            return member
        if start_of(entry.incarnation) < start_of(member.beat.incarnation):
            return None
        self._merge(member, entry)
        return member

    def _merge(self, member: Member, entry: Heartbeat) -> None:
        beat = member.beat
        if start_of(entry.incarnation) > start_of(beat.incarnation):
            member.beat = entry
            self._touch(member, event=True)
            return
        # Within one process all three numbers only grow.
        merged = msgspec.structs.replace(
            beat,
            incarnation=max(entry.incarnation, beat.incarnation),
            config_version=max(entry.config_version, beat.config_version),
            groups_offset=max(entry.groups_offset, beat.groups_offset),
        )
        if merged != beat:
            member.beat = merged
            self._touch(member, event=merged.incarnation != beat.incarnation)

    def learn_versions(self, node: str, config: int, groups: int) -> None:
        """Merge versions that a peer told of a node."""
        member = self._members.get(node)
        if member is not None and node != self._name:
            self._merge(
                member,
                msgspec.structs.replace(
                    member.beat, config_version=config, groups_offset=groups
                ),
            )

    def renew(self, heard: dict[str, float], distances: dict[str, int]) -> list[Member]:
        """Derive every state anew.

        Parameters
        ----------
        heard : dict
            Awake time at which the node was last heard, by all that the open
            connections tell; may be earlier than assumed before.
        distances : dict
            Shortest distance over connections that vouch now.

        Returns
        -------
        list of Member
            Those whose state changed.
        """
        changed = []
        for node, member in list(self._members.items()):
            if node == self._name:
                member.heard = self.awake
                continue
            member.heard = heard.get(node, member.heard)
            distance = distances.get(node, FAR)
            state = self._state(member.heard)
            if state is not member.state:
                member.state = state
                self._touch(member, event=True)
                changed.append(member)
            if distance != member.distance:
                member.distance = distance
                self._touch(member, event=False)
            if self.awake - member.heard > DEAD_KEPT.total_seconds():
                del self._members[node]
                self.events = self.version = self.version + 1
        return changed

    def _state(self, heard: float) -> NodeState:
        age = self.awake - heard
        if age >= self._dead_after:
            return NodeState.DEAD
        return NodeState.SUSPECT if age >= self._suspect_after else NodeState.ALIVE

    def _touch(self, member: Member, *, event: bool) -> None:
        self.version += 1
        member.changed = self.version
        if event:
            member.event = self.version
            self.events = self.version
