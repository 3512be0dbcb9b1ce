"""Nodes and operators that share one in-memory log, on virtual time."""

import asyncio
import contextlib
import dataclasses
import datetime
import random
from collections.abc import AsyncIterator, Sequence

from pomelolug.configuration import (
    CONFIG_STREAM,
    Account,
    Configuration,
    ConfigurationFold,
    Pool,
    PublishResult,
    WorkClass,
    hash_key,
    publish,
    render_document,
)
from pomelolug.errors import ErrorCode, PlatformError
from pomelolug.ids import Offset
from pomelolug.infrastructure import LogPage, LogService
from pomelolug.state import Appender, KeyRing, StreamReader
from pomelolug.testing import LoopClock, MemoryLog

__all__ = ["StateBench", "make_document"]

_OPERATORS = tuple(f"operator-{number}" for number in range(3))
_PEER_REQUEST_PERIOD_S = 1.0
_SECOND = datetime.timedelta(seconds=1)
_WORK_CLASSES = 6
_ACCOUNTS = 10


def make_document(priority: int) -> str:
    """Return a document of the planned size: 2 pools, 6 classes, 10 accounts."""
    pools = tuple(Pool(name=f"pool-{number}", model="m") for number in range(2))
    classes = tuple(
        WorkClass(
            name=f"class-{number}",
            priority=priority % 1000,
            ttft_target=_SECOND,
            gap_target=0.044 * _SECOND,
            deadline=60 * _SECOND,
            pool=pools[number % 2].name,
        )
        for number in range(_WORK_CLASSES)
    )
    accounts = tuple(
        Account(
            name=f"account-{number}", keys=(hash_key(f"key-{number}", b"8 bytes!"),)
        )
        for number in range(_ACCOUNTS)
    )
    return render_document(
        Configuration(version=0, pools=pools, classes=classes, accounts=accounts)
    )


class _UnreachableLog(LogService):
    """Log service of a node that is cut off from the log."""

    async def append(
        self, stream: str, data: bytes, *, timeout: datetime.timedelta
    ) -> Offset:
        raise PlatformError(ErrorCode.PLATFORM_UNAVAILABLE, "cut off")

    async def read(
        self,
        stream: str,
        first: Offset,
        *,
        limit: int,
        wait: datetime.timedelta,
        timeout: datetime.timedelta,
    ) -> LogPage:
        raise PlatformError(ErrorCode.PLATFORM_UNAVAILABLE, "cut off")


@dataclasses.dataclass(frozen=True, kw_only=True)
class _PublishedChange:
    started_s: float
    offset: Offset


class StateBench:
    """Nodes that read the configuration stream and operators that change it.

    Parameters
    ----------
    nodes : int
        Nodes that follow the stream; the reader of the first one decides whether
        a publication was accepted.
    cut_off_nodes : int
        How many of them cannot reach the log and request the records from peers
        once a second.
    latency : tuple of datetime.timedelta
        Shortest and longest one-way latency to the log.
    random_state : int
        Seed of the random generator.
    """

    def __init__(
        self,
        *,
        nodes: int,
        cut_off_nodes: int = 0,
        latency: tuple[datetime.timedelta, datetime.timedelta] = (
            0.002 * _SECOND,
            0.008 * _SECOND,
        ),
        random_state: int = 0,
    ) -> None:
        self._rng = random.Random(random_state)
        self._clock = LoopClock()
        self._keyring = KeyRing.from_options(
            ("node=" + "11" * 32,), tuple(f"{name}={'22' * 32}" for name in _OPERATORS)
        )
        self._log = MemoryLog(
            clock=self._clock, random_state=self._rng, latency=latency
        )
        self._readers = [
            self._make_reader(number >= nodes - cut_off_nodes)
            for number in range(nodes)
        ]
        self._reachable_nodes = nodes - cut_off_nodes
        self._applied_at_s: list[dict[int, float]] = [{} for _ in range(nodes)]
        self._changes: list[_PublishedChange] = []

    @property
    def log(self) -> MemoryLog:
        """The log; scenarios inject faults through its `faults`."""
        return self._log

    @property
    def clock(self) -> LoopClock:
        """Clock of the virtual time."""
        return self._clock

    @property
    def reader(self) -> StreamReader:
        """Reader of the first node."""
        return self._readers[0]

    def _make_reader(self, is_cut_off: bool) -> StreamReader:
        return StreamReader(
            log=_UnreachableLog() if is_cut_off else self._log,
            stream=CONFIG_STREAM,
            fold=ConfigurationFold(),
            keyring=self._keyring,
            clock=self._clock,
            random_state=self._rng,
            author="node:n",
        )

    def make_appender(self, number: int) -> Appender:
        """Return an appender for one of the operators."""
        return Appender(
            log=self._log,
            keyring=self._keyring,
            author=f"operator:{_OPERATORS[number % len(_OPERATORS)]}",
            clock=self._clock,
            random_state=self._rng,
        )

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Run all readers, and the peer requests of the nodes that are cut off."""
        for reader, applied_at_s in zip(self._readers, self._applied_at_s, strict=True):
            reader.subscribe(
                lambda r=reader, a=applied_at_s: self._record_version(r, a)  # type: ignore[misc]
            )
        tasks = [asyncio.create_task(reader.run()) for reader in self._readers]
        for reader in self._readers[self._reachable_nodes :]:
            tasks.append(asyncio.create_task(self._request_from_peers(reader)))
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _record_version(
        self, reader: StreamReader, applied_at_s: dict[int, float]
    ) -> None:
        assert isinstance(reader.fold, ConfigurationFold)
        applied_at_s.setdefault(reader.fold.version, self._clock.monotonic())

    async def _request_from_peers(self, reader: StreamReader) -> None:
        while True:
            peer = self._rng.choice(self._readers)
            message = peer.records_from(Offset(reader.offset + 1))
            if message is not None:
                reader.apply_relayed(message)
            await asyncio.sleep(_PEER_REQUEST_PERIOD_S * self._rng.uniform(0.9, 1.1))

    async def publish_change(self, number: int) -> PublishResult:
        """Publish a change as one of the operators."""
        fold = self.reader.fold
        assert isinstance(fold, ConfigurationFold)
        started_s = self._clock.monotonic()
        result = await publish(
            make_document(number),
            base=fold.version,
            appender=self.make_appender(number),
            reader=self.reader,
            fold=fold,
        )
        if result.accepted:
            self._changes.append(
                _PublishedChange(started_s=started_s, offset=result.offset)
            )
        return result

    def propagation_times_s(self) -> Sequence[float]:
        """Return for each accepted change the seconds until all nodes applied it.

        For a node that skipped the version, the next version that it applied
        counts.
        """
        times_s = []
        for change in self._changes:
            applied_at_s = [
                min(
                    (
                        applied_s
                        for version, applied_s in a.items()
                        if version >= change.offset
                    )
                )
                for a in self._applied_at_s
            ]
            times_s.append(max(applied_at_s) - change.started_s)
        return times_s
