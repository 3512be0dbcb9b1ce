"""Appends that tolerate a lost response without writing a duplicate record."""

import datetime
import hashlib
import random

import structlog
from prometheus_client import Counter

from pomelolug.clock import Clock
from pomelolug.errors import ErrorCode, PlatformError
from pomelolug.ids import Offset
from pomelolug.infrastructure import LogRecord, LogService
from pomelolug.messages import Message
from pomelolug.state._envelope import NONCE_BYTES, decode_record, encode_record
from pomelolug.state._fold import RecordKind
from pomelolug.state._keys import KeyRing
from pomelolug.state._refusal import RecordRefusedError
from pomelolug.state._retry import retry_delay

__all__ = ["Appender"]

_APPEND_TIMEOUT = datetime.timedelta(seconds=2)
_READ_TIMEOUT = datetime.timedelta(seconds=2)
_MAX_LONG_POLL = datetime.timedelta(seconds=1)
_DEFAULT_TIMEOUT = datetime.timedelta(seconds=8)
_PAGE_RECORDS = 500
_MAX_ATTEMPTS = 4
_APPENDS_TOTAL = Counter(
    "pomelolug_appends_total", "Appends to the log by outcome.", ["outcome"]
)


class Appender:
    """Signs and appends the records of one author.

    Parameters
    ----------
    log : LogService
        The platform's log.
    keyring : KeyRing
        Holds the author's key.
    author : str
        ``node:NAME`` or ``operator:NAME``.
    clock : Clock
        Source of time.
    random_state : random.Random
        Source of nonces and jitter.
    timeout : datetime.timedelta
        Longest duration of one append, including the search for the record
        after a lost response.
    """

    def __init__(
        self,
        *,
        log: LogService,
        keyring: KeyRing,
        author: str,
        clock: Clock,
        random_state: random.Random,
        timeout: datetime.timedelta = _DEFAULT_TIMEOUT,
    ) -> None:
        self._log = log
        self._keyring = keyring
        self._author = author
        self._clock = clock
        self._random = random_state
        self._timeout = timeout
        self._known_ends: dict[str, Offset] = {}
        self._serial = 0
        self._logger = structlog.get_logger(__name__)

    @property
    def author(self) -> str:
        """Author that the records are signed for."""
        return self._author

    async def append(self, stream: str, kind: RecordKind, message: Message) -> Offset:
        """Append one record and return its offset.

        Parameters
        ----------
        stream : str
            Name of the stream.
        kind : RecordKind
            Type of the record.
        message : Message
            Body of the record.

        Raises
        ------
        PlatformError
            ``PLATFORM_UNAVAILABLE`` if the record is certainly not on the log,
            ``APPEND_UNKNOWN`` if this could not be determined in time.
        """
        deadline_s = self._clock.monotonic() + self._timeout.total_seconds()
        nonce = self._new_nonce()
        data = encode_record(
            stream=stream,
            kind=kind,
            author=self._author,
            nonce=nonce,
            message=message,
            keyring=self._keyring,
        )
        start = await self._fetch_known_end(stream)
        try:
            offset = await self._append_with_retries(stream, data, deadline_s)
        except PlatformError as error:
            if not error.maybe_applied:
                _APPENDS_TOTAL.labels("not_applied").inc()
                raise
            offset = await self._find_record(stream, start, nonce, deadline_s)
        else:
            _APPENDS_TOTAL.labels("applied").inc()
        self._update_known_end(stream, Offset(offset + 1))
        return offset

    def _new_nonce(self) -> bytes:
        # The author, the time and a serial number make nonces distinct between
        # processes with the same seed and across restarts with the same seed.
        self._serial += 1
        seed = f"{self._author}|{self._clock.now().isoformat()}|{self._serial}|"
        material = seed.encode() + self._random.randbytes(NONCE_BYTES)
        return hashlib.sha256(material).digest()[:NONCE_BYTES]

    def _update_known_end(self, stream: str, end: Offset) -> None:
        self._known_ends[stream] = max(end, self._known_ends.get(stream, end))

    async def _fetch_known_end(self, stream: str) -> Offset:
        """Return an offset that is not above that of the next append."""
        if stream not in self._known_ends:
            page = await self._log.read(
                stream,
                Offset(0),
                limit=1,
                wait=datetime.timedelta(0),
                timeout=_READ_TIMEOUT,
            )
            self._update_known_end(stream, page.end)
        return self._known_ends[stream]

    async def _append_with_retries(
        self, stream: str, data: bytes, deadline_s: float
    ) -> Offset:
        """Append, and retry only if the failed attempt certainly had no effect."""
        for failures in range(1, _MAX_ATTEMPTS + 1):
            try:
                return await self._log.append(stream, data, timeout=_APPEND_TIMEOUT)
            except PlatformError as error:
                delay = retry_delay(failures, self._random)
                is_past_deadline = (
                    self._clock.monotonic() + delay.total_seconds() >= deadline_s
                )
                if error.maybe_applied or failures == _MAX_ATTEMPTS or is_past_deadline:
                    raise
            await self._clock.sleep(delay)
        raise AssertionError("unreachable")

    async def _find_record(
        self, stream: str, start: Offset, nonce: bytes, deadline_s: float
    ) -> Offset:
        """Read forward from `start` until the record with `nonce` appears.

        Reaching the end of the log does not show that the append failed, since
        it may still be in progress; only finding the record is conclusive.
        """
        position, failures = start, 0
        while (remaining_s := deadline_s - self._clock.monotonic()) > 0:
            wait = min(datetime.timedelta(seconds=remaining_s), _MAX_LONG_POLL)
            try:
                page = await self._log.read(
                    stream,
                    position,
                    limit=_PAGE_RECORDS,
                    wait=wait,
                    timeout=_READ_TIMEOUT,
                )
            except PlatformError:
                failures += 1
                await self._clock.sleep(retry_delay(failures, self._random))
                continue
            failures = 0
            for record in page.records:
                if self._has_nonce(stream, record, nonce):
                    _APPENDS_TOTAL.labels("found").inc()
                    return record.offset
                position = Offset(record.offset + 1)
            if not page.records:
                # Avoids a busy loop if the log does not implement long polls.
                await self._clock.sleep(retry_delay(1, self._random))
        _APPENDS_TOTAL.labels("unknown").inc()
        self._logger.warning("append_unknown", stream=stream, start=start)
        raise PlatformError(
            ErrorCode.APPEND_UNKNOWN,
            f"no response to an append to {stream}; the record may be on the log",
            maybe_applied=True,
        )

    def _has_nonce(self, stream: str, record: LogRecord, nonce: bytes) -> bool:
        try:
            found = decode_record(
                record.data,
                stream=stream,
                offset=record.offset,
                timestamp=record.timestamp,
                keyring=self._keyring,
            )
        except RecordRefusedError:
            return False
        return found.nonce == nonce and found.author == self._author
