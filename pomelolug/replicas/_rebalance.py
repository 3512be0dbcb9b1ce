"""Decision which groups of a model are given up for another model of a service.

The decision sends no orders and reads no clock. A conversion first stages the weights
of the other model on the hosts of serving groups, which costs callers nothing, and
closes these groups only if the shortage has outlasted that.
"""

import collections
import dataclasses
import math
from collections.abc import Callable, Iterable, Mapping, Sequence

from pomelolug.deployment import EngineProfile, ModelProfile
from pomelolug.ids import DomainId, ModelName, VmId, ZoneId
from pomelolug.replicas._group_view import GroupKey
from pomelolug.replicas._plan import FreeServer, needed_servers

__all__ = [
    "Conversion",
    "DemandHistory",
    "OpenGroup",
    "Rebalancer",
    "RebalanceStep",
    "ServiceState",
]

_MEAN_TIME_S = 5.0
"""Time constant of the mean of the requests in flight, some times an answer."""
_PEAK_TIME_S = 60.0
"""Time constant with which a peak is forgotten, several times a conversion.

A model whose demand comes and goes within it keeps its groups.
"""
_SHORTAGE_RATIO = 1.0
"""Servers of a model relative to its need below which it is short of servers."""
_RELIEVED_RATIO = 1.1
"""The same ratio at which a shortage has ended."""
_STAGING_AFTER_S = 4.0
"""Duration of a shortage after which weights are staged for a conversion."""
_CLOSING_AFTER_S = 15.0
"""Duration of a shortage after which groups are closed.

About as long as a conversion takes, so that a shorter burst closes no group.
"""
_PAUSE_S = 10.0
"""Time between two conversions, in which the effect of the first one shows."""
_STAGING_MARGIN_S = 20.0
"""Time beyond two loads at which an unfinished conversion is dropped."""
_LOSS_PERIOD_S = 10.0
"""Time in which losses of servers are counted together."""
_LOSS_SHARE = 0.05
"""Share of the servers whose loss within that time stops conversions."""


class DemandHistory:
    """Mean and recent peak of the requests in flight of each model."""

    def __init__(self) -> None:
        self._mean: dict[ModelName, float] = {}
        self._peak: dict[ModelName, float] = {}
        self._updated_at_s: float | None = None

    @property
    def mean(self) -> Mapping[ModelName, float]:
        """Mean number of requests in flight of the last seconds."""
        return self._mean

    @property
    def peak(self) -> Mapping[ModelName, float]:
        """Highest mean, which is forgotten within about a minute."""
        return self._peak

    def update(self, in_flight: Mapping[ModelName, int], *, now_s: float) -> None:
        """Add the current number of requests in flight of each model.

        Parameters
        ----------
        in_flight : mapping of ModelName to int
            Requests in flight at the groups of each model.
        now_s : float
            Monotonic time in seconds.
        """
        last_s = now_s if self._updated_at_s is None else self._updated_at_s
        self._updated_at_s = now_s
        mean_weight = 1.0 - math.exp(-(now_s - last_s) / _MEAN_TIME_S)
        peak_weight = 1.0 - math.exp(-(now_s - last_s) / _PEAK_TIME_S)
        for model in {*self._mean, *in_flight}:
            current = in_flight.get(model, 0)
            mean = self._mean.get(model, float(current))
            mean += mean_weight * (current - mean)
            peak = self._peak.get(model, mean)
            peak += peak_weight * (mean - peak)
            self._mean[model] = mean
            self._peak[model] = max(peak, mean)


