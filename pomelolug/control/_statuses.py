"""Latest group statuses from this node's watchers and from peers."""

import dataclasses
from collections.abc import Callable, Iterable

import msgspec

from pomelolug.clock import Clock
from pomelolug.messages import GroupStatus, StatusBatch, StatusPull

__all__ = ["GroupStatusCache"]

_STATUS_TTL_S = 30.0
_VERIFICATION_MARGIN_S = 2.0
_SERVING = "serving"


@dataclasses.dataclass(slots=True)
class _Entry:
    status: GroupStatus
    as_of_s: float
    received_at_s: float


class GroupStatusCache:
    """Latest status of each group, with an upper bound on its age.

    Ages need no synchronised clocks. A status in the response to a pull was
    created after the pull was sent, so its age is at most its stated age plus the
    time since the pull was sent, measured by this node's clock. A delayed batch
    therefore appears older than it is, never newer.

    Parameters
    ----------
    node : str
        Name of this node.
    clock : Clock
        Time source.
    on_change : callable
        Called when a group is added or removed, or when the token, phase, leader,
        members, capacity or straggler mark of its status changes.
    """

    def __init__(
        self, *, node: str, clock: Clock, on_change: Callable[[], None]
    ) -> None:
        self._node = node
        self._clock = clock
        self._on_change = on_change
        self._entries: dict[str, _Entry] = {}
        self._version = 0
        self._last_batches: dict[str, tuple[int, dict[int, GroupStatus]]] = {}

    @property
    def version(self) -> int:
        """Number that increases before each call of `on_change`."""
        return self._version

    def add_local(self, status: GroupStatus) -> None:
        """Add a status that a watcher of this node has just created."""
        now_s = self._clock.monotonic()
        age_s = status.verified_age_s if status.phase == _SERVING else 0.0
        self._merge(status, now_s - age_s, now_s)

    def create_pull(self, peer: str) -> StatusPull:
        """Return a request for the statuses of `peer`, to be sent immediately."""
        last_batch = self._last_batches.get(peer)
        return StatusPull(
            sent_at_s=self._clock.monotonic(), known=last_batch[0] if last_batch else -1
        )

    def create_batch(self, pull: StatusPull) -> StatusBatch:
        """Return the response to a peer's pull.

        It is brief, with ages and loads only, if the peer knows the current version.
        """
        entries = sorted(self._entries.items())
        now_s = self._clock.monotonic()
        if pull.known == self._version:
            brief = tuple(
                (
                    entry.status.token,
                    round((now_s - entry.as_of_s) * 1000),
                    entry.status.load,
                )
                for _, entry in entries
            )
            return StatusBatch(
                echo_s=pull.sent_at_s, version=self._version, brief=brief
            )
        statuses = tuple(_with_current_age(entry, now_s) for _, entry in entries)
        return StatusBatch(
            echo_s=pull.sent_at_s, version=self._version, statuses=statuses
        )

    def add_batch(self, peer: str, batch: StatusBatch) -> None:
        """Add the statuses of a peer's batch.

        A batch whose echoed time lies in the future and a brief batch that refers to
        an unknown version are ignored.
        """
        now_s = self._clock.monotonic()
        if batch.echo_s > now_s:
            return
        if batch.statuses or not batch.brief:
            by_token = {status.token: status for status in batch.statuses}
            self._last_batches[peer] = (batch.version, by_token)
            for status in batch.statuses:
                self._merge(status, batch.echo_s - status.verified_age_s, now_s)
            return
        last_batch = self._last_batches.get(peer)
        if last_batch is None or last_batch[0] != batch.version:
            return
        for token, age_ms, load in batch.brief:
            full_status = last_batch[1].get(token)
            if full_status is not None:
                status = msgspec.structs.replace(full_status, load=load)
                self._merge(status, batch.echo_s - age_ms / 1000, now_s)

    def forget_peer(self, peer: str) -> None:
        """Remove the last full batch of a peer, which may have restarted."""
        self._last_batches.pop(peer, None)

    def statuses(self) -> tuple[GroupStatus, ...]:
        """Return the status of every group with its current age."""
        now_s = self._clock.monotonic()
        self._expire(now_s)
        return tuple(
            _with_current_age(entry, now_s)
            for _, entry in sorted(self._entries.items())
        )

    def remove(self, groups: Iterable[str]) -> None:
        """Remove the statuses of groups."""
        removed = [self._entries.pop(group, None) for group in groups]
        if any(entry is not None for entry in removed):
            self._mark_changed()

    def _merge(self, status: GroupStatus, as_of_s: float, now_s: float) -> None:
        current = self._entries.get(status.group)
        if current is not None and not _supersedes(status, as_of_s, current):
            return
        self._entries[status.group] = _Entry(status, as_of_s, now_s)
        if current is None or _stable_fields(current.status) != _stable_fields(status):
            self._mark_changed()

    def _mark_changed(self) -> None:
        self._version += 1
        self._on_change()

    def _expire(self, now_s: float) -> None:
        expired = [
            group
            for group, entry in self._entries.items()
            if now_s - entry.received_at_s > _STATUS_TTL_S
        ]
        self.remove(expired)


def _supersedes(status: GroupStatus, as_of_s: float, current: _Entry) -> bool:
    """Return whether `status`, valid at `as_of_s`, replaces the current entry.

    A contradiction takes precedence over every earlier verification. Missed probes
    may be due to a network fault of the watcher, and a watcher that has just started
    has verified nothing yet: neither takes a group out of service that another
    watcher verified within the margin.
    """
    if status.token != current.status.token:
        return status.token > current.status.token
    if status.watcher == current.status.watcher:
        return as_of_s >= current.as_of_s
    is_serving = status.phase == _SERVING
    was_serving = current.status.phase == _SERVING
    if is_serving == was_serving or status.contradicted or current.status.contradicted:
        return as_of_s > current.as_of_s
    if is_serving:
        return as_of_s > current.as_of_s - _VERIFICATION_MARGIN_S
    return current.as_of_s < as_of_s - _VERIFICATION_MARGIN_S


def _stable_fields(status: GroupStatus) -> tuple:
    return (
        status.token,
        status.phase,
        status.leader,
        status.members,
        status.capacity,
        status.straggler,
    )


def _with_current_age(entry: _Entry, now_s: float) -> GroupStatus:
    return msgspec.structs.replace(
        entry.status, verified_age_s=max(0.0, now_s - entry.as_of_s)
    )
