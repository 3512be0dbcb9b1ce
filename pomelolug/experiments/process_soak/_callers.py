"""Callers that send calls over reused connections."""

import asyncio
import datetime
import hashlib
import itertools
import random
import time

from pomelolug.experiments.process_soak._calls import (
    TAINTED_PATH_PART,
    CallKind,
    CallOutcome,
    SentCall,
)
from pomelolug.experiments.process_soak._cluster import ProcessCluster
from pomelolug.experiments.process_soak._promises import GuaranteeChecker
from pomelolug.testing import (
    CRASH_PATH_PART,
    CRASHING_PROMPT_PART,
    encode_caller_request,
    read_response,
)
from pomelolug.transport import ClientConnection, HttpConnectionError, open_connection

__all__ = ["Callers"]

_KINDS = (CallKind.STREAM, CallKind.STREAM, CallKind.SAFE, CallKind.ONCE)
_DEADLINE_MS = {CallKind.SAFE: 3000, CallKind.ONCE: 3000, CallKind.STREAM: 6000}
_TIMEOUT_MARGIN_S = 2.0
"""Time after the deadline at which a caller gives up."""
_MEAN_THINK_TIME_S = 0.7
_EARLY_DISCONNECT_SHARE = 0.05
"""Share of calls whose caller disconnects early."""
_CONNECT_TIMEOUT = datetime.timedelta(seconds=1)
_MODELS = ("large", "small")
_MAX_EVENTS = 40
_MEAN_CRASH_PAUSE_S = 0.5
_MEAN_TAINTED_PAUSE_S = 1.5
_SHARED_PROMPT_PARTS = ("5a0001", "5a0002", "5a0003")
_COMPETITION_PAUSE_RANGE_S = (0.05, 0.3)
_CRASH_ACCOUNT = ("account-a", "key-a1")
"""Account and key of the calls that crash servers; this key is never revoked."""


