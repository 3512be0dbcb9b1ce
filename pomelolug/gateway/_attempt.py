"""One attempt to get (the rest of) an answer from one replica group."""

import asyncio
import contextlib
import datetime
import enum

from pomelolug.clock import Clock
from pomelolug.engines import (
    Engine,
    EngineRefusedError,
    EngineRequest,
    EngineUnavailableError,
    StreamEnd,
)
from pomelolug.errors import ErrorCode, Outcome, RequestError
from pomelolug.gateway._metrics import GatewayMetrics
from pomelolug.gateway._sinks import AnswerSink

__all__ = ["AttemptResult", "Progress", "run_attempt"]


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


class _Watch:
    """Rearms one timeout between waiting for the engine and for the caller.

    A timeout object for each token would cost more than the rest of the token's
    handling, so that one object is rescheduled.
    """

    def __init__(
        self,
        timeout: asyncio.Timeout,
        clock: Clock,
        gap: datetime.timedelta,
        write: datetime.timedelta,
    ) -> None:
        self._timeout = timeout
        self._clock = clock
        self._gap_s = gap.total_seconds()
        self._write_s = write.total_seconds()
        self.writing = False

    def engine(self) -> None:
        """Allow one token gap from now on."""
        self.writing = False
        self._timeout.reschedule(self._clock.monotonic() + self._gap_s)

    def caller(self) -> None:
        """Allow one write timeout from now on."""
        self.writing = True
        self._timeout.reschedule(self._clock.monotonic() + self._write_s)


async def run_attempt(
    engine: Engine,
    address: str,
    request: EngineRequest,
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
    engine : Engine
        Adapter of the engines.
    address : str
        IP and port of the group's leader.
    request : EngineRequest
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
            first = _Watch(timeout, clock, first_timeout, write_timeout)
            watch = _Watch(timeout, clock, gap_timeout, write_timeout)
            first.engine()
            async for event in stream:
                if event.request_id != progress.request_id:
                    # An event of another request on this connection: nothing
                    # that follows on it can be trusted.
                    metrics.dropped_events.labels("crossed").inc()
                    return AttemptResult.CUT
                if isinstance(event, StreamEnd):
                    if event.tokens != progress.position:
                        metrics.dropped_events.labels("short_end").inc()
                        return AttemptResult.CUT
                    watch.caller()
                    await sink.end(event.tokens, event.finish_reason)
                    return AttemptResult.COMPLETE
                if event.position < progress.position:
                    metrics.dropped_events.labels("repeated").inc()
                    continue
                if event.position > progress.position:
                    metrics.dropped_events.labels("gap").inc()
                    return AttemptResult.CUT
                watch.caller()
                await sink.token(event.position, event.text)
                progress.position += 1
                progress.last_token_at = clock.monotonic()
                if progress.first_token_at is None:
                    progress.first_token_at = progress.last_token_at
                watch.engine()
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
        return AttemptResult.CUT if error.maybe_run else AttemptResult.NOT_REACHED
    return AttemptResult.CUT
