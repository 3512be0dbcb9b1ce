"""Fakes and stand-ins for tests, the demo and the experiments."""

from pomelolug.testing._clock import LoopClock
from pomelolug.testing._memory_log import LogFaults, MemoryLog

__all__ = ["LogFaults", "LoopClock", "MemoryLog"]
