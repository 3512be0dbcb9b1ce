"""Selection of the group for the next attempt of a request."""

import datetime

from pomelolug.clock import Clock
from pomelolug.gateway import _request_errors as request_errors
from pomelolug.gateway._losses import LossReporter
from pomelolug.gateway._suspicions import Suspicions
from pomelolug.ids import FencingToken, GroupId, PoolId
from pomelolug.messages import GroupStatus
from pomelolug.retries import Containment, RunMode
from pomelolug.routing import RoutingView

__all__ = ["Placement"]

_POLL_INTERVAL = datetime.timedelta(milliseconds=50)
# After a loss, more requests may have a strike than there are groups. After this time
# they share groups, because a request that did not cause the loss must not have to wait
# until all the others have run one after another.
_MAX_SOLO_WAIT = datetime.timedelta(seconds=1)
# A request whose stream broke on two groups must not be sent to a third one before it
# is known whether the two groups were lost.
_MAX_STRIKES = 2


class Placement:
    """Chooses the group of each attempt and separates requests with a strike.

    A request has a strike if a group was lost, or may have been lost, while the request
    ran on it.

    Parameters
    ----------
    view : RoutingView
        View of the replica groups that this gateway may use.
    containment : Containment
        Restrictions on requests that may have crashed their groups.
    suspicions : Suspicions
        Broken streams whose groups are not yet known to be lost or intact.
    losses : LossReporter
        Tracker of the requests in flight on each group.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(
        self,
        *,
        view: RoutingView,
        containment: Containment,
        suspicions: Suspicions,
        losses: LossReporter,
        clock: Clock,
    ) -> None:
        self._view = view
        self._containment = containment
        self._suspicions = suspicions
        self._losses = losses
        self._clock = clock

    def has_strike(self, fingerprint: bytes) -> bool:
        """Return whether the request has a confirmed or a suspected strike."""
        has_confirmed_strike = (
            self._containment.run_mode(fingerprint) is not RunMode.NORMAL
        )
        return has_confirmed_strike or self._suspicions.count(fingerprint) > 0

    def check_not_quarantined(self, fingerprint: bytes, *, maybe_ran: bool) -> None:
        """Check that the request is not quarantined.

        Raises
        ------
        RequestError
            ``quarantined`` if the request is quarantined because of confirmed losses.
        """
        if self._containment.run_mode(fingerprint) is RunMode.QUARANTINED:
            raise request_errors.quarantined(maybe_ran=maybe_ran)

    async def choose(
        self,
        pool: PoolId,
        fingerprint: bytes,
        *,
        failed_groups: set[GroupId],
        wait_until_s: float,
        maybe_ran: bool,
    ) -> GroupStatus | None:
        """Wait for a group to which the request may be sent now, and return it.

        The caller must not await anything before it sends the request.

        Parameters
        ----------
        pool : PoolId
            Pool of the request.
        fingerprint : bytes
            Digest of the request.
        failed_groups : set of GroupId
            Groups on which the request failed; chosen only if no other is usable.
        wait_until_s : float
            Monotonic time until which to wait for a group, in seconds.
        maybe_ran : bool
            Whether an earlier attempt may have run the request.

        Returns
        -------
        GroupStatus or None
            None if no group became usable in time.

        Raises
        ------
        RequestError
            ``quarantined`` if the request is or becomes quarantined.
        """
        solo_until_s = self._clock.monotonic() + _MAX_SOLO_WAIT.total_seconds()
        while True:
            self.check_not_quarantined(fingerprint, maybe_ran=maybe_ran)
            strikes = self._count_strikes(fingerprint)
            if strikes < _MAX_STRIKES:
                solo = strikes > 0 and self._clock.monotonic() < solo_until_s
                group = self._choose_now(pool, failed_groups, solo=solo)
                if group is not None:
                    return group
            if self._clock.monotonic() >= wait_until_s:
                return None
            await self._clock.sleep(_POLL_INTERVAL)

    def _count_strikes(self, fingerprint: bytes) -> int:
        """Return the number of strikes, confirmed (counted as one) and suspected."""
        mode = self._containment.run_mode(fingerprint)
        confirmed = 0 if mode is RunMode.NORMAL else 1
        return confirmed + self._suspicions.count(fingerprint)

    def _choose_now(
        self, pool: PoolId, failed_groups: set[GroupId], *, solo: bool
    ) -> GroupStatus | None:
        exclude: frozenset[GroupId] = frozenset()
        if solo:
            exclude = self._losses.groups_running_suspects()
        group = self._view.choose(pool, exclude=exclude | failed_groups, solo=solo)
        if group is None and failed_groups:
            group = self._view.choose(pool, exclude=exclude, solo=solo)
        if group is None or not group.leader:
            return None
        token = FencingToken(group.token)
        if not self._view.is_dispatchable(GroupId(group.group), token):
            return None
        return group
