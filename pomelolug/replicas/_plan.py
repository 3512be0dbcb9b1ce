"""Which groups to form of free servers, and which weights spares hold.

Plain functions of what is known; they place no orders.
"""

import collections
import dataclasses
from collections.abc import Iterable, Mapping, Sequence

from pomelolug.deployment import BackendServer, ModelProfile
from pomelolug.ids import DomainId, ModelName, VmId

__all__ = ["FreeServer", "NewGroup", "plan_groups", "plan_staging"]

_SURPLUS = 1.5
"""Part of its fair share of servers above which a model gets no new group.

A group of a model with enough of them would take the servers that another
model's next repair needs.
"""


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
        return 1 if model in self.server.staged else 2


@dataclasses.dataclass(frozen=True, slots=True)
class NewGroup:
    """A group to form; the first member is the head."""

    model: ModelProfile
    members: tuple[FreeServer, ...]

    @property
    def loads(self) -> int:
        """Members that have to load from the weight store."""
        return sum(m.readiness(self.model.name) == 2 for m in self.members)


def plan_groups(
    free: Iterable[FreeServer],
    models: Sequence[ModelProfile],
    in_groups: Mapping[ModelName, int],
) -> list[NewGroup]:
    """Return the groups to form, those that are ready soonest first.

    Parameters
    ----------
    free : iterable of FreeServer
        Servers that no group has.
    models : sequence of ModelProfile
        Models with their sizes and shares of the servers.
    in_groups : mapping of ModelName to int
        Servers that groups of each model have already.

    Returns
    -------
    list of NewGroup
        Groups without a common server, each inside one fabric domain.
    """
    by_domain: dict[DomainId, list[FreeServer]] = collections.defaultdict(list)
    for candidate in free:
        by_domain[candidate.server.domain].append(candidate)
    counts = dict(in_groups)
    total = sum(counts.values()) + sum(len(c) for c in by_domain.values())
    groups: list[NewGroup] = []
    while True:
        options = [
            (model, domain)
            for domain, candidates in by_domain.items()
            for model in models
            if model.size <= len(candidates) and _wanted(model, models, counts, total)
        ]
        if not options:
            break
        model, domain = min(
            options,
            key=lambda o: (
                counts.get(o[0].name, 0) / max(o[0].share, 1e-9),
                -o[0].size,
                _cost(o[0], by_domain[o[1]]),
                o[1],
            ),
        )
        members = _choose(model, by_domain[domain])
        taken = {m.server.vm for m in members}
        by_domain[domain] = [c for c in by_domain[domain] if c.server.vm not in taken]
        counts[model.name] = counts.get(model.name, 0) + model.size
        groups.append(NewGroup(model, members))
    return sorted(groups, key=lambda group: group.loads)


def plan_staging(
    spares: Iterable[FreeServer],
    models: Sequence[ModelProfile],
    groups: Mapping[DomainId, Sequence[ModelName]],
) -> list[tuple[VmId, ModelName]]:
    """Return the loads that prepare spare servers for the next repair.

    In each domain the spares hold the models of its groups in turn, the model
    whose groups have most servers first, since these lose a member most often.
    """
    by_domain: dict[DomainId, list[FreeServer]] = collections.defaultdict(list)
    for spare in spares:
        by_domain[spare.server.domain].append(spare)
    loads: list[tuple[VmId, ModelName]] = []
    for domain, candidates in sorted(by_domain.items()):
        wanted = _wanted_weights(len(candidates), models, groups.get(domain, ()))
        rest = sorted(candidates, key=lambda c: c.server.vm)
        missing: list[ModelName] = []
        for model in wanted:
            holder = next((c for c in rest if c.readiness(model) < 2), None)
            if holder is None:
                missing.append(model)
            else:
                rest.remove(holder)
        loads += [(c.server.vm, m) for c, m in zip(rest, missing, strict=False)]
    return loads


def _wanted_weights(
    spares: int, models: Sequence[ModelProfile], present: Sequence[ModelName]
) -> list[ModelName]:
    """Return the models that the spares of a domain should hold."""
    members = {m.name: m.size * max(present.count(m.name), 0) for m in models}
    if not any(members.values()):
        members = {m.name: m.size for m in models}
    held: dict[ModelName, int] = dict.fromkeys(members, 0)
    wanted: list[ModelName] = []
    for _ in range(spares):
        # Highest-averages division of the spares by the members at risk.
        model = max(members, key=lambda name: members[name] / (2 * held[name] + 1))
        held[model] += 1
        wanted.append(model)
    return wanted


def _wanted(
    model: ModelProfile,
    models: Sequence[ModelProfile],
    counts: Mapping[ModelName, int],
    total: int,
) -> bool:
    shares = sum(m.share for m in models) or 1.0
    fair = total * model.share / shares
    return counts.get(model.name, 0) + model.size <= max(
        _SURPLUS * fair, float(model.size)
    )


def _cost(model: ModelProfile, candidates: Sequence[FreeServer]) -> int:
    """Return the loads that a group of the candidates needs."""
    ready = sorted(c.readiness(model.name) for c in candidates)
    return sum(r == 2 for r in ready[: model.size])


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
    return tuple(ordered[: model.size])
