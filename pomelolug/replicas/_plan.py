"""Planning of new groups and of the weights that spare servers hold.

The functions have no side effects and send no orders.
"""

import collections
import dataclasses
from collections.abc import Iterable, Mapping, Sequence

from pomelolug.deployment import BackendServer, ModelProfile
from pomelolug.ids import DomainId, ModelName, VmId

__all__ = [
    "FreeServer",
    "NewGroup",
    "needed_servers",
    "plan_groups",
    "plan_second_weights",
    "plan_staging",
]

_SURPLUS_RATIO = 1.5
"""Servers of a model relative to its need at which no more load weights for it.

They remain spares that hold the weights of the groups in their domain.
"""
_SUFFICIENT_RATIO = 1.2
_SHORTAGE_RATIO = 0.8
"""Servers relative to the need: a model at or above the first ratio gets no free
servers while another model is below the second.
"""
_TARGET_SLOT_UTILIZATION = 0.5
"""Fraction of a group's slots that can be in use at a good latency."""
_MIN_SHARE_FRACTION = 0.5
"""Fraction of its declared share that a model needs even when idle."""
_NEEDS_LOAD = 2
"""Cost of joining a group for a server that has to load weights first."""


@dataclasses.dataclass(frozen=True, slots=True)
class FreeServer:
    """A server that is free to join a group.

    `last_model` is the model of its last group. Its weights are still in memory,
    so the server can join another group of this model without a delay.
    """

    server: BackendServer
    last_model: ModelName | None

    def join_cost(self, model: ModelName) -> int:
        """Return how slowly the server can join a group of a model.

        Returns
        -------
        int
            0 if the weights are in memory, 1 if they are staged on the host, 2 if
            they have to be loaded from the weight store.
        """
        if self.last_model == model:
            return 0
        return 1 if model in self.server.staged else _NEEDS_LOAD

    def needs_load(self, model: ModelName) -> bool:
        """Return whether the server has to load a model from the weight store."""
        return self.join_cost(model) == _NEEDS_LOAD


@dataclasses.dataclass(frozen=True, slots=True)
class NewGroup:
    """A group to form; the first member is the head."""

    model: ModelProfile
    members: tuple[FreeServer, ...]

    @property
    def load_count(self) -> int:
        """Number of members that have to load from the weight store."""
        return sum(m.join_cost(self.model.name) == _NEEDS_LOAD for m in self.members)


def needed_servers(
    models: Sequence[ModelProfile],
    in_flight: Mapping[ModelName, float],
    *,
    slots: int,
    server_count: int,
) -> dict[ModelName, float]:
    """Return how many servers each model needs for its current requests.

    A model always needs at least half of its declared share, so that it keeps
    servers when it is idle for a while.

    Parameters
    ----------
    models : sequence of ModelProfile
        Models with their sizes and shares of the servers.
    in_flight : mapping of ModelName to float
        Number of requests in flight at the groups of each model, or their mean.
    slots : int
        Number of requests that one group runs concurrently.
    server_count : int
        Number of servers of the service that can be in groups.
    """
    total_share = sum(m.work_share for m in models) or 1.0
    needed: dict[ModelName, float] = {}
    for model in models:
        declared_servers = server_count * model.work_share / total_share
        busy_groups = in_flight.get(model.name, 0) / (
            _TARGET_SLOT_UTILIZATION * max(slots, 1)
        )
        needed[model.name] = max(
            busy_groups * model.group_size, _MIN_SHARE_FRACTION * declared_servers, 1e-6
        )
    return needed


