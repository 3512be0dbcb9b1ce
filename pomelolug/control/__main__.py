"""Command-line entry point ``pomelolug-control``."""

from pomelolug.control._compose import run_control
from pomelolug.settings._command import run_command
from pomelolug.settings._control_generated import CONTROL_SPEC, ControlSettings

__all__ = ["main"]


def main() -> None:
    """Run the ``pomelolug-control`` command."""
    run_command("pomelolug-control", ControlSettings, CONTROL_SPEC, run_control)


if __name__ == "__main__":
    main()
