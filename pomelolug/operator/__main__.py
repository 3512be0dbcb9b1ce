"""Command ``pomelolug``."""

import json
import sys
from collections.abc import Sequence

import fire

from pomelolug.operator._commands import Commands
from pomelolug.operator._exit import run_and_exit
from pomelolug.telemetry import configure_logging

__all__ = ["main", "quote_values"]


def quote_values(arguments: Sequence[str]) -> list[str]:
    """Return `arguments` with quotes around every value after the command name.

    Fire parses values as Python literals: without quotes, the request identifier
    12e4 would become the number 120000.0.

    Examples
    --------
    >>> quote_values(["explain", "12e4", "--settings=7", "--undo"])
    ['explain', '"12e4"', '--settings="7"', '--undo']
    """
    quoted = []
    for argument in arguments[1:]:
        flag, equals, value = argument.partition("=")
        if argument.startswith("-"):
            quoted.append(flag + equals + (json.dumps(value) if equals else ""))
        else:
            quoted.append(json.dumps(argument))
    return [*arguments[:1], *quoted]


def main() -> None:
    """Run the command line."""
    # The output consists of findings and results, so only errors are logged.
    configure_logging("error")
    arguments = sys.argv[1:]
    if arguments == ["--version"]:
        arguments = ["version"]
    run_and_exit(
        lambda: fire.Fire(Commands(), command=quote_values(arguments), name="pomelolug")
    )


if __name__ == "__main__":
    main()
