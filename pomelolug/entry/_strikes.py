"""Detection of requests that crash the servers running them.

The caller of such a request may send it again under another id and through another
node, so it is identified by its account, path and body.
"""

import hashlib
from collections.abc import Mapping, Sequence

import structlog

from pomelolug.clock import Clock
from pomelolug.ids import AccountId

__all__ = ["PoisonRequestDetector", "compute_fingerprint"]

_log = structlog.get_logger(__name__)

QUARANTINE_LOSS_COUNT = 3
"""Number of servers lost while running a request after which it is refused.

Two losses also happen to harmless requests that run beside a harmful one, for
example when a second group is lost right after the first.
"""
_RETENTION_S = 120.0
_MAX_REQUESTS = 256
_SHARING_PERIOD_S = 3.0
"""Time for which a loss is sent to other nodes; it spans several messages."""
_MAX_SHARED_REQUESTS = 16
"""Maximum number of fingerprints in a message to other nodes."""


def compute_fingerprint(account: AccountId | None, target: bytes, body: bytes) -> str:
    """Return a digest that identifies a request when it is sent again.

    Examples
    --------
    >>> compute_fingerprint(None, b"/a", b"x") == compute_fingerprint(None, b"/a", b"x")
    True
    """
    digest = hashlib.blake2b(digest_size=8)
    for part in ((account or "").encode(), target, body):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    return digest.hexdigest()


class PoisonRequestDetector:
    """Counts the servers that were lost while running each request.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._loss_times_s: dict[str, dict[str, float]] = {}

    def record_loss(
        self, fingerprint: str, loss_id: str, *, source: str = "own"
    ) -> None:
        """Record the loss of a server that ran a request.

        Reports with the same `loss_id` count once. `source` names for the log where the
        report came from.
        """
        now_s = self._clock.monotonic()
        losses = self._loss_times_s.setdefault(fingerprint, {})
        is_new = loss_id not in losses
        losses.setdefault(loss_id, now_s)
        if is_new and len(losses) == QUARANTINE_LOSS_COUNT:
            _log.warning(
                "request_quarantined",
                fingerprint=fingerprint,
                losses=list(losses),
                source=source,
            )
        self._evict(now_s)

    def loss_count(self, fingerprint: str) -> int:
        """Return the number of servers known to be lost while running a request."""
        return len(self._loss_times_s.get(fingerprint, ()))

    def quarantined_count(self) -> int:
        """Return the number of quarantined requests."""
        return sum(map(self.is_quarantined, self._loss_times_s))

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether too many servers were lost while running a request."""
        return self.loss_count(fingerprint) >= QUARANTINE_LOSS_COUNT

    def recent_losses(self) -> dict[str, tuple[str, ...]]:
        """Return recent losses by request, most losses first, for other nodes."""
        oldest_s = self._clock.monotonic() - _SHARING_PERIOD_S
        recent = [
            (fingerprint, loss_times_s)
            for fingerprint, loss_times_s in self._loss_times_s.items()
            if max(loss_times_s.values()) >= oldest_s
        ]
        recent.sort(key=lambda item: -len(item[1]))
        return {
            fingerprint: tuple(loss_times_s)
            for fingerprint, loss_times_s in recent[:_MAX_SHARED_REQUESTS]
        }

    def merge(self, losses: Mapping[str, Sequence[str]], *, source: str = "") -> None:
        """Add the losses reported by another node; duplicates change nothing."""
        for fingerprint, loss_ids in list(losses.items())[:_MAX_SHARED_REQUESTS]:
            for loss_id in list(loss_ids)[:QUARANTINE_LOSS_COUNT]:
                self.record_loss(fingerprint, loss_id, source=source)

    def _evict(self, now_s: float) -> None:
        for fingerprint in list(self._loss_times_s):
            loss_times_s = self._loss_times_s[fingerprint]
            if now_s - max(loss_times_s.values()) > _RETENTION_S:
                del self._loss_times_s[fingerprint]
        while len(self._loss_times_s) > _MAX_REQUESTS:
            del self._loss_times_s[
                min(
                    self._loss_times_s,
                    key=lambda f: max(self._loss_times_s[f].values()),
                )
            ]
