"""Versions of the configuration, followed backwards by their bases.

A version in force replaced its base, which was in force before it. From the
current version, as a control process reports it, the records of the log
therefore lead to every earlier one, without the keys of the other operators.
"""

import dataclasses
import datetime
from collections.abc import AsyncIterator

from pomelolug.configuration import CONFIG_STREAM
from pomelolug.errors import PeerError
from pomelolug.ids import Offset
from pomelolug.infrastructure import LogRecord, LogService
from pomelolug.messages import ConfigurationChange, Envelope, RecordPayload, decode

__all__ = ["VersionLine", "versions_before", "was_in_force"]

_MAX_VERSIONS = 1000
_READ_TIMEOUT = datetime.timedelta(seconds=2)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VersionLine:
    """One version; `author` is as the record names it."""

    version: int
    base: int
    author: str
    stamp: datetime.datetime
    document: str


async def versions_before(
    log: LogService, current: int, *, limit: int = _MAX_VERSIONS
) -> AsyncIterator[VersionLine]:
    """Yield `current` and the versions before it, as far as the log has them.

    Parameters
    ----------
    log : LogService
        The platform's log.
    current : int
        Version in force.
    limit : int
        Largest number of versions.

    Raises
    ------
    PlatformError
        If the log does not answer.
    """
    version = current
    for _ in range(limit):
        if version < 0:
            return
        page = await log.read(
            CONFIG_STREAM,
            Offset(version),
            limit=1,
            wait=datetime.timedelta(0),
            timeout=_READ_TIMEOUT,
        )
        line = _line(page.records[0]) if page.records else None
        if line is None or line.version != version or line.base >= version:
            return
        yield line
        version = line.base


async def was_in_force(log: LogService, offset: Offset, current: int) -> bool | None:
    """Return whether the change at `offset` came into force.

    Parameters
    ----------
    log : LogService
        The platform's log.
    offset : Offset
        The change.
    current : int
        Version in force at a node that has applied the change.

    Returns
    -------
    bool or None
        None if the records that would tell have expired, or more than 1,000
        versions came after.
    """
    if current <= offset:
        return current == offset
    async for line in versions_before(log, current):
        if line.base <= offset:
            return line.base == offset
    return None


def _line(record: LogRecord) -> VersionLine | None:
    try:
        payload = decode(decode(record.data, Envelope).payload, RecordPayload)
        change = decode(payload.body, ConfigurationChange)
    except PeerError:
        return None
    return VersionLine(
        version=record.offset,
        base=change.base_version,
        author=payload.author,
        stamp=record.stamp,
        document=change.document,
    )
