"""Command-line entry point ``pomelolug-entry``."""

import os
import pathlib
import sys

from pomelolug.errors import InvalidInputError
from pomelolug.platform import SETTINGS_VARIABLE, load_settings

_GROUPS_FOLLOW_DEMAND = "--groups-follow-demand"


def main() -> None:
    """Run the entry process with the settings file named in the environment."""
    if "--help" in sys.argv[1:] or "--version" in sys.argv[1:]:
        _print_usage_or_version()
        return
    unknown = [option for option in sys.argv[1:] if option != _GROUPS_FOLLOW_DEMAND]
    if unknown:
        print(f"pomelolug-entry: unknown option {unknown[0]}", file=sys.stderr)
        raise SystemExit(2)
    from pomelolug.entry import run_entry

    path = pathlib.Path(os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        settings = load_settings(path)
    except InvalidInputError as error:
        print(f"pomelolug-entry: {error}", file=sys.stderr)
        raise SystemExit(2) from error
    run_entry(
        settings,
        lambda: load_settings(path),
        groups_follow_demand=_GROUPS_FOLLOW_DEMAND in sys.argv[1:],
    )


def _print_usage_or_version() -> None:
    """Print the usage or the version."""
    if "--version" in sys.argv[1:]:
        import importlib.metadata

        try:
            print(importlib.metadata.version("pomelolug"))
        except importlib.metadata.PackageNotFoundError:
            print("unknown (not installed)")
        return
    print(
        f"usage: pomelolug-entry [{_GROUPS_FOLLOW_DEMAND}]\n\n"
        "Accepts callers' requests on this VM and forwards them to backend servers.\n"
        f"The environment variable {SETTINGS_VARIABLE} names the settings file.\n\n"
        f"{_GROUPS_FOLLOW_DEMAND}\n"
        "    Give up groups of a model with a lasting surplus for a model that lacks\n"
        "    servers. Has to be set on all VMs, in zones of six VMs or more."
    )


if __name__ == "__main__":
    main()
