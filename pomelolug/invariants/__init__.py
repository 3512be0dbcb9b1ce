"""Assertions of the promised invariants inside the running program."""

from pomelolug.invariants._checks import Invariant, InvariantError, Invariants

__all__ = ["Invariant", "InvariantError", "Invariants"]
