"""Requests to plain services."""

import asyncio
import random

from pomelolug.clock import Clock
from pomelolug.deployment import BackendServer, Repeatability
from pomelolug.entry._attempt import Attempt, AttemptError, Ran
from pomelolug.entry._call import Call, not_run, unknown
from pomelolug.entry._record import AttemptRecord
from pomelolug.entry._repeats import Repeats
from pomelolug.entry._server_tracker import ServerTracker
from pomelolug.errors import ErrorCode, RequestError
from pomelolug.ids import VmId, ZoneId
from pomelolug.platform import ServerReply, response_headers
from pomelolug.transport import ConnectionPool, ResponseHead

__all__ = ["PlainFlow"]

_MOST_SENDS = 4
_MOST_BODY_BYTES = 16 * 1024 * 1024
_ZONE_COST = 0.1
"""Part of a server's slots that must be saved to leave the zone."""
_FAILURE_COST = 0.5
"""Part of a server's slots that one recent failure counts for."""
_PATIENCE_FACTOR = 1.5
"""Latency targets after which an idempotent request is sent elsewhere."""


class PlainFlow:
    """Forwards requests to the servers of a service.

    Parameters
    ----------
    server_tracker : ServerTracker
        Servers and their load.
    pool : ConnectionPool
        Connections to servers.
    repeats : Repeats
        Budget of repeated requests.
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
        clock: Clock,
        zone: ZoneId,
        rng: random.Random,
    ) -> None:
        self._server_tracker = server_tracker
        self._pool = pool
        self._repeats = repeats
        self._clock = clock
        self._zone = zone
        self._rng = rng

    async def serve(self, call: Call) -> None:
        """Answer a request.

        Raises
        ------
        RequestError
            If no server's answer can be passed on.
        """
        tried: set[VmId] = set()
        runs = 0
        error: RequestError | None = None
        for number in range(_MOST_SENDS):
            server = self._choose(call, tried)
            if server is None:
                break
            if number and not self._repeats.allow(call):
                break
            tried.add(server.vm)
            last = runs + 1 >= call.route.max_attempts or not call.route.repeatable
            try:
                reply, head, body = await self._send(call, server, patient=last)
            except AttemptError as failure:
                self._server_tracker.record_failure(server.vm)
                runs += failure.ran is Ran.MAYBE
                error = _error(failure, runs)
                if failure.ran is Ran.MAYBE and last:
                    break
                continue
            if reply.refused:
                error = not_run(ErrorCode.BACKEND_REFUSED, "no server took the request")
                error = error if not runs else _lost("the server refused a repeat")
                continue
            if reply.status >= 500 and not last:
                self._server_tracker.record_failure(server.vm)
                runs += 1
                error = _lost("the servers failed")
                continue
            self._repeats.answered(call)
            call.record.status = reply.status
            call.exchange.reply(reply.status, response_headers(head), body)
            return
        raise error or not_run(ErrorCode.NO_GROUP, "no server of the service is ready")

    async def _send(
        self, call: Call, server: BackendServer, *, patient: bool
    ) -> tuple[ServerReply, ResponseHead, bytes]:
        record = AttemptRecord(
            server.vm,
            self._server_tracker.in_flight(server.vm),
            len(self._server_tracker.servers(call.service.name)),
        )
        call.record.attempts.append(record)
        load = self._server_tracker.load(server.vm)
        load.in_flight += 1
        try:
            async with asyncio.timeout(self._patience_s(call, patient)):
                result = await self._exchange(call, server)
        except AttemptError as failure:
            record.result = failure.reason
            raise
        except TimeoutError as error:
            record.result = "slow"
            raise AttemptError("slow", ran=Ran.MAYBE, arrived=True) from error
        except asyncio.CancelledError:
            record.result = "cancelled"
            raise
        finally:
            load.in_flight -= 1
        record.result = str(result[0].status)
        return result

    def _patience_s(self, call: Call, patient: bool) -> float | None:
        """Return how long to wait before another server is tried."""
        if patient:
            return None
        return call.route.target.total_seconds() * _PATIENCE_FACTOR

    async def _exchange(
        self, call: Call, server: BackendServer
    ) -> tuple[ServerReply, ResponseHead, bytes]:
        once = call.route.repeatability is Repeatability.ONCE
        data = call.encode(server.vm, now=self._clock.monotonic(), last_event=None)
        async with Attempt(self._pool, server.address, call.head.request) as attempt:
            # A kept connection may have ended unnoticed, after which a request
            # that may run once could not be sent again.
            await attempt.send(data, fresh=once)
            call.record.attempts[-1].may_have_run = True
            reply, head = await attempt.reply()
            body = await attempt.body(_MOST_BODY_BYTES)
        if reply.refused:
            call.record.attempts[-1].may_have_run = False
            return reply, head, body
        if reply.encoded or (reply.status < 300 and not reply.sealed):
            raise AttemptError("foreign_body", ran=Ran.MAYBE, arrived=True)
        return reply, head, body

    def _choose(self, call: Call, tried: set[VmId]) -> BackendServer | None:
        servers = [
            s
            for s in self._server_tracker.servers(call.service.name)
            if s.vm not in tried
        ]
        if not servers:
            return None
        return min(servers, key=lambda s: (self._score(s), self._rng.random()))

    def _score(self, server: BackendServer) -> float:
        load = self._server_tracker.in_flight(server.vm) / max(server.slots, 1)
        zone = 0.0 if server.zone == self._zone else _ZONE_COST
        return (
            load + zone + _FAILURE_COST * self._server_tracker.failure_score(server.vm)
        )


def _error(failure: AttemptError, runs: int) -> RequestError:
    if runs:
        return _lost(f"the server's answer was lost: {failure.reason}")
    return not_run(ErrorCode.BACKEND_REFUSED, f"not sent: {failure.reason}")


def _lost(message: str) -> RequestError:
    return unknown(ErrorCode.BACKEND_LOST, message)
