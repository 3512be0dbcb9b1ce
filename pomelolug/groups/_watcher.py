"""Watcher of one group, which probes the status of every member."""

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

__all__ = ["GroupWatcher", "MemberObservation", "find_mismatch"]

_log = structlog.get_logger()

# Missed probes in a row after which the group closes; one may be a lost packet.
_MAX_MISSED_PROBES = 2
_NOT_VERIFIED = "not verified"


@dataclasses.dataclass(slots=True)
class MemberObservation:
    """Result of the probes of one member.

    `verified_at_s` is the monotonic time at which the newest probe that confirmed
    the member was sent, minus infinity if there is none. `mismatch` is the reason
    why the member is not confirmed, or an empty string.
    """

    verified_at_s: float = -math.inf
    missed_probes: int = 0
    mismatch: str = _NOT_VERIFIED
    status: EngineStatus | None = None


def find_mismatch(group: Group, member: Member, status: EngineStatus) -> str:
    """Return how `status` differs from what the group expects of `member`.

    The result is an empty string if `status` confirms the member.

    Examples
    --------
    >>> from pomelolug.ids import FencingToken
    >>> member = Member(vm="vm1", incarnation=1)
    >>> group = Group(id="g", pool="p", model="m", version="1", members=(member,),
    ...               token=FencingToken(7), zone="z", domain="d")
    >>> good = EngineStatus(vm="vm1", incarnation=1, group="g", token=7, model="m",
    ...                     version="1")
    >>> find_mismatch(group, member, good)
    ''
    >>> find_mismatch(group, member, EngineStatus(vm="vm2", incarnation=1))
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
    """Probes the members of one group and publishes the status of the group.

    Parameters
    ----------
    engine : EngineClient
        Access to the members.
    group : Group
        The group at one fencing token; a new token needs a new watcher.
    addresses : mapping of VmId to str
        IP and port of each member. May change while the watcher runs.
    clock : Clock
        Source of time.
    publish : callable
        Called with the `GroupStatus` at each change of phase and once in each
        `limits.verify_every`.
    limits : GroupLimits, optional
        Time limits.
    is_draining : callable, optional
        Returns whether the group must get no new work.
    is_straggler : callable, optional
        Returns whether the group is slower than its peers.
    on_violation : callable, optional
        Called with the name of a violated invariant, to count and log it.
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
        is_draining: Callable[[], bool] = lambda: False,
        is_straggler: Callable[[], bool] = lambda: False,
        on_violation: Callable[[str], None] = lambda name: None,
        node: str = "",
    ) -> None:
        self._engine = engine
        self._group = group
        self._addresses = addresses
        self._clock = clock
        self._publish = publish
        self._limits = limits or GroupLimits()
        self._is_draining = is_draining
        self._is_straggler = is_straggler
        self._on_violation = on_violation
        self._node = node
        self._observations = {
            member.vm: MemberObservation() for member in group.members
        }
        self._has_served = False
        self._phase = GroupPhase.FORMING

    @property
    def group(self) -> Group:
        """The watched group."""
        return self._group

    @property
    def phase(self) -> GroupPhase:
        """Phase in the last published status."""
        return self._phase

    @property
    def observations(self) -> Mapping[VmId, MemberObservation]:
        """Probe results of each member."""
        return self._observations

    async def run(self) -> None:
        """Probe the members and publish the status until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for member in self._group.members:
                tasks.create_task(self._watch_member(member))
            while True:
                self._publish(self._update_status())
                await self._clock.sleep(self._limits.verify_every)

    async def verify_once(self) -> GroupStatus:
        """Probe every member once, publish the status and return it."""
        await asyncio.gather(*(self._verify_member(m) for m in self._group.members))
        status = self._update_status()
        self._publish(status)
        return status

    async def _watch_member(self, member: Member) -> None:
        """Probe one member forever; repeat a first missed probe without a wait."""
        while True:
            await self._verify_member(member)
            if self._next_phase() is not self._phase:
                self._publish(self._update_status())
            if self._observations[member.vm].missed_probes != 1:
                await self._clock.sleep(self._limits.verify_every)

    async def _verify_member(self, member: Member) -> None:
        """Probe one member and store the result."""
        observation = self._observations[member.vm]
        sent_at_s = self._clock.monotonic()
        try:
            address = self._addresses[member.vm]
            status = await self._engine.fetch_status(
                address, timeout=self._limits.verify_timeout
            )
        except KeyError:
            self._record_missed_probe(observation, "not in the VM list")
            return
        except EngineUnavailableError:
            self._record_missed_probe(observation, "no response")
            return
        except EngineRefusedError as error:
            observation.mismatch = f"refused: {error.reason}"
            return
        observation.missed_probes = 0
        observation.status = status
        observation.mismatch = find_mismatch(self._group, member, status)
        if not observation.mismatch:
            observation.verified_at_s = sent_at_s

    def _record_missed_probe(self, observation: MemberObservation, reason: str) -> None:
        observation.missed_probes = min(
            observation.missed_probes + 1, _MAX_MISSED_PROBES
        )
        if observation.missed_probes >= _MAX_MISSED_PROBES:
            observation.mismatch = reason

    def _verified_age_s(self) -> float:
        oldest_s = min(
            observation.verified_at_s for observation in self._observations.values()
        )
        return self._clock.monotonic() - oldest_s

    def _next_phase(self) -> GroupPhase:
        observations = list(self._observations.values())
        is_fresh = self._verified_age_s() < self._limits.lease.total_seconds()
        if not is_fresh or any(o.mismatch for o in observations):
            return GroupPhase.BROKEN if self._has_served else GroupPhase.FORMING
        if not all(o.status is not None and o.status.ready for o in observations):
            return GroupPhase.LOADING
        if self._is_draining() or any(
            o.status and o.status.leaving for o in observations
        ):
            return GroupPhase.DRAINING
        return GroupPhase.SERVING

    def _update_status(self) -> GroupStatus:
        """Update the phase, log its change and return the status to publish."""
        phase = self._enforce_verified_members(self._next_phase())
        if phase is not self._phase:
            _log.info(
                "group_phase",
                group=self._group.id,
                token=self._group.token,
                phase=phase.value,
                evidence=sorted(
                    {o.mismatch for o in self._observations.values()} - {""}
                ),
            )
        self._phase = phase
        if phase in (GroupPhase.SERVING, GroupPhase.DRAINING):
            self._has_served = True
        is_open = phase in (GroupPhase.SERVING, GroupPhase.DRAINING)
        leader = self._observations[self._group.members[0].vm]
        leader_status = leader.status
        observations = list(self._observations.values())
        step_times_s = [o.status.step_time_s for o in observations if o.status]
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
            verified_age_s=self._verified_age_s() if is_open else 0.0,
            contradicted=any(
                o.mismatch not in ("", _NOT_VERIFIED) and not o.missed_probes
                for o in observations
            ),
            capacity=leader_status.capacity if leader_status else 0,
            load=leader_status.running + leader_status.waiting if leader_status else 0,
            load_age_s=self._clock.monotonic() - leader.verified_at_s,
            straggler=self._is_straggler(),
            step_time_s=max(step_times_s, default=0.0),
            watcher=self._node,
        )

    def _enforce_verified_members(self, phase: GroupPhase) -> GroupPhase:
        """Return `phase`, or BROKEN if it would serve with an unverified member.

        Checks the invariant that a group serves only while every member is
        verified, independently of the code that chose the phase.
        """
        if phase not in (GroupPhase.SERVING, GroupPhase.DRAINING):
            return phase
        oldest_allowed_s = self._clock.monotonic() - self._limits.lease.total_seconds()
        for member in self._group.members:
            observation = self._observations[member.vm]
            status = observation.status
            if (
                status is None
                or observation.verified_at_s <= oldest_allowed_s
                or find_mismatch(self._group, member, status)
            ):
                self._on_violation("serving_with_unverified_member")
                return GroupPhase.BROKEN
        return phase
