"""Who forms groups: one node at a time, as the store assigns the duty."""

import abc
import datetime
from collections.abc import Callable

import structlog

from pomelolug.clock import Clock
from pomelolug.errors import PlatformError

__all__ = ["ControllerElection", "ControllerLease"]

_log = structlog.get_logger(__name__)

_RENEWALS_PER_LEASE = 3
"""Renewals in one lease, so that one lost answer does not end it."""
_EPOCHS_PER_GENERATION = 1_000_000
"""Epochs that one generation of the duty's assignment may use."""


class ControllerElection(abc.ABC):
    """Assigns the duty of forming groups."""

    @abc.abstractmethod
    async def renew(self, generation: int) -> tuple[int, bool]:
        """Return the generation of the assignment and whether this node holds it.

        Raises
        ------
        PlatformError
            If the store does not answer.
        """

    @abc.abstractmethod
    async def release(self) -> None:
        """Give the duty back."""


class ControllerLease:
    """Keeps this node's claim on the duty and numbers its orders.

    Fencing tokens grow with the generation that the store assigns, so those of
    a successor are above all of its predecessors without a write of its own.

    Parameters
    ----------
    election : ControllerElection
        The store.
    clock : Clock
        Clock that goes on while the VM is suspended.
    is_eligible : callable
        Returns whether this node should take the duty if it is free.
    duration : datetime.timedelta
        Time after the last renewal at which the duty may pass to another node.
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
        """Whether this node holds the duty now.

        The lease counts from before the request that renewed it.
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
        """Whether this node stands for the duty."""
        return self._is_candidate

    @property
    def held_since_s(self) -> float:
        """Monotonic time at which the node took the duty, in seconds."""
        return (
            self._held_since_s
            if self._held_since_s is not None
            else self._clock.monotonic()
        )

    @property
    def generation(self) -> int:
        """Generation of the assignment."""
        return self._generation

    @property
    def fencing_token(self) -> int:
        """Fencing token for orders that form no group."""
        return self._generation * _EPOCHS_PER_GENERATION + self._epoch_counter

    def next_epoch(self) -> int:
        """Return the fencing token of a new group."""
        self._epoch_counter += 1
        return self.fencing_token

    def mark_superseded(self) -> None:
        """Stop giving orders after a server has seen a higher fencing token.

        Another node has taken the duty; a later generation may give it back.
        """
        if self.is_held:
            _log.warning("duty_superseded", generation=self._generation)
        self._superseded_generation = self._generation

    async def run(self) -> None:
        """Renew the claim until cancelled."""
        while not self._is_stopped:
            if self._superseded_generation == self._generation and self._is_candidate:
                # Joining anew brings a generation above the one that was refused.
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
        """Give the duty back; a failure to do so only delays the successor."""
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
