"""Log records and checkpoint of the groups stream.

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
    """VM that is a member of a group."""

    vm: str
    """Identifier of the VM."""
    incarnation: int
    """Incarnation of the VM's backend server."""


class Formation(Message, frozen=True, kw_only=True):
    """Record that forms a group; its offset is the group's fencing token."""

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
    """Offset of the last record that the author had applied when writing this one."""
    replaces: tuple[str, ...] = ()
    """Live groups that this record dissolves."""
    adapters: tuple[str, ...] = ()
    """Adapters to load."""
    role: str = "both"
    """Role of the group."""


class Dissolution(Message, frozen=True, kw_only=True):
    """Record that dissolves a group."""

    group: str
    """Identifier of the group."""
    token: int
    """Fencing token of the group."""
    reason: str = ""
    """Reason for the dissolution, for operators."""


class Drain(Message, frozen=True, kw_only=True):
    """Record by which an operator drains a VM or ends the drain."""

    vm: str
    """Identifier of the VM."""
    active: bool = True
    """Whether the VM is to be kept out of groups."""


class GroupState(Message, frozen=True, kw_only=True):
    """Live group in a checkpoint."""

    formation: Formation
    """Record that formed the group."""
    token: int
    """Fencing token."""
    inherited: tuple[str, ...]
    """Members that had belonged to a group before."""


class VmChange(Message, frozen=True, kw_only=True):
    """Last change of a VM in a checkpoint."""

    vm: str
    """Identifier of the VM."""
    offset: int
    """Offset of the last record that changed the VM."""


class GroupsCheckpoint(Message, frozen=True, kw_only=True):
    """Folded state of the groups stream."""

    groups: tuple[GroupState, ...]
    """Live groups in ascending order of token."""
    drained: tuple[str, ...]
    """Draining VMs, sorted."""
    changes: tuple[VmChange, ...]
    """Last changes in ascending order of offset."""
    floor: int
    """Offset of the last change assumed for VMs that are not listed."""
