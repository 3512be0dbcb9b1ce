"""Command ``pomelolug``."""

import asyncio
import pathlib
import random
import sys

import aiohttp
import fire

from pomelolug.clock import SystemClock
from pomelolug.configuration import (
    CONFIG_STREAM,
    ConfigurationFold,
    Publication,
    publish,
)
from pomelolug.errors import FindingsError
from pomelolug.platform import HttpLogService
from pomelolug.settings import load_settings
from pomelolug.settings._operator_generated import OPERATOR_SPEC, OperatorSettings
from pomelolug.state import Appender, KeyRing, StreamReader

__all__ = ["main"]

EXIT_INVALID = 2
EXIT_RACED = 3


class Commands:
    """Commands of an operator."""

    def publish(self, document: str, *, base: int, settings: str) -> None:
        """Check a configuration and publish it against version `base`."""
        try:
            loaded = load_settings(
                pathlib.Path(settings), OperatorSettings, OPERATOR_SPEC
            )
            text = pathlib.Path(document).read_text(encoding="utf-8")
            result = asyncio.run(_publish(text, base, loaded))
        except FindingsError as error:
            print(error, file=sys.stderr)
            sys.exit(EXIT_INVALID)
        if not result.won:
            print(f"lost to version {result.current}", file=sys.stderr)
            sys.exit(EXIT_RACED)
        print(f"version {result.offset}")


async def _publish(text: str, base: int, settings: OperatorSettings) -> Publication:
    clock = SystemClock()
    keyring = KeyRing.from_options(settings.control.keys, (settings.operator.key,))
    fold = ConfigurationFold()
    async with aiohttp.ClientSession() as session:
        log = HttpLogService(session, str(settings.platform.log))
        reader = StreamReader(
            log=log, stream=CONFIG_STREAM, fold=fold, keyring=keyring, clock=clock
        )
        appender = Appender(
            log=log,
            keyring=keyring,
            author=f"operator:{settings.operator.name}",
            clock=clock,
            random_state=random.SystemRandom(),
        )
        following = asyncio.create_task(reader.run())
        try:
            return await publish(
                text, base=base, appender=appender, reader=reader, fold=fold
            )
        finally:
            following.cancel()


def main() -> None:
    """Entry point of the command."""
    fire.Fire(Commands, name="pomelolug")


if __name__ == "__main__":
    main()
