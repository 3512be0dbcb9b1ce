"""Choice of the group for the next attempt of a request."""

import datetime

from pomelolug.clock import Clock
from pomelolug.gateway import _endings as endings
from pomelolug.gateway._losses import LossReporter
from pomelolug.gateway._suspicions import Suspicions
from pomelolug.ids import FencingToken, GroupId, PoolId
from pomelolug.messages import GroupStatus
from pomelolug.retries import Containment, RunMode
from pomelolug.routing import RoutingView

__all__ = ["Placement"]

_GROUP_POLL = datetime.timedelta(milliseconds=50)
# After a loss there may be more struck requests than groups: they share groups
# after this time, since a bystander must not wait for all the others in turn.
_SOLO_PATIENCE = datetime.timedelta(seconds=1)
# A request that broke two groups must not reach a third before it is known
# whether they were lost.
_MAX_STRIKES = 2


class Placement:
    """Chooses groups, and keeps struck requests apart from each other.

    Parameters
    ----------
    view : RoutingView
        Replica groups that this gateway may use.
    containment : Containment
        Knows the requests that crash their groups.
    suspicions : Suspicions
        Knows the broken streams whose groups are not decided yet.
    losses : LossReporter
        Tracks requests in flight on each group.
    clock : Clock
        Time source.
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

    def is_struck(self, fingerprint: bytes) -> bool:
        """Return whether the request broke a group, decided or not."""
        struck = self._containment.run_mode(fingerprint) is not RunMode.NORMAL
        return struck or self._suspicions.count(fingerprint) > 0

    def check(self, fingerprint: bytes, *, maybe_ran: bool) -> None:
        """Check that the request may run.

        Raises
        ------
        RequestError
            ``quarantined`` if the losses are confirmed and name this request.
        """
        if self._containment.run_mode(fingerprint) is RunMode.QUARANTINED:
            raise endings.quarantined(maybe_ran=maybe_ran)

    async def choose(
        self,
        pool: PoolId,
        fingerprint: bytes,
        *,
        tried: set[GroupId],
        until: float,
        maybe_ran: bool,
    ) -> GroupStatus | None:
        """Return a group that a packet may leave for now.

        Nothing may be awaited between the return and the dispatch.

        Parameters
        ----------
        pool : PoolId
            Pool of the request.
        fingerprint : bytes
            Digest of the request.
        tried : set of GroupId
            Groups that failed the request; used again if no other is left.
        until : float
            Monotonic time at which waiting for a group ends.
        maybe_ran : bool
            Whether an earlier attempt may have run.

        Returns
        -------
        GroupStatus or None
            None if no group came up in time.

        Raises
        ------
        RequestError
            ``quarantined``.
        """
        alone_until = self._clock.monotonic() + _SOLO_PATIENCE.total_seconds()
        while True:
            self.check(fingerprint, maybe_ran=maybe_ran)
            strikes = self._strikes(fingerprint)
            if strikes < _MAX_STRIKES:
                alone = strikes > 0 and self._clock.monotonic() < alone_until
                group = self._pick(pool, tried, alone=alone)
                if group is not None:
                    return group
            if self._clock.monotonic() >= until:
                return None
            await self._clock.sleep(_GROUP_POLL)

    def _strikes(self, fingerprint: bytes) -> int:
        """Return on how many groups the request broke, undecided ones included."""
        mode = self._containment.run_mode(fingerprint)
        confirmed = 0 if mode is RunMode.NORMAL else 1
        return confirmed + self._suspicions.count(fingerprint)

    def _pick(
        self, pool: PoolId, tried: set[GroupId], *, alone: bool
    ) -> GroupStatus | None:
        exclude: frozenset[GroupId] = frozenset()
        if alone:
            exclude = self._losses.groups_with_suspect()
        group = self._view.choose(pool, exclude=exclude | tried, solo=alone)
        if group is None and tried:
            group = self._view.choose(pool, exclude=exclude, solo=alone)
        if group is None or not group.leader:
            return None
        token = FencingToken(group.token)
        if not self._view.is_dispatchable(GroupId(group.group), token):
            return None
        return group
