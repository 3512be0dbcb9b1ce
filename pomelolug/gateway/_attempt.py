"""Attempt to stream a response, or the rest of it, from one replica group."""

import asyncio
import contextlib
import datetime
import enum

from pomelolug.clock import Clock
from pomelolug.engines import (
    EngineClient,
    EngineRefusedError,
    EngineUnavailableError,
    GenerationRequest,
    StreamEnd,
)
from pomelolug.errors import ErrorCode, Outcome, RequestError
from pomelolug.gateway._metrics import GatewayMetrics
from pomelolug.gateway._sinks import ResponseSink

__all__ = ["AttemptResult", "Progress", "run_attempt"]

# Number of times that the idle timer runs within the timeout between two events.
_CHECKS_PER_GAP = 4
_MIN_CHECK_DELAY_S = 0.001


class AttemptResult(enum.Enum):
    """How an attempt ended.

    `REFUSED` and `NOT_REACHED` mean that the engine ran nothing. `CUT` is a stream that
    ended early or was inconsistent, and `SILENT` is one that exceeded a timeout.
    """

    COMPLETE = "complete"
    REFUSED = "refused"
    NOT_REACHED = "not_reached"
    CUT = "cut"
    SILENT = "silent"


class Progress:
    """How much of its response the caller has received, across all attempts.

    `position` is the number of tokens forwarded so far, `refusal_reason` the engine's
    code of the last refusal, and `maybe_ran` tells whether any attempt may have run
    the request.

    Parameters
    ----------
    request_id : str
        Identifier that every event must repeat.
    started_at_s : float
        Monotonic time at which the request arrived, in seconds.
    """

    def __init__(self, request_id: str, started_at_s: float) -> None:
        self._request_id = request_id
        self._started_at_s = started_at_s
        self.position = 0
        self.first_token_at_s: float | None = None
        self.last_token_at_s: float | None = None
        self.refusal_reason = ""
        self.maybe_ran = False

    @property
    def request_id(self) -> str:
        """Identifier that every event must repeat."""
        return self._request_id

    @property
    def started_at_s(self) -> float:
        """Monotonic time at which the request arrived, in seconds."""
        return self._started_at_s

    def on_token(self, now_s: float) -> None:
        """Record a token that was forwarded to the caller at `now_s`."""
        self.position += 1
        self.last_token_at_s = now_s
        if self.first_token_at_s is None:
            self.first_token_at_s = now_s


class _IdleTimeout:
    """Detects an engine that sends nothing and a caller that does not read.

    Rescheduling a timer for every token costs more than the rest of the processing of
    the token. Only the time of the last event is recorded instead, and a timer checks
    it several times within the limit.
    """

    def __init__(
        self,
        timeout: asyncio.Timeout,
        clock: Clock,
        *,
        first_timeout: datetime.timedelta,
        gap_timeout: datetime.timedelta,
        write_timeout: datetime.timedelta,
    ) -> None:
        self._timeout = timeout
        self._clock = clock
        self._gap_s = gap_timeout.total_seconds()
        self._read_limit_s = first_timeout.total_seconds()
        self._write_limit_s = write_timeout.total_seconds()
        self._idle_since_s = clock.monotonic()
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self.is_writing = False
        self._check()

    def start_write(self) -> None:
        """Start waiting for the caller to read."""
        self.is_writing = True
        self._idle_since_s = self._clock.monotonic()

    def start_read(self) -> float:
        """Start waiting for the engine to send, and return the time in seconds."""
        self.is_writing = False
        self._read_limit_s = self._gap_s
        self._idle_since_s = self._clock.monotonic()
        return self._idle_since_s

    def stop(self) -> None:
        """Stop checking."""
        if self._timer is not None:
            self._timer.cancel()

    def _check(self) -> None:
        limit_s = self._write_limit_s if self.is_writing else self._read_limit_s
        remaining_s = self._idle_since_s + limit_s - self._clock.monotonic()
        if remaining_s <= 0:
            self._timeout.reschedule(self._loop.time())
            return
        delay_s = min(
            max(remaining_s, _MIN_CHECK_DELAY_S), self._gap_s / _CHECKS_PER_GAP
        )
        self._timer = self._loop.call_later(delay_s, self._check)


async def run_attempt(
    engine: EngineClient,
    address: str,
    request: GenerationRequest,
    sink: ResponseSink,
    progress: Progress,
    *,
    clock: Clock,
    metrics: GatewayMetrics,
    first_timeout: datetime.timedelta,
    gap_timeout: datetime.timedelta,
    write_timeout: datetime.timedelta,
) -> AttemptResult:
    """Stream tokens from one group to `sink` until the response ends or fails.

    Parameters
    ----------
    engine : EngineClient
        Client of the engines.
    address : str
        IP address and port of the group's leader.
    request : GenerationRequest
        Request whose `resume_from` equals ``progress.position``.
    sink : ResponseSink
        Receives each token once and in order.
    progress : Progress
        Updated for each token that was forwarded.
    clock : Clock
        Source of monotonic time.
    metrics : GatewayMetrics
        Metrics that count the dropped events.
    first_timeout, gap_timeout : datetime.timedelta
        Timeouts for the first event and for each further one.
    write_timeout : datetime.timedelta
        Timeout for the caller to read a token.

    Returns
    -------
    AttemptResult
        `COMPLETE` only if the end marker matches the number of tokens.

    Raises
    ------
    RequestError
        ``caller_too_slow`` if the caller does not read.
    """
    stream = engine.generate(address, request)
    idle_timeout: _IdleTimeout | None = None
    try:
        async with asyncio.timeout(None) as timeout, contextlib.aclosing(stream):
            idle_timeout = _IdleTimeout(
                timeout,
                clock,
                first_timeout=first_timeout,
                gap_timeout=gap_timeout,
                write_timeout=write_timeout,
            )
            async for event in stream:
                if event.request_id != progress.request_id:
                    # The event belongs to another request, so nothing that follows
                    # on this connection can be trusted.
                    metrics.dropped_events.labels("crossed").inc()
                    return AttemptResult.CUT
                if isinstance(event, StreamEnd):
                    if event.token_count != progress.position:
                        metrics.dropped_events.labels("short_end").inc()
                        return AttemptResult.CUT
                    idle_timeout.start_write()
                    await sink.finish(event.token_count, event.finish_reason)
                    return AttemptResult.COMPLETE
                if event.position != progress.position:
                    if event.position > progress.position:
                        metrics.dropped_events.labels("gap").inc()
                        return AttemptResult.CUT
                    metrics.dropped_events.labels("repeated").inc()
                    continue
                idle_timeout.start_write()
                await sink.write_token(event.position, event.text)
                progress.on_token(idle_timeout.start_read())
    except TimeoutError:
        if idle_timeout is not None and idle_timeout.is_writing:
            raise RequestError(
                ErrorCode.CALLER_TOO_SLOW,
                "the caller did not read its answer in time",
                status=408,
                outcome=Outcome.UNKNOWN,
            ) from None
        return AttemptResult.SILENT
    except EngineRefusedError as error:
        progress.refusal_reason = error.reason
        return AttemptResult.REFUSED
    except EngineUnavailableError as error:
        return AttemptResult.CUT if error.maybe_ran else AttemptResult.NOT_REACHED
    finally:
        if idle_timeout is not None:
            idle_timeout.stop()
    return AttemptResult.CUT
