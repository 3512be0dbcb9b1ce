"""Losses of groups and the run restrictions that follow from them.

A request that was in flight on a lost group gets a strike. The restrictions are a
pure function of the set of losses, so nodes that know the same losses compute the
same restrictions, regardless of the order in which they learned of them.
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

# Gateways do not coordinate solo runs, so a request with a strike may run on the same
# group as another one; if that group is lost, it is unknown which of them caused it.
# The third consecutive loss therefore quarantines a request in any case, which bounds
# the number of groups that one request can crash.
MAX_LOSSES_PER_REQUEST = 3
DOMAIN_EVENT_WINDOW_S = 5.0
"""Maximum time between losses of one fabric domain that form one event, in seconds."""


class LossKey(msgspec.Struct, frozen=True, order=True):
    """Identity of a loss: each formation of a group is lost at most once."""

    group: GroupId
    token: FencingToken


class GroupLoss(msgspec.Struct, frozen=True, kw_only=True):
    """Loss of a group, merged from the reports of all nodes.

    `at_s` is the earliest reported wall time, in seconds since 1970. `fingerprints`
    identifies the requests that any gateway had in flight on the group. `solo` tells
    whether exactly one of the requests in any one report had a strike.
    """

    domain: DomainId
    at_s: float
    fingerprints: frozenset[bytes]
    solo: bool = False


class VmLoss(msgspec.Struct, frozen=True, order=True):
    """Loss of a VM; `group` is empty if the VM belonged to no group."""

    domain: DomainId
    vm: VmId
    group: GroupId
    at_s: float


class ContainmentState(msgspec.Struct, frozen=True, kw_only=True):
    """State of the containment; states can be merged in any order.

    `cleared` maps the fingerprint of a request to the wall time, in seconds since
    1970, of its last successful solo run.
    """

    losses: dict[LossKey, GroupLoss] = {}
    vm_losses: frozenset[VmLoss] = frozenset()
    cleared: dict[bytes, float] = {}


class RunRestrictions(msgspec.Struct, frozen=True, kw_only=True):
    """Requests restricted to solo runs, and requests that are quarantined."""

    solo: frozenset[bytes] = frozenset()
    quarantined: frozenset[bytes] = frozenset()


def compute_restrictions(state: ContainmentState) -> RunRestrictions:
    """Return the run restrictions that follow from `state`.

    Losses that belong to a failure of the fabric domain are ignored. A request is
    quarantined if it was the only one with an earlier strike in a lost solo run, or
    after `MAX_LOSSES_PER_REQUEST` consecutive losses.

    Parameters
    ----------
    state : ContainmentState
        Known losses and cleared requests.

    Returns
    -------
    RunRestrictions
        Equal for equal states.
    """
    solo: set[bytes] = set()
    last_strike_at_s: dict[bytes, float] = {}
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
            if fingerprint in last_strike_at_s
            and _has_open_strike(
                fingerprint, last_strike_at_s[fingerprint], loss.at_s, state
            )
        }
        if loss.solo and len(suspects) == 1:
            quarantined |= suspects
        for fingerprint in loss.fingerprints:
            earlier_strikes = strikes[fingerprint] if fingerprint in suspects else 0
            strikes[fingerprint] = earlier_strikes + 1
            if strikes[fingerprint] >= MAX_LOSSES_PER_REQUEST:
                quarantined.add(fingerprint)
            last_strike_at_s[fingerprint] = loss.at_s
    for fingerprint, at_s in last_strike_at_s.items():
        if at_s > state.cleared.get(fingerprint, float("-inf")):
            solo.add(fingerprint)
    return RunRestrictions(solo=frozenset(solo), quarantined=frozenset(quarantined))


def _has_open_strike(
    fingerprint: bytes, strike_at_s: float, now_s: float, state: ContainmentState
) -> bool:
    """Return whether a strike had not been cleared by the time of a later loss."""
    cleared_s = state.cleared.get(fingerprint)
    return cleared_s is None or not strike_at_s < cleared_s <= now_s


def _is_domain_event(
    key: LossKey,
    loss: GroupLoss,
    losses: Mapping[LossKey, GroupLoss],
    vm_losses: Iterable[VmLoss],
) -> bool:
    """Return whether a loss is part of a failure of its fabric domain."""
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
    """Return whether a loss in `domain` at `at_s` is part of the event of `loss`."""
    return domain == loss.domain and abs(at_s - loss.at_s) <= DOMAIN_EVENT_WINDOW_S
