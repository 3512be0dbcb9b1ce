"""One attempt to get (the rest of) an answer from one replica group."""

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
from pomelolug.gateway._sinks import AnswerSink

__all__ = ["AttemptResult", "Progress", "run_attempt"]

_LOOKS_PER_GAP = 4
_SHORTEST_LOOK_S = 0.001


class AttemptResult(enum.Enum):
    """How an attempt ended."""

    COMPLETE = "complete"
    REFUSED = "refused"
    NOT_REACHED = "not_reached"
    CUT = "cut"
    SILENT = "silent"


class Progress:
    """What the caller has of its answer, across attempts.

    Parameters
    ----------
    request_id : str
        Identifier that each event must echo.
    started : float
        Monotonic reading at which the request arrived, in seconds.
    """

    def __init__(self, request_id: str, started: float) -> None:
        self._request_id = request_id
        self._started = started
        self.position = 0
        self.first_token_at: float | None = None
        self.last_token_at: float | None = None
        self.refusal = ""
        self.maybe_ran = False

    @property
    def request_id(self) -> str:
        """Identifier that each event must echo."""
        return self._request_id

    @property
    def started(self) -> float:
        """Monotonic reading at which the request arrived, in seconds."""
        return self._started

    def on_token(self, now: float) -> None:
        """Count a token that the caller has got at `now`."""
        self.position += 1
        self.last_token_at = now
        if self.first_token_at is None:
            self.first_token_at = now


class _Watch:
    """Finds an engine that says nothing and a caller that does not read.

    A timer that is set again for each token costs more than the rest of the
    token's handling. The time of the last event is noted instead, and a timer
    looks at it several times within the limit.
    """

    def __init__(
        self,
        timeout: asyncio.Timeout,
        clock: Clock,
        *,
        first: datetime.timedelta,
        gap: datetime.timedelta,
        write: datetime.timedelta,
    ) -> None:
        self._timeout = timeout
        self._clock = clock
        self._gap_s = gap.total_seconds()
        self._limit_s = first.total_seconds()
        self._write_s = write.total_seconds()
        self._since = clock.monotonic()
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self.writing = False
        self._look_again()

    def caller(self) -> None:
        """Note that the caller has to read now."""
        self.writing = True
        self._since = self._clock.monotonic()

    def engine(self) -> float:
        """Note that the engine has to send now; return the time."""
        self.writing = False
        self._limit_s = self._gap_s
        self._since = self._clock.monotonic()
        return self._since

    def stop(self) -> None:
        """Look no more."""
        if self._timer is not None:
            self._timer.cancel()

    def _look_again(self) -> None:
        limit_s = self._write_s if self.writing else self._limit_s
        left_s = self._since + limit_s - self._clock.monotonic()
        if left_s <= 0:
            self._timeout.reschedule(self._loop.time())
            return
        delay_s = min(max(left_s, _SHORTEST_LOOK_S), self._gap_s / _LOOKS_PER_GAP)
        self._timer = self._loop.call_later(delay_s, self._look_again)


async def run_attempt(
    engine: EngineClient,
    address: str,
    request: GenerationRequest,
    sink: AnswerSink,
    progress: Progress,
    *,
    clock: Clock,
    metrics: GatewayMetrics,
    first_timeout: datetime.timedelta,
    gap_timeout: datetime.timedelta,
    write_timeout: datetime.timedelta,
) -> AttemptResult:
    """Stream tokens from one group to `sink` until the answer ends or breaks.

    Parameters
    ----------
    engine : EngineClient
        Adapter of the engines.
    address : str
        IP and port of the group's leader.
    request : GenerationRequest
        Starts at ``progress.position``.
    sink : AnswerSink
        Receives each token once and in order.
    progress : Progress
        Updated with each token that was passed on.
    clock : Clock
        Time source.
    metrics : GatewayMetrics
        Counts events that were dropped.
    first_timeout, gap_timeout : datetime.timedelta
        Longest wait for the first and for each further event.
    write_timeout : datetime.timedelta
        Longest time that the caller may leave a token unread.

    Returns
    -------
    AttemptResult
        `COMPLETE` only if the end marker agrees with the number of tokens.

    Raises
    ------
    RequestError
        ``caller_too_slow`` if the caller does not read.
    """
    stream = engine.generate(address, request)
    watch: _Watch | None = None
    try:
        async with asyncio.timeout(None) as timeout, contextlib.aclosing(stream):
            watch = _Watch(
                timeout,
                clock,
                first=first_timeout,
                gap=gap_timeout,
                write=write_timeout,
            )
            async for event in stream:
                if event.request_id != progress.request_id:
                    # An event of another request on this connection: nothing
                    # that follows on it can be trusted.
                    metrics.dropped_events.labels("crossed").inc()
                    return AttemptResult.CUT
                if isinstance(event, StreamEnd):
                    if event.token_count != progress.position:
                        metrics.dropped_events.labels("short_end").inc()
                        return AttemptResult.CUT
                    watch.caller()
                    await sink.end(event.token_count, event.finish_reason)
                    return AttemptResult.COMPLETE
                if event.position != progress.position:
                    if event.position > progress.position:
                        metrics.dropped_events.labels("gap").inc()
                        return AttemptResult.CUT
                    metrics.dropped_events.labels("repeated").inc()
                    continue
                watch.caller()
                await sink.token(event.position, event.text)
                progress.on_token(watch.engine())
    except TimeoutError:
        if watch is not None and watch.writing:
            raise RequestError(
                ErrorCode.CALLER_TOO_SLOW,
                "the caller did not read its answer in time",
                status=408,
                outcome=Outcome.UNKNOWN,
            ) from None
        return AttemptResult.SILENT
    except EngineRefusedError as error:
        progress.refusal = error.reason
        return AttemptResult.REFUSED
    except EngineUnavailableError as error:
        return AttemptResult.CUT if error.maybe_ran else AttemptResult.NOT_REACHED
    finally:
        if watch is not None:
            watch.stop()
    return AttemptResult.CUT
