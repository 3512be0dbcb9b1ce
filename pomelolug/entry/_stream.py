"""Streams of replica groups."""

import asyncio
import datetime
import random
from collections.abc import AsyncIterator

from pomelolug.clock import Clock
from pomelolug.deployment import BackendServer, EngineProfile, ModelProfile
from pomelolug.entry._attempt import Attempt, AttemptError, Ran
from pomelolug.entry._call import Call, not_run, unknown
from pomelolug.entry._choice import Candidate, choose, first_event_s
from pomelolug.entry._record import AttemptRecord
from pomelolug.entry._repeats import Repeats
from pomelolug.entry._server_tracker import ServerTracker
from pomelolug.entry._strikes import Strikes, fingerprint
from pomelolug.entry._watch import StallWatch
from pomelolug.errors import ErrorCode, Outcome, RequestError
from pomelolug.ids import VmId, ZoneId
from pomelolug.platform import EventSplitter, ServerReply, response_headers
from pomelolug.transport import ConnectionPool, ResponseHead

__all__ = ["StreamFlow"]

_MOST_SENDS = 5
_SERVER_LOST = frozenset({"reset", "closed", "stalled", "malformed"})
"""Results after which the server may have crashed."""
_MOST_FAILURE_BYTES = 1024 * 1024
_FULL_RETRY = datetime.timedelta(seconds=1.3)
"""Time to return after all groups were full.

Groups fill up when one is lost, and it serves again within two seconds if a spare
is ready.
"""
_NO_GROUP_RETRY = datetime.timedelta(seconds=2)
"""The same where no group of the model is open."""
_RETRY_JITTER = 0.15
"""Part by which these times vary, so that callers do not return together."""
_RESUME_WAIT_S = 1.0
"""Longest wait for a group that can continue a stream."""
_RESUME_POLL = datetime.timedelta(milliseconds=50)


class _Progress:
    """What the caller has received of one stream."""

    __slots__ = ("fresh", "last_event", "runs", "sends", "started", "tried")

    def __init__(self, last_event: int | None) -> None:
        self.last_event = last_event
        self.started = False
        self.fresh = False
        self.runs = 0
        self.sends = 0
        self.tried: set[VmId] = set()


