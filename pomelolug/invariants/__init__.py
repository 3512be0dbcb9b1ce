"""Assertions of the promised invariants inside the running program."""

from pomelolug.invariants._checks import Invariant, InvariantChecker, InvariantError

__all__ = ["Invariant", "InvariantChecker", "InvariantError"]
