"""Client of the platform's store: a log of topics, and consumer groups."""

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
    OFFSETS_PER_ERA,
    HistoryLostError,
    Record,
    RecordBatch,
    RecordSource,
    SourceUnavailableError,
    StoreRestoredError,
    era_of,
)
from pomelolug.ids import Offset
from pomelolug.platform._headers import decode_store_era
from pomelolug.replicas import ControllerElection
from pomelolug.transport import (
    ClientConnection,
    HttpConnectionError,
    ResponseHead,
    encode_request,
    open_connection,
)

__all__ = [
    "MetadataStore",
    "PartitionAssignment",
    "StoreControllerElection",
]

_MAX_BODY_BYTES = 8 * 1024 * 1024
_CONNECT_TIMEOUT = datetime.timedelta(milliseconds=600)
_MAX_READ_KB = 1024
_GENERATIONS_PER_ERA = 1_000_000
"""Difference between equal generations of two eras.

A fencing token is a generation times a million, and has to stay exact in a server that
decodes numbers as double-precision floats.
"""
_CONTROLLER_GROUP = "controllers"
_LEASE_TOPIC = "duties"
_LEASE_PARTITION = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PartitionAssignment:
    """Partitions that are assigned to one member of a consumer group.

    `generation` increases with every change of the members; `partitions` are the
    numbers of the partitions that this member holds.
    """

    generation: int
    partitions: frozenset[int]


class _NewestItem(msgspec.Struct, frozen=True):
    key: str
    value: str = ""
    offset: int = 0


class _NewestPage(msgspec.Struct, frozen=True):
    items: tuple[_NewestItem, ...]
    end: int
    # Whether more items follow on the next page. It does not mean that the values
    # of these items are cut off.
    truncated: bool = False


