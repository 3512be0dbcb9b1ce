"""Callers of a trace and the load balancer in front of the gateways."""

import asyncio
import contextlib
import random
from collections.abc import Iterator, Sequence
from typing import Any

import aiohttp
import msgspec
import structlog

from pomelolug.experiments._calls import CallOutcome, CallPlan, CallRecord
from pomelolug.testing._tokens import AnswerCheck, check_answer

__all__ = ["Caller", "LoadBalancer"]

_READY_INTERVAL_S = 0.25
_READY_TIMEOUT = aiohttp.ClientTimeout(total=1.0)
# Time that a caller waits after its deadline before it gives up.
_DEADLINE_GRACE_S = 10.0
_REPEAT_DELAY_S = 0.3
_DONE = b"[DONE]"

_log = structlog.get_logger()


class LoadBalancer:
    """Tracks which gateways are ready, like the platform's load balancer.

    Parameters
    ----------
    session : aiohttp.ClientSession
        HTTP client session of the experiment.
    gateways : sequence of str
        IP address and port of each gateway.
    rng : random.Random
        Random number generator that shuffles the ready gateways.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        gateways: Sequence[str],
        rng: random.Random,
    ) -> None:
        self._session = session
        self._gateways = tuple(gateways)
        self._ready: set[str] = set()
        self._rng = rng

    @property
    def ready(self) -> frozenset[str]:
        """Gateways that were ready at the last probe."""
        return frozenset(self._ready)

    def shuffled_gateways(self) -> list[str]:
        """Return the ready gateways in random order."""
        ready = sorted(self._ready)
        self._rng.shuffle(ready)
        return ready

    def mark_unready(self, gateway: str) -> None:
        """Exclude `gateway` until a probe finds it ready again."""
        self._ready.discard(gateway)

    async def watch(self) -> None:
        """Probe the readiness of every gateway periodically until cancelled."""
        while True:
            await asyncio.gather(*(self._probe(item) for item in self._gateways))
            await asyncio.sleep(_READY_INTERVAL_S)

    async def _probe(self, gateway: str) -> None:
        try:
            async with self._session.get(
                f"http://{gateway}/readyz", timeout=_READY_TIMEOUT
            ) as response:
                is_ready = response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            is_ready = False
        if is_ready:
            self._ready.add(gateway)
        else:
            self._ready.discard(gateway)


class _Choice(msgspec.Struct):
    text: str = ""
    delta: dict[str, Any] = {}
    finish_reason: str | None = None


class _Chunk(msgspec.Struct):
    choices: tuple[_Choice, ...] = ()


class _Error(msgspec.Struct):
    code: str = ""
    outcome: str = ""
    request_id: str = ""


class _ErrorBody(msgspec.Struct):
    error: _Error = msgspec.field(default_factory=_Error)


_decode_chunk = msgspec.json.Decoder(_Chunk).decode
_decode_error = msgspec.json.Decoder(_ErrorBody).decode


class Caller:
    """Makes planned calls and records their results.

    Parameters
    ----------
    session : aiohttp.ClientSession
        HTTP client session without a connection limit.
    balancer : LoadBalancer
        Provides the ready gateways.
    keys : dict
        API keys by account.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        balancer: LoadBalancer,
        keys: dict[str, str],
    ) -> None:
        self._session = session
        self._balancer = balancer
        self._keys = keys
        self._records: list[CallRecord] = []

    @property
    def records(self) -> list[CallRecord]:
        """Records of all calls in the order of sending."""
        return self._records

    async def make_call(self, plan: CallPlan) -> None:
        """Make the call with its concurrent copies and its repeats."""
        order = self._balancer.shuffled_gateways()
        copies = [
            self._call_with_repeats(plan, order[index % len(order) :] if order else [])
            for index in range(plan.load.copies)
        ]
        await asyncio.gather(*copies)

    async def _call_with_repeats(self, plan: CallPlan, gateways: list[str]) -> None:
        for _ in range(plan.load.repeats + 1):
            record = await self._call(plan, gateways)
            if record.outcome in (CallOutcome.ANSWERED, CallOutcome.LOST):
                return
            await asyncio.sleep(_REPEAT_DELAY_S)
            gateways = self._balancer.shuffled_gateways()

    async def _call(self, plan: CallPlan, gateways: list[str]) -> CallRecord:
        loop = asyncio.get_running_loop()
        record = CallRecord(plan=plan, gateway="", sent_s=loop.time())
        self._records.append(record)
        try:
            async with asyncio.timeout(plan.deadline_s + _DEADLINE_GRACE_S):
                await self._send_to_first_reachable(record, gateways)
        except TimeoutError:
            record.code = "caller_timeout"
        except (aiohttp.ClientError, ConnectionError) as error:
            record.code = type(error).__name__
        record.ended_s = loop.time()
        if record.outcome is CallOutcome.LOST:
            _log.warning(
                "call_lost",
                call=plan.call_id,
                gateway=record.gateway,
                code=record.code,
                status=record.status,
            )
        return record

    async def _send_to_first_reachable(
        self, record: CallRecord, gateways: list[str]
    ) -> None:
        # Like the platform's load balancer, try the next gateway only if the connection
        # failed. Once connected, a gateway may have received the request.
        for gateway in gateways or self._balancer.shuffled_gateways():
            record.gateway = gateway
            try:
                return await self._send(record)
            except aiohttp.ClientConnectorError:
                self._balancer.mark_unready(gateway)
        record.outcome = CallOutcome.NOT_RUN
        record.code = "no_gateway"

    async def _send(self, record: CallRecord) -> None:
        plan = record.plan
        headers = {
            "Authorization": f"Bearer {self._keys[plan.load.account]}",
            "X-Work-Class": plan.load.work_class,
            "Content-Type": "application/json",
        }
        if plan.idempotency_key:
            headers["Idempotency-Key"] = plan.idempotency_key
            headers["X-Idempotent"] = "no"
        async with self._session.post(
            f"http://{record.gateway}{plan.path}",
            data=plan.body,
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=None),
        ) as response:
            record.status = response.status
            record.request_id = response.headers.get("X-Request-Id", "")
            if response.status != 200:
                _record_error(record, await response.read())
            elif plan.is_service:
                _record_echo(record, await response.read())
            else:
                await _read_stream(record, response.content)


