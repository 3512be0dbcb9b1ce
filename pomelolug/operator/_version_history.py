"""History of the configuration versions, read backwards from the log.

Every version that took effect names its base, the version that it replaced.
Starting at the current version, which a control process reports, the records on
the log therefore lead to every earlier version. The keys of the other operators
are not needed for that.
"""

import dataclasses
import datetime
from collections.abc import AsyncIterator

from pomelolug.configuration import CONFIG_STREAM
from pomelolug.errors import PeerError
from pomelolug.ids import Offset
from pomelolug.infrastructure import LogRecord, LogService
from pomelolug.messages import ConfigurationChange, Envelope, RecordPayload, decode

__all__ = ["VersionRecord", "has_taken_effect", "read_version_history"]

_MAX_VERSIONS = 1000
_READ_TIMEOUT = datetime.timedelta(seconds=2)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VersionRecord:
    """Record of a configuration version; `author` is not verified by its signature."""

    version: int
    base: int
    author: str
    timestamp: datetime.datetime
    document: str


async def read_version_history(
    log: LogService, current_version: int, *, limit: int = _MAX_VERSIONS
) -> AsyncIterator[VersionRecord]:
    """Yield `current_version` and the versions before it, newest first.

    The history ends where the log has no usable record of the next older version.

    Parameters
    ----------
    log : LogService
        The platform's log.
    current_version : int
        Version that is in force.
    limit : int
        Maximum number of versions to yield.

    Raises
    ------
    PlatformError
        If the log does not respond.
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
    """Return whether the change at `offset` ever took effect.

    Parameters
    ----------
    log : LogService
        The platform's log.
    offset : Offset
        Position of the change on the log.
    current_version : int
        Version in force at a node that has already processed the change.

    Returns
    -------
    bool or None
        None if the records that are needed to decide have expired, or if more
        than 1,000 versions followed.
    """
    if current_version <= offset:
        return current_version == offset
    async for entry in read_version_history(log, current_version):
        if entry.base <= offset:
            return entry.base == offset
    return None


def _decode_version(record: LogRecord) -> VersionRecord | None:
    try:
        payload = decode(decode(record.data, Envelope).payload, RecordPayload)
        change = decode(payload.body, ConfigurationChange)
    except PeerError:
        return None
    return VersionRecord(
        version=record.offset,
        base=change.base_version,
        author=payload.author,
        timestamp=record.timestamp,
        document=change.document,
    )
