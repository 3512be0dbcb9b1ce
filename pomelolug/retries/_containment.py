"""Containment of requests that crash the groups that run them."""

import datetime
import enum

from pomelolug.clock import Clock
from pomelolug.ids import DomainId, FencingToken, GroupId, VmId
from pomelolug.messages import LossReport
from pomelolug.retries._losses import (
    ContainmentState,
    GroupLoss,
    LossKey,
    RunRestrictions,
    VmLoss,
    compute_restrictions,
)

__all__ = ["Containment", "RunMode"]

_MAX_LOSSES = 512
_MAX_VM_LOSSES = 512
_MAX_FINGERPRINTS = 4096
_MAX_CLEARED = 4096


class RunMode(enum.Enum):
    """How a request may be run.

    A request gets a strike if a group is lost while the request is in flight there,
    or shortly after its stream there broke. A loss that is part of a failure of the
    fabric domain gives no strike. A success in mode `SOLO` clears the strikes. These
    strikes are confirmed; the gateway counts suspected strikes separately.

    `SOLO` means that the request has a strike: for a limited time the gateway sends
    it only to a group on which it runs no other request with a strike.
    `LossReport.solo` means that exactly one of the reported requests had a strike. A
    quarantined request does not run at all.
    """

    NORMAL = "normal"
    SOLO = "solo"
    QUARANTINED = "quarantined"


class Containment:
    """Tracks losses of groups and restricts the requests that may have caused them.

    The restrictions are a function of the set of known losses. The states of several
    nodes can therefore be merged in any order, and the strikes of a loss are revoked
    if it turns out to be part of a failure of the fabric domain.

    Parameters
    ----------
    clock : Clock
        Source of wall time, used to expire old losses and for losses reported
        without a time.
    window : datetime.timedelta
        Time for which a loss is kept.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        window: datetime.timedelta = datetime.timedelta(days=1),
    ) -> None:
        self._clock = clock
        self._window_s = window.total_seconds()
        self._state = ContainmentState()
        self._restrictions: RunRestrictions | None = RunRestrictions()
        self._logged_quarantine: frozenset[bytes] = frozenset()

    def on_loss(
        self, report: LossReport, *, at: datetime.datetime | None = None
    ) -> None:
        """Record a report of the loss of a group.

        Parameters
        ----------
        report : LossReport
            Report of one node; reports of several nodes on one loss are merged.
        at : datetime.datetime, optional
            Wall time of the loss, by default now.
        """
        key = LossKey(GroupId(report.group), FencingToken(report.token))
        loss = GroupLoss(
            domain=DomainId(report.domain),
            at_s=self._wall_time_s(at),
            fingerprints=frozenset(report.fingerprints),
            solo=report.solo,
        )
        self.merge(ContainmentState(losses={key: loss}))

    def on_vm_loss(
        self,
        domain: DomainId,
        vm: VmId,
        *,
        group: GroupId | None = None,
        at: datetime.datetime | None = None,
    ) -> None:
        """Record the loss of a VM.

        If a group of the same fabric domain is lost at about the same time and the VM
        did not belong to it, the loss of the group is attributed to the domain.
        """
        loss = VmLoss(domain, vm, group or GroupId(""), self._wall_time_s(at))
        self.merge(ContainmentState(vm_losses=frozenset({loss})))

    def on_success(
        self, fingerprint: bytes, *, at: datetime.datetime | None = None
    ) -> None:
        """Clear the strikes of a request that succeeded in mode `RunMode.SOLO`."""
        if self.run_mode(fingerprint) is RunMode.SOLO:
            cleared = {fingerprint: self._wall_time_s(at)}
            self.merge(ContainmentState(cleared=cleared))

    def set_logged_quarantine(self, fingerprints: frozenset[bytes]) -> None:
        """Replace the fingerprints that are quarantined according to the log."""
        self._logged_quarantine = fingerprints

    def run_mode(self, fingerprint: bytes) -> RunMode:
        """Return how a request may be run."""
        restrictions = self._current_restrictions()
        if (
            fingerprint in restrictions.quarantined
            or fingerprint in self._logged_quarantine
        ):
            return RunMode.QUARANTINED
        return RunMode.SOLO if fingerprint in restrictions.solo else RunMode.NORMAL

    def quarantined(self) -> frozenset[bytes]:
        """Return the fingerprints that are quarantined due to known losses."""
        return self._current_restrictions().quarantined

    def export(self) -> ContainmentState:
        """Return the state, to be merged by another node."""
        return self._state

    def merge(self, other: ContainmentState) -> None:
        """Merge the state of another node; merging is commutative and idempotent."""
        own = self._state
        losses = dict(own.losses)
        for key, loss in other.losses.items():
            known = losses.get(key)
            losses[key] = loss if known is None else _merge_reports(known, loss)
        cleared = dict(own.cleared)
        for fingerprint, at_s in other.cleared.items():
            cleared[fingerprint] = max(at_s, cleared.get(fingerprint, at_s))
        state = ContainmentState(
            losses=losses,
            vm_losses=own.vm_losses | other.vm_losses,
            cleared=cleared,
        )
        self._state = self._truncate(state)
        self._restrictions = None

    def _current_restrictions(self) -> RunRestrictions:
        if self._restrictions is None:
            self._restrictions = compute_restrictions(self._state)
        return self._restrictions

    def _wall_time_s(self, at: datetime.datetime | None) -> float:
        return (at or self._clock.now()).timestamp()

    def _truncate(self, state: ContainmentState) -> ContainmentState:
        oldest_s = self._clock.now().timestamp() - self._window_s
        losses = sorted(
            (item for item in state.losses.items() if item[1].at_s >= oldest_s),
            key=lambda item: (-item[1].at_s, item[0]),
        )
        vm_losses = sorted(
            (loss for loss in state.vm_losses if loss.at_s >= oldest_s),
            key=lambda loss: (-loss.at_s, loss),
        )
        cleared = sorted(
            (item for item in state.cleared.items() if item[1] >= oldest_s),
            key=lambda item: (-item[1], item[0]),
        )
        return ContainmentState(
            losses=dict(losses[:_MAX_LOSSES]),
            vm_losses=frozenset(vm_losses[:_MAX_VM_LOSSES]),
            cleared=dict(cleared[:_MAX_CLEARED]),
        )


def _merge_reports(one: GroupLoss, other: GroupLoss) -> GroupLoss:
    """Merge two reports of one loss."""
    fingerprints = one.fingerprints | other.fingerprints
    if len(fingerprints) > _MAX_FINGERPRINTS:
        # Keeping the smallest fingerprints makes the result independent of the order
        # in which reports are merged.
        fingerprints = frozenset(sorted(fingerprints)[:_MAX_FINGERPRINTS])
    return GroupLoss(
        domain=min(one.domain, other.domain),
        at_s=min(one.at_s, other.at_s),
        fingerprints=fingerprints,
        solo=one.solo or other.solo,
    )
