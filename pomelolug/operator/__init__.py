"""Command line for operators."""

from pomelolug.operator._commands import Commands
from pomelolug.operator._exit import ExitStatus

__all__ = ["Commands", "ExitStatus"]