class Callers:
    """Tasks that send calls until cancelled.

    Parameters
    ----------
    cluster : ProcessCluster
        Provides entry VMs and API keys.
    guarantees : GuaranteeChecker
        Receives each call that has ended.
    rng : random.Random
        Chooses kinds, models, stream lengths, pauses and early disconnects.
    """

    def __init__(
        self, cluster: ProcessCluster, guarantees: GuaranteeChecker, rng: random.Random
    ) -> None:
        self._cluster = cluster
        self._guarantees = guarantees
        self._rng = rng
        self._request_numbers = itertools.count(1)

    async def run(self) -> None:
        """Send one call after another until cancelled."""
        idle_connections: dict[str, ClientConnection] = {}
        while True:
            await asyncio.sleep(self._rng.expovariate(1.0 / _MEAN_THINK_TIME_S))
            entry = self._cluster.pick_entry(idle_connections)
            if entry:
                await self._send_call(self._new_call(entry), idle_connections)

    async def run_crashing(self, kind: CallKind) -> None:
        """Send the same call, which crashes servers, again and again until cancelled.

        Each is sent under another id, and most reach another entry VM than the last.
        """
        while True:
            await asyncio.sleep(self._rng.expovariate(1.0 / _MEAN_CRASH_PAUSE_S))
            entry = self._cluster.pick_entry(())
            if entry:
                await self._send_call(self._new_crashing_call(kind, entry), {})

    async def run_tainted(self) -> None:
        """Send calls, no two alike, with a part of the prompt that crashes servers."""
        while True:
            await asyncio.sleep(self._rng.expovariate(1.0 / _MEAN_TAINTED_PAUSE_S))
            entry = self._cluster.pick_entry(())
            if entry:
                await self._send_call(self._new_tainted_call(entry), {})

    async def run_competing(self, account: str) -> None:
        """Send one stream of an account after another, without a pause to think."""
        while True:
            await asyncio.sleep(self._rng.uniform(*_COMPETITION_PAUSE_RANGE_S))
            entry = self._cluster.pick_entry(())
            if entry:
                number = next(self._request_numbers)
                key = self._cluster.account_key(account)
                path = f"/{CallKind.STREAM.value}/{number}/{_MAX_EVENTS}"
                call = _make_call(number, CallKind.STREAM, path, account, key, entry)
                await self._send_call(call, {})

    async def _send_call(
        self, call: SentCall, idle_connections: dict[str, ClientConnection]
    ) -> None:
        entry = call.entry
        connection = idle_connections.pop(entry, None)
        try:
            if connection is None or not connection.is_reusable:
                host, _, port = self._cluster.caller_address(entry).rpartition(":")
                connection = await open_connection(
                    host, int(port), timeout=_CONNECT_TIMEOUT
                )
            else:
                call.is_first_on_connection = False
            call.sent_at_s = time.monotonic()
            await self._exchange(call, connection)
            if connection.is_reusable:
                idle_connections[entry] = connection
        except HttpConnectionError as error:
            never_sent = error.reason.startswith("connect_")
            call.outcome = (
                CallOutcome.NOT_CONNECTED if never_sent else CallOutcome.BROKEN
            )
        except TimeoutError:
            # `_exchange` set the outcome when it chose the timeout.
            pass
        except asyncio.CancelledError:
            call.outcome = CallOutcome.UNFINISHED
            raise
        finally:
            call.ended_at_s = time.monotonic()
            if connection is not None and idle_connections.get(entry) is not connection:
                connection.abort()
            self._guarantees.record_call(call)

    async def _exchange(self, call: SentCall, connection: ClientConnection) -> None:
        deadline_ms = _DEADLINE_MS[call.kind]
        connection.send(
            encode_caller_request(
                call.path,
                request_id=call.request_id,
                key=call.key,
                deadline_ms=deadline_ms,
                model=self._rng.choice(_MODELS) if call.event_count else "",
                prompt_parts=self._draw_prompt_parts(call),
                body=_call_body(call.kind, call.path, call.request_id),
            )
        )
        timeout_s = deadline_ms / 1000 + _TIMEOUT_MARGIN_S
        call.outcome = CallOutcome.OVERDUE
        if self._rng.random() < _EARLY_DISCONNECT_SHARE:
            call.outcome = CallOutcome.LEFT
            timeout_s = self._rng.uniform(0.0, 0.4)
        async with asyncio.timeout(timeout_s):
            await read_response(connection, call.answer)
        call.outcome = CallOutcome.ANSWERED

    def _new_call(self, entry: str) -> SentCall:
        number = next(self._request_numbers)
        kind = self._rng.choice(_KINDS)
        event_count = (
            self._rng.randint(1, _MAX_EVENTS) if kind is CallKind.STREAM else 0
        )
        account, key = self._cluster.pick_key()
        return _make_call(
            number, kind, f"/{kind.value}/{number}/{event_count}", account, key, entry
        )

    def _draw_prompt_parts(self, call: SentCall) -> tuple[str, ...]:
        if not call.event_count:
            return ()
        shared = self._rng.choice(_SHARED_PROMPT_PARTS)
        own = f"{int(call.request_id[1:]):x}"
        if TAINTED_PATH_PART in call.path:
            return (shared, CRASHING_PROMPT_PART, own)
        return (shared, own)

    def _new_tainted_call(self, entry: str) -> SentCall:
        account, key = _CRASH_ACCOUNT
        number = next(self._request_numbers)
        path = f"/{CallKind.STREAM.value}{TAINTED_PATH_PART}{number}/1"
        return _make_call(number, CallKind.STREAM, path, account, key, entry)

    def _new_crashing_call(self, kind: CallKind, entry: str) -> SentCall:
        path = f"/{kind.value}{CRASH_PATH_PART}{1 if kind is CallKind.STREAM else 0}"
        account, key = _CRASH_ACCOUNT
        number = next(self._request_numbers)
        return _make_call(number, kind, path, account, key, entry)


def _make_call(
    number: int, kind: CallKind, path: str, account: str, key: str, entry: str
) -> SentCall:
    request_id = f"r{number}"
    body = _call_body(kind, path, request_id)
    return SentCall(
        request_id=request_id,
        kind=kind,
        path=path,
        body_digest=hashlib.sha256(body).hexdigest()[:16],
        account=account,
        key=key,
        entry=entry,
        sent_at_s=time.monotonic(),
        event_count=int(path.rpartition("/")[2]),
    )


def _call_body(kind: CallKind, path: str, request_id: str) -> bytes:
    """Return the body of a call, which is the same for calls that crash servers."""
    if kind is CallKind.SAFE:
        return b""
    return b"crash" if CRASH_PATH_PART in path else request_id.encode()
