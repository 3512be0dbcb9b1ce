"""Run-time checks of the invariants of the system."""

from pomelolug.invariants._checks import Invariant, InvariantChecker, InvariantError

__all__ = ["Invariant", "InvariantChecker", "InvariantError"]