class StreamFlow:
    """Forwards streams and continues them at another group when one is lost.

    Parameters
    ----------
    server_tracker : ServerTracker
        Groups and their load.
    pool : ConnectionPool
        Connections to servers.
    repeats : Repeats
        Budget of repeated requests.
    watch : StallWatch
        Breaks off attempts at groups that stand still.
    strikes : Strikes
        Requests in flight when servers were lost.
    clock : Clock
        Source of monotonic time.
    zone : ZoneId
        Zone of this node.
    rng : random.Random
        Breaks ties.
    """

    def __init__(
        self,
        *,
        server_tracker: ServerTracker,
        pool: ConnectionPool,
        repeats: Repeats,
        watch: StallWatch,
        strikes: Strikes,
        clock: Clock,
        zone: ZoneId,
        rng: random.Random,
    ) -> None:
        self._server_tracker = server_tracker
        self._pool = pool
        self._repeats = repeats
        self._watch = watch
        self._strikes = strikes
        self._clock = clock
        self._zone = zone
        self._rng = rng

    async def serve(self, call: Call) -> None:
        """Answer a request.

        Raises
        ------
        RequestError
            If no event was forwarded and no group takes the request.
        """
        progress = _Progress(call.head.last_event)
        error: RequestError | None = None
        identity = fingerprint(call.account, call.exchange.target, call.exchange.body)
        while progress.sends < _MOST_SENDS:
            if self._strikes.condemned(identity):
                error = _condemned()
                break
            head = await self._choose(call, progress)
            if head is None:
                break
            if progress.sends and not self._repeats.allow(call):
                error = error or self._refused("the budget of repeats is used up")
                break
            progress.sends += 1
            progress.tried.add(head.vm)
            try:
                if await self._run(call, head, progress):
                    self._repeats.answered(call)
                    return
                self._server_tracker.record_refusal(head.vm)
                error = self._refused("no group took the request")
            except AttemptError as failure:
                if failure.stale and call.route.repeatable and not progress.fresh:
                    # The same server is asked again, so no further one runs it.
                    progress.fresh = True
                    progress.tried.discard(head.vm)
                    error = _error(failure, 1)
                    continue
                if failure.ran is Ran.MAYBE:
                    progress.runs += 1
                    if failure.reason in _SERVER_LOST:
                        # Each run counts, also one at a server that was lost
                        # with this request before and has returned.
                        loss = f"{head.vm}/{call.head.request}/{progress.runs}"
                        self._strikes.note(identity, loss)
                error = _error(failure, progress.runs)
                if not self._may_repeat(call, progress):
                    break
        self._give_up(call, progress, error)

    def _give_up(
        self, call: Call, progress: _Progress, error: RequestError | None
    ) -> None:
        if progress.started:
            call.record.code = ErrorCode.STREAM_CUT
            call.exchange.abort()
            return
        if progress.runs and (error is None or error.outcome is Outcome.NOT_RUN):
            raise unknown(ErrorCode.BACKEND_LOST, "the group was lost")
        if error is None:
            busy = self._busy(call)
            wait = _FULL_RETRY if busy else _NO_GROUP_RETRY
            error = _no_group(busy, self._jittered(wait))
        raise error

    def _refused(self, message: str) -> RequestError:
        return _refused(message, self._jittered(_FULL_RETRY))

    def _jittered(self, wait: datetime.timedelta) -> datetime.timedelta:
        return wait * self._rng.uniform(1.0 - _RETRY_JITTER, 1.0 + _RETRY_JITTER)

    def _may_repeat(self, call: Call, progress: _Progress) -> bool:
        if not progress.runs:
            return True
        return call.route.repeatable and progress.runs < call.route.max_attempts

    async def _choose(self, call: Call, progress: _Progress) -> BackendServer | None:
        """Return the head for the next try; a begun stream waits for one."""
        until = self._clock.monotonic() + _RESUME_WAIT_S
        while True:
            chosen = choose(
                self._candidates(call, progress), zone=self._zone, rng=self._rng
            )
            if chosen is not None:
                return chosen.server
            if not progress.started or self._clock.monotonic() >= until:
                return None
            await self._clock.sleep(_RESUME_POLL)

    def _candidates(self, call: Call, progress: _Progress) -> list[Candidate]:
        engine, model = _profiles(call)
        if engine is None or model is None:
            return []
        candidates = []
        target_s = call.route.target.total_seconds()
        for head in self._server_tracker.heads(model.name):
            if head.vm in progress.tried:
                continue
            in_flight = self._server_tracker.in_flight(head.vm)
            delay_s = first_event_s(engine, model, in_flight, call.head.prompt_tokens)
            # A request beyond the slots makes all that follow late as well.
            if in_flight < engine.slots or delay_s <= target_s:
                candidates.append(Candidate(head, delay_s))
        return candidates

    def _busy(self, call: Call) -> bool:
        """Return whether there are groups of the model, all of them full."""
        return call.head.model is not None and bool(
            self._server_tracker.heads(call.head.model)
        )

    async def _run(self, call: Call, head: BackendServer, progress: _Progress) -> bool:
        """Send to one group; return whether the caller has its answer."""
        assert call.head.model is not None
        record = AttemptRecord(
            head.vm,
            self._server_tracker.in_flight(head.vm),
            len(self._server_tracker.heads(call.head.model)),
        )
        call.record.attempts.append(record)
        load = self._server_tracker.load(head.vm)
        load.in_flight += 1
        try:
            done = await self._exchange(call, head, progress)
            record.result = "answered" if done else "refused"
            return done
        except AttemptError as failure:
            record.result = failure.reason
            if failure.ran is Ran.NO:
                self._server_tracker.suspect(head.vm)
            raise
        except asyncio.CancelledError:
            record.result = "cancelled"
            raise
        finally:
            load.in_flight -= 1

    async def _exchange(
        self, call: Call, head: BackendServer, progress: _Progress
    ) -> bool:
        now = self._clock.monotonic()
        data = call.encode(head.vm, now=now, last_event=progress.last_event)
        async with Attempt(self._pool, head.address, call.head.request) as attempt:
            await attempt.send(data, fresh=progress.fresh)
            call.record.attempts[-1].may_have_run = True
            watched = self._watch.enter(head.vm, attempt)
            try:
                reply, response = await attempt.reply()
                if reply.refused:
                    call.record.attempts[-1].may_have_run = False
                    return False
                if not 200 <= reply.status < 300:
                    return await self._failed(call, attempt, reply, response, progress)
                if reply.encoded or not reply.sealed:
                    raise AttemptError("foreign_body", ran=Ran.MAYBE, arrived=True)
                async for number, event in _events(attempt):
                    self._watch.moved(head.vm, watched)
                    self._server_tracker.record_progress(head.vm)
                    self._forward(call, response, progress, number, event)
                    await call.exchange.drain()
            finally:
                self._watch.leave(head.vm, watched)
        if not progress.started:
            self._start(call, response, progress)
        call.exchange.finish()
        return True

    async def _failed(
        self,
        call: Call,
        attempt: Attempt,
        reply: ServerReply,
        response: ResponseHead,
        progress: _Progress,
    ) -> bool:
        """Pass a server's failure on, unless another group may do better."""
        body = await attempt.body(_MOST_FAILURE_BYTES)
        more = call.route.repeatable and progress.runs + 1 < call.route.max_attempts
        if progress.started or (reply.status >= 500 and more):
            raise AttemptError("server_failed", ran=Ran.MAYBE, arrived=True)
        call.record.status = reply.status
        call.exchange.reply(reply.status, response_headers(response), body)
        return True

    def _start(self, call: Call, response: ResponseHead, progress: _Progress) -> None:
        progress.started = True
        call.record.status = response.status
        call.record.first_s = self._clock.monotonic() - call.arrived_at
        call.exchange.start(response.status, response_headers(response), length=None)

    def _forward(
        self,
        call: Call,
        response: ResponseHead,
        progress: _Progress,
        number: int | None,
        event: bytes,
    ) -> None:
        """Send an event to the caller unless it has it already."""
        if number is not None and progress.last_event is not None:
            if number <= progress.last_event:
                return
            if number != progress.last_event + 1:
                raise AttemptError("event_missing", ran=Ran.MAYBE, arrived=True)
        if not progress.started:
            self._start(call, response, progress)
        if number is not None:
            progress.last_event = number
        call.record.events += 1
        call.exchange.write(event)


