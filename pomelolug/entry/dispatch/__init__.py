"""Assignment of streams to groups by one node of each zone."""

from pomelolug.entry.dispatch._dispatcher import Decision, GroupDispatcher, Question
from pomelolug.entry.dispatch._endpoint import (
    Assignment,
    DispatchEndpoint,
    DispatcherAddresses,
    DispatchMessage,
)
from pomelolug.entry.dispatch._ledger import AssignmentLedger, Holder

__all__ = [
    "Assignment",
    "AssignmentLedger",
    "Decision",
    "DispatchEndpoint",
    "DispatchMessage",
    "DispatcherAddresses",
    "GroupDispatcher",
    "Holder",
    "Question",
]
