"""Fakes and stand-ins for tests, the demo and the experiments."""

from pomelolug.testing._clock import LoopClock

__all__ = ["LoopClock"]
