"""Formation policies: disjoint proposals, few weight loads and no stranded groups."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pomelolug.configuration import Pool
from pomelolug.groups import (
    BestFitWithSpare,
    DissolveProposal,
    FirstFit,
    FormationSnapshot,
    FormProposal,
    Group,
    Member,
    RepairInPlace,
    VmView,
)

POOL = Pool(name="p", model="m", members=3)
POLICIES = [FirstFit(), BestFitWithSpare(), RepairInPlace()]


def view(number, *, is_usable=True, has_weights=False, incarnation=1):
    return VmView(
        vm=f"v{number:02}",
        zone="z",
        domain="d",
        incarnation=incarnation,
        is_usable=is_usable,
        held_models=frozenset({"m"} if has_weights else ()),
    )


def group(name, numbers, *, token=1):
    members = tuple(Member(vm=f"v{n:02}", incarnation=1) for n in numbers)
    return Group(
        id=name,
        pool="p",
        model="m",
        version="1",
        members=members,
        token=token,
        zone="z",
        domain="d",
    )


def snapshot(vms, groups=(), broken=()):
    return FormationSnapshot(
        vms=vms, groups=list(groups), broken=frozenset(broken), pools=[POOL]
    )


def vms_of(proposal):
    return [member.vm for member in proposal.members]


@given(
    st.lists(st.booleans(), min_size=1, max_size=14),
    st.lists(st.booleans(), min_size=14, max_size=14),
    st.lists(st.booleans(), min_size=2, max_size=2),
)
@pytest.mark.parametrize("policy", POLICIES, ids=lambda p: type(p).__name__)
def test_proposals_are_disjoint_and_use_only_usable_vms(policy, usable, held, lost):
    views = [view(n, is_usable=u, has_weights=held[n]) for n, u in enumerate(usable)]
    groups = [group("g0", [0, 1, 2]), group("g1", [3, 4, 5], token=2)]
    broken = {g.id for g, is_lost in zip(groups, lost, strict=True) if is_lost}
    proposals = policy.propose(snapshot(views, groups, broken))
    formed = [p for p in proposals if isinstance(p, FormProposal)]
    used = [vm for p in formed for vm in vms_of(p)]
    assert len(used) == len(set(used))
    assert set(used) <= {v.vm for v in views if v.is_usable}
    ended = [name for p in formed for name in p.replaces]
    ended += [p.group.id for p in proposals if isinstance(p, DissolveProposal)]
    assert len(ended) == len(set(ended))
    assert set(ended) <= broken
    assert all(len(p.members) == POOL.members for p in formed)


def test_repair_keeps_survivors_and_prefers_vms_with_weights():
    views = [
        view(0),
        view(1, is_usable=False),
        view(2),
        view(3),
        view(4, has_weights=True),
    ]
    (repair,) = RepairInPlace().propose(snapshot(views, [group("g", [0, 1, 2])], ["g"]))
    assert vms_of(repair) == ["v00", "v02", "v04"]
    assert repair.replaces == ("g",)


def test_two_broken_groups_without_free_vms_are_merged():
    views = [view(n, is_usable=n not in (1, 4, 5)) for n in range(6)]
    groups = [group("g", [0, 1, 2]), group("h", [3, 4, 5], token=2)]
    (repair,) = RepairInPlace().propose(snapshot(views, groups, ["g", "h"]))
    assert vms_of(repair) == ["v00", "v02", "v03"]
    assert repair.replaces == ("g", "h")


def test_spare_vm_stays_free_once_the_domain_has_a_group():
    views = [view(n) for n in range(6)]
    assert len(FirstFit().propose(snapshot(views))) == 2
    assert len(BestFitWithSpare().propose(snapshot(views))) == 1
