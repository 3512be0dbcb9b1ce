"""Forwarding of requests to plain services, which have no inference engine."""

import asyncio
import random

from pomelolug.clock import Clock
from pomelolug.deployment import BackendServer, Repeatability
from pomelolug.entry._attempt import Attempt, AttemptError, RunStatus
from pomelolug.entry._repeats import RetryLimiter
from pomelolug.entry._request_context import (
    RequestContext,
    not_run_error,
    server_wait_error,
    unknown_outcome_error,
)
from pomelolug.entry._request_record import AttemptRecord
from pomelolug.entry._run_monitor import RunMonitor
from pomelolug.entry._server_notices import ServerNotices
from pomelolug.entry._server_tracker import ServerTracker
from pomelolug.errors import ErrorCode, RequestError
from pomelolug.ids import VmId, ZoneId
from pomelolug.platform import ServerReply, response_headers
from pomelolug.transport import BufferBudget, ConnectionPool, ResponseHead

__all__ = ["PlainForwarder"]

_MAX_ATTEMPTS = 4
"""Maximum number of servers tried, including those that refuse the request."""
_MAX_BODY_BYTES = 16 * 1024 * 1024
_MAX_BUFFERED_BODY_BYTES = 32 * 1024 * 1024
"""Maximum size of all bodies in assembly, of the 200 MB of a small entry VM."""
_CROSS_ZONE_PENALTY = 0.1
"""Load, as a fraction of the slots, that a server in another zone must save."""
_FAILURE_PENALTY = 0.5
"""Load, as a fraction of the slots, that one recent failure counts for."""
_ATTEMPT_TIMEOUT_FACTOR = 1.5
"""Timeout of an attempt, as a multiple of the latency target of the route.

The final attempt of a request has no timeout besides the deadline.
"""