async def _events(attempt: Attempt) -> AsyncIterator[tuple[int | None, bytes]]:
    """Yield the number and bytes of each whole event of a body."""
    splitter = EventSplitter()
    while (data := await attempt.chunk()) is not None:
        try:
            events = splitter.feed(data)
        except ValueError as error:
            raise AttemptError("event_size", ran=Ran.MAYBE, arrived=True) from error
        for event in events:
            yield event.number, event.data
    if splitter.rest:
        raise AttemptError("event_cut", ran=Ran.MAYBE, arrived=True)


def _profiles(call: Call) -> tuple[EngineProfile | None, ModelProfile | None]:
    engine = call.service.engine
    if engine is None or call.head.model is None:
        return engine, None
    return engine, engine.model(call.head.model)


def _refused(message: str, retry_after: datetime.timedelta) -> RequestError:
    return RequestError(
        ErrorCode.BACKEND_REFUSED,
        message,
        status=503,
        outcome=Outcome.NOT_RUN,
        retry_after=retry_after,
    )


def _condemned() -> RequestError:
    return not_run(ErrorCode.QUARANTINED, "servers were lost whenever this request ran")


def _no_group(busy: bool, retry_after: datetime.timedelta) -> RequestError:
    code = ErrorCode.QUEUE_FULL if busy else ErrorCode.NO_GROUP
    message = "all groups of the model are full" if busy else "no group is open"
    return RequestError(code, message, status=503, retry_after=retry_after)


def _error(failure: AttemptError, runs: int) -> RequestError:
    if runs:
        return unknown(
            ErrorCode.BACKEND_LOST, f"the group's answer was lost: {failure.reason}"
        )
    return not_run(ErrorCode.BACKEND_REFUSED, f"not sent: {failure.reason}")
