"""Command ``pomelolug-gateway``."""

import asyncio
import pathlib
import sys

import fire
import uvloop

from pomelolug import __version__
from pomelolug.errors import FindingsError
from pomelolug.gateway._compose import run_gateway
from pomelolug.settings import load_settings
from pomelolug.settings._gateway_generated import GATEWAY_SPEC, GatewaySettings

__all__ = ["main"]

EXIT_SETTINGS = 2


def serve(settings: str = "", *, version: bool = False, check: bool = False) -> None:
    """Run the gateway of an entry VM.

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
        loaded = load_settings(pathlib.Path(settings), GatewaySettings, GATEWAY_SPEC)
    except FindingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    if not check:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(run_gateway(loaded))


def main() -> None:
    """Entry point of the command."""
    fire.Fire(serve, name="pomelolug-gateway")


if __name__ == "__main__":
    main()
