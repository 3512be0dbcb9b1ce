"""Command of a process that runs from one settings file."""

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
    """Run a process as its command line says.

    Exit status 2 means that the settings have faults; all are on standard error.

    Parameters
    ----------
    name : str
        Name of the command.
    settings_type : type
        Generated settings struct.
    spec : sequence of OptionSpec
        Generated specification that belongs to `settings_type`.
    run : callable
        Runs the process with its settings until it is told to stop.
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