async def _read_stream(record: CallRecord, content: aiohttp.StreamReader) -> None:
    loop = asyncio.get_running_loop()
    texts: list[str] = []
    last_token_s = 0.0
    is_error = False
    async for line in content:
        line = line.rstrip(b"\r\n")
        if line.startswith(b"event: "):
            is_error = line == b"event: error"
        elif line.startswith(b"data: ") and is_error:
            _record_error(record, line[6:])
            break
        elif line == b"data: " + _DONE:
            record.outcome = CallOutcome.ANSWERED
            break
        elif line.startswith(b"data: "):
            now = loop.time()
            for text in _chunk_texts(line[6:]):
                texts.append(text)
                if record.first_token_s is None:
                    record.first_token_s = now
                else:
                    record.token_gaps_s.append(now - last_token_s)
                last_token_s = now
    plan = record.plan
    record.check = check_answer("".join(texts), plan.digest, plan.tokens)


def _chunk_texts(data: bytes) -> Iterator[str]:
    for choice in _decode_chunk(data).choices:
        text = choice.text or choice.delta.get("content") or ""
        if text:
            yield text


def _record_error(record: CallRecord, data: bytes) -> None:
    error = _Error()
    with contextlib.suppress(msgspec.DecodeError):
        error = _decode_error(data).error
    record.code = error.code or f"status_{record.status}"
    record.request_id = error.request_id or record.request_id
    if error.outcome in (CallOutcome.NOT_RUN.value, CallOutcome.UNKNOWN.value):
        record.outcome = CallOutcome(error.outcome)


def _record_echo(record: CallRecord, data: bytes) -> None:
    plan = record.plan
    record.first_token_s = asyncio.get_running_loop().time()
    record.outcome = CallOutcome.ANSWERED
    try:
        reply = msgspec.json.decode(data, type=dict)
    except msgspec.DecodeError:
        reply = None
    is_echo = (
        reply is not None
        and reply.get("body") == plan.body.decode()
        and plan.path.endswith(str(reply.get("path")))
    )
    record.check = AnswerCheck(
        tokens=int(is_echo),
        crossed=int(reply is not None and not is_echo),
        repeated=0,
        missing=int(reply is None),
        garbage=0,
    )
