"""Command line of a process that is configured by one settings file."""

import asyncio
import pathlib
import sys
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, TypeVar

import fire
import uvloop

from pomelolug import __version__
from pomelolug.errors import InvalidInputError
from pomelolug.settings._loader import load_settings
from pomelolug.settings._spec import OptionSpec

__all__ = ["EXIT_INVALID_SETTINGS", "run_command"]

EXIT_INVALID_SETTINGS = 2

T = TypeVar("T")


def run_command(
    name: str,
    settings_type: type[T],
    spec: Sequence[OptionSpec],
    run: Callable[[T], Coroutine[Any, Any, None]],
) -> None:
    """Run a process from its command line.

    If the settings have errors, all of them are printed to standard error and the
    exit status is 2.

    Parameters
    ----------
    name : str
        Name of the command.
    settings_type : type
        Generated settings struct.
    spec : sequence of OptionSpec
        Generated specification of `settings_type`.
    run : callable
        Runs the process with its settings until it is stopped.
    """

    def serve(
        settings: str = "", *, version: bool = False, check: bool = False
    ) -> None:
        """Run the process.

        Parameters
        ----------
        settings : str
            INI file.
        version : bool
            Print the version and exit.
        check : bool
            Check the settings and exit.
        """
        if version:
            print(__version__)
            return
        try:
            loaded_settings = load_settings(pathlib.Path(settings), settings_type, spec)
        except InvalidInputError as error:
            print(error, file=sys.stderr)
            sys.exit(EXIT_INVALID_SETTINGS)
        if not check:
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                runner.run(run(loaded_settings))

    fire.Fire(serve, name=name)
