"""Decision how a large group is formed again after it has lost a few members.

The decision sends no orders and reads no clock. Small groups need few free servers,
so they use up the survivors of a large group before another member for it is found.
"""

import collections
import dataclasses
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence

from pomelolug.deployment import ModelProfile
from pomelolug.ids import DomainId, ModelName, VmId
from pomelolug.replicas._group_view import GroupKey
from pomelolug.replicas._plan import FreeServer
from pomelolug.replicas._rebalance import OpenGroup

__all__ = [
    "Completion",
    "CompletionState",
    "CompletionStep",
    "GroupCompleter",
    "needs_completion",
    "plan_substitutes",
]

_MAX_REPLACED_SHARE = 0.25
"""Share of a group's members that may be replaced, and that small groups may lose.

A completion then puts at least four times the servers that it takes to use.
"""
_CLOSING_TIMEOUT_S = 10.0
"""Time in which a closed group finishes its requests; most streams take seconds."""
_PAUSE_S = 2.0
"""Time after a completion that took too long until the next one.

The servers are planned as others meanwhile.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Completion:
    """Survivors of a large group, and the servers that replace its lost members."""

    model: ModelProfile
    domain: DomainId
    kept: tuple[VmId, ...]
    """Free servers with the weights, which join no other group meanwhile."""
    replacements: tuple[VmId, ...]
    """Members of the groups to close whose hosts have the weights."""
    groups: tuple[OpenGroup, ...]
    """Groups of smaller models that are closed."""

    @property
    def reserved(self) -> Mapping[VmId, ModelName]:
        """Model for which each server is reserved."""
        return dict.fromkeys(self.kept + self.replacements, self.model.name)


@dataclasses.dataclass(frozen=True, slots=True)
class CompletionState:
    """Servers and groups of one service in one round of the controller.

    Parameters
    ----------
    models : sequence of ModelProfile
        Models of the service.
    groups : sequence of OpenGroup
        Complete open groups whose members may all join other groups.
    free : sequence of FreeServer
        Servers that belong to no group.
    forming : collection of VmId
        Members of the groups that are being formed.
    servers_in_groups : mapping of ModelName to int
        Number of servers in groups of each model.
    servers_needed : mapping of ModelName to float
        Number of servers that the requests of each model need.
    unverified_domains : collection of DomainId
        Domains whose free servers have to answer first, as others were just lost. No
        completion begins there.
    """

    models: Sequence[ModelProfile]
    groups: Sequence[OpenGroup]
    free: Sequence[FreeServer]
    forming: Collection[VmId]
    servers_in_groups: Mapping[ModelName, int]
    servers_needed: Mapping[ModelName, float]
    unverified_domains: Collection[DomainId] = ()

    def supply(self, model: ModelName, removed: int = 0) -> float:
        """Return the servers of a model relative to its need, less `removed` ones."""
        servers = self.servers_in_groups.get(model, 0) - removed
        return servers / self.servers_needed[model]

    def is_acceptable(self, completion: Completion) -> bool:
        """Return whether no other model is then worse supplied than this one is now."""
        removed: collections.Counter[ModelName] = collections.Counter()
        for group in completion.groups:
            removed[group.model] += len(group.members)
        supply = self.supply(completion.model.name)
        return all(
            self.supply(model.name, removed[model.name]) >= supply
            for model in self.models
            if model.name != completion.model.name
        )


@dataclasses.dataclass(frozen=True, slots=True)
class CompletionStep:
    """What to do in one round."""

    reserved: Mapping[VmId, ModelName] = dataclasses.field(default_factory=dict)
    close: tuple[GroupKey, ...] = ()
    """Groups to close and to give up."""


@dataclasses.dataclass(slots=True)
class _Progress:
    completion: Completion
    deadline_s: float


class GroupCompleter:
    """Completes large groups of one service after losses, one at a time.

    A completion replaces a group that was lost, so it never adds to the groups that a
    model had.

    Parameters
    ----------
    on_decision : callable
        Called with the event, its reason and the completion, for logs and metrics.
    """

    def __init__(self, *, on_decision: Callable[[str, str, Completion], None]) -> None:
        self._on_decision = on_decision
        self._progress: _Progress | None = None
        self._paused_until_s = float("-inf")

    def step(self, state: CompletionState, *, now_s: float) -> CompletionStep:
        """Return what to do now.

        Parameters
        ----------
        state : CompletionState
            Servers and groups of the service.
        now_s : float
            Monotonic time in seconds.
        """
        if self._progress is not None:
            reserved = self._advance(self._progress, state, now_s)
            if reserved:
                return CompletionStep(reserved)
        if now_s < self._paused_until_s:
            return CompletionStep()
        return self._begin(state, now_s)

    def _begin(self, state: CompletionState, now_s: float) -> CompletionStep:
        options = filter(state.is_acceptable, _possible_completions(state))
        completion = min(
            options,
            key=lambda option: (
                state.supply(option.model.name),
                len(option.replacements),
                option.domain,
            ),
            default=None,
        )
        if completion is None:
            return CompletionStep()
        self._progress = _Progress(completion, now_s + _CLOSING_TIMEOUT_S)
        self._on_decision("completion_begun", "member_lost", completion)
        keys = tuple(group.key for group in completion.groups)
        return CompletionStep(completion.reserved, keys)

    def _advance(
        self, progress: _Progress, state: CompletionState, now_s: float
    ) -> Mapping[VmId, ModelName]:
        """Return the servers that stay reserved, none if the completion has ended."""
        completion = progress.completion
        free = {server.server.vm for server in state.free}
        if all(vm in state.forming for vm in completion.kept):
            self._end("completion_forming", "complete", now_s)
        elif not all(vm in free for vm in completion.kept):
            self._end("completion_dropped", "survivor_lost", now_s)
        elif now_s >= progress.deadline_s:
            self._end("completion_dropped", "timeout", now_s)
        else:
            return completion.reserved
        return {}

    def _end(self, event: str, reason: str, now_s: float) -> None:
        assert self._progress is not None
        self._on_decision(event, reason, self._progress.completion)
        self._progress = None
        if reason == "timeout":
            self._paused_until_s = now_s + _PAUSE_S


def needs_completion(models: Sequence[ModelProfile]) -> bool:
    """Return whether some model has much smaller groups than another one."""
    return any(_smaller_models(model, models) for model in models)


def plan_substitutes(
    models: Sequence[ModelProfile],
    groups: Iterable[OpenGroup],
    free: Iterable[FreeServer],
) -> list[tuple[VmId, ModelName]]:
    """Return the weights to load beside serving, so that a later loss needs no load.

    In each domain with a large group, one member of a small group holds the weights of
    the large one on its host, unless a free server does.

    Parameters
    ----------
    models : sequence of ModelProfile
        Models of the service.
    groups : iterable of OpenGroup
        Complete open groups.
    free : iterable of FreeServer
        Servers that belong to no group.

    Returns
    -------
    list of tuple
        VM of the server and model to load.
    """
    groups_of, free_in = _by_domain(groups), _free_by_domain(free)
    loads = []
    for model in models:
        smaller = _smaller_models(model, models)
        for domain, local in sorted(groups_of.items()):
            if all(group.model != model.name for group in local):
                continue
            # The order is fixed, as a load that has begun is not seen yet.
            members = [
                member
                for group in sorted(local, key=lambda group: group.key)
                if group.model in smaller
                for member in group.members
            ]
            holders = [*members, *free_in.get(domain, ())]
            if members and all(server.needs_load(model.name) for server in holders):
                loads.append((members[0].server.vm, model.name))
    return loads


def _possible_completions(state: CompletionState) -> list[Completion]:
    groups_of, free_in = _by_domain(state.groups), _free_by_domain(state.free)
    completions = []
    for model in state.models:
        smaller = _smaller_models(model, state.models)
        if not smaller:
            continue
        for domain, local in free_in.items():
            if domain in state.unverified_domains:
                continue
            kept = [s for s in local if not s.needs_load(model.name)]
            missing = model.group_size - len(kept)
            if not 0 < missing <= _MAX_REPLACED_SHARE * model.group_size:
                continue
            donors = [g for g in groups_of.get(domain, ()) if g.model in smaller]
            groups = _choose_donors(model, missing, donors)
            if groups:
                completions.append(_complete(model, kept, missing, groups))
    return completions


def _complete(
    model: ModelProfile,
    kept: Sequence[FreeServer],
    missing: int,
    groups: tuple[OpenGroup, ...],
) -> Completion:
    holders = [vm for group in groups for vm in _holders(group, model)]
    return Completion(
        model=model,
        domain=kept[0].server.domain,
        kept=tuple(server.server.vm for server in kept),
        replacements=tuple(holders[:missing]),
        groups=groups,
    )


def _holders(group: OpenGroup, model: ModelProfile) -> list[VmId]:
    """Return the members of a group whose hosts have the weights of a model."""
    return [m.server.vm for m in group.members if not m.needs_load(model.name)]


def _choose_donors(
    model: ModelProfile, missing: int, groups: Iterable[OpenGroup]
) -> tuple[OpenGroup, ...]:
    """Return small groups with enough hosts that have the weights, empty if too few.

    Those with the most such hosts come first, then those with few requests.
    """
    limit = _MAX_REPLACED_SHARE * model.group_size
    chosen: list[OpenGroup] = []
    found = size = 0
    for group in sorted(
        groups, key=lambda g: (-len(_holders(g, model)), g.in_flight, g.key)
    ):
        if found < missing and size + len(group.members) <= limit:
            chosen.append(group)
            size += len(group.members)
            found += len(_holders(group, model))
    return tuple(chosen) if found >= missing else ()


def _smaller_models(
    model: ModelProfile, models: Iterable[ModelProfile]
) -> frozenset[ModelName]:
    """Return the models of which a group may be given up for a group of a model."""
    limit = _MAX_REPLACED_SHARE * model.group_size
    return frozenset(other.name for other in models if other.group_size <= limit)


def _by_domain(groups: Iterable[OpenGroup]) -> dict[DomainId, list[OpenGroup]]:
    groups_of: dict[DomainId, list[OpenGroup]] = collections.defaultdict(list)
    for group in groups:
        groups_of[group.domain].append(group)
    return groups_of


def _free_by_domain(free: Iterable[FreeServer]) -> dict[DomainId, list[FreeServer]]:
    free_in: dict[DomainId, list[FreeServer]] = collections.defaultdict(list)
    for server in free:
        free_in[server.server.domain].append(server)
    return free_in
