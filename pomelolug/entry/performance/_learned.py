"""Delays and limits of servers as learned from the requests of all nodes."""

import copy
import dataclasses
import datetime
import math
from collections.abc import Callable, Iterable

import structlog

from pomelolug.clock import Clock
from pomelolug.deployment import BackendServer, EngineProfile, ModelProfile
from pomelolug.entry.performance._base import DelayEstimator
from pomelolug.entry.performance._common import CommonDelay
from pomelolug.entry.performance._declared import estimate_first_event_s
from pomelolug.entry.performance._evidence import (
    Evidence,
    EvidenceKey,
    PendingEvidence,
    decode_evidence,
    evidence_key,
)
from pomelolug.entry.performance._load_curve import LoadCurve
from pomelolug.entry.performance._observation import (
    Measure,
    PlainObservation,
    Record,
    StreamObservation,
)
from pomelolug.ids import ModelName, VmId, ZoneId
from pomelolug.messages import NodeStatus

__all__ = ["LearnedDelayEstimator", "PerformanceSummary", "SpeedReports"]

_log = structlog.get_logger(__name__)

_REFRESH_INTERVAL_S = 0.25
"""Interval at which factors and limits are computed from the evidence."""
_PRIOR_WEIGHT = 2.0
"""Requests that the usual speed counts for, against those seen at a server."""
_MIN_CENTER_WEIGHT = 1.0
"""Least weight of a server's evidence that counts for what is usual."""
_USUAL_SHARE = 0.25
"""Share of the servers, by evidence, that are at least as fast as the usual speed.

With a half, slow servers count as usual as soon as most of the groups contain one.
"""
_TOLERATED_LOG_RATIO = 0.15
"""Log ratio that counts as none, so that noise does not order equal servers."""
_LIMIT_SLACK = 1.15
"""Factor by which a server may be slower at its declared limit."""
_MIN_LIMIT_SHARE = 0.2
"""Least limit as a share of the slots, so that a slow server shows its recovery."""
_LOW_LIMIT_SHARE, _RESTORED_LIMIT_SHARE = 0.6, 0.85
"""Shares of the slots at which a limit is logged as low, and as restored."""
_COMFORTABLE_SHARE = 0.7
"""Share of the latency target up to which a slow server is in time like any other."""
_MAX_OWN_RECORDS = 4
"""Records on servers in the status of a node, 24 bytes."""
_MAX_OWN_LOAD_RECORDS = 2
"""Records on loads in the status of a node, 12 bytes."""
_MAX_RELAYED_RECORDS = 12
"""Records on servers of a zone, or of all others, in a relay's status, 72 bytes."""
_MAX_RELAYED_LOAD_RECORDS = 4
"""Records on loads, as above, 24 bytes."""
_LOAD_HALF_LIFE_S = 6.0
"""Time in which evidence on a load of all servers loses half of its weight."""
_MAX_LOAD_WEIGHT = 60.0
"""Most requests that it counts for."""
_MAX_KEYS = 4096
"""Maximum number of servers with evidence."""
_LOW_LOAD, _HIGH_LOAD = 0.25, 0.75
"""Loads, as shares of the slots, for which the evidence of one band holds alone."""
_SILENCE_S = 0.5
"""Excess over the usual delay from which a pause of a sound server may explain it."""
_SILENCE_WEIGHT = 0.25
"""Weight of a first event that a pause of the server may have delayed."""
_INTERVAL_WEIGHT = 0.6
"""Weight of a mean interval between events; a stream has several of them."""
_MAX_TICK_DELAY_S = 0.2
"""Time without a tick after which this process was stopped or is overloaded."""


@dataclasses.dataclass(frozen=True, slots=True)
class SpeedReports:
    """Evidence for a status: of this node, of its zone and of all other zones."""

    own: bytes
    zone: bytes
    other: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class PerformanceSummary:
    """Counts for the metrics.

    Parameters
    ----------
    servers : int
        Servers with evidence.
    limited : int
        Servers whose learned limit is low.
    spread : float
        Largest learned factor of a server over the smallest one, 1 without evidence.
    """

    servers: int
    limited: int
    spread: float


