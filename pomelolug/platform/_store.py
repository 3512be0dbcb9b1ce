"""Client of the platform's store: a log with topics and work assignment."""

import asyncio
import base64
import dataclasses
import datetime
import urllib.parse
from collections.abc import Iterator, Mapping
from typing import Any

import msgspec

from pomelolug.errors import ErrorCode
from pomelolug.feeds import (
    HistoryLostError,
    Record,
    RecordBatch,
    RecordSource,
    SourceUnavailableError,
)
from pomelolug.ids import Offset
from pomelolug.replicas import ControllerElection
from pomelolug.transport import (
    BrokenResponse,
    ClientConnection,
    encode_request,
    open_connection,
)

__all__ = [
    "DutyLease",
    "MetadataStore",
    "StoreDutySource",
]

_MOST_BODY_BYTES = 8 * 1024 * 1024
_CONNECT_TIMEOUT = datetime.timedelta(milliseconds=600)
_READ_KB = 1024
_DUTY_GROUP = "controllers"
_DUTY_TOPIC = "duties"
_DUTY_PARTITION = 0


@dataclasses.dataclass(frozen=True, slots=True)
class DutyLease:
    """Answer to a member that shares duties with others.

    `generation` increases with every change of members; `duties` are the
    numbers of the duties that this member holds.
    """

    generation: int
    duties: frozenset[int]


class _Item(msgspec.Struct, frozen=True):
    key: str
    value: str = ""
    offset: int = 0


class _Newest(msgspec.Struct, frozen=True):
    items: tuple[_Item, ...]
    end: int
    # More items follow; the name says nothing of their values.
    truncated: bool = False


class _Joined(msgspec.Struct, frozen=True):
    generation: int
    # Rows of topic, partition, committed offset.
    parts: tuple[tuple[str, int, int], ...] = ()


