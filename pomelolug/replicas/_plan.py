"""Which groups to form of free servers, and which weights spares hold.

Plain functions of what is known; they place no orders.
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

_SURPLUS = 1.5
"""Servers of a model, relative to the need, above which none load for it.

They stay spares that hold the weights of the groups around them.
"""
_ENOUGH = 1.2
_SHORT = 0.8
"""Servers relative to the need: a model above the first takes none of the free ones
while another is below the second.
"""
_GROUP_FILL = 0.5
"""Part of its slots to which a group is filled at a good latency."""
_LEAST_PART = 0.5
"""Part of the declared share that a model needs even when idle."""
_UNLOADED = 2


@dataclasses.dataclass(frozen=True, slots=True)
class FreeServer:
    """A server that may join a group.

    `last_model` is the model of its last group, whose weights are still in
    memory; it joins another group of this model at once.
    """

    server: BackendServer
    last_model: ModelName | None

    def readiness(self, model: ModelName) -> int:
        """Return 0 if it can join at once, 1 from its host, 2 after a load."""
        if self.last_model == model:
            return 0
        return 1 if model in self.server.staged else _UNLOADED


@dataclasses.dataclass(frozen=True, slots=True)
class NewGroup:
    """A group to form; the first member is the head."""

    model: ModelProfile
    members: tuple[FreeServer, ...]

    @property
    def loads(self) -> int:
        """Members that have to load from the weight store."""
        return sum(m.readiness(self.model.name) == _UNLOADED for m in self.members)


def needed_servers(
    models: Sequence[ModelProfile],
    in_flight: Mapping[ModelName, int],
    *,
    slots: int,
    servers: int,
) -> dict[ModelName, float]:
    """Return how many servers of each model's groups the present work needs.

    A model never needs less than half of its declared part, so that a lull does
    not give its servers away.

    Parameters
    ----------
    models : sequence of ModelProfile
        Models with their sizes and shares of the servers.
    in_flight : mapping of ModelName to int
        Requests at the groups of each model.
    slots : int
        Requests that one group runs at once.
    servers : int
        Servers of the service that can be in groups.
    """
    shares = sum(m.work_share for m in models) or 1.0
    needed: dict[ModelName, float] = {}
    for model in models:
        declared = servers * model.work_share / shares
        groups = in_flight.get(model.name, 0) / (_GROUP_FILL * max(slots, 1))
        needed[model.name] = max(
            groups * model.group_size, _LEAST_PART * declared, 1e-6
        )
    return needed


def plan_groups(
    free: Iterable[FreeServer],
    models: Sequence[ModelProfile],
    in_groups: Mapping[ModelName, int],
    needed: Mapping[ModelName, float],
    *,
    loading: bool,
) -> list[NewGroup]:
    """Return the groups to form, those without loads first.

    Parameters
    ----------
    free : iterable of FreeServer
        Servers that no group has.
    models : sequence of ModelProfile
        Models with their sizes and shares of the servers.
    in_groups : mapping of ModelName to int
        Servers that groups of each model have already.
    needed : mapping of ModelName to float
        Servers that the work on each model needs.
    loading : bool
        Whether members may load from the weight store when they join. Otherwise
        they wait in no group until they have the weights, and can still complete
        another one.

    Returns
    -------
    list of NewGroup
        Groups without a common server, each inside one fabric domain.
    """
    by_domain: dict[DomainId, list[FreeServer]] = collections.defaultdict(list)
    for candidate in free:
        by_domain[candidate.server.domain].append(candidate)
    counts = dict(in_groups)
    groups: list[NewGroup] = []
    while True:
        options = [
            (model, domain)
            for domain, candidates in by_domain.items()
            for model in models
            if _fits(model, candidates, loading)
            and not _yields(model, models, counts, needed)
        ]
        if not options:
            break
        model, domain = min(
            options,
            key=lambda o: (
                counts.get(o[0].name, 0) / needed[o[0].name],
                -o[0].group_size,
                _loads(o[0], by_domain[o[1]]),
                o[1],
            ),
        )
        members = _choose(model, by_domain[domain])
        taken = {m.server.vm for m in members}
        by_domain[domain] = [c for c in by_domain[domain] if c.server.vm not in taken]
        counts[model.name] = counts.get(model.name, 0) + model.group_size
        groups.append(NewGroup(model, members))
    return sorted(groups, key=lambda group: group.loads > 0)


def plan_staging(
    spares: Iterable[FreeServer],
    models: Sequence[ModelProfile],
    groups: Mapping[DomainId, Sequence[ModelName]],
    in_groups: Mapping[ModelName, int],
    needed: Mapping[ModelName, float],
) -> list[tuple[VmId, ModelName]]:
    """Return the loads that prepare free servers, the most useful first.

    Loads that complete a group come first. Otherwise the spares of a domain hold
    the models of its groups in turn, the model whose groups have most servers
    first, since these lose a member most often.
    """
    by_domain: dict[DomainId, list[FreeServer]] = collections.defaultdict(list)
    for spare in spares:
        by_domain[spare.server.domain].append(spare)
    counts = dict(in_groups)
    completing: list[tuple[VmId, ModelName]] = []
    preparing: list[tuple[VmId, ModelName]] = []
    for domain, candidates in sorted(by_domain.items()):
        rest = sorted(candidates, key=lambda c: c.server.vm)
        while (model := _next_to_complete(rest, models, counts, needed)) is not None:
            members = _choose(model, rest)
            completing += [
                (m.server.vm, model.name)
                for m in members
                if m.readiness(model.name) == _UNLOADED
            ]
            counts[model.name] = counts.get(model.name, 0) + model.group_size
            rest = [c for c in rest if c not in members]
        preparing += _prepare(rest, models, groups.get(domain, ()))
    return completing + preparing


def plan_second_weights(
    spares: Iterable[FreeServer], models: Sequence[ModelProfile]
) -> list[tuple[VmId, ModelName]]:
    """Return the loads by which spares hold one model in memory, another staged.

    Such a spare repairs a group of either model without a load.
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