def plan_groups(
    free: Iterable[FreeServer],
    models: Sequence[ModelProfile],
    servers_in_groups: Mapping[ModelName, int],
    servers_needed: Mapping[ModelName, float],
    *,
    allow_loads: bool,
) -> list[NewGroup]:
    """Return the groups to form, those that need no load first.

    Parameters
    ----------
    free : iterable of FreeServer
        Servers that belong to no group.
    models : sequence of ModelProfile
        Models with their sizes and shares of the servers.
    servers_in_groups : mapping of ModelName to int
        Number of servers that are already in groups of each model.
    servers_needed : mapping of ModelName to float
        Number of servers that the requests of each model need.
    allow_loads : bool
        Whether members may load from the weight store after they have joined.
        Otherwise servers without the weights stay outside of groups until they
        have loaded them, and can still complete another group.

    Returns
    -------
    list of NewGroup
        Disjoint groups, each within one fabric domain.
    """
    by_domain: dict[DomainId, list[FreeServer]] = collections.defaultdict(list)
    for candidate in free:
        by_domain[candidate.server.domain].append(candidate)
    server_counts = dict(servers_in_groups)
    groups: list[NewGroup] = []
    while True:
        options = [
            (model, domain)
            for domain, candidates in by_domain.items()
            for model in models
            if _can_form(model, candidates, allow_loads)
            and not _should_yield(model, models, server_counts, servers_needed)
        ]
        if not options:
            break
        model, domain = min(
            options,
            key=lambda option: (
                server_counts.get(option[0].name, 0) / servers_needed[option[0].name],
                -option[0].group_size,
                _count_loads(option[0], by_domain[option[1]]),
                option[1],
            ),
        )
        members = _choose_members(model, by_domain[domain])
        taken = {m.server.vm for m in members}
        by_domain[domain] = [c for c in by_domain[domain] if c.server.vm not in taken]
        server_counts[model.name] = server_counts.get(model.name, 0) + model.group_size
        groups.append(NewGroup(model, members))
    return sorted(groups, key=lambda group: group.load_count > 0)


def plan_staging(
    spares: Iterable[FreeServer],
    models: Sequence[ModelProfile],
    models_by_domain: Mapping[DomainId, Sequence[ModelName]],
    servers_in_groups: Mapping[ModelName, int],
    servers_needed: Mapping[ModelName, float],
) -> list[tuple[VmId, ModelName]]:
    """Return the weights to load onto free servers, in order of priority.

    Loads that complete a group come first. The remaining spares of a domain are
    divided among the models of its groups in proportion to the number of members,
    because groups with more members lose one more often.

    Parameters
    ----------
    spares : iterable of FreeServer
        Servers that belong to no group.
    models : sequence of ModelProfile
        Models with their sizes and shares of the servers.
    models_by_domain : mapping of DomainId to sequence of ModelName
        Model of each group in a fabric domain.
    servers_in_groups : mapping of ModelName to int
        Number of servers that are already in groups of each model.
    servers_needed : mapping of ModelName to float
        Number of servers that the requests of each model need.

    Returns
    -------
    list of tuple
        VM of the server and model to load.
    """
    by_domain: dict[DomainId, list[FreeServer]] = collections.defaultdict(list)
    for spare in spares:
        by_domain[spare.server.domain].append(spare)
    server_counts = dict(servers_in_groups)
    completing: list[tuple[VmId, ModelName]] = []
    preparing: list[tuple[VmId, ModelName]] = []
    for domain, candidates in sorted(by_domain.items()):
        remaining = sorted(candidates, key=lambda c: c.server.vm)
        while (
            model := _next_model_to_complete(
                remaining, models, server_counts, servers_needed
            )
        ) is not None:
            members = _choose_members(model, remaining)
            completing += [
                (m.server.vm, model.name)
                for m in members
                if m.join_cost(model.name) == _NEEDS_LOAD
            ]
            server_counts[model.name] = (
                server_counts.get(model.name, 0) + model.group_size
            )
            remaining = [c for c in remaining if c not in members]
        preparing += _plan_spare_loads(
            remaining, models, models_by_domain.get(domain, ())
        )
    return completing + preparing


def plan_second_weights(
    spares: Iterable[FreeServer], models: Sequence[ModelProfile]
) -> list[tuple[VmId, ModelName]]:
    """Return the loads after which spares have a second model staged.

    A spare with one model in memory and another staged can replace a member of a
    group of either model without a load.
    """
    loads = []
    for spare in spares:
        if spare.last_model is None or spare.server.staged - {spare.last_model}:
            continue
        others = [m for m in models if m.name != spare.last_model]
        if others:
            best = max(others, key=lambda m: m.work_share)
            loads.append((spare.server.vm, best.name))
    return loads