class _JoinResponse(msgspec.Struct, frozen=True):
    generation: int
    # Rows of topic, partition and committed offset.
    parts: tuple[tuple[str, int, int], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class _Response:
    """Body of a response, and the era of the store that it names."""

    era: int
    data: bytes


class MetadataStore(RecordSource):
    """Client of the store that reuses idle connections.

    The store starts a new era when it goes back to an older copy. Offsets and
    generations contain the era, so that they grow although the store gives them out
    again.

    Parameters
    ----------
    address : str
        IP address and port of the store.
    timeout : datetime.timedelta
        Time limit of a call, in addition to the time that it waits for records.
    """

    def __init__(self, *, address: str, timeout: datetime.timedelta) -> None:
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._address = address.encode()
        self._timeout_s = timeout.total_seconds()
        self._idle_connections: list[ClientConnection] = []
        self._era = 0

    @property
    def name(self) -> str:
        """Name of the source in the log."""
        return "store"

    @property
    def era(self) -> int:
        """Newest known era of the store, 0 if it names none."""
        return self._era

    async def read_newest(self, topic: str) -> RecordBatch:
        """Return the newest record of each key.

        The pages together are not a consistent snapshot. Records after the lowest
        `end` of all pages still have to be read, so that offset is returned as the
        end.
        """
        records: list[Record] = []
        end: int | None = None
        era: int | None = None
        last_key = ""
        while True:
            query = {"topic": topic, "part": "0"}
            if last_key:
                # The page starts after this key, unlike the inclusive offset of
                # the same name that a relay takes.
                query["after"] = last_key
            response = await self._call("GET", "/-/log-newest", query)
            page = _decode_json(response.data, _NewestPage)
            if era not in (None, response.era):
                raise StoreRestoredError(
                    ErrorCode.LOG_INCOMPLETE, "the store was restored between two pages"
                )
            era = response.era
            page_end = _add_era(page.end, era)
            end = page_end if end is None else min(end, page_end)
            for item in page.items:
                value = base64.b64decode(item.value)
                offset = _add_era(item.offset, era)
                records.append(Record(offset, item.key, value or None))
            if not page.truncated or not page.items:
                return RecordBatch(tuple(records), Offset(end))
            last_key = page.items[-1].key

    async def read(
        self, topic: str, first: Offset, *, wait: datetime.timedelta
    ) -> RecordBatch:
        """Return the records of a keyed topic from offset `first`.

        Raises
        ------
        HistoryLostError
            If records from `first` onwards were dropped, and in particular
            `StoreRestoredError` if `first` is of an earlier era of the store.
        SourceUnavailableError
            If the store does not respond.
        """
        self._check_era(first)
        query = {
            "topic": topic,
            "part": "0",
            "from": str(first % OFFSETS_PER_ERA),
            "max_kb": str(_MAX_READ_KB),
        }
        if wait:
            query["wait_ms"] = str(round(wait.total_seconds() * 1000))
        try:
            response = await self._call(
                "GET", "/-/log-read", query, wait_s=wait.total_seconds()
            )
        except HistoryLostError:
            self._check_era(first)
            raise
        self._check_era(first)
        data = response.data
        if len(data) < 16:
            raise SourceUnavailableError(
                ErrorCode.PLATFORM_UNAVAILABLE, "response to /-/log-read is too short"
            )
        records = tuple(_decode_records(data[16:], first))
        return RecordBatch(records, Offset(first + len(records)))

    async def append(self, topic: str, key: str, value: bytes) -> None:
        """Append one record to a keyed topic."""
        await self.append_all(topic, {key: value})

    async def append_all(self, topic: str, values: Mapping[str, bytes]) -> None:
        """Append a record for each key to a keyed topic, in one call.

        An empty value removes the key.
        """
        body = bytearray()
        for key, value in values.items():
            encoded_key = key.encode()
            content = bytes([len(encoded_key)]) + encoded_key + value
            body += len(content).to_bytes(4, "big") + content
        query = {"topic": topic, "part": "0"}
        await self._call("POST", "/-/log-append", query, body=bytes(body))

    async def join_consumer_group(
        self,
        *,
        group: str,
        member: str,
        topic: str,
        generation: int,
        lease_duration: datetime.timedelta,
    ) -> PartitionAssignment:
        """Join a consumer group, or renew the membership in it."""
        is_current = generation // _GENERATIONS_PER_ERA == self._era
        body = {
            "group": group,
            "member": member,
            "topics": [topic],
            "ttl_ms": round(lease_duration.total_seconds() * 1000),
            "generation": generation % _GENERATIONS_PER_ERA if is_current else 0,
        }
        response = await self._call(
            "POST", "/-/log-join", {}, body=msgspec.json.encode(body)
        )
        assignment = _decode_json(response.data, _JoinResponse)
        return PartitionAssignment(
            response.era * _GENERATIONS_PER_ERA + assignment.generation,
            frozenset(part for _, part, _ in assignment.parts),
        )

    async def leave_consumer_group(self, *, group: str, member: str) -> None:
        """Leave a consumer group."""
        body = msgspec.json.encode({"group": group, "member": member})
        await self._call("POST", "/-/log-leave", {}, body=body)

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle_connections:
            connection.close()
        self._idle_connections.clear()

    async def _call(
        self,
        method: str,
        path: str,
        query: Mapping[str, str],
        *,
        body: bytes = b"",
        wait_s: float = 0.0,
    ) -> _Response:
        target = path + ("?" + urllib.parse.urlencode(query) if query else "")
        request = encode_request(
            method.encode(), target.encode(), [(b"Host", self._address)], body
        )
        try:
            async with asyncio.timeout(self._timeout_s + wait_s):
                head, data = await self._send_request(request)
        except HttpConnectionError as error:
            raise SourceUnavailableError(
                ErrorCode.PLATFORM_UNAVAILABLE,
                f"{path}: {error.reason}",
                maybe_applied=method == "POST",
            ) from error
        except TimeoutError as error:
            raise SourceUnavailableError(
                ErrorCode.PLATFORM_UNAVAILABLE,
                f"{path}: no response within {self._timeout_s + wait_s:.1f} s",
                maybe_applied=method == "POST",
            ) from error
        era = decode_store_era(head)
        if era is not None and era > self._era:
            self._era = era
        if head.status == 410:
            raise HistoryLostError(
                ErrorCode.LOG_INCOMPLETE, f"{path}: the requested records were dropped"
            )
        if head.status != 200:
            raise SourceUnavailableError(
                ErrorCode.PLATFORM_UNAVAILABLE,
                f"{path}: unexpected status {head.status}",
            )
        return _Response(self._era if era is None else era, data)

    def _check_era(self, first: Offset) -> None:
        if era_of(first) < self._era:
            raise StoreRestoredError(
                ErrorCode.LOG_INCOMPLETE,
                f"offset {first % OFFSETS_PER_ERA} is of an earlier era of the store",
            )

    async def _send_request(self, request: bytes) -> tuple[ResponseHead, bytes]:
        connection = self._take_idle_connection()
        if connection is None:
            connection = await open_connection(
                self._host, self._port, timeout=_CONNECT_TIMEOUT
            )
        try:
            connection.send(request)
            head = await connection.read_head()
            data = await connection.read_body(_MAX_BODY_BYTES)
        except BaseException:
            # The connection cannot be used again after a lost response.
            connection.abort()
            raise
        if connection.is_reusable:
            self._idle_connections.append(connection)
        else:
            connection.abort()
        return head, data

    def _take_idle_connection(self) -> ClientConnection | None:
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if connection.is_reusable:
                return connection
        return None


def _add_era(offset: int, era: int) -> Offset:
    return Offset(era * OFFSETS_PER_ERA + offset)


def _decode_json(data: bytes, kind: type[Any]) -> Any:
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise SourceUnavailableError(
            ErrorCode.PLATFORM_UNAVAILABLE, f"malformed response of the store: {error}"
        ) from error


def _decode_records(data: bytes, first: Offset) -> Iterator[Record]:
    """Yield the records of a response body, which follow two leading offsets."""
    position = 0
    offset = int(first)
    while position + 4 <= len(data):
        size = int.from_bytes(data[position : position + 4], "big")
        content = data[position + 4 : position + 4 + size]
        if len(content) < size:
            return
        position += 4 + size
        key_size = content[0] if content else 0
        key = content[1 : 1 + key_size].decode("utf-8", "replace")
        value = content[1 + key_size :]
        yield Record(Offset(offset), key, value or None)
        offset += 1


class StoreControllerElection(ControllerElection):
    """Elects the active controller through a consumer group of the store.

    The member to which the store assigns the only partition holds the lease.

    Parameters
    ----------
    store : MetadataStore
        Client of the store.
    member : str
        Name of this process; differs after a restart.
    lease_duration : datetime.timedelta
        Time without renewal after which the store may assign the lease anew.
    """

    def __init__(
        self, *, store: MetadataStore, member: str, lease_duration: datetime.timedelta
    ) -> None:
        self._store = store
        self._member = member
        self._lease_duration = lease_duration

    async def renew(self, generation: int) -> tuple[int, bool]:
        """Return the generation of the assignment and whether it is this node's."""
        assignment = await self._store.join_consumer_group(
            group=_CONTROLLER_GROUP,
            member=self._member,
            topic=_LEASE_TOPIC,
            generation=generation,
            lease_duration=self._lease_duration,
        )
        return assignment.generation, _LEASE_PARTITION in assignment.partitions

    async def release(self) -> None:
        """Leave the consumer group, which gives up the lease."""
        await self._store.leave_consumer_group(
            group=_CONTROLLER_GROUP, member=self._member
        )
