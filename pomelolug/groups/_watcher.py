"""Watcher of one group: repeated read-back of every member."""

import asyncio
import dataclasses
import math
from collections.abc import Callable, Mapping

import structlog

from pomelolug.clock import Clock
from pomelolug.engines import (
    EngineClient,
    EngineRefusedError,
    EngineStatus,
    EngineUnavailableError,
)
from pomelolug.groups._group import Group, GroupLimits, GroupPhase, Member
from pomelolug.ids import VmId
from pomelolug.messages import GroupStatus

__all__ = ["Evidence", "GroupWatcher", "evidence_against"]

_log = structlog.get_logger()

# Two silent read-backs close the group; one may be a lost packet.
_SILENT_READS = 2
_NOT_VERIFIED = "not verified"


@dataclasses.dataclass(slots=True)
class Evidence:
    """What the watcher knows of one member.

    `verified_at` is the monotonic time before the request of the newest
    read-back that confirmed the member, minus infinity if there is none.
    """

    verified_at: float = -math.inf
    silent: int = 0
    against: str = _NOT_VERIFIED
    status: EngineStatus | None = None


def evidence_against(group: Group, member: Member, status: EngineStatus) -> str:
    """Return why `status` does not confirm the member, or an empty string.

    Examples
    --------
    >>> from pomelolug.ids import FencingToken
    >>> member = Member(vm="vm1", incarnation=1)
    >>> group = Group(id="g", pool="p", model="m", version="1", members=(member,),
    ...               token=FencingToken(7), zone="z", domain="d")
    >>> good = EngineStatus(vm="vm1", incarnation=1, group="g", token=7, model="m",
    ...                     version="1")
    >>> evidence_against(group, member, good)
    ''
    >>> evidence_against(group, member, EngineStatus(vm="vm2", incarnation=1))
    'other identity'
    """
    if status.vm != member.vm:
        return "other identity"
    if status.incarnation != member.incarnation:
        return "other incarnation"
    if status.group != group.id:
        return "other group"
    if status.token != group.token:
        return "other token"
    if (status.model, status.version) != (group.model, group.version):
        return "other model version"
    return ""


