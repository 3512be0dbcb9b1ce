"""Assignment of streams to groups by one node of each zone."""

from pomelolug.entry.dispatch._dispatcher import (
    Decision,
    GroupDispatcher,
    GroupRank,
    Question,
    Ranking,
)
from pomelolug.entry.dispatch._endpoint import (
    Assignment,
    DispatchEndpoint,
    DispatcherAddresses,
    DispatchMessage,
    GroupAssigner,
)
from pomelolug.entry.dispatch._ledger import AssignmentLedger, Holder

__all__ = [
    "Assignment",
    "AssignmentLedger",
    "Decision",
    "DispatchEndpoint",
    "DispatchMessage",
    "DispatcherAddresses",
    "GroupAssigner",
    "GroupDispatcher",
    "GroupRank",
    "Holder",
    "Question",
    "Ranking",
]
