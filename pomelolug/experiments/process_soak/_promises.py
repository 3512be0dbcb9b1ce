"""Promises to callers, checked from what callers and servers saw."""

import datetime
from collections import Counter
from collections.abc import Iterator

from pomelolug.experiments.process_soak._calls import (
    CallKind,
    End,
    SentCall,
    ServerRun,
)
from pomelolug.experiments.process_soak._disturbances import Disturbances

__all__ = ["Promises"]

_NOT_RUN = (408, 421, 429, 503)
"""Statuses that promise that the request did not run and never will."""
_OWN_REFUSALS = (401, 403, 404)
_CONTACT_S = 4.0
"""Calm time after which bounds in time hold again for an entry VM."""
_REVOKED_S = 5.0
_DRAIN_S = 2.0
_LEFT_S = 0.5
_LATE_S = 0.5
_LOSS_S = 0.2
"""Time from which a request that was read has to be answered at a planned stop."""


class Promises:
    """Collects calls and runs, and finds broken promises at the end.

    Parameters
    ----------
    disturbances : Disturbances
        When which entry VM was disturbed.
    """

    def __init__(self, disturbances: Disturbances) -> None:
        self._disturbances = disturbances
        self._calls: dict[str, SentCall] = {}
        self._runs: list[ServerRun] = []
        self._revoked: dict[str, float] = {}
        self._drained: dict[str, float] = {}
        self._found: list[str] = []

    @property
    def calls(self) -> list[SentCall]:
        """Calls that have ended."""
        return list(self._calls.values())

    @property
    def runs(self) -> list[ServerRun]:
        """Runs in the order in which servers told them."""
        return list(self._runs)

    def ended(self, call: SentCall) -> None:
        """Take a call that has ended."""
        self._calls[call.request] = call

    def ran(self, run: ServerRun) -> None:
        """Take a run that a server began."""
        self._runs.append(run)

    def found(self, text: str) -> None:
        """Take a broken promise that was seen elsewhere."""
        self._found.append(text)

    def revoked(self, key: str, at: float) -> None:
        """Note that the declaration without a key was stored."""
        self._revoked[key] = at

    def drained(self, vm: str, at: float) -> None:
        """Note that a server's announcement to leave was stored."""
        self._drained.setdefault(vm, at)

    def forget_drain(self, vm: str) -> None:
        """Note that the entry of a server no longer says that it leaves."""
        self._drained.pop(vm, None)

    def check(self, *, timeouts: dict[CallKind, datetime.timedelta]) -> list[str]:
        """Return all broken promises."""
        counts = Counter(run.request for run in self._runs)
        found = list(self._found)
        for call in self._calls.values():
            found += _answer_faults(call)
            found += self._count_faults(call, counts[call.request])
            found += self._time_faults(call, timeouts[call.kind])
            found += self._loss(call, counts[call.request])
        for run in self._runs:
            found += self._run_faults(run)
        return found

    def _count_faults(self, call: SentCall, runs: int) -> Iterator[str]:
        if call.kind is CallKind.ONCE and runs > 1:
            yield f"{call.request} ran {runs} times and may run once"
        refused = call.answer.is_complete and call.answer.status in _NOT_RUN
        if call.kind is CallKind.ONCE and refused and runs:
            yield f"{call.request} was answered {call.answer.status} and ran"
        status = call.answer.status
        if status in _OWN_REFUSALS and call.key not in self._revoked:
            yield f"{call.request} with a valid key was answered {status}"

    def _time_faults(
        self, call: SentCall, timeout: datetime.timedelta
    ) -> Iterator[str]:
        """Yield a call that an undisturbed entry VM held beyond its time."""
        allowed_s = timeout.total_seconds() + _LATE_S
        held_s = call.ended_at - call.sent_at
        if held_s > allowed_s and self._calm(call.entry, call.sent_at, call.ended_at):
            yield f"{call.request} was held for {held_s:.2f} s by {call.entry}"

    def _loss(self, call: SentCall, runs: int) -> Iterator[str]:
        """Yield a call whose connection ended at a planned stop."""
        if call.end is not End.BROKEN or call.answer.is_complete:
            return
        since = call.sent_at - _CONTACT_S
        if self._disturbances.any_unplanned(since, call.ended_at):
            return
        # A call may cross the close of a kept connection and is then not read.
        read = runs or (call.fresh and call.ended_at - call.sent_at > _LOSS_S)
        if read:
            yield f"{call.request} at {call.entry} got no whole answer"

    def _run_faults(self, run: ServerRun) -> Iterator[str]:
        call = self._calls.get(run.request)
        if call is None:
            yield f"{run.vm} ran {run.request!r}, which no caller sent"
            return
        if run.key:
            yield f"{run.vm} got the key of {run.request}"
        if run.account != call.account:
            yield f"{run.request} of {call.account} ran for {run.account!r}"
        if (run.path, run.digest) != (call.path, call.digest):
            yield f"{run.request} ran with another path or body"
        calm = self._calm(call.entry, call.sent_at, run.at)
        revoked_at = self._revoked.get(call.key)
        if calm and revoked_at and call.sent_at > revoked_at + _REVOKED_S:
            yield f"{run.request} ran {run.at - revoked_at:.1f} s after its key went"
        drained_at = self._drained.get(run.vm)
        if calm and drained_at and call.sent_at > drained_at + _DRAIN_S:
            yield f"{run.request} ran at {run.vm}, which leaves"
        # A paused server begins with requests that arrived before.
        calm = calm and self._calm(run.vm, call.sent_at, run.at)
        if calm and call.end is End.LEFT and run.at > call.ended_at + _LEFT_S:
            yield f"{run.request} began after its caller had left"

    def _calm(self, place: str, start: float, end: float) -> bool:
        return not self._disturbances.touches(place, start - _CONTACT_S, end)


def _answer_faults(call: SentCall) -> Iterator[str]:
    answer = call.answer
    if not answer.status:
        return
    if answer.request_id and answer.request_id != call.request:
        yield f"{call.request} got the answer of {answer.request_id}"
    if not 200 <= answer.status < 300:
        return
    if not answer.has_seal:
        yield f"{call.request} got a success without a seal"
    if call.kind is CallKind.STREAM:
        yield from _stream_faults(call)
    elif answer.is_complete and answer.body != b"answer to " + call.path.encode():
        yield f"{call.request} got another body: {answer.body[:60]!r}"


def _stream_faults(call: SentCall) -> Iterator[str]:
    numbers = [number for number, _ in call.answer.events]
    if numbers != list(range(1, len(numbers) + 1)):
        yield f"{call.request} got events {numbers}"
    if any(text != f"token {number}" for number, text in call.answer.events):
        yield f"{call.request} got the text of another event"
    if call.answer.is_complete and (
        len(numbers) != call.events or call.answer.trailing_bytes
    ):
        yield f"{call.request} ended as complete after {len(numbers)} events"
