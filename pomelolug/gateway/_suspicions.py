"""Requests whose streams broke on groups that may have been lost."""

import datetime

from pomelolug.clock import Clock
from pomelolug.messages import LossReport, RoutingTable, Suspicion

__all__ = ["Suspicions"]

# Time after which a suspicion is dropped even if the group was neither reported lost
# nor verified.
_LIFETIME = datetime.timedelta(seconds=10)
# Suspicions of further requests are not recorded.
_MAX_FINGERPRINTS = 4096
_SERVING = "serving"


class Suspicions:
    """Broken streams whose groups are not yet known to be lost or intact.

    The watchers need a second or two to report the loss of a group. A caller may repeat
    its request sooner, through any entry VM, so gateways share a suspicion as soon as
    the stream breaks.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        # Fingerprint -> (group, token) -> time at which the stream broke, in seconds.
        self._pending: dict[bytes, dict[tuple[str, int], float]] = {}

    def count(self, fingerprint: bytes) -> int:
        """Return the number of groups that the request is suspected of breaking."""
        groups = self._pending.get(fingerprint)
        if not groups:
            return 0
        oldest_s = self._clock.monotonic() - _LIFETIME.total_seconds()
        for key in [g for g, at_s in groups.items() if at_s < oldest_s]:
            del groups[key]
        if not groups:
            del self._pending[fingerprint]
        return len(groups)

    def add(self, suspicion: Suspicion) -> None:
        """Add a suspicion reported by this or another gateway."""
        now_s = self._clock.monotonic()
        for fingerprint in suspicion.fingerprints:
            if len(self._pending) >= _MAX_FINGERPRINTS:
                self._drop_expired(now_s)
            if len(self._pending) >= _MAX_FINGERPRINTS:
                return
            groups = self._pending.setdefault(fingerprint, {})
            groups[suspicion.group, suspicion.token] = now_s

    def on_loss(self, report: LossReport) -> None:
        """Remove the suspicions that a loss has confirmed."""
        self._remove((report.group, report.token), report.fingerprints)

    def on_table(self, table: RoutingTable) -> None:
        """Remove suspicions about groups that were verified after the stream broke."""
        if not self._pending:
            return
        now_s = self._clock.monotonic()
        verified = {
            (status.group, status.token): now_s - status.verified_age_s
            for status in table.groups
            if status.phase == _SERVING
        }
        for fingerprint in list(self._pending):
            groups = self._pending[fingerprint]
            for key, broken_at_s in list(groups.items()):
                if verified.get(key, 0.0) > broken_at_s:
                    del groups[key]
            if not groups:
                del self._pending[fingerprint]

    def _remove(self, key: tuple[str, int], fingerprints: tuple[bytes, ...]) -> None:
        for fingerprint in fingerprints:
            groups = self._pending.get(fingerprint, {})
            groups.pop(key, None)
            if not groups:
                self._pending.pop(fingerprint, None)

    def _drop_expired(self, now_s: float) -> None:
        oldest_s = now_s - _LIFETIME.total_seconds()
        for fingerprint in list(self._pending):
            if max(self._pending[fingerprint].values()) < oldest_s:
                del self._pending[fingerprint]
