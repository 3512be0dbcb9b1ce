"""Nodes and operators on one log in memory, on virtual time."""

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

__all__ = ["StateBench", "declared_document"]

_OPERATORS = tuple(f"operator-{number}" for number in range(3))
_ASK_PEERS_EVERY_S = 1.0
_SECOND = datetime.timedelta(seconds=1)
_CLASSES = 6
_ACCOUNTS = 10


def declared_document(priority: int) -> str:
    """Return a document of the planned kind: 2 pools, 6 classes, 10 accounts."""
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
        for number in range(_CLASSES)
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


class _CutLog(LogService):
    """The log as a node sees it that cannot reach it."""

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
class _Change:
    began: float
    offset: Offset


class StateBench:
    """Readers of the configuration stream and operators that change it.

    Parameters
    ----------
    nodes : int
        Nodes that follow the stream; the first one judges the publications.
    cut : int
        How many of them cannot reach the log and ask peers once a second.
    latency : tuple of datetime.timedelta
        Shortest and longest time of one way to the log.
    random_state : int
        Seed.
    """

    def __init__(
        self,
        *,
        nodes: int,
        cut: int = 0,
        latency: tuple[datetime.timedelta, datetime.timedelta] = (
            0.002 * _SECOND,
            0.008 * _SECOND,
        ),
        random_state: int = 0,
    ) -> None:
        self._random = random.Random(random_state)
        self._clock = LoopClock()
        self._ring = KeyRing.from_options(
            ("node=" + "11" * 32,), tuple(f"{name}={'22' * 32}" for name in _OPERATORS)
        )
        self._log = MemoryLog(
            clock=self._clock, random_state=self._random, latency=latency
        )
        self._readers = [self._reader(number >= nodes - cut) for number in range(nodes)]
        self._reach = nodes - cut
        self._applied_at: list[dict[int, float]] = [{} for _ in range(nodes)]
        self._changes: list[_Change] = []

    @property
    def log(self) -> MemoryLog:
        """The log, whose faults a scenario changes."""
        return self._log

    @property
    def clock(self) -> LoopClock:
        """Virtual time."""
        return self._clock

    @property
    def reader(self) -> StreamReader:
        """Reader of the first node."""
        return self._readers[0]

    def _reader(self, cut: bool) -> StreamReader:
        return StreamReader(
            log=_CutLog() if cut else self._log,
            stream=CONFIG_STREAM,
            fold=ConfigurationFold(),
            keyring=self._ring,
            clock=self._clock,
            random_state=self._random,
            author="node:n",
        )

    def appender(self, number: int) -> Appender:
        """Return the appender of one operator."""
        return Appender(
            log=self._log,
            keyring=self._ring,
            author=f"operator:{_OPERATORS[number % len(_OPERATORS)]}",
            clock=self._clock,
            random_state=self._random,
        )

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Run all nodes, and the requests of those that are cut off."""
        for reader, applied in zip(self._readers, self._applied_at, strict=True):
            reader.subscribe(lambda r=reader, a=applied: self._note(r, a))  # type: ignore[misc]
        tasks = [asyncio.create_task(reader.run()) for reader in self._readers]
        for reader in self._readers[self._reach :]:
            tasks.append(asyncio.create_task(self._ask_peers(reader)))
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _note(self, reader: StreamReader, applied: dict[int, float]) -> None:
        assert isinstance(reader.fold, ConfigurationFold)
        applied.setdefault(reader.fold.version, self._clock.monotonic())

    async def _ask_peers(self, reader: StreamReader) -> None:
        while True:
            peer = self._random.choice(self._readers)
            message = peer.records_from(Offset(reader.offset + 1))
            if message is not None:
                reader.apply_relayed(message)
            await asyncio.sleep(_ASK_PEERS_EVERY_S * self._random.uniform(0.9, 1.1))

    async def change(self, number: int) -> PublishResult:
        """Publish one change as one of the operators."""
        fold = self.reader.fold
        assert isinstance(fold, ConfigurationFold)
        began = self._clock.monotonic()
        result = await publish(
            declared_document(number),
            base=fold.version,
            appender=self.appender(number),
            reader=self.reader,
            fold=fold,
        )
        if result.accepted:
            self._changes.append(_Change(began=began, offset=result.offset))
        return result

    def times_in_force(self) -> Sequence[float]:
        """Return for each won change the seconds until the last node had it.

        A node that went past the version without showing it counts from the
        next one that it showed.
        """
        times = []
        for change in self._changes:
            reached = [
                min((at for version, at in a.items() if version >= change.offset))
                for a in self._applied_at
            ]
            times.append(max(reached) - change.began)
        return times
