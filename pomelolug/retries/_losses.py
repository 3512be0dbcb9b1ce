"""Losses of groups, and the strikes that follow from them.

Everything here is a pure function of a set of losses, so that nodes that have
the same losses reach the same verdicts in whatever order they learned of them.
"""

import collections
from collections.abc import Iterable, Mapping

import msgspec

from pomelolug.ids import DomainId, FencingToken, GroupId, VmId

__all__ = [
    "DOMAIN_EVENT_WINDOW_S",
    "ContainmentState",
    "GroupLoss",
    "LossKey",
    "RunRestrictions",
    "VmLoss",
    "compute_restrictions",
]

# Gateways do not agree on isolated groups beforehand, so that the second run of
# a request may share its group with another struck one and prove nothing. The
# third loss in a row ends it in any case: no request may cost more groups.
MAX_LOSSES_PER_REQUEST = 3
DOMAIN_EVENT_WINDOW_S = 5.0
"""Losses in one fabric domain closer than this belong to one event, seconds."""


class LossKey(msgspec.Struct, frozen=True, order=True):
    """Identity of the loss of a group: one formation is lost once."""

    group: GroupId
    token: FencingToken


class GroupLoss(msgspec.Struct, frozen=True, kw_only=True):
    """Loss of a group, joined from the reports of all nodes.

    `at_s` is the earliest reported wall time in seconds since 1970.
    `fingerprints` are the requests that were in flight from any gateway. `solo`
    tells whether a gateway had sent a request there in isolation.
    """

    domain: DomainId
    at_s: float
    fingerprints: frozenset[bytes]
    solo: bool = False


class VmLoss(msgspec.Struct, frozen=True, order=True):
    """Loss of one VM; `group` is empty if it belonged to none."""

    domain: DomainId
    vm: VmId
    group: GroupId
    at_s: float


class ContainmentState(msgspec.Struct, frozen=True, kw_only=True):
    """All that containment knows; two states can be merged in any order.

    `cleared` holds the wall time, in seconds since 1970, of the last isolated
    run of a request that ended well.
    """

    losses: dict[LossKey, GroupLoss] = {}
    vm_losses: frozenset[VmLoss] = frozenset()
    cleared: dict[bytes, float] = {}


class RunRestrictions(msgspec.Struct, frozen=True, kw_only=True):
    """Requests that have a strike, and those that are quarantined."""

    solo: frozenset[bytes] = frozenset()
    quarantined: frozenset[bytes] = frozenset()


def compute_restrictions(state: ContainmentState) -> RunRestrictions:
    """Return the verdicts that follow from `state`.

    Parameters
    ----------
    state : ContainmentState
        Known losses and cleared requests.

    Returns
    -------
    RunRestrictions
        The same for equal states.
    """
    solo: set[bytes] = set()
    struck_at: dict[bytes, float] = {}
    strikes: collections.Counter[bytes] = collections.Counter()
    quarantined: set[bytes] = set()
    losses_by_time = sorted(
        state.losses.items(), key=lambda item: (item[1].at_s, item[0])
    )
    for key, loss in losses_by_time:
        if _is_domain_event(key, loss, state.losses, state.vm_losses):
            continue
        suspects = {
            fingerprint
            for fingerprint in loss.fingerprints
            if fingerprint in struck_at
            and _has_open_strike(fingerprint, struck_at[fingerprint], loss.at_s, state)
        }
        if loss.solo and len(suspects) == 1:
            quarantined |= suspects
        for fingerprint in loss.fingerprints:
            earlier_strikes = strikes[fingerprint] if fingerprint in suspects else 0
            strikes[fingerprint] = earlier_strikes + 1
            if strikes[fingerprint] >= MAX_LOSSES_PER_REQUEST:
                quarantined.add(fingerprint)
            struck_at[fingerprint] = loss.at_s
    for fingerprint, at_s in struck_at.items():
        if at_s > state.cleared.get(fingerprint, float("-inf")):
            solo.add(fingerprint)
    return RunRestrictions(solo=frozenset(solo), quarantined=frozenset(quarantined))


def _has_open_strike(
    fingerprint: bytes, struck_at_s: float, now_s: float, state: ContainmentState
) -> bool:
    """Return whether a strike was not cleared before a later loss."""
    cleared_s = state.cleared.get(fingerprint)
    return cleared_s is None or not struck_at_s < cleared_s <= now_s


def _is_domain_event(
    key: LossKey,
    loss: GroupLoss,
    losses: Mapping[LossKey, GroupLoss],
    vm_losses: Iterable[VmLoss],
) -> bool:
    """Return whether a loss is attributed to the fabric domain."""
    for other_key, other in losses.items():
        if other_key.group != key.group and _is_same_event(
            loss, other.domain, other.at_s
        ):
            return True
    return any(
        vm.group != key.group and _is_same_event(loss, vm.domain, vm.at_s)
        for vm in vm_losses
    )


def _is_same_event(loss: GroupLoss, domain: DomainId, at_s: float) -> bool:
    """Return whether something lost at `at_s` belongs to the event of `loss`."""
    return domain == loss.domain and abs(at_s - loss.at_s) <= DOMAIN_EVENT_WINDOW_S