class GroupWatcher:
    """Observes one group and publishes its status.

    Parameters
    ----------
    engine : EngineClient
        Access to the members.
    group : Group
        The group at one token; a new token needs a new watcher.
    addresses : mapping of VmId to str
        IP and port of each member; may change while the watcher runs.
    clock : Clock
        Source of time.
    publish : callable
        Takes a `GroupStatus`; called at each change of phase and once in each
        `limits.verify_every`.
    limits : GroupLimits, optional
        Durations.
    draining : callable, optional
        Returns whether the group is to get no new work.
    straggler : callable, optional
        Returns whether the group is slower than its peers.
    violated : callable, optional
        Takes the name of a violated invariant; it counts and logs.
    node : str, optional
        Name of the watching node.
    """

    def __init__(
        self,
        *,
        engine: EngineClient,
        group: Group,
        addresses: Mapping[VmId, str],
        clock: Clock,
        publish: Callable[[GroupStatus], None],
        limits: GroupLimits | None = None,
        draining: Callable[[], bool] = lambda: False,
        straggler: Callable[[], bool] = lambda: False,
        violated: Callable[[str], None] = lambda name: None,
        node: str = "",
    ) -> None:
        self._engine = engine
        self._group = group
        self._addresses = addresses
        self._clock = clock
        self._publish = publish
        self._limits = limits or GroupLimits()
        self._draining = draining
        self._straggler = straggler
        self._violated = violated
        self._node = node
        self._evidence = {member.vm: Evidence() for member in group.members}
        self._has_served = False
        self._phase = GroupPhase.FORMING

    @property
    def group(self) -> Group:
        """The watched group."""
        return self._group

    @property
    def phase(self) -> GroupPhase:
        """Phase at the last publication."""
        return self._phase

    @property
    def evidence(self) -> Mapping[VmId, Evidence]:
        """What is known of each member."""
        return self._evidence

    async def run(self) -> None:
        """Watch until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for member in self._group.members:
                tasks.create_task(self._watch(member))
            while True:
                self._publish(self._status())
                await self._clock.sleep(self._limits.verify_every)

    async def verify_once(self) -> GroupStatus:
        """Read every member back once, publish the status and return it."""
        await asyncio.gather(*(self._verify(m) for m in self._group.members))
        status = self._status()
        self._publish(status)
        return status

    async def _watch(self, member: Member) -> None:
        while True:
            await self._verify(member)
            if self._next_phase() is not self._phase:
                self._publish(self._status())
            if self._evidence[member.vm].silent != 1:
                await self._clock.sleep(self._limits.verify_every)

    async def _verify(self, member: Member) -> None:
        """Read one member back and note the evidence."""
        known = self._evidence[member.vm]
        sent = self._clock.monotonic()
        try:
            address = self._addresses[member.vm]
            status = await self._engine.fetch_status(
                address, timeout=self._limits.verify_timeout
            )
        except KeyError:
            self._note_silence(known, "not in the VM list")
            return
        except EngineUnavailableError:
            self._note_silence(known, "no answer")
            return
        except EngineRefusedError as error:
            known.against = f"refused: {error.reason}"
            return
        known.silent = 0
        known.status = status
        known.against = evidence_against(self._group, member, status)
        if not known.against:
            known.verified_at = sent

    def _note_silence(self, known: Evidence, reason: str) -> None:
        known.silent = min(known.silent + 1, _SILENT_READS)
        if known.silent >= _SILENT_READS:
            known.against = reason

    def _age(self) -> float:
        oldest = min(known.verified_at for known in self._evidence.values())
        return self._clock.monotonic() - oldest

    def _next_phase(self) -> GroupPhase:
        known = list(self._evidence.values())
        fresh = self._age() < self._limits.lease.total_seconds()
        if not fresh or any(k.against for k in known):
            return GroupPhase.BROKEN if self._has_served else GroupPhase.FORMING
        if not all(k.status is not None and k.status.ready for k in known):
            return GroupPhase.LOADING
        if self._draining() or any(k.status and k.status.leaving for k in known):
            return GroupPhase.DRAINING
        return GroupPhase.SERVING

    def _status(self) -> GroupStatus:
        """Return the status to publish; updates the phase."""
        phase = self._checked(self._next_phase())
        if phase is not self._phase:
            _log.info(
                "group_phase",
                group=self._group.id,
                token=self._group.token,
                phase=phase.value,
                evidence=sorted({k.against for k in self._evidence.values()} - {""}),
            )
        self._phase = phase
        if phase in (GroupPhase.SERVING, GroupPhase.DRAINING):
            self._has_served = True
        serves = phase in (GroupPhase.SERVING, GroupPhase.DRAINING)
        leader = self._evidence[self._group.members[0].vm]
        report = leader.status
        known = list(self._evidence.values())
        steps = [k.status.step_time_s for k in known if k.status]
        return GroupStatus(
            group=self._group.id,
            pool=self._group.pool,
            model=self._group.model,
            zone=self._group.zone,
            domain=self._group.domain,
            token=self._group.token,
            phase=phase.value,
            leader=self._addresses.get(self._group.members[0].vm, ""),
            members=self._group.vms,
            addresses=tuple(self._addresses.get(vm, "") for vm in self._group.vms),
            verified_age_s=self._age() if serves else 0.0,
            contradicted=any(
                k.against not in ("", _NOT_VERIFIED) and not k.silent for k in known
            ),
            capacity=report.capacity if report else 0,
            load=report.running + report.waiting if report else 0,
            load_age_s=self._clock.monotonic() - leader.verified_at,
            straggler=self._straggler(),
            step_time_s=max(steps, default=0.0),
            watcher=self._node,
        )

    def _checked(self, phase: GroupPhase) -> GroupPhase:
        """Return `phase`, or BROKEN if it would serve with an unverified member.

        Asserts the invariant that a group serves only while every member is
        present, apart from the code that chose the phase.
        """
        if phase not in (GroupPhase.SERVING, GroupPhase.DRAINING):
            return phase
        limit = self._clock.monotonic() - self._limits.lease.total_seconds()
        for member in self._group.members:
            known = self._evidence[member.vm]
            status = known.status
            if (
                status is None
                or known.verified_at <= limit
                or evidence_against(self._group, member, status)
            ):
                self._violated("serving_with_unverified_member")
                return GroupPhase.BROKEN
        return phase
