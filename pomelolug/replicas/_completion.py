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
_LOADING_MARGIN_S = 10.0
"""Time beyond the load of the weights at which a completion is dropped."""
_CLOSING_TIMEOUT_S = 10.0
"""Time in which a closed group finishes its requests; most streams take seconds."""
_DROP_MARGIN = 0.8
"""Factor on the comparison of supplies at which a completion is dropped.

The requests in flight vary from one round to the next.
"""
_PAUSE_S = 2.0
"""Time after a completion was dropped for demand or time until the next one.

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
    """Free servers, or members of the groups to close."""
    groups: tuple[OpenGroup, ...]
    """Groups of smaller models that are closed when the replacements have the weights.

    Empty if the replacements are free.
    """
    load_count: int

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

    def is_acceptable(self, completion: Completion, *, margin: float = 1.0) -> bool:
        """Return whether no other model is then worse supplied than this one is now.

        With a margin below 1, others may be worse supplied by that factor.
        """
        removed: collections.Counter[ModelName] = collections.Counter()
        for group in completion.groups:
            removed[group.model] += len(group.members)
        supply = self.supply(completion.model.name)
        return all(
            self.supply(model.name, removed[model.name]) >= margin * supply
            for model in self.models
            if model.name != completion.model.name
        )


@dataclasses.dataclass(frozen=True, slots=True)
class CompletionStep:
    """What to do in one round."""

    reserved: Mapping[VmId, ModelName] = dataclasses.field(default_factory=dict)
    stage: tuple[VmId, ...] = ()
    """Servers that need the weights of `model`."""
    model: ModelName | None = None
    close: tuple[GroupKey, ...] = ()
    """Groups to close and to give up."""


@dataclasses.dataclass(slots=True)
class _Progress:
    completion: Completion
    deadline_s: float
    is_closing: bool = False


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
        if self._progress is None and now_s >= self._paused_until_s:
            self._begin(state, now_s)
        if self._progress is None:
            return CompletionStep()
        return self._advance(self._progress, state, now_s)

    def _begin(self, state: CompletionState, now_s: float) -> None:
        options = filter(state.is_acceptable, _possible_completions(state))
        completion = min(
            options,
            key=lambda option: (
                option.load_count,
                state.supply(option.model.name),
                len(option.replacements),
                option.domain,
            ),
            default=None,
        )
        if completion is None:
            return
        load_s = completion.model.load_time.total_seconds()
        deadline_s = now_s + _LOADING_MARGIN_S
        deadline_s += load_s if completion.load_count else 0.0
        self._progress = _Progress(completion, deadline_s)
        self._on_decision("completion_begun", "member_lost", completion)

    def _advance(
        self, progress: _Progress, state: CompletionState, now_s: float
    ) -> CompletionStep:
        completion = progress.completion
        free = {server.server.vm: server for server in state.free}
        if all(vm in state.forming for vm in completion.kept):
            return self._end("completion_forming", "complete", now_s)
        if not all(vm in free for vm in completion.kept):
            return self._end("completion_dropped", "survivor_lost", now_s)
        if now_s >= progress.deadline_s:
            return self._end("completion_dropped", "timeout", now_s)
        if progress.is_closing:
            return CompletionStep(completion.reserved)
        open_keys = {group.key for group in state.groups}
        if not all(group.key in open_keys for group in completion.groups):
            return self._end("completion_dropped", "group_lost", now_s)
        servers = free | {
            member.server.vm: member
            for group in state.groups
            for member in group.members
        }
        if not all(vm in servers for vm in completion.replacements):
            return self._end("completion_dropped", "replacement_lost", now_s)
        if not state.is_acceptable(completion, margin=_DROP_MARGIN):
            return self._end("completion_dropped", "demand", now_s)
        name = completion.model.name
        missing = tuple(
            vm for vm in completion.replacements if servers[vm].needs_load(name)
        )
        if missing:
            return CompletionStep(completion.reserved, missing, name)
        progress.is_closing = True
        progress.deadline_s = now_s + _CLOSING_TIMEOUT_S
        keys = tuple(group.key for group in completion.groups)
        return CompletionStep(completion.reserved, close=keys)

    def _end(self, event: str, reason: str, now_s: float) -> CompletionStep:
        assert self._progress is not None
        self._on_decision(event, reason, self._progress.completion)
        self._progress = None
        if reason in ("demand", "timeout"):
            self._paused_until_s = now_s + _PAUSE_S
        return CompletionStep()


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
            others = [s for s in local if s.needs_load(model.name)]
            donors = [g for g in groups_of.get(domain, ()) if g.model in smaller]
            for groups in ((), _choose_donors(model, missing, donors)):
                pool = [m for g in groups for m in g.members] if groups else others
                if len(pool) >= missing:
                    completions.append(_complete(model, kept, pool, groups))
    return completions


def _complete(
    model: ModelProfile,
    kept: Sequence[FreeServer],
    pool: Iterable[FreeServer],
    groups: tuple[OpenGroup, ...],
) -> Completion:
    missing = model.group_size - len(kept)
    chosen = sorted(pool, key=lambda s: (s.needs_load(model.name), s.server.vm))
    replacements = chosen[:missing]
    return Completion(
        model=model,
        domain=kept[0].server.domain,
        kept=tuple(server.server.vm for server in kept),
        replacements=tuple(server.server.vm for server in replacements),
        groups=groups,
        load_count=sum(server.needs_load(model.name) for server in replacements),
    )


def _choose_donors(
    model: ModelProfile, missing: int, groups: Iterable[OpenGroup]
) -> tuple[OpenGroup, ...]:
    """Return small groups with enough members, empty if there are too few.

    Those whose hosts have the weights come first, then those with few requests.
    """
    chosen: list[OpenGroup] = []
    count = 0
    for group in sorted(
        groups,
        key=lambda group: (
            all(member.needs_load(model.name) for member in group.members),
            group.in_flight,
            group.key,
        ),
    ):
        size = len(group.members)
        if count < missing and count + size <= _MAX_REPLACED_SHARE * model.group_size:
            chosen.append(group)
            count += size
    return tuple(chosen) if count >= missing else ()


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