@dataclasses.dataclass(slots=True)
class _Server:
    """What is known of one server; `log_factors` and `limit` are computed from it."""

    server: BackendServer
    key: EvidenceKey
    kind: str
    curve: LoadCurve
    slots: int
    log_factors: tuple[float, float] = (0.0, 0.0)
    is_usual: bool = True
    limit: int = 0
    is_low: bool = False


class _Pending:
    """Evidence for the next status, on servers and on loads."""

    def __init__(self) -> None:
        self._servers = PendingEvidence()
        self._loads = PendingEvidence()

    def add(
        self,
        key: EvidenceKey,
        band: int,
        weight: float,
        value: float,
        *,
        is_load: bool,
    ) -> None:
        pending = self._loads if is_load else self._servers
        pending.add(key, band, weight, value)

    def take(self, max_servers: int, max_loads: int) -> bytes:
        return self._servers.take(max_servers) + self._loads.take(max_loads)

    def clear(self) -> None:
        self._servers.clear()
        self._loads.clear()


class _GroupDelay:
    """Time to the first event at a usual group of a model, by its load.

    `offset_s` and `factor` lead from the declared time to the one that is usual at
    this node, as last learned.
    """

    def __init__(self, engine: EngineProfile, model: ModelProfile) -> None:
        self.engine = engine
        self.model = model
        self.offset_s = 0.0
        self.factor = 1.0
        self._waits_s: dict[int, float] = {}
        self._prefill_s = model.time_factor / max(engine.prefill_tokens_per_s, 1.0)

    def snapshot(self) -> "_GroupDelay":
        """Return the same delays, which keep what they compute apart from these."""
        snapshot = copy.copy(self)
        snapshot._waits_s = dict(self._waits_s)
        return snapshot

    def declared_s(self, in_flight: int, prompt_tokens: int) -> float:
        """Return the declared time in seconds."""
        wait_s = self._waits_s.get(in_flight)
        if wait_s is None:
            wait_s = estimate_first_event_s(self.engine, self.model, in_flight, 0)
            self._waits_s[in_flight] = wait_s
        return wait_s + self._prefill_s * prompt_tokens


