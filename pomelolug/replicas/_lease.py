"""Election of the active controller and its fencing tokens.

Only the active controller forms replica groups. The store elects one node at a
time.
"""

import abc
import datetime
from collections.abc import Callable

import structlog

from pomelolug.clock import Clock
from pomelolug.errors import PlatformError

__all__ = ["ControllerElection", "ControllerLease"]

_log = structlog.get_logger(__name__)

_RENEWALS_PER_LEASE = 3
"""Renewal attempts per lease, so that one lost response does not end the lease."""
_EPOCHS_PER_GENERATION = 1_000_000
"""Number of epochs reserved for each generation of the assignment."""


class ControllerElection(abc.ABC):
    """Elects the active controller among the candidate nodes."""

    @abc.abstractmethod
    async def renew(self, generation: int) -> tuple[int, bool]:
        """Become or remain a candidate and return the result of the election.

        Parameters
        ----------
        generation : int
            Newest generation that this node knows.

        Returns
        -------
        tuple of int and bool
            Generation of the assignment, and whether this node is the active
            controller.

        Raises
        ------
        PlatformError
            If the store does not answer.
        """

    @abc.abstractmethod
    async def release(self) -> None:
        """Withdraw as a candidate and give up the lease if this node holds it."""


class ControllerLease:
    """Lease that makes this node the active controller.

    It also issues the fencing tokens of the controller's orders. Fencing tokens
    grow with the generation that the store assigns, so a successor's tokens are
    higher than those of all its predecessors without an additional write. Log
    events and statuses of nodes call the lease ``duty``.

    Parameters
    ----------
    election : ControllerElection
        Election that assigns the lease.
    clock : Clock
        Clock that keeps running while the VM is suspended.
    duration : datetime.timedelta
        Time after the last renewal at which another node may get the lease.
    is_eligible : callable
        Returns whether this node may be a candidate in the election.
    """

    def __init__(
        self,
        *,
        election: ControllerElection,
        clock: Clock,
        duration: datetime.timedelta,
        is_eligible: Callable[[], bool] = lambda: True,
    ) -> None:
        self._election = election
        self._is_eligible = is_eligible
        self._is_candidate = False
        self._clock = clock
        self._duration_s = duration.total_seconds()
        self._generation = 0
        self._superseded_generation = -1
        self._epoch_counter = 0
        self._is_assigned = False
        self._renewed_at_s = float("-inf")
        self._held_since_s: float | None = None
        self._is_stopped = False

    @property
    def is_held(self) -> bool:
        """Whether this node holds the lease now.

        The lease starts when the renewal request is sent, not when its response
        arrives.
        """
        age_s = self._clock.monotonic() - self._renewed_at_s
        is_current = self._generation > self._superseded_generation
        return (
            self._is_assigned
            and is_current
            and not self._is_stopped
            and age_s < self._duration_s
        )

    @property
    def is_candidate(self) -> bool:
        """Whether this node is a candidate in the election."""
        return self._is_candidate

    @property
    def held_since_s(self) -> float:
        """Monotonic time in seconds at which this node got the lease.

        The current time if it never had the lease.
        """
        return (
            self._held_since_s
            if self._held_since_s is not None
            else self._clock.monotonic()
        )

    @property
    def generation(self) -> int:
        """Newest known generation of the assignment."""
        return self._generation

    @property
    def fencing_token(self) -> int:
        """Fencing token for orders that do not form a group."""
        return self._generation * _EPOCHS_PER_GENERATION + self._epoch_counter

    def next_epoch(self) -> int:
        """Return the epoch of a new group, which is also its fencing token."""
        self._epoch_counter += 1
        return self.fencing_token

    def mark_superseded(self) -> None:
        """Stop giving orders after a server has seen a higher fencing token.

        Another node has got the lease. This node can get it again in a later
        generation.
        """
        if self.is_held:
            _log.warning("duty_superseded", generation=self._generation)
        self._superseded_generation = self._generation

    async def run(self) -> None:
        """Renew the lease while this node is eligible, until cancelled or stopped."""
        while not self._is_stopped:
            if self._superseded_generation == self._generation and self._is_candidate:
                # Withdrawing and joining again increases the generation above the
                # superseded one.
                await self._release()
            if self._is_eligible():
                self._is_candidate = True
                await self._renew()
            elif self._is_candidate:
                await self._release()
            await self._clock.sleep(
                datetime.timedelta(seconds=self._duration_s / _RENEWALS_PER_LEASE)
            )

    async def stop(self) -> None:
        """Release the lease.

        If this fails, the successor has to wait until the lease expires.
        """
        self._is_stopped = True
        await self._release()

    async def _release(self) -> None:
        self._is_assigned = False
        self._is_candidate = False
        try:
            await self._election.release()
        except PlatformError as error:
            _log.warning("duty_release_failed", reason=str(error))

    async def _renew(self) -> None:
        asked_at_s = self._clock.monotonic()
        try:
            generation, is_assigned = await self._election.renew(self._generation)
        except PlatformError as error:
            _log.warning(
                "duty_renewal_failed",
                reason=str(error),
                generation=self._generation,
                held=self.is_held,
            )
            return
        if generation > self._generation:
            self._generation = generation
            self._epoch_counter = 0
        if is_assigned and not self.is_held:
            self._held_since_s = self._clock.monotonic()
            _log.info("duty_taken", generation=generation)
        elif self._is_assigned and not is_assigned:
            _log.info("duty_passed_on", generation=generation)
        self._is_assigned = is_assigned
        self._renewed_at_s = asked_at_s
