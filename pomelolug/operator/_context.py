"""Context of one command: the log, a control process and the operator's key."""

import asyncio
import contextlib
import datetime
import pathlib
import random
from collections.abc import AsyncIterator

import aiohttp

from pomelolug.clock import Clock, SystemClock
from pomelolug.configuration import CONFIG_STREAM, ConfigurationFold
from pomelolug.errors import (
    ErrorCode,
    Finding,
    InvalidInputError,
    LogRegressedError,
    PlatformError,
)
from pomelolug.infrastructure import HttpLogService, LogService
from pomelolug.operator._control import ControlClient
from pomelolug.settings import load_settings
from pomelolug.settings._operator_generated import OPERATOR_SPEC, OperatorSettings
from pomelolug.state import Appender, KeyRing, ReaderState, StreamReader

__all__ = ["CommandContext", "open_context"]

_CATCH_UP_TIMEOUT = datetime.timedelta(seconds=30)


class CommandContext:
    """Connections and keys that a command uses.

    Parameters
    ----------
    settings : OperatorSettings
        Validated settings.
    log : LogService
        The platform's log.
    control : ControlClient
        Client of a control process.
    clock : Clock
        Source of time.
    random_state : random.Random
        Source of nonces and jitter.
    """

    def __init__(
        self,
        *,
        settings: OperatorSettings,
        log: LogService,
        control: ControlClient,
        clock: Clock,
        random_state: random.Random,
    ) -> None:
        own_keys = (settings.operator.key,)
        self._settings = settings
        self._log = log
        self._control = control
        self._clock = clock
        self._random = random_state
        self._own_keyring = KeyRing.from_options((), own_keys)
        self._configuration_keyring = KeyRing.from_options(
            settings.control.keys, settings.platform.operators
        )

    @property
    def log(self) -> LogService:
        """The platform's log."""
        return self._log

    @property
    def control(self) -> ControlClient:
        """Client of a control process."""
        return self._control

    @property
    def clock(self) -> Clock:
        """Source of time."""
        return self._clock

    @property
    def has_all_operator_keys(self) -> bool:
        """Whether the settings hold the keys of all operators."""
        return bool(self._settings.platform.operators)

    def create_appender(self) -> Appender:
        """Return an appender that signs records with the operator's own key.

        Raises
        ------
        InvalidInputError
            If the key does not belong to the operator.
        """
        author = f"operator:{self._settings.operator.name}"
        try:
            self._own_keyring.signing_key(author)
        except KeyError as error:
            problem = f"the key is not named {self._settings.operator.name!r}"
            finding = Finding(location="[operator] key", value="***", problem=problem)
            raise InvalidInputError(ErrorCode.SETTINGS_INVALID, [finding]) from error
        return Appender(
            log=self._log,
            keyring=self._own_keyring,
            author=author,
            clock=self._clock,
            random_state=self._random,
        )

    @contextlib.asynccontextmanager
    async def follow_configuration(self) -> AsyncIterator[StreamReader]:
        """Follow the configuration stream; yield its reader once it has caught up.

        Raises
        ------
        PlatformError
            If the log does not respond in time.
        LogRegressedError
            If the log is not the declared one, was replaced or lacks records.
        """
        reader = StreamReader(
            log=self._log,
            stream=CONFIG_STREAM,
            fold=ConfigurationFold(),
            keyring=self._configuration_keyring,
            clock=self._clock,
            expected_log_id=self._settings.platform.log_id,
            random_state=self._random,
        )
        reader_task = asyncio.create_task(reader.run())
        try:
            await _wait_until_caught_up(reader)
            yield reader
        finally:
            reader_task.cancel()


async def _wait_until_caught_up(reader: StreamReader) -> None:
    starting = ReaderState.STARTING
    try:
        await reader.wait_until(lambda: reader.state is not starting, _CATCH_UP_TIMEOUT)
    except TimeoutError as error:
        raise PlatformError(
            ErrorCode.PLATFORM_UNAVAILABLE, "the log does not respond"
        ) from error
    if reader.state is ReaderState.REGRESSED:
        raise LogRegressedError(
            ErrorCode.LOG_REGRESSED,
            f"the log was replaced or shortened; expected log {reader.log_id}",
        )
    if reader.state is ReaderState.INCOMPLETE:
        raise LogRegressedError(
            ErrorCode.LOG_INCOMPLETE,
            "records have expired and there is no usable checkpoint",
        )


@contextlib.asynccontextmanager
async def open_context(path: str) -> AsyncIterator[CommandContext]:
    """Open the connections that the settings file at `path` names.

    Raises
    ------
    InvalidInputError
        If the settings have errors; it lists all of them.
    """
    settings = load_settings(pathlib.Path(path), OperatorSettings, OPERATOR_SPEC)
    async with aiohttp.ClientSession() as session:
        yield CommandContext(
            settings=settings,
            log=HttpLogService(session, str(settings.platform.log)),
            control=ControlClient(
                session, settings.control.address, settings.control.timeout
            ),
            clock=SystemClock(),
            random_state=random.SystemRandom(),
        )