class LearnedDelayEstimator(DelayEstimator):
    """Delays relative to the declared ones, and limits, learned by all nodes together.

    The delay of a request is the usual one of all servers of its kind, which this node
    learns from its own requests, times a factor of the server at its load. The factors
    rest on the evidence of all nodes, each relative to what is usual at that node, and
    are relative to the other servers again. So neither a slow node nor a slowdown of
    all servers condemns any of them.

    Parameters
    ----------
    zone : ZoneId
        Zone of this node.
    clock : Clock
        Source of monotonic time.
    on_sample : callable
        Called with each kind of measure that is recorded.
    is_applied : callable
        Returns whether choices follow what is learned, rather than the declared figures
        alone. Loads that are known too late make servers seem slow that are only full.
    """

    def __init__(
        self,
        *,
        zone: ZoneId,
        clock: Clock,
        on_sample: Callable[[Measure], None] = lambda measure: None,
        is_applied: Callable[[], bool] = lambda: True,
    ) -> None:
        self._zone = zone
        self._is_applied = is_applied
        self._clock = clock
        self._on_sample = on_sample
        self._common: dict[tuple[Measure, str], CommonDelay] = {}
        self._evidence: dict[EvidenceKey, Evidence] = {}
        self._servers: dict[VmId, _Server] = {}
        self._group_delays: dict[ModelName, _GroupDelay] = {}
        # First observed time of each route of plain servers.
        self._expected_answers_s: dict[str, float] = {}
        self._load_curves: dict[str, LoadCurve] = {}
        self._load_keys: set[EvidenceKey] = set()
        self._own_pending = _Pending()
        self._zone_pending = _Pending()
        self._other_pending = _Pending()
        self._refreshed_at_s = clock.monotonic()
        self._ticked_at_s: float | None = None
        self._disturbed_at_s = float("-inf")

    # Use

    def first_event_s(
        self,
        head: BackendServer,
        engine: EngineProfile,
        model: ModelProfile,
        *,
        in_flight: int,
        prompt_tokens: int,
    ) -> float:
        """Return the learned time to the first event, in seconds."""
        self._refresh_if_due()
        entry = self._find(head, model.name, engine.slots)
        delay = self._group_delay(engine, model)
        usual_s = delay.offset_s + delay.factor * delay.declared_s(
            in_flight, prompt_tokens
        )
        usual_s *= entry.curve.factor(in_flight, entry.slots)
        return usual_s if entry.is_usual else usual_s * _factor(entry, in_flight)

    def choice_delay_s(
        self,
        head: BackendServer,
        engine: EngineProfile,
        model: ModelProfile,
        *,
        in_flight: int,
        prompt_tokens: int,
        target: datetime.timedelta,
    ) -> float:
        """Return the delay by which a group is compared with others, in seconds.

        It is the declared one at the load that a usual server would have with as much
        work: a slow server's requests count for more. So equal servers are compared by
        the declared figures alone. Of a server's slowness, only what comes near the
        target is added: a fast server gains nothing for a caller who is in time.
        """
        entry = self._find(head, model.name, engine.slots)
        delay = self._group_delay(engine, model)
        declared_s = delay.declared_s(in_flight, prompt_tokens)
        if entry.is_usual or not self._is_applied():
            return declared_s
        factor = _factor(entry, in_flight)
        if factor <= 1.0:
            return declared_s
        delay_s = delay.declared_s(math.ceil(in_flight * factor), prompt_tokens)
        usual_s = delay.offset_s + delay.factor * declared_s
        comfort_s = _COMFORTABLE_SHARE * target.total_seconds()
        return delay_s + max(usual_s * factor - max(usual_s, comfort_s), 0.0)

    def limit(self, head: BackendServer, engine: EngineProfile) -> int:
        """Return the number of requests of all nodes that a group takes well."""
        self._refresh_if_due()
        if not self._is_applied():
            return engine.slots
        return self._find(head, head.model or "", engine.slots).limit

    def service_factor(self, server: BackendServer, *, in_flight: int) -> float:
        """Return the service time of a plain server over the usual one."""
        self._refresh_if_due()
        entry = self._find(server, server.service, server.slots)
        if entry.is_usual or not self._is_applied():
            return 1.0
        return _factor(entry, in_flight)

    def plain_limit(self, server: BackendServer) -> int:
        """Return the number of requests of all nodes that a plain server takes well."""
        if not self._is_applied():
            return server.slots
        return self._find(server, server.service, server.slots).limit

    def snapshot(self) -> "LearnedDelayEstimator":
        """Return an estimator with what is known now, which does not learn."""
        snapshot = copy.copy(self)
        snapshot._refreshed_at_s = float("inf")
        snapshot._load_curves = {k: c.snapshot() for k, c in self._load_curves.items()}
        snapshot._servers = {
            vm: dataclasses.replace(entry, curve=snapshot._load_curves[entry.kind])
            for vm, entry in self._servers.items()
        }
        snapshot._group_delays = {
            name: delay.snapshot() for name, delay in self._group_delays.items()
        }
        snapshot._load_keys = set(self._load_keys)
        return snapshot

    def summary(self) -> PerformanceSummary:
        """Return counts for the metrics."""
        self._refresh_if_due()
        factors = [
            math.exp(f) for s in self._servers.values() for f in s.log_factors
        ] or [1.0]
        return PerformanceSummary(
            servers=sum(s.key in self._evidence for s in self._servers.values()),
            limited=sum(s.is_low for s in self._servers.values()),
            spread=max(factors) / min(factors),
        )

    # Recording

    def begin_stream(
        self,
        head: BackendServer,
        engine: EngineProfile,
        model: ModelProfile,
        *,
        in_flight: int,
        prompt_tokens: int,
    ) -> StreamObservation:
        """Return the observation of a stream whose request has just been sent.

        Parameters
        ----------
        head, engine, model, prompt_tokens
            As `first_event_s`.
        in_flight : int
            Requests of all nodes at the group when it was chosen, without this one.
        """
        entry = self._find(head, model.name, engine.slots)
        delay = self._group_delay(engine, model)
        expected_s = delay.declared_s(in_flight, prompt_tokens)
        # The first event of a short prompt takes 1.5 intervals; the ratio alone counts.
        interval_s = delay.declared_s(min(in_flight, engine.slots - 1), 0) / 1.5

        def record(
            measure: Measure, observed_s: float, since_s: float, weight: float
        ) -> None:
            expected = expected_s if measure is Measure.FIRST_EVENT else interval_s
            self._record(
                entry,
                model.name,
                measure,
                in_flight,
                expected,
                observed_s,
                since_s,
                weight,
            )

        return StreamObservation(clock=self._clock, record=record)

    def begin_answer(
        self, server: BackendServer, route: str, *, in_flight: int
    ) -> PlainObservation:
        """Return the observation of a request to a plain server that is being sent."""
        record = self._answer_recorder(server, route, in_flight=in_flight)
        return PlainObservation(clock=self._clock, record=record)

    def begin_plain_stream(
        self, server: BackendServer, route: str, *, in_flight: int
    ) -> StreamObservation:
        """Return the observation of a stream of a plain server that has been sent.

        Its first event counts like the answer to a plain request. The pauses between
        events are left out, since no usual one is declared.
        """
        record_answer = self._answer_recorder(server, route, in_flight=in_flight)

        def record(
            measure: Measure, observed_s: float, since_s: float, weight: float
        ) -> None:
            if measure is Measure.FIRST_EVENT:
                record_answer(Measure.ANSWER, observed_s, since_s, weight)

        return StreamObservation(clock=self._clock, record=record)

    def _answer_recorder(
        self, server: BackendServer, route: str, *, in_flight: int
    ) -> Record:
        """Return a function that records a service time of a plain server."""
        entry = self._find(server, server.service, server.slots)

        def record(
            measure: Measure, observed_s: float, since_s: float, weight: float
        ) -> None:
            # There is no declared service time, so the usual one is relative to the
            # first one seen.
            expected_s = self._expected_answers_s.setdefault(route, observed_s)
            self._record(
                entry,
                route,
                measure,
                in_flight,
                expected_s,
                observed_s,
                since_s,
                weight,
            )

        return record

    def tick(self) -> None:
        """Note that this process runs; it has to be called every few 10 ms.

        Times measured across a pause of this process say nothing about servers.
        """
        self._check_pause(self._clock.monotonic())
        self._ticked_at_s = self._clock.monotonic()

    # Exchange with other nodes

    def take_reports(self, *, is_relay: bool, reaches_servers: bool) -> SpeedReports:
        """Return the evidence that has come since the last status.

        A lost status loses it, which costs some requests' worth of evidence.
        """
        own = self._own_pending.take(_MAX_OWN_RECORDS, _MAX_OWN_LOAD_RECORDS)
        if not is_relay:
            self._zone_pending.clear()
            self._other_pending.clear()
            return SpeedReports(own if reaches_servers else b"", b"", b"")
        return SpeedReports(
            own if reaches_servers else b"",
            self._zone_pending.take(_MAX_RELAYED_RECORDS, _MAX_RELAYED_LOAD_RECORDS),
            self._other_pending.take(_MAX_RELAYED_RECORDS, _MAX_RELAYED_LOAD_RECORDS),
        )

    def merge(self, status: NodeStatus) -> None:
        """Add the evidence that a peer reports."""
        if status.zone == self._zone:
            if status.reaches_servers:
                self._merge(status.speeds, self._zone_pending)
            if status.relay:
                self._merge(status.other_speeds, None)
        elif status.relay:
            self._merge(status.zone_speeds, self._other_pending)

    def _merge(self, data: bytes, pending: _Pending | None) -> None:
        max_records = _MAX_RELAYED_RECORDS + _MAX_RELAYED_LOAD_RECORDS
        for key, band, weight, value in decode_evidence(data, max_records=max_records):
            self._add_evidence(key, band, weight, value)
            if pending is not None:
                is_load = key in self._load_keys
                pending.add(key, band, weight, value, is_load=is_load)

    # Learning

    def _record(
        self,
        entry: _Server,
        kind: str,
        measure: Measure,
        in_flight: int,
        expected_s: float,
        observed_s: float,
        since_s: float,
        weight: float,
    ) -> None:
        """Learn from one observed delay, unless this process has paused during it."""
        now_s = self._clock.monotonic()
        self._check_pause(now_s)
        if since_s <= self._disturbed_at_s:
            return
        self._on_sample(measure)
        common = self._common.get((measure, kind))
        if common is None:
            common = self._common[measure, kind] = CommonDelay(now_s)
        band = _band(entry, in_flight)
        has_load = measure is not Measure.INTERVAL
        load_factor = entry.curve.factor(in_flight, entry.slots) if has_load else 1.0
        server_factor = math.exp(entry.log_factors[band])
        log_ratio = common.log_ratio(expected_s, observed_s)
        usual_s = common.predict_s(expected_s)
        if measure is Measure.INTERVAL:
            weight *= _INTERVAL_WEIGHT
        elif observed_s - usual_s > _SILENCE_S:
            weight *= _SILENCE_WEIGHT
        common.add(expected_s, observed_s / (server_factor * load_factor), now_s)
        self._report_evidence(
            entry.key, band, weight, log_ratio - math.log(load_factor), is_load=False
        )
        if has_load:
            key = entry.curve.key(in_flight, entry.slots)
            excess = entry.curve.excess(usual_s * server_factor, observed_s)
            self._report_evidence(key, 0, weight, excess, is_load=True)

    def _report_evidence(
        self,
        key: EvidenceKey,
        band: int,
        weight: float,
        value: float,
        *,
        is_load: bool,
    ) -> None:
        """Add own evidence here and to the next status."""
        self._add_evidence(key, band, weight, value)
        self._own_pending.add(key, band, weight, value, is_load=is_load)
        self._zone_pending.add(key, band, weight, value, is_load=is_load)

    def _add_evidence(
        self, key: EvidenceKey, band: int, weight: float, value: float
    ) -> None:
        now_s = self._clock.monotonic()
        evidence = self._evidence.get(key)
        if evidence is None:
            if len(self._evidence) >= _MAX_KEYS:
                return
            evidence = self._evidence[key] = (
                Evidence(
                    now_s, half_life_s=_LOAD_HALF_LIFE_S, max_weight=_MAX_LOAD_WEIGHT
                )
                if key in self._load_keys
                else Evidence(now_s)
            )
        evidence.add(band, weight, value, now_s)

    def _check_pause(self, now_s: float) -> None:
        if (
            self._ticked_at_s is not None
            and now_s - self._ticked_at_s > _MAX_TICK_DELAY_S
        ):
            self._disturbed_at_s = now_s

    def _find(self, server: BackendServer, kind: str, slots: int) -> _Server:
        """Return the entry of a server, a new one after its restart or regrouping."""
        entry = self._servers.get(server.vm)
        if entry is not None:
            if entry.server is server and entry.slots == slots:
                return entry
            key = evidence_key(server)
            if entry.key == key and entry.slots == slots and entry.kind == kind:
                entry.server = server
                return entry
        load_curve = self._load_curves.get(kind)
        if load_curve is None:
            load_curve = self._load_curves[kind] = LoadCurve(kind)
            self._load_keys.update(load_curve.keys)
        entry = _Server(
            server, evidence_key(server), kind, load_curve, slots, limit=slots
        )
        self._servers[server.vm] = entry
        return entry

    def _group_delay(self, engine: EngineProfile, model: ModelProfile) -> _GroupDelay:
        delay = self._group_delays.get(model.name)
        if delay is None or delay.engine is not engine or delay.model is not model:
            delay = self._group_delays[model.name] = _GroupDelay(engine, model)
        return delay

    def _refresh_if_due(self) -> None:
        now_s = self._clock.monotonic()
        if now_s - self._refreshed_at_s < _REFRESH_INTERVAL_S:
            return
        self._refreshed_at_s = now_s
        for key in list(self._evidence):
            evidence = self._evidence[key]
            evidence.decay(now_s)
            if evidence.is_negligible:
                del self._evidence[key]
        # What says nothing is built again when it is needed; the rest may have left.
        for vm in [
            vm
            for vm, entry in self._servers.items()
            if entry.is_usual and entry.key not in self._evidence
        ]:
            del self._servers[vm]
        kinds: dict[str, list[_Server]] = {}
        for entry in self._servers.values():
            kinds.setdefault(entry.kind, []).append(entry)
        for load_curve in self._load_curves.values():
            load_curve.refresh(self._evidence)
        for delay in self._group_delays.values():
            common = self._common.get((Measure.FIRST_EVENT, delay.model.name))
            if common is not None:
                delay.offset_s, delay.factor = common.offset_s, common.factor
        for entries in kinds.values():
            self._refresh_kind(entries)

    def _refresh_kind(self, entries: list[_Server]) -> None:
        """Compute the factors and limits of the servers of one kind."""
        known = [
            (entry, evidence)
            for entry in entries
            if (evidence := self._evidence.get(entry.key)) is not None
        ]
        evidence_of_kind = [evidence for _, evidence in known]
        low_center = _center(evidence_of_kind, 0)
        high_center = _center(evidence_of_kind, 1)
        for entry in entries:
            if entry.key not in self._evidence:
                self._set_factors(entry, (0.0, 0.0))
        for entry, evidence in known:
            low = evidence.shrunk_mean(0, prior=low_center, prior_weight=_PRIOR_WEIGHT)
            low -= low_center
            high = evidence.shrunk_mean(
                1, prior=high_center + low, prior_weight=_PRIOR_WEIGHT
            )
            self._set_factors(entry, (_tolerate(low), _tolerate(high - high_center)))

    def _set_factors(self, entry: _Server, log_factors: tuple[float, float]) -> None:
        if log_factors == entry.log_factors:
            return
        entry.log_factors = log_factors
        entry.is_usual = log_factors == (0.0, 0.0)
        entry.limit = _limit(entry)
        self._log_limit(entry)

    def _log_limit(self, entry: _Server) -> None:
        if not entry.is_low and entry.limit < _LOW_LIMIT_SHARE * entry.slots:
            entry.is_low = True
            event = "server_slow"
        elif entry.is_low and entry.limit >= _RESTORED_LIMIT_SHARE * entry.slots:
            entry.is_low = False
            event = "server_speed_restored"
        else:
            return
        _log.info(
            event,
            server=entry.server.vm,
            limit=entry.limit,
            slots=entry.slots,
            factors=[round(math.exp(f), 2) for f in entry.log_factors],
        )