class MetadataStore(RecordSource):
    """Calls to the store over kept connections.

    Parameters
    ----------
    address : str
        IP address and port.
    timeout : datetime.timedelta
        Bound on a call, beyond the time for which it may wait for records.
    """

    def __init__(self, *, address: str, timeout: datetime.timedelta) -> None:
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._address = address.encode()
        self._timeout_s = timeout.total_seconds()
        self._idle: list[ClientConnection] = []

    async def newest(self, topic: str) -> RecordBatch:
        """Return the newest record of each key.

        The pages are no snapshot: records that follow the lowest `end` of any
        page have to be read as well, so that offset is returned.
        """
        records: list[Record] = []
        end: int | None = None
        after = ""
        while True:
            query = {"topic": topic, "part": "0"}
            if after:
                query["after"] = after
            data = await self._call("GET", "/-/log-newest", query)
            page = _decode(data, _Newest)
            end = page.end if end is None else min(end, page.end)
            for item in page.items:
                value = base64.b64decode(item.value)
                records.append(Record(Offset(item.offset), item.key, value or None))
            if not page.truncated or not page.items:
                return RecordBatch(tuple(records), Offset(end))
            after = page.items[-1].key

    async def read(
        self, topic: str, first: Offset, *, wait: datetime.timedelta
    ) -> RecordBatch:
        """Return the records of a keyed topic from `first` on.

        Raises
        ------
        HistoryLostError
            If records from `first` on have been dropped.
        SourceUnavailableError
            If the store does not answer.
        """
        query = {
            "topic": topic,
            "part": "0",
            "from": str(first),
            "max_kb": str(_READ_KB),
        }
        if wait:
            query["wait_ms"] = str(round(wait.total_seconds() * 1000))
        data = await self._call(
            "GET", "/-/log-read", query, wait_s=wait.total_seconds()
        )
        if len(data) < 16:
            raise SourceUnavailableError(
                ErrorCode.PLATFORM_UNAVAILABLE, "log read answered too few bytes"
            )
        records = tuple(_records(data[16:], first))
        return RecordBatch(records, Offset(first + len(records)))

    async def append(self, topic: str, key: str, value: bytes) -> None:
        """Write one record of a keyed topic."""
        name = key.encode()
        content = bytes([len(name)]) + name + value
        record = len(content).to_bytes(4, "big") + content
        query = {"topic": topic, "part": "0"}
        await self._call("POST", "/-/log-append", query, body=record)

    async def hold_duties(
        self,
        *,
        group: str,
        member: str,
        topic: str,
        generation: int,
        lease: datetime.timedelta,
    ) -> DutyLease:
        """Join the members that share duties, or stay one of them."""
        body = {
            "group": group,
            "member": member,
            "topics": [topic],
            "ttl_ms": round(lease.total_seconds() * 1000),
            "generation": generation,
        }
        data = await self._call(
            "POST", "/-/log-join", {}, body=msgspec.json.encode(body)
        )
        joined = _decode(data, _Joined)
        return DutyLease(
            joined.generation, frozenset(part for _, part, _ in joined.parts)
        )

    async def release_duties(self, *, group: str, member: str) -> None:
        """Leave the members that share duties."""
        body = msgspec.json.encode({"group": group, "member": member})
        await self._call("POST", "/-/log-leave", {}, body=body)

    def close(self) -> None:
        """Close idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    async def _call(
        self,
        method: str,
        path: str,
        query: Mapping[str, str],
        *,
        body: bytes = b"",
        wait_s: float = 0.0,
    ) -> bytes:
        target = path + ("?" + urllib.parse.urlencode(query) if query else "")
        request = encode_request(
            method.encode(), target.encode(), [(b"Host", self._address)], body
        )
        try:
            async with asyncio.timeout(self._timeout_s + wait_s):
                status, data = await self._exchange(request)
        except BrokenResponse as error:
            raise SourceUnavailableError(
                ErrorCode.PLATFORM_UNAVAILABLE,
                f"{path}: {error.reason}",
                maybe_applied=method == "POST",
            ) from error
        except TimeoutError as error:
            raise SourceUnavailableError(
                ErrorCode.PLATFORM_UNAVAILABLE,
                f"{path}: no answer in {self._timeout_s + wait_s:.1f} s",
                maybe_applied=method == "POST",
            ) from error
        if status == 410:
            raise HistoryLostError(
                ErrorCode.LOG_INCOMPLETE, f"{path}: records were dropped"
            )
        if status != 200:
            raise SourceUnavailableError(
                ErrorCode.PLATFORM_UNAVAILABLE, f"{path}: status {status}"
            )
        return data

    async def _exchange(self, request: bytes) -> tuple[int, bytes]:
        connection = self._take()
        if connection is None:
            connection = await open_connection(
                self._host, self._port, timeout=_CONNECT_TIMEOUT
            )
        try:
            connection.send(request)
            head = await connection.head()
            data = await connection.body(_MOST_BODY_BYTES)
        except BaseException:
            # A connection on which an answer is lost returns nothing further.
            connection.abort()
            raise
        if connection.reusable:
            self._idle.append(connection)
        else:
            connection.abort()
        return head.status, data

    def _take(self) -> ClientConnection | None:
        while self._idle:
            connection = self._idle.pop()
            if connection.reusable:
                return connection
        return None


def _decode(data: bytes, kind: type[Any]) -> Any:
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise SourceUnavailableError(
            ErrorCode.PLATFORM_UNAVAILABLE, f"the store's answer is malformed: {error}"
        ) from error


def _records(data: bytes, first: Offset) -> Iterator[Record]:
    """Yield the records after the two leading offsets of an answer."""
    at = 0
    offset = int(first)
    while at + 4 <= len(data):
        size = int.from_bytes(data[at : at + 4], "big")
        content = data[at + 4 : at + 4 + size]
        if len(content) < size:
            return
        at += 4 + size
        name_size = content[0] if content else 0
        key = content[1 : 1 + name_size].decode("utf-8", "replace")
        value = content[1 + name_size :]
        yield Record(Offset(offset), key, value or None)
        offset += 1


class StoreDutySource(ControllerElection):
    """The duty of forming groups, as one partition that the store assigns.

    Parameters
    ----------
    store : MetadataStore
        The store.
    member : str
        Name of this process; another one after a restart.
    lease : datetime.timedelta
        Silence after which the store assigns the duty to another member.
    """

    def __init__(
        self, *, store: MetadataStore, member: str, lease: datetime.timedelta
    ) -> None:
        self._store = store
        self._member = member
        self._lease = lease

    async def renew(self, generation: int) -> tuple[int, bool]:
        """Return the generation of the assignment and whether this node holds it."""
        lease = await self._store.hold_duties(
            group=_DUTY_GROUP,
            member=self._member,
            topic=_DUTY_TOPIC,
            generation=generation,
            lease=self._lease,
        )
        return lease.generation, _DUTY_PARTITION in lease.duties

    async def release(self) -> None:
        """Give the duty back."""
        await self._store.release_duties(group=_DUTY_GROUP, member=self._member)
