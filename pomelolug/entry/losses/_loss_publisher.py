"""Record of lost servers in the store, for nodes that start or return later.

Nodes tell each other of losses in their statuses. That is fast, but does not reach a
node that is cut off from the others, and nothing is left of it when all nodes restart.
"""

import datetime
from collections.abc import Callable, Iterable

import structlog

from pomelolug.clock import Clock
from pomelolug.entry.losses._poison_requests import (
    LOSS_RETENTION_S,
    PoisonRequestDetector,
)
from pomelolug.errors import PlatformError
from pomelolug.feeds import Record
from pomelolug.platform import TOPIC_LOSSES, MetadataStore

__all__ = ["LossPublisher"]

_log = structlog.get_logger(__name__)

_INTERVAL = datetime.timedelta(seconds=1)
_RETRY_DELAY = datetime.timedelta(seconds=2)
"""Additional pause after a failure, since refused calls cost as much as others."""
_OWN_ZONE_DELAY_S = 0.5
"""Age of a loss at which it is written; many are cleared by then."""
_OTHER_ZONE_DELAY_S = 2.5
"""The same for a loss in another zone, whose own relay comes first."""
_READ_BACK_TIMEOUT_S = 3.0
"""Time after which a change that was written but not read again is repeated."""
_MAX_CHANGES_PER_CALL = 1000


class LossPublisher:
    """Writes the losses to the store as a relay, and applies those read from it.

    Each loss of a request is a key of its own, so that writers do not overwrite each
    other. Its value is the Unix time of the loss in milliseconds; clearing it removes
    the key.

    Parameters
    ----------
    detector : PoisonRequestDetector
        Losses known to this node.
    store : MetadataStore
        Store to write to.
    clock : Clock
        Source of time.
    is_relay : callable
        Returns whether this node reads the store for its zone.
    """

    def __init__(
        self,
        *,
        detector: PoisonRequestDetector,
        store: MetadataStore,
        clock: Clock,
        is_relay: Callable[[], bool],
    ) -> None:
        self._detector = detector
        self._store = store
        self._clock = clock
        self._is_relay = is_relay
        # Unix time in seconds of each stored loss, by key.
        self._stored: dict[str, float] = {}
        # Monotonic time at which a change of a key was last written.
        self._written_at_s: dict[str, float] = {}

    def apply_records(self, records: Iterable[Record]) -> None:
        """Apply the losses that were stored, and clear those that were removed."""
        now_s = self._clock.now().timestamp()
        for record in records:
            fingerprint, _, loss_id = record.key.partition(".")
            if not loss_id:
                _log.warning("loss_record_unreadable", key=record.key[:64])
                continue
            self._written_at_s.pop(record.key, None)
            if record.value is None:
                was_stored = self._stored.pop(record.key, None) is not None
                # A loss that the store has forgotten is written again.
                if was_stored and not record.is_lost:
                    self._detector.clear_loss(fingerprint, loss_id)
                continue
            try:
                lost_at_s = int(record.value) / 1000
            except ValueError:
                _log.warning("loss_record_unreadable", key=record.key[:64])
                continue
            self._stored[record.key] = lost_at_s
            self._detector.tell_cleared_again(fingerprint, loss_id)
            self._detector.record_loss(
                fingerprint,
                loss_id,
                age_s=max(now_s - lost_at_s, 0.0),
                source="store",
            )

    async def run(self) -> None:
        """Write the changes that the store lacks until cancelled."""
        while True:
            await self._clock.sleep(_INTERVAL)
            changes = self._missing_changes() if self._is_relay() else {}
            if not changes:
                continue
            try:
                await self._store.append_all(TOPIC_LOSSES, changes)
            except PlatformError as error:
                _log.warning(
                    "losses_not_written", count=len(changes), reason=str(error)
                )
                await self._clock.sleep(_RETRY_DELAY)
                continue
            now_s = self._clock.monotonic()
            self._written_at_s.update(dict.fromkeys(changes, now_s))

    def _missing_changes(self) -> dict[str, bytes]:
        """Return the value to write for each key, empty to remove the key."""
        now_s = self._clock.monotonic()
        unix_s = self._clock.now().timestamp()
        changes: dict[str, bytes] = {}
        for loss in self._detector.shared_losses():
            key = f"{loss.fingerprint}.{loss.loss_id}"
            delay_s = _OWN_ZONE_DELAY_S if loss.is_own_zone else _OTHER_ZONE_DELAY_S
            if key not in self._stored and now_s - loss.learned_at_s >= delay_s:
                lost_at_s = unix_s - (now_s - loss.at_s)
                changes[key] = b"%d" % round(lost_at_s * 1000)
        for key, lost_at_s in self._stored.items():
            fingerprint, _, loss_id = key.partition(".")
            is_cleared = self._detector.is_cleared(fingerprint, loss_id)
            if is_cleared or unix_s - lost_at_s > LOSS_RETENTION_S:
                changes[key] = b""
        self._written_at_s = {
            key: written_at_s
            for key, written_at_s in self._written_at_s.items()
            if now_s - written_at_s <= _READ_BACK_TIMEOUT_S
        }
        due = [key for key in changes if key not in self._written_at_s]
        return {key: changes[key] for key in due[:_MAX_CHANGES_PER_CALL]}