def _center(evidence: Iterable[Evidence], band: int) -> float:
    """Return the log ratio of the usual speed, a weighted quantile of all."""
    ratios = sorted(
        (e.mean(band), min(e.weight(band), _PRIOR_WEIGHT))
        for e in evidence
        if e.weight(band) >= _MIN_CENTER_WEIGHT
    )
    left = sum(weight for _, weight in ratios) * _USUAL_SHARE
    for ratio, weight in ratios:
        left -= weight
        if left <= 1e-9:
            return ratio
    return 0.0


def _band(entry: _Server, in_flight: int) -> int:
    return int(2 * in_flight >= entry.slots)


def _factor(entry: _Server, in_flight: int) -> float:
    """Return the factor of a server at a load, between those of the two bands."""
    low, high = entry.log_factors
    load = in_flight / max(entry.slots, 1)
    share = min(max((load - _LOW_LOAD) / (_HIGH_LOAD - _LOW_LOAD), 0.0), 1.0)
    return math.exp(low + share * (high - low))


def _tolerate(log_ratio: float) -> float:
    excess = max(abs(log_ratio) - _TOLERATED_LOG_RATIO, 0.0)
    return math.copysign(excess, log_ratio) if excess else 0.0


def _limit(entry: _Server) -> int:
    """Return the load up to which a server ends as many requests as a full usual one.

    A server that takes twice as long takes half as many well: with them, a request
    that has to wait for one of them waits as long as at a usual server.
    """
    slots = entry.slots
    if entry.is_usual:
        return slots
    least = max(math.ceil(_MIN_LIMIT_SHARE * slots), 1)
    for count in range(slots, least, -1):
        if count * _factor(entry, count) <= _LIMIT_SLACK * slots:
            return count
    return min(least, slots)