def _next_to_complete(
    candidates: Sequence[FreeServer],
    models: Sequence[ModelProfile],
    counts: Mapping[ModelName, int],
    needed: Mapping[ModelName, float],
) -> ModelProfile | None:
    """Return the model of which the candidates make the next group."""
    fitting = [
        m
        for m in models
        if m.group_size <= len(candidates)
        and counts.get(m.name, 0) < _SURPLUS * needed[m.name]
    ]
    return min(
        fitting,
        key=lambda m: (_loads(m, candidates), counts.get(m.name, 0) / needed[m.name]),
        default=None,
    )


def _prepare(
    spares: list[FreeServer],
    models: Sequence[ModelProfile],
    present: Sequence[ModelName],
) -> list[tuple[VmId, ModelName]]:
    rest = list(spares)
    missing: list[ModelName] = []
    for model in _wanted_weights(len(spares), models, present):
        holder = next((c for c in rest if c.readiness(model) < _UNLOADED), None)
        if holder is None:
            missing.append(model)
        else:
            rest.remove(holder)
    return [(c.server.vm, m) for c, m in zip(rest, missing, strict=False)]


def _wanted_weights(
    spares: int, models: Sequence[ModelProfile], present: Sequence[ModelName]
) -> list[ModelName]:
    """Return the models that the spares of a domain should hold."""
    members = {m.name: m.group_size * max(present.count(m.name), 0) for m in models}
    if not any(members.values()):
        members = {m.name: m.group_size for m in models}
    held: dict[ModelName, int] = dict.fromkeys(members, 0)
    wanted: list[ModelName] = []
    for _ in range(spares):
        # Highest-averages division of the spares by the members at risk.
        model = max(members, key=lambda name: members[name] / (2 * held[name] + 1))
        held[model] += 1
        wanted.append(model)
    return wanted


def _yields(
    model: ModelProfile,
    models: Sequence[ModelProfile],
    counts: Mapping[ModelName, int],
    needed: Mapping[ModelName, float],
) -> bool:
    """Return whether a model with enough servers leaves the free ones to another."""
    ratios = {m.name: counts.get(m.name, 0) / needed[m.name] for m in models}
    return ratios[model.name] >= _ENOUGH and min(ratios.values()) < _SHORT


def _fits(model: ModelProfile, candidates: Sequence[FreeServer], loading: bool) -> bool:
    if loading:
        return model.group_size <= len(candidates)
    ready = sum(c.readiness(model.name) < _UNLOADED for c in candidates)
    return model.group_size <= ready


def _loads(model: ModelProfile, candidates: Sequence[FreeServer]) -> int:
    """Return the loads that a group of the candidates needs."""
    ready = sorted(c.readiness(model.name) for c in candidates)
    return sum(r == _UNLOADED for r in ready[: model.group_size])


def _choose(
    model: ModelProfile, candidates: Sequence[FreeServer]
) -> tuple[FreeServer, ...]:
    """Return the members that are ready soonest.

    Among servers that are equally ready, those without other weights go first,
    which leaves spares that hold the weights of another model.
    """
    ordered = sorted(
        candidates,
        key=lambda c: (
            c.readiness(model.name),
            bool(c.server.staged - {model.name}),
            c.server.vm,
        ),
    )
    return tuple(ordered[: model.group_size])