def _next_model_to_complete(
    candidates: Sequence[FreeServer],
    models: Sequence[ModelProfile],
    server_counts: Mapping[ModelName, int],
    servers_needed: Mapping[ModelName, float],
) -> ModelProfile | None:
    """Return the model of the next group that the candidates can complete.

    It is the one that needs the fewest loads, and among these the one with the
    fewest servers relative to its need.
    """
    fitting = [
        m
        for m in models
        if m.group_size <= len(candidates)
        and server_counts.get(m.name, 0) < _SURPLUS_RATIO * servers_needed[m.name]
    ]
    return min(
        fitting,
        key=lambda m: (
            _count_loads(m, candidates),
            server_counts.get(m.name, 0) / servers_needed[m.name],
        ),
        default=None,
    )


def _plan_spare_loads(
    spares: list[FreeServer],
    models: Sequence[ModelProfile],
    group_models: Sequence[ModelName],
) -> list[tuple[VmId, ModelName]]:
    remaining = list(spares)
    missing: list[ModelName] = []
    for model in _wanted_models(len(spares), models, group_models):
        holder = next((c for c in remaining if c.join_cost(model) < _NEEDS_LOAD), None)
        if holder is None:
            missing.append(model)
        else:
            remaining.remove(holder)
    return [(c.server.vm, m) for c, m in zip(remaining, missing, strict=False)]


def _wanted_models(
    spare_count: int, models: Sequence[ModelProfile], group_models: Sequence[ModelName]
) -> list[ModelName]:
    """Return the models that the spares of a domain should hold."""
    members = {
        m.name: m.group_size * max(group_models.count(m.name), 0) for m in models
    }
    if not any(members.values()):
        members = {m.name: m.group_size for m in models}
    spares_with: dict[ModelName, int] = dict.fromkeys(members, 0)
    wanted: list[ModelName] = []
    for _ in range(spare_count):
        # Highest-averages apportionment of the spares by the number of members
        # that can be lost.
        model = max(
            members, key=lambda name: members[name] / (2 * spares_with[name] + 1)
        )
        spares_with[model] += 1
        wanted.append(model)
    return wanted


def _should_yield(
    model: ModelProfile,
    models: Sequence[ModelProfile],
    server_counts: Mapping[ModelName, int],
    servers_needed: Mapping[ModelName, float],
) -> bool:
    """Return whether a model has enough servers while another is short of them."""
    ratios = {
        m.name: server_counts.get(m.name, 0) / servers_needed[m.name] for m in models
    }
    return (
        ratios[model.name] >= _SUFFICIENT_RATIO
        and min(ratios.values()) < _SHORTAGE_RATIO
    )


def _can_form(
    model: ModelProfile, candidates: Sequence[FreeServer], allow_loads: bool
) -> bool:
    if allow_loads:
        return model.group_size <= len(candidates)
    ready = sum(c.join_cost(model.name) < _NEEDS_LOAD for c in candidates)
    return model.group_size <= ready


def _count_loads(model: ModelProfile, candidates: Sequence[FreeServer]) -> int:
    """Return how many loads a group of the candidates needs."""
    join_costs = sorted(c.join_cost(model.name) for c in candidates)
    return sum(r == _NEEDS_LOAD for r in join_costs[: model.group_size])


def _choose_members(
    model: ModelProfile, candidates: Sequence[FreeServer]
) -> tuple[FreeServer, ...]:
    """Return the candidates that can join a group of a model soonest.

    Among equal candidates, those without weights of other models come first, so
    that the remaining spares hold weights of other models.
    """
    ordered = sorted(
        candidates,
        key=lambda c: (
            c.join_cost(model.name),
            bool(c.server.staged - {model.name}),
            c.server.vm,
        ),
    )
    return tuple(ordered[: model.group_size])
