"""Who forms groups: one node at a time, as the store assigns the duty."""

import abc
import datetime
from collections.abc import Callable

import structlog

from pomelolug.clock import Clock
from pomelolug.errors import PlatformError

__all__ = ["DutyHolder", "DutySource"]

_log = structlog.get_logger(__name__)

_RENEWALS = 3
"""Renewals in one lease, so that one lost answer does not end it."""
_EPOCHS = 1_000_000
"""Epochs that one generation of the duty's assignment may use."""


class DutySource(abc.ABC):
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


class DutyHolder:
    """Keeps this node's claim on the duty and numbers its orders.

    Fencing tokens grow with the generation that the store assigns, so those of
    a successor are above all of its predecessors without a write of its own.

    Parameters
    ----------
    source : DutySource
        The store.
    clock : Clock
        Clock that goes on while the VM is suspended.
    candidate : callable
        Returns whether this node should take the duty if it is free.
    lease : datetime.timedelta
        Time after the last renewal at which the duty may pass to another node.
    """

    def __init__(
        self,
        *,
        source: DutySource,
        clock: Clock,
        lease: datetime.timedelta,
        candidate: Callable[[], bool] = lambda: True,
    ) -> None:
        self._source = source
        self._candidate = candidate
        self._joined = False
        self._clock = clock
        self._lease_s = lease.total_seconds()
        self._generation = 0
        self._refused_generation = -1
        self._counter = 0
        self._assigned = False
        self._renewed_at = float("-inf")
        self._since: float | None = None
        self._stopped = False

    @property
    def held(self) -> bool:
        """Whether this node holds the duty now.

        The lease counts from before the request that renewed it.
        """
        age_s = self._clock.monotonic() - self._renewed_at
        current = self._generation > self._refused_generation
        return (
            self._assigned and current and not self._stopped and age_s < self._lease_s
        )

    @property
    def joined(self) -> bool:
        """Whether this node stands for the duty."""
        return self._joined

    @property
    def since(self) -> float:
        """Monotonic time at which the node took the duty, in seconds."""
        return self._since if self._since is not None else self._clock.monotonic()

    @property
    def generation(self) -> int:
        """Generation of the assignment."""
        return self._generation

    @property
    def fence(self) -> int:
        """Fencing token for orders that form no group."""
        return self._generation * _EPOCHS + self._counter

    def next_epoch(self) -> int:
        """Return the fencing token of a new group."""
        self._counter += 1
        return self.fence

    def superseded(self) -> None:
        """Stop giving orders after a server has seen a higher fencing token.

        Another node has taken the duty; a later generation may give it back.
        """
        if self.held:
            _log.warning("duty_superseded", generation=self._generation)
        self._refused_generation = self._generation

    async def run(self) -> None:
        """Renew the claim until cancelled."""
        while not self._stopped:
            if self._refused_generation == self._generation and self._joined:
                # Joining anew brings a generation above the one that was refused.
                await self._give_back()
            if self._candidate():
                self._joined = True
                await self._renew()
            elif self._joined:
                await self._give_back()
            await self._clock.sleep(
                datetime.timedelta(seconds=self._lease_s / _RENEWALS)
            )

    async def stop(self) -> None:
        """Give the duty back; a failure to do so only delays the successor."""
        self._stopped = True
        await self._give_back()

    async def _give_back(self) -> None:
        self._assigned = False
        self._joined = False
        try:
            await self._source.release()
        except PlatformError as error:
            _log.warning("duty_release_failed", reason=str(error))

    async def _renew(self) -> None:
        asked_at = self._clock.monotonic()
        try:
            generation, assigned = await self._source.renew(self._generation)
        except PlatformError as error:
            _log.warning(
                "duty_renewal_failed",
                reason=str(error),
                generation=self._generation,
                held=self.held,
            )
            return
        if generation > self._generation:
            self._generation = generation
            self._counter = 0
        if assigned and not self.held:
            self._since = self._clock.monotonic()
            _log.info("duty_taken", generation=generation)
        elif self._assigned and not assigned:
            _log.info("duty_passed_on", generation=generation)
        self._assigned = assigned
        self._renewed_at = asked_at
