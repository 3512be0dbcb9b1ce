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

__all__ = ["ConfigurationVersion", "has_taken_effect", "read_version_history"]

_MAX_VERSIONS = 1000
_READ_TIMEOUT = datetime.timedelta(seconds=2)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationVersion:
    """One version; `author` is as the record names it."""

    version: int
    base: int
    author: str
    stamp: datetime.datetime
    document: str


async def read_version_history(
    log: LogService, current_version: int, *, limit: int = _MAX_VERSIONS
) -> AsyncIterator[ConfigurationVersion]:
    """Yield `current_version` and the versions before it, as far as the log has them.

    Parameters
    ----------
    log : LogService
        The platform's log.
    current_version : int
        Version in force.
    limit : int
        Largest number of versions.

    Raises
    ------
    PlatformError
        If the log does not answer.
    """
    version = current_version
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
        entry = _decode_version(page.records[0]) if page.records else None
        if entry is None or entry.version != version or entry.base >= version:
            return
        yield entry
        version = entry.base


async def has_taken_effect(
    log: LogService, offset: Offset, current_version: int
) -> bool | None:
    """Return whether the change at `offset` came into force.

    Parameters
    ----------
    log : LogService
        The platform's log.
    offset : Offset
        The change.
    current_version : int
        Version in force at a node that has applied the change.

    Returns
    -------
    bool or None
        None if the records that would tell have expired, or more than 1,000
        versions came after.
    """
    if current_version <= offset:
        return current_version == offset
    async for entry in read_version_history(log, current_version):
        if entry.base <= offset:
            return entry.base == offset
    return None


def _decode_version(record: LogRecord) -> ConfigurationVersion | None:
    try:
        payload = decode(decode(record.data, Envelope).payload, RecordPayload)
        change = decode(payload.body, ConfigurationChange)
    except PeerError:
        return None
    return ConfigurationVersion(
        version=record.offset,
        base=change.base_version,
        author=payload.author,
        stamp=record.stamp,
        document=change.document,
    )