@dataclasses.dataclass(frozen=True, slots=True)
class OpenGroup:
    """A complete open group and the requests in flight at its head."""

    key: GroupKey
    model: ModelName
    zone: ZoneId
    domain: DomainId
    in_flight: int
    members: tuple[FreeServer, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceState:
    """Servers and groups of one service in one round of the controller.

    Parameters
    ----------
    groups : sequence of OpenGroup
        Complete open groups whose members may all join other groups.
    servers_in_groups : mapping of ModelName to int
        Number of servers in groups of each model.
    free : sequence of FreeServer
        Servers that belong to no group.
    server_count : int
        Number of servers of the service that can be in groups.
    hindrance : str
        Why no conversion may begin, no weights may be staged for it and no group may
        be closed now, or empty.
    """

    groups: Sequence[OpenGroup]
    servers_in_groups: Mapping[ModelName, int]
    free: Sequence[FreeServer]
    server_count: int
    hindrance: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Conversion:
    """Groups of one fabric domain that are given up for another model."""

    source: ModelName
    target: ModelName
    groups: tuple[OpenGroup, ...]

    @property
    def keys(self) -> tuple[GroupKey, ...]:
        """Keys of the groups to give up."""
        return tuple(group.key for group in self.groups)

    @property
    def missing_weights(self) -> tuple[VmId, ...]:
        """Members that have to load the weights of the target model."""
        return tuple(
            member.server.vm
            for group in self.groups
            for member in group.members
            if member.needs_load(self.target)
        )


@dataclasses.dataclass(slots=True)
class _Progress:
    conversion: Conversion
    deadline_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RebalanceStep:
    """What to do in one round."""

    stage: tuple[VmId, ...] = ()
    """Members that need the weights of `target`."""
    target: ModelName | None = None
    close: tuple[GroupKey, ...] = ()
    """Groups to close and to give up."""


class Rebalancer:
    """Decides on conversions of groups of one service, one at a time.

    Parameters
    ----------
    on_decision : callable
        Called with the event, its reason and the conversion, for logs and metrics.
    """

    def __init__(self, *, on_decision: Callable[[str, str, Conversion], None]) -> None:
        self._on_decision = on_decision
        self._demand = DemandHistory()
        self._progress: _Progress | None = None
        self._waiting_for = ""
        self._short_since_s: dict[ModelName, float] = {}
        self._paused_until_s = float("-inf")
        self._server_counts: collections.deque[tuple[float, int]] = collections.deque()

    @property
    def demand(self) -> DemandHistory:
        """Requests in flight of each model."""
        return self._demand

    @property
    def waiting_for(self) -> str:
        """What a model with a lasting shortage waits for, empty if for nothing.

        A hindrance of the last step, ``pause`` or ``surplus`` of another model.
        """
        return self._waiting_for

    def observe(
        self, in_flight: Mapping[ModelName, int], *, server_count: int, now_s: float
    ) -> None:
        """Record the requests in flight and the number of usable servers."""
        self._demand.update(in_flight, now_s=now_s)
        counts = self._server_counts
        while counts and counts[0][0] < now_s - _LOSS_PERIOD_S:
            counts.popleft()
        # Only counts that a later one does not exceed can be the maximum.
        while counts and counts[-1][1] <= server_count:
            counts.pop()
        counts.append((now_s, server_count))

    def step(
        self, state: ServiceState, engine: EngineProfile, *, now_s: float
    ) -> RebalanceStep:
        """Return what to do now, after `observe`.

        Parameters
        ----------
        state : ServiceState
            Servers and groups of the service.
        engine : EngineProfile
            Models of the service and their slots.
        now_s : float
            Monotonic time in seconds.
        """
        needed = _ServersNeeded.of(engine, self._demand, state)
        self._record_shortages(engine.models, needed, now_s)
        hindrance = state.hindrance or ("losses" if self._has_losses() else "")
        if self._progress is not None:
            return self._advance(
                self._progress, state, engine, needed, hindrance, now_s
            )
        self._waiting_for = ""
        if any(self._is_lasting(model.name, now_s) for model in engine.models):
            is_paused = now_s < self._paused_until_s
            self._waiting_for = hindrance or ("pause" if is_paused else "")
            if self._waiting_for:
                return RebalanceStep()
            conversion = self._choose(state, engine, needed, now_s)
            if conversion is None:
                self._waiting_for = "surplus"
            else:
                target = _find(engine, conversion.target)
                margin_s = 2 * target.load_time.total_seconds() + _STAGING_MARGIN_S
                self._progress = _Progress(conversion, now_s + margin_s)
                self._on_decision("conversion_staging", "shortage", conversion)
        return RebalanceStep()

    def _has_losses(self) -> bool:
        counts = self._server_counts
        return bool(counts) and counts[-1][1] < (1 - _LOSS_SHARE) * counts[0][1]

    def _record_shortages(
        self, models: Iterable[ModelProfile], needed: "_ServersNeeded", now_s: float
    ) -> None:
        for model in models:
            ratio = needed.ratio(model.name)
            if ratio >= _RELIEVED_RATIO:
                self._short_since_s.pop(model.name, None)
            elif ratio < _SHORTAGE_RATIO:
                self._short_since_s.setdefault(model.name, now_s)

    def _shortage_s(self, model: ModelName, now_s: float) -> float:
        """Return for how long a model has been short of servers, in seconds."""
        return now_s - self._short_since_s.get(model, now_s)

    def _is_lasting(self, model: ModelName, now_s: float) -> bool:
        """Return whether a shortage has lasted long enough to stage weights."""
        return self._shortage_s(model, now_s) >= _STAGING_AFTER_S

    def _advance(
        self,
        progress: _Progress,
        state: ServiceState,
        engine: EngineProfile,
        needed: "_ServersNeeded",
        hindrance: str,
        now_s: float,
    ) -> RebalanceStep:
        open_groups = {group.key: group for group in state.groups}
        keys = progress.conversion.keys
        if not all(key in open_groups for key in keys):
            return self._end("conversion_dropped", "group_lost", now_s)
        conversion = dataclasses.replace(
            progress.conversion, groups=tuple(open_groups[key] for key in keys)
        )
        progress.conversion = conversion
        if conversion.target not in self._short_since_s:
            return self._end("conversion_dropped", "shortage_over", now_s)
        if not _may_give_up(conversion, state, engine, needed):
            return self._end("conversion_dropped", "no_surplus", now_s)
        if now_s >= progress.deadline_s:
            return self._end("conversion_dropped", "timeout", now_s)
        missing = conversion.missing_weights
        if hindrance:
            return RebalanceStep()
        if missing:
            return RebalanceStep(stage=missing, target=conversion.target)
        has_lasted = self._shortage_s(conversion.target, now_s) >= _CLOSING_AFTER_S
        is_short = needed.ratio(conversion.target) < _SHORTAGE_RATIO
        if not has_lasted or not is_short:
            return RebalanceStep()
        # The groups are torn down like others from here, also after a failure.
        self._end("conversion_closing", "shortage", now_s)
        return RebalanceStep(close=keys)

    def _end(self, event: str, reason: str, now_s: float) -> RebalanceStep:
        assert self._progress is not None
        self._on_decision(event, reason, self._progress.conversion)
        self._progress = None
        self._short_since_s.clear()
        self._paused_until_s = now_s + _PAUSE_S
        return RebalanceStep()

    def _choose(
        self,
        state: ServiceState,
        engine: EngineProfile,
        needed: "_ServersNeeded",
        now_s: float,
    ) -> Conversion | None:
        """Return the best conversion for the model with the largest shortage."""
        short = [
            model for model in engine.models if self._is_lasting(model.name, now_s)
        ]
        target = min(short, key=lambda model: needed.ratio(model.name))
        options = [
            conversion
            for conversion in _possible_conversions(target, state, engine)
            if _may_give_up(conversion, state, engine, needed)
        ]
        usage = _zone_usage(target.name, state, engine.slots)
        return min(
            options,
            key=lambda option: (
                len(option.missing_weights),
                -usage(option.groups[0].zone),
                sum(group.in_flight for group in option.groups),
                option.keys,
            ),
            default=None,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _ServersNeeded:
    """Servers that each model needs for its mean and for its peak of requests."""

    servers_in_groups: Mapping[ModelName, int]
    for_mean: Mapping[ModelName, float]
    for_peak: Mapping[ModelName, float]
    peak_streams: Mapping[ModelName, float]

    @classmethod
    def of(
        cls, engine: EngineProfile, demand: DemandHistory, state: ServiceState
    ) -> "_ServersNeeded":
        for_mean, for_peak = (
            needed_servers(
                engine.models,
                in_flight,
                slots=engine.slots,
                server_count=state.server_count,
            )
            for in_flight in (demand.mean, demand.peak)
        )
        return cls(state.servers_in_groups, for_mean, for_peak, demand.peak)

    def ratio(self, model: ModelName, added: int = 0) -> float:
        """Return the servers of a model relative to its need, with `added` ones."""
        return (self.servers_in_groups.get(model, 0) + added) / self.for_mean[model]

    def peak_ratio(self, model: ModelName, removed: int) -> float:
        """Return the ratio to the need at the peak, without `removed` servers."""
        return (self.servers_in_groups.get(model, 0) - removed) / self.for_peak[model]


def _find(engine: EngineProfile, name: ModelName) -> ModelProfile:
    return next(model for model in engine.models if model.name == name)


def _possible_conversions(
    target: ModelProfile, state: ServiceState, engine: EngineProfile
) -> list[Conversion]:
    """Return the conversions that yield at least one group of the target model.

    As many of the least loaded groups of a domain are given up as one group of the
    target model needs.
    """
    free = collections.Counter(
        server.server.domain
        for server in state.free
        if not server.needs_load(target.name)
    )
    by_source: dict[tuple[DomainId, ModelName], list[OpenGroup]] = (
        collections.defaultdict(list)
    )
    for group in state.groups:
        by_source[group.domain, group.model].append(group)
    conversions = []
    for (domain, name), groups in by_source.items():
        if name == target.name:
            continue
        size = _find(engine, name).group_size
        missing = max(target.group_size - free[domain], 1)
        count = math.ceil(missing / size)
        if count > len(groups):
            continue
        groups.sort(key=lambda group: (group.in_flight, group.key))
        if count > 1:
            conversions.append(Conversion(name, target.name, tuple(groups[:count])))
        else:
            conversions += [Conversion(name, target.name, (g,)) for g in groups]
    return conversions


def _may_give_up(
    conversion: Conversion,
    state: ServiceState,
    engine: EngineProfile,
    needed: _ServersNeeded,
) -> bool:
    """Return whether the source model has a surplus, also after a conversion.

    It is not short then even at its peak, and still better supplied than the target
    model. It keeps a group in each zone, and slots for its streams if any zone or
    domain is lost.
    """
    source = _find(engine, conversion.source)
    moved = len(conversion.groups) * source.group_size
    left = needed.peak_ratio(conversion.source, moved)
    if left < _RELIEVED_RATIO or left <= needed.ratio(conversion.target, moved):
        return False
    before = [group for group in state.groups if group.model == conversion.source]
    after = [group for group in before if group.key not in conversion.keys]
    if {group.zone for group in before} != {group.zone for group in after}:
        return False
    peak = needed.peak_streams.get(conversion.source, 0.0)
    return all(
        (len(after) - lost) * engine.slots >= peak
        for lost in (
            _largest_part(group.zone for group in after),
            _largest_part(group.domain for group in after),
        )
    )


def _largest_part(places: Iterable[str]) -> int:
    """Return how many groups the loss of one place can cost, 0 if it is the only one.

    If all groups are in one place, its loss leaves none, whatever is given up.
    """
    counts = collections.Counter(places)
    return max(counts.values()) if len(counts) > 1 else 0


def _zone_usage(
    model: ModelName, state: ServiceState, slots: int
) -> Callable[[ZoneId], float]:
    """Return a function for the fraction of a model's slots in use in a zone.

    A zone without a group of the model has no slots for its callers.
    """
    streams: collections.Counter[ZoneId] = collections.Counter()
    groups: collections.Counter[ZoneId] = collections.Counter()
    for group in state.groups:
        if group.model == model:
            streams[group.zone] += group.in_flight
            groups[group.zone] += 1

    def usage(zone: ZoneId) -> float:
        if not groups[zone]:
            return math.inf
        return streams[zone] / (groups[zone] * max(slots, 1))

    return usage
