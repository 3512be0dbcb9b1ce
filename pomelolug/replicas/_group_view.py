"""Replica groups as reported by their member servers."""

import collections
import dataclasses
from collections.abc import Iterable

from pomelolug.deployment import BackendServer, GroupMembership, GroupState
from pomelolug.ids import GroupId, ModelName

__all__ = [
    "GroupKey",
    "GroupView",
    "group_key",
    "group_views",
    "is_standby",
    "standby_name",
]

_STANDBY_PREFIX = "standby-"

GroupKey = tuple[GroupId, int]
"""Name and epoch of a group, which identify it."""


def group_key(membership: GroupMembership | None) -> GroupKey | None:
    """Return the key of the group of a membership, None if there is none."""
    if membership is None:
        return None
    return (membership.group, membership.epoch)


def standby_name(epoch: int) -> GroupId:
    """Return the name of the standby group with an epoch.

    A standby group keeps the weights of one spare server in memory.
    """
    return GroupId(f"{_STANDBY_PREFIX}{epoch}")


def is_standby(key: GroupKey) -> bool:
    """Return whether a group is a standby group.

    A standby group is never opened, so its only member is free to join any other
    group.
    """
    return key[0].startswith(_STANDBY_PREFIX)


@dataclasses.dataclass(frozen=True, slots=True)
class GroupView:
    """One replica group, assembled from the memberships of its servers.

    A replica group is one model instance that runs on `group_size` VMs of one
    fabric domain. The member with rank 0 is its head, which serves its requests.

    `members` maps ranks to servers and lacks the members that are not known.
    """

    key: GroupKey
    members: dict[int, BackendServer]

    @property
    def head(self) -> BackendServer | None:
        """Member with rank 0, or None if it is not known."""
        return self.members.get(0)

    @property
    def head_state(self) -> GroupState | None:
        """State that the head reports, or None if it is not known."""
        head = self.head
        if head is None or head.membership is None:
            return None
        return head.membership.state

    @property
    def model(self) -> ModelName | None:
        """Model that the members report, or None before any has loaded it."""
        for member in self.members.values():
            if member.model is not None:
                return member.model
        return None

    def is_ready(self, size: int) -> bool:
        """Return whether all `size` members are known and ready."""
        states = [m.membership.state for m in self.members.values() if m.membership]
        ready_states = (GroupState.READY, GroupState.OPEN, GroupState.CLOSING)
        return len(states) == size and all(state in ready_states for state in states)


def group_views(servers: Iterable[BackendServer]) -> dict[GroupKey, GroupView]:
    """Return the groups that the servers are members of."""
    members: dict[GroupKey, dict[int, BackendServer]] = collections.defaultdict(dict)
    for server in servers:
        membership = server.membership
        if membership is not None:
            key = (membership.group, membership.epoch)
            members[key][membership.rank] = server
    return {key: GroupView(key, by_rank) for key, by_rank in members.items()}
