"""Guarantees to callers, checked from what callers and servers saw."""

import dataclasses
import datetime
from collections import Counter
from collections.abc import Iterator

from pomelolug.experiments.process_soak._calls import (
    TAINTED_PATH_PART,
    CallKind,
    CallOutcome,
    SentCall,
    ServerRun,
    TurnedAwayRequest,
)
from pomelolug.experiments.process_soak._competition import (
    DispatcherLoss,
    dispatcher_violations,
    starvation_violations,
)
from pomelolug.experiments.process_soak._disturbances import (
    QUIET_PERIOD_S,
    SOAK_PROCESS,
    FaultWindow,
    FaultWindows,
    server_targets,
)
from pomelolug.experiments.process_soak._evacuations import EvacuationChecker
from pomelolug.experiments.process_soak._interruptions import (
    cut_violations,
    is_lost_answer,
    silence_violations,
)
from pomelolug.experiments.process_soak._statements import (
    departure_violations,
    pause_violations,
)
from pomelolug.testing import CRASH_PATH_PART

__all__ = ["GuaranteeChecker", "LimitPeriod"]

_NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that guarantee that the request did not run and never will."""
_ENTRY_REFUSAL_STATUSES = (401, 403, 404)
_REVOCATION_LIMIT_S = 5.0
_DRAIN_LIMIT_S = 2.0
_CANCELLATION_LIMIT_S = 0.5
_TIMEOUT_TOLERANCE_S = 0.5
_MAX_LOSSES = 3
"""Servers that a request may crash before nodes have to refuse it."""
_LOSS_KNOWN_S = 3.0
"""Time after the last of these losses by which the nodes have to know of it."""
_MAX_PART_LOSSES = 5
"""Servers that a part of prompts may crash before nodes have to refuse it."""
_MAX_LATE_RUNS = 3
_SAME_CRASH_S = 1.0
"""Servers are down at least as long, so runs at one server within it crash it once."""
_CRASH_EFFECT_S = 6.0
"""Time for which a crashed server affects the calls of others."""
_LIMIT_WINDOW_S = 4.0
_LIMIT_FACTOR = 1.5
"""Requests allowed in a window, as a multiple of the limit of a server."""
_LIMIT_EXCESS = 5
"""Requests allowed in a window beyond that."""
_COLD_WINDOW_S = 1.0
_COLD_KNOWN_S = 1.0
"""Time after which the entry of a server that has just started is known everywhere."""
_LIMIT_KNOWN_S = 0.5
"""Time after a response with a limit from which its entry VM has to keep to it."""


@dataclasses.dataclass(kw_only=True)
class LimitPeriod:
    """Period in which a server named a limit of requests per second."""

    vm: str
    limit_per_s: float
    start_s: float
    end_s: float | None = None

    def contains(self, at_s: float) -> bool:
        """Return whether the limit was named at a time."""
        return self.start_s <= at_s and (self.end_s is None or at_s <= self.end_s)


@dataclasses.dataclass(frozen=True, kw_only=True)
class _ColdPeriod:
    """Period in which a server is cold and accepts so many requests in a second."""

    vm: str
    accepted_requests: float
    start_s: float
    end_s: float


@dataclasses.dataclass(kw_only=True)
class DeparturePeriod:
    """Period in which the entry of a server said that it drains, or was gone."""

    vm: str
    start_s: float
    end_s: float | None = None

    def forbids(self, sent_at_s: float, started_at_s: float) -> bool:
        """Return whether a call sent at a time must not start at the server."""
        has_ended = self.end_s is not None and started_at_s > self.end_s
        return sent_at_s > self.start_s + _DRAIN_LIMIT_S and not has_ended


class GuaranteeChecker:
    """Collects calls and server runs, and finds violated guarantees at the end.

    Parameters
    ----------
    fault_windows : FaultWindows
        Windows in which time bounds do not apply.
    """

    def __init__(self, fault_windows: FaultWindows) -> None:
        self._fault_windows = fault_windows
        self._calls: dict[str, SentCall] = {}
        self._runs: list[ServerRun] = []
        self._revoked_at_s: dict[str, float] = {}
        self._departures: list[DeparturePeriod] = []
        self._limit_periods: list[LimitPeriod] = []
        self._cold_periods: list[_ColdPeriod] = []
        self._turned_away: list[TurnedAwayRequest] = []
        self._silences: list[FaultWindow] = []
        self._cuts: list[FaultWindow] = []
        self._reported_violations: list[str] = []
        self._dispatcher_losses: list[DispatcherLoss] = []
        self._competitions: list[tuple[float, float]] = []
        self._evacuations = EvacuationChecker()

    @property
    def evacuations(self) -> EvacuationChecker:
        """Evacuations of zones."""
        return self._evacuations

    @property
    def calls(self) -> list[SentCall]:
        """Calls that have ended."""
        return list(self._calls.values())

    @property
    def runs(self) -> list[ServerRun]:
        """Runs in the order in which servers reported them."""
        return list(self._runs)

    def record_call(self, call: SentCall) -> None:
        """Record a call that has ended."""
        self._calls[call.request_id] = call

    def record_run(self, run: ServerRun) -> None:
        """Record a run that a server started."""
        self._runs.append(run)
        if CRASH_PATH_PART in run.path or TAINTED_PATH_PART in run.path:
            window = self._fault_windows.open(
                run.vm,
                *server_targets(run.vm),
                start_s=run.started_at_s,
                is_planned=False,
            )
            window.end_s = run.started_at_s + _CRASH_EFFECT_S

    def record_turned_away(self, request: TurnedAwayRequest) -> None:
        """Record a request that a server turned away."""
        self._turned_away.append(request)

    def record_violation(self, text: str) -> None:
        """Record a violation that a server detected."""
        self._reported_violations.append(text)

    def record_revocation(self, key: str, at_s: float) -> None:
        """Record when the declaration without `key` was stored."""
        self._revoked_at_s[key] = at_s

    def record_departure(self, vm: str, at_s: float) -> None:
        """Record when it was stored that `vm` drains or is gone."""
        if not any(p.vm == vm and p.end_s is None for p in self._departures):
            self._departures.append(DeparturePeriod(vm=vm, start_s=at_s))

    def record_return(self, vm: str, at_s: float) -> None:
        """Record when an entry was stored of which `vm` is ready."""
        for period in self._departures:
            if period.vm == vm and period.end_s is None:
                period.end_s = at_s

    def record_limit(
        self, vm: str, limit_per_s: float, *, start_s: float
    ) -> LimitPeriod:
        """Record that `vm` names a limit until the end of the returned period."""
        period = LimitPeriod(vm=vm, limit_per_s=limit_per_s, start_s=start_s)
        self._limit_periods.append(period)
        return period

    def record_coldness(
        self, vm: str, accepted_requests: float, *, start_s: float, length_s: float
    ) -> None:
        """Record that `vm` is cold and how many requests it accepts in a second."""
        self._cold_periods.append(
            _ColdPeriod(
                vm=vm,
                accepted_requests=accepted_requests,
                start_s=start_s,
                end_s=start_s + length_s,
            )
        )

    def record_silence(self, window: FaultWindow) -> None:
        """Record the window in which sound servers fall silent and go on."""
        self._silences.append(window)

    def record_cut(self, window: FaultWindow) -> None:
        """Record the window in which entry VMs, its targets, reach no server."""
        self._cuts.append(window)

    def record_dispatcher_loss(self, loss: DispatcherLoss) -> None:
        """Record the window in which the dispatcher of a zone is lost."""
        self._dispatcher_losses.append(loss)

    def record_competition(self, start_s: float, end_s: float) -> None:
        """Record a time in which accounts compete for the servers."""
        self._competitions.append((start_s, end_s))

    def check(self, *, timeouts: dict[CallKind, datetime.timedelta]) -> list[str]:
        """Return all violated guarantees."""
        counts = Counter(run.request_id for run in self._runs)
        violations = list(self._reported_violations)
        for call in self._calls.values():
            violations += _answer_violations(call)
            violations += self._execution_violations(call, counts[call.request_id])
            violations += self._timeout_violations(call, timeouts[call.kind])
            violations += self._lost_answer_violations(call, counts[call.request_id])
        for run in self._runs:
            violations += self._run_violations(run)
        for period in self._limit_periods:
            violations += self._limit_violations(period)
        for cold_period in self._cold_periods:
            violations += self._cold_violations(cold_period)
        violations += departure_violations(self._calls, self._runs, self._fault_windows)
        violations += pause_violations(
            self._calls, self._runs, self._turned_away, self._fault_windows
        )
        violations += silence_violations(
            self._calls.values(), self._runs, self._silences, self._fault_windows
        )
        violations += self._evacuations.violations(
            self._calls, self._runs, self._fault_windows
        )
        valid = [c for c in self._calls.values() if c.key not in self._revoked_at_s]
        violations += cut_violations(valid, self._cuts, self._fault_windows)
        violations += dispatcher_violations(
            valid, self._runs, self._dispatcher_losses, self._fault_windows
        )
        violations += starvation_violations(
            valid, self._competitions, self._fault_windows
        )
        return violations + list(self._containment_violations())

    def _limit_violations(self, period: LimitPeriod) -> Iterator[str]:
        """Yield a violation if entry VMs that were told of a limit exceeded it."""
        runs = [
            (run, call)
            for run in self._runs
            if run.vm == period.vm
            and period.contains(run.started_at_s)
            and (call := self._calls.get(run.request_id)) is not None
        ]
        told_at_s: dict[str, float] = {}
        for _, call in runs:
            if call.outcome is CallOutcome.ANSWERED:
                known_at_s = call.ended_at_s + _LIMIT_KNOWN_S
                told_at_s[call.entry] = min(
                    told_at_s.get(call.entry, known_at_s), known_at_s
                )
        counted_at_s = [
            run.started_at_s
            for run, call in runs
            if run.started_at_s >= told_at_s.get(call.entry, float("inf"))
            and self._was_in_touch(run)
        ]
        most = max(
            (
                sum(
                    start_s <= at_s < start_s + _LIMIT_WINDOW_S for at_s in counted_at_s
                )
                for start_s in counted_at_s
            ),
            default=0,
        )
        allowed = _LIMIT_FACTOR * period.limit_per_s * _LIMIT_WINDOW_S + _LIMIT_EXCESS
        if most > allowed:
            yield (
                f"{period.vm} limits requests to {period.limit_per_s}/s and got {most} "
                f"in {_LIMIT_WINDOW_S:.0f} s"
            )

    def _cold_violations(self, period: _ColdPeriod) -> Iterator[str]:
        """Yield a violation if entry VMs in touch sent too much to a cold server."""
        counted_at_s = [
            run.started_at_s
            for run in self._runs
            if run.vm == period.vm
            and period.start_s + _COLD_KNOWN_S <= run.started_at_s <= period.end_s
            and self._was_in_touch_since(run, period.start_s)
        ]
        most = max(
            (
                sum(start_s <= at_s < start_s + _COLD_WINDOW_S for at_s in counted_at_s)
                for start_s in counted_at_s
            ),
            default=0,
        )
        if most > period.accepted_requests:
            yield (
                f"{period.vm} was cold, accepts {period.accepted_requests:g} "
                f"requests in {_COLD_WINDOW_S:.0f} s and got {most}"
            )

    def _containment_violations(self) -> Iterator[str]:
        """Yield the requests that undisturbed entry VMs let crash too many servers."""
        runs_by_request: dict[tuple[str, str], list[ServerRun]] = {}
        for run in sorted(self._runs, key=lambda run: run.started_at_s):
            if CRASH_PATH_PART in run.path:
                runs_by_request.setdefault((run.account, run.path), []).append(run)
        for (_, path), runs in runs_by_request.items():
            yield from self._late_run_violations(path, runs, _MAX_LOSSES)
        tainted = [run for run in self._runs if TAINTED_PATH_PART in run.path]
        tainted.sort(key=lambda run: run.started_at_s)
        yield from self._late_run_violations(
            "a part of prompts", tainted, _MAX_PART_LOSSES
        )

    def _late_run_violations(
        self, name: str, runs: list[ServerRun], max_losses: int
    ) -> Iterator[str]:
        """Yield a violation if runs went on after `max_losses` losses were known."""
        crashed_at_s = list(_crash_times_s(runs))
        if len(crashed_at_s) < max_losses:
            return
        known_at_s = crashed_at_s[max_losses - 1] + _LOSS_KNOWN_S
        late_runs = [
            run
            for run in runs
            if run.started_at_s > known_at_s and self._was_in_touch(run)
        ]
        if len(late_runs) > _MAX_LATE_RUNS:
            yield (
                f"{name} crashed {len(crashed_at_s)} servers and ran "
                f"{len(late_runs)} times after loss {max_losses} was known"
            )

    def _was_in_touch(self, run: ServerRun) -> bool:
        call = self._calls.get(run.request_id)
        # A pause of the soak does not keep entry VMs from hearing of losses for long.
        return call is not None and not self._is_affected(
            call.entry, call.sent_at_s, run.started_at_s
        )

    def _was_in_touch_since(self, run: ServerRun, since_s: float) -> bool:
        call = self._calls.get(run.request_id)
        return call is not None and not self._is_affected(
            call.entry, min(since_s, call.sent_at_s), run.started_at_s
        )

    def _execution_violations(self, call: SentCall, runs: int) -> Iterator[str]:
        if call.kind is CallKind.ONCE and runs > 1:
            yield f"{call.request_id} ran {runs} times and may run once"
        refused = call.answer.is_complete and call.answer.status in _NOT_RUN_STATUSES
        if call.kind is CallKind.ONCE and refused and runs:
            yield f"{call.request_id} was answered {call.answer.status} and ran"
        status = call.answer.status
        if status in _ENTRY_REFUSAL_STATUSES and call.key not in self._revoked_at_s:
            yield f"{call.request_id} with a valid key was answered {status}"

    def _timeout_violations(
        self, call: SentCall, timeout: datetime.timedelta
    ) -> Iterator[str]:
        """Yield a violation if an undisturbed entry VM held `call` for too long."""
        allowed_s = timeout.total_seconds() + _TIMEOUT_TOLERANCE_S
        held_s = call.ended_at_s - call.sent_at_s
        if held_s > allowed_s and self._is_undisturbed(
            call.entry, call.sent_at_s, call.ended_at_s
        ):
            yield f"{call.request_id} was held for {held_s:.2f} s by {call.entry}"

    def _lost_answer_violations(self, call: SentCall, runs: int) -> Iterator[str]:
        """Yield a violation if a planned stop lost the answer to `call`."""
        start_s = call.sent_at_s - QUIET_PERIOD_S
        if self._fault_windows.has_unplanned(start_s, call.ended_at_s):
            return
        if is_lost_answer(call, has_run=runs > 0):
            yield f"{call.request_id} at {call.entry} got no whole answer"

    def _run_violations(self, run: ServerRun) -> Iterator[str]:
        call = self._calls.get(run.request_id)
        if call is None:
            yield f"{run.vm} ran {run.request_id!r}, which no caller sent"
            return
        if run.key:
            yield f"{run.vm} got the key of {run.request_id}"
        if run.account != call.account:
            yield f"{run.request_id} of {call.account} ran for {run.account!r}"
        if (run.path, run.body_digest) != (call.path, call.body_digest):
            yield f"{run.request_id} ran with another path or body"
        is_undisturbed = self._is_undisturbed(
            call.entry, call.sent_at_s, run.started_at_s
        )
        revoked_at_s = self._revoked_at_s.get(call.key)
        if (
            is_undisturbed
            and revoked_at_s
            and call.sent_at_s > revoked_at_s + _REVOCATION_LIMIT_S
        ):
            yield (
                f"{run.request_id} ran {run.started_at_s - revoked_at_s:.1f} s "
                "after its key went"
            )
        if is_undisturbed and any(
            period.vm == run.vm and period.forbids(call.sent_at_s, run.started_at_s)
            for period in self._departures
        ):
            yield f"{run.request_id} ran at {run.vm}, which leaves"
        # A resumed server starts requests that arrived while it was paused.
        is_undisturbed = is_undisturbed and self._is_undisturbed(
            run.vm, call.sent_at_s, run.started_at_s
        )
        if (
            is_undisturbed
            and call.outcome is CallOutcome.LEFT
            and run.started_at_s > call.ended_at_s + _CANCELLATION_LIMIT_S
        ):
            yield f"{run.request_id} began after its caller had left"

    def _is_undisturbed(self, target: str, start_s: float, end_s: float) -> bool:
        return not (
            self._is_affected(target, start_s, end_s)
            or self._fault_windows.is_affected(SOAK_PROCESS, start_s, end_s)
        )

    def _is_affected(self, target: str, start_s: float, end_s: float) -> bool:
        return self._fault_windows.is_affected(target, start_s - QUIET_PERIOD_S, end_s)


def _crash_times_s(runs: list[ServerRun]) -> Iterator[float]:
    """Yield when servers crashed, given the runs of one request in order of time."""
    latest_s: dict[str, float] = {}
    for run in runs:
        if run.started_at_s - latest_s.get(run.vm, float("-inf")) > _SAME_CRASH_S:
            yield run.started_at_s
            latest_s[run.vm] = run.started_at_s


def _answer_violations(call: SentCall) -> Iterator[str]:
    answer = call.answer
    if not answer.status:
        return
    if answer.request_id and answer.request_id != call.request_id:
        yield f"{call.request_id} got the answer of {answer.request_id}"
    if not 200 <= answer.status < 300:
        return
    if not answer.has_seal:
        yield f"{call.request_id} got a success without a seal"
    if call.kind is CallKind.STREAM:
        yield from _stream_violations(call)
    elif answer.is_complete and answer.body != b"answer to " + call.path.encode():
        yield f"{call.request_id} got another body: {answer.body[:60]!r}"


def _stream_violations(call: SentCall) -> Iterator[str]:
    numbers = [number for number, _ in call.answer.events]
    if numbers != list(range(1, len(numbers) + 1)):
        yield f"{call.request_id} got events {numbers}"
    if any(text != f"token {number}" for number, text in call.answer.events):
        yield f"{call.request_id} got the text of another event"
    if call.answer.is_complete and (
        len(numbers) != call.event_count or call.answer.trailing_bytes
    ):
        yield f"{call.request_id} ended as complete after {len(numbers)} events"
