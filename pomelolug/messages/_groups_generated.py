"""Records of the groups stream and its checkpoint.

Generated from schema/messages/groups.toml.
"""

from pomelolug.messages._codec import Message

__all__ = [
    "Dissolution",
    "Drain",
    "Formation",
    "GroupMember",
    "GroupState",
    "GroupsCheckpoint",
    "VmChange",
]


class GroupMember(Message, frozen=True, kw_only=True):
    """One VM of a group, in rank order."""

    vm: str
    """Identifier of the VM."""
    incarnation: int
    """Incarnation of its backend server."""


class Formation(Message, frozen=True, kw_only=True):
    """Forms a group; the fencing token is the offset of the record."""

    group: str
    """Identifier of the group."""
    pool: str
    """Pool of the group."""
    model: str
    """Model to load."""
    version: str
    """Version of the model."""
    members: tuple[GroupMember, ...]
    """Members in rank order."""
    zone: str
    """Availability zone."""
    domain: str
    """Fabric domain."""
    base: int
    """Offset of the last record that the author had applied."""
    replaces: tuple[str, ...] = ()
    """Live groups that end with this record."""
    adapters: tuple[str, ...] = ()
    """Adapters to load."""
    role: str = "both"
    """Role of the group."""


class Dissolution(Message, frozen=True, kw_only=True):
    """Ends a group."""

    group: str
    """Identifier of the group."""
    token: int
    """Fencing token of the group."""
    reason: str = ""
    """Why the group ends, for operators."""


class Drain(Message, frozen=True, kw_only=True):
    """An operator takes a VM out of use, or returns it."""

    vm: str
    """Identifier of the VM."""
    active: bool = True
    """Whether the VM is to be left free."""


class GroupState(Message, frozen=True, kw_only=True):
    """One live group in a checkpoint."""

    formation: Formation
    """Record that formed the group."""
    token: int
    """Fencing token."""
    inherited: tuple[str, ...]
    """Members that had belonged to a group before."""


class VmChange(Message, frozen=True, kw_only=True):
    """Last change of one VM in a checkpoint."""

    vm: str
    """Identifier of the VM."""
    offset: int
    """Offset of the last record that changed it."""


class GroupsCheckpoint(Message, frozen=True, kw_only=True):
    """Folded state of the groups stream."""

    groups: tuple[GroupState, ...]
    """Live groups, lowest token first."""
    drained: tuple[str, ...]
    """VMs under drain, sorted."""
    changes: tuple[VmChange, ...]
    """Last changes, lowest offset first."""
    floor: int
    """Last change of any VM that is not listed."""
