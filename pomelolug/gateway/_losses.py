"""Requests in flight on each group, and reports of lost groups."""

import collections
import contextlib
import dataclasses
import datetime
from collections.abc import Callable, Iterator

from pomelolug.clock import Clock
from pomelolug.ids import GroupId
from pomelolug.messages import GroupStatus, LossReport, RoutingTable, Suspicion

__all__ = ["LossReporter"]

_REMEMBER = datetime.timedelta(seconds=10)
_MAX_FINGERPRINTS = 256
_LOST_PHASES = frozenset({"broken", "dissolved"})


@dataclasses.dataclass(frozen=True)
class _Cut:
    at: float
    group: str
    token: int
    fingerprint: bytes


class LossReporter:
    """Notes which requests ran on a group when it was lost.

    A stream breaks before the group's watchers report the loss, so that broken
    streams of the last seconds count as in flight.

    Parameters
    ----------
    node : str
        Node of the gateway.
    clock : Clock
        Time source.
    is_struck : callable
        Whether a fingerprint has a strike.
    report : callable
        Called with the `LossReport` of a lost group.
    suspect : callable
        Called with the `Suspicion` of a stream that broke.
    """

    def __init__(
        self,
        *,
        node: str,
        clock: Clock,
        is_struck: Callable[[bytes], bool],
        report: Callable[[LossReport], None],
        suspect: Callable[[Suspicion], None],
    ) -> None:
        self._node = node
        self._clock = clock
        self._is_struck = is_struck
        self._report = report
        self._suspect = suspect
        self._in_flight: dict[str, dict[str, bytes]] = collections.defaultdict(dict)
        self._cuts: collections.deque[_Cut] = collections.deque()
        self._seen: dict[str, tuple[float, GroupStatus]] = {}
        self._reported: collections.OrderedDict[tuple[str, int], None] = (
            collections.OrderedDict()
        )

    @contextlib.contextmanager
    def in_flight(
        self, group: GroupStatus, fingerprint: bytes, request_id: str
    ) -> Iterator[None]:
        """Count the request as in flight on `group` inside the context."""
        running = self._in_flight[group.group]
        running[request_id] = fingerprint
        try:
            yield
        finally:
            running.pop(request_id, None)
            if not running:
                self._in_flight.pop(group.group, None)

    def groups_with_suspect(self) -> frozenset[GroupId]:
        """Return the groups on which a struck request runs."""
        return frozenset(
            GroupId(group)
            for group, running in self._in_flight.items()
            if any(self._is_struck(fingerprint) for fingerprint in running.values())
        )

    def on_broken_stream(self, group: GroupStatus, fingerprint: bytes) -> None:
        """Remember a broken stream until its group's state is known."""
        self._suspect(
            Suspicion(
                node=self._node,
                group=group.group,
                token=group.token,
                fingerprints=(fingerprint,),
            )
        )
        now = self._clock.monotonic()
        self._cuts.append(_Cut(now, group.group, group.token, fingerprint))
        while self._cuts and self._cuts[0].at < now - _REMEMBER.total_seconds():
            self._cuts.popleft()

    def on_table(self, table: RoutingTable) -> None:
        """Report groups that this table shows as lost."""
        now = self._clock.monotonic()
        present = {}
        for status in table.groups:
            previous = self._seen.get(status.group)
            present[status.group] = (now, status)
            was_lost = previous is not None and previous[1].phase in _LOST_PHASES
            if status.phase in _LOST_PHASES and not was_lost:
                self._lost(status)
        for group, (_, status) in self._seen.items():
            if group not in present and status.phase not in _LOST_PHASES:
                self._lost(status)
        self._seen = present

    def _lost(self, status: GroupStatus) -> None:
        identity = (status.group, status.token)
        if identity in self._reported:
            return
        prints = list(self._in_flight.get(status.group, {}).values())
        oldest = self._clock.monotonic() - _REMEMBER.total_seconds()
        prints += [
            cut.fingerprint
            for cut in self._cuts
            if (cut.group, cut.token) == identity and cut.at >= oldest
        ]
        if not prints:
            return
        self._reported[identity] = None
        if len(self._reported) > _MAX_FINGERPRINTS:
            self._reported.popitem(last=False)
        unique = sorted(set(prints))[:_MAX_FINGERPRINTS]
        struck = [fingerprint for fingerprint in unique if self._is_struck(fingerprint)]
        self._report(
            LossReport(
                loss_id=f"{status.group}/{status.token}/{self._node}",
                node=self._node,
                group=status.group,
                domain=status.domain,
                token=status.token,
                fingerprints=tuple(unique),
                solo=len(struck) == 1,
            )
        )
