"""The control process: log, membership, groups and claims of an entry VM."""

from pomelolug.control._compose import run_control

__all__ = ["run_control"]
