"""Requests whose stream broke on a group that may have been lost."""

import datetime

from pomelolug.clock import Clock
from pomelolug.messages import LossReport, RoutingTable, Suspicion

__all__ = ["Suspicions"]

_LIFE = datetime.timedelta(seconds=10)
_MAX_FINGERPRINTS = 4096
_SERVING = "serving"


class Suspicions:
    """Broken streams for which the loss of the group is not decided yet.

    The watchers need a second or two to report a lost group. A caller may send
    its request again sooner, through any entry VM, so that the suspicion is
    shared as soon as the stream breaks.

    Parameters
    ----------
    clock : Clock
        Time source.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        # For each fingerprint the groups, with the time of the break.
        self._open: dict[bytes, dict[tuple[str, int], float]] = {}

    def count(self, fingerprint: bytes) -> int:
        """Return on how many undecided groups the request broke."""
        groups = self._open.get(fingerprint)
        if not groups:
            return 0
        oldest = self._clock.monotonic() - _LIFE.total_seconds()
        for identity in [g for g, at in groups.items() if at < oldest]:
            del groups[identity]
        if not groups:
            del self._open[fingerprint]
        return len(groups)

    def add(self, report: Suspicion) -> None:
        """Take a suspicion of this or another gateway."""
        now = self._clock.monotonic()
        for fingerprint in report.fingerprints:
            if len(self._open) >= _MAX_FINGERPRINTS:
                self._drop_old(now)
            if len(self._open) >= _MAX_FINGERPRINTS:
                return
            groups = self._open.setdefault(fingerprint, {})
            groups[report.group, report.token] = now

    def on_loss(self, report: LossReport) -> None:
        """Drop the suspicions that a loss has confirmed."""
        self._decide((report.group, report.token), report.fingerprints)

    def on_table(self, table: RoutingTable) -> None:
        """Drop the suspicions about groups that were verified afterwards."""
        if not self._open:
            return
        now = self._clock.monotonic()
        verified = {
            (status.group, status.token): now - status.verified_age_s
            for status in table.groups
            if status.phase == _SERVING
        }
        for fingerprint in list(self._open):
            groups = self._open[fingerprint]
            for identity, broke_at in list(groups.items()):
                if verified.get(identity, 0.0) > broke_at:
                    del groups[identity]
            if not groups:
                del self._open[fingerprint]

    def _decide(
        self, identity: tuple[str, int], fingerprints: tuple[bytes, ...]
    ) -> None:
        for fingerprint in fingerprints:
            groups = self._open.get(fingerprint, {})
            groups.pop(identity, None)
            if not groups:
                self._open.pop(fingerprint, None)

    def _drop_old(self, now: float) -> None:
        oldest = now - _LIFE.total_seconds()
        for fingerprint in list(self._open):
            if max(self._open[fingerprint].values()) < oldest:
                del self._open[fingerprint]
