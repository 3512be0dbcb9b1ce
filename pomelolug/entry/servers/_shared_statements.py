"""Statements of servers that nodes pass on to each other.

What this node, other nodes of its zone and other zones were told is kept apart, and
only first-hand statements are forwarded. Otherwise two nodes would renew each other's
statements forever.
"""

from collections.abc import Callable, Iterator, Mapping
from typing import Generic, TypeVar

from pomelolug.ids import VmId, ZoneId
from pomelolug.messages import NodeStatus

__all__ = ["SharedStatements"]

_StatementT = TypeVar("_StatementT")
_ReportT = TypeVar("_ReportT")


class SharedStatements(Generic[_StatementT]):
    """Statements by server, apart by who heard them.

    Parameters
    ----------
    zone : ZoneId
        Zone of this node.
    supersedes : callable
        Returns whether its first argument holds instead of its second one.
    """

    def __init__(
        self,
        *,
        zone: ZoneId,
        supersedes: Callable[[_StatementT, _StatementT], bool],
    ) -> None:
        self._zone = zone
        self._supersedes = supersedes
        self.own: dict[VmId, _StatementT] = {}
        self.zone_peers: dict[VmId, _StatementT] = {}
        self.other_zones: dict[VmId, _StatementT] = {}

    @property
    def tables(self) -> tuple[dict[VmId, _StatementT], ...]:
        """All tables."""
        return self.own, self.zone_peers, self.other_zones

    def servers(self) -> set[VmId]:
        """Return the servers with statements."""
        return {*self.own, *self.zone_peers, *self.other_zones}

    def find_all(self, vm: VmId) -> Iterator[_StatementT]:
        """Yield the statements of a server."""
        for table in self.tables:
            statement = table.get(vm)
            if statement is not None:
                yield statement

    def find(self, vm: VmId) -> _StatementT | None:
        """Return the statement of a server that supersedes the others, if any."""
        found = None
        for statement in self.find_all(vm):
            if found is None or self._supersedes(statement, found):
                found = statement
        return found

    def is_news(
        self, table: Mapping[VmId, _StatementT], vm: VmId, statement: _StatementT
    ) -> bool:
        """Return whether a statement supersedes the one in a table."""
        known = table.get(vm)
        return known is None or self._supersedes(statement, known)

    def zone_view(self) -> dict[VmId, _StatementT]:
        """Return what the nodes of this zone were told, this one included."""
        view = dict(self.zone_peers)
        for vm, statement in self.own.items():
            if self.is_news(view, vm, statement):
                view[vm] = statement
        return view

    def reports_by_table(
        self,
        status: NodeStatus,
        *,
        own: Mapping[str, _ReportT],
        zone_wide: Mapping[str, _ReportT],
        other: Mapping[str, _ReportT],
    ) -> list[tuple[dict[VmId, _StatementT], Mapping[str, _ReportT]]]:
        """Return the tables that a peer's status updates, each with its reports.

        Parameters
        ----------
        status : NodeStatus
            Status of the peer.
        own, zone_wide, other : mapping
            What the status reports of the peer itself, of its zone, and of other zones.
        """
        if status.zone != self._zone:
            return [(self.other_zones, zone_wide)] if status.relay else []
        reports = [(self.zone_peers, own)]
        if status.relay:
            reports.append((self.other_zones, other))
        return reports
