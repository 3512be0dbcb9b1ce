"""Publish a configuration and find out whether it won."""

import dataclasses
import datetime

from pomelolug.configuration._fold import CONFIG_STREAM, ConfigurationFold
from pomelolug.configuration._parse import parse_document
from pomelolug.ids import Offset
from pomelolug.messages import ConfigurationChange
from pomelolug.state import Appender, RecordKind, StreamReader

__all__ = ["PublishResult", "publish"]

_DEFAULT_TIMEOUT = datetime.timedelta(seconds=16)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PublishResult:
    """What became of a change.

    Parameters
    ----------
    offset : Offset
        Position of the record on the log, -1 if nothing was appended because
        the base was already out of date.
    accepted : bool
        Whether the change came into force as version `offset`.
    current : int
        Version in force after the change was folded. It is higher than `offset`
        if the change won and was replaced since.
    """

    offset: Offset
    accepted: bool
    current: int


async def publish(
    document: str,
    *,
    base: int,
    appender: Appender,
    reader: StreamReader,
    fold: ConfigurationFold,
    stream: str = CONFIG_STREAM,
    timeout: datetime.timedelta = _DEFAULT_TIMEOUT,
) -> PublishResult:
    """Check a document, append it, and wait until it is folded.

    Parameters
    ----------
    document : str
        The whole document.
    base : int
        Version that the author saw; -1 if there was none.
    appender : Appender
        Signs as an operator.
    reader : StreamReader
        Follows the configuration stream and is running.
    fold : ConfigurationFold
        Fold of `reader`.
    stream : str
        Name of the configuration stream.
    timeout : datetime.timedelta
        Longest wait for the record to be folded.

    Returns
    -------
    PublishResult
        Whether the change won or another one with the same base was first.

    Raises
    ------
    ConfigurationError
        If the document has faults; nothing is appended.
    PlatformError
        ``PLATFORM_UNAVAILABLE`` if nothing was appended, ``APPEND_UNKNOWN`` if
        that is not known.
    LogRegressedError
        If the stream has regressed.
    TimeoutError
        If the record was appended and is not folded in time.
    """
    parse_document(document, version=base)
    if fold.version > base:
        return PublishResult(offset=Offset(-1), accepted=False, current=fold.version)
    change = ConfigurationChange(base_version=base, document=document)
    offset = await appender.append(stream, RecordKind.CONFIGURATION, change)
    await reader.wait_for(offset, timeout)
    accepted = any(entry.version == offset for entry in fold.history)
    return PublishResult(offset=offset, accepted=accepted, current=fold.version)
