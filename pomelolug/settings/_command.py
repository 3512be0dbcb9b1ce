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

__all__ = ["EXIT_SETTINGS", "run_command"]

EXIT_SETTINGS = 2

T = TypeVar("T")


def run_command(
    name: str,
    cls: type[T],
    spec: Sequence[OptionSpec],
    run: Callable[[T], Coroutine[Any, Any, None]],
) -> None:
    """Run a process as its command line says.

    Exit status 2 means that the settings have faults; all are on standard error.

    Parameters
    ----------
    name : str
        Name of the command.
    cls : type
        Generated settings struct.
    spec : sequence of OptionSpec
        Generated specification that belongs to `cls`.
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
            loaded = load_settings(pathlib.Path(settings), cls, spec)
        except InvalidInputError as error:
            print(error, file=sys.stderr)
            sys.exit(EXIT_SETTINGS)
        if not check:
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                runner.run(run(loaded))

    fire.Fire(serve, name=name)
