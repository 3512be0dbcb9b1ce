"""Replica groups: ownership, formation, health probes and repair."""

from pomelolug.groups._controller import (
    DEFAULT_POLICIES,
    GroupController,
    RecordAppender,
)
from pomelolug.groups._fold import GroupsFold
from pomelolug.groups._group import Group, GroupLimits, GroupPhase, Member
from pomelolug.groups._policy import (
    BestFitWithSpare,
    DissolveProposal,
    FirstFit,
    FormationPolicy,
    FormationSnapshot,
    FormProposal,
    RepairInPlace,
    VmView,
)
from pomelolug.groups._watcher import GroupWatcher

__all__ = [
    "BestFitWithSpare",
    "DEFAULT_POLICIES",
    "DissolveProposal",
    "FirstFit",
    "FormProposal",
    "FormationPolicy",
    "FormationSnapshot",
    "Group",
    "GroupController",
    "GroupLimits",
    "GroupPhase",
    "GroupWatcher",
    "GroupsFold",
    "Member",
    "RecordAppender",
    "RepairInPlace",
    "VmView",
]
