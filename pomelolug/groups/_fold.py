"""State derived from the groups stream: which VM belongs to which group."""

from collections.abc import Mapping, Set
from types import MappingProxyType

from pomelolug.errors import ErrorCode, PeerError
from pomelolug.groups._group import Group, group_from_record
from pomelolug.ids import FencingToken, GroupId, Offset, VmId
from pomelolug.messages import (
    Dissolution,
    Drain,
    Formation,
    GroupsCheckpoint,
    GroupState,
    VmChange,
    decode,
    encode,
)
from pomelolug.state import Fold, Record, RecordKind, VoidRecordError

__all__ = ["GroupsFold"]

# These limits keep a checkpoint within one message of 256 KiB.
_MAX_CHANGES = 2048
_MAX_MEMBERS = 256


class GroupsFold(Fold):
    """Ownership of VMs as a deterministic function of the groups stream.

    A formation record is void, that is, ignored by every node, if a member is
    listed twice, is being drained or is in a live group that the record does not
    replace, or if its base offset is older than the last change of a member or
    of a replaced group.
    """

    def __init__(self) -> None:
        self._formations: dict[GroupId, Formation] = {}
        self._groups: dict[GroupId, Group] = {}
        self._owners: dict[VmId, GroupId] = {}
        self._drained: set[VmId] = set()
        self._changes: dict[VmId, Offset] = {}
        self._floor = Offset(-1)
        self._offset = Offset(-1)

    @property
    def groups(self) -> Mapping[GroupId, Group]:
        """Live groups by id."""
        return MappingProxyType(self._groups)

    @property
    def drained(self) -> Set[VmId]:
        """VMs that an operator is draining."""
        return frozenset(self._drained)

    @property
    def offset(self) -> Offset:
        """Offset of the last record, including void ones; -1 if there is none."""
        return self._offset

    def owner(self, vm: VmId) -> Group | None:
        """Return the live group that owns `vm`, or None if it is free."""
        group_id = self._owners.get(vm)
        return None if group_id is None else self._groups[group_id]

    def last_change(self, vm: VmId) -> Offset:
        """Return the offset of the last change of `vm`, or -1 if there is none.

        For a VM whose change is no longer stored, it is the highest offset of the
        dropped changes.
        """
        return self._changes.get(vm, self._floor)

    def apply(self, record: Record) -> None:
        """Apply the next record of the stream."""
        self._offset = max(self._offset, record.offset)
        try:
            if record.kind is RecordKind.FORMATION:
                self._apply_formation(decode(record.body, Formation), record.offset)
            elif record.kind is RecordKind.DISSOLUTION:
                self._apply_dissolution(decode(record.body, Dissolution), record.offset)
            elif record.kind is RecordKind.DRAIN:
                self._apply_drain(decode(record.body, Drain), record.offset)
            else:
                raise _void_error(
                    f"record kind {record.kind.value} is not allowed in this stream"
                )
        except PeerError as error:
            raise _void_error(str(error)) from error

    def _apply_formation(self, record: Formation, offset: Offset) -> None:
        self._validate_formation(record, offset)
        vms = [VmId(member.vm) for member in record.members]
        inherited = frozenset(vm for vm in vms if self.last_change(vm) >= 0)
        for replaced in record.replaces:
            self._remove_group(GroupId(replaced), offset)
        token = FencingToken(offset)
        group = group_from_record(record, token=token, inherited=inherited)
        self._add_group(record, group)
        for vm in vms:
            self._record_change(vm, offset)

    def _validate_formation(self, record: Formation, offset: Offset) -> None:
        vms = [VmId(member.vm) for member in record.members]
        replaced = set(record.replaces)
        if not vms or len(vms) > _MAX_MEMBERS:
            raise _void_error(
                f"{record.group}: {len(vms)} members, allowed are 1 to {_MAX_MEMBERS}"
            )
        if len(set(vms)) != len(vms):
            raise _void_error(f"{record.group}: a VM is listed twice")
        if record.base >= offset:
            raise _void_error(
                f"{record.group}: base {record.base} is not below offset {offset}"
            )
        if GroupId(record.group) in self._groups and record.group not in replaced:
            raise _void_error(
                f"{record.group}: the group is live and not replaced by the record"
            )
        for group_id in replaced:
            if GroupId(group_id) not in self._groups:
                raise _void_error(
                    f"{record.group}: replaced group {group_id} is not live"
                )
            vms += self._groups[GroupId(group_id)].vms
        for vm in vms:
            if record.base < self.last_change(vm):
                raise _void_error(
                    f"{record.group}: base {record.base} is older than a change of {vm}"
                )
        for member in record.members:
            owner = self._owners.get(VmId(member.vm))
            if owner is not None and owner not in replaced:
                raise _void_error(f"{record.group}: {member.vm} belongs to {owner}")
            if member.vm in self._drained:
                raise _void_error(f"{record.group}: {member.vm} is being drained")

    def _apply_dissolution(self, record: Dissolution, offset: Offset) -> None:
        group = self._groups.get(GroupId(record.group))
        if group is None or group.token != record.token:
            raise _void_error(f"{record.group}: no live group has token {record.token}")
        self._remove_group(group.id, offset)

    def _apply_drain(self, record: Drain, offset: Offset) -> None:
        vm = VmId(record.vm)
        if record.active == (vm in self._drained):
            raise _void_error(f"{vm}: drain is already active={record.active}")
        if record.active:
            self._drained.add(vm)
        else:
            self._drained.discard(vm)
        self._record_change(vm, offset)

    def _add_group(self, record: Formation, group: Group) -> None:
        self._formations[group.id] = record
        self._groups[group.id] = group
        for vm in group.vms:
            self._owners[vm] = group.id

    def _remove_group(self, group_id: GroupId, offset: Offset) -> None:
        del self._formations[group_id]
        for vm in self._groups.pop(group_id).vms:
            del self._owners[vm]
            self._record_change(vm, offset)

    def _record_change(self, vm: VmId, offset: Offset) -> None:
        """Store the offset of a change, and drop the oldest above the limit.

        Insertion order of the dict is the order of offsets.
        """
        self._changes.pop(vm, None)
        self._changes[vm] = offset
        while len(self._changes) > _MAX_CHANGES:
            oldest = next(iter(self._changes))
            self._floor = max(self._floor, self._changes.pop(oldest))

    def dump(self) -> bytes:
        """Return the state as deterministic CBOR."""
        live = sorted(self._groups.values(), key=lambda group: group.token)
        return encode(
            GroupsCheckpoint(
                groups=tuple(
                    GroupState(
                        formation=self._formations[group.id],
                        token=group.token,
                        inherited=tuple(sorted(group.inherited)),
                    )
                    for group in live
                ),
                drained=tuple(sorted(self._drained)),
                changes=tuple(
                    VmChange(vm=vm, offset=offset)
                    for vm, offset in self._changes.items()
                ),
                floor=self._floor,
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the state with that of a checkpoint."""
        state = decode(data, GroupsCheckpoint)
        self._formations, self._groups, self._owners = {}, {}, {}
        for saved in state.groups:
            inherited = frozenset(VmId(vm) for vm in saved.inherited)
            token = FencingToken(saved.token)
            group = group_from_record(saved.formation, token=token, inherited=inherited)
            self._add_group(saved.formation, group)
        self._drained = {VmId(vm) for vm in state.drained}
        self._changes = {VmId(c.vm): Offset(c.offset) for c in state.changes}
        self._floor = Offset(state.floor)
        self._offset = max([self._floor, *self._changes.values()])


def _void_error(message: str) -> VoidRecordError:
    return VoidRecordError(ErrorCode.CONFIGURATION_RACED, message)
