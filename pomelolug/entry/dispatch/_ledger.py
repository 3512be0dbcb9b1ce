"""Streams that a dispatcher has assigned to groups and that have not ended."""

import collections
import dataclasses
from collections.abc import Callable, Collection, Mapping

from pomelolug.ids import VmId

__all__ = ["AssignmentLedger", "Holder"]

_SETTLING_S = 2.0
"""Age in seconds from which an assignment has to show in the load of its node.

A stream may wait for its connection first, and a status may wait at the dispatcher.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """Process that an assignment was made to.

    Parameters
    ----------
    address : str
        Datagram address of its node.
    started_ms : int
        Start of the process, in Unix milliseconds.
    """

    address: str
    started_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Assignment:
    vm: VmId
    assigned_at_s: float
    on_end: Callable[[], None]


class AssignmentLedger:
    """Open assignments of all nodes, counted by the head of the group.

    Notices of ended streams may be lost. So the ledger is compared with the loads that
    nodes report, and drops what they no longer have.

    Examples
    --------
    >>> ledger = AssignmentLedger()
    >>> node = Holder("10.0.0.1:7340", 1)
    >>> ledger.add(node, 1, VmId("a"), now_s=0.0)
    >>> ledger.count(VmId("a"))
    1
    >>> ledger.end(node, [1])
    >>> ledger.count(VmId("a"))
    0
    """

    def __init__(self) -> None:
        self._assignments: dict[Holder, dict[int, _Assignment]] = {}
        self._counts: collections.Counter[VmId] = collections.Counter()

    def __len__(self) -> int:
        """Return the number of open assignments."""
        return sum(map(len, self._assignments.values()))

    def count(self, vm: VmId) -> int:
        """Return the number of open assignments to a group."""
        return self._counts[vm]

    def add(
        self,
        holder: Holder,
        serial: int,
        vm: VmId,
        *,
        now_s: float,
        on_end: Callable[[], None] = lambda: None,
    ) -> None:
        """Record an assignment.

        Parameters
        ----------
        holder : Holder
            Process that asked.
        serial : int
            Number of its question.
        vm : VmId
            Head of the group.
        now_s : float
            Current monotonic time in seconds.
        on_end : callable, optional
            Called when the assignment ends or is dropped.
        """
        self.end(holder, [serial])
        assignment = _Assignment(vm, now_s, on_end)
        self._assignments.setdefault(holder, {})[serial] = assignment
        self._counts[vm] += 1

    def find(self, holder: Holder, serial: int) -> VmId | None:
        """Return the group that a question was answered with, None if it has ended."""
        assignment = self._assignments.get(holder, {}).get(serial)
        return assignment.vm if assignment is not None else None

    def end(self, holder: Holder, serials: Collection[int]) -> None:
        """Remove assignments whose streams have ended; unknown ones are ignored."""
        assignments = self._assignments.get(holder)
        if assignments is None:
            return
        for serial in serials:
            assignment = assignments.pop(serial, None)
            if assignment is not None:
                self._uncount(assignment.vm)
                assignment.on_end()
        if not assignments:
            del self._assignments[holder]

    def reconcile(
        self, holder: Holder, load: Mapping[str, int], *, now_s: float
    ) -> None:
        """Drop the oldest assignments that a node no longer has.

        Parameters
        ----------
        holder : Holder
            Process of the node.
        load : mapping of str to int
            Requests in flight that it reports, by server.
        now_s : float
            Monotonic time of the report, in seconds.
        """
        settled: dict[VmId, list[int]] = {}
        for serial, assignment in self._assignments.get(holder, {}).items():
            if now_s - assignment.assigned_at_s >= _SETTLING_S:
                settled.setdefault(assignment.vm, []).append(serial)
        for vm, serials in settled.items():
            self.end(holder, serials[: max(len(serials) - load.get(vm, 0), 0)])

    def subtract(self, holder: Holder, load: Mapping[str, int]) -> dict[str, int]:
        """Return the load of a node less its assignments, by server."""
        assigned = collections.Counter(
            assignment.vm for assignment in self._assignments.get(holder, {}).values()
        )
        counts = {vm: count - assigned[VmId(vm)] for vm, count in load.items()}
        return {vm: count for vm, count in counts.items() if count > 0}

    def expire(self, *, before_s: float) -> None:
        """Drop the assignments made before a monotonic time in seconds."""
        for holder, assignments in list(self._assignments.items()):
            self.end(
                holder,
                [n for n, a in assignments.items() if a.assigned_at_s < before_s],
            )

    def drop_process(self, holder: Holder) -> None:
        """Drop the assignments to a process that has ended."""
        self.end(holder, list(self._assignments.get(holder, ())))

    def drop_server(self, vm: VmId) -> None:
        """Drop the assignments to a head that has started again."""
        for holder, assignments in list(self._assignments.items()):
            self.end(holder, [n for n, a in assignments.items() if a.vm == vm])

    def holders(self) -> list[Holder]:
        """Return the processes with open assignments."""
        return list(self._assignments)

    def _uncount(self, vm: VmId) -> None:
        self._counts[vm] -= 1
        if not self._counts[vm]:
            del self._counts[vm]
