"""Publish a configuration and learn its verdict."""

import datetime

from pomelolug.configuration import (
    CONFIG_STREAM,
    ConfigurationFold,
    parse_document,
    publish,
)
from pomelolug.errors import ErrorCode, PlatformError, PomelolugError
from pomelolug.ids import Offset
from pomelolug.messages import ConfigurationChange
from pomelolug.operator._chain import was_in_force
from pomelolug.operator._control import ConfigurationPage, NodesPage, StreamsPage
from pomelolug.operator._site import Site
from pomelolug.state import RecordKind

__all__ = ["nodes_without", "publish_document", "wait_applied"]

_POLL = datetime.timedelta(milliseconds=200)
_VERDICT_TIMEOUT = datetime.timedelta(seconds=16)


async def publish_document(site: Site, document: str, base: int) -> Offset:
    """Publish `document` against version `base` and return its version.

    The verdict comes from the log if the settings hold the keys of all
    operators. Without them, records of other operators cannot be verified here,
    and the control process is asked.

    Raises
    ------
    ConfigurationError
        If the document has faults.
    PomelolugError
        ``CONFIGURATION_RACED`` if another change came first,
        ``APPEND_UNKNOWN`` if the verdict is not known.
    PlatformError
        If nothing was appended.
    """
    parse_document(document, version=base)
    if site.has_all_keys:
        return await _publish_by_log(site, document, base)
    return await _publish_by_control(site, document, base)


async def _publish_by_log(site: Site, document: str, base: int) -> Offset:
    async with site.configuration() as reader:
        fold = reader.fold
        assert isinstance(fold, ConfigurationFold)
        try:
            result = await publish(
                document, base=base, appender=site.appender(), reader=reader, fold=fold
            )
        except TimeoutError as error:
            raise _no_verdict("the log did not return the record") from error
    if not result.accepted:
        raise _raced(base, result.current)
    return result.offset


async def _publish_by_control(site: Site, document: str, base: int) -> Offset:
    appender = site.appender()
    current = await _current_version(site)
    if current > base:
        raise _raced(base, current)
    change = ConfigurationChange(base_version=base, document=document)
    offset = await appender.append(CONFIG_STREAM, RecordKind.CONFIGURATION, change)
    try:
        await wait_applied(site, CONFIG_STREAM, offset)
        current = await _current_version(site)
        won = await was_in_force(site.log, offset, current)
    except PlatformError as error:
        raise _no_verdict(f"the record is at offset {offset}; {error}") from error
    if won is None:
        raise _no_verdict(f"the record is at offset {offset}; later ones have expired")
    if not won:
        raise _raced(base, current)
    return offset


def _raced(base: int, current: int) -> PomelolugError:
    return PomelolugError(
        ErrorCode.CONFIGURATION_RACED,
        f"lost: base {base} is not in force, version {current} is; nothing changed",
    )


def _no_verdict(problem: str) -> PomelolugError:
    return PomelolugError(
        ErrorCode.APPEND_UNKNOWN, f"not known whether the change won: {problem}"
    )


async def _current_version(site: Site) -> int:
    page = await site.control.page("/v1/configuration", ConfigurationPage)
    return page.version


async def wait_applied(site: Site, stream: str, offset: Offset) -> None:
    """Wait until the control process has applied the record at `offset`.

    Raises
    ------
    PlatformError
        If it does not within 16 s.
    """
    until = site.clock.monotonic() + _VERDICT_TIMEOUT.total_seconds()
    problem = "has not applied the record"
    while site.clock.monotonic() < until:
        try:
            page = await site.control.page("/v1/streams", StreamsPage)
        except PlatformError as error:
            problem = str(error)
        else:
            found = [line.offset for line in page.streams if line.stream == stream]
            if found and found[0] >= offset:
                return
        await site.clock.sleep(_POLL)
    raise PlatformError(
        ErrorCode.PLATFORM_UNAVAILABLE,
        f"control process {site.control.address}: {problem}",
    )


async def nodes_without(
    site: Site, version: int, wait: datetime.timedelta
) -> list[str]:
    """Return the nodes that have not reported `version` after at most `wait`."""
    until = site.clock.monotonic() + wait.total_seconds()
    while True:
        page = await site.control.page("/v1/nodes", NodesPage)
        behind = [line.node for line in page.nodes if line.config_version < version]
        if not behind or site.clock.monotonic() >= until:
            return sorted(behind)
        await site.clock.sleep(_POLL)
