"""Publishing of a configuration, and checks that it took effect."""

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
from pomelolug.operator._context import CommandContext
from pomelolug.operator._control import (
    ConfigurationResponse,
    NodesResponse,
    StreamsResponse,
)
from pomelolug.operator._version_history import has_taken_effect
from pomelolug.state import RecordKind

__all__ = ["publish_document", "wait_for_nodes", "wait_until_applied"]

_POLL_INTERVAL = datetime.timedelta(milliseconds=200)
_CONFIRMATION_TIMEOUT = datetime.timedelta(seconds=16)


async def publish_document(context: CommandContext, document: str, base: int) -> Offset:
    """Publish `document` against version `base` and return its version.

    If the settings hold the keys of all operators, the outcome is read from the
    log. Without these keys, the records of the other operators cannot be verified
    here, so the control process is queried instead.

    Raises
    ------
    ConfigurationError
        If the document is invalid.
    PomelolugError
        ``CONFIGURATION_RACED`` if another change replaced `base` first,
        ``APPEND_UNKNOWN`` if the outcome is not known.
    PlatformError
        If nothing was appended.
    """
    parse_document(document, version=base)
    if context.has_all_operator_keys:
        return await _publish_and_read_log(context, document, base)
    return await _publish_and_ask_control(context, document, base)


async def _publish_and_read_log(
    context: CommandContext, document: str, base: int
) -> Offset:
    async with context.follow_configuration() as reader:
        fold = reader.fold
        assert isinstance(fold, ConfigurationFold)
        try:
            result = await publish(
                document,
                base=base,
                appender=context.create_appender(),
                reader=reader,
                fold=fold,
            )
        except TimeoutError as error:
            raise _unknown_outcome_error(
                "the log did not return the record in time"
            ) from error
    if not result.accepted:
        raise _version_conflict_error(base, result.current)
    return result.offset


async def _publish_and_ask_control(
    context: CommandContext, document: str, base: int
) -> Offset:
    appender = context.create_appender()
    current_version = await _fetch_current_version(context)
    if current_version > base:
        raise _version_conflict_error(base, current_version)
    change = ConfigurationChange(base_version=base, document=document)
    offset = await appender.append(CONFIG_STREAM, RecordKind.CONFIGURATION, change)
    try:
        await wait_until_applied(context, CONFIG_STREAM, offset)
        current_version = await _fetch_current_version(context)
        took_effect = await has_taken_effect(context.log, offset, current_version)
    except PlatformError as error:
        raise _unknown_outcome_error(
            f"the record is at offset {offset}; {error}"
        ) from error
    if took_effect is None:
        raise _unknown_outcome_error(
            f"the record is at offset {offset}; the later records that are "
            "needed to decide are missing"
        )
    if not took_effect:
        raise _version_conflict_error(base, current_version)
    return offset


def _version_conflict_error(base: int, current_version: int) -> PomelolugError:
    return PomelolugError(
        ErrorCode.CONFIGURATION_RACED,
        f"conflict: version {current_version} is in force, not the base version "
        f"{base}; the configuration was not changed",
    )


def _unknown_outcome_error(reason: str) -> PomelolugError:
    return PomelolugError(
        ErrorCode.APPEND_UNKNOWN, f"not known whether the change took effect: {reason}"
    )


async def _fetch_current_version(context: CommandContext) -> int:
    response = await context.control.get("/v1/configuration", ConfigurationResponse)
    return response.version


async def wait_until_applied(
    context: CommandContext, stream: str, offset: Offset
) -> None:
    """Poll the control process until it has applied the record at `offset`.

    Raises
    ------
    PlatformError
        If it has not applied the record within 16 s.
    """
    deadline_s = context.clock.monotonic() + _CONFIRMATION_TIMEOUT.total_seconds()
    reason = "has not applied the record"
    while context.clock.monotonic() < deadline_s:
        try:
            response = await context.control.get("/v1/streams", StreamsResponse)
        except PlatformError as error:
            reason = str(error)
        else:
            offsets = [
                position.offset
                for position in response.streams
                if position.stream == stream
            ]
            if offsets and offsets[0] >= offset:
                return
        await context.clock.sleep(_POLL_INTERVAL)
    raise PlatformError(
        ErrorCode.PLATFORM_UNAVAILABLE,
        f"control process {context.control.address}: {reason}",
    )


async def wait_for_nodes(
    context: CommandContext, version: int, timeout: datetime.timedelta
) -> list[str]:
    """Return the nodes that have not reported `version` or a later one in time.

    The control process is polled until no such node is left or `timeout` is over.
    """
    deadline_s = context.clock.monotonic() + timeout.total_seconds()
    while True:
        response = await context.control.get("/v1/nodes", NodesResponse)
        lagging = [
            node.node for node in response.nodes if node.config_version < version
        ]
        if not lagging or context.clock.monotonic() >= deadline_s:
            return sorted(lagging)
        await context.clock.sleep(_POLL_INTERVAL)
