"""Publishing a configuration and determining whether it was accepted."""

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
    """Result of publishing a change.

    Parameters
    ----------
    offset : Offset
        Offset of the record on the log, -1 if nothing was appended because the
        base was already out of date.
    accepted : bool
        Whether the change came into force as version `offset`.
    current : int
        Version in force after the change was applied. It is higher than `offset`
        if the change was accepted and has been replaced since.
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
    """Validate a document, append it, and wait until it is applied.

    Parameters
    ----------
    document : str
        Complete document.
    base : int
        Version that the change is based on, -1 if there is none.
    appender : Appender
        Appender that signs as an operator.
    reader : StreamReader
        Running reader of the configuration stream.
    fold : ConfigurationFold
        Fold of `reader`.
    stream : str
        Name of the configuration stream.
    timeout : datetime.timedelta
        Longest time to wait until the record is applied.

    Returns
    -------
    PublishResult
        Whether the change was accepted, or another one with the same base came
        first.

    Raises
    ------
    ConfigurationError
        If the document is invalid; nothing is appended.
    PlatformError
        ``PLATFORM_UNAVAILABLE`` if nothing was appended, ``APPEND_UNKNOWN`` if
        this is unknown.
    LogRegressedError
        If the stream has regressed.
    TimeoutError
        If the record was appended but not applied in time.
    """
    parse_document(document, version=base)
    if fold.version > base:
        return PublishResult(offset=Offset(-1), accepted=False, current=fold.version)
    change = ConfigurationChange(base_version=base, document=document)
    offset = await appender.append(stream, RecordKind.CONFIGURATION, change)
    await reader.wait_for(offset, timeout)
    accepted = any(entry.version == offset for entry in fold.history)
    return PublishResult(offset=offset, accepted=accepted, current=fold.version)
