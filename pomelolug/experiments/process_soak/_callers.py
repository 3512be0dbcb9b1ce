"""Callers that keep their connections and repeat what was refused."""

import asyncio
import datetime
import hashlib
import itertools
import random
import time

from pomelolug.experiments.process_soak._calls import CallKind, End, SentCall
from pomelolug.experiments.process_soak._promises import Promises
from pomelolug.experiments.process_soak._world import World
from pomelolug.testing import encode_caller_request, read_response
from pomelolug.transport import ClientConnection, HttpConnectionError, open_connection

__all__ = ["Callers"]

_KINDS = (CallKind.STREAM, CallKind.STREAM, CallKind.SAFE, CallKind.ONCE)
_DEADLINE_MS = {CallKind.SAFE: 3000, CallKind.ONCE: 3000, CallKind.STREAM: 6000}
_OVERDUE_S = 2.0
"""Time beyond the deadline after which a caller gives up."""
_MEAN_PAUSE_S = 0.7
_LEAVES = 0.05
"""Share of callers that leave early."""
_CONNECT_TIMEOUT = datetime.timedelta(seconds=1)
_MODELS = ("large", "small")
_MOST_EVENTS = 40


class Callers:
    """Tasks that send calls until cancelled.

    Parameters
    ----------
    world : World
        Entry VMs that take new connections, and keys.
    promises : Promises
        Takes each call that has ended.
    rng : random.Random
        Chooses kinds, sizes, entries and pauses.
    """

    def __init__(self, world: World, promises: Promises, rng: random.Random) -> None:
        self._world = world
        self._promises = promises
        self._rng = rng
        self._numbers = itertools.count(1)

    async def run(self) -> None:
        """Send one call after another."""
        kept: dict[str, ClientConnection] = {}
        while True:
            await asyncio.sleep(self._rng.expovariate(1.0 / _MEAN_PAUSE_S))
            entry = self._world.pick_entry(kept)
            if entry:
                await self._call(entry, kept)

    async def _call(self, entry: str, kept: dict[str, ClientConnection]) -> None:
        call = self._new_call(entry)
        connection = kept.pop(entry, None)
        try:
            if connection is None or not connection.is_reusable:
                host, _, port = self._world.caller_address(entry).rpartition(":")
                connection = await open_connection(
                    host, int(port), timeout=_CONNECT_TIMEOUT
                )
            else:
                call.fresh = False
            call.sent_at = time.monotonic()
            await self._exchange(call, connection)
            if connection.is_reusable:
                kept[entry] = connection
        except HttpConnectionError as error:
            never_sent = error.reason.startswith("connect_")
            call.end = End.NOT_CONNECTED if never_sent else End.BROKEN
        except TimeoutError:
            # The end was set where the time-out was chosen.
            pass
        except asyncio.CancelledError:
            call.end = End.UNFINISHED
            raise
        finally:
            call.ended_at = time.monotonic()
            if connection is not None and kept.get(entry) is not connection:
                connection.abort()
            self._promises.ended(call)

    async def _exchange(self, call: SentCall, connection: ClientConnection) -> None:
        deadline_ms = _DEADLINE_MS[call.kind]
        body = b"" if call.kind is CallKind.SAFE else call.request.encode()
        connection.send(
            encode_caller_request(
                call.path,
                request_id=call.request,
                key=call.key,
                deadline_ms=deadline_ms,
                model=self._rng.choice(_MODELS) if call.events else "",
                body=body,
            )
        )
        wait_s = deadline_ms / 1000 + _OVERDUE_S
        call.end = End.OVERDUE
        if self._rng.random() < _LEAVES:
            call.end = End.LEFT
            wait_s = self._rng.uniform(0.0, 0.4)
        async with asyncio.timeout(wait_s):
            await read_response(connection, call.answer)
        call.end = End.ANSWERED

    def _new_call(self, entry: str) -> SentCall:
        number = next(self._numbers)
        kind = self._rng.choice(_KINDS)
        events = self._rng.randint(1, _MOST_EVENTS) if kind is CallKind.STREAM else 0
        account, key = self._world.pick_key()
        request = f"r{number}"
        body = b"" if kind is CallKind.SAFE else request.encode()
        return SentCall(
            request=request,
            kind=kind,
            path=f"/{kind.value}/{number}/{events}",
            digest=hashlib.sha256(body).hexdigest()[:16],
            account=account,
            key=key,
            entry=entry,
            sent_at=time.monotonic(),
            events=events,
        )
