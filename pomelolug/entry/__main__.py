"""Command-line entry point ``pomelolug-entry``."""

import os
import pathlib
import sys

from pomelolug.errors import FindingsError
from pomelolug.platform import SETTINGS_VARIABLE, load_settings


def main() -> None:
    """Run the entry process with the settings file named in the environment."""
    if "--help" in sys.argv[1:] or "--version" in sys.argv[1:]:
        _print_usage_or_version()
        return
    from pomelolug.entry import run_entry

    path = pathlib.Path(os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        settings = load_settings(path)
    except FindingsError as error:
        print(f"pomelolug-entry: {error}", file=sys.stderr)
        raise SystemExit(2) from error
    run_entry(settings, lambda: load_settings(path))


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
        "usage: pomelolug-entry\n\n"
        "Accepts callers' requests on this VM and forwards them to backend servers.\n"
        f"The environment variable {SETTINGS_VARIABLE} names the settings file."
    )


if __name__ == "__main__":
    main()