class PlainForwarder:
    """Forwards requests to the servers of a plain service.

    Parameters
    ----------
    server_tracker : ServerTracker
        Servers and their load.
    pool : ConnectionPool
        Pool of connections to servers.
    retry_limiter : RetryLimiter
        Limits retries on further servers.
    run_monitor : RunMonitor
        Refuses requests that crash servers.
    notices : ServerNotices
        What servers state about the requests that they take.
    clock : Clock
        Source of monotonic time.
    zone : ZoneId
        Zone of this node.
    rng : random.Random
        Breaks ties between servers.
    """

    def __init__(
        self,
        *,
        server_tracker: ServerTracker,
        pool: ConnectionPool,
        retry_limiter: RetryLimiter,
        run_monitor: RunMonitor,
        notices: ServerNotices,
        clock: Clock,
        zone: ZoneId,
        rng: random.Random,
    ) -> None:
        self._server_tracker = server_tracker
        self._pool = pool
        self._retry_limiter = retry_limiter
        self._run_monitor = run_monitor
        self._notices = notices
        self._clock = clock
        self._zone = zone
        self._rng = rng
        self._body_budget = BufferBudget(_MAX_BUFFERED_BODY_BYTES)

    async def forward(self, context: RequestContext) -> None:
        """Forward a request and send the response to the caller.

        Raises
        ------
        RequestError
            If no server returned a response that can be passed on.
        """
        tried: set[VmId] = set()
        possible_runs = 0
        error: RequestError | None = None
        for attempt_index in range(_MAX_ATTEMPTS):
            server = self._select_server(context, tried)
            if server is None:
                break
            if attempt_index and not self._retry_limiter.try_spend(context):
                break
            tried.add(server.vm)
            is_final = (
                possible_runs + 1 >= context.route.max_attempts
                or not context.route.is_repeatable
            )
            try:
                reply, response_head, body = await self._run_attempt(
                    context, server, is_final=is_final
                )
            except AttemptError as failure:
                if failure.is_server_failure:
                    self._server_tracker.record_failure(server.vm)
                possible_runs += failure.run_status is RunStatus.MAY_HAVE_RUN
                error = _to_request_error(failure, possible_runs)
                if failure.run_status is RunStatus.MAY_HAVE_RUN and is_final:
                    break
                continue
            if reply.refused:
                error = not_run_error(
                    ErrorCode.BACKEND_REFUSED, "no server took the request"
                )
                error = (
                    error
                    if not possible_runs
                    else _backend_lost_error("the server refused a repeat")
                )
                continue
            if reply.status >= 500 and not is_final:
                self._server_tracker.record_failure(server.vm)
                possible_runs += 1
                error = _backend_lost_error("the servers failed")
                continue
            self._retry_limiter.on_success(context)
            context.record.status = reply.status
            context.exchange.reply(reply.status, response_headers(response_head), body)
            return
        raise error or self._no_server_error(context)

    async def _run_attempt(
        self, context: RequestContext, server: BackendServer, *, is_final: bool
    ) -> tuple[ServerReply, ResponseHead, bytes]:
        """Send to one server; `is_final` if no other may run the request after it."""
        record = AttemptRecord(
            server.vm,
            self._server_tracker.in_flight(server.vm),
            len(self._server_tracker.servers(context.service.name)),
            self._notices.request_limit_per_s(server.vm),
        )
        context.record.attempts.append(record)
        load = self._server_tracker.load(server.vm)
        load.in_flight += 1
        try:
            async with asyncio.timeout(self._attempt_timeout_s(context, is_final)):
                result = await self._send_and_receive(context, server)
        except AttemptError as failure:
            record.result = failure.reason
            raise
        except TimeoutError as error:
            record.result = "slow"
            raise AttemptError(
                "slow", run_status=RunStatus.MAY_HAVE_RUN, may_have_arrived=True
            ) from error
        except asyncio.CancelledError:
            record.result = "cancelled"
            raise
        finally:
            load.in_flight -= 1
        record.result = str(result[0].status)
        return result

    def _attempt_timeout_s(
        self, context: RequestContext, is_final: bool
    ) -> float | None:
        """Return the time in seconds after which another server is tried."""
        if is_final:
            return None
        return context.route.latency_target.total_seconds() * _ATTEMPT_TIMEOUT_FACTOR

    async def _send_and_receive(
        self, context: RequestContext, server: BackendServer
    ) -> tuple[ServerReply, ResponseHead, bytes]:
        at_most_once = context.route.repeatability is Repeatability.AT_MOST_ONCE
        data = context.encode_for_server(
            server.vm, now_s=self._clock.monotonic(), last_event_id=None
        )
        async with Attempt(
            self._pool,
            self._run_monitor,
            self._notices,
            server,
            request_id=context.request_head.request_id,
            identity=context.identity,
        ) as attempt:
            # A pooled connection may have been closed unnoticed, and a request that
            # may run only once could then not be sent again.
            await attempt.send(data, fresh=at_most_once)
            context.record.attempts[-1].may_have_run = True
            reply, response_head = await attempt.read_head()
            body = await attempt.read_body(_MAX_BODY_BYTES, budget=self._body_budget)
        if reply.refused:
            context.record.attempts[-1].may_have_run = False
            return reply, response_head, body
        if reply.encoded or (reply.status < 300 and not reply.sealed):
            raise AttemptError(
                "foreign_body", run_status=RunStatus.MAY_HAVE_RUN, may_have_arrived=True
            )
        return reply, response_head, body

    def _select_server(
        self, context: RequestContext, tried: set[VmId]
    ) -> BackendServer | None:
        servers = [
            s
            for s in self._server_tracker.servers(context.service.name)
            if s.vm not in tried
        ]
        if not servers:
            return None
        return min(servers, key=lambda s: (self._score(s), self._rng.random()))

    def _no_server_error(self, context: RequestContext) -> RequestError:
        wait = self._server_tracker.server_wait(context.service.name)
        if wait is not None:
            return server_wait_error(wait, self._rng)
        return not_run_error(ErrorCode.NO_GROUP, "no server of the service is ready")

    def _score(self, server: BackendServer) -> float:
        load = self._server_tracker.in_flight(server.vm) / max(server.slots, 1)
        zone_penalty = 0.0 if server.zone == self._zone else _CROSS_ZONE_PENALTY
        return (
            load
            + zone_penalty
            + _FAILURE_PENALTY * self._server_tracker.failure_score(server.vm)
        )


def _to_request_error(failure: AttemptError, possible_runs: int) -> RequestError:
    if possible_runs:
        return _backend_lost_error(f"the server's answer was lost: {failure.reason}")
    return not_run_error(ErrorCode.BACKEND_REFUSED, f"not sent: {failure.reason}")


def _backend_lost_error(message: str) -> RequestError:
    return unknown_outcome_error(ErrorCode.BACKEND_LOST, message)
