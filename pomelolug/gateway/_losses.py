"""Requests in flight on each group, and reports of the loss of groups."""

import collections
import contextlib
import dataclasses
import datetime
from collections.abc import Callable, Iterator

from pomelolug.clock import Clock
from pomelolug.ids import GroupId
from pomelolug.messages import GroupStatus, LossReport, RoutingTable, Suspicion

__all__ = ["LossReporter"]

# A loss report includes the streams that broke within this time before it.
_RETENTION = datetime.timedelta(seconds=10)
# Limit of the fingerprints in one report and of the losses remembered as reported.
_MAX_FINGERPRINTS = 256
_LOST_PHASES = frozenset({"broken", "dissolved"})


@dataclasses.dataclass(frozen=True)
class _BrokenStream:
    at_s: float
    group: str
    token: int
    fingerprint: bytes


class LossReporter:
    """Reports which requests were in flight on a group when it was lost.

    A stream breaks before the watchers of the group report the loss. Requests whose
    stream on the group broke in the last seconds are therefore included in the report.

    Parameters
    ----------
    node : str
        Node identifier of the gateway.
    clock : Clock
        Source of monotonic time.
    has_strike : callable
        Returns whether the request with a given fingerprint has a strike.
    on_loss : callable
        Called with the `LossReport` of a lost group.
    on_suspicion : callable
        Called with the `Suspicion` that follows from a broken stream.
    """

    def __init__(
        self,
        *,
        node: str,
        clock: Clock,
        has_strike: Callable[[bytes], bool],
        on_loss: Callable[[LossReport], None],
        on_suspicion: Callable[[Suspicion], None],
    ) -> None:
        self._node = node
        self._clock = clock
        self._has_strike = has_strike
        self._on_loss = on_loss
        self._on_suspicion = on_suspicion
        self._in_flight: dict[str, dict[str, bytes]] = collections.defaultdict(dict)
        self._broken_streams: collections.deque[_BrokenStream] = collections.deque()
        self._last_statuses: dict[str, tuple[float, GroupStatus]] = {}
        self._reported: collections.OrderedDict[tuple[str, int], None] = (
            collections.OrderedDict()
        )

    @contextlib.contextmanager
    def track_in_flight(
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

    def groups_running_suspects(self) -> frozenset[GroupId]:
        """Return the groups on which a request with a strike is in flight."""
        return frozenset(
            GroupId(group)
            for group, running in self._in_flight.items()
            if any(self._has_strike(fingerprint) for fingerprint in running.values())
        )

    def on_broken_stream(self, group: GroupStatus, fingerprint: bytes) -> None:
        """Record a broken stream and report the suspicion that the group was lost."""
        self._on_suspicion(
            Suspicion(
                node=self._node,
                group=group.group,
                token=group.token,
                fingerprints=(fingerprint,),
            )
        )
        now_s = self._clock.monotonic()
        self._broken_streams.append(
            _BrokenStream(now_s, group.group, group.token, fingerprint)
        )
        while (
            self._broken_streams
            and self._broken_streams[0].at_s < now_s - _RETENTION.total_seconds()
        ):
            self._broken_streams.popleft()

    def on_table(self, table: RoutingTable) -> None:
        """Report the groups that are lost according to `table`."""
        now_s = self._clock.monotonic()
        present = {}
        for status in table.groups:
            previous = self._last_statuses.get(status.group)
            present[status.group] = (now_s, status)
            was_lost = previous is not None and previous[1].phase in _LOST_PHASES
            if status.phase in _LOST_PHASES and not was_lost:
                self._report_loss(status)
        for group, (_, status) in self._last_statuses.items():
            if group not in present and status.phase not in _LOST_PHASES:
                self._report_loss(status)
        self._last_statuses = present

    def _report_loss(self, status: GroupStatus) -> None:
        loss_key = (status.group, status.token)
        if loss_key in self._reported:
            return
        fingerprints = list(self._in_flight.get(status.group, {}).values())
        oldest_s = self._clock.monotonic() - _RETENTION.total_seconds()
        fingerprints += [
            stream.fingerprint
            for stream in self._broken_streams
            if (stream.group, stream.token) == loss_key and stream.at_s >= oldest_s
        ]
        if not fingerprints:
            return
        self._reported[loss_key] = None
        if len(self._reported) > _MAX_FINGERPRINTS:
            self._reported.popitem(last=False)
        unique_fingerprints = sorted(set(fingerprints))[:_MAX_FINGERPRINTS]
        suspects = [
            fingerprint
            for fingerprint in unique_fingerprints
            if self._has_strike(fingerprint)
        ]
        self._on_loss(
            LossReport(
                loss_id=f"{status.group}/{status.token}/{self._node}",
                node=self._node,
                group=status.group,
                domain=status.domain,
                token=status.token,
                fingerprints=tuple(unique_fingerprints),
                # Here `solo` means that exactly one of these requests had a strike.
                solo=len(suspects) == 1,
            )
        )
