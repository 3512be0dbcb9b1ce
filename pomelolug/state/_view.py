"""Read-only interface of a stream reader for its users."""

import datetime
from collections.abc import Callable, Mapping

from pomelolug.errors import ErrorCode, LogRegressedError
from pomelolug.ids import Offset
from pomelolug.state._fold import Fold
from pomelolug.state._freshness import Freshness
from pomelolug.state._identity import LogIdentity
from pomelolug.state._observers import Observers
from pomelolug.state._reader_state import ReaderState
from pomelolug.state._record_applier import RecordApplier
from pomelolug.state._refusal import RefusalReason

__all__ = ["StreamView"]


class StreamView:
    """State, offset and change notifications of one stream.

    Parameters
    ----------
    applier : RecordApplier
        Component that applies the records.
    identity : LogIdentity
        Identity of the log.
    freshness : Freshness
        Times of the responses of the log.
    """

    def __init__(
        self, *, applier: RecordApplier, identity: LogIdentity, freshness: Freshness
    ) -> None:
        self._applier = applier
        self._identity = identity
        self._freshness = freshness
        self._observers = Observers()
        self._state = ReaderState.STARTING
        self._is_from_peer = False

    @property
    def stream(self) -> str:
        """Name of the stream."""
        return self._applier.stream

    @property
    def fold(self) -> Fold:
        """The fold that the records are applied to."""
        return self._applier.fold

    @property
    def offset(self) -> Offset:
        """Last applied offset, -1 if there is none."""
        return self._applier.offset

    @property
    def log_id(self) -> str:
        """Identity of the log that the applied records belong to."""
        return self._identity.log_id

    @property
    def is_from_peer(self) -> bool:
        """Whether the latest records came from a peer instead of the log."""
        return self._is_from_peer

    @property
    def refusals(self) -> Mapping[RefusalReason, int]:
        """Records that were not applied, by reason."""
        return self._applier.refusals

    @property
    def covered_offset(self) -> Offset:
        """Offset that the latest checkpoint covers, -1 without one."""
        return self._applier.covered_offset

    @property
    def checkpoint_timestamp(self) -> datetime.datetime | None:
        """Log time of the latest checkpoint, else of the first record read."""
        return self._applier.checkpoint_timestamp

    @property
    def state(self) -> ReaderState:
        """Completeness and currency of the fold."""
        if self._state is ReaderState.FOLLOWING and self._freshness.is_silent:
            return ReaderState.STALE
        return self._state

    @property
    def last_full_read_s(self) -> float:
        """Monotonic time at which the last read that reached the end was sent.

        Minus infinity if there was none. Leases are measured from this time.
        """
        return self._freshness.last_full_read_s

    @property
    def can_checkpoint(self) -> bool:
        """Whether a checkpoint of the fold can be published.

        The reader must be up to date with the log. A fold that has skipped a
        record of a later schema version does not reflect its whole prefix.
        """
        is_following = self.state is ReaderState.FOLLOWING
        return is_following and not self._has_later_version() and self.offset >= 0

    def _has_later_version(self) -> bool:
        return self._applier.refusals.get(RefusalReason.LATER_VERSION, 0) > 0

    def subscribe(self, callback: Callable[[], None]) -> Callable[[], None]:
        """Call `callback` after records are applied or the state changes.

        Returns
        -------
        callable
            Function that ends the subscription.
        """
        return self._observers.subscribe(callback)

    async def wait_for(self, offset: Offset, timeout: datetime.timedelta) -> None:
        """Wait until the record at `offset` has been applied.

        Raises
        ------
        LogRegressedError
            If the stream has regressed.
        TimeoutError
            If the record is not applied within `timeout`.
        """

        def is_applied() -> bool:
            if self._state is ReaderState.REGRESSED:
                raise LogRegressedError(
                    ErrorCode.LOG_REGRESSED, f"stream {self.stream} has regressed"
                )
            return self.offset >= offset

        await self._observers.wait_until(is_applied, timeout)

    async def wait_until(
        self, condition: Callable[[], bool], timeout: datetime.timedelta
    ) -> None:
        """Wait until `condition` returns true; it is rechecked on changes.

        Raises
        ------
        TimeoutError
            If the condition is not met within `timeout`.
        """
        await self._observers.wait_until(condition, timeout)

    def _set_state(self, state: ReaderState) -> None:
        if self._state is ReaderState.REGRESSED:
            # Only a restart with a declared log identity leaves this state.
            return
        self._state = state
        self._observers.notify()
