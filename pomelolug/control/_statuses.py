"""Group statuses from this node's watchers and from peers, with safe ages."""

import dataclasses
from collections.abc import Callable, Iterable

import msgspec

from pomelolug.clock import Clock
from pomelolug.messages import GroupStatus, StatusBatch, StatusPull

__all__ = ["StatusBoard"]

_FORGET_AFTER_S = 30.0
_SILENCE_MARGIN_S = 2.0
_SERVING = "serving"


@dataclasses.dataclass(slots=True)
class _Entry:
    status: GroupStatus
    at: float
    heard_at: float


class StatusBoard:
    """Latest status of each group.

    Ages need no synchronised clocks. A status that answers a pull was made
    after the pull was sent, so that its age is at most the age that it states
    plus the time since the pull left, by this node's own clock. A batch that was
    delayed on its way therefore looks old, never fresh.

    Parameters
    ----------
    node : str
        This node.
    clock : Clock
        Time source.
    on_change : callable
        Called when more than the age and load of a group changed.
    """

    def __init__(
        self, *, node: str, clock: Clock, on_change: Callable[[], None]
    ) -> None:
        self._node = node
        self._clock = clock
        self._on_change = on_change
        self._entries: dict[str, _Entry] = {}
        self._version = 0
        self._by_peer: dict[str, tuple[int, dict[int, GroupStatus]]] = {}

    @property
    def version(self) -> int:
        """Number that changes with the lasting part of any status."""
        return self._version

    def observe(self, status: GroupStatus) -> None:
        """Take a status that a watcher of this node has just made."""
        now = self._clock.monotonic()
        age_s = status.verified_age_s if status.phase == _SERVING else 0.0
        self._take(status, now - age_s, now)

    def pull(self, peer: str) -> StatusPull:
        """Return the pull to send to `peer` now."""
        known = self._by_peer.get(peer)
        return StatusPull(
            sent_at_s=self._clock.monotonic(), known=known[0] if known else -1
        )

    def answer(self, pull: StatusPull) -> StatusBatch:
        """Return the batch that answers a peer's pull."""
        entries = sorted(self._entries.items())
        now = self._clock.monotonic()
        if pull.known == self._version:
            brief = tuple(
                (
                    entry.status.token,
                    round((now - entry.at) * 1000),
                    entry.status.load,
                )
                for _, entry in entries
            )
            return StatusBatch(
                echo_s=pull.sent_at_s, version=self._version, brief=brief
            )
        statuses = tuple(_aged(entry, now) for _, entry in entries)
        return StatusBatch(
            echo_s=pull.sent_at_s, version=self._version, statuses=statuses
        )

    def learn(self, peer: str, batch: StatusBatch) -> None:
        """Take the groups of a peer's batch."""
        now = self._clock.monotonic()
        if batch.echo_s > now:
            return
        if batch.statuses or not batch.brief:
            by_token = {status.token: status for status in batch.statuses}
            self._by_peer[peer] = (batch.version, by_token)
            for status in batch.statuses:
                self._take(status, batch.echo_s - status.verified_age_s, now)
            return
        known = self._by_peer.get(peer)
        if known is None or known[0] != batch.version:
            return
        for token, age_ms, load in batch.brief:
            full = known[1].get(token)
            if full is not None:
                status = msgspec.structs.replace(full, load=load)
                self._take(status, batch.echo_s - age_ms / 1000, now)

    def forget_peer(self, peer: str) -> None:
        """Drop what a brief batch of a restarted peer would refer to."""
        self._by_peer.pop(peer, None)

    def statuses(self) -> tuple[GroupStatus, ...]:
        """Return every group with its age as of now."""
        now = self._clock.monotonic()
        self._expire(now)
        return tuple(_aged(entry, now) for _, entry in sorted(self._entries.items()))

    def remove(self, groups: Iterable[str]) -> None:
        """Drop groups that are dissolved."""
        removed = [self._entries.pop(group, None) for group in groups]
        if any(entry is not None for entry in removed):
            self._changed()

    def _take(self, status: GroupStatus, at: float, now: float) -> None:
        current = self._entries.get(status.group)
        if current is not None and not _supersedes(status, at, current):
            return
        self._entries[status.group] = _Entry(status, at, now)
        if current is None or _lasting(current.status) != _lasting(status):
            self._changed()

    def _changed(self) -> None:
        self._version += 1
        self._on_change()

    def _expire(self, now: float) -> None:
        old = [
            group
            for group, entry in self._entries.items()
            if now - entry.heard_at > _FORGET_AFTER_S
        ]
        self.remove(old)


def _supersedes(status: GroupStatus, at: float, current: _Entry) -> bool:
    """Return whether `status`, made at `at`, replaces the current entry.

    A contradiction outweighs every earlier verification. Silence that one
    watcher sees may be its own network fault, and a watcher that has just begun
    knows nothing: neither closes a group that another watcher verified within the
    margin.
    """
    if status.token != current.status.token:
        return status.token > current.status.token
    if status.watcher == current.status.watcher:
        return at >= current.at
    serves = status.phase == _SERVING
    served = current.status.phase == _SERVING
    if serves == served or status.contradicted or current.status.contradicted:
        return at > current.at
    if serves:
        return at > current.at - _SILENCE_MARGIN_S
    return current.at < at - _SILENCE_MARGIN_S


def _lasting(status: GroupStatus) -> tuple:
    return (
        status.token,
        status.phase,
        status.leader,
        status.members,
        status.capacity,
        status.straggler,
    )


def _aged(entry: _Entry, now: float) -> GroupStatus:
    return msgspec.structs.replace(
        entry.status, verified_age_s=max(0.0, now - entry.at)
    )
