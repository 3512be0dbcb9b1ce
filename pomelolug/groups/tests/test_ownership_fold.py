"""Ownership of VMs is exclusive and equal on all nodes."""

import datetime

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pomelolug.groups import GroupsFold
from pomelolug.messages import Dissolution, Drain, Formation, GroupMember, encode
from pomelolug.state import Record, RecordKind, VoidRecordError

_STAMP = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
_KINDS = {
    Formation: RecordKind.FORMATION,
    Dissolution: RecordKind.DISSOLUTION,
    Drain: RecordKind.DRAIN,
}


def record(offset, message):
    return Record(
        offset=offset,
        timestamp=_STAMP,
        kind=_KINDS[type(message)],
        author="node:a",
        nonce=offset.to_bytes(4),
        body=encode(message),
    )


def formation(group, vms, *, base, replaces=()):
    return Formation(
        group=group,
        pool="p",
        model="m",
        version="1",
        members=tuple(GroupMember(vm=vm, incarnation=1) for vm in vms),
        zone="z",
        domain="d",
        base=base,
        replaces=tuple(replaces),
    )


def folded(*messages):
    fold = GroupsFold()
    for offset, message in enumerate(messages):
        fold.apply(record(offset, message))
    return fold


def test_token_is_the_offset_of_the_formation():
    fold = folded(Drain(vm="x"), formation("g", ["a", "b"], base=0))
    assert fold.groups["g"].token == 1
    assert fold.owner("a").id == "g"
    assert fold.groups["g"].inherited == frozenset()


@pytest.mark.parametrize(
    "void",
    [
        formation("h", ["b", "c"], base=0),
        formation("h", ["c", "c"], base=0),
        formation("h", [], base=0),
        formation("g", ["c", "d"], base=0),
        formation("h", ["c"], base=0, replaces=["unknown"]),
        formation("g", ["a", "c"], base=-1, replaces=["g"]),
        formation("h", ["c"], base=1),
        Dissolution(group="g", token=5),
        Drain(vm="a", active=False),
    ],
    ids=lambda m: type(m).__name__,
)
def test_void_record_changes_nothing(void):
    fold = folded(formation("g", ["a", "b"], base=-1))
    before = fold.dump()
    with pytest.raises(VoidRecordError):
        fold.apply(record(1, void))
    assert fold.dump() == before


def test_formation_with_a_base_before_a_drain_is_void():
    fold = folded(Drain(vm="a"), Drain(vm="a", active=False))
    with pytest.raises(VoidRecordError):
        fold.apply(record(2, formation("g", ["a"], base=0)))
    fold.apply(record(3, formation("g", ["a"], base=2)))
    assert fold.groups["g"].inherited == {"a"}


def test_repair_replaces_two_groups_in_one_record():
    fold = folded(
        formation("g", ["a", "b"], base=-1),
        formation("h", ["c", "d"], base=0),
        formation("g", ["a", "c"], base=1, replaces=["g", "h"]),
    )
    assert list(fold.groups) == ["g"]
    assert fold.groups["g"].token == 2
    assert fold.owner("b") is None
    assert fold.owner("d") is None
    assert fold.last_change("d") == 2


def test_changes_are_bounded_and_formations_with_old_bases_stay_void(monkeypatch):
    monkeypatch.setattr("pomelolug.groups._fold._MAX_CHANGES", 4)
    fold = folded(*(Drain(vm=f"vm{n}") for n in range(8)))
    assert fold.last_change("vm0") == 3
    with pytest.raises(VoidRecordError):
        fold.apply(record(8, formation("g", ["new"], base=2)))


_vms = st.lists(st.sampled_from("abcdef"), min_size=1, max_size=3)
_messages = st.one_of(
    st.builds(
        formation,
        st.sampled_from(["g", "h", "i"]),
        _vms,
        base=st.integers(-1, 30),
        replaces=st.lists(st.sampled_from(["g", "h", "i"]), max_size=2, unique=True),
    ),
    st.builds(Dissolution, group=st.sampled_from(["g", "h"]), token=st.integers(0, 30)),
    st.builds(Drain, vm=st.sampled_from("abcdef"), active=st.booleans()),
)


@given(st.lists(_messages, max_size=30), st.integers(0, 30))
def test_ownership_is_exclusive_and_survives_a_checkpoint(messages, cut):
    straight, resumed = GroupsFold(), GroupsFold()
    for offset, message in enumerate(messages):
        if offset == cut:
            restored = GroupsFold()
            restored.restore(resumed.dump())
            resumed = restored
        for fold in (straight, resumed):
            try:
                fold.apply(record(offset, message))
            except VoidRecordError:
                pass
        vms = [vm for group in straight.groups.values() for vm in group.vms]
        assert len(vms) == len(set(vms))
        assert straight.dump() == resumed.dump()
        assert straight.groups == resumed.groups
